//! The end of this instance: when it leaves, which work it may still take, and when it gives up what
//! has not ended.

use std::time::Duration;

use tokio::sync::watch;

/// How far this instance is in leaving. Times are those of the instance's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Departure {
    /// The instance takes requests.
    #[default]
    NotLeaving,
    /// The instance leaves. It waits for the requests in flight until `drained_at`.
    Leaving {
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
            Self::Leaving { drained_at } => now + time_left <= drained_at,
            Self::GivesUp => false,
        }
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
