//! Stand-in for the key-value store: the JSON gateway of etcd v3.
//!
//! As in etcd's gateway, keys and values are base64, 64-bit integers are strings, and fields with
//! the value zero are omitted.

mod data;
mod follow;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::server::{Server, no_answer};
use data::Data;
use follow::WatchState;

/// Interval at which expired leases are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How the store behaves during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused.
    Refuse,
    /// Connections are accepted, and calls get no answer until the outage ends.
    Hang,
}

/// Kinds of calls, as counted in [`StoreCounts`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Lease,
    Watch,
}

/// Numbers of calls to the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreCounts {
    /// Calls that only read.
    pub reads: u64,
    /// Calls that may write, other than lease calls.
    pub writes: u64,
    /// Calls that grant, renew or revoke a lease.
    pub leases: u64,
    /// Watches that were opened.
    pub watches: u64,
    /// Watches that are open now.
    pub open_watches: u64,
    /// Answers that were dropped on request.
    pub lost_answers: u64,
    /// Read and watch calls in each second since the start.
    pub reads_by_second: Vec<u64>,
    /// Write and lease calls in each second since the start.
    pub writes_by_second: Vec<u64>,
}

impl StoreCounts {
    /// Returns the number of all calls, opened watches included.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.leases + self.watches
    }
}

struct Inner {
    data: Data,
    delay: Duration,
    lose_next: u32,
    lost_answer_share: f64,
    rng: SmallRng,
    counts: StoreCounts,
    started: Instant,
    hung: watch::Sender<bool>,
    disconnects: watch::Sender<u64>,
}

impl Inner {
    fn count(&mut self, kind: CallKind) {
        let second = usize::try_from(self.started.elapsed().as_secs()).unwrap_or(usize::MAX);
        let counts = &mut self.counts;
        let by_second = match kind {
            CallKind::Read | CallKind::Watch => &mut counts.reads_by_second,
            CallKind::Write | CallKind::Lease => &mut counts.writes_by_second,
        };
        if by_second.len() <= second {
            by_second.resize(second + 1, 0);
        }
        by_second[second] += 1;
        match kind {
            CallKind::Read => counts.reads += 1,
            CallKind::Write => counts.writes += 1,
            CallKind::Lease => counts.leases += 1,
            CallKind::Watch => counts.watches += 1,
        }
    }

    fn drops_answer(&mut self) -> bool {
        let lost = if self.lose_next > 0 {
            self.lose_next -= 1;
            true
        } else {
            self.lost_answer_share > 0.0 && self.rng.random::<f64>() < self.lost_answer_share
        };
        self.counts.lost_answers += u64::from(lost);
        lost
    }
}

type Shared = Arc<Mutex<Inner>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Inner> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running store.
pub struct Store {
    server: Server,
    shared: Shared,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared: Shared = Arc::new(Mutex::new(Inner {
            data: Data::new(),
            delay: Duration::ZERO,
            lose_next: 0,
            lost_answer_share: 0.0,
            rng: SmallRng::seed_from_u64(0),
            counts: StoreCounts::default(),
            started: Instant::now(),
            hung: watch::Sender::new(false),
            disconnects: watch::Sender::new(0),
        }));
        let app = Router::new()
            .route("/v3/kv/range", post(range))
            .route("/v3/kv/put", post(put))
            .route("/v3/kv/deleterange", post(delete_range))
            .route("/v3/kv/txn", post(txn))
            .route("/v3/lease/grant", post(grant))
            .route("/v3/lease/keepalive", post(keep_alive))
            .route("/v3/lease/revoke", post(revoke))
            .route("/v3/kv/lease/revoke", post(revoke))
            .route("/v3/watch", post(open_watch))
            .with_state(Arc::clone(&shared));
        let server = Server::start(address, app).await?;
        tokio::spawn(run_lease_expiry(Arc::downgrade(&shared)));
        Ok(Self { server, shared })
    }

    /// Returns the address at which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the delay before each call is handled.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared).delay = delay;
    }

    /// Starts an outage, or ends it for `None`.
    pub fn set_outage(&self, outage: Option<Outage>) {
        let hang = outage == Some(Outage::Hang);
        lock(&self.shared).hung.send_replace(hang);
        if outage == Some(Outage::Refuse) {
            self.drop_watches();
            self.server.down();
        } else {
            self.server.up();
        }
    }

    /// Drops the answers to the next `n` write and lease calls, after they took effect.
    pub fn lose_next_answers(&self, n: u32) {
        lock(&self.shared).lose_next = n;
    }

    /// Sets the share, from 0 to 1, of write and lease calls whose answers are dropped after they
    /// took effect.
    pub fn set_lost_answer_share(&self, share: f64) {
        lock(&self.shared).lost_answer_share = share;
    }

    /// Compacts the history at the current revision; watches that start earlier are cancelled.
    pub fn compact(&self) {
        lock(&self.shared).data.compact();
    }

    /// Drops all connections and watches and keeps the data, as a restart does.
    pub fn restart(&self) {
        self.drop_watches();
        self.server.drop_connections();
    }

    /// Returns the numbers of calls.
    pub fn counts(&self) -> StoreCounts {
        lock(&self.shared).counts.clone()
    }

    /// Returns the current value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.shared).data.value(key.as_bytes())
    }

    /// Returns all current keys.
    pub fn keys(&self) -> Vec<String> {
        lock(&self.shared).data.keys()
    }

    fn drop_watches(&self) {
        lock(&self.shared).disconnects.send_modify(|n| *n += 1);
    }
}

