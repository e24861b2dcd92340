//! The status of an instance, its ordering, and the messages that carry it.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id::{InstanceId, RegionId, TargetId};

/// What an instance announces about itself; a greater announcement replaces a lesser one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Announcement {
    /// Increases with each restart; 0 if no announcement has been received.
    pub incarnation: u64,
    /// Increases with each refutation, and when the instance begins to leave.
    pub refutation: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Whether an instance is alive, as judged by other instances; ordered from best to worst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers, or has not been tested.
    #[default]
    Up,
    /// It did not answer.
    Suspect,
    /// It did not refute the suspicion in time.
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
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for other instances.
    pub peer: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: SmolStr,
}

/// An update on one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The instance.
    pub id: InstanceId,
    /// Its status.
    pub status: Status,
    /// Its addresses and location; left out where the receiver is expected to know them.
    pub card: Option<Card>,
}

/// A target that the list read by some instance marks as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainNote {
    /// The target.
    pub target: TargetId,
    /// Time since an instance last read that mark in the list.
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
    /// The instance.
    pub id: InstanceId,
    /// Its status.
    pub status: Status,
}

/// The answer to a table comparison.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Difference {
    /// Updates that the asker lacks.
    pub newer: Vec<Delta>,
    /// Instances in the asker's table that the answerer does not know, of any region.
    pub unknown: Vec<InstanceId>,
}
