//! The membership state machine of one instance. It reads no clock and does no I/O.
//!
//! Times are durations since the instance started. The inputs are lists, heartbeats, answers and
//! missing answers; the outputs are [`Action`]s to carry out and the [`Fleet`].

mod failure;
mod receive;
mod send;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngCore};

use super::Fleet;
use super::contact::Contacts;
use super::drain::Drains;
use super::gossip::Gossip;
use super::indirect::{IndirectProbe, ProbeResult};
use super::schedule::{self, Schedule};
use super::status::{Announcement, Brief, Card, Difference, Heartbeat, Liveness, Status};
use super::table::{MemberKey, Table};
use crate::id::{InstanceId, RegionId};
use crate::platform::{Listing, ServiceState};

/// Interval at which an instance sends a heartbeat to one other instance of its region.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Timeout for an answer from an instance of the own region.
pub const REGION_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for an answer from another region, or for a probe through another instance.
pub const REMOTE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that a suspect instance has to refute the suspicion before it is taken for dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a dead instance that is not listed stays in the table.
pub const DEAD_RETENTION: Duration = Duration::from_secs(60);

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a heartbeat; the outcome is reported to [`View::on_answer`] or [`View::on_no_answer`].
    SendHeartbeat {
        /// The receiver.
        to: MemberKey,
        /// The receiver's address.
        address: SocketAddr,
        /// The heartbeat to send.
        heartbeat: Box<Heartbeat>,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Asks one instance to probe another; the outcome is reported to [`View::on_probe_result`].
    ProbeVia {
        /// The address of the instance that is asked to probe.
        prober: SocketAddr,
        /// The instance to probe.
        subject: MemberKey,
        /// The name of the instance to probe.
        id: InstanceId,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Compares tables with another instance; the outcome is reported to [`View::on_difference`] or
    /// [`View::on_compare_failure`].
    CompareTables {
        /// The instance that is asked to compare its table with this instance's table.
        with: MemberKey,
        /// The address of that instance.
        address: SocketAddr,
        /// The entries of this instance's table.
        briefs: Vec<Brief>,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Fetches the list from another instance; a list that arrives is passed to
    /// [`View::apply_list`].
    FetchList {
        /// The address of the instance from which the list is fetched.
        address: SocketAddr,
        /// How long to wait for the answer.
        timeout: Duration,
    },
}

/// The membership view of one instance.
#[derive(Debug, Clone)]
pub struct View {
    table: Table,
    schedule: Schedule,
    contacts: Contacts,
    drains: Drains,
    gossip: Gossip<InstanceId>,
    probes: BTreeMap<MemberKey, IndirectProbe>,
    uninformed: Vec<MemberKey>,
    listing: Listing,
    list_read_at: Option<Duration>,
    last_list_fetch: Option<Duration>,
    own_listed_live: bool,
    in_flight: usize,
    last_event: Duration,
    resumed_at: Duration,
    last_answer: Duration,
    last_compare: Option<Duration>,
    differing_peer: Option<MemberKey>,
    isolated: BTreeSet<RegionId>,
    joined: bool,
    digest_changed_at: Duration,
    digest: u64,
    changed: bool,
    lost_live: bool,
}

impl View {
    /// Creates the initial view of an instance.
    pub fn of(id: InstanceId, card: Card, incarnation: u64) -> Self {
        let announcement = Announcement {
            incarnation: incarnation.max(1),
            ..Announcement::default()
        };
        let status = Status {
            announcement,
            liveness: Liveness::Up,
        };
        Self {
            table: Table::of(id, card, status),
            schedule: Schedule::default(),
            contacts: Contacts::default(),
            drains: Drains::default(),
            gossip: Gossip::default(),
            probes: BTreeMap::new(),
            uninformed: Vec::new(),
            listing: Listing::default(),
            list_read_at: None,
            last_list_fetch: None,
            own_listed_live: false,
            in_flight: 0,
            last_event: Duration::ZERO,
            resumed_at: Duration::ZERO,
            last_answer: Duration::ZERO,
            last_compare: None,
            differing_peer: None,
            isolated: BTreeSet::new(),
            joined: false,
            digest_changed_at: Duration::ZERO,
            digest: 0,
            changed: true,
            lost_live: false,
        }
    }

    /// Returns the table of instances.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the latest list and the time at which it was read.
    pub fn listing(&self) -> (&Listing, Option<Duration>) {
        (&self.listing, self.list_read_at)
    }

    /// Returns the regions that no instance of this region has recently reached.
    pub fn isolated(&self) -> &BTreeSet<RegionId> {
        &self.isolated
    }

    /// Returns whether an instance that was live no longer is since the last call of
    /// [`View::take_changed`]; requests are sent to it until the fleet is published.
    pub fn has_lost_live(&self) -> bool {
        self.lost_live
    }

    /// Returns whether the fleet may have changed since the last call, and resets the flag.
    pub fn take_changed(&mut self) -> bool {
        self.lost_live = false;
        std::mem::take(&mut self.changed)
    }

    /// Returns the fleet as this instance currently sees it.
    pub fn fleet(&self, now: Duration) -> Fleet {
        let members = self.table.members(|r| self.isolated.contains(r));
        let mut targets = self.listing.targets.clone();
        for target in &mut targets {
            if self.drains.is_leaving(now, &target.id) {
                target.state = ServiceState::Leaving;
            }
        }
        Fleet { members, targets }
    }

    /// Applies a list that was read `age` ago; a list older than the latest applied list is
    /// ignored.
    pub fn apply_list(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
        listing: Listing,
        age: Duration,
    ) {
        self.advance_clock(now);
        let read = now.saturating_sub(age);
        if self.list_read_at.is_some_and(|last| last > read) {
            return;
        }
        self.list_read_at = Some(read);
        let mut listed_ids = BTreeSet::new();
        for listed in &listing.instances {
            listed_ids.insert(listed.id.clone());
            if listed.id == self.table.own_row().id {
                self.own_listed(now, rng, listed.state);
                continue;
            }
            if let Some(key) = self.table.apply_listed(now, listed) {
                self.added(now, key, rng);
            }
        }
        self.table.mark_unlisted(now, |id| listed_ids.contains(id));
        self.drains.apply_list(now, &listing.targets);
        self.changed |= listing != self.listing;
        self.listing = listing;
    }

    /// Announces that this instance leaves; the actions tell the first of the other instances, and
    /// those of [`View::on_answer`], [`View::on_no_answer`] and [`View::tick`] the rest.
    pub fn leave(&mut self, now: Duration, rng: &mut dyn RngCore) -> Vec<Action> {
        self.advance_clock(now);
        self.announce_leaving(now, rng);
        self.announce_to_uninformed(now)
    }

    /// Handles timeouts and returns the messages that are due; called every [`HEARTBEAT_PERIOD`].
    pub fn tick(&mut self, now: Duration, rng: &mut dyn RngCore) -> Vec<Action> {
        self.advance_clock(now);
        self.expire_suspects(now);
        self.remove_stale(now);
        self.update_isolated(now);
        self.changed |= self.drains.expire(now);
        let mut actions = self.announce_to_uninformed(now);
        let next = self.schedule.next(&self.table, rng);
        actions.extend(next.and_then(|to| self.heartbeat_action(now, to)));
        for region in self.other_regions() {
            if !rng.random_bool(self.cross_region_probability()) {
                continue;
            }
            let to = schedule::in_region(&self.table, rng, &region);
            actions.extend(to.and_then(|to| self.heartbeat_action(now, to)));
        }
        actions.extend(self.start_table_comparison(now, rng));
        actions
    }

    /// Handles a received heartbeat and returns the answer.
    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
        heartbeat: &Heartbeat,
    ) -> Heartbeat {
        self.advance_clock(now);
        self.apply_heartbeat(now, rng, heartbeat);
        let sender = self.table.find(&heartbeat.from.id);
        self.build_heartbeat(now, sender)
    }

    /// Handles the answer to a heartbeat; the actions fetch the list if the answerer's is newer.
    pub fn on_answer(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
        to: MemberKey,
        heartbeat: &Heartbeat,
    ) -> Vec<Action> {
        self.advance_clock(now);
        self.record_answer(now);
        self.end_request(to);
        self.apply_heartbeat(now, rng, heartbeat);
        let mut actions = self.announce_to_uninformed(now);
        let Some(row) = self.table.row(to) else {
            return actions;
        };
        if row.id != heartbeat.from.id {
            self.suspect(now, to, row.status);
            return actions;
        }
        let address = row.card.peer;
        let region = row.card.region.clone();
        if heartbeat.digest != self.table.digest() {
            self.differing_peer = Some(to);
        }
        if region != self.table.own_row().card.region && self.contacts.record(now, now, &region) {
            self.last_compare = None;
            self.differing_peer = Some(to);
        }
        actions.extend(self.fetch_list(now, address, heartbeat.list_age));
        actions
    }

    /// Handles a missing answer to the heartbeat sent at `sent`; the actions ask other instances to
    /// probe the receiver.
    pub fn on_no_answer(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
        to: MemberKey,
        sent: Duration,
    ) -> Vec<Action> {
        self.advance_clock(now);
        self.end_request(to);
        let mut actions = self.announce_to_uninformed(now);
        let Some(row) = self.table.row(to) else {
            return actions;
        };
        let status = row.status;
        let needs_probe = schedule::is_neighbour(&self.table, row)
            && status.liveness == Liveness::Up
            && sent >= self.resumed_at
            && !self.probes.contains_key(&to);
        if !needs_probe {
            return actions;
        }
        let id = row.id.clone();
        let probers = self.probers(rng, to);
        if probers.is_empty() {
            self.suspect(now, to, status);
            return actions;
        }
        if let Some(row) = self.table.row_mut(to) {
            row.in_flight += 1;
        }
        self.probes
            .insert(to, IndirectProbe::of(status, probers.len()));
        for prober in probers {
            actions.push(Action::ProbeVia {
                prober,
                subject: to,
                id: id.clone(),
                timeout: REMOTE_TIMEOUT,
            });
        }
        actions
    }

    /// Handles the result of a probe through another instance.
    pub fn on_probe_result(&mut self, now: Duration, subject: MemberKey, result: ProbeResult) {
        self.advance_clock(now);
        if result != ProbeResult::ProberFailed {
            self.record_answer(now);
        }
        let Some(probe) = self.probes.get_mut(&subject) else {
            return;
        };
        if !probe.record(result) {
            return;
        }
        let ended = *probe;
        self.probes.remove(&subject);
        if let Some(row) = self.table.row_mut(subject) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
        if ended.is_not_reached() || (ended.is_inconclusive() && self.is_cut_off(now)) {
            self.suspect(now, subject, ended.status());
        }
    }

    /// Returns the heartbeat that probes an instance on behalf of another, if the instance is
    /// known.
    pub fn probe_for_peer(&mut self, now: Duration, id: &InstanceId) -> Option<Action> {
        self.advance_clock(now);
        let key = self.table.find(id)?;
        if key == self.table.own() {
            return None;
        }
        self.heartbeat_action(now, key)
    }

    /// Handles a missing answer from an instance probed on behalf of another; only the instance
    /// that asked for the probe may suspect the probed instance.
    pub fn on_probe_failure(&mut self, now: Duration, to: MemberKey) {
        self.advance_clock(now);
        self.end_request(to);
    }

    /// Returns how this table differs from the table of another instance.
    pub fn difference(&self, theirs: &[Brief]) -> Difference {
        self.table.difference(theirs)
    }

    /// Applies the difference that another instance found between its table and this instance's.
    pub fn on_difference(
        &mut self,
        now: Duration,
        rng: &mut dyn RngCore,
        with: MemberKey,
        difference: &Difference,
    ) {
        self.advance_clock(now);
        self.record_answer(now);
        self.end_request(with);
        self.joined = true;
        self.differing_peer = None;
        let Some(region) = self.table.row(with).map(|r| r.card.region.clone()) else {
            return;
        };
        for delta in &difference.newer {
            self.merge(now, rng, delta, &region);
        }
        for id in &difference.unknown {
            self.mark_unknown_dead(now, id, &region);
        }
    }

    /// Handles a missing answer to a table comparison.
    pub fn on_compare_failure(&mut self, now: Duration, with: MemberKey) {
        self.advance_clock(now);
        self.end_request(with);
        if !self.joined {
            self.last_compare = None;
        }
    }
}
