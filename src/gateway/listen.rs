//! An HTTP/1.1 server with limits on request heads and idle connections.

use std::convert::Infallible;
use std::sync::Arc;

use async_trait::async_trait;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::caller_stream::{CallerStream, ServingGuard};
use super::callers::{AnswerDeadline, ResponseBody};
use super::routes::CallerLimits;
use crate::accept::{accept, close, serve_until_stopped};
use crate::closing_stream::ClosingStream;
use crate::guarded_body::GuardedBody;
use crate::in_flight::InFlight;

/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 128;

/// Least size of a connection's buffer, which holds the longest head that the connection can take.
/// Larger than usual limits, so that a limit may be raised while connections are open.
const MIN_BUFFER_BYTES: usize = 64 * 1024;

/// Handles HTTP requests.
#[async_trait]
pub(super) trait Handler: Send + Sync + 'static {
    /// Handles one request and returns the response.
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody>;

    /// Returns the limits in force.
    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

/// Serves connections until `stop` changes. Connections without a request are then closed at once,
/// every other one after its current request. The listener and each connection count as one of
/// `connections` until they are closed.
pub(super) async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut stop: watch::Receiver<bool>,
    connections: InFlight,
) {
    let _listening = connections.track();
    let stopped = stop.clone();
    let spawn = |stream| {
        let (handler, stop) = (Arc::clone(&handler), stopped.clone());
        let guard = connections.track();
        tokio::spawn(async move {
            serve_connection(stream, handler, stop).await;
            drop(guard);
        });
    };
    while let Some(stream) = accept(&listener, &mut stop).await {
        spawn(stream);
    }
    for stream in close(listener) {
        spawn(stream);
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    stop: watch::Receiver<bool>,
) {
    let buffer_bytes = handler.limits().max_header_bytes.max(MIN_BUFFER_BYTES);
    let limited = Arc::clone(&handler);
    let stream = ClosingStream::new(stream, stop.clone());
    let request = stream.request();
    let stream = CallerStream::new(stream, Box::new(move || limited.limits()));
    let tracker = stream.tracker();
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let guard = ServingGuard::new(&tracker);
        let tracker = Arc::clone(&tracker);
        async move {
            let max_header_bytes = handler.limits().max_header_bytes;
            let mut response = if head_bytes(&req) > max_header_bytes {
                head_too_large()
            } else {
                handler.handle(req).await
            };
            if max_header_bytes > buffer_bytes {
                // Longer heads are allowed by now than this connection can take.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let deadline = response.extensions().get::<AnswerDeadline>();
            tracker.set_deadline(deadline.map(|d| d.0));
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(guard, body)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .max_headers(MAX_HEADERS);
    serve_until_stopped(&builder, TokioIo::new(stream), request, service, stop).await;
}

/// Returns the size of a request's head, without the spaces that callers may add.
fn head_bytes(req: &Request<Incoming>) -> usize {
    let target = req.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let mut bytes = req.method().as_str().len() + target + " HTTP/1.1\r\n".len() + 1;
    for (name, value) in req.headers() {
        bytes += name.as_str().len() + value.len() + ":\r\n".len();
    }
    bytes + "\r\n".len()
}

/// Creates the answer to a request whose head is too large, after which the connection closes, as
/// nobody reads the body.
fn head_too_large() -> Response<ResponseBody> {
    let body = Empty::new().map_err(|e: Infallible| match e {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}
