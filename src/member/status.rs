//! The status of an instance, its ordering, and the messages that carry it.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id::{InstanceId, RegionId, TargetId};

/// What an instance announces about itself; a greater announcement replaces a lesser one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Announcement {
    /// A number that increases with each restart of the instance; 0 if no announcement has been
    /// received.
    pub incarnation: u64,
    /// A number that increases with each refutation of a suspicion, and when the instance begins to
    /// leave.
    pub refutation: u32,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Whether an instance is alive, as judged by other instances; ordered from best to worst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// The instance answers, or has not been tested.
    #[default]
    Up,
    /// The instance did not answer.
    Suspect,
    /// The instance did not refute the suspicion in time.
    Dead,
}

/// An announcement and the worst liveness reported for it.
///
/// Statuses are totally ordered and merging takes the greater one, so the result does not depend on
/// the order of updates or on duplicates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Status {
    /// The announcement of the instance.
    pub announcement: Announcement,
    /// The liveness that other instances report.
    pub liveness: Liveness,
}

impl Status {
    /// Returns the same announcement with the worse of the present liveness and `liveness`.
    pub fn worsened(self, liveness: Liveness) -> Self {
        Self {
            announcement: self.announcement,
            liveness: self.liveness.max(liveness),
        }
    }
}

/// The addresses and the location of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Card {
    /// The instance's address for callers.
    pub front: SocketAddr,
    /// The instance's address for other instances.
    pub peer: SocketAddr,
    /// The instance's region.
    pub region: RegionId,
    /// The instance's data centre.
    pub data_centre: SmolStr,
}

/// An update on one instance, sent to other instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The instance's name.
    pub id: InstanceId,
    /// The instance's status.
    pub status: Status,
    /// The instance's addresses and location; `None` where the receiver is expected to know them.
    pub card: Option<Card>,
}

/// A target that the list read by some instance marks as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainNote {
    /// The target.
    pub target: TargetId,
    /// Time since an instance last read in the list that the target is leaving.
    pub age: Duration,
}

/// A heartbeat; the answer to a heartbeat has the same form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender, with its card.
    pub from: Delta,
    /// The digest of the sender's table.
    pub digest: u64,
    /// The age of the sender's list; `None` if it has no list.
    pub list_age: Option<Duration>,
    /// Time since the sender's region last reached each other region.
    pub contacts: Vec<(RegionId, Duration)>,
    /// Updates on instances.
    pub deltas: Vec<Delta>,
    /// Updates on leaving targets.
    pub drains: Vec<DrainNote>,
}

/// A row of a table without its card.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Brief {
    /// The instance's name.
    pub id: InstanceId,
    /// The instance's status.
    pub status: Status,
}

/// The answer to a table comparison.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Difference {
    /// Updates that the asking instance lacks.
    pub newer: Vec<Delta>,
    /// Instances of any region that the asking instance has in its table and the answering instance
    /// does not.
    pub unknown: Vec<InstanceId>,
}
