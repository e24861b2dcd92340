//! Remembers which kinds of messages the builds of other instances do not know.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a kind is tried again. The instance at the address may have been replaced.
const MEMORY: Duration = Duration::from_secs(5);

/// The message kinds that instances of older builds have turned away.
#[derive(Debug, Clone, Default)]
pub struct UnknownKinds(HashMap<(SocketAddr, &'static str), Duration>);

impl UnknownKinds {
    /// Records that the instance at an address does not know a kind.
    pub fn record(&mut self, now: Duration, to: SocketAddr, kind: &'static str) {
        self.0.retain(|_, until| *until > now);
        self.0.insert((to, kind), now + MEMORY);
    }

    /// Tells whether a message of the kind is worth sending.
    pub fn may_know(&self, now: Duration, to: SocketAddr, kind: &'static str) -> bool {
        self.0.get(&(to, kind)).is_none_or(|until| *until <= now)
    }
}
