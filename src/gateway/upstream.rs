//! Opens HTTP/1 connections to targets and keeps idle connections for reuse.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::attempt_timeout::MAX_TARGET_SILENCE;
use super::lock;
use super::target_stream::{HeadLimit, MAX_ANSWER_HEAD_BYTES, TargetStream};
use crate::peer::connect_from;

/// Timeout for opening a connection within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without received data before the first TCP keep-alive probe, and between probes.
const KEEP_ALIVE_PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered TCP keep-alive probes after which a connection is closed.
const MAX_KEEP_ALIVE_PROBES: u32 = 3;

/// Fraction of a target's keep-alive time for which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Time for which an idle connection to a target that states no keep-alive time is reused.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(800);

/// Longest time for which an idle connection is reused, whatever its target states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(300);

/// Maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 24;

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum SendError {
    /// No byte of the request was sent.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The connection broke after bytes of the request may have been sent.
    #[error("broke: {0}")]
    Broke(String),
}

/// What a new connection tells about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Probe {
    /// A process accepts connections.
    Accepted,
    /// No process listens on the address.
    Refused,
    /// The machine did not answer.
    Unknown,
}

impl Probe {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// A connection to a target.
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    /// Whether the connection has carried a request before.
    reused: bool,
}

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Opens connections to targets and keeps idle connections for reuse.
#[derive(Clone)]
pub(super) struct TargetConnections {
    source: Option<IpAddr>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl TargetConnections {
    /// Connections are opened from the local address `source`, or from any local address.
    pub(super) fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            idle: Arc::default(),
        }
    }

    /// Returns a connection: a new connection if `force_new` or if no idle connection is available.
    ///
    /// # Errors
    ///
    /// If no connection can be opened.
    pub(super) async fn connection(
        &self,
        address: SocketAddr,
        force_new: bool,
    ) -> Result<Connection, SendError> {
        if !force_new && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        match timeout(CONNECT_TIMEOUT, self.connect(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(e)) => Err(SendError::NotSent(e)),
            Err(_) => Err(SendError::NotSent("connect timed out".to_owned())),
        }
    }

    /// Opens a connection and closes it, to find out whether a process listens on the address.
    pub(super) async fn probe(&self, address: SocketAddr) -> Probe {
        match timeout(CONNECT_TIMEOUT, connect_from(self.source, address)).await {
            Ok(Ok(_)) => Probe::Accepted,
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Probe::Refused,
            _ => Probe::Unknown,
        }
    }

    /// Keeps a connection for reuse after its answer has been read completely.
    pub(super) fn keep_idle(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIME, |t| t.mul_f64(KEEP_ALIVE_FRACTION));
        let idle_time = idle_time.min(MAX_IDLE_TIME);
        let mut idle = lock(&self.idle);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: Instant::now() + idle_time,
        });
    }

    /// Closes the idle connections to an address.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        let mut idle = lock(&self.idle);
        idle.remove(&address);
    }

    /// Closes connections that are broken or have been idle for too long.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        idle.retain(|_, connections| {
            connections.retain(|i| i.expires_at > now && !i.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            let sender = &candidate.connection.sender;
            if candidate.expires_at > now && sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        let stream = open_stream(self.source, address)
            .await
            .map_err(|e| e.to_string())?;
        let head_limit = HeadLimit::default();
        let stream = TargetStream::new(stream, head_limit.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        metrics::counter!("limpetstand_target_connects_total").increment(1);
        tokio::spawn(async move {
            // The request on this connection receives the error.
            let _ = driver.await;
        });
        Ok(Connection {
            address,
            sender,
            head_limit,
            reused: false,
        })
    }
}

impl Connection {
    /// Tells whether the connection has carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// If no answer arrives; the error tells whether bytes may have been sent.
    pub(super) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_limit.start();
        let answer = self.sender.try_send_request(req).await;
        let too_large = self.head_limit.stop();
        match answer {
            Ok(response) => Ok(response),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let reason = if too_large {
                    "the head of the answer is too large".to_owned()
                } else {
                    e.into_error().to_string()
                };
                Err(if unsent {
                    SendError::NotSent(reason)
                } else {
                    SendError::Broke(reason)
                })
            }
        }
    }
}

/// Opens a TCP connection that fails soon after its peer disappears without closing the connection.
async fn open_stream(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = connect_from(source, address).await?;
    let options = SockRef::from(&stream);
    // Bounds how long the peer may acknowledge neither sent bytes nor probes, or take no bytes.
    options.set_tcp_user_timeout(Some(MAX_TARGET_SILENCE))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PROBE_PERIOD)
        .with_interval(KEEP_ALIVE_PROBE_PERIOD)
        .with_retries(MAX_KEEP_ALIVE_PROBES);
    options.set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
