//! Streams between instances: complete, failed and cancelled answers, and peers that are
//! unresponsive or not reachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use limpetstand::call::{Answer, AnswerHead, Call, Operation};
use limpetstand::id::RequestId;
use limpetstand::peer::wire::{WireCall, WireFrame};
use limpetstand::peer::{
    ForwardHandler, PeerClient, PeerError, PeerHandler, PeerServer, Peers, decode, encode,
};
use limpetstand::refusal::{Code, Ran, Refusal};
use proptest::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const LOOPBACK: &str = "127.0.0.1:0";

/// Answers as the body of the request says; any other body is sent back.
#[derive(Default)]
struct ScriptedHandler {
    cancelled: AtomicBool,
}

#[async_trait]
impl ForwardHandler for ScriptedHandler {
    async fn run(&self, call: Call) -> Result<Answer, Refusal> {
        let (tx, rx) = mpsc::channel(4);
        let head = AnswerHead {
            status: 200,
            content_type: "text/plain".to_owned(),
            target: "t1".into(),
            region: "north".into(),
        };
        match call.body.as_ref() {
            b"refuse" => return Err(Refusal::not_run(Code::Overloaded, "full")),
            b"break" => {
                tx.send(Ok(Bytes::from("half"))).await.expect("room");
                let refusal = Refusal::unknown(Code::TargetFailed, "broke");
                tx.send(Err(refusal)).await.expect("room");
            }
            b"endless" => {
                tokio::spawn(
                    async move { while tx.send(Ok(Bytes::from("more"))).await.is_ok() {} },
                );
            }
            b"never" => {
                let _guard = SetOnDrop(&self.cancelled);
                std::future::pending::<()>().await;
            }
            body => {
                let body = body.to_vec();
                tokio::spawn(async move {
                    for part in body.chunks(100_000) {
                        if tx.send(Ok(Bytes::copy_from_slice(part))).await.is_err() {
                            return;
                        }
                    }
                });
            }
        }
        Ok(Answer { head, body: rx })
    }
}

struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

struct Echo;

#[async_trait]
impl PeerHandler for Echo {
    fn kind(&self) -> &'static str {
        "echo"
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        if body.as_ref() == b"bad" {
            return Err(PeerError::Malformed("bad".to_owned()));
        }
        Ok(body)
    }
}

struct Server {
    address: SocketAddr,
    handler: Arc<ScriptedHandler>,
    stop: watch::Sender<bool>,
}

async fn start() -> Server {
    let listener = TcpListener::bind(LOOPBACK).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let handler = Arc::new(ScriptedHandler::default());
    let (stop, stopped) = watch::channel(false);
    let server = PeerServer::new(handler.clone()).with_handler(Arc::new(Echo));
    tokio::spawn(server.serve(listener, stopped));
    Server {
        address,
        handler,
        stop,
    }
}

fn call(body: impl Into<Bytes>) -> Call {
    Call {
        id: RequestId::from(7),
        organisation: Some("brides".into()),
        key: Some("k1".into()),
        route: "chat".into(),
        operation: Operation::Model {
            model: "menu".into(),
            path: "/v1/chat/completions".to_owned(),
            stream: true,
        },
        body: body.into(),
        repeatable: true,
        idempotency_key: None,
        regions: vec!["north".into()],
        tokens: 10,
        prompt_tokens: 3,
        priority: 0,
        time_left: Duration::from_secs(20),
        hops: 1,
    }
}

async fn collect(mut answer: Answer) -> Result<Vec<u8>, Refusal> {
    let mut complete = Vec::new();
    while let Some(chunk) = answer.body.recv().await {
        complete.extend_from_slice(&chunk?);
    }
    Ok(complete)
}

#[tokio::test]
async fn a_large_answer_arrives_complete() {
    let server = start().await;
    let peers = PeerClient::new(None);
    let body: Vec<u8> = (0..900_000_u32).map(|i| (i % 251) as u8).collect();
    let answer = peers
        .forward(server.address, &call(body.clone()))
        .await
        .expect("answer");
    assert_eq!(answer.head.target.as_str(), "t1");
    assert_eq!(collect(answer).await.expect("whole"), body);
}

#[tokio::test]
async fn a_refusal_keeps_its_code_and_ran() {
    let server = start().await;
    let peers = PeerClient::new(None);
    let refusal = peers
        .forward(server.address, &call("refuse"))
        .await
        .expect_err("refusal");
    assert_eq!((refusal.code(), refusal.ran()), (Code::Overloaded, Ran::No));
}

