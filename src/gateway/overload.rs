//! Which requests are refused because they would wait too long.
//!
//! Answers more load than the targets bear: a queue as long as the objective makes every answer
//! late and serves no more requests than a short one. So a request that would wait longer than a
//! part of its objective everywhere is refused at once, less urgent ones sooner, and told when
//! the queue will have gone.

use std::time::Duration;

/// Part of the objective that the most urgent requests may wait.
const FIRST_PART: f64 = 1.2;

/// By how much that part is less for each step of priority.
const PRIORITY_STEP: f64 = 0.1;

/// Part of the objective that any request may wait.
const LEAST_PART: f64 = 0.7;

/// Shortest time after which a refused caller comes back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest time after which a refused caller comes back; callers wait a third of their time.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_600);

/// Returns how long a request may wait for a target to turn to it.
pub fn longest_wait(objective: Duration, priority: u8) -> Duration {
    let part = FIRST_PART - f64::from(priority) * PRIORITY_STEP;
    objective.mul_f64(part.max(LEAST_PART))
}

/// Returns when a refused caller should come back, given the wait that it would have had.
pub fn retry_after(wait: Duration, longest: Duration) -> Duration {
    (wait.saturating_sub(longest) + longest / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
