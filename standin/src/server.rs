//! An HTTP server that can be stopped and restarted on the same address.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Pause between attempts to bind the address again.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq)]
struct Mode {
    up: bool,
    /// Number of times that all connections were dropped on request.
    disconnects: u64,
}

/// A running server; dropping it closes its port and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Server {
    /// Binds `address` and serves `app`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, app: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (tx, rx) = watch::channel(Mode {
            up: true,
            disconnects: 0,
        });
        tokio::spawn(run(listener, address, app, rx));
        Ok(Self { address, mode: tx })
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and drops all connections.
    pub fn down(&self) {
        self.mode.send_modify(|m| m.up = false);
    }

    /// Binds the port again and accepts connections.
    pub fn up(&self) {
        self.mode.send_modify(|m| m.up = true);
    }

    /// Drops all connections and keeps accepting new ones.
    pub fn drop_connections(&self) {
        self.mode.send_modify(|m| m.disconnects += 1);
    }
}

/// Extension of a response that is not sent: the connection is closed instead.
#[derive(Debug, Clone, Copy)]
struct NoAnswer;

/// Returns a response upon which the server closes the connection without an answer.
pub fn no_answer() -> Response {
    let mut resp = Response::new(Body::empty());
    resp.extensions_mut().insert(NoAnswer);
    resp
}

async fn run(
    listener: TcpListener,
    address: SocketAddr,
    app: Router,
    mut mode: watch::Receiver<Mode>,
) {
    let mut listener = Some(listener);
    let mut conns = JoinSet::new();
    loop {
        let bound = match listener.take() {
            Some(bound) => bound,
            None => match wait_and_bind(address, &mut mode).await {
                Some(bound) => bound,
                None => return,
            },
        };
        tokio::select! {
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
                conns = JoinSet::new();
                if mode.borrow_and_update().up {
                    listener = Some(bound);
                }
            }
            accepted = bound.accept() => {
                if let Ok((stream, _)) = accepted {
                    conns.spawn(serve(stream, app.clone()));
                }
                listener = Some(bound);
            }
            Some(_) = conns.join_next() => listener = Some(bound),
        }
    }
}

async fn wait_and_bind(
    address: SocketAddr,
    mode: &mut watch::Receiver<Mode>,
) -> Option<TcpListener> {
    mode.wait_for(|m| m.up).await.ok()?;
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Some(listener);
        }
        if mode.has_changed().is_err() {
            return None;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

async fn serve(stream: TcpStream, app: Router) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let app = TowerToHyperService::new(app);
    let service = service_fn(move |req: Request<Incoming>| {
        let app = app.clone();
        async move {
            let resp = match hyper::service::Service::call(&app, req).await {
                Ok(resp) => resp,
                Err(never) => {
                    let never: Infallible = never;
                    match never {}
                }
            };
            if resp.extensions().get::<NoAnswer>().is_some() {
                return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
            }
            Ok(resp)
        }
    });
    let conn =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error here means that the caller or a handler closed the connection, which is expected.
    drop(conn.await);
}
