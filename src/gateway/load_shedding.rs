//! Sheds load: decides which requests are refused because they would wait too long.
//!
//! When targets are saturated, a queue as long as the latency objective makes every answer late
//! and serves no more requests than a short queue. So a request whose expected wait exceeds a
//! ratio of its objective at every target is refused at once, with a `Retry-After` that allows for
//! the queue to drain. The ratio is smaller for less urgent requests.

use std::time::Duration;

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

/// Returns how long a request may wait before a target starts on it.
pub fn max_wait(objective: Duration, priority: u8) -> Duration {
    let ratio = MAX_WAIT_RATIO - f64::from(priority) * WAIT_RATIO_STEP;
    objective.mul_f64(ratio.max(MIN_WAIT_RATIO))
}

/// Returns the `Retry-After` of a request refused because its expected wait exceeds `max_wait`.
pub fn retry_after(expected_wait: Duration, max_wait: Duration) -> Duration {
    (expected_wait.saturating_sub(max_wait) + max_wait / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
