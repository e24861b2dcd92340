//! Background tasks that update the routing state; each task ends when the dispatcher is dropped.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::core::Core;
use super::handlers::{SUMMARY, SummaryRequest};
use crate::id::RegionId;
use crate::peer::{decode, encode};
use crate::route::{RegionSummary, TargetKey};
use crate::target::{Target, TargetAddress};

/// Interval between polls for the load of targets.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of targets polled at once; later polls cover the remaining targets.
const TARGETS_PER_ROUND: usize = 64;

/// Interval between polls for prefix cache events.
const CACHE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks for health probes that are due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks of queued requests for free targets and expired deadlines.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between summary polls of each other region.
const SUMMARY_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one summary poll.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts all background tasks.
pub(super) fn start(core: &Arc<Core>, stopped: &watch::Receiver<()>) {
    tokio::spawn(run_until(stopped.clone(), watch_fleet(Arc::clone(core))));
    tokio::spawn(run_until(stopped.clone(), poll_loads(Arc::clone(core))));
    tokio::spawn(run_until(
        stopped.clone(),
        poll_cache_events(Arc::clone(core)),
    ));
    tokio::spawn(run_until(stopped.clone(), probe_targets(Arc::clone(core))));
    tokio::spawn(run_until(stopped.clone(), drain_queues(Arc::clone(core))));
    tokio::spawn(run_until(stopped.clone(), poll_regions(Arc::clone(core))));
}

/// Runs a task until the `stopped` channel closes.
async fn run_until(mut stopped: watch::Receiver<()>, task: impl Future<Output = ()>) {
    tokio::select! {
        _ = stopped.changed() => {}
        () = task => {}
    }
}

fn ticker(period: Duration) -> tokio::time::Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn watch_fleet(core: Arc<Core>) {
    let mut fleet = core.fleet.clone();
    loop {
        let now = core.now();
        let current = Arc::clone(&fleet.borrow_and_update());
        core.scheduler
            .lock()
            .routing_state
            .update_fleet(now, &current);
        core.scheduler.drain_all_queues();
        if fleet.changed().await.is_err() {
            return;
        }
    }
}

/// A target to poll or to probe.
struct PolledTarget {
    key: TargetKey,
    address: TargetAddress,
    target: Arc<dyn Target>,
}

/// Returns batch number `round` of the targets that take requests, modulo the number of batches.
fn batch(core: &Core, round: usize) -> Vec<PolledTarget> {
    let state = core.scheduler.lock();
    let up = state.routing_state.available_targets();
    let rounds = up.len().div_ceil(TARGETS_PER_ROUND).max(1);
    let mut batch = Vec::new();
    for key in up.into_iter().skip(round % rounds * TARGETS_PER_ROUND) {
        if batch.len() == TARGETS_PER_ROUND {
            break;
        }
        let (address, plugin) = state.routing_state.target(key);
        let Some(target) = core.targets.get(plugin) else {
            continue;
        };
        batch.push(PolledTarget {
            key,
            address: address.clone(),
            target: Arc::clone(target),
        });
    }
    batch
}

async fn poll_loads(core: Arc<Core>) {
    let mut ticks = ticker(LOAD_POLL_INTERVAL);
    for round in 0.. {
        ticks.tick().await;
        let mut polls = Vec::new();
        for polled in batch(&core, round) {
            polls.push(poll_load(&core, polled));
        }
        join_all(polls).await;
    }
}

async fn poll_load(core: &Core, polled: PolledTarget) {
    let Some(load) = polled.target.load(&polled.address).await else {
        return;
    };
    let now = core.now();
    let mut state = core.scheduler.lock();
    state
        .routing_state
        .record_load(now, polled.key, &polled.address, load);
}

async fn poll_cache_events(core: Arc<Core>) {
    let mut ticks = ticker(CACHE_POLL_INTERVAL);
    for round in 0.. {
        ticks.tick().await;
        let mut polls = Vec::new();
        for polled in batch(&core, round) {
            polls.push(poll_cache_events_of(&core, polled));
        }
        join_all(polls).await;
    }
}

async fn poll_cache_events_of(core: &Core, polled: PolledTarget) {
    let after = core
        .scheduler
        .lock()
        .routing_state
        .last_cache_event(polled.key);
    let Some(events) = polled.target.cache_events(&polled.address, after).await else {
        return;
    };
    let now = core.now();
    let mut state = core.scheduler.lock();
    state
        .routing_state
        .record_cache_events(now, polled.key, &polled.address, &events);
}

async fn probe_targets(core: Arc<Core>) {
    let mut ticks = ticker(PROBE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        for polled in probes_due(&core) {
            let core = Arc::clone(&core);
            tokio::spawn(async move {
                let answered = polled.target.probe(&polled.address).await;
                let now = core.now();
                let mut state = core.scheduler.lock();
                state
                    .routing_state
                    .record_probe(now, polled.key, &polled.address, answered);
            });
        }
    }
}

fn probes_due(core: &Core) -> Vec<PolledTarget> {
    let now = core.now();
    let mut state = core.scheduler.lock();
    let mut due = Vec::new();
    for key in state.routing_state.start_due_probes(now) {
        let (address, plugin) = state.routing_state.target(key);
        let Some(target) = core.targets.get(plugin) else {
            continue;
        };
        due.push(PolledTarget {
            key,
            address: address.clone(),
            target: Arc::clone(target),
        });
    }
    due
}

async fn drain_queues(core: Arc<Core>) {
    let mut ticks = ticker(QUEUE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        core.scheduler.drain_all_queues();
    }
}

async fn poll_regions(core: Arc<Core>) {
    let mut ticks = ticker(SUMMARY_POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let regions = core.scheduler.lock().routing_state.other_regions().to_vec();
        for region in regions {
            tokio::spawn(poll_region(Arc::clone(&core), region));
        }
    }
}

async fn poll_region(core: Arc<Core>, region: RegionId) {
    let started = core.now();
    let summary = fetch_summary(&core, &region).await;
    let now = core.now();
    let mut state = core.scheduler.lock();
    let Some(key) = state.routing_state.find_region(&region) else {
        return;
    };
    match summary {
        Some(summary) => {
            let latency = now.saturating_sub(started);
            state
                .routing_state
                .record_summary(now, key, &summary, latency);
        }
        None => state.routing_state.record_missed_summary(key),
    }
}

async fn fetch_summary(core: &Core, region: &RegionId) -> Option<RegionSummary> {
    let live = core.instances_in(region, &[]);
    let instance = live.choose(&mut rand::rng())?;
    let request = encode(&SummaryRequest::default()).ok()?;
    let response = core
        .peers
        .ask(instance.peer, SUMMARY, request, SUMMARY_TIMEOUT)
        .await
        .ok()?;
    decode(&response).ok()
}
