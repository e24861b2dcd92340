//! Functions shared by the target plug-ins that send requests over HTTP.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Response, Url};
use tokio::net::TcpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::answer_match::{MissingId, belongs};
use super::{AnswerProgress, Framing, TargetAddress, TargetError};
use crate::call::{Answer, AnswerHead, Call, Chunk};
use crate::front::headers::CDN_LOOP_ID;
use crate::id::RequestId;
use crate::refusal::{Code, Refusal};

/// The header with the attempt's ID, which the target echoes in its response.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// The header with the organisation on whose behalf a request runs.
const ORGANISATION: HeaderName = HeaderName::from_static("limpetstand-organisation");

/// The header with the request's priority within its organisation.
const PRIORITY: HeaderName = HeaderName::from_static("limpetstand-priority");

/// The header that reveals a request loop when a target is itself a caller of the gateway.
const CDN_LOOP: HeaderName = HeaderName::from_static("cdn-loop");

/// The gateway's name in `CDN-Loop`.
const CDN_LOOP_NAME: HeaderValue = HeaderValue::from_static(CDN_LOOP_ID);

/// Time limit for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the URL of a path at a target.
pub(crate) fn url(to: &TargetAddress, path: &str) -> Result<Url, TargetError> {
    if !path.starts_with('/') {
        return Err(TargetError::NotSent(format!(
            "path does not start with '/': {path}"
        )));
    }
    Url::parse(&format!("http://{}{path}", to.address))
        .map_err(|e| TargetError::NotSent(e.to_string()))
}

/// Returns the headers of an attempt, without the caller's key.
pub(crate) fn headers(attempt: RequestId, call: &Call) -> HeaderMap {
    let mut headers = HeaderMap::new();
    insert(&mut headers, REQUEST_ID, &attempt.to_string());
    if let Some(organisation) = &call.organisation {
        insert(&mut headers, ORGANISATION, organisation.as_str());
    }
    insert(&mut headers, PRIORITY, &call.priority.to_string());
    headers.insert(CDN_LOOP, CDN_LOOP_NAME);
    headers
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns `NotSent` if no byte of the request can have been sent, and `Incomplete` otherwise.
pub(crate) fn classify_error(e: &reqwest::Error) -> TargetError {
    if e.is_connect() || e.is_builder() {
        return TargetError::NotSent(e.to_string());
    }
    TargetError::Incomplete(e.to_string())
}

/// Checks that the response echoes the attempt's ID.
pub(crate) fn check_request_id(
    res: &Response,
    attempt: RequestId,
    missing_id: MissingId,
) -> Result<(), TargetError> {
    let stated = res.headers().get(REQUEST_ID).map(HeaderValue::as_bytes);
    if belongs(attempt.to_string().as_bytes(), stated, missing_id) {
        return Ok(());
    }
    Err(TargetError::WrongRequest)
}

/// Checks that the end of the body can be distinguished from a broken connection.
pub(crate) fn check_framing(res: &Response) -> Result<(), TargetError> {
    if framing(res) != Framing::ConnectionEnd {
        return Ok(());
    }
    Err(TargetError::Incomplete(
        "response body has neither a length nor chunks".to_owned(),
    ))
}

fn framing(res: &Response) -> Framing {
    Framing::of_target(res.content_length(), res.headers())
}

/// Returns the head of a response.
pub(crate) fn head(res: &Response, to: &TargetAddress) -> AnswerHead {
    let content_type = res
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream");
    AnswerHead {
        status: res.status().as_u16(),
        content_type: content_type.to_owned(),
        target: to.id.clone(),
        region: to.region.clone(),
    }
}

/// Spawns the task that forwards the body and returns the response; `buffer` is the number of
/// chunks buffered for a slow reader.
pub(crate) fn answer<F>(
    head: AnswerHead,
    buffer: usize,
    forward: impl FnOnce(mpsc::Sender<Chunk>) -> F,
) -> Answer
where
    F: Future<Output = ()> + Send + 'static,
{
    let (tx, body) = mpsc::channel(buffer);
    tokio::spawn(forward(tx));
    Answer { head, body }
}

/// Forwards a body as it arrives, and fails it if it ends incomplete.
pub(crate) async fn forward_body(mut res: Response, tx: mpsc::Sender<Chunk>) {
    let mut progress = AnswerProgress::new(framing(&res), false, res.status(), res.headers());
    loop {
        let chunk = tokio::select! {
            chunk = res.chunk() => chunk,
            () = tx.closed() => return,
        };
        let bytes: Bytes = match chunk {
            Ok(Some(bytes)) => bytes,
            Ok(None) => match progress.check_end() {
                Ok(()) => return,
                Err(e) => return fail_body(&tx, &e.to_string()).await,
            },
            Err(e) => return fail_body(&tx, &e.to_string()).await,
        };
        progress.push(&bytes);
        if tx.send(Ok(bytes)).await.is_err() {
            return;
        }
    }
}

/// Ends an incomplete body with an error.
pub(crate) async fn fail_body(tx: &mpsc::Sender<Chunk>, message: &str) {
    let refusal = Refusal::unknown(Code::TargetFailed, message);
    // The reader may be gone, in which case nobody needs the error.
    let _ = tx.send(Err(refusal)).await;
}

/// Returns whether the target sends any response to a request for `path`.
pub(crate) async fn probe(client: &Client, to: &TargetAddress, path: &str) -> bool {
    let Ok(url) = url(to, path) else {
        return false;
    };
    let req = client.get(url).timeout(PROBE_TIMEOUT);
    req.send().await.is_ok()
}

/// Returns whether the target accepts connections.
pub(crate) async fn accepts_connections(source: Option<IpAddr>, to: &TargetAddress) -> bool {
    let connected = timeout(PROBE_TIMEOUT, connect(source, to.address)).await;
    matches!(connected, Ok(Ok(())))
}

async fn connect(source: Option<IpAddr>, to: SocketAddr) -> std::io::Result<()> {
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(to).await.map(drop)
}
