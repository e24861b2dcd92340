//! Gets changes from other instances, and answers the instances that poll this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::withdrawals::{WirePosition, WireWithdrawals};
use super::{Follower, MAX_NEWS_AGE, REGISTRY_MIRROR, State, Update, millis, whole_millis};
use crate::gateway::listeners::LISTENERS;
use crate::gateway::mirror::{Changes, Gap};
use crate::id::InstanceId;
use crate::journal;
use crate::member::{Fleet, Health};
use crate::peer::{PeerError, PeerHandler, Peers, decode, encode};
use crate::store::{Entry, StoreRevision};

/// How long a listener may wait for a change before it answers.
const POLL_WAIT: Duration = Duration::from_millis(2_000);

/// Longest wait that another instance may request.
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Longest time until a listener answers a poll.
pub(super) const MAX_ANSWER_TIME: Duration = Duration::from_millis(2_400);

/// Size above which the value of an entry is not sent to the instances that poll this one; they read
/// it from the store. A small instance's link would be busy for seconds with sending a large
/// configuration to all its followers.
pub(super) const MAX_SENT_VALUE_BYTES: usize = 8 * 1024;

/// Longest random delay before a large value is read from the store, so that not all instances
/// read it at once.
const MAX_READ_DELAY: Duration = Duration::from_millis(300);

/// Pause after which a listener that has left the fleet is looked up again.
const REPLAN_PAUSE: Duration = Duration::from_millis(100);

/// How often an instance without recent news queries a random instance.
const PEER_QUERY_PERIOD: Duration = Duration::from_millis(300);

/// Timeout of a query to a random instance; covers a round trip between regions.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// The kind of peer messages that request newer entries.
pub(super) const VIEW_KIND: &str = "view";

#[derive(Debug, Serialize, Deserialize)]
struct WireRequest {
    /// The revision of each mirror; `None` for a mirror that has not been loaded.
    revisions: Vec<Option<StoreRevision>>,
    /// How long to wait for a change; 0 for an answer at once, which does not make the answering
    /// instance a listener.
    wait_ms: u32,
    /// Whether to send the values of large entries too.
    with_large: bool,
    /// How much of the answering instance's news of withdrawals is known.
    withdrawals: Option<WirePosition>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireResponse {
    /// The changes of each mirror, if there are any.
    mirrors: Vec<Option<WireChanges>>,
    /// The age of the answering instance's news, if it has any.
    pub(super) news_age_ms: Option<u32>,
    /// The time since a call to the store failed at the answering instance.
    store_failure_age_ms: Option<u32>,
    /// The withdrawals that the other instance lacks.
    withdrawals: Option<WireWithdrawals>,
}

/// The changes of a mirror, as encoded between instances.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct WireChanges {
    revision: StoreRevision,
    is_snapshot: bool,
    /// The key, the value and the revision of each entry; the value of a large entry is left out
    /// unless it was requested.
    entries: Vec<(String, Option<Bytes>, StoreRevision)>,
    deleted: Vec<(String, StoreRevision)>,
    gap: Option<(StoreRevision, StoreRevision)>,
}

impl WireChanges {
    pub(super) fn new(changes: Changes, with_large: bool) -> Self {
        let mut entries = Vec::with_capacity(changes.entries.len());
        for entry in changes.entries {
            let is_sent = with_large || entry.value.len() <= MAX_SENT_VALUE_BYTES;
            entries.push((
                entry.key,
                is_sent.then_some(entry.value),
                entry.mod_revision,
            ));
        }
        Self {
            revision: changes.revision,
            is_snapshot: changes.is_snapshot,
            entries,
            deleted: changes.deleted,
            gap: changes.gap.map(|g| (g.after, g.until)),
        }
    }
}

impl Follower {
    /// Starts the tasks that poll the listeners, and the task that queries random instances.
    pub(super) fn start_polling(
        self: &Arc<Self>,
        fleet: &watch::Receiver<Arc<Fleet>>,
        peers: &Arc<dyn Peers>,
    ) {
        for n in 0..LISTENERS {
            tokio::spawn(Arc::clone(self).poll_listener(n, fleet.clone(), Arc::clone(peers)));
        }
        tokio::spawn(Arc::clone(self).query_random(fleet.clone(), Arc::clone(peers)));
    }

