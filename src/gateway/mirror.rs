//! A copy of the store's entries under one key prefix, kept by instances that read the store and
//! by instances that get changes from them.
//!
//! A mirror remembers deletions as well as entries, so it can tell another mirror what has changed
//! since an earlier revision without sending every entry again.

use std::collections::BTreeMap;

use crate::store::{Entry, StoreRevision, WatchEvent};

/// Maximum number of deletions that a mirror remembers. A mirror that lags behind more deletions
/// than this gets all entries.
const MAX_DELETIONS: usize = 1_024;

/// The store no longer has the changes after the requested revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryLost;

/// The changes that bring another mirror up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The store revision up to which the changes are complete.
    pub revision: StoreRevision,
    /// Whether `entries` has all entries under the prefix, not only those that changed.
    pub is_snapshot: bool,
    /// The entries that were written.
    pub entries: Vec<Entry>,
    /// The keys that were deleted, with the store revision of the deletion.
    pub deleted: Vec<(String, StoreRevision)>,
    /// The gap in the sender's knowledge of deletions.
    pub gap: Option<Gap>,
}

/// A span of revisions in which a mirror may have missed keys that were written and deleted again,
/// since it read the entries anew instead of following the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// The revision before the span.
    pub after: StoreRevision,
    /// The revision at which the entries were read.
    pub until: StoreRevision,
}

impl Gap {
    /// Returns the smallest gap that covers both.
    fn cover(self, other: Option<Self>) -> Self {
        let Some(other) = other else {
            return self;
        };
        Self {
            after: self.after.min(other.after),
            until: self.until.max(other.until),
        }
    }
}

/// A copy of the entries under one key prefix at a store revision.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    prefix: String,
    entries: BTreeMap<String, Entry>,
    deleted: BTreeMap<String, StoreRevision>,
    /// Store revision after which `deleted` has every deletion.
    deleted_since: StoreRevision,
    gap: Option<Gap>,
    revision: StoreRevision,
    loaded: bool,
}

