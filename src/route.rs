//! Routing: chooses the region and the target that run a request.
//!
//! A [`RoutingState`] holds the state of the local region's targets and summaries of the other
//! regions. Routing decisions depend only on the recorded events and on the time and randomness
//! passed in.

mod cost;
mod health;
mod key;
mod pool;
mod prefix;
mod remote;
mod routing_state;

use std::time::Duration;

use crate::id::RegionId;

pub use cost::{Candidate, RegionSelection, Scorer, ScorerPlugin, scorer};
pub use health::{Failure, Health};
pub use key::{PoolName, RegionKey, TargetKey};
pub use prefix::{BlockHash, PrefixIndex, prompt_blocks};
pub use remote::{PoolSummary, RegionSummary};
pub use routing_state::{RoutingState, RoutingStateBuilder};

/// The regions to which routing may send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Any region that the request's residency allows.
    AnyRegion,
    /// Only the local region, because the request has already been forwarded or must not leave the
    /// region.
    LocalRegion,
}

/// The properties of a request that determine its routing.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The pool of targets that serve the model or service.
    pub pool: &'a PoolName,
    /// Regions in which the request may run.
    pub regions: &'a [RegionId],
    /// Whether the request may be forwarded to another region.
    pub scope: Scope,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub output_tokens: u64,
    /// Whether the caller waits for the complete response rather than the first token.
    pub full_response: bool,
    /// Bytes that a forward would transfer over the link in both directions.
    pub link_bytes: u64,
    /// Hashes of the prompt's blocks; each hash also covers all blocks before it.
    pub blocks: &'a [BlockHash],
    /// Local targets on which an attempt of this request has failed.
    pub failed_targets: &'a [TargetKey],
    /// Regions to which forwarding this request has failed.
    pub failed_regions: &'a [RegionKey],
    /// A local target that is likely to be free.
    pub hint: Option<TargetKey>,
    /// Whether the request is suspected of crashing targets; a suspect is not sent to a target that
    /// already runs another suspect.
    pub suspect: bool,
    /// Expected waiting time in the local queue.
    pub queue_wait: Duration,
}

/// A routing decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this local target.
    Local(TargetKey),
    /// Forward the request to an instance in this region.
    Forward(RegionKey),
    /// Queue the request: targets exist, but none is free.
    Queue,
    /// The request cannot be routed.
    Unroutable(UnroutableReason),
}

/// The reason why a request cannot be routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnroutableReason {
    /// The request's residency allows no region with targets of the pool.
    NoAllowedRegion,
    /// No listed target is live, or attempts on all of them have failed.
    NoTarget,
}
