//! Connections to other instances: opened on demand, closed when unresponsive or idle.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Ping, PingPong, Reason, RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::call::{Answer, AnswerHead, Call, Chunk};
use crate::peer::frame::{FrameReader, read_all, release_window, send_all};
use crate::peer::wire::{WireCall, WireFrame};
use crate::peer::{
    ASK_PATH, FORWARD_PATH, PeerError, Peers, RELAY_PATH, STREAM_WINDOW_BYTES, Unreached, encode,
};
use crate::refusal::{Code, Refusal};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of HTTP/2 pings on a connection with open streams.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout after which a connection with an unanswered ping takes no further streams.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a connection with an unanswered ping is closed with its streams. Sound instances
/// are silent for a second or two.
const MAX_PEER_SILENCE: Duration = Duration::from_millis(3_000);

/// Time after which a connection without streams is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of chunks of an answer that are queued for a slow reader.
const ANSWER_QUEUE_CHUNKS: usize = 32;

/// Sends messages to other instances over HTTP/2.
pub struct PeerClient {
    source: Option<IpAddr>,
    pool: Mutex<HashMap<SocketAddr, Arc<PoolEntry>>>,
}

/// The connection to one address. The lock of the connection also prevents concurrent callers from
/// connecting twice.
#[derive(Default)]
struct PoolEntry {
    state: tokio::sync::Mutex<PoolEntryState>,
}

#[derive(Default)]
struct PoolEntryState {
    connection: Option<Connection>,
    failure: Option<ConnectFailure>,
}

/// The latest failed attempt to connect.
struct ConnectFailure {
    at: Instant,
    error: PeerError,
}

impl PoolEntry {
    /// Returns whether the entry is locked or has an open connection.
    fn is_in_use(&self) -> bool {
        let Ok(state) = self.state.try_lock() else {
            return true;
        };
        state.connection.as_ref().is_some_and(Connection::is_open)
    }
}

#[derive(Clone)]
struct Connection {
    sender: SendRequest<Bytes>,
    state: Arc<ConnectionState>,
}

impl Connection {
    fn is_open(&self) -> bool {
        !self.state.closed.load(Ordering::Acquire)
    }
}

#[derive(Default)]
struct ConnectionState {
    closed: AtomicBool,
    in_flight: AtomicUsize,
}

/// Counts a stream as in flight until it is dropped.
struct InFlightGuard(Arc<ConnectionState>);

impl InFlightGuard {
    fn on(state: &Arc<ConnectionState>) -> Self {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(state))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream whose request head has been sent.
struct OpenStream {
    response: ResponseFuture,
    body: SendStream<Bytes>,
    in_flight: InFlightGuard,
}

impl PeerClient {
    /// Creates a client whose connections are bound to the local address `source`, if given.
    pub fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            pool: Mutex::default(),
        }
    }

    /// Opens a stream; retries once on a new connection if the existing connection cannot open the
    /// stream.
    async fn open(&self, to: SocketAddr, path: String) -> Result<OpenStream, PeerError> {
        let connection = self.connection(to).await?;
        match open_stream(connection.clone(), to, &path).await {
            Ok(stream) => Ok(stream),
            Err(_) => {
                connection.state.closed.store(true, Ordering::Release);
                open_stream(self.connection(to).await?, to, &path).await
            }
        }
    }

    /// Returns the open connection to an address, or opens a connection.
    ///
    /// Callers that waited while another caller failed to connect fail as well, without a new
    /// attempt.
    async fn connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let entry = self.pool_entry(to);
        let requested_at = Instant::now();
        let mut state = entry.state.lock().await;
        if let Some(connection) = state.connection.as_ref().filter(|c| c.is_open()) {
            return Ok(connection.clone());
        }
        if let Some(failure) = &state.failure
            && failure.at >= requested_at
        {
            return Err(failure.error.clone());
        }
        let error = match timeout(CONNECT_TIMEOUT, self.connect(to)).await {
            Ok(Ok(connection)) => {
                metrics::counter!("limpetstand_peer_connects_total").increment(1);
                state.connection = Some(connection.clone());
                return Ok(connection);
            }
            Ok(Err(e)) => e,
            Err(_) => PeerError::NotReached(format!("{to}: connect timed out").into()),
        };
        state.failure = Some(ConnectFailure {
            at: Instant::now(),
            error: error.clone(),
        });
        Err(error)
    }

    fn pool_entry(&self, to: SocketAddr) -> Arc<PoolEntry> {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = pool.get(&to) {
            return Arc::clone(entry);
        }
        pool.retain(|_, entry| Arc::strong_count(entry) > 1 || entry.is_in_use());
        Arc::clone(pool.entry(to).or_default())
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let stream = connect_from(self.source, to).await.map_err(|e| {
            let why = format!("{to}: {e}");
            PeerError::NotReached(match e.kind() {
                std::io::ErrorKind::ConnectionRefused => Unreached::refused(why),
                _ => why.into(),
            })
        })?;
        let (sender, mut driver) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(STREAM_WINDOW_BYTES * 16)
            .handshake::<_, Bytes>(stream)
            .await
            .map_err(|e| PeerError::NotReached(format!("{to}: {e}").into()))?;
        let state = Arc::new(ConnectionState::default());
        let pings = driver.ping_pong();
        let driver = tokio::spawn(async move {
            // Each stream of the connection reports the connection's error.
            let _ = driver.await;
        });
        tokio::spawn(monitor_connection(driver, pings, Arc::clone(&state)));
        Ok(Connection { sender, state })
    }
}

