//! The table of known instances: an arena with keys that are reused.

use std::collections::BTreeMap;
use std::time::Duration;

use super::status::{Brief, Card, Delta, Difference, Liveness, Status};
use super::{Health, Member};
use crate::id::{InstanceId, RegionId};
use crate::platform::{ListedInstance, ServiceState};

/// Maximum number of instances in the table, including dead instances.
const MAX_ROWS: usize = 4096;

/// The key of a row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey(u32);

/// What the table records about one instance.
#[derive(Debug, Clone)]
pub struct Row {
    /// The instance's name.
    pub id: InstanceId,
    /// The instance's addresses and location.
    pub card: Card,
    /// The instance's latest announcement and its liveness.
    pub status: Status,
    /// The time at which the instance's status last changed.
    pub changed_at: Duration,
    /// The instance's state in the latest list; `None` if the list does not contain the instance.
    pub listed: Option<ServiceState>,
    /// Number of messages to the instance that await an answer.
    pub in_flight: u8,
    /// The instance's incarnation when the list began to mark the instance as leaving.
    leaving_incarnation: Option<u64>,
    /// The time since which the list has not contained the instance.
    unlisted_at: Duration,
    /// Whether any list read so far has contained the instance.
    was_listed: bool,
}

impl Row {
    /// Returns whether the instance has announced that it leaves, or the list marks it as leaving.
    ///
    /// An incarnation greater than the one that the list marked is a restart that the list does not
    /// show yet.
    pub fn is_leaving(&self) -> bool {
        let announcement = self.status.announcement;
        announcement.leaving
            || self
                .leaving_incarnation
                .is_some_and(|d| d >= announcement.incarnation)
    }

    /// Returns the health of the instance, provided that its region is not isolated.
    pub fn health(&self) -> Health {
        match self.status.liveness {
            Liveness::Dead => Health::Dead,
            _ if self.is_leaving() => Health::Leaving,
            Liveness::Suspect => Health::Suspect,
            Liveness::Up => Health::Live,
        }
    }

    fn apply_listed_state(&mut self, state: ServiceState) {
        self.listed = Some(state);
        self.was_listed = true;
        self.leaving_incarnation = match (state, self.leaving_incarnation) {
            (ServiceState::Live, _) => None,
            (ServiceState::Leaving, None) => Some(self.status.announcement.incarnation),
            (ServiceState::Leaving, seen) => seen,
        };
    }

    /// Returns whether the instance is dead and no longer listed. Its row is kept for a while, so
    /// that a late update does not add the instance again.
    fn is_gone(&self) -> bool {
        let dropped = self.was_listed && self.listed.is_none();
        dropped && self.status.liveness == Liveness::Dead
    }

    fn set_status(&mut self, now: Duration, status: Status) {
        let is_first_contact = self.status.announcement.incarnation == 0;
        if is_first_contact && self.leaving_incarnation == Some(0) {
            self.leaving_incarnation = Some(status.announcement.incarnation);
        }
        self.status = status;
        self.changed_at = now;
    }
}

/// How merging an update changed the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// The instance was unknown and has been added.
    Added(MemberKey),
    /// The status of the instance has been replaced by a greater one.
    Updated(MemberKey),
    /// The update was not newer, the instance was unknown and had no card, or the table is full.
    Unchanged,
}

/// The known instances, including this instance.
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Option<Row>>,
    free_keys: Vec<MemberKey>,
    keys_by_id: BTreeMap<InstanceId, MemberKey>,
    own: MemberKey,
    digest: u64,
}

impl Table {
    /// Creates a table that contains only the instance itself.
    pub fn of(id: InstanceId, card: Card, status: Status) -> Self {
        let mut table = Self {
            rows: Vec::new(),
            free_keys: Vec::new(),
            keys_by_id: BTreeMap::new(),
            own: MemberKey(0),
            digest: 0,
        };
        table.insert(Duration::ZERO, id, card, status);
        table
    }

    /// Returns the key of the instance itself.
    pub fn own(&self) -> MemberKey {
        self.own
    }

    /// Returns the row of the instance itself.
    pub fn own_row(&self) -> &Row {
        self.row(self.own).expect("the own row is never removed")
    }

