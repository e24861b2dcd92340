//! The end of instances: which work this one may still take when it leaves, when it gives up what has
//! not ended, and which others have said that they leave.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::watch;

use crate::id::InstanceId;
use crate::member::Fleet;

/// How far this instance is in leaving. Times are those of the instance's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Departure {
    /// The instance takes requests.
    #[default]
    NotLeaving,
    /// The instance leaves. It waits for the requests in flight until `drained_at`.
    Leaving {
        /// The time from which callers know that the instance leaves.
        known_at: Duration,
        /// The time at which requests in flight are given up.
        drained_at: Duration,
    },
    /// The time for requests in flight is over: each one without an answer is refused.
    GivesUp,
}

impl Departure {
    /// Tells whether the instance has begun to leave.
    pub fn is_leaving(self) -> bool {
        self != Self::NotLeaving
    }

    /// Tells whether a request that is taken at `now`, with `time_left` until its deadline, is
    /// certain to end before the instance gives up what has not ended.
    pub fn outlasts(self, now: Duration, time_left: Duration) -> bool {
        match self {
            Self::NotLeaving => true,
            Self::Leaving { drained_at, .. } => now + time_left <= drained_at,
            Self::GivesUp => false,
        }
    }

    /// Tells whether a caller's request is taken at `now`, with `time_left` until its deadline.
    /// Callers that do not know yet that the instance leaves are served as ever.
    pub fn takes(self, now: Duration, time_left: Duration) -> bool {
        match self {
            Self::Leaving { known_at, .. } if now < known_at => true,
            _ => self.outlasts(now, time_left),
        }
    }
}

/// The instances that refused a relayed request since they leave. The news of a departure may reach
/// this instance later.
#[derive(Debug, Clone, Default)]
pub struct LeavingInstances {
    incarnations: HashMap<InstanceId, u64>,
}

impl LeavingInstances {
    /// Records that an instance has said that it leaves. Forgets instances that the fleet no longer
    /// holds.
    pub fn record(&mut self, fleet: &Fleet, id: &InstanceId, incarnation: u64) {
        self.incarnations
            .retain(|id, _| fleet.members.iter().any(|m| m.id == *id));
        self.incarnations.insert(id.clone(), incarnation);
    }

    /// Tells whether this process of an instance has said that it leaves.
    pub fn contains(&self, id: &InstanceId, incarnation: u64) -> bool {
        self.incarnations.get(id) == Some(&incarnation)
    }
}

/// Waits until the instance gives up what has not ended.
pub async fn given_up(departure: &watch::Receiver<Departure>) {
    let mut departure = departure.clone();
    let is_announced = departure
        .wait_for(|departure| *departure == Departure::GivesUp)
        .await
        .is_ok();
    if !is_announced {
        // Nobody can announce the end any more.
        std::future::pending::<()>().await;
    }
}