async fn open_stream(
    connection: Connection,
    to: SocketAddr,
    path: &str,
) -> Result<OpenStream, PeerError> {
    let in_flight = InFlightGuard::on(&connection.state);
    let mut sender = connection
        .sender
        .ready()
        .await
        .map_err(|e| PeerError::NotReached(e.to_string().into()))?;
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{to}{path}"))
        .body(())
        .map_err(|e| PeerError::Malformed(e.to_string()))?;
    let (response, body) = sender
        .send_request(req, false)
        .map_err(|e| PeerError::NotReached(e.to_string().into()))?;
    Ok(OpenStream {
        response,
        body,
        in_flight,
    })
}

/// Opens a TCP connection, bound to the local address `source` if given.
pub(crate) async fn connect_from(
    source: Option<IpAddr>,
    to: SocketAddr,
) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(ip) = source {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Marks a connection as closed when it ends, does not answer a ping while streams are open, or is
/// idle. Open streams outlast a ping that is answered late.
async fn monitor_connection(
    driver: JoinHandle<()>,
    mut pings: Option<PingPong>,
    state: Arc<ConnectionState>,
) {
    let mut last_used = Instant::now();
    while !driver.is_finished() {
        tokio::time::sleep(PING_INTERVAL).await;
        if state.in_flight.load(Ordering::Relaxed) == 0 {
            if last_used.elapsed() > IDLE_TIMEOUT || state.closed.load(Ordering::Acquire) {
                break;
            }
            continue;
        }
        last_used = Instant::now();
        let Some(pings) = pings.as_mut() else {
            continue;
        };
        let mut pong = std::pin::pin!(pings.ping(Ping::opaque()));
        let mut answered = timeout(PING_TIMEOUT, &mut pong).await;
        if answered.is_err() {
            metrics::counter!("limpetstand_peer_silent_total").increment(1);
            state.closed.store(true, Ordering::Release);
            answered = timeout(MAX_PEER_SILENCE - PING_TIMEOUT, pong).await;
        }
        if !matches!(answered, Ok(Ok(_))) {
            break;
        }
    }
    state.closed.store(true, Ordering::Release);
    driver.abort();
}

#[async_trait]
impl Peers for PeerClient {
    async fn ask(
        &self,
        to: SocketAddr,
        kind: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        metrics::counter!("limpetstand_peer_messages_total", "kind" => kind).increment(1);
        metrics::counter!("limpetstand_peer_bytes_total", "kind" => kind)
            .increment(body.len() as u64);
        let deadline = Instant::now() + timeout;
        let opened = tokio::time::timeout_at(deadline, self.open(to, format!("{ASK_PATH}{kind}")));
        let stream = opened
            .await
            .map_err(|_| PeerError::NotReached(format!("{to}: timed out").into()))??;
        let answer = tokio::time::timeout_at(deadline, exchange_message(stream, kind, body))
            .await
            .map_err(|_| PeerError::ResponseLost(format!("{to}: timed out")))??;
        metrics::counter!("limpetstand_peer_answer_bytes_total", "kind" => kind)
            .increment(answer.len() as u64);
        Ok(answer)
    }

    async fn forward(&self, to: SocketAddr, call: &Call) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + call.time_left;
        let body = encode(&WireCall::from(call)).map_err(not_forwarded)?;
        let opened = tokio::time::timeout_at(deadline, self.open(to, FORWARD_PATH.to_owned()));
        let stream = match opened.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(not_forwarded(e)),
            Err(_) => {
                return Err(Refusal::not_run(
                    Code::DeadlineExceeded,
                    "the deadline passed before the request was forwarded",
                ));
            }
        };
        match tokio::time::timeout_at(deadline, send_forward(stream, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(Refusal::unknown(
                Code::DeadlineExceeded,
                "the deadline passed while an instance of another region handled the request",
            )),
        }
    }

    async fn relay(
        &self,
        to: SocketAddr,
        message: Bytes,
        timeout: Duration,
    ) -> Result<Relayed, PeerError> {
        let deadline = Instant::now() + timeout;
        let opened = tokio::time::timeout_at(deadline, self.open(to, RELAY_PATH.to_owned()));
        let stream = opened
            .await
            .map_err(|_| PeerError::NotReached(format!("{to}: timed out").into()))??;
        tokio::time::timeout_at(deadline, send_relay(stream, message))
            .await
            .map_err(|_| PeerError::ResponseLost(format!("{to}: timed out")))?
    }
}

