//! Decides for how long a target that could not be reached is left out, and by whom.
//!
//! An instance leaves out the targets that it did not reach itself. The scheduler of a target leaves
//! it out for all instances only if a second one does not reach it before it answers any: one instance
//! may have lost its link to a sound target.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::id::{InstanceId, TargetId};

/// Ejection time after the first failure; doubled with each consecutive failure.
const INITIAL_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest ejection time of a failing target.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// The ejection of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    consecutive_failures: u32,
    until: Duration,
}

impl Ejection {
    /// Ejects the target; returns the ejection time.
    pub fn record_failure(&mut self, now: Duration) -> Duration {
        self.consecutive_failures = (self.consecutive_failures + 1).min(8);
        let time = (INITIAL_EJECTION_TIME * 2_u32.pow(self.consecutive_failures - 1))
            .min(MAX_EJECTION_TIME);
        self.until = now + time;
        time
    }

    /// Ends the ejection.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Tells whether the target has failed since its last success.
    pub fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Makes the ejection last at least until a time.
    pub fn extend(&mut self, until: Duration) {
        self.until = self.until.max(until);
    }

    /// Tells whether the target is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.until > now
    }
}

/// The targets that one instance has not reached itself.
#[derive(Debug, Clone, Default)]
pub struct OwnEjections(HashMap<TargetId, Ejection>);

impl OwnEjections {
    /// Records that the instance did not reach a target; returns the ejection time.
    pub fn record_failure(&mut self, now: Duration, id: &TargetId) -> Duration {
        self.0.entry(id.clone()).or_default().record_failure(now)
    }

    /// Records that a target has answered the instance.
    pub fn record_success(&mut self, id: &TargetId) {
        self.0.remove(id);
    }

    /// Returns the targets that the instance leaves out.
    pub fn ejected(&self, now: Duration) -> Vec<TargetId> {
        let ejected = self.0.iter().filter(|(_, e)| e.is_ejected(now));
        ejected.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.0.retain(|id, _| is_listed(id));
    }
}

/// The instances that have not reached a target since its last answer, as its scheduler knows them.
#[derive(Debug, Clone, Default)]
pub struct ReachReports(HashMap<TargetId, BTreeSet<InstanceId>>);

impl ReachReports {
    /// Records that a target has answered an instance.
    pub fn record_answer(&mut self, id: &TargetId) {
        self.0.remove(id);
    }

    /// Records that an instance did not reach a target; returns whether the target is to be left out
    /// for all. `is_alone` tells that no other instance of the region is live.
    pub fn record_not_reached(
        &mut self,
        id: &TargetId,
        instance: &InstanceId,
        is_alone: bool,
    ) -> bool {
        let reporters = self.0.entry(id.clone()).or_default();
        reporters.insert(instance.clone());
        is_alone || reporters.len() > 1
    }

    /// Forgets targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.0.retain(|id, _| is_listed(id));
    }
}
