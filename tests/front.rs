//! Tests of the HTTP interface for callers: admission, malformed input, complete answers and failed
//! answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::HeaderMap;
use limpetstand::call::{Answer, AnswerHead, Call, Dispatch};
use limpetstand::config::{Document, Revision, Snapshot};
use limpetstand::departure::Departure;
use limpetstand::front::admission::Admission;
use limpetstand::front::body::ModelBody;
use limpetstand::front::headers::RequestOptions;
use limpetstand::front::usage::UsageMeter;
use limpetstand::front::{Front, FrontParts, serve};
use limpetstand::id::{OrganisationId, RegionId, RequestId};
use limpetstand::limit::{Hold, Limiter, Settle};
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::refusal::{Code, Ran, Refusal};
use limpetstand::settings::FrontSettings;
use proptest::prelude::*;
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

const KEY: &str = "k1.secret";

fn hash(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

fn snapshot() -> Snapshot {
    let text = format!(
        r#"
[organisations.brides]
rate = 1000
burst = 5000
regions = ["north", "south"]
max_config_age_s = 60

[organisations.other]
rate = 1
burst = 1

[keys.k1]
organisation = "brides"
hash = "{}"

[routes.chat]
model = "menu"
regions = ["south", "west"]

[routes.private]
model = "private"
organisations = ["other"]

[routes.free]
model = "free"
open = true

[routes.booking]
service = "booking"
repeatable = false
tokens_per_call = 5
"#,
        hash(KEY)
    );
    let merged: Document = toml::from_str(&text).expect("document");
    Snapshot {
        revision: Revision(1),
        merged,
    }
}

fn member(id: &str, region: &str) -> Member {
    Member {
        id: id.into(),
        incarnation: 1,
        front: "127.0.0.1:1".parse().expect("address"),
        peer: "127.0.0.1:2".parse().expect("address"),
        region: region.into(),
        data_centre: "a".into(),
        health: Health::Live,
    }
}

fn fleet() -> Fleet {
    let members = vec![
        member("n1", "north"),
        member("s1", "south"),
        member("w1", "west"),
    ];
    Fleet {
        members,
        ..Fleet::default()
    }
}

fn headers(lines: &[(&'static str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in lines {
        map.append(*name, value.parse().expect("value"));
    }
    map
}

fn admit(lines: &[(&'static str, &str)], body: &str, age_s: u64) -> Result<Call, Refusal> {
    let (snapshot, fleet, settings) = (snapshot(), fleet(), FrontSettings::default());
    let admission = Admission {
        snapshot: &snapshot,
        fleet: &fleet,
        config_age: Duration::from_secs(age_s),
        settings: &settings,
    };
    let options = RequestOptions::parse(&headers(lines))?;
    let body = Bytes::copy_from_slice(body.as_bytes());
    admission.model(RequestId::from(1), "/v1/chat/completions", &options, body)
}

const GOOD_KEY: (&str, &str) = ("authorization", "Bearer k1.secret");

fn chat(model: &str) -> String {
    format!(
        r#"{{"model":"{model}","max_tokens":7,"messages":[{{"role":"user","content":"a b c"}}]}}"#
    )
}

fn refused(lines: &[(&'static str, &str)], body: &str) -> Code {
    let refusal = admit(lines, body, 0).expect_err("refused");
    assert_eq!(refusal.ran(), Ran::No);
    refusal.code()
}

#[test]
fn regions_are_those_that_organisation_route_and_caller_all_allow() {
    let call = admit(&[GOOD_KEY], &chat("menu"), 0).expect("admitted");
    assert_eq!(call.regions, vec![RegionId::from("south")]);
    assert_eq!((call.tokens, call.prompt_tokens), (10, 3));
    let narrowed = [GOOD_KEY, ("limpetstand-residency", "north, west")];
    assert_eq!(refused(&narrowed, &chat("menu")), Code::NoAllowedRegion);
    let widened = [GOOD_KEY, ("limpetstand-residency", "north,south,west")];
    let call = admit(&widened, &chat("menu"), 0).expect("admitted");
    assert_eq!(call.regions, vec![RegionId::from("south")]);
}

#[test]
fn keys_are_required_except_on_open_routes() {
    assert_eq!(refused(&[], &chat("menu")), Code::BadKey);
    assert_eq!(
        refused(&[("authorization", "Bearer k1.wrong")], &chat("menu")),
        Code::BadKey
    );
    assert_eq!(
        refused(&[("authorization", "Basic abc")], &chat("menu")),
        Code::BadKey
    );
    assert_eq!(refused(&[], &chat("no-such")), Code::BadKey);
    assert_eq!(refused(&[GOOD_KEY], &chat("no-such")), Code::NoSuchRoute);
    assert_eq!(refused(&[GOOD_KEY], &chat("private")), Code::Forbidden);
    let open = admit(&[], &chat("free"), 0).expect("open");
    assert_eq!((open.organisation, open.key), (None, None));
    let bad_on_open = [("authorization", "Bearer k1.wrong")];
    assert_eq!(refused(&bad_on_open, &chat("free")), Code::BadKey);
}

#[test]
fn keys_are_refused_if_the_configuration_is_older_than_the_organisation_allows() {
    assert!(admit(&[GOOD_KEY], &chat("menu"), 60).is_ok());
    let refusal = admit(&[GOOD_KEY], &chat("menu"), 61).expect_err("too old");
    assert_eq!((refusal.code(), refusal.ran()), (Code::NotReady, Ran::No));
}

#[test]
fn header_can_forbid_a_second_run_but_not_allow_one() {
    let forbidding = [GOOD_KEY, ("limpetstand-repeatable", "no")];
    assert!(
        !admit(&forbidding, &chat("menu"), 0)
            .expect("admitted")
            .repeatable
    );
    let (snapshot, fleet, settings) = (snapshot(), fleet(), FrontSettings::default());
    let admission = Admission {
        snapshot: &snapshot,
        fleet: &fleet,
        config_age: Duration::ZERO,
        settings: &settings,
    };
    let options = RequestOptions::parse(&headers(&[GOOD_KEY, ("limpetstand-repeatable", "yes")]));
    let operation = limpetstand::call::Operation::Service {
        method: "POST".to_owned(),
        path: "/hold".to_owned(),
        content_type: None,
    };
    let options = options.expect("headers");
    let call = admission
        .service(
            RequestId::from(1),
            "booking",
            operation,
            &options,
            Bytes::new(),
        )
        .expect("admitted");
    assert!(!call.repeatable);
    assert_eq!(call.tokens, 5);
}

#[test]
fn invalid_headers_are_refused() {
    for (name, value) in [
        ("limpetstand-deadline-ms", "soon"),
        ("limpetstand-deadline-ms", "0"),
        ("limpetstand-deadline-ms", "-1"),
        ("limpetstand-residency", ""),
        ("limpetstand-residency", "north,,south"),
        ("limpetstand-repeatable", "perhaps"),
        ("limpetstand-priority", "256"),
        ("idempotency-key", ""),
    ] {
        assert_eq!(
            refused(&[GOOD_KEY, (name, value)], &chat("menu")),
            Code::BadRequest,
            "{name}"
        );
    }
    let twice = [GOOD_KEY, ("authorization", "Bearer k2.other")];
    assert_eq!(refused(&twice, &chat("menu")), Code::BadRequest);
    let looped = [GOOD_KEY, ("cdn-loop", "other; x=1, limpetstand")];
    assert_eq!(refused(&looped, &chat("menu")), Code::Loop);
}

#[test]
fn invalid_bodies_are_refused() {
    for body in [
        "",
        "{",
        "[]",
        "null",
        r#"{"model":"menu"}"#,
        r#"{"model":"","messages":[]}"#,
        r#"{"model":"menu","messages":[],"max_tokens":-1}"#,
        r#"{"model":"menu","messages":[],"max_tokens":1e30}"#,
        r#"{"model":"menu","messages":[],"max_tokens":10000001}"#,
        r#"{"model":"menu","messages":[],"n":2}"#,
        r#"{"model":"menu","messages":"text"}"#,
    ] {
        assert_eq!(refused(&[GOOD_KEY], body), Code::BadRequest, "{body}");
    }
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let deep = format!(r#"{{"model":"menu","messages":[{{"content":{deep}}}]}}"#);
    assert_eq!(refused(&[GOOD_KEY], &deep), Code::BadRequest);
}

proptest! {
    #[test]
    fn parsing_any_body_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = ModelBody::parse(&body, true);
        let _ = ModelBody::parse(&body, false);
    }

    #[test]
    fn parsing_any_header_does_not_panic(value in "[ -~]{0,80}", which in 0_usize..7) {
        let names = [
            "authorization", "limpetstand-residency", "limpetstand-deadline-ms", "cdn-loop",
            "limpetstand-priority", "idempotency-key", "limpetstand-repeatable",
        ];
        let _ = RequestOptions::parse(&headers(&[(names[which], &value)]));
    }

    #[test]
    fn usage_does_not_depend_on_chunk_boundaries(cuts in proptest::collection::vec(1_usize..40, 1..40)) {
        let text = concat!(
            "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
            "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n",
            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\n\n",
            "data: [DONE]\n\n",
        ).as_bytes();
        let mut meter = UsageMeter::new(5, true);
        let mut rest = text;
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*cut).min(rest.len()));
            meter.feed(chunk);
            rest = after;
        }
        prop_assert_eq!(meter.counted(), 7);
        prop_assert_eq!(meter.total_at_end(), Some(7));
    }
}

/// Sums the used tokens that holds are settled with, by organisation.
#[derive(Default)]
struct Ledger {
    used: Mutex<BTreeMap<OrganisationId, u64>>,
}

impl Settle for Ledger {
    fn release(&self, organisation: &OrganisationId, _held: u64, used: u64) {
        let mut all = self.used.lock().expect("lock");
        *all.entry(organisation.clone()).or_default() += used;
    }
}

struct UnlimitedLimiter(Arc<Ledger>);

#[async_trait]
impl Limiter for UnlimitedLimiter {
    async fn admit(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        _time_left: Duration,
    ) -> Result<Hold, Refusal> {
        Ok(Hold::new(
            organisation.clone(),
            tokens,
            Arc::clone(&self.0) as Arc<dyn Settle>,
        ))
    }
}

/// Refuses, breaks off or completes an answer depending on words in the request body.
struct ScriptedDispatch;

#[async_trait]
impl Dispatch for ScriptedDispatch {
    async fn dispatch(&self, call: Call) -> Result<Answer, Refusal> {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        if text.contains("refuse") {
            return Err(
                Refusal::not_run(Code::Overloaded, "full").retry_after(Duration::from_millis(1500))
            );
        }
        if text.contains("queued") {
            return Err(Refusal::not_run(Code::Leaving, "not sent"));
        }
        let (tx, rx) = mpsc::channel(8);
        let mut status = 200;
        let stream = text.contains("\"stream\":true");
        let event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
        let whole = r#"{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}"#;
        let first = if stream { event } else { whole };
        tx.send(Ok(Bytes::from(first))).await.expect("room");
        if text.contains("long failure") {
            let long = Bytes::from(vec![b'x'; 9 * 1024 * 1024]);
            tx.send(Ok(long)).await.expect("room");
            status = 400;
        }
        if text.contains("break") {
            let refusal = Refusal::unknown(Code::TargetFailed, "broke");
            tx.send(Err(refusal)).await.expect("room");
        } else if stream {
            tx.send(Ok(Bytes::from("data: [DONE]\n\n")))
                .await
                .expect("room");
        }
        let head = AnswerHead {
            status,
            content_type: "text/event-stream".to_owned(),
            target: "t1".into(),
            region: "south".into(),
        };
        Ok(Answer { head, body: rx })
    }
}

struct RunningFront {
    address: SocketAddr,
    front: Arc<Front>,
    departure: watch::Sender<Departure>,
    ledger: Arc<Ledger>,
    _senders: (
        watch::Sender<Arc<Snapshot>>,
        watch::Sender<Arc<Fleet>>,
        watch::Sender<bool>,
    ),
}

async fn start() -> RunningFront {
    let ledger = Arc::new(Ledger::default());
    let (snapshot_tx, snapshot) = watch::channel(Arc::new(snapshot()));
    let (fleet_tx, fleet) = watch::channel(Arc::new(fleet()));
    let settings = FrontSettings {
        max_body_bytes: 10_000,
        read_timeout_ms: 300,
        ..Default::default()
    };
    let departure = watch::Sender::new(Departure::default());
    let front = Front::new(FrontParts {
        instance: "s1".into(),
        region: "south".into(),
        settings,
        snapshot,
        config_age: Arc::new(|| Duration::ZERO),
        departure: departure.subscribe(),
        fleet,
        limiter: Arc::new(UnlimitedLimiter(Arc::clone(&ledger))),
        dispatch: Arc::new(ScriptedDispatch),
        recorder: Arc::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve::serve(
        listener,
        front.router(),
        Duration::from_millis(300),
        stopped,
    ));
    RunningFront {
        address,
        front,
        departure,
        ledger,
        _senders: (snapshot_tx, fleet_tx, stop),
    }
}

/// Sends bytes on a new connection and returns everything received until it closes.
async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    // The write fails if the server has already answered and closed the connection.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(extra: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {}\r\n{extra}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn prompt(text: &str, stream: bool) -> String {
    format!(r#"{{"model":"menu","stream":{stream},"messages":[{{"content":"{text}"}}]}}"#)
}

fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

#[tokio::test]
async fn streamed_and_buffered_answers_are_served_and_charged_once() {
    let running = start().await;
    let streamed = raw(running.address, &post("", &prompt("one two three", true))).await;
    assert_eq!(status(&streamed), 200);
    assert!(streamed.contains("[DONE]"));
    assert!(streamed.contains("limpetstand-target: t1"));
    let whole = raw(running.address, &post("", &prompt("one two three", false))).await;
    assert_eq!(status(&whole), 200);
    // 3 + 1 tokens counted in the stream, 3 + 2 reported by the buffered answer.
    let used = running.ledger.used.lock().expect("lock").clone();
    assert_eq!(used.into_values().collect::<Vec<_>>(), vec![9]);
}

#[tokio::test]
async fn a_failed_answer_never_looks_complete() {
    let running = start().await;
    let streamed = raw(running.address, &post("", &prompt("break", true))).await;
    assert!(
        streamed.contains("event: error") && !streamed.contains("[DONE]"),
        "{streamed}"
    );
    let whole = raw(running.address, &post("", &prompt("break", false))).await;
    assert_eq!(status(&whole), 502);
    assert!(whole.contains("limpetstand-ran: unknown"));
    assert!(!whole.contains("completion_tokens"));
}

#[tokio::test]
async fn a_long_answer_that_breaks_does_not_end_with_an_event() {
    let running = start().await;
    let answer = raw(
        running.address,
        &post("", &prompt("long failure, break", true)),
    )
    .await;
    assert_eq!(status(&answer), 400);
    assert!(
        !answer.contains("event: error"),
        "the body is not an event stream"
    );
    assert!(!answer.ends_with("0\r\n\r\n"), "the body looks complete");
}

#[tokio::test]
async fn refusals_have_ran_and_retry_after() {
    let running = start().await;
    let answer = raw(running.address, &post("", &prompt("refuse", false))).await;
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("retry-after: 2") && answer.contains("\"retry_after_ms\":1500"));
    assert!(answer.contains("limpetstand-ran: no"));
    assert_eq!(
        running
            .ledger
            .used
            .lock()
            .expect("lock")
            .values()
            .sum::<u64>(),
        0
    );
}

#[tokio::test]
async fn a_leaving_instance_names_another_one() {
    let running = start().await;
    running.departure.send_replace(Departure::Leaving {
        known_at: Duration::MAX,
        drained_at: Duration::MAX,
    });
    let answer = raw(running.address, &post("", &prompt("x", false))).await;
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("\"code\":\"leaving\"") && answer.contains("limpetstand-use-instance"));
}

#[tokio::test]
async fn a_request_still_read_at_the_drain_limit_is_refused_as_not_run() {
    let running = start().await;
    let mut request = post("", &prompt("x", false));
    request.truncate(request.len() - 10);
    let answer = tokio::spawn(async move { raw(running.address, &request).await });
    while running.front.in_flight() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    running.departure.send_replace(Departure::GivesUp);
    let answer = answer.await.expect("joined");
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("\"code\":\"leaving\"") && answer.contains("limpetstand-ran: no"));
}

#[tokio::test]
async fn a_request_given_up_before_it_was_sent_names_another_instance() {
    let running = start().await;
    let answer = raw(running.address, &post("", &prompt("queued", false))).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("limpetstand-use-instance") && answer.contains("limpetstand-ran: no"));
}

