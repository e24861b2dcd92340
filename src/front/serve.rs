//! Serves HTTP with limits on header size, read time and number of connections.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::accept::{accept, serve_until_stopped};

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
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Some(stream) = accept(&listener, &mut stop).await else {
            break;
        };
        let router = router.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            serve_connection(stream, router, read_timeout, stop).await;
            drop(permit);
        });
    }
    drop(listener);
    // All permits can be acquired only after the last connection has closed.
    let _ = permits.acquire_many(MAX_CONNECTIONS).await;
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    read_timeout: Duration,
    stop: watch::Receiver<bool>,
) {
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    serve_until_stopped(connection, stop).await;
}
