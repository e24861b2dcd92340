//! One admitted request, and what becomes of it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::dialect::PromptPart;
use super::routes::RouteKind;
use super::source::Source;
use crate::id::{OrganisationId, RegionId, RouteId, TargetId};
use crate::refusal::Refusal;

/// A request past the checks of the instance that took it; it carries no key.
#[derive(Debug, Clone)]
pub(super) struct Job {
    /// The caller's name of the request.
    pub id: SmolStr,
    /// The route it came in by.
    pub route: RouteId,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The service that runs it.
    pub service: SmolStr,
    /// The organisation for which it runs.
    pub organisation: Option<OrganisationId>,
    /// 0 goes first.
    pub priority: u8,
    /// The most targets it may be sent to.
    pub max_attempts: u32,
    /// Targets it has been sent to.
    pub attempts: u32,
    /// The time to the answer that the operators aim at.
    pub objective: Duration,
    /// When the caller or the operators give it up.
    pub deadline: Instant,
    /// The method.
    pub method: Method,
    /// Path and query, as they came.
    pub path: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The regions in which it may run.
    pub regions: Vec<RegionId>,
    /// The parts of its prompt.
    pub prompt: Vec<PromptPart>,
    /// The event after which a stream is to go on.
    pub resume_after: Option<SmolStr>,
    /// How often it has been passed between regions: 0 or 1.
    pub hops: u8,
}

impl Job {
    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns how many more targets it may be sent to.
    pub(super) fn attempts_left(&self) -> u32 {
        self.max_attempts.saturating_sub(self.attempts)
    }
}

/// The head of a target's answer, and its body on the way.
pub(super) struct Reply {
    /// The target's status.
    pub status: StatusCode,
    /// The target's headers, without those of one connection.
    pub headers: HeaderMap,
    /// The target.
    pub target: TargetId,
    /// Targets that the request has been sent to by now.
    pub attempts: u32,
    /// The body.
    pub source: Source,
}

/// Why there is no answer.
#[derive(Debug, Clone)]
pub(super) struct Failure {
    /// What the caller is told.
    pub refusal: Refusal,
    /// Targets that the request has been sent to by now.
    pub attempts: u32,
    /// Whether another region may still be tried.
    pub try_other_region: bool,
}
