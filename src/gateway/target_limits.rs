//! Keeps to the request rates that targets name.
//!
//! A target in need names in its answers how many requests a second it takes from all instances
//! together, for as long as it says so. All instances of its region tell each other what it has said
//! last. One of them, the target's scheduler (see [`super::scheduler`]), gives the times at which
//! requests may be sent to it.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::TargetId;

/// Lowest rate at which a target gets requests, since only its answers tell that it takes more
/// again.
const MIN_PER_S: f64 = 0.25;

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

/// The limits that targets have named.
#[derive(Debug, Clone, Default)]
pub struct TargetLimits {
    limits: HashMap<ProcessKey, TargetLimit>,
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
        let known = self.limits.get(process);
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

    /// Records what a process has said, also to another instance; returns whether the limit has
    /// changed.
    pub fn hear(&mut self, process: &ProcessKey, said: TargetLimit) -> bool {
        let known = self.limits.get_mut(process);
        let Some(known) = known else {
            self.limits.insert(process.clone(), said);
            return said.per_s.is_some();
        };
        if said.said_at < known.said_at {
            return false;
        }
        let changes = said.per_s != known.per_s;
        *known = said;
        changes
    }

    /// Returns the rate that a process has named, if it has a limit.
    pub fn per_s(&self, process: &ProcessKey) -> Option<f64> {
        self.limits.get(process)?.per_s
    }

    /// Forgets limits that have ended, and those of processes that `is_listed` does not know.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&ProcessKey) -> bool) {
        self.limits.retain(|process, limit| {
            let is_remembered = now < limit.said_at + LIFTED_MEMORY;
            is_remembered || (limit.per_s.is_some() && is_listed(process))
        });
    }
}
