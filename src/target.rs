//! Clients for the protocols that targets speak.
//!
//! A plug-in implements [`Target`] and registers a [`TargetPlugin`] with `inventory`.

pub mod answer_match;
mod answer_progress;
mod connections;
mod framing;
mod http;
mod openai;
mod plain;
mod sse;
mod stream_head;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use async_trait::async_trait;

use crate::call::{Answer, Call};
use crate::id::{RegionId, RequestId, TargetId};

pub use answer_progress::{AnswerProgress, Incomplete};
pub use framing::Framing;
pub use sse::{
    EventBoundary, EventSplitter, EventTooLong, event_data, event_id, is_done_event, may_follow,
};
pub use stream_head::{NotContinued, StreamHead};

/// The name, region and address of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAddress {
    /// The target's name.
    pub id: TargetId,
    /// The target's region.
    pub region: RegionId,
    /// The target's address.
    pub address: SocketAddr,
}

/// Why an attempt at a target received no valid response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// No byte of the request can have reached the target.
    #[error("request not sent to the target: {0}")]
    NotSent(String),
    /// The target rejected the request with this HTTP status and did not run the request.
    #[error("target rejected the request with status {0}")]
    Rejected(u16),
    /// The target answered with this HTTP status, which reports an error.
    #[error("target failed with status {0}")]
    Failed(u16),
    /// After bytes of the request may have been sent, the connection broke or stalled, or the end
    /// of the response cannot be recognized.
    #[error("no complete response from the target: {0}")]
    Incomplete(String),
    /// The response belongs to another request.
    #[error("response belongs to another request")]
    WrongRequest,
}

/// The load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Number of requests for which the target is generating tokens.
    pub running: u32,
    /// Number of requests waiting in the engine's queue.
    pub waiting: u32,
    /// Fraction of the cache memory in use, from 0 to 1.
    pub cache_usage: f32,
}

/// A client for targets of one protocol.
#[async_trait]
pub trait Target: Send + Sync {
    /// Sends one attempt; returns when the head of the response is known, while the body may still
    /// be arriving.
    async fn send(
        &self,
        to: &TargetAddress,
        attempt: RequestId,
        call: &Call,
    ) -> Result<Answer, TargetError>;

    /// Requests the target's load; `None` if the target does not report its load.
    async fn load(&self, to: &TargetAddress) -> Option<Load>;

    /// Returns whether the target answers on a new connection.
    async fn probe(&self, to: &TargetAddress) -> bool;

    /// Closes the idle connections to the target; connections of requests in flight stay open.
    fn close_idle(&self, to: &TargetAddress);

    /// Requests the changes of the target's prefix cache after the event with the given sequence
    /// number; `None` if the target reports no cache events.
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
    /// The sequence number of the target's events, which increases by one; a larger step means that
    /// events were lost.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// The kind of a prefix cache change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block with this hash was added.
    Stored(u64),
    /// The block with this hash was removed.
    Removed(u64),
    /// All blocks were removed.
    Cleared,
}

/// A kind of target, registered with `inventory::submit!`.
pub struct TargetPlugin {
    /// The name used in settings, such as `openai`.
    pub name: &'static str,
    /// Creates the plug-in with its own connections, which are bound to the given source address.
    pub make: fn(Option<IpAddr>) -> Arc<dyn Target>,
}

inventory::collect!(TargetPlugin);

/// Creates the plug-in with the given name; its connections are bound to `source`, if given.
/// Returns `None` if no such plug-in is registered.
pub fn plugin(name: &str, source: Option<IpAddr>) -> Option<Arc<dyn Target>> {
    for plugin in inventory::iter::<TargetPlugin> {
        if plugin.name != name {
            continue;
        }
        return Some((plugin.make)(source));
    }
    None
}
