//! Outgoing messages: receivers, contents and rates.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngCore;

use super::{Action, HEARTBEAT_PERIOD, REGION_TIMEOUT, REMOTE_TIMEOUT, View};
use crate::id::RegionId;
use crate::member::Health;
use crate::member::schedule::{self};
use crate::member::status::{Heartbeat, Liveness};
use crate::member::table::{MemberKey, Row};

/// Heartbeats per second that all instances of a region together send to each other region.
const CROSS_REGION_HEARTBEATS_PER_SECOND: f64 = 3.0;

/// Maximum number of heartbeats and table comparisons in flight.
const MAX_IN_FLIGHT: usize = 16;

/// Maximum number of instances that are asked to probe an instance that did not answer.
const MAX_PROBERS: usize = 2;

/// Maximum bytes of gossip about instances in one heartbeat.
const MAX_GOSSIP_BYTES: usize = 400;

/// Maximum bytes of notes on leaving targets in one heartbeat.
const MAX_DRAIN_BYTES: usize = 120;

/// Bytes of an encoded delta, without names and card.
const DELTA_FIXED_BYTES: usize = 14;

/// Bytes of an encoded card, without names.
const CARD_FIXED_BYTES: usize = 18;

/// Bandwidth for table comparisons, in bytes per second.
const COMPARE_BYTES_PER_SECOND: usize = 300;

/// Minimum interval between two table comparisons.
const MIN_COMPARE_INTERVAL: Duration = Duration::from_secs(5);

/// Tables are compared at a quarter of the rate if the own table has changed within this time.
const DIGEST_STABLE_AFTER: Duration = Duration::from_secs(3);

/// Age of this instance's list from which a newer list is fetched from another instance.
const LIST_STALE_AFTER: Duration = Duration::from_secs(15);

/// Minimum difference in age for which a list is fetched from another instance, and minimum time
/// between two fetches.
const MIN_LIST_AGE_DIFFERENCE: Duration = Duration::from_secs(10);

/// Outgoing messages.
impl View {
    pub(super) fn heartbeat_action(&mut self, now: Duration, to: MemberKey) -> Option<Action> {
        if self.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        let own_region = self.table.own_row().card.region.clone();
        let row = self.table.row_mut(to)?;
        row.in_flight += 1;
        let address = row.card.peer;
        let timeout = if row.card.region == own_region {
            REGION_TIMEOUT
        } else {
            REMOTE_TIMEOUT
        };
        self.in_flight += 1;
        let heartbeat = Box::new(self.build_heartbeat(now, Some(to)));
        Some(Action::SendHeartbeat {
            to,
            address,
            heartbeat,
            timeout,
        })
    }

    /// Sends a heartbeat to instances that this leaving instance has not told yet that it leaves, as
    /// many as may be in flight.
    pub(super) fn announce_to_uninformed(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.in_flight < MAX_IN_FLIGHT {
            let Some(to) = self.uninformed.pop() else {
                break;
            };
            actions.extend(self.heartbeat_action(now, to));
        }
        actions
    }

    /// Builds a heartbeat. If the receiver is not live in this view, the receiver's status comes
    /// first in the heartbeat, so that the receiver can refute the status.
    pub(super) fn build_heartbeat(&mut self, now: Duration, to: Option<MemberKey>) -> Heartbeat {
        let mut deltas = Vec::new();
        if let Some(key) = to
            && self
                .table
                .row(key)
                .is_some_and(|r| r.health() != Health::Live)
        {
            deltas.extend(self.table.delta(key));
        }
        let cut_off = self.is_cut_off(now);
        let table = &self.table;
        let ids = self.gossip.take(table.len(), MAX_GOSSIP_BYTES, |id| {
            let row = table.row(table.find(id)?)?;
            if cut_off && row.status.liveness != Liveness::Up {
                return None;
            }
            Some(encoded_bytes(row))
        });
        for id in ids {
            let delta = self.table.find(&id).and_then(|key| self.table.delta(key));
            deltas.extend(delta);
        }
        Heartbeat {
            from: self
                .table
                .delta(self.table.own())
                .expect("the own row is never removed"),
            digest: self.table.digest(),
            list_age: self.list_read_at.map(|at| now.saturating_sub(at)),
            contacts: self.contacts.ages(now),
            drains: self.drains.take(now, self.table.len(), MAX_DRAIN_BYTES),
            deltas,
        }
    }

