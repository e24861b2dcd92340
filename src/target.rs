//! Speaking to targets.
//!
//! A plug-in implements [`Target`] and registers a [`TargetPlugin`] with `inventory`.

mod connections;
mod http;
mod openai;
mod plain;
mod sse;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use async_trait::async_trait;

use crate::call::{Answer, Call};
use crate::id::{RegionId, RequestId, TargetId};

pub use sse::{EventSplitter, EventTooLong, data_of, id_of, is_done};

/// Where a target is and what it is called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAddress {
    /// The target's name.
    pub id: TargetId,
    /// Its region.
    pub region: RegionId,
    /// Its address.
    pub address: SocketAddr,
}

/// Why a target gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// No byte of the request can have reached the target.
    #[error("target not reached: {0}")]
    NotReached(String),
    /// The target refused before it ran the request.
    #[error("target refused: status {0}")]
    Refused(u16),
    /// The target answered that it failed.
    #[error("target failed: status {0}")]
    Failed(u16),
    /// The connection broke or went silent after bytes may have left.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The answer belongs to another request.
    #[error("answer of another request")]
    Crossed,
}

/// What a target says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests being generated.
    pub running: u32,
    /// Requests waiting at the engine.
    pub waiting: u32,
    /// Use of the cache memory, 0 to 1.
    pub cache_use: f32,
}

/// One way of speaking to targets.
#[async_trait]
pub trait Target: Send + Sync {
    /// Sends one attempt; the answer's body may still be on its way.
    async fn send(
        &self,
        to: &TargetAddress,
        attempt: RequestId,
        call: &Call,
    ) -> Result<Answer, TargetError>;

    /// Asks the target for its load; `None` if it does not report.
    async fn load(&self, to: &TargetAddress) -> Option<Load>;

    /// Asks whether the target answers on a connection that did not exist before.
    async fn probe(&self, to: &TargetAddress) -> bool;

    /// Closes the idle connections to the target; requests in flight keep theirs.
    fn reset(&self, to: &TargetAddress);

    /// Asks for what entered and left the target's prefix cache after an event; `None` if the
    /// target does not say.
    async fn cache_events(&self, _to: &TargetAddress, _after: u64) -> Option<CacheEvents> {
        None
    }
}

/// Changes of a target's prefix cache, in order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CacheEvents {
    /// The changes.
    pub events: Vec<CacheEvent>,
}

/// One change of a target's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Counts the target's events one by one; a jump is a gap.
    pub number: u64,
    /// What changed.
    pub change: CacheChange,
}

/// What changed in a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block with this hash is cached now.
    Stored(u64),
    /// The block with this hash is gone.
    Removed(u64),
    /// All blocks are gone.
    Cleared,
}

/// A kind of target, registered with `inventory::submit!`.
pub struct TargetPlugin {
    /// The name used in the operators' settings, such as `openai`.
    pub name: &'static str,
    /// Makes the plug-in with its own connections, which come from the given address.
    pub make: fn(Option<IpAddr>) -> Arc<dyn Target>,
}

inventory::collect!(TargetPlugin);

/// Makes the plug-in of the given name, with connections from the address `source` if any.
pub fn plugin(name: &str, source: Option<IpAddr>) -> Option<Arc<dyn Target>> {
    for plugin in inventory::iter::<TargetPlugin> {
        if plugin.name != name {
            continue;
        }
        return Some((plugin.make)(source));
    }
    None
}