#[tokio::test]
async fn a_failed_answer_never_looks_complete() {
    let server = start().await;
    let peers = PeerClient::new(None);
    let answer = peers
        .forward(server.address, &call("break"))
        .await
        .expect("answer");
    let refusal = collect(answer).await.expect_err("broken");
    assert_eq!(
        (refusal.code(), refusal.ran()),
        (Code::TargetFailed, Ran::Unknown)
    );
}

#[tokio::test]
async fn an_answer_cut_by_a_stopping_peer_never_looks_complete() {
    let server = start().await;
    let peers = PeerClient::new(None);
    let mut answer = peers
        .forward(server.address, &call("endless"))
        .await
        .expect("answer");
    assert!(answer.body.recv().await.expect("piece").is_ok());
    server.stop.send_replace(true);
    let refusal = collect(answer).await.expect_err("broken");
    assert_eq!(refusal.ran(), Ran::Unknown);
}

#[tokio::test]
async fn dropping_a_forward_cancels_it_at_the_peer() {
    let server = start().await;
    let peers = Arc::new(PeerClient::new(None));
    let pending = tokio::spawn({
        let peers = Arc::clone(&peers);
        let address = server.address;
        async move { peers.forward(address, &call("never")).await.map(drop) }
    });
    // The answers show that the server handles the connection, and with it the earlier stream.
    for _ in 0..50 {
        let echoed = peers
            .ask(
                server.address,
                "echo",
                Bytes::from("x"),
                Duration::from_secs(5),
            )
            .await;
        assert!(echoed.is_ok());
    }
    pending.abort();
    while !server.handler.cancelled.load(Ordering::Acquire) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn an_address_without_a_listener_is_not_reached() {
    let listener = TcpListener::bind(LOOPBACK).await.expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let peers = PeerClient::new(None);
    let refusal = peers
        .forward(address, &call("x"))
        .await
        .expect_err("no listener");
    assert_eq!(refusal.ran(), Ran::No);
    let asked = peers
        .ask(address, "echo", Bytes::new(), Duration::from_secs(5))
        .await;
    assert!(matches!(asked, Err(PeerError::NotReached(_))));
}

#[tokio::test]
async fn an_unresponsive_connection_is_replaced() {
    let listener = TcpListener::bind(LOOPBACK).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let peers = Arc::new(PeerClient::new(None));
    let first = tokio::spawn({
        let peers = Arc::clone(&peers);
        async move { peers.forward(address, &call("x")).await.map(drop) }
    });
    // The first connection is accepted but not served.
    let (unresponsive, _) = listener.accept().await.expect("accept");
    let refusal = first.await.expect("joined").expect_err("silent");
    assert_eq!(refusal.ran(), Ran::Unknown);
    let (_stop, stopped) = watch::channel(false);
    let server = PeerServer::new(Arc::new(ScriptedHandler::default())).with_handler(Arc::new(Echo));
    tokio::spawn(server.serve(listener, stopped));
    let echoed = peers
        .ask(address, "echo", Bytes::from("x"), Duration::from_secs(5))
        .await;
    assert_eq!(echoed.expect("echo"), "x");
    drop(unresponsive);
}

#[tokio::test]
async fn unknown_kinds_and_malformed_messages_are_refused() {
    let server = start().await;
    let peers = PeerClient::new(None);
    let wait = Duration::from_secs(5);
    let unknown = peers.ask(server.address, "other", Bytes::new(), wait).await;
    assert!(matches!(unknown, Err(PeerError::UnknownKind(_))));
    let malformed = peers
        .ask(server.address, "echo", Bytes::from("bad"), wait)
        .await;
    assert!(matches!(malformed, Err(PeerError::Refused(_))));
}

proptest! {
    #[test]
    fn any_bytes_decode_or_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<WireCall>(&bytes).and_then(Call::try_from);
        let _ = decode::<WireFrame>(&bytes);
    }

    #[test]
    fn a_truncated_message_is_refused(cut in 0_usize..1000) {
        let complete = encode(&WireCall::from(&call("some body"))).expect("encoded");
        let cut = cut % complete.len();
        prop_assert!(decode::<WireCall>(&complete[..cut]).is_err());
        let again = decode::<WireCall>(&complete).and_then(Call::try_from).expect("decoded");
        prop_assert_eq!(again, call("some body"));
    }
}