    /// Polls the `n`th listener of the region, unless this instance is one.
    async fn poll_listener(
        self: Arc<Self>,
        n: usize,
        fleet: watch::Receiver<Arc<Fleet>>,
        peers: Arc<dyn Peers>,
    ) {
        let mut plan = self.plan_tx.subscribe();
        let mut withdrawals: Option<WirePosition> = None;
        loop {
            let id = plan.borrow_and_update().sources.get(n).cloned();
            let Some(id) = id else {
                if plan.wait_for(|plan| plan.sources.len() > n).await.is_err() {
                    return;
                }
                continue;
            };
            let address = {
                let fleet = fleet.borrow();
                let member = fleet.members.iter().find(|m| m.id == id);
                member.map(|m| m.peer)
            };
            let Some(address) = address else {
                // The plan is older than the fleet.
                sleep(REPLAN_PAUSE).await;
                continue;
            };
            let Ok(request) = self.encode_request(POLL_WAIT, false, withdrawals) else {
                return;
            };
            let answer = peers.ask(address, VIEW_KIND, request, MAX_ANSWER_TIME);
            let failure = match answer.await.and_then(|a| decode::<WireResponse>(&a)) {
                Ok(response) => {
                    let age = response.news_age_ms;
                    let response = self.add_large_values(response, address, &*peers).await;
                    let told = response.withdrawals.as_ref().map(|w| w.position);
                    withdrawals = told.or(withdrawals);
                    self.apply_response(response);
                    match age {
                        Some(age) if millis(age) <= MAX_NEWS_AGE => None,
                        _ => Some("its news is too old".to_owned()),
                    }
                }
                Err(e) => Some(e.to_string()),
            };
            let pause = match failure {
                None => {
                    self.record_listener_success(&id);
                    Duration::ZERO
                }
                Some(why) => self.record_listener_failure(&id, &why),
            };
            if !pause.is_zero() {
                sleep(pause).await;
                let fleet = Arc::clone(&fleet.borrow());
                self.update_plan(&fleet);
            }
        }
    }

    fn record_listener_success(&self, id: &InstanceId) {
        let mut state = self.state();
        state.lost_sources.remove(id);
        if state.listeners.record_success(id) {
            journal::line("listener_back").text("peer", id.as_str());
        }
    }

    fn record_listener_failure(&self, id: &InstanceId, why: &str) -> Duration {
        let now = self.now();
        let mut state = self.state();
        state.lost_sources.insert(id.clone());
        let pause = state.listeners.record_failure(now, id);
        journal::line("listener_lost")
            .text("peer", id.as_str())
            .text("error", why);
        self.check_news(&mut state);
        pause
    }

    /// Queries random instances that are not dead while this instance has no recent news.
    async fn query_random(
        self: Arc<Self>,
        fleet: watch::Receiver<Arc<Fleet>>,
        peers: Arc<dyn Peers>,
    ) {
        loop {
            sleep(PEER_QUERY_PERIOD.mul_f64(rand::random_range(0.8..1.2))).await;
            if self.has_recent_news() {
                continue;
            }
            let mut candidates = Vec::new();
            for member in &fleet.borrow().members {
                if member.id != self.deps.id && member.health != Health::Dead {
                    candidates.push(member.peer);
                }
            }
            let Some(peer) = candidates.choose(&mut rand::rng()).copied() else {
                continue;
            };
            let Ok(request) = self.encode_request(Duration::ZERO, true, None) else {
                return;
            };
            // After a failure, the next round draws again; the membership excludes dead instances.
            let Ok(answer) = peers
                .ask(peer, VIEW_KIND, request, PEER_QUERY_TIMEOUT)
                .await
            else {
                continue;
            };
            match decode::<WireResponse>(&answer) {
                Ok(response) => self.apply_response(response),
                Err(e) => log::warn!("ignored a malformed response from peer {peer}: {e}"),
            }
        }
    }

