//! Targets that fall over when they turn too many requests away.
//!
//! A brittle target says in each answer how many requests a second it can turn away for want of room.
//! No instance knows what the others have sent to it, so all requests for such a target go through its
//! scheduler (see [`super::scheduler`]), those without a prompt too, and the scheduler sends only as
//! many at once as there are slots. The number that the target names does not matter: nothing is
//! gained by what it turns away.

use std::collections::HashSet;
use std::time::Duration;

use smol_str::SmolStr;

use super::target_limits::{ProcessKey, TargetLimit, TargetLimits};

/// The targets that have said that they are brittle, as one instance knows them.
#[derive(Debug, Clone, Default)]
pub struct BrittleTargets {
    /// What processes have said last, as the rate of requests that they can turn away.
    said: TargetLimits,
    /// The services with a target that is brittle.
    services: HashSet<SmolStr>,
    /// The services whose targets have answered this instance.
    heard: HashSet<SmolStr>,
}

impl BrittleTargets {
    /// Records whether an answer to a request sent at `sent_at` says that the process is brittle, and
    /// how many requests a second it can turn away. Returns whether that has changed.
    pub fn record_answer(
        &mut self,
        now: Duration,
        process: &ProcessKey,
        service: &SmolStr,
        turned_away_per_s: Option<f64>,
        sent_at: Duration,
    ) -> bool {
        if !self.heard.contains(service) {
            self.heard.insert(service.clone());
        }
        let said = self
            .said
            .record_answer(now, process, turned_away_per_s, sent_at);
        if said.is_some_and(|said| said.per_s.is_some()) {
            self.services.insert(service.clone());
        }
        said.is_some()
    }

    /// Records what a process has said to another instance.
    pub fn hear(&mut self, process: &ProcessKey, service: &SmolStr, said: TargetLimit) {
        if self.said.hear(process, said) && said.per_s.is_some() {
            self.services.insert(service.clone());
        }
    }

    /// Tells whether no process has lately said that it is brittle.
    pub fn is_empty(&self) -> bool {
        self.said.is_empty()
    }

    /// Tells whether a process has said that it is brittle.
    pub fn is_brittle(&self, process: &ProcessKey) -> bool {
        !self.said.is_empty() && self.said.per_s(process).is_some()
    }

    /// Tells whether requests for a service go through schedulers: a target of it is brittle, or none
    /// has answered yet, so that it is not known.
    pub fn schedules(&self, service: &SmolStr) -> bool {
        self.services.contains(service) || !self.heard.contains(service)
    }

    /// Returns what processes have said, also that they are brittle no more.
    pub fn said(&self) -> impl Iterator<Item = (&ProcessKey, TargetLimit)> {
        self.said.all()
    }

    /// Forgets processes that `is_listed` does not know.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&ProcessKey) -> bool) {
        self.said.expire(now, is_listed);
        if self.said.in_force().next().is_none() {
            self.services.clear();
        }
    }
}
