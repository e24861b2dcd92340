//! Leaving targets: targets that are marked as leaving in the list that any instance has read.

use std::collections::BTreeMap;
use std::time::Duration;

use super::gossip::Gossip;
use super::status::DrainNote;
use crate::id::TargetId;
use crate::platform::{ListedTarget, ServiceState};

/// Time for which a target counts as leaving after an instance last read in the list that the
/// target is leaving.
const DRAIN_TTL: Duration = Duration::from_secs(60);

/// Age of a note from which an instance that still reads in the list that the target is leaving
/// renews the note.
const RENEW_AFTER: Duration = Duration::from_secs(30);

/// Maximum number of leaving targets that are tracked.
const MAX_NOTES: usize = 1024;

/// Bytes of an encoded note, without the target's name.
const NOTE_FIXED_BYTES: usize = 5;

/// The leaving targets that this instance knows. Instances send each other notes on leaving
/// targets, so that all instances know that a target is leaving once one instance has read so in
/// the list.
#[derive(Debug, Clone, Default)]
pub struct Drains {
    expires_at: BTreeMap<TargetId, Duration>,
    gossip: Gossip<TargetId>,
}

impl Drains {
    /// Records the leaving targets of the list; returns whether a target is newly leaving.
    pub fn apply_list(&mut self, now: Duration, targets: &[ListedTarget]) -> bool {
        let mut is_new = false;
        for target in targets {
            if target.state != ServiceState::Leaving {
                continue;
            }
            if self.age(now, &target.id).is_some_and(|a| a < RENEW_AFTER) {
                continue;
            }
            is_new |= self.insert(now + DRAIN_TTL, &target.id);
        }
        is_new
    }

    /// Records a note on a leaving target from another instance; returns whether the target is
    /// newly leaving.
    pub fn apply_note(&mut self, now: Duration, note: &DrainNote) -> bool {
        if note.age >= DRAIN_TTL {
            return false;
        }
        let known = self.age(now, &note.target);
        if known.is_some_and(|a| a < note.age + RENEW_AFTER / 2) {
            return false;
        }
        self.insert(now + DRAIN_TTL - note.age, &note.target)
    }

    /// Returns whether a target counts as leaving.
    pub fn is_leaving(&self, now: Duration, target: &TargetId) -> bool {
        self.expires_at
            .get(target)
            .is_some_and(|until| now < *until)
    }

    /// Removes targets whose time as leaving has expired; returns whether any were removed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.expires_at.len();
        let gossip = &mut self.gossip;
        self.expires_at.retain(|target, until| {
            let keep = now < *until;
            if !keep {
                gossip.remove(target);
            }
            keep
        });
        self.expires_at.len() < before
    }

    /// Returns the notes to send next, within a limit of `bytes`.
    pub fn take(&mut self, now: Duration, fleet: usize, bytes: usize) -> Vec<DrainNote> {
        let taken = self
            .gossip
            .take(fleet, bytes, |t| Some(t.as_str().len() + NOTE_FIXED_BYTES));
        let mut notes = Vec::with_capacity(taken.len());
        for target in taken {
            let Some(age) = self.age(now, &target) else {
                continue;
            };
            notes.push(DrainNote { target, age });
        }
        notes
    }

    fn age(&self, now: Duration, target: &TargetId) -> Option<Duration> {
        let until = self.expires_at.get(target)?;
        Some(DRAIN_TTL.saturating_sub(until.saturating_sub(now)))
    }

    fn insert(&mut self, until: Duration, target: &TargetId) -> bool {
        if self.expires_at.len() >= MAX_NOTES && !self.expires_at.contains_key(target) {
            return false;
        }
        self.gossip.add(target.clone());
        self.expires_at.insert(target.clone(), until).is_none()
    }
}
