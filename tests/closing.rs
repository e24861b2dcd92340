//! Which requests an instance takes at shutdown, and how it closes callers' connections.

use std::io::{Error, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::routing::any;
use futures_util::stream::{self, StreamExt};
use limpetstand::departure::Departure;
use limpetstand::front::serve;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::{sleep, timeout};

/// Longer than any request of these tests takes.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// More than the system holds for a connection whose caller does not read.
const LONG_BYTES: usize = 32 * 1024 * 1024;

const PIECE_BYTES: usize = 1024;

/// Time for which a request may be on its way to a connection that is being closed.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Number of connections of each kind.
const CONNECTIONS: usize = 20;

const REQUEST: &[u8] = b"GET /short HTTP/1.1\r\nhost: x\r\n\r\n";

/// The time at which an instance gives up what has no answer.
const DRAINED_AT: Duration = Duration::from_secs(100);

/// Returns a body of unknown length.
fn pieces() -> Body {
    let piece = || Ok::<_, Error>(vec![b'x'; PIECE_BYTES]);
    Body::from_stream(stream::iter(
        (0..LONG_BYTES / PIECE_BYTES).map(move |_| piece()),
    ))
}

/// Returns a body of unknown length that is silent after its first piece, and then breaks off.
fn broken(silence: Duration) -> Body {
    let rest = stream::once(async move {
        sleep(silence).await;
        Err(Error::other("broken"))
    });
    Body::from_stream(stream::iter([Ok(vec![b'x'; PIECE_BYTES])]).chain(rest))
}

struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Starts a server on this thread, which serves nothing while the test blocks it.
async fn start() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let router = Router::new()
        .route("/short", any(|| async { "short" }))
        .route("/long", any(|| async { vec![b'x'; LONG_BYTES] }))
        .route("/pieces", any(|| async { pieces() }))
        .route("/broken", any(|| async { broken(LOSS_SLACK / 2) }))
        .route("/silent", any(|| async { broken(2 * READ_TIMEOUT) }));
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(serve::serve(listener, router, READ_TIMEOUT, stopped));
    Server {
        address,
        stop,
        task,
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let connection = TcpStream::connect(address).expect("a connection");
    let limited = connection.set_read_timeout(Some(READ_TIMEOUT));
    limited.expect("a time limit");
    connection
}

/// Reads until an answer is complete or the connection ends; returns all that was read.
fn read_answer(connection: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.ends_with("\r\n\r\nshort") {
        match connection.read(&mut buf) {
            Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&buf[..n])),
            _ => break,
        }
    }
    text
}

/// Opens connections on each of which one request has been answered.
async fn used_connections(address: SocketAddr) -> Vec<TcpStream> {
    let opened = spawn_blocking(move || {
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut connection = connect(address);
            connection.write_all(REQUEST).expect("sent");
            assert!(read_answer(&mut connection).starts_with("HTTP/1.1 200"));
            connections.push(connection);
        }
        connections
    });
    opened.await.expect("connections")
}

#[test]
fn requests_that_outlast_a_stop_are_taken_only_while_callers_do_not_know_of_it() {
    let now = Duration::from_secs(95);
    let (fits, too_long) = (
        DRAINED_AT - now,
        DRAINED_AT - now + Duration::from_millis(1),
    );
    let leaving = Departure::Leaving {
        known_at: now + Duration::from_millis(1),
        drained_at: DRAINED_AT,
    };
    // A starved instance may get to closing its listeners later.
    let known = Departure::Leaving {
        known_at: now,
        drained_at: DRAINED_AT,
    };
    for (departure, time_left, takes, outlasts) in [
        (Departure::NotLeaving, too_long, true, true),
        (leaving, fits, true, true),
        (leaving, too_long, true, false),
        (known, fits, true, true),
        (known, too_long, false, false),
        (Departure::GivesUp, Duration::ZERO, false, false),
    ] {
        let taken = departure.takes(now, time_left);
        assert_eq!(taken, takes, "{departure:?}, {time_left:?}");
        let kept = departure.outlasts(now, time_left);
        assert_eq!(kept, outlasts, "{departure:?}, {time_left:?}");
    }
}

