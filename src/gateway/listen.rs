//! Serves HTTP/1.1 with bounds on heads and on idle connections.

use std::convert::Infallible;
use std::sync::Arc;

use async_trait::async_trait;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::callers::{GuardedBody, ResponseBody};
use super::head_clock::{HeadClock, Serving};
use super::routes::CallerLimits;
use crate::accept::{accept, serve_until};

/// The most header lines of a request.
const MAX_HEADERS: usize = 128;

/// Callers use connections up to the idle time; this much more keeps the close out of their way.
const IDLE_PART: f64 = 1.25;

/// The least buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Answers requests.
#[async_trait]
pub(super) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody>;

    /// Returns the bounds for a new connection.
    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

/// Serves connections until `stop` changes, then closes each after the request on it.
pub(super) async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut stop: watch::Receiver<bool>,
) {
    while let Some(stream) = accept(&listener, &mut stop).await {
        tokio::spawn(connection(stream, Arc::clone(&handler), stop.clone()));
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>, stop: watch::Receiver<bool>) {
    let limits = handler.limits();
    let stream = HeadClock::new(stream, limits.header_timeout);
    let requests = stream.requests();
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let serving = Serving::one_of(&requests);
        async move {
            let response = handler.handle(req).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(serving, body).boxed_unsync()))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.mul_f64(IDLE_PART))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    serve_until(connection, stop).await;
}
