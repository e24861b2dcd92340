//! Token bucket that tracks held tokens.

use std::time::Duration;

use super::amount::{Amount, RefillRate};

/// A token bucket with a refill rate and a capacity.
///
/// Held tokens are charged to requests but not served yet. They count against the capacity:
/// `level + held ≤ capacity`. The targets therefore serve at most the capacity plus the refill of
/// a window in that window, however long requests wait before they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bucket {
    level: Amount,
    held: Amount,
    capacity: Amount,
    rate: RefillRate,
    updated_at: Duration,
    total_refilled: Amount,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn empty(now: Duration) -> Self {
        Self {
            level: Amount::ZERO,
            held: Amount::ZERO,
            capacity: Amount::ZERO,
            rate: RefillRate::ZERO,
            updated_at: now,
            total_refilled: Amount::ZERO,
        }
    }

    /// Returns the tokens that can be charged; negative if the bucket is in debt.
    pub fn level(&self) -> Amount {
        self.level
    }

    /// Returns the tokens that are charged to requests and not yet served.
    pub fn held(&self) -> Amount {
        self.held
    }

    /// Returns the upper bound of level plus held tokens.
    pub fn capacity(&self) -> Amount {
        self.capacity
    }

    /// Returns the refill rate.
    pub fn rate(&self) -> RefillRate {
        self.rate
    }

    /// Refills the bucket up to `now`; a time before the last update changes nothing.
    pub fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let old_level = self.level;
        self.level += self.rate.tokens_in(passed);
        self.clamp();
        self.total_refilled += (self.level - old_level).max(Amount::ZERO);
    }

    /// Returns the total tokens refilled at the rate since the bucket was created.
    ///
    /// Refill that was lost because the bucket was full is not counted.
    pub fn total_refilled(&self) -> Amount {
        self.total_refilled
    }

    /// Sets capacity and rate; tokens over the new capacity are dropped.
    pub fn resize(&mut self, capacity: Amount, rate: RefillRate) {
        self.capacity = capacity;
        self.rate = rate;
        self.clamp();
    }

    /// Moves tokens from the level to the held tokens; `false` if the level is too low.
    pub fn hold(&mut self, tokens: Amount) -> bool {
        if tokens > self.level {
            return false;
        }
        self.level -= tokens;
        self.held += tokens;
        true
    }

    /// Releases `held` tokens, of which `used` have been served.
    ///
    /// If `used` exceeds `held`, the excess is taken from the level, which can become negative.
    pub fn release(&mut self, held: Amount, used: Amount) {
        self.held -= held;
        self.level += held - used;
        self.clamp();
    }

    /// Adds tokens up to the capacity.
    pub fn add_tokens(&mut self, tokens: Amount) {
        self.level += tokens;
        self.clamp();
    }

    /// Removes tokens from the level.
    pub fn remove_tokens(&mut self, tokens: Amount) {
        self.level -= tokens;
    }

    fn clamp(&mut self) {
        self.level = self.level.min(self.capacity - self.held);
    }
}