/// The answer of another instance to a relayed message: the head of the answer, and the stream of
/// the bytes that follow the head.
pub struct Relayed {
    /// The encoded head of the answer.
    pub head: Bytes,
    /// The bytes that follow the head.
    pub body: RelayedBody,
}

/// The bytes that follow the head of a relayed answer; dropping them cancels the request.
pub struct RelayedBody {
    stream: RecvStream,
    rest: Bytes,
    _sender: SendStream<Bytes>,
    _in_flight: InFlightGuard,
}

impl RelayedBody {
    /// Returns the next bytes; `None` if the answer is complete.
    ///
    /// # Errors
    ///
    /// If the stream failed before its end.
    pub async fn next(&mut self) -> Option<Result<Bytes, PeerError>> {
        if !self.rest.is_empty() {
            return Some(Ok(std::mem::take(&mut self.rest)));
        }
        match self.stream.data().await? {
            Ok(data) => Some(release_window(&mut self.stream, data.len()).map(|()| data)),
            Err(e) => Some(Err(PeerError::ResponseLost(e.to_string()))),
        }
    }
}

async fn send_relay(stream: OpenStream, message: Bytes) -> Result<Relayed, PeerError> {
    let OpenStream {
        response,
        body: mut sender,
        in_flight,
    } = stream;
    let response = response_to(&mut sender, response, message).await?;
    if !response.status().is_success() {
        return Err(PeerError::Refused(format!("status {}", response.status())));
    }
    let mut frames = FrameReader::new(response.into_body());
    let head = frames.next_bytes().await?;
    let head = head.ok_or_else(|| PeerError::ResponseLost("answer has no head".to_owned()))?;
    let (stream, rest) = frames.into_rest();
    Ok(Relayed {
        head,
        body: RelayedBody {
            stream,
            rest,
            _sender: sender,
            _in_flight: in_flight,
        },
    })
}

/// Sends the message of a stream and waits for the head of the response.
async fn response_to(
    sender: &mut SendStream<Bytes>,
    response: ResponseFuture,
    message: Bytes,
) -> Result<Response<RecvStream>, PeerError> {
    let sent = send_all(sender, message, true).await;
    // If the stream was closed, the response says why.
    match response.await {
        Ok(response) => sent.map(|()| response),
        Err(e) if is_not_handled(&e) => Err(PeerError::NotReached(e.to_string().into())),
        Err(e) => Err(PeerError::ResponseLost(e.to_string())),
    }
}

