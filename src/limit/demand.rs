//! Estimate of an organisation's demand in tokens per second.

use std::time::Duration;

/// Time constant of the exponential decay: demand of this age has a weight of 1/e.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// An exponentially weighted moving average of the requested tokens per second.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    per_second: f64,
    updated_at: Duration,
}

impl Demand {
    /// Creates an estimate of zero.
    pub fn zero(now: Duration) -> Self {
        Self {
            per_second: 0.0,
            updated_at: now,
        }
    }

    /// Adds tokens requested at `now`.
    pub fn add(&mut self, now: Duration, tokens: u64) {
        self.per_second = self.per_second(now) + to_f64(tokens) / TIME_CONSTANT.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the demand in tokens per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
