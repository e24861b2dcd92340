//! The outcome of a request, as reported to the [`Recorder`](super::Recorder).

use std::time::Duration;

use super::Counts;
use crate::config::{Objective, ObjectiveKind};
use crate::id::{OrganisationId, RouteId};
use crate::refusal::Code;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The caller received the whole answer.
    Answered {
        /// Time from the request to the first part of the answer.
        first_token: Duration,
        /// Tokens served.
        tokens: u64,
    },
    /// The request was refused with this code, or the gateway ended the answer early with this
    /// code, for example because the target failed.
    Refused(Code),
}

/// A request that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event<'a> {
    /// The organisation of the request; `None` on an open route without a key.
    pub organisation: Option<&'a OrganisationId>,
    /// The route of the request.
    pub route: &'a RouteId,
    /// How the request ended.
    pub outcome: Outcome,
}

impl Event<'_> {
    /// Returns whether the objective covers the event's organisation and route.
    pub fn concerns(&self, objective: &Objective) -> bool {
        let organisation = objective.organisation.as_ref();
        let route = objective.route.as_ref();
        organisation.is_none_or(|o| self.organisation == Some(o))
            && route.is_none_or(|r| self.route == r)
    }

    /// Returns what the event adds to the counts of an objective.
    pub fn counts(&self, objective: &Objective) -> Counts {
        match self.outcome {
            Outcome::Answered {
                first_token,
                tokens,
            } => {
                let slow = objective
                    .threshold_ms
                    .is_some_and(|ms| first_token > Duration::from_millis(ms));
                let bad = objective.kind == ObjectiveKind::Latency && slow;
                Counts {
                    total: 1,
                    bad: u64::from(bad),
                    tokens,
                    ..Counts::default()
                }
            }
            Outcome::Refused(code) => refused_counts(objective.kind, code),
        }
    }
}

fn refused_counts(kind: ObjectiveKind, code: Code) -> Counts {
    let failed = is_system_failure(code);
    match kind {
        ObjectiveKind::Latency => Counts::default(),
        ObjectiveKind::Availability if failed => Counts {
            total: 1,
            bad: 1,
            ..Counts::default()
        },
        ObjectiveKind::Availability => Counts::default(),
        ObjectiveKind::WrongfulRefusals if failed => Counts {
            total: 1,
            bad: 1,
            ..Counts::default()
        },
        ObjectiveKind::WrongfulRefusals if code == Code::RateExceeded => Counts {
            total: 1,
            rate_refused: 1,
            ..Counts::default()
        },
        ObjectiveKind::WrongfulRefusals => Counts::default(),
    }
}

/// Returns whether the system caused a refusal, rather than the caller or a limit.
fn is_system_failure(code: Code) -> bool {
    match code {
        Code::Overloaded
        | Code::NoTarget
        | Code::DeadlineExceeded
        | Code::TargetFailed
        | Code::NotReady
        | Code::ClaimUnavailable => true,
        Code::BadRequest
        | Code::TooLarge
        | Code::BadKey
        | Code::Forbidden
        | Code::NoSuchRoute
        | Code::NoAllowedRegion
        | Code::RateExceeded
        | Code::LargerThanBurst
        | Code::Loop
        | Code::Quarantined
        | Code::AlreadyClaimed
        | Code::Leaving => false,
    }
}
