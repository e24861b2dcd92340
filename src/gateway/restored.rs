//! Decides what of an instance's beliefs holds after the store has come back from an older copy of
//! its data.
//!
//! The copy lacks what was written in the last seconds before, and still has what was deleted then.
//! The writers write again what the copy lacks, so a missing entry is kept for a while. An entry
//! that was deleted before is ignored until it is written again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::store::StoreRevision;

/// How long a deletion is remembered. Copies are some seconds old.
const DELETION_MEMORY: Duration = Duration::from_secs(60);

/// Whether a change of a key takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The change takes effect.
    Apply,
    /// What was believed before stays in force.
    Ignore,
}

#[derive(Debug, Clone, Copy)]
struct Ignored {
    revision: StoreRevision,
    until: Duration,
}

/// The keys under one prefix whose state in the store is not believed yet.
#[derive(Debug, Clone)]
pub struct RestoredKeys {
    /// How long an entry that the copy lacks is kept.
    keep_time: Duration,
    /// How long an entry is ignored that was deleted before the store came back.
    ignore_time: Duration,
    /// Keys that the copy lacks, and until when their entries are kept.
    kept: BTreeMap<String, Duration>,
    ignored: BTreeMap<String, Ignored>,
    /// Keys that were deleted lately, and when.
    deleted: BTreeMap<String, Duration>,
}

impl RestoredKeys {
    /// Creates a judge of keys whose writers need up to `keep_time` to write them again, and whose
    /// entries the store keeps for up to `ignore_time` without a live writer.
    pub fn new(keep_time: Duration, ignore_time: Duration) -> Self {
        Self {
            keep_time,
            ignore_time,
            kept: BTreeMap::new(),
            ignored: BTreeMap::new(),
            deleted: BTreeMap::new(),
        }
    }

    /// Begins a new era of the store.
    pub fn begin_era(&mut self, now: Duration) {
        for until in self.kept.values_mut() {
            *until = now + self.keep_time;
        }
        self.deleted.retain(|_, at| now < *at + DELETION_MEMORY);
    }

    /// Judges the state of a key that has changed; `revision` is that of its entry, if it has one.
    /// `in_copy` tells whether the state was read as part of a new era.
    pub fn judge(
        &mut self,
        now: Duration,
        key: &str,
        revision: Option<StoreRevision>,
        in_copy: bool,
    ) -> Verdict {
        let Some(revision) = revision else {
            self.ignored.remove(key);
            if in_copy {
                self.kept.insert(key.to_owned(), now + self.keep_time);
                return Verdict::Ignore;
            }
            self.kept.remove(key);
            self.deleted.insert(key.to_owned(), now);
            return Verdict::Apply;
        };
        if in_copy && self.deleted.contains_key(key) {
            let until = now + self.ignore_time;
            self.ignored
                .insert(key.to_owned(), Ignored { revision, until });
            return Verdict::Ignore;
        }
        if self
            .ignored
            .get(key)
            .is_some_and(|i| i.revision == revision)
        {
            return Verdict::Ignore;
        }
        self.ignored.remove(key);
        self.kept.remove(key);
        self.deleted.remove(key);
        Verdict::Apply
    }

    /// Returns the keys whose state in the store is to be believed from now on.
    pub fn take_due(&mut self, now: Duration) -> Vec<String> {
        let kept = self.kept.iter().filter(|(_, until)| **until <= now);
        let ignored = self.ignored.iter().filter(|(_, i)| i.until <= now);
        let due: Vec<String> = kept
            .map(|(key, _)| key.clone())
            .chain(ignored.map(|(key, _)| key.clone()))
            .collect();
        for key in &due {
            self.kept.remove(key);
            self.ignored.remove(key);
            self.deleted.remove(key);
        }
        due
    }

    /// Returns how many missing entries are kept, and how many entries are ignored.
    pub fn counts(&self) -> (usize, usize) {
        (self.kept.len(), self.ignored.len())
    }
}
