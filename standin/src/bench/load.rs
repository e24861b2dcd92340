//! Open-loop load generator: sends each planned request when it is due, even if earlier answers
//! are late.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::instance_table::{InstanceState, InstanceTable};
use super::record::{RunKey, Sample};
use crate::caller::{Caller, Completion, Outcome};
use crate::workload::{Arrival, Workload};

/// Instances that a caller tries for one request. It tries another one only if the request was not
/// sent, or was refused with `leaving` and did not run.
const MAX_ATTEMPTS: usize = 4;
/// How long callers wait for a complete answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Counters for the progress line.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) sent: AtomicU64,
    pub(super) answered: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) failed: AtomicU64,
}

impl Progress {
    fn record_end(&self, end: &Completion) {
        let count = match end {
            Completion::Answered => &self.answered,
            Completion::Refused { .. } => &self.refused,
            Completion::Wrong(_) | Completion::NotSent(_) | Completion::Broken(_) => &self.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sends the planned requests of a run.
pub(super) struct LoadGenerator {
    pub(super) workload: Arc<Workload>,
    pub(super) instance_table: Arc<InstanceTable>,
    pub(super) caller: Caller,
    pub(super) start: Instant,
    pub(super) progress: Arc<Progress>,
    pub(super) seed: u64,
}

impl LoadGenerator {
    /// Sends all planned requests and waits until each has ended.
    pub(super) async fn run(self, arrivals: Vec<Arrival>) -> Vec<Sample> {
        let load = Arc::new(self);
        let mut tasks = JoinSet::new();
        for (n, arrival) in arrivals.into_iter().enumerate() {
            tokio::time::sleep_until(load.start + arrival.intended_at).await;
            let load = Arc::clone(&load);
            tasks.spawn(async move { load.send_arrival(n as u64, &arrival).await });
        }
        let mut samples = Vec::with_capacity(tasks.len());
        while let Some(done) = tasks.join_next().await {
            samples.extend(done);
        }
        samples
    }

    async fn send_arrival(&self, n: u64, arrival: &Arrival) -> Sample {
        self.progress.sent.fetch_add(1, Ordering::Relaxed);
        let mut rng = SmallRng::seed_from_u64(self.seed ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut attempted = Vec::new();
        let mut suggested = None;
        loop {
            let sent = self.start.elapsed();
            let chosen = suggested.take().or_else(|| {
                self.instance_table
                    .pick(arrival.region, &attempted, &mut rng)
            });
            let Some(at) = chosen else {
                let end = Completion::NotSent("no instance available".to_owned());
                return self.make_sample(arrival, sent, None, &unsent_outcome(end));
            };
            let outcome = self.caller.send(at, &arrival.request).await;
            attempted.push(at);
            if attempted.len() < MAX_ATTEMPTS {
                match &outcome.end {
                    Completion::NotSent(_) => {
                        self.instance_table.avoid(at);
                        continue;
                    }
                    Completion::Refused {
                        code,
                        not_run,
                        use_instance,
                        ..
                    } if *not_run && code == "leaving" => {
                        self.instance_table.avoid(at);
                        suggested = use_instance.as_ref().and_then(|text| text.parse().ok());
                        continue;
                    }
                    _ => {}
                }
            }
            return self.make_sample(arrival, sent, Some(at), &outcome);
        }
    }

    fn make_sample(
        &self,
        arrival: &Arrival,
        sent: Duration,
        at: Option<SocketAddr>,
        outcome: &Outcome,
    ) -> Sample {
        self.progress.record_end(&outcome.end);
        let organisation = &self.workload.organisations[arrival.organisation];
        let regions = 0..self.workload.regions.len();
        let state = at.map(|at| self.instance_table.state_at(at));
        Sample {
            key: RunKey::of(&arrival.request),
            organisation: arrival.organisation,
            region: arrival.region,
            allowed_regions: regions.filter(|r| organisation.allows(*r)).collect(),
            tokens: arrival.tokens,
            stream: arrival.request.payload.is_stream(),
            non_repeatable: arrival.non_repeatable,
            is_repeat: arrival.is_repeat,
            intended_at: arrival.intended_at,
            sent_at: sent,
            time_to_first_part: outcome.time_to_first_text,
            total_time: outcome.total_time,
            end: outcome.end.clone(),
            instance_leaving: state == Some(InstanceState::Leaving),
        }
    }
}

fn unsent_outcome(end: Completion) -> Outcome {
    Outcome {
        end,
        time_to_first_text: Duration::ZERO,
        total_time: Duration::ZERO,
        target: None,
        region: None,
        instance: None,
    }
}

/// Polls the directory for the addresses that callers of each region should use.
pub(super) async fn poll_directory(
    instance_table: Arc<InstanceTable>,
    directory: SocketAddr,
    regions: Vec<String>,
) {
    let client = reqwest::Client::new();
    loop {
        let url = format!("http://{directory}/directory");
        if let Some(groups) = fetch_json(&client, &url).await {
            for (region, region_name) in regions.iter().enumerate() {
                instance_table.set_advertised(region, addresses_in_region(&groups, region_name));
            }
        }
        tokio::time::sleep(DIRECTORY_POLL_INTERVAL).await;
    }
}

async fn fetch_json(client: &reqwest::Client, url: &str) -> Option<Value> {
    let resp = client
        .get(url)
        .timeout(DIRECTORY_POLL_INTERVAL)
        .send()
        .await
        .ok()?;
    resp.json().await.ok()
}

fn addresses_in_region(groups: &Value, region: &str) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    for group in groups.as_array().into_iter().flatten() {
        if group["labels"]["region"] != region {
            continue;
        }
        for target in group["targets"].as_array().into_iter().flatten() {
            found.extend(target.as_str().and_then(|t| t.parse::<SocketAddr>().ok()));
        }
    }
    found
}
