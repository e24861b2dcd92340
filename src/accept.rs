//! Accepting connections and closing them at shutdown, for all listeners.

use std::pin::pin;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

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

/// Serves a connection until it closes; once `stop` changes, until its current request is answered.
pub(crate) async fn serve_until_stopped<I, S, B>(
    connection: Connection<I, S>,
    mut stop: watch::Receiver<bool>,
) where
    I: Read + Write + Unpin,
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        // An error means that the caller closed the connection; there is nothing to handle.
        _ = connection.as_mut() => return,
        _ = stop.changed() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