    /// Whether the instance's own calls to the store succeed, or its news from others is recent.
    pub(in crate::gateway) fn has_recent_news(&self) -> bool {
        let mut state = self.state();
        self.check_news(&mut state);
        state.has_recent_news && !state.followed.iter().any(|f| f.failing)
    }

    /// Whether the instance's news is recent and changes reach it at once, from the store or from an
    /// instance that it polls.
    pub(in crate::gateway) fn has_current_news(&self) -> bool {
        if !self.has_recent_news() {
            return false;
        }
        // The state is locked before the plan everywhere.
        let state = self.state();
        let plan = self.plan_tx.borrow();
        let mut sources = plan.sources.iter();
        plan.listens || sources.any(|source| !state.lost_sources.contains(source))
    }

    pub(super) fn encode_request(
        &self,
        wait: Duration,
        with_large: bool,
        withdrawals: Option<WirePosition>,
    ) -> Result<Bytes, PeerError> {
        let mut revisions = Vec::new();
        for followed in &self.state().followed {
            let mirror = &followed.mirror;
            revisions.push(mirror.is_loaded().then_some(mirror.revision()));
        }
        encode(&WireRequest {
            revisions,
            wait_ms: whole_millis(wait),
            with_large,
            withdrawals,
        })
    }

    /// Completes a response by the values of large entries: as this instance has them, as read from
    /// the store or, if the store does not answer, as requested again from the listener.
    async fn add_large_values(
        &self,
        mut response: WireResponse,
        listener: SocketAddr,
        peers: &dyn Peers,
    ) -> WireResponse {
        let is_missing = |m: &Option<WireChanges>| {
            let mut entries = m.iter().flat_map(|m| &m.entries);
            entries.any(|(_, value, _)| value.is_none())
        };
        if !response.mirrors.iter().any(is_missing) {
            return response;
        }
        // One task reads a value; the other then finds it in the mirror.
        let _guard = self.large_values_lock.lock().await;
        for (index, changes) in response.mirrors.iter_mut().enumerate() {
            let Some(changes) = changes else {
                continue;
            };
            for (key, value, revision) in &mut changes.entries {
                if value.is_some() {
                    continue;
                }
                let known = self.known_entry(index, key, *revision);
                let read = match known {
                    Some(known) => Ok(Some(known)),
                    None => {
                        sleep(MAX_READ_DELAY.mul_f64(rand::random())).await;
                        self.deps.store.get(key).await
                    }
                };
                match read {
                    Ok(Some(entry)) if entry.mod_revision >= *revision => {
                        *revision = entry.mod_revision;
                        *value = Some(entry.value);
                    }
                    // The entry was deleted since, or the store's answer is old or missing.
                    _ => {}
                }
            }
        }
        if !response.mirrors.iter().any(is_missing) {
            return response;
        }
        let Ok(request) = self.encode_request(Duration::ZERO, true, None) else {
            return response;
        };
        // Without an answer, the entries stay missing and are sent again at the next poll.
        let answer = peers.ask(listener, VIEW_KIND, request, POLL_WAIT).await;
        match answer.and_then(|a| decode::<WireResponse>(&a)) {
            Ok(complete) => complete,
            Err(_) => response,
        }
    }

    /// Returns an entry of a mirror that is at least as new as `revision`.
    fn known_entry(&self, index: usize, key: &str, revision: StoreRevision) -> Option<Entry> {
        let state = self.state();
        let entry = state.followed.get(index)?.mirror.entry(key)?;
        (entry.mod_revision >= revision).then(|| entry.clone())
    }

    fn apply_response(&self, response: WireResponse) {
        let now = self.now();
        let mut state = self.state();
        if let Some(age) = response.store_failure_age_ms {
            state.record_store_failure(now.saturating_sub(millis(age)));
        }
        let count = state.followed.len();
        for (index, changes) in response.mirrors.into_iter().enumerate().take(count) {
            let Some(changes) = changes.and_then(without_missing_values) else {
                continue;
            };
            self.merge(&mut state, index, changes);
        }
        self.hear_withdrawals(&mut state, response.withdrawals);
        let Some(age) = response.news_age_ms else {
            return;
        };
        for index in 0..count {
            if state.followed[index].mirror.is_loaded() {
                let news_at = now.saturating_sub(millis(age));
                self.record_news(&mut state, index, news_at, Update::Replaced);
            }
        }
    }

