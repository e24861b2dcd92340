//! Admits requests beyond the rate and burst of their organisation.
//!
//! Operators may let an organisation exceed its rate and burst by a small amount, the tolerance.
//! Like rate and burst, the tolerance is divided by the ledger: the parts of all instances never
//! add up to more than the whole. Each part is a bucket for each organisation.
//!
//! A bucket is lost with its process. So the ledger marks the parts whose tolerance may have been
//! used within the last window: an instance has its mark before it uses the tolerance, and gives
//! the mark up a window after the last use. A restarted process that inherits a part without a mark
//! starts with full buckets; all others start with empty ones.

use std::collections::HashMap;
use std::time::Duration;

use super::account::RateLimit;
use super::amount::{Amount, Part};
use super::bucket::Bucket;
use super::ledger_client::LedgerClient;
use crate::id::OrganisationId;
use crate::journal;

/// The amount by which an organisation may exceed its rate and burst over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Allowed excess as a ratio of the burst and of the tokens that the rate gives in a window.
    pub overshoot: f64,
    /// Allowed excess in addition to the ratio, in tokens.
    pub slack: f64,
    /// The window in which the excess is counted.
    pub window: Duration,
}

/// Capacity of the buckets, in percent of the tolerance.
const CAPACITY_PERCENT: u64 = 65;

/// Refill of the buckets in a window, in percent of the tolerance. What is left of the tolerance
/// covers clocks that drift.
const REFILL_PERCENT: u64 = 25;

impl Tolerance {
    /// No tolerance.
    pub const NONE: Self = Self {
        overshoot: 0.0,
        slack: 0.0,
        window: Duration::ZERO,
    };

    /// Returns whether requests may exceed any limit.
    pub fn is_none(&self) -> bool {
        self.overshoot <= 0.0 && self.slack <= 0.0
    }

    /// Returns how long a part keeps its mark after the last use: a window, and a tenth for clocks
    /// that drift.
    pub fn mark_time(&self) -> Duration {
        self.window * 11 / 10
    }

    /// Returns the tokens that an organisation may use in a window beyond its rate and burst.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn tokens(&self, limit: RateLimit) -> u64 {
        let in_window = limit.rate as f64 * self.window.as_secs_f64() + limit.burst as f64;
        (in_window * self.overshoot + self.slack).max(0.0) as u64
    }
}

/// The outcome of [`ToleranceUse::take`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// The tokens have been taken.
    Yes,
    /// The bucket has too few tokens.
    Insufficient,
    /// The bucket has the tokens, but the ledger must mark the part first.
    NeedsMark,
}

/// One organisation's bucket.
#[derive(Debug, Clone)]
struct Use {
    bucket: Bucket,
    /// Tokens that the fleet tolerates in a window, and that window.
    tolerated: u64,
    window: Duration,
}

impl Use {
    fn resize(&mut self, part: Part) {
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        let refill = part.mul_div_floor(REFILL_PERCENT * 10, window_ms);
        self.bucket.resize(
            capacity(part, self.tolerated),
            refill.of_rate(self.tolerated),
        );
    }
}

fn capacity(part: Part, tolerated: u64) -> Amount {
    part.mul_div_floor(CAPACITY_PERCENT, 100)
        .of_burst(tolerated)
}

/// One instance's part of the tolerance, and its use by each organisation.
#[derive(Debug, Default)]
pub struct ToleranceUse {
    part: Part,
    /// Time since which the part has not grown, and from which the buckets of further organisations
    /// refill.
    part_since: Duration,
    /// The part for which the buckets of further organisations are full.
    full_part: Part,
    /// Whether requests want to use the tolerance, so that the ledger is to mark the part.
    is_wanted: bool,
    /// Whether the ledger marks the part.
    is_marked: bool,
    used_at: Duration,
    unmarkable_until: Duration,
    uses: HashMap<OrganisationId, Use>,
}

impl ToleranceUse {
    /// Applies what the ledger says of this instance's part.
    pub fn follow(&mut self, now: Duration, client: &mut LedgerClient) {
        let before = (self.part, self.is_marked);
        self.set_part(now, client.assigned_part());
        self.is_marked = client.may_use_tolerance();
        let unused_part = client.take_unused_part();
        if (self.part, self.is_marked) != before {
            journal::line("tolerance")
                .value("part", self.part.ratio())
                .value("marked", self.is_marked)
                .value("unused_part", unused_part.ratio());
        }
        if !unused_part.is_zero() {
            self.fill(unused_part);
        }
    }

    fn set_part(&mut self, now: Duration, part: Part) {
        if part == self.part {
            return;
        }
        for used in self.uses.values_mut() {
            used.bucket.advance(now);
            used.resize(part);
        }
        if part > self.part {
            self.part_since = now;
        }
        self.part = part;
        self.full_part = self.full_part.min(part);
    }

    /// Fills the buckets of a process that has inherited an unmarked part, its first one.
    fn fill(&mut self, part: Part) {
        self.full_part = part.min(self.part);
        for used in self.uses.values_mut() {
            used.bucket
                .add_tokens(capacity(self.full_part, used.tolerated));
        }
    }

    /// Returns whether requests wait for the ledger to mark the part.
    pub fn lacks_mark(&self) -> bool {
        self.is_wanted && !self.is_marked && !self.part.is_zero()
    }

    /// Refuses requests that need a mark until `until`, as the ledger could not be written.
    pub fn record_mark_failure(&mut self, until: Duration) {
        self.unmarkable_until = until;
    }

    /// Returns whether the ledger is to mark the part. If the tolerance has not been used for the
    /// time that marks are kept, it is not used from now on until the part is marked again.
    pub fn wants_mark(&mut self, now: Duration, tolerance: &Tolerance) -> bool {
        if self.is_wanted && now >= self.used_at + tolerance.mark_time() {
            self.is_wanted = false;
            self.is_marked = false;
        }
        self.is_wanted
    }

    /// Takes tokens out of an organisation's bucket.
    pub fn take(
        &mut self,
        now: Duration,
        organisation: &OrganisationId,
        tokens: u64,
        limit: RateLimit,
        tolerance: &Tolerance,
    ) -> Taken {
        let (tolerated, window) = (tolerance.tokens(limit), tolerance.window);
        let used = self.uses.entry(organisation.clone()).or_insert_with(|| {
            let mut used = Use {
                bucket: Bucket::empty(self.part_since),
                tolerated,
                window,
            };
            used.resize(self.part);
            used.bucket.add_tokens(capacity(self.full_part, tolerated));
            used
        });
        used.bucket.advance(now);
        (used.tolerated, used.window) = (tolerated, window);
        used.resize(self.part);
        let tokens = Amount::tokens(tokens);
        // Without a part, the process may yet inherit full buckets.
        let may_suffice = tokens <= used.bucket.level() || self.part.is_zero();
        let is_unmarkable = !self.is_marked && now < self.unmarkable_until;
        if !may_suffice || is_unmarkable {
            return Taken::Insufficient;
        }
        self.used_at = now;
        self.is_wanted = true;
        if self.part.is_zero() {
            return Taken::Insufficient;
        }
        if !self.is_marked {
            return Taken::NeedsMark;
        }
        used.bucket.remove_tokens(tokens);
        Taken::Yes
    }
}
