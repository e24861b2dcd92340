//! An admitted request and its answer, independent of HTTP and of the peer protocol.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::id::{KeyId, ModelId, OrganisationId, RegionId, RequestId, RouteId, TargetId};
use crate::refusal::Refusal;

/// The operation that a request asks of its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Text generation by a model.
    Model {
        /// The requested model.
        model: ModelId,
        /// The OpenAI path at the engine, such as `/v1/chat/completions`.
        path: String,
        /// Whether the caller requests an event stream.
        stream: bool,
    },
    /// An HTTP request to a service that is not a model.
    Service {
        /// The HTTP method.
        method: String,
        /// The path and query at the service, starting with `/`.
        path: String,
        /// The content type of the body, if any.
        content_type: Option<String>,
    },
}

/// A request that has passed authentication and admission; it does not contain the API key itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The unique identifier of the request.
    pub id: RequestId,
    /// The organisation that the request is charged to; `None` on an open route.
    pub organisation: Option<OrganisationId>,
    /// The public identifier of the caller's API key.
    pub key: Option<KeyId>,
    /// The route of the request.
    pub route: RouteId,
    /// The requested operation.
    pub operation: Operation,
    /// The request body, passed to the target unchanged.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The regions in which the request may run; an empty list allows no region.
    pub regions: Vec<RegionId>,
    /// Prompt tokens plus the maximum number of generated tokens, as charged at admission.
    pub tokens: u64,
    /// The prompt tokens, which are included in `tokens`.
    pub prompt_tokens: u64,
    /// The priority within the organisation; queued requests with a greater value run first.
    pub priority: u8,
    /// The remaining time until the caller's deadline.
    pub time_left: Duration,
    /// The number of times the request has been forwarded to another region: 0 or 1.
    pub hops: u8,
}

/// The status, content type and origin of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status returned by the target.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The target that produced the answer.
    pub target: TargetId,
    /// The region of that target.
    pub region: RegionId,
}

/// A part of an answer's body, or the reason why the rest of the body is missing.
pub type Chunk = Result<Bytes, Refusal>;

/// An answer whose body may still be arriving.
///
/// The body is complete if and only if the channel closes without an error.
#[derive(Debug)]
pub struct Answer {
    /// The status, content type and origin.
    pub head: AnswerHead,
    /// The chunks of the body in order. Dropping the receiver cancels the request, unless the
    /// dispatcher completes a non-repeatable request.
    pub body: mpsc::Receiver<Chunk>,
}

/// The interface between the front end and the execution of requests.
#[async_trait]
pub trait Dispatch: Send + Sync {
    /// Runs a request in this region or, if the request has not been forwarded, in another region.
    async fn dispatch(&self, call: Call) -> Result<Answer, Refusal>;
}
