//! The wire types of forwarded requests.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::call::{AnswerHead, Call, Operation};
use crate::id::{KeyId, ModelId, OrganisationId, RegionId, RequestId, RouteId, TargetId};
use crate::peer::PeerError;
use crate::refusal::Refusal;

/// Maximum number of regions in a forwarded request.
const MAX_REGIONS: usize = 1024;

/// Maximum time left until the deadline of a forwarded request.
const MAX_TIME_LEFT: Duration = Duration::from_secs(24 * 60 * 60);

/// A forwarded request.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireCall {
    id: RequestId,
    organisation: Option<OrganisationId>,
    key: Option<KeyId>,
    route: RouteId,
    work: WireWork,
    body: Bytes,
    repeatable: bool,
    idempotency_key: Option<String>,
    regions: Vec<RegionId>,
    tokens: u64,
    prompt_tokens: u64,
    priority: u8,
    time_left_us: u64,
    hops: u8,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireWork {
    Model {
        model: ModelId,
        path: String,
        stream: bool,
    },
    Service {
        method: String,
        path: String,
        content_type: Option<String>,
    },
}

/// One frame of the answer to a forwarded request.
///
/// An answer is a `Head`, any number of `Chunk`s and an `End`. A `Refused` may replace any of these
/// frames and ends the answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum WireFrame {
    /// The status, content type and origin of the answer.
    Head(WireHead),
    /// A part of the answer's body.
    Chunk(Bytes),
    /// The answer's body is complete.
    End,
    /// The request was refused, or the answer failed after its head.
    Refused(Refusal),
}

/// The head of the answer to a forwarded request.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireHead {
    status: u16,
    content_type: String,
    target: TargetId,
    region: RegionId,
}

impl From<&Call> for WireCall {
    fn from(call: &Call) -> Self {
        let work = match &call.operation {
            Operation::Model {
                model,
                path,
                stream,
            } => WireWork::Model {
                model: model.clone(),
                path: path.clone(),
                stream: *stream,
            },
            Operation::Service {
                method,
                path,
                content_type,
            } => WireWork::Service {
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
            },
        };
        Self {
            id: call.id,
            organisation: call.organisation.clone(),
            key: call.key.clone(),
            route: call.route.clone(),
            work,
            body: call.body.clone(),
            repeatable: call.repeatable,
            idempotency_key: call.idempotency_key.clone(),
            regions: call.regions.clone(),
            tokens: call.tokens,
            prompt_tokens: call.prompt_tokens,
            priority: call.priority,
            time_left_us: u64::try_from(call.time_left.as_micros()).unwrap_or(u64::MAX),
            hops: call.hops,
        }
    }
}

impl TryFrom<WireCall> for Call {
    type Error = PeerError;

    fn try_from(wire: WireCall) -> Result<Self, PeerError> {
        if wire.regions.len() > MAX_REGIONS {
            return Err(PeerError::Malformed(format!(
                "request names {} regions",
                wire.regions.len()
            )));
        }
        let time_left = Duration::from_micros(wire.time_left_us);
        if time_left > MAX_TIME_LEFT {
            return Err(PeerError::Malformed(
                "time left until the deadline exceeds 24 h".to_owned(),
            ));
        }
        let operation = match wire.work {
            WireWork::Model {
                model,
                path,
                stream,
            } => Operation::Model {
                model,
                path,
                stream,
            },
            WireWork::Service {
                method,
                path,
                content_type,
            } => Operation::Service {
                method,
                path,
                content_type,
            },
        };
        Ok(Self {
            id: wire.id,
            organisation: wire.organisation,
            key: wire.key,
            route: wire.route,
            operation,
            body: wire.body,
            repeatable: wire.repeatable,
            idempotency_key: wire.idempotency_key,
            regions: wire.regions,
            tokens: wire.tokens,
            prompt_tokens: wire.prompt_tokens,
            priority: wire.priority,
            time_left,
            hops: wire.hops,
        })
    }
}

impl From<&AnswerHead> for WireHead {
    fn from(head: &AnswerHead) -> Self {
        Self {
            status: head.status,
            content_type: head.content_type.clone(),
            target: head.target.clone(),
            region: head.region.clone(),
        }
    }
}

impl From<WireHead> for AnswerHead {
    fn from(wire: WireHead) -> Self {
        Self {
            status: wire.status,
            content_type: wire.content_type,
            target: wire.target,
            region: wire.region,
        }
    }
}

crate::wire_format!("forwarded-call", WireCall);
crate::wire_format!("forwarded-frame", WireFrame);
