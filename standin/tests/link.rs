//! Tests of the simulated links: delays, cuts and silenced connections.

#![allow(clippy::unwrap_used)]

use std::net::IpAddr;
use std::time::{Duration, Instant};

use limpetstand_standin::link::{Links, RegionIndex, Relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const LOCAL: RegionIndex = RegionIndex(0);
const REMOTE: RegionIndex = RegionIndex(1);
const ONE_WAY: Duration = Duration::from_millis(30);
const SOURCE: &str = "127.0.0.77";
const ECHO_TIMEOUT: Duration = Duration::from_secs(20);
const NO_ECHO_TIME: Duration = Duration::from_millis(300);

async fn echo_through_relay() -> (Links, Relay) {
    let echo = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = echo.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = echo.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut r, mut w) = stream.split();
                tokio::io::copy(&mut r, &mut w).await
            });
        }
    });
    let links = Links::new(2, ONE_WAY, Duration::from_millis(1), 2e9);
    let source: IpAddr = SOURCE.parse().unwrap();
    links.set_source(source, REMOTE);
    let listen = "127.0.0.1:0".parse().unwrap();
    let relay = links.relay(listen, to, LOCAL).unwrap();
    (links, relay)
}

async fn connect(relay: &Relay) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(format!("{SOURCE}:0").parse().unwrap()).unwrap();
    socket.connect(relay.address()).await.unwrap()
}

/// Sends a byte and returns whether its echo arrives within `wait`.
async fn echoes(stream: &mut TcpStream, wait: Duration) -> bool {
    stream.write_all(b"x").await.unwrap();
    let mut buf = [0];
    let read = stream.read_exact(&mut buf);
    matches!(tokio::time::timeout(wait, read).await, Ok(Ok(_)))
}

#[tokio::test]
async fn bytes_are_delayed_by_the_link_of_their_source() {
    let (links, relay) = echo_through_relay().await;
    let start = Instant::now();
    let mut stream = connect(&relay).await;
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
    assert!(start.elapsed() >= 4 * ONE_WAY);
    let second = Instant::now();
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
    assert!(second.elapsed() >= 2 * ONE_WAY);
    assert_eq!(links.inter_region_bytes(), 4);
    assert_eq!(links.unknown_sources(), 0);
}

#[tokio::test]
async fn cut_holds_bytes_until_it_is_removed() {
    let (links, relay) = echo_through_relay().await;
    let mut stream = connect(&relay).await;
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
    links.set_cut(LOCAL, REMOTE, true);
    assert!(!echoes(&mut stream, NO_ECHO_TIME).await);
    links.set_cut(LOCAL, REMOTE, false);
    let mut buf = [0];
    tokio::time::timeout(ECHO_TIMEOUT, stream.read_exact(&mut buf))
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn silence_affects_only_connections_that_are_open() {
    let (links, relay) = echo_through_relay().await;
    let mut old = connect(&relay).await;
    assert!(echoes(&mut old, ECHO_TIMEOUT).await);
    links.silence_open_connections(LOCAL, REMOTE);
    assert!(!echoes(&mut old, NO_ECHO_TIME).await);
    let mut new = connect(&relay).await;
    assert!(echoes(&mut new, ECHO_TIMEOUT).await);
}
