//! Failures of one attempt.

use std::fmt;

use crate::refusal::{Code, Ran, Refusal};
use crate::target::TargetError;

/// The cause of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// No byte of the request was sent to a target.
    NotReached,
    /// The instance of another region is leaving and has not taken the request.
    NotTaken,
    /// The target refused the request before running it.
    Refused,
    /// The target answered with an HTTP status that reports an error.
    Failed,
    /// The answer belongs to another request.
    Crossed,
    /// The connection broke after bytes of the request may have been sent.
    Broken,
    /// The target sent nothing within the timeout.
    Silent,
    /// The request is refused without another attempt.
    Final,
}

impl FailureKind {
    /// Returns whether a byte of the request may have reached a target.
    pub(super) fn may_have_run(self) -> bool {
        !matches!(self, Self::NotReached | Self::NotTaken | Self::Final)
    }

    /// Returns whether the next attempt is charged to the retry budget.
    pub(super) fn uses_retry_budget(self) -> bool {
        !matches!(self, Self::NotReached | Self::NotTaken)
    }

    /// Returns the value of the `cause` label in metrics.
    pub(super) fn metric_label(self) -> &'static str {
        match self {
            Self::NotReached => "not_reached",
            Self::NotTaken => "not_taken",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Crossed => "crossed",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Final => "final",
        }
    }
}

/// A failed attempt, with the refusal for the caller if no other attempt follows.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    kind: FailureKind,
    refusal: Refusal,
}

impl AttemptFailure {
    /// Creates a failure of the given kind.
    pub(super) fn new(kind: FailureKind, message: impl Into<String>) -> Self {
        let refusal = if kind.may_have_run() {
            Refusal::unknown(Code::TargetFailed, message)
        } else {
            Refusal::not_run(Code::NoTarget, message)
        };
        Self { kind, refusal }
    }

    /// Creates a failure that ends the request: the caller gets `refusal`, and no other attempt is
    /// made.
    pub(super) fn without_retry(refusal: Refusal) -> Self {
        Self {
            kind: FailureKind::Final,
            refusal,
        }
    }

    /// Creates a failure of kind `Broken` for an answer whose body is incomplete.
    pub(super) fn broken(refusal: &Refusal) -> Self {
        Self {
            kind: FailureKind::Broken,
            refusal: refusal.clone(),
        }
    }

    /// Creates a failure from the refusal that another region returned.
    pub(super) fn from_forward(refusal: Refusal) -> Self {
        let kind = match (refusal.code(), refusal.ran()) {
            // For the caller this instance is the one that leaves if the code says so.
            (Code::Leaving, Ran::No) => return Self::new(FailureKind::NotTaken, refusal.message()),
            (Code::NoTarget | Code::Overloaded | Code::NotReady, Ran::No) => {
                FailureKind::NotReached
            }
            (Code::NoSuchRoute | Code::NoAllowedRegion, Ran::No) => FailureKind::NotReached,
            (Code::TargetFailed | Code::NoTarget | Code::Overloaded, Ran::Unknown) => {
                FailureKind::Failed
            }
            _ => FailureKind::Final,
        };
        Self { kind, refusal }
    }

    pub(super) fn kind(&self) -> FailureKind {
        self.kind
    }

    /// Returns the refusal for the caller if no other attempt follows.
    pub(super) fn refusal(&self) -> Refusal {
        self.refusal.clone()
    }
}

impl From<TargetError> for AttemptFailure {
    fn from(e: TargetError) -> Self {
        let kind = match e {
            TargetError::NotSent(_) => FailureKind::NotReached,
            TargetError::Rejected(_) => FailureKind::Refused,
            TargetError::Failed(_) => FailureKind::Failed,
            TargetError::Incomplete(_) => FailureKind::Broken,
            TargetError::WrongRequest => FailureKind::Crossed,
        };
        Self::new(kind, e.to_string())
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.refusal.message())
    }
}
