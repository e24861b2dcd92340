//! Keeps to the request rates that targets name.
//!
//! A target in need names in its answers how many requests a second it takes from all instances
//! together, for as long as it says so. All instances of its region tell each other what it has said
//! last. One of them, the target's scheduler (see [`super::scheduler`]), gives the times at which
//! requests may be sent to it, a moment ahead if need be. How long a request would have to wait for
//! its time counts as a wait at the target.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::TargetId;

/// Lowest rate at which a target gets requests, since only its answers tell that it takes more
/// again.
const MIN_PER_S: f64 = 0.25;

/// Part of a second's requests that may be sent at once.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Longest time by which a request is held back; one that would have to wait longer is sent to
/// another target or refused.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(1);

/// Time after an answer with a rate before which an answer without one may be older than it.
const LIFT_DELAY: Duration = Duration::from_secs(1);

/// How long the end of a limit is remembered, so that older news does not bring it back.
const LIFTED_MEMORY: Duration = Duration::from_secs(60);

/// A process of a target: the target and the process' start time in Unix milliseconds.
pub type ProcessKey = (TargetId, u64);

/// What a process has said last of the rate that it takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLimit {
    /// Requests per second from all instances together; `None` if there is no limit any more.
    pub per_s: Option<f64>,
    /// When it was said.
    pub said_at: Duration,
}

/// A [`TargetLimit`], as encoded between instances.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireLimit {
    per_s: Option<f64>,
    said_ms_ago: u32,
}

impl WireLimit {
    /// Encodes a limit.
    pub fn new(now: Duration, limit: TargetLimit) -> Self {
        let age = now.saturating_sub(limit.said_at);
        Self {
            per_s: limit.per_s,
            said_ms_ago: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the limit on the clock of the receiver.
    pub fn limit(self, now: Duration) -> TargetLimit {
        let age = Duration::from_millis(self.said_ms_ago.into());
        TargetLimit {
            per_s: self.per_s,
            said_at: now.saturating_sub(age),
        }
    }
}

/// How a query for a target treats targets that have named a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitedTargets {
    /// This instance is their scheduler.
    Scheduled,
    /// Their schedulers are asked before a request is sent.
    Asked,
    /// They are left out.
    LeftOut,
}

/// What this instance knows of a process that has named a limit.
#[derive(Debug, Clone, Copy)]
struct Known {
    limit: TargetLimit,
    /// When the next request may be sent, but for the burst, if this instance is the scheduler.
    next_at: Duration,
    /// Up to when the scheduler had given away the times, when this instance last asked it.
    given_until: Duration,
}

/// The limits that targets have named.
#[derive(Debug, Clone, Default)]
pub struct TargetLimits {
    processes: HashMap<ProcessKey, Known>,
}

impl TargetLimits {
    /// Records the rate that an answer to a request sent at `sent_at` names, or that it names none.
    /// Returns the limit if it has changed.
    pub fn record_answer(
        &mut self,
        now: Duration,
        process: &ProcessKey,
        named: Option<f64>,
        sent_at: Duration,
    ) -> Option<TargetLimit> {
        let known = self.processes.get(process).map(|k| k.limit);
        let is_lifted = known.is_none_or(|k| k.per_s.is_none());
        if named.is_none() && is_lifted {
            return None;
        }
        if named.is_none() && known.is_some_and(|k| sent_at < k.said_at + LIFT_DELAY) {
            return None;
        }
        let said = TargetLimit {
            per_s: named.map(|per_s| per_s.max(MIN_PER_S)),
            said_at: now,
        };
        self.hear(process, said).then_some(said)
    }

    /// Records what a process has said, here or to another instance; returns whether the limit has
    /// changed.
    pub fn hear(&mut self, process: &ProcessKey, said: TargetLimit) -> bool {
        let Some(known) = self.processes.get_mut(process) else {
            let known = Known {
                limit: said,
                next_at: Duration::ZERO,
                given_until: Duration::ZERO,
            };
            self.processes.insert(process.clone(), known);
            return said.per_s.is_some();
        };
        if said.said_at < known.limit.said_at {
            return false;
        }
        let changes = said.per_s != known.limit.per_s;
        known.limit = said;
        changes
    }

    /// Tells whether no process has named a limit lately.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns what a process has said last, if it has ever named a limit.
    pub fn get(&self, process: &ProcessKey) -> Option<TargetLimit> {
        Some(self.processes.get(process)?.limit)
    }

    /// Returns the rate that a process has named, if it has a limit.
    pub fn per_s(&self, process: &ProcessKey) -> Option<f64> {
        self.get(process)?.per_s
    }

    /// Returns what processes have said last, also that they have no limit any more.
    pub fn all(&self) -> impl Iterator<Item = (&ProcessKey, TargetLimit)> {
        self.processes.iter().map(|(p, known)| (p, known.limit))
    }

    /// Returns the processes that have a limit.
    pub fn in_force(&self) -> impl Iterator<Item = (&ProcessKey, TargetLimit)> {
        self.all().filter(|(_, limit)| limit.per_s.is_some())
    }

    /// Returns how long a request has to be held back that this instance, the scheduler of the
    /// process, lets be sent next.
    pub fn delay(&self, now: Duration, process: &ProcessKey) -> Duration {
        let Some(known) = self.processes.get(process) else {
            return Duration::ZERO;
        };
        if known.limit.per_s.is_none() {
            return Duration::ZERO;
        }
        known.next_at.saturating_sub(now + BURST_TIME)
    }

    /// Takes the next time at which a request may be sent; returns how long the request has to be
    /// held back until then.
    pub fn take(&mut self, now: Duration, process: &ProcessKey) -> Duration {
        let delay = self.delay(now, process);
        if let Some(known) = self.processes.get_mut(process)
            && let Some(per_s) = known.limit.per_s
        {
            let interval = Duration::from_secs_f64(1.0 / per_s.max(MIN_PER_S));
            known.next_at = known.next_at.max(now) + interval;
        }
        delay
    }

    /// Records how long a request has to be held back by the word of the scheduler of the process.
    pub fn record_delay(&mut self, now: Duration, process: &ProcessKey, delay: Duration) {
        if let Some(known) = self.processes.get_mut(process) {
            known.given_until = now + delay;
        }
    }

    /// Returns how long a request has to be held back at least, by what the scheduler of the process
    /// has told this instance.
    pub fn known_delay(&self, now: Duration, process: &ProcessKey) -> Duration {
        let known = self.processes.get(process);
        known.map_or(Duration::ZERO, |k| k.given_until.saturating_sub(now))
    }

    /// Forgets limits that have ended, and those of processes that `is_listed` does not know.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&ProcessKey) -> bool) {
        self.processes.retain(|process, known| {
            let is_remembered = now < known.limit.said_at + LIFTED_MEMORY;
            is_remembered || (known.limit.per_s.is_some() && is_listed(process))
        });
    }
}
