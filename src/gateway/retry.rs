//! This instance's part of the fleet-wide retry budget.
//!
//! In any window, all instances together may send again a ratio of the requests plus a slack.
//! Each instance keeps to the ratio of its own requests and an even part of the slack, so the
//! sum keeps to the whole without anyone asking.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the bound that is used, as requests are counted elsewhere and a little later.
const MARGIN: f64 = 0.9;

/// The fleet-wide bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends beside these in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// The budget of one service at one instance.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    requests: VecDeque<Duration>,
    again: VecDeque<Duration>,
}

impl Budget {
    /// Counts a request.
    pub fn request(&mut self, now: Duration, bound: &Bound) {
        forget(&mut self.requests, now, bound.window);
        self.requests.push_back(now);
    }

    /// Takes a second send out of the budget, if there is room.
    pub fn take(&mut self, now: Duration, bound: &Bound, instances: usize) -> bool {
        forget(&mut self.requests, now, bound.window);
        forget(&mut self.again, now, bound.window);
        let earned = bound.ratio * count(self.requests.len());
        let slack = bound.slack / count(instances.max(1));
        if count(self.again.len()) + 1.0 > (earned + slack) * MARGIN {
            return false;
        }
        self.again.push_back(now);
        true
    }
}

fn forget(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn count(n: usize) -> f64 {
    n as f64
}
