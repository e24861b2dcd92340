//! This instance's part of the fleet-wide retry budget.
//!
//! In any window, the retries of all instances together are limited to a ratio of the requests
//! plus a slack. Each instance keeps to the ratio of its own requests plus an equal part of the
//! slack, so the fleet-wide bound holds without exchanging messages.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the bound that an instance uses; the rest covers differences to counts that are
/// taken at another place and a little later.
const USABLE_FRACTION: f64 = 0.9;

/// The fleet-wide bound of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Allowed retries per window in addition to `ratio`.
    pub slack: f64,
    /// The window in which requests and retries are counted.
    pub window: Duration,
}

/// The retry budget of one service at one instance.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Counts a request, which adds to the retries allowed in the window.
    pub fn record_request(&mut self, now: Duration, bound: &RetryBound) {
        remove_expired(&mut self.requests, now, bound.window);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget; returns `false` if the budget has no retry left.
    pub fn take(&mut self, now: Duration, bound: &RetryBound, instances: usize) -> bool {
        remove_expired(&mut self.requests, now, bound.window);
        remove_expired(&mut self.retries, now, bound.window);
        let earned = bound.ratio * to_f64(self.requests.len());
        let slack = bound.slack / to_f64(instances.max(1));
        if to_f64(self.retries.len()) + 1.0 > (earned + slack) * USABLE_FRACTION {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn remove_expired(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(n: usize) -> f64 {
    n as f64
}
