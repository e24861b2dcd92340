//! Decides what an instance may send to a target that may have become cold without its knowing.
//!
//! A target becomes cold when it starts, when its data centre has been evacuated, or by itself. The
//! registry and the scheduler tell an instance so, but not one that is cut off. Such an instance may
//! still reach the target, as may others that are cut off from it and from each other, and together
//! they must not send a cold target more than it takes. So an instance whose news may be old asks the
//! target itself. One that is cold, or does not say that it is warm, counts as cold for
//! [`COLD_TIME`].

use std::time::Duration;

use crate::id::{InstanceId, RegionId};
use crate::member::{Fleet, Health};

pub(super) use self::ask::WireCold;

mod ask;

/// Time for which a target counts as cold that has not said that it is warm.
pub const COLD_TIME: Duration = Duration::from_secs(1);

/// Whether a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// The target says that it is warm.
    Warm,
    /// The target says that it is cold.
    Cold,
    /// The target does not say.
    Unknown,
}

impl Warmth {
    fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Unknown => "unknown",
        }
    }
}

/// Whether an instance hears others of its region, or knows of none. Calls to the store fail later than
/// other instances fall silent.
pub fn hears_others(fleet: &Fleet, own: &InstanceId, region: &RegionId) -> bool {
    let members = fleet.members.iter();
    let mut others = members
        .filter(|m| m.id != *own && m.region == *region)
        .peekable();
    others.peek().is_none() || others.any(|m| m.health == Health::Live)
}

/// How a scheduler shares the request rate of its cold targets with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdShares<'a> {
    /// The instances whose shares the scheduler uses.
    pub senders: Vec<&'a str>,
    /// The instances that have shares.
    pub instances: Vec<&'a str>,
}

impl<'a> ColdShares<'a> {
    /// Returns the shares of a scheduler with current news, which are those of all.
    pub fn of_all(own: &'a str) -> Self {
        Self {
            senders: vec![own],
            instances: vec![own],
        }
    }

    /// Returns the shares of a scheduler whose news may be old. Others may schedule the same targets:
    /// one that is in touch, and any that is cut off. The `live` ones ask this scheduler, and of the
    /// `known` ones each may send.
    pub fn of_those_that_ask(
        own: &'a str,
        live: impl Iterator<Item = &'a str>,
        known: Vec<&'a str>,
    ) -> Self {
        let others = live.filter(|id| *id != own);
        Self {
            senders: std::iter::once(own).chain(others).collect(),
            instances: known,
        }
    }
}
