//! Accepting connections and closing them at shutdown, for all listeners.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, Request, Response, Version};
use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::closing_stream::{AnswerBody, AnswerGuard, OpenRequest, is_stopped};

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the next connection; returns `None` once `stop` changes or its sender is dropped.
pub(crate) async fn accept(
    listener: &TcpListener,
    stop: &mut watch::Receiver<bool>,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => return None,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Setting an option fails if the connection has already been closed.
        if stream.set_nodelay(true).is_ok() {
            return Some(stream);
        }
    }
}

/// Closes a listener; returns the connections that wait to be accepted, which would be reset
/// otherwise.
pub(crate) fn close(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    // Asks the system, since the runtime may not know yet of connections that came while the process
    // stood still.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(e) => {
            log::warn!("connections that wait at shutdown are lost: {e}");
            return streams;
        }
    };
    loop {
        match listener.accept() {
            Ok((stream, _)) => streams.extend(for_runtime(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return streams,
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                log::warn!("connections that wait at shutdown are lost: {e}");
                return streams;
            }
        }
    }
}

/// Returns a connection that the runtime serves; `None` if the caller has already closed it.
fn for_runtime(stream: std::net::TcpStream) -> Option<TcpStream> {
    stream.set_nonblocking(true).ok()?;
    stream.set_nodelay(true).ok()?;
    TcpStream::from_std(stream).ok()
}

/// Serves a connection until it closes. Once `stop` is set, its requests are answered as the last of
/// the connection; the [`ClosingStream`] below, whose state is `request`, ends where there is none.
///
/// [`ClosingStream`]: crate::closing_stream::ClosingStream
pub(crate) async fn serve_until_stopped<I, S, B>(
    builder: &http1::Builder,
    io: I,
    request: Arc<OpenRequest>,
    service: S,
    mut stop: watch::Receiver<bool>,
) where
    I: Read + Write + Unpin,
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stopped = stop.clone();
    let service = service_fn(|req: Request<Incoming>| {
        let guard = AnswerGuard::new(&request);
        // Such callers do not know chunks.
        let knows_chunks = req.version() >= Version::HTTP_11;
        let response = service.call(req);
        let stopped = &stopped;
        async move {
            let mut response = response.await?;
            if is_stopped(stopped) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let ends_with_connection = !knows_chunks && !has_length(&response);
            let body = |body| AnswerBody::new(guard, body, ends_with_connection);
            Ok::<_, Infallible>(response.map(body))
        }
    });
    let mut connection = pin!(builder.serve_connection(io, service));
    tokio::select! {
        // An error means that the caller closed the connection; there is nothing to handle.
        _ = connection.as_mut() => return,
        () = async { drop(stop.wait_for(|stopped| *stopped).await) } => {}
    }
    // Polls the connection, which then reads again.
    let _ = connection.await;
}

/// Tells whether the caller learns the length of a response's body before the body.
fn has_length<B: Body>(response: &Response<B>) -> bool {
    let length = response.body().size_hint().exact();
    length.is_some() || response.headers().contains_key(CONTENT_LENGTH)
}
