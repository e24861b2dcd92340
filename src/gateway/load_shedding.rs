//! Sheds load: decides which requests are refused because they would wait too long.
//!
//! When targets are saturated, a queue as long as the latency objective makes every answer late
//! and serves no more requests than a short queue. So a request whose expected wait exceeds a
//! ratio of its objective at every target is refused at once, with a `Retry-After` that allows for
//! the queue to drain. The ratio is smaller for less urgent requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::RouteId;

/// Weight of the newest prompt in the moving average of a route's time to read a prompt.
const TYPICAL_PREFILL_WEIGHT: f64 = 0.05;

/// Longest wait of the most urgent requests (priority 0), as a ratio of their objective.
const MAX_WAIT_RATIO: f64 = 1.2;

/// Decrease of the ratio for each step of priority.
const WAIT_RATIO_STEP: f64 = 0.1;

/// Longest wait of the least urgent requests, as a ratio of their objective.
const MIN_WAIT_RATIO: f64 = 0.7;

/// Shortest `Retry-After` of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest `Retry-After` of a refused request; callers wait for a third of their time.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_600);

/// How many times the typical prefill is taken off the time to wait: a long prompt delays its own
/// answer, the requests behind it and the streams that run at the target.
const PREFILL_FACTOR: u32 = 3;

/// Smallest part of the objective that is left for the wait however long prompts take to read.
const MIN_WAIT_PART: f64 = 0.3;

/// Longest wait of a stream that its caller takes up; callers give up a stream after a pause of two
/// seconds or more.
const MAX_WAIT_OF_TAKEN_UP: Duration = Duration::from_millis(1_500);

/// Returns how long a request may wait before a target starts on it.
///
/// `typical_prefill` is the time that reading a prompt of the request's route takes on average. A
/// route with long prompts has [`PREFILL_FACTOR`] times that less time to wait, so at a full target its requests are
/// refused before short ones, which cost the target little. The average is used rather than the
/// request's own time, so that the longest prompts of a route are not refused more often than its
/// others.
pub fn max_wait(objective: Duration, priority: u8, typical_prefill: Duration) -> Duration {
    let ratio = MAX_WAIT_RATIO - f64::from(priority) * WAIT_RATIO_STEP;
    let time_to_wait = objective
        .saturating_sub(typical_prefill * PREFILL_FACTOR)
        .max(objective.mul_f64(MIN_WAIT_PART));
    time_to_wait.mul_f64(ratio.max(MIN_WAIT_RATIO))
}

/// Returns how long a stream that its caller takes up may wait before a target goes on with it. Only
/// targets of its software version can, and what the caller has received is lost if it is refused.
pub fn max_wait_of_taken_up(max_wait: Duration, time_left: Duration) -> Duration {
    max_wait.max(MAX_WAIT_OF_TAKEN_UP.min(time_left / 2))
}

/// The average time that reading a prompt takes, by route.
#[derive(Debug, Clone, Default)]
pub struct TypicalPrefill(HashMap<RouteId, f64>);

impl TypicalPrefill {
    /// Records the time that a prompt of a route takes.
    pub fn record(&mut self, route: &RouteId, prefill: Duration) {
        let prefill_s = prefill.as_secs_f64();
        let average_s = self.0.entry(route.clone()).or_insert(prefill_s);
        *average_s += (prefill_s - *average_s) * TYPICAL_PREFILL_WEIGHT;
    }

    /// Returns the average of a route; zero before the first prompt.
    pub fn of(&self, route: &RouteId) -> Duration {
        let average_s = self.0.get(route).copied().unwrap_or(0.0);
        Duration::try_from_secs_f64(average_s).unwrap_or_default()
    }
}

/// Returns the `Retry-After` of a request refused because its expected wait exceeds `max_wait`.
pub fn retry_after(expected_wait: Duration, max_wait: Duration) -> Duration {
    (expected_wait.saturating_sub(max_wait) + max_wait / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