    /// Applies another instance's changes of a mirror.
    pub(super) fn merge(&self, state: &mut State, index: usize, changes: Changes) {
        let (now, max_age) = (self.now(), self.max_news_age());
        let is_old = |at: Duration| at + max_age < now;
        if index == REGISTRY_MIRROR && state.followed[index].news_at.is_some_and(is_old) {
            // The changes leave out what was written and deleted meanwhile.
            state.registry_followed_since = Some(now);
        }
        let mirror = &mut state.followed[index].mirror;
        let (was_loaded, era) = (mirror.is_loaded(), mirror.revision().era);
        let changed = mirror.merge(changes);
        if !changed.is_empty() || !was_loaded || mirror.revision().era != era {
            self.apply(state, index, &changed);
        }
    }

    /// Returns what the mirrors of another instance lack.
    fn changes_for(&self, request: &WireRequest) -> Vec<Option<WireChanges>> {
        let state = self.state();
        let mut mirrors = Vec::with_capacity(state.followed.len());
        for (index, followed) in state.followed.iter().enumerate() {
            let revision = request.revisions.get(index).copied().flatten();
            let changes = followed.mirror.changes_since(revision);
            mirrors.push(changes.map(|c| WireChanges::new(c, request.with_large)));
        }
        mirrors
    }
}

impl State {
    /// Returns the age of the news that this instance passes on; `None` if its own calls to the
    /// store fail.
    fn shared_news_age(&self, now: Duration) -> Option<Duration> {
        if self.followed.iter().any(|f| f.failing) {
            return None;
        }
        self.news_age(now)
    }
}

#[async_trait]
impl PeerHandler for Follower {
    fn kind(&self) -> &'static str {
        VIEW_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let request: WireRequest = decode(&body)?;
        let wait = millis(request.wait_ms).min(MAX_POLL_WAIT);
        let until = Instant::now() + wait;
        if !wait.is_zero() {
            let now = self.now();
            self.state().listeners.record_polled(now);
        }
        let mut changes_rx = self.changes_tx.subscribe();
        loop {
            changes_rx.mark_unchanged();
            let mirrors = self.changes_for(&request);
            let now = self.now();
            let (news_age, failed_at, withdrawals) = {
                let state = self.state();
                (
                    state.shared_news_age(now),
                    state.store_failed_at,
                    self.withdrawals_since(&state, request.withdrawals),
                )
            };
            let is_recent = news_age.is_some_and(|age| age <= MAX_NEWS_AGE);
            let has_changes = mirrors.iter().any(Option::is_some) || withdrawals.is_some();
            if !has_changes
                && is_recent
                && matches!(timeout_at(until, changes_rx.changed()).await, Ok(Ok(())))
            {
                continue;
            }
            let news_age = if has_changes || !is_recent {
                news_age
            } else {
                // Time has passed since the age was computed.
                let now = self.now();
                self.state().shared_news_age(now)
            };
            return encode(&WireResponse {
                mirrors,
                news_age_ms: news_age.map(whole_millis),
                store_failure_age_ms: failed_at.map(|at| whole_millis(now.saturating_sub(at))),
                withdrawals,
            });
        }
    }
}

/// Converts changes from their form in messages; `None` if a value is missing, so that the mirror
/// must not count as up to date.
pub(super) fn without_missing_values(wire: WireChanges) -> Option<Changes> {
    let mut entries = Vec::with_capacity(wire.entries.len());
    for (key, value, mod_revision) in wire.entries {
        entries.push(Entry {
            key,
            value: value?,
            mod_revision,
        });
    }
    Some(Changes {
        revision: wire.revision,
        is_snapshot: wire.is_snapshot,
        entries,
        deleted: wire.deleted,
        gap: wire.gap.map(|(after, until)| Gap { after, until }),
    })
}

crate::wire_format!("news-request", WireRequest);
crate::wire_format!("news", WireResponse);
