//! Summaries of other regions, and the requests forwarded there since the last summary.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::key::PoolName;

/// Round-trip time assumed between regions until one is measured, in milliseconds.
const DEFAULT_LINK_RTT_MS: f64 = 160.0;

/// Waiting time assumed for a pool in another region until its first summary arrives, in
/// milliseconds.
const DEFAULT_WAIT_MS: f64 = 200.0;

/// Consecutive unanswered summary requests after which a region is considered unreachable.
const UNREACHABLE_AFTER_MISSED_SUMMARIES: u32 = 4;

/// Time over which the usable fraction of a recovered region's free slots grows to 1.
const RAMP_DURATION: Duration = Duration::from_secs(5);

/// Usable fraction of a region's free slots when the region recovers.
const RAMP_INITIAL_SHARE: f64 = 0.1;

/// Bytes per second that all instances of a region together may forward to one other region.
const LINK_BYTES_PER_SECOND: f64 = 125_000_000.0;

/// Depth of a link's token bucket, as time at the full rate; forwards stop while the bucket is
/// empty.
const LINK_BURST_DURATION: Duration = Duration::from_secs(1);

/// An instance's summary of its region.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region's pools.
    pub pools: Vec<PoolSummary>,
}

/// An instance's summary of one pool in its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// The name of the pool.
    pub name: PoolName,
    /// Number of requests that could start immediately.
    pub free_slots: f32,
    /// Expected waiting time of a new request, in milliseconds.
    pub wait_ms: f32,
}

/// State of another region and of the link to that region.
#[derive(Debug)]
pub(super) struct Region {
    /// Consecutive summary requests without a response.
    missed_summaries: u32,
    /// Time at which the region last became reachable again, if it was unreachable before.
    ramp_started: Option<Duration>,
    /// Smoothed round-trip time in milliseconds.
    pub(super) link_rtt_ms: f64,
    /// Bytes that could be forwarded at `link_updated`.
    link_budget_bytes: f64,
    link_updated: Duration,
    /// Number of instances of the local region, which share the bandwidth of the link to the other
    /// region.
    local_instances: f64,
}

impl Region {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            missed_summaries: 0,
            ramp_started: None,
            link_rtt_ms: DEFAULT_LINK_RTT_MS,
            link_budget_bytes: LINK_BYTES_PER_SECOND * LINK_BURST_DURATION.as_secs_f64(),
            link_updated: now,
            local_instances: 1.0,
        }
    }

    /// Returns whether forwarded requests are expected to reach the region.
    pub(super) fn is_reachable(&self) -> bool {
        self.missed_summaries < UNREACHABLE_AFTER_MISSED_SUMMARIES
    }

    /// Records that the region answered a summary request after `elapsed`, and updates the smoothed
    /// round-trip time.
    pub(super) fn record_response(&mut self, now: Duration, elapsed: Duration) {
        if !self.is_reachable() {
            self.ramp_started = Some(now);
        }
        self.missed_summaries = 0;
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        self.link_rtt_ms += 0.2 * (elapsed_ms.min(4.0 * DEFAULT_LINK_RTT_MS) - self.link_rtt_ms);
    }

    /// Records that the region did not answer a summary request.
    pub(super) fn record_miss(&mut self) {
        self.missed_summaries = self.missed_summaries.saturating_add(1);
    }

    /// Returns the fraction of the region's free slots to which requests may be forwarded now.
    pub(super) fn usable_fraction(&self, now: Duration) -> f64 {
        let Some(started) = self.ramp_started else {
            return 1.0;
        };
        let progress = now.saturating_sub(started).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        (RAMP_INITIAL_SHARE + (1.0 - RAMP_INITIAL_SHARE) * progress).min(1.0)
    }

    /// Sets the number of local instances that share the bandwidth of the link.
    pub(super) fn set_local_instances(&mut self, local_instances: usize) {
        self.local_instances = local_instances.max(1) as f64;
    }

    /// Returns the number of bytes that may be forwarded now.
    pub(super) fn available_link_bytes(&self, now: Duration) -> f64 {
        let rate = LINK_BYTES_PER_SECOND / self.local_instances;
        let max_bytes = rate * LINK_BURST_DURATION.as_secs_f64();
        let elapsed_s = now.saturating_sub(self.link_updated).as_secs_f64();
        (self.link_budget_bytes + rate * elapsed_s).min(max_bytes)
    }

    /// Returns the fraction of the link's budget in use.
    pub(super) fn link_utilization(&self, now: Duration) -> f64 {
        let max_bytes =
            LINK_BYTES_PER_SECOND / self.local_instances * LINK_BURST_DURATION.as_secs_f64();
        1.0 - (self.available_link_bytes(now) / max_bytes).clamp(0.0, 1.0)
    }

    /// Charges forwarded bytes to the link's budget.
    pub(super) fn charge_link(&mut self, now: Duration, bytes: u64) {
        self.link_budget_bytes = self.available_link_bytes(now) - bytes as f64;
        self.link_updated = now;
    }
}

