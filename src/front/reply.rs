//! Builds the HTTP responses for answers and refusals.

use axum::body::Body;
use axum::response::Response;
use http::{HeaderValue, StatusCode};
use serde::Serialize;

use crate::call::AnswerHead;
use crate::id::{InstanceId, RequestId};
use crate::refusal::{Code, Refusal};

/// The header with the request's ID.
pub const HEADER_REQUEST: &str = "limpetstand-request";
/// The header that names the instance that received the request.
pub const HEADER_INSTANCE: &str = "limpetstand-instance";
/// The header that names the target that answered.
pub const HEADER_TARGET: &str = "limpetstand-target";
/// The header that names the region of the target that answered.
pub const HEADER_REGION: &str = "limpetstand-region";
/// The header with a refusal's code.
pub const HEADER_CODE: &str = "limpetstand-code";
/// The header that says whether a refused request may have run.
pub const HEADER_RAN: &str = "limpetstand-ran";
/// The header with the address of another instance to use.
pub const HEADER_USE: &str = "limpetstand-use-instance";

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
    ran: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    use_instance: Option<&'a str>,
}

/// The request and the instance that every response names.
#[derive(Debug, Clone)]
pub(super) struct ResponseContext {
    pub(super) request: RequestId,
    pub(super) instance: InstanceId,
}

/// Returns a refusal's body as JSON text.
pub fn refusal_json(refusal: &Refusal) -> String {
    let body = ErrorBody {
        error: ErrorFields {
            code: refusal.code().as_str(),
            message: refusal.message(),
            ran: refusal.ran().as_str(),
            retry_after_ms: refusal.retry_after_ms(),
            use_instance: refusal.other_instance(),
        },
    };
    serde_json::to_string(&body).unwrap_or_default()
}

/// Returns the server-sent event that ends a failed stream.
pub(super) fn error_event(refusal: &Refusal) -> String {
    format!("event: error\ndata: {}\n\n", refusal_json(refusal))
}

pub(super) fn refuse(refusal: &Refusal, context: &ResponseContext) -> Response {
    let mut response = Response::new(Body::from(refusal_json(refusal)));
    *response.status_mut() =
        StatusCode::from_u16(refusal.code().status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    put_header(&mut response, "content-type", "application/json");
    put_header(&mut response, HEADER_CODE, refusal.code().as_str());
    put_header(&mut response, HEADER_RAN, refusal.ran().as_str());
    if let Some(wait) = refusal.retry_after_ms() {
        put_header(
            &mut response,
            "retry-after",
            &wait.div_ceil(1000).to_string(),
        );
    }
    if let Some(other) = refusal.other_instance() {
        put_header(&mut response, HEADER_USE, other);
    }
    if refusal.code() == Code::Leaving {
        // A request sent on a kept-alive connection could be lost when the instance closes the
        // connection.
        put_header(&mut response, "connection", "close");
    }
    put_context(&mut response, context);
    response
}

pub(super) fn answer(head: &AnswerHead, body: Body, context: &ResponseContext) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    put_header(&mut response, "content-type", &head.content_type);
    put_header(&mut response, HEADER_TARGET, head.target.as_str());
    put_header(&mut response, HEADER_REGION, head.region.as_str());
    put_context(&mut response, context);
    response
}

fn put_context(response: &mut Response, context: &ResponseContext) {
    put_header(response, HEADER_REQUEST, &context.request.to_string());
    put_header(response, HEADER_INSTANCE, context.instance.as_str());
}

fn put_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
