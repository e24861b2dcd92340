//! What an instance may admit beyond its share of a rate.
//!
//! Operators may tolerate that an organisation gets a little more than its rate. Each instance
//! owns an even part of that tolerance, and spends it where its share falls short: just after
//! its start, or while it is cut off from those who could lend.

use std::collections::VecDeque;
use std::time::Duration;

/// The fleet-wide tolerance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Over the whole window's rate and the burst, as a ratio.
    pub overshoot: f64,
    /// Units beside that.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the tolerance that is spent, as other instances count their windows otherwise.
const MARGIN: f64 = 0.85;

/// What one instance has spent of an organisation's tolerance.
#[derive(Debug, Clone, Default)]
pub struct Spent {
    takes: VecDeque<(Duration, u64)>,
    sum: u64,
}

impl Spent {
    /// Takes units, if this instance's part of the tolerance has room.
    pub fn take(
        &mut self,
        now: Duration,
        units: u64,
        (rate, burst): (u64, u64),
        tolerance: &Tolerance,
        instances: usize,
    ) -> bool {
        while let Some((at, taken)) = self.takes.front().copied() {
            if at + tolerance.window >= now {
                break;
            }
            self.takes.pop_front();
            self.sum -= taken;
        }
        let whole = to_f64(rate) * tolerance.window.as_secs_f64() + to_f64(burst);
        let all = whole * tolerance.overshoot + tolerance.slack;
        let part = all * MARGIN / to_f64(instances.max(1) as u64);
        if to_f64(self.sum + units) > part {
            return false;
        }
        self.takes.push_back((now, units));
        self.sum += units;
        true
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn to_f64(n: u64) -> f64 {
    n as f64
}
