//! Decides to which instances of a region a request is relayed, one after the other.

use std::time::Duration;

use rand::Rng;

use super::reach::Reach;
use crate::departure::LeavingInstances;
use crate::id::{InstanceId, RegionId};
use crate::member::{Fleet, Member};

/// Number of unreachable instances after which a request is not relayed to further instances of a
/// region.
const MAX_UNREACHABLE_INSTANCES: usize = 2;

/// Number of instances of a region that say that they are cut off from its targets after which a
/// request is relayed to no further one.
const MAX_CUT_OFF_INSTANCES: usize = 4;

/// Number of instances of a region at whose address nothing listens after which a request is relayed
/// to no further one. Each costs a round trip, and the region may be lost as a whole.
const MAX_ENDED_INSTANCES: usize = 16;

/// The incarnation of an instance that is known from the list only.
const UNHEARD_INCARNATION: u64 = 0;

/// Why an instance did not take a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotTaken {
    /// The instance could not be reached, and may still run.
    NotReached,
    /// Nothing listens at the instance's address.
    Ended,
    /// The instance is cut off from the targets of its region.
    CutOff,
    /// The instance leaves.
    Leaving,
}

/// Tells to which live instances requests may be relayed, by what is known now.
#[derive(Debug, Clone, Copy)]
pub struct PeerFilter<'a> {
    /// The instance that relays.
    pub own: &'a InstanceId,
    /// The time of the instance's clock.
    pub now: Duration,
    /// The instances that have lately said that they are cut off from their targets, or at whose
    /// address nothing listened.
    pub reach: &'a Reach,
    /// The instances that have said that they leave.
    pub leaving: &'a LeavingInstances,
}

impl PeerFilter<'_> {
    /// Tells whether requests may be relayed to a live instance.
    pub fn allows(&self, member: &Member) -> bool {
        member.id != *self.own
            && !self.reach.avoids(self.now, &member.id)
            && !self
                .reach
                .has_ended(self.now, &member.id, member.incarnation)
            && !self.leaving.contains(&member.id, member.incarnation)
    }
}

/// What an instance remembers of others that did not take a relayed request.
#[derive(Debug)]
pub struct PeerMemory<'a> {
    /// The time of the instance's clock.
    pub now: Duration,
    /// All known instances.
    pub fleet: &'a Fleet,
    /// The instances that are left out for a while.
    pub reach: &'a mut Reach,
    /// The instances that have said that they leave.
    pub leaving: &'a mut LeavingInstances,
}

impl PeerMemory<'_> {
    /// Records why an instance did not take a request.
    pub fn record(&mut self, member: &Member, why: NotTaken) {
        let (id, incarnation) = (&member.id, member.incarnation);
        match why {
            NotTaken::NotReached => {}
            NotTaken::CutOff => self.reach.record_instance_cut_off(self.now, id),
            // A later process of the instance looks the same until it is heard of.
            NotTaken::Leaving if incarnation == UNHEARD_INCARNATION => {
                self.reach.record_instance_ended(self.now, id, incarnation);
            }
            NotTaken::Leaving => self.leaving.record(self.fleet, id, incarnation),
            NotTaken::Ended => self.reach.record_instance_ended(self.now, id, incarnation),
        }
    }
}

/// The instances of one region to which a request may still be relayed, and how many did not take it.
#[derive(Debug, Clone)]
pub struct RelayTries<'a> {
    candidates: Vec<&'a Member>,
    unreachable: usize,
    ended: usize,
    cut_off: usize,
}

impl<'a> RelayTries<'a> {
    /// Creates the tries of a request that has been relayed to no instance of the region yet.
    pub fn new(fleet: &'a Fleet, region: &'a RegionId) -> Self {
        Self {
            candidates: fleet.live_members(region).collect(),
            unreachable: 0,
            ended: 0,
            cut_off: 0,
        }
    }

    /// Chooses the instance to which the request is relayed next; `None` if it is relayed to no
    /// further one.
    pub fn choose_next(
        &mut self,
        filter: &PeerFilter<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        if !self.may_continue() {
            return None;
        }
        // Other requests may have learnt meanwhile that an instance leaves, has ended or is cut off.
        self.candidates.retain(|member| filter.allows(member));
        if self.candidates.is_empty() {
            return None;
        }
        let chosen = rng.random_range(0..self.candidates.len());
        Some(self.candidates.swap_remove(chosen))
    }

    /// Records that an instance did not take the request.
    ///
    /// An ended process is counted apart: it fails a request at once, and each sender remembers it, so
    /// that instances that stop in series leave the others of their region to the requests.
    ///
    /// Leaving instances are not counted: they refuse at once, each tells a sender once, and they say
    /// nothing about the other instances of their region.
    pub fn record(&mut self, why: NotTaken) {
        match why {
            NotTaken::NotReached => self.unreachable += 1,
            NotTaken::Ended => self.ended += 1,
            NotTaken::CutOff => self.cut_off += 1,
            NotTaken::Leaving => {}
        }
    }

    fn may_continue(&self) -> bool {
        self.unreachable < MAX_UNREACHABLE_INSTANCES
            && self.ended < MAX_ENDED_INSTANCES
            && self.cut_off < MAX_CUT_OFF_INSTANCES
    }
}
