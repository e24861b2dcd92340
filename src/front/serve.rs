//! Serves HTTP with limits on header size, read time and number of connections.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::accept::{accept, close, serve_until_stopped};
use crate::closing_stream::ClosingStream;

/// Upper bound for the request line and headers of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Upper bound for the number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Upper bound for simultaneous connections; further connections wait to be accepted.
const MAX_CONNECTIONS: u32 = 16_384;

/// Serves `router` until `stop` changes, then returns once all open connections have closed.
///
/// After `stop` changes, each connection closes when its current request has been answered.
/// A connection that does not send a complete request head within `read_timeout` is closed.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    read_timeout: Duration,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS as usize));
    let stopped = stop.clone();
    let spawn = |stream, permit: OwnedSemaphorePermit| {
        let (router, stop) = (router.clone(), stopped.clone());
        tokio::spawn(async move {
            serve_connection(stream, router, read_timeout, stop).await;
            drop(permit);
        });
    };
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Some(stream) = accept(&listener, &mut stop).await else {
            break;
        };
        spawn(stream, permit);
    }
    for stream in close(listener) {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        spawn(stream, permit);
    }
    // All permits can be acquired only after the last connection has closed.
    let _ = permits.acquire_many(MAX_CONNECTIONS).await;
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    read_timeout: Duration,
    stop: watch::Receiver<bool>,
) {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let stream = ClosingStream::new(stream, stop.clone());
    let request = stream.request();
    let service = TowerToHyperService::new(router);
    serve_until_stopped(&builder, TokioIo::new(stream), request, service, stop).await;
}
