//! The targets that the instance knows.
//!
//! During a store outage, entries expire although their targets are running; the targets write them
//! again within [`ENTRY_RECOVERY_TIME`] of the store's recovery. The registry therefore keeps a
//! target whose entry disappears around an outage for that long.

use std::collections::BTreeMap;
use std::time::Duration;

use super::dialect::TargetEntry;
use crate::id::TargetId;

/// Time after the store's recovery within which expired entries are written again, as the platform
/// guarantees.
pub const ENTRY_RECOVERY_TIME: Duration = Duration::from_secs(2);

/// A target that the instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownTarget {
    /// The target's entry.
    pub entry: TargetEntry,
    /// Time until which the target counts as cold, so that instances bound the rate of requests to
    /// it.
    pub cold_until: Duration,
    /// When the entry disappeared from the store; `None` if the store has the entry.
    pub missing_since: Option<Duration>,
}

/// The targets that the instance knows.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    targets: BTreeMap<TargetId, KnownTarget>,
    initialized: bool,
    grace_until: Duration,
}

impl TargetRegistry {
    /// Records that the store did not answer at `at`.
    pub fn record_store_failure(&mut self, at: Duration) {
        self.grace_until = self.grace_until.max(at + ENTRY_RECOVERY_TIME);
    }

    /// Takes over all entries that the store has, and removes targets without an entry unless a
    /// store outage may be the reason for the missing entry.
    ///
    /// `warmup` returns how long a target stays cold after its start.
    pub fn update(
        &mut self,
        now: Duration,
        entries: BTreeMap<TargetId, TargetEntry>,
        warmup: impl Fn(&TargetEntry) -> Duration,
    ) {
        let listed = |id: &TargetId| entries.contains_key(id);
        let missing = self.targets.keys().filter(|id| !listed(id)).cloned();
        let missing: Vec<TargetId> = missing.collect();
        for id in missing {
            self.remove(now, &id);
        }
        for (id, entry) in entries {
            let warmup = warmup(&entry);
            self.insert(now, id, entry, warmup);
        }
        self.finish_update(now);
    }

    /// Takes over the entry of one target, which stays cold for `warmup` after its start.
    pub fn insert(&mut self, now: Duration, id: TargetId, entry: TargetEntry, warmup: Duration) {
        let mut entry = entry;
        let previous = self.targets.get_mut(&id);
        if let Some(previous) = &previous {
            // A process that leaves never returns; an entry that says otherwise is older.
            let same_process = previous.entry.started_unix_ms == entry.started_unix_ms;
            entry.leaving |= same_process && previous.entry.leaving;
        }
        if let Some(previous) = previous
            && previous.entry == entry
        {
            // The entry states the rest of the warm-up as of its own write.
            previous.missing_since = None;
            return;
        }
        let previous = self.targets.get(&id);
        let restarted = previous.is_some_and(|k| k.entry.started_unix_ms != entry.started_unix_ms);
        // Targets that are older than this instance are only as cold as their entries say.
        let started = self.initialized && (previous.is_none() || restarted);
        let mut cold_for = entry.cold_for;
        if started {
            cold_for = cold_for.max(warmup);
        }
        let mut cold_until = now + cold_for;
        if let Some(previous) = previous.filter(|_| !restarted) {
            cold_until = cold_until.max(previous.cold_until);
        }
        let known = KnownTarget {
            entry,
            cold_until,
            missing_since: None,
        };
        self.targets.insert(id, known);
    }

    /// Records that the store no longer has the entry of a target. The target is removed by
    /// [`TargetRegistry::finish_update`] unless a store outage may be the reason.
    pub fn remove(&mut self, now: Duration, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.missing_since.get_or_insert(now);
        }
    }

    /// Ends a series of insertions and removals.
    pub fn finish_update(&mut self, now: Duration) {
        if now >= self.grace_until {
            self.targets
                .retain(|_, known| known.missing_since.is_none());
        }
        self.initialized = true;
    }

    /// Marks the targets of a data centre as cold until at least `until`.
    pub fn mark_cold(&mut self, data_centre: &str, until: Duration) {
        for known in self.targets.values_mut() {
            if known.entry.data_centre == data_centre {
                known.cold_until = known.cold_until.max(until);
            }
        }
    }

    /// Removes targets that were kept after a store outage and whose entries did not return in
    /// time; returns whether any were removed.
    pub fn remove_expired(&mut self, now: Duration) -> bool {
        let count_before = self.targets.len();
        let grace_until = self.grace_until;
        self.targets.retain(|_, known| {
            known.missing_since.is_none_or(|at| {
                now < grace_until
                    .max(at + ENTRY_RECOVERY_TIME)
                    .min(at + ENTRY_RECOVERY_TIME * 2)
            })
        });
        count_before != self.targets.len()
    }

    /// Returns the known targets, including targets kept although their entries disappeared around
    /// a store outage.
    pub fn targets(&self) -> &BTreeMap<TargetId, KnownTarget> {
        &self.targets
    }
}
