//! How many requests a cold target may get from this instance in a second.
//!
//! A cold target bears a number of requests a second over all instances together. The instances
//! of its region split that number evenly; where there are more instances than requests, only
//! the owners of the target, found by rendezvous hashing, send any.

use std::collections::VecDeque;
use std::time::Duration;

use super::rendezvous::rank;

/// Length of the window in which requests are counted; a little over the second of the bound,
/// since requests may be held up on their way.
const WINDOW: Duration = Duration::from_millis(1_250);

/// Returns how many requests one instance may send to a cold target within a second.
///
/// `bound` is what all instances may send together; `instances` are all of the region, this one
/// (`me`) among them.
pub fn share(bound: f64, target: &str, me: &str, instances: &[&str]) -> usize {
    let whole = whole_requests(bound);
    let count = instances.len().max(1);
    if whole >= count {
        return whole / count;
    }
    usize::from(rank(target, me, instances) < whole)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number of requests"
)]
fn whole_requests(bound: f64) -> usize {
    bound.clamp(0.0, 1e6).floor() as usize
}

/// The requests sent to one cold target lately.
#[derive(Debug, Clone, Default)]
pub struct Sent(VecDeque<Duration>);

impl Sent {
    /// Tells whether another request fits.
    pub fn has_room(&mut self, now: Duration, share: usize) -> bool {
        while self.0.front().is_some_and(|at| *at + WINDOW <= now) {
            self.0.pop_front();
        }
        self.0.len() < share
    }

    /// Counts a request.
    pub fn note(&mut self, now: Duration) {
        self.0.push_back(now);
    }
}
