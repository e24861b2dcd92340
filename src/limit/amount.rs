//! Fixed-point amounts of tokens, refill rates and parts of a limit.

use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

use serde::{Deserialize, Serialize};

const NANOS_PER_TOKEN: i128 = 1_000_000_000;
const NANOS_PER_SECOND: i128 = 1_000_000_000;

/// An amount of tokens in billionths of a token; a negative amount is a debt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Amount(i128);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Creates an amount from whole tokens.
    pub fn tokens(tokens: u64) -> Self {
        Self(i128::from(tokens) * NANOS_PER_TOKEN)
    }

    /// Returns whether this amount is zero or a debt.
    pub fn is_zero_or_negative(self) -> bool {
        self.0 <= 0
    }

    /// Returns this amount times `numerator / denominator`, rounded down; zero for a zero
    /// denominator.
    pub fn proportion(self, numerator: Part, denominator: Part) -> Self {
        if denominator.0 == 0 {
            return Self::ZERO;
        }
        let scaled = self.0.saturating_mul(i128::from(numerator.0));
        Self(scaled.div_euclid(i128::from(denominator.0)))
    }

    /// Returns this amount times `numerator / denominator`, rounded up.
    pub fn mul_div_ceil(self, numerator: u64, denominator: u64) -> Self {
        let scaled = self.0.saturating_mul(numerator.into());
        Self(-(-scaled).div_euclid(denominator.max(1).into()))
    }

    /// Returns the number of tokens as a float, for display.
    #[expect(clippy::cast_precision_loss, reason = "display only")]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / NANOS_PER_TOKEN as f64
    }

    /// Returns the number of whole tokens, rounded down; zero for a debt.
    pub fn whole_tokens(self) -> u64 {
        u64::try_from(self.0.max(0) / NANOS_PER_TOKEN).unwrap_or(u64::MAX)
    }
}

impl Add for Amount {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sub for Amount {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Self) {
        self.0 -= other.0;
    }
}

/// A refill rate in billionths of a token per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RefillRate(i128);

impl RefillRate {
    /// No refill.
    pub const ZERO: Self = Self(0);

    /// Returns the tokens refilled in `time`, rounded down.
    pub fn tokens_in(self, time: Duration) -> Amount {
        let nanos = i128::try_from(time.as_nanos()).unwrap_or(i128::MAX);
        Amount(self.0.saturating_mul(nanos) / NANOS_PER_SECOND)
    }

    /// Returns the time that the refill of `amount` takes, rounded up; `None` if there is no
    /// refill.
    pub fn time_for(self, amount: Amount) -> Option<Duration> {
        if amount.0 <= 0 {
            return Some(Duration::ZERO);
        }
        if self.0 <= 0 {
            return None;
        }
        let nanos = amount.0.saturating_mul(NANOS_PER_SECOND) / self.0 + 1;
        u64::try_from(nanos).ok().map(Duration::from_nanos)
    }
}

/// A fraction of an organisation's rate and burst, in billionths of the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(u64);

impl Part {
    /// No part of the whole.
    pub const ZERO: Self = Self(0);
    /// The whole.
    pub const WHOLE: Self = Self(1_000_000_000);

    /// Returns one of `count` equal parts, rounded down.
    pub fn one_of(count: usize) -> Self {
        let count = u64::try_from(count).unwrap_or(u64::MAX).max(1);
        Self(Self::WHOLE.0 / count)
    }

    /// Returns the smallest part whose tokens of `burst` cover `amount`; [`Part::WHOLE`] if
    /// `amount` exceeds `burst`.
    pub fn covering(amount: Amount, burst: u64) -> Self {
        if amount.is_zero_or_negative() {
            return Self::ZERO;
        }
        if burst == 0 {
            return Self::WHOLE;
        }
        let part = (amount.0 - 1) / i128::from(burst) + 1;
        u64::try_from(part).map_or(Self::WHOLE, |p| Self(p).min(Self::WHOLE))
    }

    /// Returns the part of `rate` that `tokens_per_second` needs, at most the whole.
    pub fn of_demand(tokens_per_second: f64, rate: u64) -> Self {
        let whole = to_f64(Self::WHOLE.0);
        let part = (tokens_per_second / to_f64(rate.max(1)) * whole).clamp(0.0, whole);
        Self(to_u64(part))
    }

    /// Returns this part times `numerator / denominator`, rounded down.
    pub fn mul_div_floor(self, numerator: u64, denominator: u64) -> Self {
        let scaled = u128::from(self.0) * u128::from(numerator) / u128::from(denominator.max(1));
        Self(u64::try_from(scaled).unwrap_or(u64::MAX))
    }

    /// Returns this part minus `other`; zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum of both parts.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns this part as a ratio from 0 to 1.
    pub fn ratio(self) -> f64 {
        to_f64(self.0) / to_f64(Self::WHOLE.0)
    }

    /// Returns whether this part is zero.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the number of tokens that this part of `burst` amounts to.
    pub fn of_burst(self, burst: u64) -> Amount {
        Amount(i128::from(burst) * i128::from(self.0))
    }

    /// Returns the refill rate that this part of `rate` amounts to.
    pub fn of_rate(self, rate: u64) -> RefillRate {
        RefillRate(i128::from(rate) * i128::from(self.0))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "parts and rates are far below 2^52"
)]
fn to_f64(n: u64) -> f64 {
    n as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the parts of a whole"
)]
fn to_u64(n: f64) -> u64 {
    n as u64
}
