//! Monotonic time since an instance started.

use std::time::Duration;

use tokio::time::Instant;

/// A monotonic clock, based on tokio's, so that tests can use virtual time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