/// Tells whether a peer states that it has not handled a stream (RFC 9113, section 8.7): it refused
/// the stream, or named an earlier one as the last when it closed the connection.
fn is_not_handled(e: &h2::Error) -> bool {
    if !e.is_remote() {
        return false;
    }
    (e.is_reset() && e.reason() == Some(Reason::REFUSED_STREAM))
        || (e.is_go_away() && e.reason() == Some(Reason::NO_ERROR))
}

async fn exchange_message(
    stream: OpenStream,
    kind: &'static str,
    body: Bytes,
) -> Result<Bytes, PeerError> {
    let OpenStream {
        response,
        body: mut sender,
        in_flight,
    } = stream;
    let response = response_to(&mut sender, response, body).await?;
    let status = response.status();
    let answer = read_all(&mut response.into_body()).await?;
    drop(in_flight);
    if status == StatusCode::NOT_FOUND {
        return Err(PeerError::UnknownKind(kind));
    }
    if !status.is_success() {
        return Err(PeerError::Refused(format!("status {status}")));
    }
    Ok(answer)
}

async fn send_forward(stream: OpenStream, body: Bytes) -> Result<Answer, Refusal> {
    let OpenStream {
        response,
        body: mut sender,
        in_flight,
    } = stream;
    let response = match response_to(&mut sender, response, body).await {
        Ok(response) => response,
        Err(e @ PeerError::NotReached(_)) => return Err(not_forwarded(e)),
        Err(e) => return Err(answer_lost(e)),
    };
    if !response.status().is_success() {
        let message = format!(
            "the instance of the other region rejected the request: status {}",
            response.status()
        );
        return Err(Refusal::not_run(Code::NoTarget, message));
    }
    let mut frames = FrameReader::new(response.into_body());
    let head = match frames.next().await.map_err(answer_lost)? {
        Some(WireFrame::Head(head)) => AnswerHead::from(head),
        Some(WireFrame::Refused(refusal)) => return Err(refusal),
        _ => return Err(answer_lost(PeerError::Malformed("missing head".to_owned()))),
    };
    let (tx, rx) = mpsc::channel(ANSWER_QUEUE_CHUNKS);
    tokio::spawn(copy_answer(frames, sender, in_flight, tx));
    Ok(Answer { head, body: rx })
}

/// Copies the frames of an answer to `tx` until the answer ends or the receiver is dropped.
async fn copy_answer(
    mut frames: FrameReader,
    mut sender: SendStream<Bytes>,
    in_flight: InFlightGuard,
    tx: mpsc::Sender<Chunk>,
) {
    loop {
        let frame = tokio::select! {
            frame = frames.next::<WireFrame>() => frame,
            () = tx.closed() => {
                sender.send_reset(h2::Reason::CANCEL);
                break;
            }
        };
        let chunk = match frame {
            Ok(Some(WireFrame::Chunk(data))) => Ok(data),
            Ok(Some(WireFrame::End)) => break,
            Ok(Some(WireFrame::Refused(refusal))) => Err(refusal),
            Ok(Some(WireFrame::Head(_))) => Err(answer_lost(PeerError::Malformed(
                "answer has a second head".into(),
            ))),
            Ok(None) => Err(answer_lost(PeerError::Malformed(
                "answer has no end frame".into(),
            ))),
            Err(e) => Err(answer_lost(e)),
        };
        let is_last = chunk.is_err();
        if tx.send(chunk).await.is_err() || is_last {
            break;
        }
    }
    drop(in_flight);
}

fn not_forwarded(e: PeerError) -> Refusal {
    Refusal::not_run(
        Code::NoTarget,
        format!("the other region could not be reached: {e}"),
    )
}

fn answer_lost(e: PeerError) -> Refusal {
    Refusal::unknown(
        Code::TargetFailed,
        format!("the other region's answer was lost: {e}"),
    )
}
