//! Rotates API keys while the load runs, and measures when each instance applies each change.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::instance_table::{InstanceEntry, InstanceState, InstanceTable};
use super::record::ProbeResults;
use crate::operator::Operator;
use crate::workload::{Workload, key_entry};

const POLL_INTERVAL: Duration = Duration::from_millis(40);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// A change that an instance has not applied after this time is counted as late.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_PUT_ATTEMPTS: usize = 6;
const PUT_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Most recently withdrawn keys of a team that are checked after each change.
const MAX_WITHDRAWN_KEYS: usize = 4;

/// How many operators change keys, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChangePattern {
    /// Teams that each rotate a key in their own subtree of the settings.
    pub(super) teams: usize,
    /// The pause between two changes of a team.
    pub(super) pause: Duration,
    /// Whether two operators also write one document concurrently.
    pub(super) race: bool,
}

/// Changes keys and probes which keys the instances accept.
#[derive(Clone)]
pub(super) struct Prober {
    instance_table: Arc<InstanceTable>,
    operator: Operator,
    client: reqwest::Client,
    organisation: String,
    results: Arc<Mutex<ProbeResults>>,
    last_revision: Arc<Mutex<u64>>,
    until: Instant,
}

impl Prober {
    pub(super) fn new(
        instance_table: Arc<InstanceTable>,
        operator: Operator,
        workload: &Workload,
        until: Instant,
    ) -> Result<Self, reqwest::Error> {
        let client = reqwest::Client::builder().timeout(PROBE_TIMEOUT).build()?;
        Ok(Self {
            instance_table,
            operator,
            client,
            organisation: workload.organisations[0].name.clone(),
            results: Arc::default(),
            last_revision: Arc::default(),
            until,
        })
    }

    /// Changes keys until `until`; returns the probe results and the last accepted revision.
    pub(super) async fn run(self, pattern: ChangePattern) -> (ProbeResults, u64) {
        let mut tasks = JoinSet::new();
        for team in 0..pattern.teams {
            let prober = self.clone();
            tasks.spawn(async move { prober.rotate_team_keys(team, pattern.pause).await });
        }
        if pattern.race {
            let prober = self.clone();
            tasks.spawn(async move { prober.race_writes(pattern.pause).await });
        }
        while tasks.join_next().await.is_some() {}
        let results = self.with_results(|p| p.clone());
        let last = *self
            .last_revision
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        (results, last)
    }

