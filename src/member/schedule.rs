//! Choice of the receivers of heartbeats.

use rand::{Rng, RngCore};

use super::status::Liveness;
use super::table::{MemberKey, Row, Table};
use crate::id::RegionId;

/// One heartbeat in this many goes to a dead instance, so that an instance that has come back is
/// found.
const HEARTBEATS_PER_DEAD: u32 = 8;

/// The order of heartbeats within a region: each instance once per round, in random order.
#[derive(Debug, Clone, Default)]
pub struct Schedule {
    order: Vec<MemberKey>,
    next: usize,
    count: u32,
}

impl Schedule {
    /// Inserts an instance at a random position in the rest of the current round.
    pub fn add(&mut self, key: MemberKey, rng: &mut dyn RngCore) {
        let position = rng.random_range(self.next..=self.order.len());
        self.order.insert(position, key);
    }

    /// Chooses the next instance of this region to which no message is in flight.
    pub fn next(&mut self, table: &Table, rng: &mut dyn RngCore) -> Option<MemberKey> {
        self.count = self.count.wrapping_add(1);
        if self.count.is_multiple_of(HEARTBEATS_PER_DEAD) {
            let dead = random(table, rng, |r| {
                is_neighbour(table, r) && r.status.liveness == Liveness::Dead
            });
            if dead.is_some() {
                return dead;
            }
        }
        let mut visited = 0;
        while visited <= table.len() {
            visited += 1;
            if self.next >= self.order.len() {
                self.shuffle(table, rng);
            }
            let key = *self.order.get(self.next)?;
            self.next += 1;
            if table.row(key).is_some_and(|r| is_candidate(table, r)) {
                return Some(key);
            }
        }
        None
    }

    fn shuffle(&mut self, table: &Table, rng: &mut dyn RngCore) {
        self.order.clear();
        self.next = 0;
        for (key, row) in table.iter() {
            if !is_candidate(table, row) {
                continue;
            }
            let position = rng.random_range(0..=self.order.len());
            self.order.push(key);
            let last = self.order.len() - 1;
            self.order.swap(position, last);
        }
    }
}

/// Returns all other instances that are not dead in random order, those of this region last.
pub fn everyone(table: &Table, rng: &mut dyn RngCore) -> Vec<MemberKey> {
    let mut order = Vec::with_capacity(table.len());
    for (key, row) in table.iter() {
        if key == table.own() || row.status.liveness == Liveness::Dead {
            continue;
        }
        order.push((is_neighbour(table, row), rng.random::<u32>(), key));
    }
    order.sort_unstable();
    order.into_iter().map(|(.., key)| key).collect()
}

/// Chooses at random one of the other instances for which `accepts` returns true and to which no
/// message is in flight.
pub fn random(
    table: &Table,
    rng: &mut dyn RngCore,
    accepts: impl Fn(&Row) -> bool,
) -> Option<MemberKey> {
    let mut chosen = None;
    let mut matching = 0;
    for (key, row) in table.iter() {
        if key == table.own() || row.in_flight > 0 || !accepts(row) {
            continue;
        }
        matching += 1;
        if rng.random_range(0..matching) == 0 {
            chosen = Some(key);
        }
    }
    chosen
}

/// Chooses an instance of `region` at random; a dead instance only if the region has no other.
pub fn in_region(table: &Table, rng: &mut dyn RngCore, region: &RegionId) -> Option<MemberKey> {
    let live = random(table, rng, |r| {
        r.card.region == *region && r.status.liveness != Liveness::Dead
    });
    if live.is_some() {
        return live;
    }
    random(table, rng, |r| r.card.region == *region)
}

/// Returns whether `row` is of another instance of this region.
pub fn is_neighbour(table: &Table, row: &Row) -> bool {
    let own = table.own_row();
    row.card.region == own.card.region && row.id != own.id
}

fn is_candidate(table: &Table, row: &Row) -> bool {
    is_neighbour(table, row) && row.in_flight == 0 && row.status.liveness != Liveness::Dead
}
