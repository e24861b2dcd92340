//! An admitted request, and its answer or failure.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::dialect::PromptPart;
use super::pool::Demand;
use super::routes::RouteKind;
use super::source::Source;
use crate::id::{OrganisationId, RegionId, RouteId, TargetId};
use crate::quarantine::{Fingerprint, Suspect};
use crate::refusal::{Code, Refusal};

/// `Retry-After` for a request that an instance does not take as it leaves; other instances take
/// requests at once.
pub(super) const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request that has passed the checks of the instance that received it; the request carries no
/// API key.
#[derive(Debug, Clone)]
pub(super) struct Job {
    /// The request id given by the caller.
    pub id: SmolStr,
    /// The route that the request matched.
    pub route: RouteId,
    /// The kind of the route, which says whether the request may be repeated.
    pub kind: RouteKind,
    /// The service that runs the request.
    pub service: SmolStr,
    /// The organisation on whose behalf the request runs.
    pub organisation: Option<OrganisationId>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request leaves slots of targets free for more urgent ones.
    pub yields: bool,
    /// The most targets that the request may be sent to.
    pub max_attempts: u32,
    /// Number of targets that the request has been sent to.
    pub attempts: u32,
    /// The latency objective of the route.
    pub objective: Duration,
    /// How long the request may wait before a target starts on it.
    pub max_wait: Duration,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// The HTTP method.
    pub method: Method,
    /// The path and query of the request, as received.
    pub path: String,
    /// The headers to forward to the target.
    pub headers: HeaderMap,
    /// The body of the request.
    pub body: Bytes,
    /// The regions in which the request may run.
    pub regions: Vec<RegionId>,
    /// The parts of the request's prompt.
    pub prompt: Vec<PromptPart>,
    /// Targets that are not asked, since they are silent on this request.
    pub silent_targets: Vec<TargetId>,
    /// Whether an attempt is under way that has begun to send the request to a target or to another
    /// instance.
    pub sent: bool,
    /// Whether an earlier attempt may have run the request.
    pub may_have_run: bool,
    /// What a crash of a target that runs the request may be blamed on.
    pub suspects: Arc<[Suspect]>,
    /// The id of the event after which a stream is to resume.
    pub resume_after: Option<SmolStr>,
    /// The id under which the stream's origin is recorded: that of the request that brought its
    /// first event.
    pub stream: SmolStr,
    /// The software version that began the stream, at which alone it may go on; `None` if no event
    /// has reached the caller.
    pub software_version: Option<SmolStr>,
    /// How often the request has been relayed between regions: 0 or 1.
    pub hops: u8,
}

impl Job {
    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Tells whether the request may have run or may be running.
    pub(super) fn may_run(&self) -> bool {
        self.sent || self.may_have_run
    }

    /// Returns the failure of a request that a leaving instance gives up.
    pub(super) fn given_up(&self) -> Failure {
        let why = "the instance leaves";
        let refusal = if self.may_run() {
            Refusal::unknown(Code::TargetFailed, why)
        } else {
            Refusal::not_run(Code::Leaving, why).retry_after(LEAVING_RETRY_AFTER)
        };
        Failure {
            refusal,
            attempts: self.attempts + u32::from(self.sent),
            try_other_region: true,
        }
    }

    /// Returns what the request asks of its target.
    pub(super) fn demand<'a>(&'a self, tried: &'a [TargetId]) -> Demand<'a> {
        Demand {
            service: &self.service,
            software_version: self.software_version.as_ref(),
            prompt: &self.prompt,
            tried,
            avoided: &[],
        }
    }

    /// Returns how many more targets the request may be sent to.
    pub(super) fn attempts_left(&self) -> u32 {
        self.max_attempts.saturating_sub(self.attempts)
    }
}

/// Returns what a crash of a target that runs such a request may be blamed on.
pub(super) fn suspects(
    organisation: Option<&OrganisationId>,
    route: &RouteId,
    service: &str,
    path: &str,
    body: &[u8],
    prompt: &[PromptPart],
) -> Arc<[Suspect]> {
    let organisation = organisation.map_or("", OrganisationId::as_str);
    let request = Fingerprint::of_request(organisation, route.as_str(), path, body);
    let prompt: Vec<u64> = prompt.iter().map(|part| part.id).collect();
    Suspect::of_request(request, service, &prompt).into()
}

/// The head of a target's answer, and the source of its body.
pub(super) struct Reply {
    /// The HTTP status of the target's response.
    pub status: StatusCode,
    /// The headers of the target's response, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The target that answers.
    pub target: TargetId,
    /// The version of the target's software.
    pub software_version: SmolStr,
    /// Number of targets that the request has been sent to so far.
    pub attempts: u32,
    /// The source of the response's body.
    pub source: Source,
}

/// Why a request has no answer.
#[derive(Debug, Clone)]
pub(super) struct Failure {
    /// The refusal to return to the caller.
    pub refusal: Refusal,
    /// Number of targets that the request has been sent to so far.
    pub attempts: u32,
    /// Whether the request may be tried in another region.
    pub try_other_region: bool,
}
