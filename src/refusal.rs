//! Refusals: the errors that callers receive in place of an answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Minimum `Retry-After` of refusals; a used-up share of a limit gets new units within this time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum random extension of `Retry-After`, as a fraction of the wait; spreads the retries of
/// callers that were refused at the same time.
const RETRY_JITTER: f64 = 0.5;

/// Whether a refused request may have run on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the request can have reached a target.
    No,
    /// The request may have run.
    Unknown,
}

impl Ran {
    /// Returns the value used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// The reason for a refusal; callers may rely on these codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body or the headers are too large.
    TooLarge,
    /// The key is missing, unknown or withdrawn.
    BadKey,
    /// The key's organisation may not use this route.
    Forbidden,
    /// The route or the model does not exist.
    NoSuchRoute,
    /// The residency rules leave no region for the request.
    NoAllowedRegion,
    /// The organisation's rate and burst do not allow the request's tokens now; a later retry may
    /// succeed.
    RateExceeded,
    /// The request needs more tokens than the organisation's burst.
    LargerThanBurst,
    /// The targets are busy, and the queue is full or the expected wait in the queue too long.
    Overloaded,
    /// No live target can take the request.
    NoTarget,
    /// The request's deadline passed before the answer.
    DeadlineExceeded,
    /// The request has already passed through this gateway.
    Loop,
    /// The request is quarantined because targets crashed while running it.
    Quarantined,
    /// The claim that a non-repeatable request needs could not be obtained.
    ClaimUnavailable,
    /// A request with the same idempotency key is running or has already run.
    AlreadyClaimed,
    /// The target failed or its answer was incomplete.
    TargetFailed,
    /// The instance is shutting down.
    Leaving,
    /// The instance has no configuration yet.
    NotReady,
}

impl Code {
    /// Returns the HTTP status for callers that are told in a header whether the request has run.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::BadKey => 401,
            Self::Forbidden => 403,
            Self::NoSuchRoute => 404,
            Self::NoAllowedRegion => 451,
            Self::RateExceeded | Self::LargerThanBurst => 429,
            Self::Overloaded | Self::NoTarget | Self::Leaving | Self::NotReady => 503,
            Self::ClaimUnavailable => 503,
            Self::DeadlineExceeded => 504,
            Self::Loop => 508,
            Self::Quarantined => 422,
            Self::AlreadyClaimed => 409,
            Self::TargetFailed => 502,
        }
    }

    /// Returns the code as written in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::BadKey => "bad_key",
            Self::Forbidden => "forbidden",
            Self::NoSuchRoute => "no_such_route",
            Self::NoAllowedRegion => "no_allowed_region",
            Self::RateExceeded => "rate_exceeded",
            Self::LargerThanBurst => "larger_than_burst",
            Self::Overloaded => "overloaded",
            Self::NoTarget => "no_target",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Loop => "loop",
            Self::Quarantined => "quarantined",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::AlreadyClaimed => "already_claimed",
            Self::TargetFailed => "target_failed",
            Self::Leaving => "leaving",
            Self::NotReady => "not_ready",
        }
    }
}

/// A refusal: a code, whether the request may have run, a message and optional hints for a retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    code: Code,
    ran: Ran,
    retry_after_ms: Option<u64>,
    message: String,
    #[serde(default)]
    use_instance: Option<String>,
}

impl Refusal {
    /// Creates a refusal of a request that cannot have run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after_ms: None,
            message: message.into(),
            use_instance: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Sets the address of another instance to use.
    pub fn use_instance(mut self, address: impl Into<String>) -> Self {
        self.use_instance = Some(address.into());
        self
    }

    /// Returns the code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// Returns whether the request may have run.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the HTTP status for callers to whom 503 means that the request has not run: if it may
    /// have run they get 502 or 504.
    pub fn status_by_ran(&self) -> u16 {
        match (self.code, self.ran) {
            (Code::DeadlineExceeded | Code::TargetFailed | Code::Quarantined, Ran::No) => 503,
            (Code::Overloaded | Code::NoTarget | Code::Quarantined, Ran::Unknown) => 502,
            (code, _) => code.status(),
        }
    }

    /// Returns the time after which a retry may succeed, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns the human-readable message.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the address of another instance to use.
    pub fn other_instance(&self) -> Option<&str> {
        self.use_instance.as_deref()
    }
}

/// Returns the `Retry-After` time: the wait, raised to the minimum and extended at random to spread
/// retries; `draw` is a random number from 0 to 1.
pub fn spread_retry_after(wait: Duration, draw: f64) -> Duration {
    let wait = wait.max(MIN_RETRY_AFTER);
    wait + wait.mul_f64(draw * RETRY_JITTER)
}
