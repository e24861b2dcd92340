//! Stand-in for the platform's instance list, client directory and weight store.
//!
//! The list and the directory are the JSON of Prometheus HTTP service discovery.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};

use crate::server::Server;

/// Burst of the weight store's rate limit, in downloads.
const DOWNLOAD_BURST: f64 = 2.0;
const WEIGHT_BYTES: usize = 64 * 1024;

/// One target group of the service discovery JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Addresses as `ip:port`; readers use the first one.
    pub targets: Vec<String>,
    /// Labels of the group.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

impl Group {
    /// Creates a group with one address and no labels.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            targets: vec![address.to_string()],
            labels: BTreeMap::new(),
        }
    }

    /// Adds a label.
    pub fn label(mut self, name: &str, value: impl Into<String>) -> Self {
        self.labels.insert(name.to_owned(), value.into());
        self
    }

    fn has_id(&self, id: &str) -> bool {
        self.labels.get("id").is_some_and(|l| l == id)
    }
}

#[derive(Debug)]
struct Inner {
    /// Versions of the list and the times of their changes, oldest first.
    history: Vec<(Instant, Vec<Group>)>,
    lag: Duration,
    directory: BTreeMap<String, Vec<Group>>,
    downloads_per_second: f64,
    download_tokens: f64,
    refilled: Instant,
    downloads: u64,
    refused_downloads: u64,
    list_reads: u64,
    directory_writes: u64,
}

impl Inner {
    fn current(&self) -> &[Group] {
        self.history.last().map_or(&[], |(_, groups)| groups)
    }

    fn visible(&self) -> &[Group] {
        let now = Instant::now();
        let mut visible: &[Group] = &[];
        for (since, groups) in &self.history {
            if now.duration_since(*since) < self.lag {
                break;
            }
            visible = groups;
        }
        visible
    }

    fn admit_download(&mut self) -> Result<(), Duration> {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled).as_secs_f64() * self.downloads_per_second;
        self.download_tokens = (self.download_tokens + gained).min(DOWNLOAD_BURST);
        self.refilled = now;
        if self.download_tokens < 1.0 {
            self.refused_downloads += 1;
            let wait = (1.0 - self.download_tokens) / self.downloads_per_second.max(0.001);
            return Err(Duration::from_secs_f64(wait));
        }
        self.download_tokens -= 1.0;
        self.downloads += 1;
        Ok(())
    }
}

type Shared = Arc<Mutex<Inner>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Inner> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Numbers of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads of the instance list.
    pub list_reads: u64,
    /// Writes to the directory.
    pub directory_writes: u64,
    /// Weight downloads that were served.
    pub downloads: u64,
    /// Weight downloads that the rate limit refused.
    pub refused_downloads: u64,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    shared: Shared,
}

impl Platform {
    /// Starts a platform with an empty list.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared: Shared = Arc::new(Mutex::new(Inner {
            history: Vec::new(),
            lag: Duration::ZERO,
            directory: BTreeMap::new(),
            downloads_per_second: 1.0,
            download_tokens: DOWNLOAD_BURST,
            refilled: Instant::now(),
            downloads: 0,
            refused_downloads: 0,
            list_reads: 0,
            directory_writes: 0,
        }));
        let app = Router::new()
            .route("/instances", get(instances))
            .route("/directory", get(directory))
            .route("/directory/{region}", put(put_directory))
            .route("/weights/{model}/{version}", get(weights))
            .with_state(Arc::clone(&shared));
        let server = Server::start(address, app).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address at which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the HTTP server, which can be stopped and restarted.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the delay after which readers see a change of the list.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.shared).lag = lag;
    }

    /// Sets the weight store's rate limit in downloads a second.
    pub fn set_downloads_per_second(&self, rate: f64) {
        lock(&self.shared).downloads_per_second = rate;
    }

    /// Adds an entry to the list and removes entries with the same ID.
    pub fn add(&self, group: Group) {
        let id = group.labels.get("id").cloned().unwrap_or_default();
        self.change(|groups| {
            groups.retain(|g| !g.has_id(&id));
            groups.push(group);
        });
    }

    /// Removes the entry with this ID.
    pub fn remove(&self, id: &str) {
        self.change(|groups| groups.retain(|g| !g.has_id(id)));
    }

    /// Sets a label, such as the state, of the entry with this ID.
    pub fn set_label(&self, id: &str, name: &str, value: &str) {
        self.change(|groups| {
            for group in groups.iter_mut().filter(|g| g.has_id(id)) {
                group.labels.insert(name.to_owned(), value.to_owned());
            }
        });
    }

    /// Returns the current client directory.
    pub fn directory(&self) -> Vec<Group> {
        lock(&self.shared)
            .directory
            .values()
            .flatten()
            .cloned()
            .collect()
    }

    /// Returns the numbers of calls.
    pub fn counts(&self) -> PlatformCounts {
        let inner = lock(&self.shared);
        PlatformCounts {
            list_reads: inner.list_reads,
            directory_writes: inner.directory_writes,
            downloads: inner.downloads,
            refused_downloads: inner.refused_downloads,
        }
    }

    fn change(&self, f: impl FnOnce(&mut Vec<Group>)) {
        let mut inner = lock(&self.shared);
        let mut groups = inner.current().to_vec();
        f(&mut groups);
        inner.history.push((Instant::now(), groups));
    }
}

async fn instances(State(shared): State<Shared>) -> Json<Vec<Group>> {
    let mut inner = lock(&shared);
    inner.list_reads += 1;
    Json(inner.visible().to_vec())
}

async fn directory(State(shared): State<Shared>) -> Json<Vec<Group>> {
    Json(
        lock(&shared)
            .directory
            .values()
            .flatten()
            .cloned()
            .collect(),
    )
}

async fn put_directory(
    State(shared): State<Shared>,
    Path(region): Path<String>,
    Json(groups): Json<Vec<Group>>,
) -> StatusCode {
    let mut inner = lock(&shared);
    inner.directory_writes += 1;
    inner.directory.insert(region, groups);
    StatusCode::NO_CONTENT
}

async fn weights(
    State(shared): State<Shared>,
    Path((model, version)): Path<(String, String)>,
) -> Response {
    if let Err(wait) = lock(&shared).admit_download() {
        let seconds = wait.as_secs() + 1;
        let headers = [(header::RETRY_AFTER, seconds.to_string())];
        return (StatusCode::TOO_MANY_REQUESTS, headers).into_response();
    }
    let mut bytes = format!("{model}/{version}\n").into_bytes();
    bytes.resize(WEIGHT_BYTES, 0);
    bytes.into_response()
}
