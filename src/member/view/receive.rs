//! Handling of received heartbeats, gossip and table differences.

use std::time::Duration;

use rand::RngCore;

use super::{DEAD_RETENTION, View};
use crate::id::{InstanceId, RegionId};
use crate::member::schedule::{self};
use crate::member::status::{Announcement, Delta, Heartbeat, Liveness, Status};
use crate::member::table::{MemberKey, Merged};
use crate::platform::ServiceState;

/// A gap of at least this length between two inputs counts as a pause of the process: without a
/// pause, heartbeat ticks arrive every 500 ms.
const MIN_PAUSE: Duration = Duration::from_millis(1_500);

/// Time after an instance's start at which the instance accepts that the list, which has never
/// shown it as live, marks it as leaving. Before, the mark may belong to the previous incarnation.
const ACCEPT_OWN_LEAVING_MARK_AFTER: Duration = Duration::from_secs(30);

/// Incoming messages.
impl View {
    /// Records the current time. If this process was paused, other instances are not suspected
    /// because of missing answers during the pause.
    pub(super) fn advance_clock(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_event);
        self.last_event = now;
        if gap > MIN_PAUSE {
            self.resumed_at = now;
            self.last_answer = now;
            self.contacts.discount_pause(gap);
            for key in self.suspects() {
                if let Some(row) = self.table.row_mut(key) {
                    row.changed_at += gap;
                }
            }
        }
        if self.digest != self.table.digest() {
            self.digest = self.table.digest();
            self.digest_changed_at = now;
        }
    }

    pub(super) fn apply_heartbeat(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
        heartbeat: &Heartbeat,
    ) {
        let Some(card) = &heartbeat.from.card else {
            return;
        };
        let region = card.region.clone();
        self.merge(now, rng, &heartbeat.from, &region);
        for delta in &heartbeat.deltas {
            self.merge(now, rng, delta, &region);
        }
        for note in &heartbeat.drains {
            self.changed |= self.drains.apply_note(now, note);
        }
        let own = self.table.own_row().card.region.clone();
        if region != own {
            return;
        }
        for (other, age) in &heartbeat.contacts {
            if *other == own {
                continue;
            }
            self.contacts.record(now, now.saturating_sub(*age), other);
        }
    }

    /// Merges an update received from an instance of region `source`.
    ///
    /// An unknown instance is added only if `source` is that instance's own region or this region:
    /// a third region may have missed the removal of the instance.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
        delta: &Delta,
        source: &RegionId,
    ) {
        if delta.id == self.table.own_row().id {
            self.refute(now, delta.status);
            return;
        }
        let own = &self.table.own_row().card.region;
        let is_third_party =
            source != own && delta.card.as_ref().is_some_and(|c| c.region != *source);
        if is_third_party && self.table.find(&delta.id).is_none() {
            return;
        }
        let known = self.table.find(&delta.id);
        let was_live = known.is_some_and(|key| self.is_live(key));
        match self.table.merge(now, delta) {
            Merged::Added(key) => self.added(now, key, rng),
            Merged::Updated(key) => {
                self.changed = true;
                self.lost_live |= was_live && !self.is_live(key);
            }
            Merged::Unchanged => return,
        }
        self.gossip.add(delta.id.clone());
    }

    pub(super) fn added(&mut self, now: Duration, key: MemberKey, rng: &mut dyn RngCore) {
        self.changed = true;
        let Some(row) = self.table.row(key) else {
            return;
        };
        if schedule::is_neighbour(&self.table, row) {
            self.schedule.add(key, rng);
        } else {
            self.contacts.track(now, &row.card.region.clone());
        }
    }

    /// Refutes a received status of this instance that is greater than this instance's own status,
    /// by announcing a greater status.
    pub(super) fn refute(&mut self, now: Duration, claimed: Status) {
        let own = self.table.own_row().status;
        if claimed <= own {
            return;
        }
        let mut announcement = own.announcement;
        if claimed.announcement.incarnation > announcement.incarnation {
            announcement.incarnation = claimed.announcement.incarnation.saturating_add(1);
            announcement.refutation = 0;
        } else {
            announcement.refutation = claimed.announcement.refutation.saturating_add(1);
        }
        self.announce(now, announcement);
    }

    pub(super) fn announce_leaving(&mut self, now: Duration, rng: &mut dyn RngCore) {
        let mut announcement = self.table.own_row().status.announcement;
        if announcement.leaving {
            return;
        }
        announcement.leaving = true;
        announcement.refutation = announcement.refutation.saturating_add(1);
        self.announce(now, announcement);
        self.uninformed = schedule::everyone(&self.table, rng);
    }

    pub(super) fn announce(&mut self, now: Duration, announcement: Announcement) {
        let liveness = Liveness::Up;
        let own = self.table.own();
        self.table.set_status(
            now,
            own,
            Status {
                announcement,
                liveness,
            },
        );
        self.changed = true;
    }

    pub(super) fn own_listed(&mut self, now: Duration, rng: &mut dyn RngCore, state: ServiceState) {
        if state == ServiceState::Live {
            self.own_listed_live = true;
            return;
        }
        if self.own_listed_live || now >= ACCEPT_OWN_LEAVING_MARK_AFTER {
            self.announce_leaving(now, rng);
        }
    }

    /// Marks an instance as dead if `source`, the region of the instance, no longer knows the
    /// instance.
    pub(super) fn mark_unknown_dead(&mut self, now: Duration, id: &InstanceId, source: &RegionId) {
        let Some(key) = self.table.find(id) else {
            return;
        };
        let is_of_source = key != self.table.own()
            && self
                .table
                .row(key)
                .is_some_and(|r| r.card.region == *source);
        if is_of_source && self.table.idle(now, key) > DEAD_RETENTION {
            self.worsen_liveness(now, key, Liveness::Dead);
        }
    }
}
