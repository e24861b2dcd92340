//! Stand-in for a plain HTTP service that records every run.
//!
//! A request names its run in the field `x-run-id` of its JSON body. If the body has a field
//! `call-back`, the service sends the request on to that address with the headers that it got, as
//! a target that is itself a caller does.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use axum::{Json, Router};
use serde_json::{Value, json};

use crate::engine::{contains_secret, header_text};
use crate::server::{Server, no_answer};

const CALL_BACK_WAIT: Duration = Duration::from_secs(5);

/// How a service fails one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It answers with status 500 without running it.
    FailBefore,
    /// It runs it and answers with status 500.
    FailAfter,
    /// It drops all connections without running it.
    CrashBefore,
    /// It runs it and drops all connections.
    CrashAfter,
    /// It neither runs nor answers it.
    SilentBefore,
    /// It runs it and does not answer.
    SilentAfter,
}

impl Fault {
    fn runs(self) -> bool {
        matches!(self, Self::FailAfter | Self::CrashAfter | Self::SilentAfter)
    }
}

/// One request that the service ran.
#[derive(Debug, Clone)]
pub struct ServiceRun {
    /// The run's name in the body, if it has one.
    pub run_id: Option<String>,
    /// The `x-request-id` that came with it.
    pub request_id: Option<String>,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// Hash of the body; see [`crate::engine::text_hash`].
    pub body_hash: u64,
    /// When it came.
    pub at: Instant,
    /// Whether a key came with it.
    pub leaked_key: bool,
    /// The service's region.
    pub region: String,
}

#[derive(Debug)]
struct Inner {
    region: String,
    secrets: Vec<String>,
    work: Duration,
    fault: Option<(Fault, u32)>,
    runs: Vec<ServiceRun>,
    received: u64,
    server: Option<Arc<Server>>,
    client: reqwest::Client,
}

type Shared = Arc<Mutex<Inner>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Inner> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    server: Arc<Server>,
    shared: Shared,
}

impl Service {
    /// Starts a service of a region; `secrets` must never reach it.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, region: &str, secrets: &[String]) -> io::Result<Self> {
        let shared: Shared = Arc::new(Mutex::new(Inner {
            region: region.to_owned(),
            secrets: secrets.to_vec(),
            work: Duration::from_millis(5),
            fault: None,
            runs: Vec::new(),
            received: 0,
            server: None,
            client: reqwest::Client::new(),
        }));
        let app = Router::new()
            .fallback(handle)
            .with_state(Arc::clone(&shared));
        let server = Arc::new(Server::start(address, app).await?);
        lock(&shared).server = Some(Arc::clone(&server));
        Ok(Self { server, shared })
    }

    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the server, to take it down and up.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets how long a run takes.
    pub fn set_work(&self, work: Duration) {
        lock(&self.shared).work = work;
    }

    /// Fails the next `n` requests in one way.
    pub fn fail_next(&self, fault: Fault, n: u32) {
        lock(&self.shared).fault = Some((fault, n));
    }

    /// Returns the requests it ran.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.shared).runs.clone()
    }

    /// Returns how many requests reached it, run or not.
    pub fn received(&self) -> u64 {
        lock(&self.shared).received
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        lock(&self.shared).server = None;
    }
}

fn next_fault(inner: &mut Inner) -> Option<Fault> {
    let (fault, left) = inner.fault?;
    if left == 0 {
        inner.fault = None;
        return None;
    }
    inner.fault = Some((fault, left - 1));
    Some(fault)
}

/// Sends a request on; whatever comes of it is seen where it arrives.
async fn call_back(shared: &Shared, url: &str, headers: &HeaderMap, body: Bytes) {
    let client = lock(shared).client.clone();
    let mut headers = headers.clone();
    headers.remove(header::HOST);
    headers.remove(header::CONTENT_LENGTH);
    let sent = client.post(url).headers(headers).body(body);
    drop(sent.timeout(CALL_BACK_WAIT).send().await);
}

async fn handle(
    State(shared): State<Shared>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let (fault, work) = {
        let mut inner = lock(&shared);
        inner.received += 1;
        (next_fault(&mut inner), inner.work)
    };
    let parsed: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let run_id = parsed.get("x-run-id").and_then(Value::as_str);
    if fault.is_none_or(Fault::runs) {
        let path = uri.path_and_query().map_or("/", |p| p.as_str());
        let mut inner = lock(&shared);
        let run = ServiceRun {
            run_id: run_id.map(str::to_owned),
            request_id: header_text(&headers, "x-request-id"),
            method: method.to_string(),
            path: path.to_owned(),
            body_hash: crate::engine::text_hash(&String::from_utf8_lossy(&body)),
            at: Instant::now(),
            leaked_key: contains_secret(&inner.secrets, &headers, &body),
            region: inner.region.clone(),
        };
        inner.runs.push(run);
    }
    tokio::time::sleep(work).await;
    if let Some(url) = parsed.get("call-back").and_then(Value::as_str) {
        call_back(&shared, url, &headers, body).await;
    }
    match fault {
        None => Json(json!({ "ran": run_id, "path": uri.path() })).into_response(),
        Some(Fault::FailBefore | Fault::FailAfter) => {
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
        Some(Fault::CrashBefore | Fault::CrashAfter) => {
            if let Some(server) = lock(&shared).server.as_ref() {
                server.break_connections();
            }
            no_answer()
        }
        Some(Fault::SilentBefore | Fault::SilentAfter) => std::future::pending().await,
    }
}