/// A pool in another region.
#[derive(Debug, Default)]
pub(super) struct RemotePool {
    /// Number of listed targets that are not leaving.
    pub(super) targets: u32,
    /// Total throughput of these targets in tokens per second.
    pub(super) capacity: f64,
    /// Mean price of these targets per thousand tokens.
    pub(super) price: f64,
    /// Total number of slots of these targets.
    pub(super) slots: f64,
    /// Whether any target is listed, including leaving targets.
    pub(super) listed: bool,
    last_summary: Option<LastSummary>,
}

#[derive(Debug, Clone, Copy)]
struct LastSummary {
    free_slots: f64,
    wait_ms: f64,
    forwarded_since: f64,
}

impl RemotePool {
    /// Adds a target that is not leaving.
    pub(super) fn add(&mut self, capacity: f64, slots: f64, price: f64) {
        let before = f64::from(self.targets);
        self.price = (self.price * before + price) / (before + 1.0);
        self.targets += 1;
        self.capacity += capacity;
        self.slots += slots;
    }

    /// Carries the last summary over a fleet update.
    pub(super) fn keep_summary(&mut self, previous: Option<&mut Self>) {
        if let Some(previous) = previous {
            self.last_summary = previous.last_summary;
        }
    }

    /// Records a summary from an instance of the region.
    pub(super) fn record_summary(&mut self, summary: &PoolSummary) {
        self.last_summary = Some(LastSummary {
            free_slots: f64::from(summary.free_slots.max(0.0)),
            wait_ms: f64::from(summary.wait_ms.max(0.0)),
            forwarded_since: 0.0,
        });
    }

    /// Counts a request forwarded since the last summary.
    pub(super) fn record_forward(&mut self) {
        if let Some(last_summary) = &mut self.last_summary {
            last_summary.forwarded_since += 1.0;
        }
    }

    /// Returns how many more requests this instance may forward before the next summary, given that
    /// `live_instances` instances act on the same summary.
    pub(super) fn available_slots(&self, live_instances: f64, usable_fraction: f64) -> f64 {
        let Some(last_summary) = self.last_summary else {
            return self.slots * usable_fraction / live_instances;
        };
        (last_summary.free_slots * usable_fraction / live_instances).max(usable_fraction)
            - last_summary.forwarded_since
    }

    /// Returns the expected waiting time of a request in milliseconds.
    pub(super) fn wait_ms(&self) -> f64 {
        self.last_summary
            .map_or(DEFAULT_WAIT_MS, |last_summary| last_summary.wait_ms)
    }

    /// Returns the estimated number of requests in flight.
    pub(super) fn in_flight(&self) -> f64 {
        let free = self.last_summary.map_or(0.0, |last_summary| {
            last_summary.free_slots - last_summary.forwarded_since
        });
        (self.slots - free).max(0.0)
    }
}

crate::wire_format!("region-summary", RegionSummary);