impl Mirror {
    /// Creates an empty mirror of the keys that start with `prefix`.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            ..Self::default()
        }
    }

    /// The key prefix.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns the entry of a key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The store revision up to which the mirror is complete; zero before the first load.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Whether the mirror has been loaded.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Replaces the entries by a list read from the store at `revision`; returns the keys that
    /// changed. A list that is older than the mirror is ignored.
    pub fn load(&mut self, list: Vec<Entry>, revision: StoreRevision) -> Vec<String> {
        if self.loaded && revision < self.revision {
            return Vec::new();
        }
        let mut list: BTreeMap<String, Entry> =
            list.into_iter().map(|e| (e.key.clone(), e)).collect();
        let mut changed = Vec::new();
        // Entries newer than the list were read by another instance in the meantime.
        let missing = |e: &&Entry| !list.contains_key(&e.key) && e.mod_revision <= revision;
        let missing: Vec<String> = self.entries.values().filter(missing).map(key).collect();
        for key in missing {
            self.remove(&key, revision);
            changed.push(key);
        }
        while let Some((key, entry)) = list.pop_first() {
            if self.put(entry) {
                changed.push(key);
            }
        }
        if self.loaded {
            let gap = Gap {
                after: self.revision,
                until: revision,
            };
            self.gap = Some(gap.cover(self.gap));
        } else {
            self.deleted_since = revision;
        }
        self.loaded = true;
        self.revision = revision;
        changed
    }

    /// Applies the events of a watch, which are complete up to revision `at`; returns the keys that
    /// changed.
    ///
    /// # Errors
    ///
    /// If the store no longer has the history; the mirror must be loaded again.
    pub fn apply(
        &mut self,
        events: Vec<WatchEvent>,
        at: StoreRevision,
    ) -> Result<Vec<String>, HistoryLost> {
        let mut changed = Vec::new();
        for event in events {
            match event {
                WatchEvent::Put(entry) => {
                    let key = entry.key.clone();
                    if self.put(entry) {
                        changed.push(key);
                    }
                }
                WatchEvent::Delete(key, revision) => {
                    if self.delete(&key, revision) {
                        changed.push(key);
                    }
                }
                WatchEvent::Gap => return Err(HistoryLost),
            }
        }
        self.revision = self.revision.max(at);
        Ok(changed)
    }

    /// Applies another mirror's changes since a revision that this mirror had; returns the keys that
    /// changed.
    pub fn merge(&mut self, changes: Changes) -> Vec<String> {
        if changes.is_snapshot {
            if self.loaded && changes.revision <= self.revision {
                return Vec::new();
            }
            return self.load(changes.entries, changes.revision);
        }
        let mut changed = Vec::new();
        for entry in changes.entries {
            let key = entry.key.clone();
            if self.put(entry) {
                changed.push(key);
            }
        }
        for (key, revision) in changes.deleted {
            if self.delete(&key, revision) {
                changed.push(key);
            }
        }
        self.gap = changes.gap.map(|gap| gap.cover(self.gap)).or(self.gap);
        self.revision = self.revision.max(changes.revision);
        changed
    }

    /// Returns what has changed since a revision, or `None` if nothing has. `None` as the revision
    /// stands for a mirror that has not been loaded.
    pub fn changes_since(&self, revision: Option<StoreRevision>) -> Option<Changes> {
        if !self.loaded {
            return None;
        }
        if revision.is_some_and(|r| r >= self.revision) {
            return None;
        }
        let in_gap = |r: StoreRevision| self.gap.is_some_and(|g| g.after < r && r < g.until);
        let Some(since) = revision.filter(|r| *r >= self.deleted_since && !in_gap(*r)) else {
            return Some(Changes {
                revision: self.revision,
                is_snapshot: true,
                entries: self.entries.values().cloned().collect(),
                deleted: Vec::new(),
                gap: None,
            });
        };
        let written = self.entries.values().filter(|e| e.mod_revision > since);
        let entries: Vec<Entry> = written.cloned().collect();
        let deleted = self.deleted.iter().filter(|(_, at)| **at > since);
        let deleted: Vec<(String, StoreRevision)> =
            deleted.map(|(key, at)| (key.clone(), *at)).collect();
        if entries.is_empty() && deleted.is_empty() {
            return None;
        }
        Some(Changes {
            revision: self.revision,
            is_snapshot: false,
            entries,
            deleted,
            gap: self.gap,
        })
    }

    /// Inserts an entry unless the mirror has a newer state of its key; returns whether it did.
    fn put(&mut self, entry: Entry) -> bool {
        let known = self.entries.get(&entry.key).map(|e| e.mod_revision);
        let deleted = self.deleted.get(&entry.key).copied();
        if known.max(deleted) >= Some(entry.mod_revision) {
            return false;
        }
        self.deleted.remove(&entry.key);
        self.entries.insert(entry.key.clone(), entry);
        true
    }

    /// Records the deletion of a key at `revision`, unless the mirror has a newer state of the key;
    /// returns whether an entry was removed.
    fn delete(&mut self, key: &str, revision: StoreRevision) -> bool {
        let known = self.entries.get(key).map(|e| e.mod_revision);
        if known.max(self.deleted.get(key).copied()) >= Some(revision) {
            return false;
        }
        self.remove(key, revision)
    }

    fn remove(&mut self, key: &str, revision: StoreRevision) -> bool {
        let removed = self.entries.remove(key).is_some();
        self.deleted.insert(key.to_owned(), revision);
        if self.deleted.len() > MAX_DELETIONS {
            let oldest = self.deleted.iter().min_by_key(|(_, at)| **at);
            if let Some((key, at)) = oldest.map(|(key, at)| (key.clone(), *at)) {
                self.deleted.remove(&key);
                self.deleted_since = self.deleted_since.max(at);
            }
        }
        removed
    }
}

fn key(entry: &Entry) -> String {
    entry.key.clone()
}
