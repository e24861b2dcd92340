//! Loan requests, loans and returns.
//!
//! A loan moves a part of an organisation's rate and burst, together with tokens, from a lender to
//! a borrower for a limited term.

use std::time::Duration;

use super::amount::{Amount, Part};
use crate::id::InstanceId;

/// Maximum term of a loan by the lender's clock.
pub const MAX_TERM: Duration = Duration::from_secs(150);

/// Minimum term for which a borrower requests a loan.
pub const MIN_REQUESTED_TERM: Duration = Duration::from_secs(30);

/// Maximum drift between the clocks of two instances, in thousandths of the elapsed time.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u32 = 10;

/// Identifies a loan across all lenders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// Incarnation under which the borrower is in the ledger when it requests the loan.
    pub borrower: u64,
    /// Sequence number of the borrower's loan request.
    pub serial: u64,
}

/// A borrower's request for a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// Identifies the requested loan.
    pub id: LoanId,
    /// The instance that requests the loan.
    pub from: InstanceId,
    /// Tokens that the waiting request lacks.
    pub tokens: Amount,
    /// The part without which the borrower has no capacity for the waiting request.
    pub required_part: Part,
    /// The part that the borrower lacks for its demand, requested in advance.
    pub wanted_part: Part,
    /// Requested term, at most [`MAX_TERM`].
    pub term: Duration,
    /// Minimum term of a loan that is usable for the waiting request; zero if no request waits.
    pub min_term: Duration,
}

/// A loan, which the lender has deducted from its own account already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loan {
    /// Identifies the loan.
    pub id: LoanId,
    /// The part of the organisation's rate and burst that is lent.
    pub part: Part,
    /// The tokens that are lent with the part.
    pub tokens: Amount,
    /// Term from the time of the loan request, by a clock without drift.
    pub term: Duration,
}

/// An early return of a loan or a part of it, which the borrower has deducted already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Return {
    /// Identifies the loan.
    pub id: LoanId,
    /// The part that the borrower still keeps of the loan.
    pub remaining_part: Part,
    /// The tokens that are returned with the part.
    pub tokens: Amount,
}

/// Returns the term that a loan needs so that its borrower may use it for `time`.
pub fn lender_term(time: Duration) -> Duration {
    time + time * (2 * MAX_CLOCK_DRIFT_PER_MILLE) / 1000
}

/// Returns how long a borrower may use a loan of the given term, allowing for clock drift.
pub fn borrower_term(term: Duration) -> Duration {
    term.saturating_sub(term * MAX_CLOCK_DRIFT_PER_MILLE / 1000)
}