#[tokio::test]
async fn shutdown_after_a_standstill_answers_requests_that_lie_unread() {
    let server = start().await;
    let mut connections = used_connections(server.address).await;
    // Nothing is awaited until `stop` is set, so the server stands still.
    for connection in &mut connections {
        connection.write_all(REQUEST).expect("sent");
    }
    for _ in 0..CONNECTIONS {
        let mut connection = connect(server.address);
        connection.write_all(REQUEST).expect("sent");
        connections.push(connection);
    }
    server.stop.send_replace(true);
    let answers = spawn_blocking(move || {
        let mut answers = Vec::new();
        for connection in &mut connections {
            answers.push(read_answer(connection));
        }
        answers
    });
    for answer in answers.await.expect("answers") {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
    }
    let ended = timeout(READ_TIMEOUT, server.task).await;
    ended.expect("closed in time").expect("no panic");
}

#[tokio::test]
async fn shutdown_does_not_close_a_new_connection_before_its_first_request() {
    let server = start().await;
    let mut connection = connect(server.address);
    sleep(Duration::from_millis(50)).await;
    server.stop.send_replace(true);
    sleep(LOSS_SLACK).await;
    connection.write_all(REQUEST).expect("sent");
    let answer = spawn_blocking(move || read_answer(&mut connection)).await;
    assert!(answer.expect("joined").starts_with("HTTP/1.1 200"));
    let ended = timeout(READ_TIMEOUT, server.task).await;
    ended.expect("closed in time").expect("no panic");
}

#[tokio::test]
async fn shutdown_closes_connections_without_a_request_at_once() {
    let server = start().await;
    let _kept = used_connections(server.address).await;
    let _new = connect(server.address);
    sleep(Duration::from_millis(50)).await;
    server.stop.send_replace(true);
    let ended = timeout(Duration::from_secs(1), server.task).await;
    ended.expect("closed in time").expect("no panic");
}

#[tokio::test]
async fn shutdown_does_not_cut_an_answer_that_is_not_written_whole() {
    let server = start().await;
    let address = server.address;
    let sent = spawn_blocking(move || {
        let mut connection = connect(address);
        let sent = connection.write_all(b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n");
        sent.expect("sent");
        connection
    });
    let mut connection = sent.await.expect("a connection");
    sleep(Duration::from_millis(100)).await;
    server.stop.send_replace(true);
    sleep(Duration::from_millis(100)).await;
    let read = spawn_blocking(move || {
        let mut answer = Vec::new();
        let read = connection.read_to_end(&mut answer);
        read.map(|_| answer)
    });
    let answer = read.await.expect("joined").expect("an answer");
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n");
    let head = head.expect("a head") + 4;
    assert_eq!(answer.len() - head, LONG_BYTES);
    let ended = timeout(READ_TIMEOUT, server.task).await;
    ended.expect("closed in time").expect("no panic");
}

/// Guards against an answer that is cut and looks whole to a caller that knows no chunks, and against
/// a whole one that is cut.
#[tokio::test(flavor = "multi_thread")]
async fn only_whole_answers_end_in_order_for_callers_without_chunks() {
    let server = start().await;
    let address = server.address;
    let read = spawn_blocking(move || {
        let mut ends = Vec::new();
        for path in ["/short", "/long", "/pieces", "/broken", "/silent"] {
            let mut connection = connect(address);
            let request = format!("GET {path} HTTP/1.0\r\nhost: x\r\n\r\n");
            connection.write_all(request.as_bytes()).expect("sent");
            let mut answer = vec![0; 1];
            connection.read_exact(&mut answer).expect("an answer");
            if path == "/silent" {
                connection.shutdown(Shutdown::Write).expect("open");
            }
            // The answer lies with the system, as far as it has room, before it is read.
            std::thread::sleep(LOSS_SLACK);
            let end = connection.read_to_end(&mut answer);
            ends.push((path, answer.len(), end.map_err(|e| e.kind())));
        }
        ends
    });
    let ends = read.await.expect("joined");
    for (path, bytes, end) in &ends {
        let is_whole = match *path {
            "/short" => *bytes > "short".len(),
            "/long" | "/pieces" => *bytes > LONG_BYTES,
            _ => false,
        };
        let is_right = match end {
            Ok(_) => is_whole,
            Err(kind) => !is_whole && *kind == ErrorKind::ConnectionReset,
        };
        assert!(is_right, "{path} in {ends:?}");
    }
    server.stop.send_replace(true);
    let ended = timeout(READ_TIMEOUT, server.task).await;
    ended.expect("closed in time").expect("no panic");
}
