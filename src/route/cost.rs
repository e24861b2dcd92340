//! Cost functions of the routing policies, which register themselves with `inventory`.

use std::sync::Arc;

/// A possible destination of a request, described for a cost function: a local target, the local
/// queue or a pool in a remote region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Known number of requests in flight.
    pub in_flight: f64,
    /// Maximum number of concurrent requests.
    pub slots: f64,
    /// Expected waiting time before the request starts, in milliseconds.
    pub wait_ms: f64,
    /// Generation throughput in tokens per second.
    pub capacity: f64,
    /// Price per thousand tokens.
    pub price: f64,
    /// Prompt tokens of the request.
    pub prompt_tokens: f64,
    /// Prompt tokens expected in the target's prefix cache.
    pub cached_tokens: f64,
    /// Maximum number of tokens the request may generate.
    pub output_tokens: f64,
    /// Whether the caller waits for the complete response rather than the first token.
    pub full_response: bool,
    /// Round-trip time of the link in milliseconds; 0 in the local region.
    pub link_rtt_ms: f64,
    /// Fraction of the link's bandwidth limit in use, from 0 to 1; 0 in the local region.
    pub link_utilization: f64,
}

/// A routing policy.
pub trait Scorer: Send + Sync {
    /// Returns the cost of a candidate; the candidate with the lowest cost is chosen.
    fn cost(&self, candidate: &Candidate) -> f64;

    /// Returns how many local targets are sampled per request.
    fn samples(&self) -> usize;

    /// Returns how the region of a request is chosen.
    fn region_selection(&self) -> RegionSelection;

    /// Returns whether requests are queued while all local targets are busy.
    fn queues_when_busy(&self) -> bool;
}

/// How a policy chooses between the local region and other regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionSelection {
    /// The destination with the lowest cost.
    ByCost,
    /// A random region, weighted by its number of targets.
    Random,
    /// Always the local region.
    LocalOnly,
}

/// A routing policy, registered with `inventory::submit!`.
pub struct ScorerPlugin {
    /// The name used in settings, such as `cost`.
    pub name: &'static str,
    /// Creates the scorer.
    pub make: fn() -> Arc<dyn Scorer>,
}

inventory::collect!(ScorerPlugin);

/// Creates the scorer with the given name; `None` if no such scorer is registered.
pub fn scorer(name: &str) -> Option<Arc<dyn Scorer>> {
    for plugin in inventory::iter::<ScorerPlugin> {
        if plugin.name != name {
            continue;
        }
        return Some((plugin.make)());
    }
    None
}

inventory::submit!(ScorerPlugin {
    name: "cost",
    make: || Arc::new(CostScorer),
});

inventory::submit!(ScorerPlugin {
    name: "random",
    make: || Arc::new(RandomScorer),
});

inventory::submit!(ScorerPlugin {
    name: "nearest-only",
    make: || Arc::new(NearestScorer),
});

/// Ratio of an engine's prompt throughput to its generation throughput with all slots in use.
const PREFILL_SPEEDUP: f64 = 20.0;

/// Cost of a thousand tokens at a price of 1, in milliseconds.
const PRICE_WEIGHT_MS: f64 = 20.0;

/// Minimum gain that justifies forwarding a request to another region, in milliseconds.
const MIN_FORWARD_GAIN_MS: f64 = 100.0;

/// Cost of using a link at its bandwidth limit, in milliseconds.
const FULL_LINK_COST_MS: f64 = 500.0;

/// Weight of the generation time for streams, where the time to the first token counts in full.
const STREAM_GENERATION_WEIGHT: f64 = 0.3;

/// Expected latency, with price and link utilization converted to milliseconds.
#[derive(Debug)]
struct CostScorer;

impl Scorer for CostScorer {
    fn cost(&self, c: &Candidate) -> f64 {
        let capacity = c.capacity.max(1.0);
        let occupancy = (c.in_flight / c.slots.max(1.0)).min(1.0);
        let new_tokens = (c.prompt_tokens - c.cached_tokens).max(0.0);
        let prefill_ms = 1_000.0 * new_tokens / (capacity * PREFILL_SPEEDUP);
        let concurrent_requests = (c.in_flight + 1.0).min(c.slots.max(1.0));
        let generation_ms = 1_000.0 * c.output_tokens * concurrent_requests / capacity;
        let generation_weight = if c.full_response {
            1.0
        } else {
            STREAM_GENERATION_WEIGHT
        };
        let price_cost_ms = PRICE_WEIGHT_MS * c.price * (new_tokens + c.output_tokens) / 1_000.0;
        let link_cost_ms = if c.link_rtt_ms > 0.0 {
            c.link_rtt_ms
                + MIN_FORWARD_GAIN_MS
                + FULL_LINK_COST_MS * c.link_utilization * c.link_utilization
        } else {
            0.0
        };
        c.wait_ms
            + prefill_ms * (1.0 + occupancy)
            + generation_ms * generation_weight
            + price_cost_ms
            + link_cost_ms
    }

    fn samples(&self) -> usize {
        8
    }

    fn region_selection(&self) -> RegionSelection {
        RegionSelection::ByCost
    }

    fn queues_when_busy(&self) -> bool {
        true
    }
}

/// Baseline policy: a random target in any allowed region.
#[derive(Debug)]
struct RandomScorer;

impl Scorer for RandomScorer {
    fn cost(&self, _candidate: &Candidate) -> f64 {
        0.0
    }

    fn samples(&self) -> usize {
        1
    }

    fn region_selection(&self) -> RegionSelection {
        RegionSelection::Random
    }

    fn queues_when_busy(&self) -> bool {
        false
    }
}

/// Baseline policy: the least busy target of the local region, never another region.
#[derive(Debug)]
struct NearestScorer;

impl Scorer for NearestScorer {
    fn cost(&self, c: &Candidate) -> f64 {
        c.in_flight / c.slots.max(1.0)
    }

    fn samples(&self) -> usize {
        8
    }

    fn region_selection(&self) -> RegionSelection {
        RegionSelection::LocalOnly
    }

    fn queues_when_busy(&self) -> bool {
        true
    }
}
