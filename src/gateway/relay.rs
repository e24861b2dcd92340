//! The messages in which instances relay requests to instances of other regions.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::dialect::PromptPart;
use super::job::{Job, suspects};
use super::routes::RouteKind;
use crate::id::{OrganisationId, RegionId, RouteId, TargetId};
use crate::peer::PeerError;
use crate::refusal::{Code, Refusal};

/// The longest deadline that a relayed request may carry.
const MAX_TIME_LEFT: Duration = Duration::from_secs(24 * 60 * 60);

type WireHeaders = Vec<(String, Bytes)>;

/// A relayed request, as encoded between instances.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireJob {
    id: SmolStr,
    route: RouteId,
    kind: WireKind,
    service: SmolStr,
    organisation: Option<OrganisationId>,
    priority: u8,
    max_attempts: u32,
    attempts: u32,
    objective_us: u64,
    max_wait_us: u64,
    time_left_us: u64,
    method: String,
    path: String,
    headers: WireHeaders,
    body: Bytes,
    regions: Vec<RegionId>,
    prompt: Vec<(u64, u32)>,
    resume_after: Option<SmolStr>,
    stream: SmolStr,
    software_version: Option<SmolStr>,
    hops: u8,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum WireKind {
    Idempotent,
    Once,
    Stream,
    ResumableStream,
}

/// The head of the answer to a relayed request.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireHead {
    /// The expected wait for the service in the answering region, in milliseconds.
    pub wait_ms: Option<f64>,
    /// Whether the answering instance is cut off from the targets of its region.
    pub cut_off: bool,
    /// Number of targets that the request has been sent to so far.
    pub attempts: u32,
    /// The target's answer, or the refusal of the request.
    pub outcome: WireOutcome,
}

impl WireHead {
    /// Tells whether the answering instance refuses the request since it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        matches!(&self.outcome, WireOutcome::Refused(refusal) if refusal.code() == Code::Leaving)
    }

    /// Tells whether the request was refused without being sent to a target, after `attempts` before.
    pub(super) fn is_not_sent(&self, attempts: u32) -> bool {
        matches!(self.outcome, WireOutcome::Refused(_)) && self.attempts == attempts
    }
}

/// The outcome of a relayed request.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum WireOutcome {
    /// A target answers; the body of its response follows.
    Answer {
        /// The HTTP status of the target's response.
        status: u16,
        /// The headers of the target's response.
        headers: Vec<(String, Bytes)>,
        /// The target that answers.
        target: TargetId,
        /// The version of the target's software.
        software_version: SmolStr,
    },
    /// The request was refused or failed.
    Refused(Refusal),
}

/// Converts headers to their form in relay messages.
pub(super) fn headers_to_wire(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let mut wire = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        wire.push((
            name.as_str().to_owned(),
            Bytes::copy_from_slice(value.as_bytes()),
        ));
    }
    wire
}

/// Converts headers from their form in relay messages.
///
/// # Errors
///
/// `Malformed` if a name or a value is not valid in an HTTP header.
pub(super) fn headers_from_wire(wire: Vec<(String, Bytes)>) -> Result<HeaderMap, PeerError> {
    let malformed = |e: &dyn std::fmt::Display| PeerError::Malformed(e.to_string());
    let mut headers = HeaderMap::with_capacity(wire.len());
    for (name, value) in wire {
        let name = HeaderName::try_from(name).map_err(|e| malformed(&e))?;
        let value = HeaderValue::from_maybe_shared(value).map_err(|e| malformed(&e))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Converts a status from its form in relay messages.
///
/// # Errors
///
/// `Malformed` if the number is not a valid HTTP status.
pub(super) fn status_from_wire(status: u16) -> Result<StatusCode, PeerError> {
    StatusCode::from_u16(status).map_err(|e| PeerError::Malformed(e.to_string()))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl From<RouteKind> for WireKind {
    fn from(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Idempotent => Self::Idempotent,
            RouteKind::Once => Self::Once,
            RouteKind::Stream => Self::Stream,
            RouteKind::ResumableStream => Self::ResumableStream,
        }
    }
}

impl From<WireKind> for RouteKind {
    fn from(kind: WireKind) -> Self {
        match kind {
            WireKind::Idempotent => Self::Idempotent,
            WireKind::Once => Self::Once,
            WireKind::Stream => Self::Stream,
            WireKind::ResumableStream => Self::ResumableStream,
        }
    }
}

impl From<&Job> for WireJob {
    fn from(job: &Job) -> Self {
        Self {
            id: job.id.clone(),
            route: job.route.clone(),
            kind: job.kind.into(),
            service: job.service.clone(),
            organisation: job.organisation.clone(),
            priority: job.priority,
            max_attempts: job.max_attempts,
            attempts: job.attempts,
            objective_us: micros(job.objective),
            max_wait_us: micros(job.max_wait),
            time_left_us: micros(job.time_left()),
            method: job.method.to_string(),
            path: job.path.clone(),
            headers: headers_to_wire(&job.headers),
            body: job.body.clone(),
            regions: job.regions.clone(),
            prompt: job.prompt.iter().map(|p| (p.id, p.tokens)).collect(),
            resume_after: job.resume_after.clone(),
            stream: job.stream.clone(),
            software_version: job.software_version.clone(),
            hops: job.hops + 1,
        }
    }
}

impl TryFrom<WireJob> for Job {
    type Error = PeerError;

    fn try_from(wire: WireJob) -> Result<Self, PeerError> {
        let time_left = Duration::from_micros(wire.time_left_us);
        if time_left > MAX_TIME_LEFT {
            return Err(PeerError::Malformed(
                "the time left exceeds 24 hours".to_owned(),
            ));
        }
        let method = Method::from_bytes(wire.method.as_bytes())
            .map_err(|e| PeerError::Malformed(e.to_string()))?;
        let mut prompt = Vec::with_capacity(wire.prompt.len());
        for (id, tokens) in wire.prompt {
            prompt.push(PromptPart { id, tokens });
        }
        let suspects = suspects(
            wire.organisation.as_ref(),
            &wire.route,
            &wire.service,
            &wire.path,
            &wire.body,
            &prompt,
        );
        Ok(Self {
            id: wire.id,
            route: wire.route,
            kind: wire.kind.into(),
            service: wire.service,
            organisation: wire.organisation,
            priority: wire.priority,
            // The callers of this region come first.
            yields: true,
            max_attempts: wire.max_attempts,
            attempts: wire.attempts,
            objective: Duration::from_micros(wire.objective_us),
            max_wait: Duration::from_micros(wire.max_wait_us),
            deadline: Instant::now() + time_left,
            method,
            path: wire.path,
            headers: headers_from_wire(wire.headers)?,
            body: wire.body,
            regions: wire.regions,
            prompt,
            silent_targets: Vec::new(),
            sent: false,
            may_have_run: false,
            suspects,
            resume_after: wire.resume_after,
            stream: wire.stream,
            software_version: wire.software_version,
            hops: wire.hops,
        })
    }
}

crate::wire_format!("relayed-head", WireHead);
crate::wire_format!("relayed-request", WireJob);