fn is_client_error(answer: &str) -> bool {
    (400..500).contains(&status(answer))
}

#[tokio::test]
async fn malformed_requests_get_4xx() {
    let running = start().await;
    let large = prompt(&"x ".repeat(20_000), false);
    assert_eq!(status(&raw(running.address, &post("", &large)).await), 413);
    let headers = format!("x-a: {}\r\n", "y".repeat(70_000));
    assert!(is_client_error(
        &raw(running.address, &post(&headers, "{}")).await
    ));
    let many = "x-a: y\r\n".repeat(200);
    assert!(is_client_error(
        &raw(running.address, &post(&many, "{}")).await
    ));
    assert_eq!(
        status(&raw(running.address, b"nonsense\r\n\r\n").await),
        400
    );
    let mut broken = post("", "{\"model\":\"me..\"}");
    let at = broken.len() - 4;
    broken[at] = 0xff;
    assert_eq!(status(&raw(running.address, &broken).await), 400);
    let head =
        format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n");
    let short = format!("{head}content-length: 100\r\n\r\n{{}}");
    assert_eq!(status(&raw(running.address, short.as_bytes()).await), 400);
    let two = format!("{head}content-length: 2\r\ncontent-length: 3\r\n\r\n{{}}");
    assert_eq!(status(&raw(running.address, two.as_bytes()).await), 400);
    let unknown = raw(
        running.address,
        b"GET /etc/passwd HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    assert_eq!(status(&unknown.await), 404);
    // Afterwards a valid request is still served and none remains in flight.
    assert_eq!(
        status(&raw(running.address, &post("", &prompt("x", false))).await),
        200
    );
    assert_eq!(running.front.in_flight(), 0);
}

#[tokio::test]
async fn disconnected_callers_leave_no_request_in_flight() {
    let running = start().await;
    for cut in [10, 80, 150, 200] {
        let bytes = post("", &prompt("one two three", true));
        let mut stream = TcpStream::connect(running.address).await.expect("connect");
        stream
            .write_all(&bytes[..cut.min(bytes.len())])
            .await
            .expect("write");
        drop(stream);
    }
    assert_eq!(
        status(&raw(running.address, &post("", &prompt("x", false))).await),
        200
    );
    while running.front.in_flight() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
