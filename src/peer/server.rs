//! Serves streams from other instances.

use std::collections::HashMap;
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::{Connection, SendResponse};
use h2::{Ping, PingPong, RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::accept::{accept, close};
use crate::call::{Answer, Call};
use crate::in_flight::InFlight;
use crate::peer::frame::{framed, read_all, send_all, send_frame};
use crate::peer::wire::{WireCall, WireFrame, WireHead};
use crate::peer::{
    ASK_PATH, FORWARD_PATH, ForwardHandler, PeerError, PeerHandler, RELAY_PATH, RelayAnswer,
    RelayHandler, STREAM_WINDOW_BYTES, decode,
};

/// Maximum number of concurrent streams on a connection.
const MAX_CONCURRENT_STREAMS: u32 = 4096;

/// Timeout for the handshake of a connection, and for reading one message.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of HTTP/2 pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Timeout after which a connection with an unanswered ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the streams of a connection to end after its peer has been told that the connection
/// closes.
const CLOSE_TIME: Duration = Duration::from_millis(200);

type AcceptedStream = Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>;

/// Serves streams from other instances with the registered handlers.
pub struct PeerServer {
    control_handlers: HashMap<&'static str, Arc<dyn PeerHandler>>,
    forward_handler: Option<Arc<dyn ForwardHandler>>,
    relay_handler: Option<Arc<dyn RelayHandler>>,
    forwards: InFlight,
}

impl PeerServer {
    /// Creates a server that passes forwarded requests to `forward_handler`.
    pub fn new(forward_handler: Arc<dyn ForwardHandler>) -> Self {
        Self {
            forward_handler: Some(forward_handler),
            ..Self::for_relays(None)
        }
    }

    /// Creates a server that passes relayed messages to `relay_handler` and serves no forwarded
    /// requests.
    pub fn for_relays(relay_handler: Option<Arc<dyn RelayHandler>>) -> Self {
        Self {
            control_handlers: HashMap::new(),
            forward_handler: None,
            relay_handler,
            forwards: InFlight::default(),
        }
    }

    /// Returns the count of forwarded requests in flight.
    pub fn forwards(&self) -> InFlight {
        self.forwards.clone()
    }

    /// Adds the handler of one kind of control message.
    pub fn with_handler(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.control_handlers.insert(handler.kind(), handler);
        self
    }

    /// Serves connections until `stop` changes or its sender is dropped, then closes them.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let mut connections = JoinSet::new();
        let stopped = stop.clone();
        while let Some(stream) = accept(&listener, &mut stop).await {
            while connections.try_join_next().is_some() {}
            connections.spawn(Arc::clone(&server).connection(stream, stopped.clone()));
        }
        for stream in close(listener) {
            connections.spawn(Arc::clone(&server).connection(stream, stopped.clone()));
        }
        while connections.join_next().await.is_some() {}
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        let handshake = h2::server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(STREAM_WINDOW_BYTES * 16)
            .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
            .handshake::<_, Bytes>(stream);
        let mut stopping = stop.clone();
        let closes = async {
            let _ = stopping.changed().await;
            sleep(CLOSE_TIME).await;
        };
        // The first message of the peer may have arrived already.
        let handshake = tokio::select! {
            handshake = timeout(READ_TIMEOUT, handshake) => handshake,
            () = closes => return,
        };
        let Ok(Ok(mut connection)) = handshake else {
            return;
        };
        let mut unresponsive = tokio::spawn(wait_until_unresponsive(connection.ping_pong()));
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                _ = &mut unresponsive => break,
                _ = stop.changed() => {
                    // Tells the peer which streams are not handled.
                    connection.graceful_shutdown();
                    let _ = timeout(CLOSE_TIME, self.accept_streams(&mut connection)).await;
                    break;
                }
            };
            if !self.spawn_stream(accepted) {
                break;
            }
        }
        unresponsive.abort();
    }

    /// Handles the streams of a connection until it closes.
    async fn accept_streams(self: &Arc<Self>, connection: &mut Connection<TcpStream, Bytes>) {
        while self.spawn_stream(connection.accept().await) {}
    }

    /// Handles a stream; returns false if the connection has closed.
    fn spawn_stream(self: &Arc<Self>, accepted: Option<AcceptedStream>) -> bool {
        let Some(Ok((req, respond))) = accepted else {
            return false;
        };
        tokio::spawn(Arc::clone(self).stream(req, respond));
        true
    }

    async fn stream(self: Arc<Self>, req: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let path = req.uri().path().to_owned();
        let mut body = req.into_body();
        let Ok(Ok(message)) = timeout(READ_TIMEOUT, read_all(&mut body)).await else {
            respond.send_reset(h2::Reason::CANCEL);
            return;
        };
        // Sending the answer fails only if the peer has disconnected; the error cannot be reported
        // to it.
        let _ = if path == FORWARD_PATH {
            self.forward(&message, &mut respond).await
        } else if path == RELAY_PATH {
            self.relay(message, &mut respond).await
        } else {
            self.ask(&path, message, &mut respond).await
        };
    }

    async fn ask(
        &self,
        path: &str,
        message: Bytes,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerError> {
        let handler = path
            .strip_prefix(ASK_PATH)
            .and_then(|kind| self.control_handlers.get(kind));
        let Some(handler) = handler else {
            return send_status(respond, StatusCode::NOT_FOUND);
        };
        match handler.answer(message).await {
            Ok(answer) => {
                let mut stream = send_head(respond, StatusCode::OK, false)?;
                send_all(&mut stream, answer, true).await
            }
            Err(PeerError::Malformed(_)) => send_status(respond, StatusCode::BAD_REQUEST),
            Err(_) => send_status(respond, StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn relay(
        &self,
        message: Bytes,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerError> {
        let Some(relay_handler) = &self.relay_handler else {
            return send_status(respond, StatusCode::NOT_FOUND);
        };
        let _guard = self.forwards.track();
        let mut stream = send_head(respond, StatusCode::OK, false)?;
        let answer = tokio::select! {
            answer = relay_handler.run(message) => answer,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        send_relayed(&mut stream, answer).await
    }

    async fn forward(
        &self,
        message: &[u8],
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerError> {
        let call = decode::<WireCall>(message).and_then(Call::try_from);
        let Ok(call) = call else {
            return send_status(respond, StatusCode::BAD_REQUEST);
        };
        let Some(forward_handler) = &self.forward_handler else {
            return send_status(respond, StatusCode::NOT_FOUND);
        };
        let _guard = self.forwards.track();
        let mut stream = send_head(respond, StatusCode::OK, false)?;
        let outcome = tokio::select! {
            outcome = forward_handler.run(call) => outcome,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        match outcome {
            Ok(answer) => send_answer(&mut stream, answer).await,
            Err(refusal) => send_frame(&mut stream, &WireFrame::Refused(refusal), true).await,
        }
    }
}

/// Sends the head and the body of the answer to a relayed message. Stops, and drops the body, if
/// the peer resets the stream.
async fn send_relayed(
    stream: &mut SendStream<Bytes>,
    answer: RelayAnswer,
) -> Result<(), PeerError> {
    let head = framed(&answer.head)?;
    let Some(mut body) = answer.body else {
        return send_all(stream, head, true).await;
    };
    send_all(stream, head, false).await?;
    loop {
        let data = tokio::select! {
            data = body.next() => data,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        match data {
            Some(Ok(data)) => send_all(stream, data, false).await?,
            Some(Err(_)) => {
                stream.send_reset(h2::Reason::INTERNAL_ERROR);
                return Ok(());
            }
            None => return send_all(stream, Bytes::new(), true).await,
        }
    }
}

/// Sends the answer to a forwarded request frame by frame. Stops, and drops the answer, if the peer
/// resets the stream.
async fn send_answer(stream: &mut SendStream<Bytes>, mut answer: Answer) -> Result<(), PeerError> {
    let head = WireFrame::Head(WireHead::from(&answer.head));
    send_frame(stream, &head, false).await?;
    loop {
        let chunk = tokio::select! {
            chunk = answer.body.recv() => chunk,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        match chunk {
            Some(Ok(data)) => send_frame(stream, &WireFrame::Chunk(data), false).await?,
            Some(Err(refusal)) => {
                return send_frame(stream, &WireFrame::Refused(refusal), true).await;
            }
            None => return send_frame(stream, &WireFrame::End, true).await,
        }
    }
}

/// Returns when the peer does not answer a ping in time.
async fn wait_until_unresponsive(pings: Option<PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => continue,
            _ => return,
        }
    }
}

fn send_status(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), PeerError> {
    send_head(respond, status, true).map(drop)
}

fn send_head(
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    end_of_stream: bool,
) -> Result<SendStream<Bytes>, PeerError> {
    let response = Response::builder()
        .status(status)
        .body(())
        .map_err(|e| PeerError::Malformed(e.to_string()))?;
    respond
        .send_response(response, end_of_stream)
        .map_err(|e| PeerError::ResponseLost(e.to_string()))
}
