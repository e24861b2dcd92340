//! Admits requests beyond an instance's share of an organisation's rate.
//!
//! Operators may let an organisation exceed its rate by a small amount, the tolerance. Each
//! instance owns an equal part of the tolerance and uses it when its share of the rate does not
//! suffice: just after its start, or while it cannot reach the instances that could lend to it.

use std::collections::VecDeque;
use std::time::Duration;

/// The amount by which an organisation may exceed its rate and burst over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Allowed excess as a ratio of the burst and of the units that the rate gives in a window.
    pub overshoot: f64,
    /// Allowed excess in addition to the ratio, in units.
    pub slack: f64,
    /// The window in which the excess is counted.
    pub window: Duration,
}

/// Fraction of the tolerance that an instance uses, since instances count their windows
/// differently.
const USABLE_FRACTION: f64 = 0.85;

/// One instance's use of an organisation's tolerance.
#[derive(Debug, Clone, Default)]
pub struct ToleranceUse {
    taken: VecDeque<(Duration, u64)>,
    taken_sum: u64,
}

impl ToleranceUse {
    /// Takes units out of this instance's part of the tolerance; returns `false` and takes none if
    /// fewer units are left.
    pub fn take(
        &mut self,
        now: Duration,
        units: u64,
        (rate, burst): (u64, u64),
        tolerance: &Tolerance,
        instances: usize,
    ) -> bool {
        while let Some((at, units_taken)) = self.taken.front().copied() {
            if at + tolerance.window >= now {
                break;
            }
            self.taken.pop_front();
            self.taken_sum -= units_taken;
        }
        let window_units = to_f64(rate) * tolerance.window.as_secs_f64() + to_f64(burst);
        let tolerated = window_units * tolerance.overshoot + tolerance.slack;
        let own_part = tolerated * USABLE_FRACTION / to_f64(instances.max(1) as u64);
        if to_f64(self.taken_sum + units) > own_part {
            return false;
        }
        self.taken.push_back((now, units));
        self.taken_sum += units;
        true
    }
}

#[expect(clippy::cast_precision_loss, reason = "unit counts are far below 2^52")]
fn to_f64(n: u64) -> f64 {
    n as f64
}