async fn run_lease_expiry(shared: Weak<Mutex<Inner>>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        lock(&shared).data.expire_leases(Instant::now());
    }
}

/// Waits for the set delay and the end of an outage, then parses the body.
async fn begin_call(shared: &Shared, body: &Bytes) -> Result<Value, Response> {
    let (delay, mut hung) = {
        let inner = lock(shared);
        (inner.delay, inner.hung.subscribe())
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if hung.wait_for(|hung| !hung).await.is_err() {
        return Err(no_answer());
    }
    serde_json::from_slice(body).map_err(|e| wire::error(3, &e.to_string()))
}

fn respond(shared: &Shared, writes: bool, result: Result<Value, data::StoreError>) -> Response {
    let lost = writes && lock(shared).drops_answer();
    if lost {
        return no_answer();
    }
    match result {
        Ok(value) => Json(value).into_response(),
        Err(e) => wire::error(e.code(), e.message()),
    }
}

async fn range(State(shared): State<Shared>, body: Bytes) -> Response {
    let req = match begin_call(&shared, &body).await {
        Ok(req) => req,
        Err(resp) => return resp,
    };
    let result = {
        let mut inner = lock(&shared);
        inner.count(CallKind::Read);
        inner.data.range(&req)
    };
    respond(&shared, false, result)
}

async fn put(State(shared): State<Shared>, body: Bytes) -> Response {
    write(shared, body, CallKind::Write, Data::put).await
}

async fn delete_range(State(shared): State<Shared>, body: Bytes) -> Response {
    write(shared, body, CallKind::Write, Data::delete_range).await
}

async fn txn(State(shared): State<Shared>, body: Bytes) -> Response {
    write(shared, body, CallKind::Write, Data::txn).await
}

async fn grant(State(shared): State<Shared>, body: Bytes) -> Response {
    write(shared, body, CallKind::Lease, Data::grant).await
}

async fn keep_alive(State(shared): State<Shared>, body: Bytes) -> Response {
    write(shared, body, CallKind::Lease, Data::keep_alive).await
}

async fn revoke(State(shared): State<Shared>, body: Bytes) -> Response {
    write(shared, body, CallKind::Lease, Data::revoke).await
}

async fn write(
    shared: Shared,
    body: Bytes,
    kind: CallKind,
    operation: fn(&mut Data, &Value) -> Result<Value, data::StoreError>,
) -> Response {
    let req = match begin_call(&shared, &body).await {
        Ok(req) => req,
        Err(resp) => return resp,
    };
    let result = {
        let mut inner = lock(&shared);
        inner.count(kind);
        operation(&mut inner.data, &req)
    };
    respond(&shared, true, result)
}

/// Subtracts a watch from the count of open watches when its stream is dropped.
struct OpenWatch(Shared);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        lock(&self.0).counts.open_watches -= 1;
    }
}

async fn open_watch(State(shared): State<Shared>, body: Bytes) -> Response {
    let req = match begin_call(&shared, &body).await {
        Ok(req) => req,
        Err(resp) => return resp,
    };
    let create = wire::field(&req, "create_request");
    if create.is_null() {
        return wire::error(3, "a watch starts with create_request");
    }
    let (state, changed, disconnects) = {
        let mut inner = lock(&shared);
        inner.count(CallKind::Watch);
        inner.counts.open_watches += 1;
        let state = WatchState::new(create, &inner.data);
        (state, inner.data.changed(), inner.disconnects.subscribe())
    };
    let guard = OpenWatch(Arc::clone(&shared));
    let first = wire::line(&json!({
        "header": lock(&shared).data.header(),
        "created": true,
    }));
    let stream =
        futures_util::stream::unfold((Some(first), state, changed, disconnects, guard), next_line);
    Response::builder()
        .status(StatusCode::OK)
        .header("content-type", "application/json")
        .body(Body::from_stream(stream))
        .unwrap_or_else(|_| no_answer())
}

type WatchStream = (
    Option<Bytes>,
    WatchState,
    watch::Receiver<i64>,
    watch::Receiver<u64>,
    OpenWatch,
);

async fn next_line(stream: WatchStream) -> Option<(Result<Bytes, io::Error>, WatchStream)> {
    let (first, mut state, mut changed, mut disconnects, guard) = stream;
    if let Some(line) = first {
        return Some((Ok(line), (None, state, changed, disconnects, guard)));
    }
    let mut hung = lock(&guard.0).hung.subscribe();
    loop {
        if state.is_canceled() {
            return None;
        }
        hung.wait_for(|hung| !hung).await.ok()?;
        changed.borrow_and_update();
        let response = state.next(&lock(&guard.0).data);
        if let Some(result) = response {
            let line = wire::line(&result);
            return Some((Ok(line), (None, state, changed, disconnects, guard)));
        }
        tokio::select! {
            more = changed.changed() => more.ok()?,
            _ = disconnects.changed() => {
                let reset = io::Error::from(io::ErrorKind::ConnectionReset);
                return Some((Err(reset), (None, state, changed, disconnects, guard)));
            }
        }
    }
}
