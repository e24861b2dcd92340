//! Bounds the requests per second that this instance sends to a cold target.
//!
//! A cold target takes a limited number of requests per second from all instances together. The
//! instances of its region split that number evenly. When there are more instances than requests,
//! only the instances that rank first for the target by rendezvous hashing send one request each.

use std::collections::VecDeque;
use std::time::Duration;

use crate::rendezvous::rank;

/// Window in which requests are counted; longer than the second of the bound, since requests may
/// be delayed on their way to the target.
const WINDOW: Duration = Duration::from_millis(1_250);

/// Returns how many requests one instance may send to a cold target within a second.
///
/// `bound` is the number that all instances may send together. `instances` are all instances of
/// the region, including this instance, `own_id`.
pub fn share(bound: f64, target: &str, own_id: &str, instances: &[&str]) -> usize {
    let total = whole_requests(bound);
    let count = instances.len().max(1);
    if total >= count {
        return total / count;
    }
    usize::from(rank(target, own_id, instances) < total)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number of requests"
)]
fn whole_requests(bound: f64) -> usize {
    bound.clamp(0.0, 1e6).floor() as usize
}

/// Times of the requests sent to one cold target within the window.
#[derive(Debug, Clone, Default)]
pub struct RecentSends(VecDeque<Duration>);

impl RecentSends {
    /// Tells whether fewer than `share` requests were sent within the window.
    pub fn has_room(&mut self, now: Duration, share: usize) -> bool {
        while self.0.front().is_some_and(|at| *at + WINDOW <= now) {
            self.0.pop_front();
        }
        self.0.len() < share
    }

    /// Records that a request is being sent.
    pub fn record(&mut self, now: Duration) {
        self.0.push_back(now);
    }
}