    /// Chooses the two instances that are asked to probe another instance: one of this region and
    /// one of another region, or both of the same kind if the other kind has none.
    pub(super) fn probers(&self, rng: &mut dyn RngCore, subject: MemberKey) -> Vec<SocketAddr> {
        let mut probers: Vec<SocketAddr> = Vec::new();
        for is_neighbour in [true, false, true, false] {
            if probers.len() >= MAX_PROBERS {
                break;
            }
            let found = schedule::random(&self.table, rng, |r| {
                schedule::is_neighbour(&self.table, r) == is_neighbour
                    && r.status.liveness == Liveness::Up
                    && !self.isolated.contains(&r.card.region)
                    && self.table.find(&r.id) != Some(subject)
                    && !probers.contains(&r.card.peer)
            });
            let row = found.and_then(|key| self.table.row(key));
            probers.extend(row.map(|r| r.card.peer));
        }
        probers
    }

    pub(super) fn start_table_comparison(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
    ) -> Option<Action> {
        let with = match self.last_compare {
            None => self.differing_peer.or_else(|| {
                schedule::random(&self.table, rng, |r| schedule::is_neighbour(&self.table, r))
                    .or_else(|| schedule::random(&self.table, rng, |_| true))
            })?,
            Some(last) if now.saturating_sub(last) < self.compare_interval(now) => return None,
            Some(_) => self.differing_peer?,
        };
        if self.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        let briefs = self.table.briefs();
        let row = self.table.row_mut(with)?;
        if row.in_flight > 0 {
            return None;
        }
        row.in_flight += 1;
        let address = row.card.peer;
        self.in_flight += 1;
        self.last_compare = Some(now);
        Some(Action::CompareTables {
            with,
            address,
            briefs,
            timeout: REMOTE_TIMEOUT,
        })
    }

    pub(super) fn compare_interval(&self, now: Duration) -> Duration {
        let bytes = self.table.len() * (DELTA_FIXED_BYTES + CARD_FIXED_BYTES);
        let min_by_bandwidth = Duration::from_secs((bytes / COMPARE_BYTES_PER_SECOND) as u64);
        let interval = min_by_bandwidth.max(MIN_COMPARE_INTERVAL);
        if now.saturating_sub(self.digest_changed_at) < DIGEST_STABLE_AFTER {
            return interval * 4;
        }
        interval
    }

    pub(super) fn fetch_list(
        &mut self,
        now: Duration,
        address: SocketAddr,
        age: Option<Duration>,
    ) -> Vec<Action> {
        let Some(age) = age else {
            return Vec::new();
        };
        let own_age = self.list_read_at.map(|read| now.saturating_sub(read));
        if own_age.is_some_and(|own| own < LIST_STALE_AFTER || own < age + MIN_LIST_AGE_DIFFERENCE)
        {
            return Vec::new();
        }
        let fetched_recently = self
            .last_list_fetch
            .is_some_and(|at| now.saturating_sub(at) < MIN_LIST_AGE_DIFFERENCE);
        if fetched_recently {
            return Vec::new();
        }
        self.last_list_fetch = Some(now);
        vec![Action::FetchList {
            address,
            timeout: REMOTE_TIMEOUT,
        }]
    }

    pub(super) fn cross_region_probability(&self) -> f64 {
        let mut neighbours = 1.0;
        for (_, row) in self.table.iter() {
            if schedule::is_neighbour(&self.table, row) && row.status.liveness == Liveness::Up {
                neighbours += 1.0;
            }
        }
        (CROSS_REGION_HEARTBEATS_PER_SECOND * HEARTBEAT_PERIOD.as_secs_f64() / neighbours).min(1.0)
    }

    pub(super) fn other_regions(&self) -> BTreeSet<RegionId> {
        let own = &self.table.own_row().card.region;
        let mut regions = BTreeSet::new();
        for (_, row) in self.table.iter() {
            if row.card.region != *own && !regions.contains(&row.card.region) {
                regions.insert(row.card.region.clone());
            }
        }
        regions
    }

    pub(super) fn end_request(&mut self, to: MemberKey) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(row) = self.table.row_mut(to) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }
}

/// Returns the size of the delta that describes a row of another instance.
fn encoded_bytes(row: &Row) -> usize {
    let mut bytes = DELTA_FIXED_BYTES + row.id.as_str().len();
    if row.status.liveness == Liveness::Up {
        bytes += CARD_FIXED_BYTES + row.card.region.as_str().len() + row.card.data_centre.len();
    }
    bytes
}
