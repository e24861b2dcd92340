//! Stand-in for a plain HTTP service that records every run.
//!
//! The field `x-run-id` of the JSON body is the ID of the run. If the body has a field `call-back`,
//! the service posts the request with its headers to that URL, like a target that is itself a
//! caller.

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

const CALL_BACK_TIMEOUT: Duration = Duration::from_secs(5);

/// A fault that a service injects into one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The service answers with status 500 and does not run the request.
    FailBefore,
    /// The service runs the request and answers with status 500.
    FailAfter,
    /// The service drops all connections and does not run the request.
    CrashBefore,
    /// The service runs the request and drops all connections.
    CrashAfter,
    /// The service neither runs nor answers the request.
    SilentBefore,
    /// The service runs the request and does not answer.
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
    /// ID of the run, if the body has one.
    pub run_id: Option<String>,
    /// Header `x-request-id` of the request.
    pub request_id: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Hash of the body; see [`crate::engine::text_hash`].
    pub body_hash: u64,
    /// When the run was recorded.
    pub at: Instant,
    /// Whether the request contained an API key or another secret.
    pub leaked_key: bool,
    /// Region of the service.
    pub region: String,
}

#[derive(Debug)]
struct Inner {
    region: String,
    secrets: Vec<String>,
    run_time: Duration,
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
    /// Starts a service in a region; `secrets` are texts that must never reach the service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, region: &str, secrets: &[String]) -> io::Result<Self> {
        let shared: Shared = Arc::new(Mutex::new(Inner {
            region: region.to_owned(),
            secrets: secrets.to_vec(),
            run_time: Duration::from_millis(5),
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

    /// Returns the address at which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the HTTP server, which can be stopped and restarted.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the time that a request takes.
    pub fn set_run_time(&self, run_time: Duration) {
        lock(&self.shared).run_time = run_time;
    }

    /// Injects a fault into each of the next `n` requests.
    pub fn fail_next(&self, fault: Fault, n: u32) {
        lock(&self.shared).fault = Some((fault, n));
    }

    /// Returns the requests that the service ran.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.shared).runs.clone()
    }

    /// Returns the number of requests that arrived, whether they ran or not.
    pub fn received(&self) -> u64 {
        lock(&self.shared).received
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        lock(&self.shared).server = None;
    }
}

fn take_fault(inner: &mut Inner) -> Option<Fault> {
    let (fault, remaining) = inner.fault?;
    if remaining == 0 {
        inner.fault = None;
        return None;
    }
    inner.fault = Some((fault, remaining - 1));
    Some(fault)
}

/// Posts a request to a URL and ignores the outcome, which the receiver records.
async fn call_back(shared: &Shared, url: &str, headers: &HeaderMap, body: Bytes) {
    let client = lock(shared).client.clone();
    let mut headers = headers.clone();
    headers.remove(header::HOST);
    headers.remove(header::CONTENT_LENGTH);
    let request = client.post(url).headers(headers).body(body);
    drop(request.timeout(CALL_BACK_TIMEOUT).send().await);
}

async fn handle(
    State(shared): State<Shared>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let (fault, run_time) = {
        let mut inner = lock(&shared);
        inner.received += 1;
        (take_fault(&mut inner), inner.run_time)
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
    tokio::time::sleep(run_time).await;
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
                server.drop_connections();
            }
            no_answer()
        }
        Some(Fault::SilentBefore | Fault::SilentAfter) => std::future::pending().await,
    }
}
