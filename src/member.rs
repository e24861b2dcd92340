//! Membership: which instances are live, in this region and in others.
//!
//! Instances of a region exchange heartbeats as in SWIM; heartbeats between regions and the
//! platform's list of instances complete the picture.
//!
//! In this folder, the list is the platform's list of instances and targets. A leaving instance or
//! target gets no new requests because it is shutting down; a suspect instance has not answered and
//! is taken for dead unless it refutes the suspicion in time.

pub mod actor;
pub mod contact;
pub mod drain;
pub mod gossip;
pub mod handler;
pub mod indirect;
pub mod schedule;
pub mod service;
pub mod status;
pub mod table;
pub mod view;
pub mod wire;

pub use service::{Builder, Membership, builder};

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::id::{InstanceId, RegionId};
use crate::platform::{ListedTarget, Listing};

/// The health of an instance as another instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The instance answers, and is not leaving.
    Live,
    /// The instance did not answer, or its region is isolated; the instance is not yet taken for
    /// dead.
    Suspect,
    /// The instance has announced that it leaves, or the list marks the instance as leaving.
    Leaving,
    /// The instance did not refute the suspicion in time.
    Dead,
}

/// An instance as seen by this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance's name.
    pub id: InstanceId,
    /// A number that increases with each restart of the instance under the same name.
    pub incarnation: u64,
    /// The instance's address for callers.
    pub front: SocketAddr,
    /// The instance's address for other instances.
    pub peer: SocketAddr,
    /// The instance's region.
    pub region: RegionId,
    /// The instance's data centre.
    pub data_centre: SmolStr,
    /// The instance's health.
    pub health: Health,
}

/// The fleet as this instance currently sees it; published through a `watch` channel.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Fleet {
    /// All known instances, including this instance.
    pub members: Vec<Member>,
    /// All targets in the list.
    pub targets: Vec<ListedTarget>,
}

impl Fleet {
    /// Returns the live instances of a region.
    pub fn live_members<'a>(&'a self, region: &'a RegionId) -> impl Iterator<Item = &'a Member> {
        self.members
            .iter()
            .filter(move |m| m.region == *region && m.health == Health::Live)
    }
}

impl From<Listing> for Fleet {
    /// Creates the fleet from the list alone, without evidence from heartbeats.
    fn from(listing: Listing) -> Self {
        let mut members = Vec::with_capacity(listing.instances.len());
        for instance in listing.instances {
            let health = match instance.state {
                crate::platform::ServiceState::Live => Health::Live,
                crate::platform::ServiceState::Leaving => Health::Leaving,
            };
            members.push(Member {
                id: instance.id,
                incarnation: 0,
                front: instance.front,
                peer: instance.peer,
                region: instance.region,
                data_centre: instance.data_centre,
                health,
            });
        }
        Self {
            members,
            targets: listing.targets,
        }
    }
}
