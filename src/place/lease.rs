//! The time in which the holder of a lease may send orders, measured by the holder's monotonic
//! clock.

use std::time::Duration;

/// The requested time to live of the lease.
pub const LEASE_TTL: Duration = Duration::from_secs(20);

/// The longest time that an order may take to be delivered. After this time, the sender's kernel
/// drops the undelivered data.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// The monotonic clocks of two machines drift apart by at most one part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// The time in which an instance holds the lease on a region's targets.
///
/// A holder sends orders only while the lease is valid for at least [`DELIVERY_TIMEOUT`] more, and
/// sends its first order [`DELIVERY_TIMEOUT`] after it acquired the lease. So each order of the
/// former holder has been delivered or dropped before the next holder sends its first order, even
/// if targets ignore fencing tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    fencing: u64,
    orders_from: Duration,
    expires_at: Duration,
}

impl LeaseTerm {
    /// Starts the term of a lease that was requested at `requested_at` and whose key was created at
    /// `acquired_at`.
    pub fn acquired(
        requested_at: Duration,
        acquired_at: Duration,
        ttl: Duration,
        fencing: u64,
    ) -> Self {
        Self {
            fencing,
            orders_from: acquired_at + DELIVERY_TIMEOUT,
            expires_at: expiry(requested_at, ttl),
        }
    }

    /// Extends the lease after a renewal call made at `requested_at`.
    pub fn renew(&mut self, requested_at: Duration, ttl: Duration) {
        self.expires_at = self.expires_at.max(expiry(requested_at, ttl));
    }

    /// Returns the fencing token of the lease.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Returns whether the holder may send an order now.
    pub fn can_send_order(&self, now: Duration) -> bool {
        now >= self.orders_from && now + DELIVERY_TIMEOUT <= self.expires_at
    }

    /// Returns whether the lease has expired.
    pub fn is_expired(&self, now: Duration) -> bool {
        now >= self.expires_at
    }
}

/// Returns the earliest time at which the lease can expire. The store starts the lease when it
/// receives the call, which is not before the call was made.
fn expiry(requested_at: Duration, ttl: Duration) -> Duration {
    requested_at + ttl - ttl / CLOCK_DRIFT_DIVISOR
}
