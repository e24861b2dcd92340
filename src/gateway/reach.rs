//! Decides whether this instance is cut off from the targets of its region, and which other
//! instances are.
//!
//! An instance may lose its links to all targets while callers, the store and other instances still
//! reach it. Its failed connections then say nothing about the targets. A failure is ascribed to the
//! target only if this instance has connected to some target since the failed attempt began;
//! otherwise it first tries to connect to a few targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::id::InstanceId;

/// How long an instance that has said that it is cut off gets no requests.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// How long a process that has ended, or seems to have, gets no requests. A link that refuses
/// connections may heal, and a later process may look the same, so it is not left out for good.
const ENDED_TIME: Duration = Duration::from_secs(3);

/// Number of targets that are tried before the instance takes itself for cut off.
const TARGETS_TRIED: usize = 3;

/// Largest number of targets that are tried at a time.
const MAX_TARGETS_TRIED: usize = 12;

/// Number of addresses that have accepted a connection last which are tried first.
const ADDRESSES_KEPT: usize = 2;

/// What is known of this instance's links to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// The instance has connected to a target.
    Connected,
    /// The instance connects to no target.
    CutOff,
    /// The instance has to try.
    Unknown,
}

/// This instance's experience with its links to targets, and what other instances say of theirs.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    connected_at: Option<Duration>,
    /// The addresses that have accepted a connection last, the latest first.
    last_accepted: Vec<SocketAddr>,
    is_cut_off: bool,
    cut_off_instances: HashMap<InstanceId, Duration>,
    ended_instances: HashMap<InstanceId, EndedProcess>,
}

#[derive(Debug, Clone, Copy)]
struct EndedProcess {
    incarnation: u64,
    until: Duration,
}

/// The targets that are tried to tell failed targets from lost links.
///
/// Where most targets are silent, a few at random would not tell the two apart, so those that have
/// accepted a connection last come first. A refused connection may come from a dead target or from a
/// link that refuses connections; it takes no time, so further targets are tried until one accepts.
#[derive(Debug, Clone)]
pub struct LinkTries {
    untried: Vec<SocketAddr>,
    /// Number of addresses to try next.
    next: usize,
}

impl LinkTries {
    /// Takes the addresses that are tried next, at once; none if the tries have ended.
    pub fn next_batch(&mut self) -> Vec<SocketAddr> {
        let n = std::mem::take(&mut self.next).min(self.untried.len());
        self.untried.drain(..n).collect()
    }

    /// Records that a tried address refuses connections.
    pub fn record_refused(&mut self) {
        self.next = MAX_TARGETS_TRIED;
    }
}

impl Reach {
    /// Records that a connection to a target has been opened. Returns whether the instance was cut
    /// off until now.
    pub fn record_connected(&mut self, now: Duration) -> bool {
        self.connected_at = Some(now);
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records the address that has accepted a connection.
    pub fn record_accepted(&mut self, address: SocketAddr) {
        self.last_accepted.retain(|a| *a != address);
        self.last_accepted.insert(0, address);
        self.last_accepted.truncate(ADDRESSES_KEPT);
    }

    /// Begins the tries of the addresses of a region: those that have accepted a connection last, then
    /// others at random. `round` counts the tries since the instance was found to be cut off; each
    /// begins with more addresses.
    pub fn link_tries(
        &self,
        addresses: &[SocketAddr],
        round: u32,
        rng: &mut impl Rng,
    ) -> LinkTries {
        let mut untried = self.last_accepted.clone();
        untried.retain(|a| addresses.contains(a));
        let mut others = addresses.to_vec();
        others.retain(|a| !untried.contains(a));
        others.shuffle(rng);
        untried.extend(others);
        let first = TARGETS_TRIED.saturating_mul(2_usize.saturating_pow(round));
        LinkTries {
            untried,
            next: first.min(MAX_TARGETS_TRIED),
        }
    }

    /// Records that none of the tried targets has accepted a connection. Returns whether that is
    /// news.
    pub fn record_cut_off(&mut self) -> bool {
        !std::mem::replace(&mut self.is_cut_off, true)
    }

    /// Tells whether the instance is known to be cut off.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns what is known of the links after a failed attempt that began at `began`.
    pub fn link_since(&self, began: Duration) -> Link {
        if self.is_cut_off {
            return Link::CutOff;
        }
        match self.connected_at {
            Some(at) if at > began => Link::Connected,
            _ => Link::Unknown,
        }
    }

    /// Records that another instance has said that it is cut off from the targets of its region.
    pub fn record_instance_cut_off(&mut self, now: Duration, id: &InstanceId) {
        self.cut_off_instances.retain(|_, until| *until > now);
        self.cut_off_instances.insert(id.clone(), now + AVOID_TIME);
    }

    /// Tells whether another instance has lately said that it is cut off.
    pub fn avoids(&self, now: Duration, id: &InstanceId) -> bool {
        let until = self.cut_off_instances.get(id);
        until.is_some_and(|until| *until > now)
    }

    /// Records that this process of another instance has ended or is about to: nothing listens at its
    /// address, or it has said that it leaves.
    pub fn record_instance_ended(&mut self, now: Duration, id: &InstanceId, incarnation: u64) {
        self.ended_instances.retain(|_, ended| ended.until > now);
        let until = now + ENDED_TIME;
        self.ended_instances
            .insert(id.clone(), EndedProcess { incarnation, until });
    }

    /// Tells whether this process of another instance has lately been recorded as ended.
    pub fn has_ended(&self, now: Duration, id: &InstanceId, incarnation: u64) -> bool {
        let ended = self.ended_instances.get(id);
        ended.is_some_and(|e| e.incarnation == incarnation && e.until > now)
    }
}
