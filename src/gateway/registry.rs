//! Which targets exist.
//!
//! Entries lapse while the store is away although their targets live, and come back within
//! [`RETURN_TIME`] of its return. So an entry that vanishes around an outage is kept for that long.

use std::collections::BTreeMap;
use std::time::Duration;

use super::dialect::Registered;
use crate::id::TargetId;

/// Time within which lapsed entries are back after the store's return; the platform's promise.
pub const RETURN_TIME: Duration = Duration::from_secs(2);

/// A target that the instance believes in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// What its entry says.
    pub entry: Registered,
    /// Until when it counts as cold.
    pub cold_until: Duration,
    /// When the entry vanished, if it is only kept.
    pub vanished: Option<Duration>,
}

/// The targets that the instance believes in.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    targets: BTreeMap<TargetId, Known>,
    filled: bool,
    unsettled_until: Duration,
}

impl Registry {
    /// Notes at `now` that the store does not answer.
    pub fn store_is_away(&mut self, now: Duration) {
        self.unsettled_until = now + RETURN_TIME;
    }

    /// Takes in all entries that the store has.
    ///
    /// `warmup` says how long a service's target stays cold after its start.
    pub fn learn(
        &mut self,
        now: Duration,
        entries: BTreeMap<TargetId, Registered>,
        warmup: impl Fn(&Registered) -> Duration,
    ) {
        let unsettled = now < self.unsettled_until;
        for (id, known) in &mut self.targets {
            if entries.contains_key(id) || known.vanished.is_some() {
                continue;
            }
            known.vanished = Some(now);
        }
        if !unsettled {
            self.targets
                .retain(|id, known| known.vanished.is_none() || entries.contains_key(id));
        }
        for (id, entry) in entries {
            let before = self.targets.get(&id);
            let restarted = before.is_some_and(|k| k.entry.born != entry.born);
            // What was there when this instance started is as warm as its entry says.
            let started = self.filled && (before.is_none() || restarted);
            let mut cold_for = entry.cold_for;
            if started {
                cold_for = cold_for.max(warmup(&entry));
            }
            let mut cold_until = now + cold_for;
            if let Some(before) = before.filter(|_| !restarted) {
                cold_until = cold_until.max(before.cold_until);
            }
            let known = Known {
                entry,
                cold_until,
                vanished: None,
            };
            self.targets.insert(id, known);
        }
        self.filled = true;
    }

    /// Treats the targets of a data centre as cold until `until`.
    pub fn chill(&mut self, data_centre: &str, until: Duration) {
        for known in self.targets.values_mut() {
            if known.entry.data_centre == data_centre {
                known.cold_until = known.cold_until.max(until);
            }
        }
    }

    /// Drops the entries that were kept long enough; returns whether any was.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.targets.len();
        let settled = self.unsettled_until;
        self.targets.retain(|_, known| {
            known
                .vanished
                .is_none_or(|at| now < settled.max(at + RETURN_TIME).min(at + RETURN_TIME * 2))
        });
        before != self.targets.len()
    }

    /// Returns the targets.
    pub fn targets(&self) -> &BTreeMap<TargetId, Known> {
        &self.targets
    }
}