    fn with_results<T>(&self, f: impl FnOnce(&mut ProbeResults) -> T) -> T {
        f(&mut self.results.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn rotate_team_keys(&self, team: usize, pause: Duration) {
        let path = format!("team-{team}/keys");
        let mut old_key: Option<String> = None;
        let mut withdrawn_keys: Vec<String> = Vec::new();
        for version in 0.. {
            if Instant::now() >= self.until {
                return;
            }
            let key = format!("team-{team}-{version}.{version:08x}");
            let text = key_entry(&key, &self.organisation);
            if self.put_document(&path, &text).await.is_some() {
                let accepted = Instant::now();
                self.measure_propagation(accepted, &key, old_key.as_deref())
                    .await;
                self.count_accepted_withdrawn_keys(&withdrawn_keys).await;
                withdrawn_keys.extend(old_key.replace(key));
                if withdrawn_keys.len() > MAX_WITHDRAWN_KEYS {
                    withdrawn_keys.remove(0);
                }
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Writes the same document from two operators at once; the greater revision must win.
    async fn race_writes(&self, pause: Duration) {
        for round in 0.. {
            if Instant::now() >= self.until {
                return;
            }
            let keys = ["a", "b"].map(|side| format!("race-{round}-{side}.{round:08x}"));
            let texts = keys
                .each_ref()
                .map(|key| key_entry(key, &self.organisation));
            let (a, b) = tokio::join!(
                self.put_document("race/keys", &texts[0]),
                self.put_document("race/keys", &texts[1]),
            );
            let accepted = Instant::now();
            if let Some((winner, loser)) = winner_and_loser(a, b) {
                self.measure_propagation(accepted, &keys[winner], None)
                    .await;
                self.count_accepted_withdrawn_keys(&[keys[loser].clone()])
                    .await;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Writes a document through a random instance; returns the revision if it was accepted.
    ///
    /// An attempt without a definite outcome is retried with the same change id.
    async fn put_document(&self, path: &str, text: &str) -> Option<u64> {
        let id = format!("{:016x}", rand::random::<u64>());
        for _ in 0..MAX_PUT_ATTEMPTS {
            let at = self.random_admin()?;
            let outcome = self.operator.put(at, path, text, &id).await;
            let Ok(change) = outcome else {
                tokio::time::sleep(PUT_RETRY_INTERVAL).await;
                continue;
            };
            match change.outcome.as_str() {
                "accepted" => {
                    self.with_results(|p| p.accepted += 1);
                    let mut last = self
                        .last_revision
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner);
                    *last = (*last).max(change.revision.unwrap_or(0));
                    return change.revision;
                }
                "unknown" => tokio::time::sleep(PUT_RETRY_INTERVAL).await,
                _ => {
                    self.with_results(|p| p.refused += 1);
                    return None;
                }
            }
        }
        self.with_results(|p| p.unknown += 1);
        None
    }

    fn random_admin(&self) -> Option<SocketAddr> {
        let reachable = self.instance_table.reachable();
        reachable.choose(&mut rand::rng()).map(|e| e.admin)
    }

    /// Waits until all reachable instances accept the new key and reject the old one.
    async fn measure_propagation(&self, accepted: Instant, new_key: &str, old_key: Option<&str>) {
        let mut tasks = JoinSet::new();
        for entry in self.instance_table.reachable() {
            let prober = self.clone();
            let new_key = new_key.to_owned();
            let old_key = old_key.map(str::to_owned);
            tasks.spawn(async move {
                let granted = prober
                    .wait_for_key_state(&entry, &new_key, true, accepted)
                    .await;
                let withdrawn = match &old_key {
                    Some(old_key) => {
                        prober
                            .wait_for_key_state(&entry, old_key, false, accepted)
                            .await
                    }
                    None => Some(Duration::ZERO),
                };
                (granted, withdrawn)
            });
        }
        let mut in_force = Duration::ZERO;
        let mut withdrawn = Duration::ZERO;
        while let Some(done) = tasks.join_next().await {
            let Ok((granted_after, withdrawn_after)) = done else {
                continue;
            };
            let is_late = granted_after.is_none() || withdrawn_after.is_none();
            self.with_results(|p| p.late += u64::from(is_late));
            in_force = in_force.max(granted_after.unwrap_or(IN_FORCE_TIMEOUT));
            withdrawn = withdrawn.max(withdrawn_after.unwrap_or(IN_FORCE_TIMEOUT));
        }
        self.with_results(|p| {
            p.in_force_times.push(in_force);
            if old_key.is_some() {
                p.withdrawal_times.push(withdrawn);
            }
        });
    }

    /// Waits until an instance accepts or rejects a key as `expected`; `None` after the timeout.
    ///
    /// An instance that becomes unreachable meanwhile counts as zero delay, as it cannot be probed.
    async fn wait_for_key_state(
        &self,
        entry: &InstanceEntry,
        key: &str,
        expected: bool,
        accepted: Instant,
    ) -> Option<Duration> {
        loop {
            if self.accepts_key(entry.front, key).await == Some(expected) {
                return Some(accepted.elapsed());
            }
            if !self.is_reachable(entry) {
                return Some(Duration::ZERO);
            }
            if accepted.elapsed() > IN_FORCE_TIMEOUT {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn is_reachable(&self, entry: &InstanceEntry) -> bool {
        self.instance_table.state_at(entry.front) == InstanceState::Serving
            && self
                .instance_table
                .reachable()
                .iter()
                .any(|e| e.id == entry.id)
    }

    /// Counts the reachable instances that accept a key which they must already reject.
    async fn count_accepted_withdrawn_keys(&self, withdrawn_keys: &[String]) {
        for entry in self.instance_table.reachable() {
            for key in withdrawn_keys {
                let accepts = self.accepts_key(entry.front, key).await == Some(true);
                self.with_results(|p| p.reverted += u64::from(accepts));
            }
        }
    }

    /// Returns whether an instance accepts a key; `None` if the answer is neither 200 nor 401.
    async fn accepts_key(&self, front: SocketAddr, key: &str) -> Option<bool> {
        let url = format!("http://{front}/v1/models");
        let resp = self.client.get(url).bearer_auth(key).send().await.ok()?;
        match resp.status().as_u16() {
            200 => Some(true),
            401 => Some(false),
            _ => None,
        }
    }
}

/// Returns the indexes of the winning and the losing write, if any was accepted.
fn winner_and_loser(a: Option<u64>, b: Option<u64>) -> Option<(usize, usize)> {
    if a.is_none() && b.is_none() {
        return None;
    }
    Some(if a > b { (0, 1) } else { (1, 0) })
}
