//! Decides whether this instance is cut off from the targets of its region, and which other
//! instances are.
//!
//! An instance may lose its links to all targets while callers, the store and other instances still
//! reach it. Its failed connections then say nothing about the targets. A failure is ascribed to the
//! target only if the machine of some target has answered this instance since the failed attempt
//! began; otherwise it first tries to connect to a few targets. A refused connection is an answer:
//! no process listens there, but the links work.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::id::InstanceId;

/// How long an instance that has said that it is cut off gets no requests.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// How long a process at whose address nothing listened gets no requests. A link that refuses
/// connections may heal, so the process is not left out for good.
const ENDED_TIME: Duration = Duration::from_secs(3);

/// Number of targets that are tried before the instance takes itself for cut off.
const TARGETS_TRIED: usize = 3;

/// Largest number of targets that an instance that is cut off tries at a time.
const MAX_TARGETS_TRIED: usize = 12;

/// Number of addresses that have answered last which are tried first.
const ADDRESSES_KEPT: usize = 2;

/// The outcome of a try to connect to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// A process accepts connections.
    Accepted,
    /// No process listens on the address.
    Refused,
    /// The machine did not answer.
    Unknown,
}

impl Probe {
    /// The name in the journal.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }

    /// Tells whether the target's machine has answered, so that this instance's links work.
    pub fn shows_link(self) -> bool {
        match self {
            Self::Accepted | Self::Refused => true,
            Self::Unknown => false,
        }
    }
}

/// What is known of this instance's links to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// The machine of a target has answered.
    Connected,
    /// No machine of a target answers.
    CutOff,
    /// The instance has to try.
    Unknown,
}

/// This instance's experience with its links to targets, and what other instances say of theirs.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    answered_at: Option<Duration>,
    /// The addresses that have answered last, the latest first.
    last_answered: Vec<SocketAddr>,
    is_cut_off: bool,
    cut_off_instances: HashMap<InstanceId, Duration>,
    ended_instances: HashMap<InstanceId, EndedProcess>,
}

#[derive(Debug, Clone, Copy)]
struct EndedProcess {
    incarnation: u64,
    until: Duration,
}

impl Reach {
    /// Records that the machine of a target has accepted or refused a connection. Returns whether
    /// the instance was cut off until now.
    pub fn record_connected(&mut self, now: Duration) -> bool {
        self.answered_at = Some(now);
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records the address that has accepted or refused a connection.
    pub fn record_answer_of(&mut self, address: SocketAddr) {
        self.last_answered.retain(|a| *a != address);
        self.last_answered.insert(0, address);
        self.last_answered.truncate(ADDRESSES_KEPT);
    }

    /// Chooses the addresses to try out of those of a region: those that have answered last, and
    /// others at random.
    ///
    /// Where most targets are silent, a few at random would not tell this from lost links. `round`
    /// counts the tries since the instance was found to be cut off; each takes more addresses.
    pub fn addresses_to_try(
        &self,
        addresses: &[SocketAddr],
        round: u32,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let n = TARGETS_TRIED.saturating_mul(2_usize.saturating_pow(round));
        let n = n.min(MAX_TARGETS_TRIED);
        let mut chosen = self.last_answered.clone();
        chosen.retain(|a| addresses.contains(a));
        let others = addresses.iter().filter(|a| !chosen.contains(a)).copied();
        let others = others.choose_multiple(rng, n - chosen.len());
        chosen.extend(others);
        chosen
    }

    /// Records that the machine of none of the tried targets has answered. Returns whether that is
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
        match self.answered_at {
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

    /// Records that nothing listens at the address of another instance.
    pub fn record_instance_ended(&mut self, now: Duration, id: &InstanceId, incarnation: u64) {
        self.ended_instances.retain(|_, ended| ended.until > now);
        let until = now + ENDED_TIME;
        self.ended_instances
            .insert(id.clone(), EndedProcess { incarnation, until });
    }

    /// Tells whether nothing listened lately at the address of this process of another instance.
    pub fn has_ended(&self, now: Duration, id: &InstanceId, incarnation: u64) -> bool {
        let ended = self.ended_instances.get(id);
        ended.is_some_and(|e| e.incarnation == incarnation && e.until > now)
    }
}
