//! Failure detection: suspect and dead instances, isolated regions.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{DEAD_RETENTION, SUSPICION_TIMEOUT, View};
use crate::member::Health;
use crate::member::schedule::{self};
use crate::member::status::{Liveness, Status};
use crate::member::table::MemberKey;

/// An instance that has received no answer for this long declares no other instance dead, as the
/// instance's own network may be at fault.
const CUT_OFF_AFTER: Duration = Duration::from_secs(2);

/// Failure detection.
impl View {
    /// Returns whether no instance has answered recently, so that this instance may be cut off.
    pub(super) fn is_cut_off(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_answer) > CUT_OFF_AFTER
    }

    /// Records an answer. If this instance was cut off, the suspicion timeout of each suspect
    /// instance starts again.
    pub(super) fn record_answer(&mut self, now: Duration) {
        let was_cut_off = self.is_cut_off(now);
        self.last_answer = now;
        if !was_cut_off {
            return;
        }
        for key in self.suspects() {
            if let Some(row) = self.table.row_mut(key) {
                row.changed_at = now;
            }
        }
    }

    pub(super) fn suspect(&mut self, now: Duration, key: MemberKey, status: Status) {
        let Some(row) = self.table.row(key) else {
            return;
        };
        if row.status != status || !schedule::is_neighbour(&self.table, row) {
            return;
        }
        self.worsen_liveness(now, key, Liveness::Suspect);
    }

    pub(super) fn worsen_liveness(&mut self, now: Duration, key: MemberKey, liveness: Liveness) {
        let Some(row) = self.table.row(key) else {
            return;
        };
        let status = row.status.worsened(liveness);
        if status == row.status {
            return;
        }
        self.gossip.add(row.id.clone());
        let was_live = self.is_live(key);
        self.table.set_status(now, key, status);
        self.changed = true;
        self.lost_live |= was_live && !self.is_live(key);
    }

    pub(super) fn is_live(&self, key: MemberKey) -> bool {
        let row = self.table.row(key);
        row.is_some_and(|r| r.health() == Health::Live)
    }

    pub(super) fn suspects(&self) -> Vec<MemberKey> {
        let mut suspects = Vec::new();
        for (key, row) in self.table.iter() {
            if row.status.liveness == Liveness::Suspect {
                suspects.push(key);
            }
        }
        suspects
    }

    pub(super) fn expire_suspects(&mut self, now: Duration) {
        if self.is_cut_off(now) {
            return;
        }
        for key in self.suspects() {
            let Some(row) = self.table.row(key) else {
                continue;
            };
            let due = now.saturating_sub(row.changed_at) >= SUSPICION_TIMEOUT;
            if due && schedule::is_neighbour(&self.table, row) {
                self.worsen_liveness(now, key, Liveness::Dead);
            }
        }
    }

    pub(super) fn remove_stale(&mut self, now: Duration) {
        let mut stale = Vec::new();
        for (key, row) in self.table.iter() {
            let never_heard = row.listed.is_none() && row.status.announcement.incarnation == 0;
            let dead = row.status.liveness == Liveness::Dead;
            if never_heard || (dead && self.table.idle(now, key) > DEAD_RETENTION) {
                stale.push((key, row.id.clone()));
            }
        }
        for (key, id) in stale {
            if self.table.remove(key) {
                self.gossip.remove(&id);
                self.changed = true;
            }
        }
    }

    pub(super) fn update_isolated(&mut self, now: Duration) {
        let regions = self.other_regions();
        self.contacts.retain(|r| regions.contains(r));
        let mut isolated = BTreeSet::new();
        for region in regions {
            if self.contacts.is_isolated(now, &region) {
                isolated.insert(region);
            }
        }
        if isolated != self.isolated {
            self.isolated = isolated;
            self.changed = true;
        }
    }
}
