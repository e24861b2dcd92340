//! Tests of the operators' HTTP interface and of the command `limpetstand` against it.

#![allow(missing_docs, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::Arc;

use limpetstand::admin::{self, AdminParts};
use limpetstand::config::head::hex_digest;
use reqwest::{Client, Method, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

#[path = "common/mod_config.rs"]
mod common;

use common::config_rig::Rig;
use common::memory_store::MemoryStore;

const ROOT: &str = "root-token";
const TEAM: &str = "team-token";

const ACME: &str = "[organisations.acme]\nrate = 1\nburst = 1\n";

/// One instance whose operators' interface listens on loopback.
struct Served {
    address: SocketAddr,
    store: Arc<MemoryStore>,
    client: Client,
    _rig: Rig,
    _fleet: watch::Sender<Arc<limpetstand::member::Fleet>>,
}

impl Served {
    async fn start() -> Self {
        let mut rig = Rig::new();
        rig.start("a1");
        let (fleet, seen) = watch::channel(Arc::default());
        let instance = &rig.instances["a1"];
        let distribution = instance.distribution.clone();
        let parts = AdminParts::new("a1".into(), instance.store.clone(), distribution, seen)
            .root_hash(Some(hex_digest(ROOT.as_bytes())))
            .metrics(Arc::new(|| "up 1\n".to_owned()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let app = admin::router(parts);
        tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
        let served = Self {
            address,
            store: rig.store.clone(),
            client: Client::new(),
            _rig: rig,
            _fleet: fleet,
        };
        served.put_teams().await;
        served
    }

    /// Writes revision 1: the team `book`, confined to `book`.
    async fn put_teams(&self) {
        let hash = hex_digest(TEAM.as_bytes());
        let text = format!("[teams.book]\nroot = \"book\"\nhash = \"{hash}\"\n");
        let answer = self.put(ROOT, "teams", text).await;
        assert_eq!(answer, (200, json!("accepted"), json!(1)));
        self.wait(1).await;
    }

    async fn send(&self, method: Method, token: &str, target: &str, body: Vec<u8>) -> Response {
        let url = format!("http://{}{target}", self.address);
        let req = self
            .client
            .request(method, url)
            .bearer_auth(token)
            .body(body);
        req.send().await.unwrap()
    }

    /// Returns the status, the outcome and the revision.
    async fn put(&self, token: &str, path: &str, text: impl Into<Vec<u8>>) -> (u16, Value, Value) {
        let target = format!("/v1/config/documents/{path}");
        let resp = self.send(Method::PUT, token, &target, text.into()).await;
        let status = resp.status().as_u16();
        let answer: Value = resp.json().await.unwrap();
        (
            status,
            answer["outcome"].clone(),
            answer["revision"].clone(),
        )
    }

    async fn get(&self, token: &str, target: &str) -> (u16, Value) {
        let resp = self.send(Method::GET, token, target, Vec::new()).await;
        let status = resp.status().as_u16();
        (status, resp.json().await.unwrap())
    }

    async fn revision(&self) -> Value {
        self.get(ROOT, "/v1/config").await.1["revision"].clone()
    }

    async fn wait(&self, revision: u64) {
        let target = format!("/v1/config/wait?revision={revision}&timeout_ms=10000");
        let (status, answer) = self.get(ROOT, &target).await;
        assert_eq!(status, 200, "{answer}");
    }

    /// Runs the operators' command with a token in a file.
    async fn command(&self, token: &str, args: &[&str]) -> Output {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("token");
        std::fs::write(&file, token).unwrap();
        let mut command = limpetstand(args);
        command
            .arg("--admin")
            .arg(format!("http://{}", self.address));
        command.arg("--token-file").arg(&file);
        tokio::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }
}

fn limpetstand(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetstand"));
    command.env_clear().args(args);
    command
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_written_read_and_deleted() {
    let served = Served::start().await;
    let answer = served.put(ROOT, "acme", ACME).await;
    assert_eq!(answer, (200, json!("accepted"), json!(2)));
    let target = "/v1/config/documents/acme";
    let resp = served.send(Method::GET, ROOT, target, Vec::new()).await;
    assert_eq!(resp.headers()["limpetstand-revision"], "2");
    assert_eq!(resp.headers()["limpetstand-document-revision"], "2");
    assert_eq!(resp.text().await.unwrap(), ACME);
    let resp = served.send(Method::DELETE, ROOT, target, Vec::new()).await;
    assert_eq!(resp.status(), StatusCode::OK);
    let (status, _) = served.get(ROOT, target).await;
    assert_eq!(status, 404);
    let (_, diff) = served.get(ROOT, "/v1/config/diff?from=1&to=2").await;
    let expected = json!([{ "path": "acme", "before": null, "after": ACME }]);
    assert_eq!(diff["documents"], expected);
    let (_, log) = served.get(ROOT, "/v1/config/log").await;
    assert_eq!(log["changes"][0]["deleted"], json!(["acme"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_known_token_nothing_is_shown_or_changed() {
    let served = Served::start().await;
    for token in ["", "wrong", "root-toke", "root-token2", "ROOT-TOKEN"] {
        for target in ["/v1/config", "/v1/config/log", "/v1/config/documents/teams"] {
            let (status, _) = served.get(token, target).await;
            assert_eq!(status, 401, "{token:?} {target}");
        }
        let target = "/v1/config/documents/acme";
        let resp = served.send(Method::PUT, token, target, ACME.into()).await;
        assert_eq!(resp.status(), StatusCode::UNAUTHORIZED, "{token:?}");
    }
    assert_eq!(served.revision().await, json!(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_stays_below_its_root_however_the_path_is_spelt() {
    let served = Served::start().await;
    let answer = served.put(TEAM, "book/acme", ACME).await;
    assert_eq!(answer, (200, json!("accepted"), json!(2)));
    let outside_paths = [
        "teams",
        "bookings",
        "book%2F..%2Fteams",
        "book%2f%2e%2e%2fteams",
        "book//teams",
        "/book/x",
        "book/x/",
        "BOOK/x",
        "b%C3%B6ok/x",
        "bo%D0%BEk/x",
        "book/%00",
        "book/x%20y",
        "book/x%ff",
    ];
    for path in outside_paths {
        let target = format!("/v1/config/documents/{path}");
        let resp = served.send(Method::PUT, TEAM, &target, ACME.into()).await;
        let status = resp.status().as_u16();
        assert!(matches!(status, 400 | 403 | 404), "{path}: {status}");
    }
    assert_eq!(served.revision().await, json!(2));
    let resp = served
        .send(Method::POST, TEAM, "/v1/config/rollback?to=1", Vec::new())
        .await;
    assert_eq!(resp.status(), StatusCode::OK);
    let (_, head) = served.get(ROOT, "/v1/config").await;
    let expected = json!([{ "path": "teams", "revision": 1 }]);
    assert_eq!(head["documents"], expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_documents_are_refused_and_the_stored_document_stays() {
    let served = Served::start().await;
    let answer = served.put(ROOT, "acme", ACME).await;
    assert_eq!(answer, (200, json!("accepted"), json!(2)));
    const MEGABYTE: usize = 1024 * 1024;
    let many = (0..3000).map(|i| format!("[organisations.o{i}]\nrate = 1\nburst = 0\n"));
    let malformed: Vec<(&str, Vec<u8>)> = vec![
        ("a megabyte of comment", vec![b'#'; MEGABYTE]),
        ("deep arrays", "[".repeat(200_000).into()),
        (
            "closed deep arrays",
            format!("a = {}{}", "[".repeat(90_000), "]".repeat(90_000)).into(),
        ),
        (
            "deep inline tables",
            "a = "
                .to_owned()
                .into_bytes()
                .into_iter()
                .chain("{a=".repeat(60_000).into_bytes())
                .collect(),
        ),
        (
            "deep dotted keys",
            format!("{}a = 1", "a.".repeat(100_000)).into(),
        ),
        (
            "deep table names",
            format!("[{}a]\n", "a.".repeat(100_000)).into(),
        ),
        ("not UTF-8", vec![0xff, 0xfe, 0x00]),
        ("a zero byte", b"\0".to_vec()),
        ("a duplicate key", format!("{ACME}rate = 2\n").into()),
        ("a duplicate table", format!("{ACME}{ACME}").into()),
        (
            "a huge number",
            b"[organisations.x]\nrate = 99999999999999999999\nburst = 1".to_vec(),
        ),
        (
            "a long number",
            format!(
                "[organisations.x]\nburst = 1\nrate = {}",
                "9".repeat(100_000)
            )
            .into(),
        ),
        (
            "infinity",
            b"[organisations.x]\nrate = 1\nburst = 1\nweight = inf".to_vec(),
        ),
        ("many faults", many.collect::<String>().into()),
        (
            "a long name",
            format!(
                "[organisations.{}]\nrate = 1\nburst = 1",
                "x".repeat(100_000)
            )
            .into(),
        ),
        (
            "a name of control characters",
            b"[organisations.\"\\u0007\"]\nrate = 1\nburst = 1".to_vec(),
        ),
        ("an unknown key", b"colour = 1".to_vec()),
    ];
    for (what, text) in malformed {
        let (status, outcome, _) = served.put(ROOT, "acme", text).await;
        assert!(matches!(status, 413 | 422), "{what}: {status}");
        assert_eq!(outcome, json!("refused"), "{what}");
    }
    assert_eq!(served.revision().await, json!(2));
    let target = "/v1/config/documents/acme";
    let resp = served.send(Method::GET, ROOT, target, Vec::new()).await;
    assert_eq!(resp.text().await.unwrap(), ACME);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_exit_code_of_the_command_tells_the_outcome() {
    let served = Served::start().await;
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let good = file("good.toml", ACME);
    let bad = file("bad.toml", "[organisations.acme]\nrate = -1\n");
    let put = served
        .command(ROOT, &["config", "put", "acme", &good, "--wait"])
        .await;
    assert_eq!(put.status.code(), Some(0), "{put:?}");
    assert!(stdout(&put).starts_with("accepted: revision 2\n"));
    let put = served.command(ROOT, &["config", "put", "acme", &bad]).await;
    assert_eq!(put.status.code(), Some(1), "{put:?}");
    assert!(stdout(&put).contains("acme:2:8: "), "{put:?}");
    let put = served
        .command(ROOT, &["config", "put", "acme", &good, "--if-match", "1"])
        .await;
    assert_eq!(put.status.code(), Some(3), "{put:?}");
    let put = served
        .command(TEAM, &["config", "put", "acme", &good])
        .await;
    assert_eq!(put.status.code(), Some(1), "{put:?}");
    let put = served
        .command("nobody", &["config", "put", "acme", &good])
        .await;
    assert_eq!(put.status.code(), Some(1), "{put:?}");
    let get = served.command(ROOT, &["config", "get", "acme"]).await;
    assert_eq!(
        (get.status.code(), stdout(&get)),
        (Some(0), ACME.to_owned())
    );
    let wait = served
        .command(ROOT, &["config", "wait", "99", "--timeout", "0", "--json"])
        .await;
    assert_eq!(wait.status.code(), Some(6), "{wait:?}");
    let status = served.command(ROOT, &["status", "--json"]).await;
    let answer: Value = serde_json::from_str(&stdout(&status)).unwrap();
    assert_eq!(answer["revision"], json!(2));
    served.store.faults(|f| f.down = true);
    let put = served
        .command(ROOT, &["config", "put", "acme", &good])
        .await;
    assert_eq!(put.status.code(), Some(5), "{put:?}");
}

#[test]
fn the_command_checks_folders_without_an_instance() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    };
    write("book/acme.toml", ACME);
    let check = |path: &Path| {
        let args = ["config", "check", path.to_str().unwrap()];
        limpetstand(&args).output().unwrap()
    };
    let good = check(folder.path());
    assert_eq!(good.status.code(), Some(0), "{good:?}");
    write("book/again.toml", ACME);
    let bad = check(folder.path());
    assert_eq!(bad.status.code(), Some(1), "{bad:?}");
    let expected = "book/again:1:16: organisations.acme is already defined in `book/acme`\n";
    assert_eq!(stdout(&bad), expected);
}

#[test]
fn the_command_line_is_checked_before_anything_is_sent() {
    let wrong: [&[&str]; 7] = [
        &[],
        &["config"],
        &["config", "put", "acme"],
        &["config", "put", "../acme", "-"],
        &["config", "wait", "one"],
        &["status", "--colour"],
        &["status", "--admin", "ftp://here"],
    ];
    for args in wrong {
        let output = limpetstand(args).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{args:?}: {output:?}");
    }
    let unreachable = limpetstand(&["status", "--admin", "http://127.0.0.1:1"]);
    let output = { unreachable }.output().unwrap();
    assert_eq!(output.status.code(), Some(5), "{output:?}");
    let help = limpetstand(&["--help"]).output().unwrap();
    assert_eq!(help.status.code(), Some(0));
    assert!(stdout(&help).contains("Exit codes:"));
}