    /// Returns the row of a key, if the instance is in the table.
    pub fn row(&self, key: MemberKey) -> Option<&Row> {
        self.rows.get(key.0 as usize)?.as_ref()
    }

    /// Returns the row of a key, to change fields that the digest does not cover.
    pub fn row_mut(&mut self, key: MemberKey) -> Option<&mut Row> {
        self.rows.get_mut(key.0 as usize)?.as_mut()
    }

    /// Finds an instance by name.
    pub fn find(&self, id: &InstanceId) -> Option<MemberKey> {
        self.keys_by_id.get(id).copied()
    }

    /// Returns the number of known instances.
    pub fn len(&self) -> usize {
        self.keys_by_id.len()
    }

    /// Returns whether the table is empty, which is never so, as the table contains the instance
    /// itself.
    pub fn is_empty(&self) -> bool {
        self.keys_by_id.is_empty()
    }

    /// Returns all rows, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Row)> {
        self.keys_by_id
            .values()
            .filter_map(|key| Some((*key, self.row(*key)?)))
    }

    /// Returns a digest of the table, which covers neither dead instances nor suspicion.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Merges an update on another instance.
    pub fn merge(&mut self, now: Duration, delta: &Delta) -> Merged {
        let Some(key) = self.find(&delta.id) else {
            return self.add(now, delta);
        };
        let before = self.row_digest(key);
        let Some(row) = self.row_mut(key) else {
            return Merged::Unchanged;
        };
        if delta.status <= row.status {
            return Merged::Unchanged;
        }
        if let Some(card) = &delta.card {
            row.card = card.clone();
        }
        row.set_status(now, delta.status);
        self.digest ^= before ^ self.row_digest(key);
        Merged::Updated(key)
    }

    /// Sets the status of a row and updates the digest.
    pub fn set_status(&mut self, now: Duration, key: MemberKey, status: Status) {
        let before = self.row_digest(key);
        if let Some(row) = self.row_mut(key) {
            row.set_status(now, status);
        }
        self.digest ^= before ^ self.row_digest(key);
    }

    /// Applies an entry of the list; returns the key of the instance if the instance was unknown.
    pub fn apply_listed(&mut self, now: Duration, listed: &ListedInstance) -> Option<MemberKey> {
        let known = self.find(&listed.id);
        let key = match known {
            Some(key) => key,
            None => self.insert(
                now,
                listed.id.clone(),
                Card::from(listed),
                Status::default(),
            )?,
        };
        let row = self.row_mut(key)?;
        row.apply_listed_state(listed.state);
        if row.status.announcement.incarnation == 0 {
            row.card = Card::from(listed);
        }
        known.is_none().then_some(key)
    }

    /// Marks all instances as not listed for which `listed` returns false.
    pub fn mark_unlisted(&mut self, now: Duration, listed: impl Fn(&InstanceId) -> bool) {
        for row in self.rows.iter_mut().flatten() {
            if listed(&row.id) {
                continue;
            }
            if row.listed.take().is_some() {
                row.unlisted_at = now;
            }
        }
    }

    /// Removes an instance unless the instance is listed or a message to the instance is in flight;
    /// returns whether the instance was removed.
    pub fn remove(&mut self, key: MemberKey) -> bool {
        let removable = key != self.own
            && self
                .row(key)
                .is_some_and(|r| r.listed.is_none() && r.in_flight == 0);
        if !removable {
            return false;
        }
        self.digest ^= self.row_digest(key);
        if let Some(row) = self.rows[key.0 as usize].take() {
            self.keys_by_id.remove(&row.id);
            self.free_keys.push(key);
        }
        true
    }

    /// Returns the time for which an instance has been neither listed nor changed.
    pub fn idle(&self, now: Duration, key: MemberKey) -> Duration {
        let Some(row) = self.row(key) else {
            return Duration::ZERO;
        };
        if row.listed.is_some() {
            return Duration::ZERO;
        }
        now.saturating_sub(row.unlisted_at.max(row.changed_at))
    }

    /// Returns the delta that describes a row; the card is left out for suspect and dead instances.
    pub fn delta(&self, key: MemberKey) -> Option<Delta> {
        let row = self.row(key)?;
        let with_card = key == self.own || row.status.liveness == Liveness::Up;
        Some(Delta {
            id: row.id.clone(),
            status: row.status,
            card: with_card.then(|| row.card.clone()),
        })
    }

    /// Returns the name and the status of each instance.
    pub fn briefs(&self) -> Vec<Brief> {
        let mut briefs = Vec::with_capacity(self.len());
        for (_, row) in self.iter() {
            briefs.push(Brief {
                id: row.id.clone(),
                status: row.status,
            });
        }
        briefs
    }

    /// Compares this table with `theirs`, the table of another instance: returns the rows that the
    /// other instance lacks, and the names that this table lacks.
    ///
    /// Only the own region of an instance decides that the instance no longer exists, so the sender
    /// ignores names in `unknown` that are not of this instance's region.
    pub fn difference(&self, theirs: &[Brief]) -> Difference {
        let mut known = BTreeMap::new();
        let mut unknown = Vec::new();
        for brief in theirs {
            known.insert(&brief.id, brief.status);
            if self.find(&brief.id).is_none() {
                unknown.push(brief.id.clone());
            }
        }
        let mut newer = Vec::new();
        for (key, row) in self.iter() {
            if known.get(&row.id).is_some_and(|s| *s >= row.status) {
                continue;
            }
            if let Some(delta) = self.delta(key) {
                newer.push(delta);
            }
        }
        Difference { newer, unknown }
    }

    /// Returns all instances except those that are dead and no longer listed, this instance first.
    /// Live instances of isolated regions are reported as suspect.
    pub fn members(&self, is_isolated: impl Fn(&RegionId) -> bool) -> Vec<Member> {
        let mut members = vec![self.own_row().member(false)];
        for (key, row) in self.iter() {
            if key == self.own || row.is_gone() {
                continue;
            }
            members.push(row.member(is_isolated(&row.card.region)));
        }
        members
    }

    fn add(&mut self, now: Duration, delta: &Delta) -> Merged {
        let Some(card) = &delta.card else {
            return Merged::Unchanged;
        };
        match self.insert(now, delta.id.clone(), card.clone(), delta.status) {
            Some(key) => Merged::Added(key),
            None => Merged::Unchanged,
        }
    }

    fn insert(
        &mut self,
        now: Duration,
        id: InstanceId,
        card: Card,
        status: Status,
    ) -> Option<MemberKey> {
        if self.keys_by_id.len() >= MAX_ROWS {
            return None;
        }
        let row = Row {
            id: id.clone(),
            card,
            status,
            changed_at: now,
            listed: None,
            in_flight: 0,
            leaving_incarnation: None,
            unlisted_at: now,
            was_listed: false,
        };
        let key = match self.free_keys.pop() {
            Some(key) => key,
            None => {
                self.rows.push(None);
                MemberKey(u32::try_from(self.rows.len() - 1).ok()?)
            }
        };
        self.rows[key.0 as usize] = Some(row);
        self.keys_by_id.insert(id, key);
        self.digest ^= self.row_digest(key);
        Some(key)
    }

    fn row_digest(&self, key: MemberKey) -> u64 {
        let Some(row) = self.row(key) else {
            return 0;
        };
        let announcement = row.status.announcement;
        if row.status.liveness == Liveness::Dead {
            return 0;
        }
        let mut hash = Fnv::default();
        hash.write(row.id.as_str().as_bytes());
        hash.write(&announcement.incarnation.to_le_bytes());
        hash.write(&[u8::from(announcement.leaving)]);
        hash.0
    }
}

impl Row {
    fn member(&self, is_isolated: bool) -> Member {
        let health = match self.health() {
            Health::Live if is_isolated => Health::Suspect,
            health => health,
        };
        Member {
            id: self.id.clone(),
            incarnation: self.status.announcement.incarnation,
            front: self.card.front,
            peer: self.card.peer,
            region: self.card.region.clone(),
            data_centre: self.card.data_centre.clone(),
            health,
        }
    }
}

impl From<&ListedInstance> for Card {
    fn from(listed: &ListedInstance) -> Self {
        Self {
            front: listed.front,
            peer: listed.peer,
            region: listed.region.clone(),
            data_centre: listed.data_centre.clone(),
        }
    }
}

/// The 64-bit FNV-1a hash; unlike the standard hasher, it gives the same value in every process.
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0100_0000_01b3);
        }
    }
}
