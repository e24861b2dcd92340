//! Rate limit and counters for an instance's calls to the store.
//!
//! An open watch counts as one call per second. A call that would exceed the rate limit is delayed
//! by at most [`MAX_QUEUE_WAIT`]; if a longer delay would be needed, the call is not sent.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{
    Entry, LeaseId, Precondition, Store, StoreError, StoreRevision, SwapResult, WatchEvent,
};

/// The longest delay of a call by the rate limit.
pub const MAX_QUEUE_WAIT: Duration = Duration::from_millis(250);

/// After an idle period, as many calls may be made at once as the rate limit allows in this time.
const BURST_PERIOD: Duration = Duration::from_secs(1);

/// An instance's use of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Calls made since the start, including calls that opened a watch.
    pub calls: u64,
    /// Calls that were not sent because of the rate limit.
    pub refused: u64,
    /// Watches that are open now.
    pub watches: u64,
    /// The limit in calls per second; 0 for no limit.
    pub calls_per_second: u32,
}

/// A leaky-bucket rate limiter for calls to the store.
#[derive(Debug)]
pub struct RateLimiter {
    calls_per_second: u32,
    /// Used part of the burst, in seconds at the full rate; 0 when a full burst is available.
    used_s: f64,
    updated_at: Duration,
}

impl RateLimiter {
    /// Creates a rate limiter with a full burst available.
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            calls_per_second,
            used_s: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Reserves one call at the time `now`; returns the delay before the call may be sent.
    ///
    /// The burst of available calls is refilled at `calls_per_second`, less one call per second for
    /// each open watch. Returns `None`, and reserves nothing, if the delay would exceed
    /// [`MAX_QUEUE_WAIT`].
    pub fn take(&mut self, now: Duration, watches: u64) -> Option<Duration> {
        let rate = f64::from(self.calls_per_second);
        let refill_share = (rate - watches as f64).max(0.0) / rate;
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let used_s = (self.used_s - elapsed_s * refill_share).max(0.0) + 1.0 / rate;
        let excess_s = used_s - BURST_PERIOD.as_secs_f64();
        if excess_s > MAX_QUEUE_WAIT.as_secs_f64() * refill_share {
            return None;
        }
        self.used_s = used_s;
        self.updated_at = now.max(self.updated_at);
        match excess_s > 0.0 {
            true => Some(Duration::from_secs_f64(excess_s / refill_share)),
            false => Some(Duration::ZERO),
        }
    }
}

/// A store client that counts calls and limits their rate.
pub struct RateLimitedStore {
    inner: Arc<dyn Store>,
    shared: Arc<Shared>,
}

struct Shared {
    limiter: Mutex<RateLimiter>,
    start: Instant,
    calls_per_second: u32,
    calls: AtomicU64,
    refused: AtomicU64,
    watches: AtomicU64,
}

/// Counts a watch as open until this value is dropped.
struct OpenWatch(Arc<Shared>);

impl OpenWatch {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.watches.fetch_add(1, Ordering::Relaxed);
        metrics::gauge!("limpetstand_store_watches").increment(1.0);
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.watches.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("limpetstand_store_watches").decrement(1.0);
    }
}

impl RateLimitedStore {
    /// Creates a store client that limits the rate of calls to `inner`.
    pub fn new(inner: Arc<dyn Store>, calls_per_second: u32) -> Self {
        let calls_per_second = calls_per_second.max(1);
        metrics::gauge!("limpetstand_store_calls_per_second_allowed")
            .set(f64::from(calls_per_second));
        Self {
            inner,
            shared: Arc::new(Shared {
                limiter: Mutex::new(RateLimiter::new(calls_per_second)),
                start: Instant::now(),
                calls_per_second,
                calls: AtomicU64::new(0),
                refused: AtomicU64::new(0),
                watches: AtomicU64::new(0),
            }),
        }
    }

    async fn acquire(&self, kind: &'static str) -> Result<(), StoreError> {
        let shared = &self.shared;
        let watches = shared.watches.load(Ordering::Relaxed);
        let now = shared.start.elapsed();
        let wait = {
            let mut limiter = shared
                .limiter
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            limiter.take(now, watches)
        };
        let Some(wait) = wait else {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("limpetstand_store_calls_refused_total", "kind" => kind).increment(1);
            return Err(StoreError::RateLimited);
        };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        shared.calls.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("limpetstand_store_calls_total", "kind" => kind).increment(1);
        Ok(())
    }
}

/// Counts a failed call in the metrics and returns the result unchanged.
fn count_failure<T>(kind: &'static str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    let why = match &result {
        Err(StoreError::Unreachable(_)) => "unreachable",
        Err(StoreError::ResponseLost(_)) => "unknown",
        Err(StoreError::Refused(_)) => "refused",
        _ => return result,
    };
    metrics::counter!("limpetstand_store_failures_total", "kind" => kind, "why" => why)
        .increment(1);
    result
}

#[async_trait]
impl Store for RateLimitedStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.acquire("read").await?;
        count_failure("read", self.inner.get(key).await)
    }

    async fn revision(&self, key: &str) -> Result<Option<StoreRevision>, StoreError> {
        self.acquire("read").await?;
        count_failure("read", self.inner.revision(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.acquire("read").await?;
        count_failure("read", self.inner.list(prefix).await)
    }

    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        self.acquire("write").await?;
        count_failure("write", self.inner.swap(key, expect, value, lease).await)
    }

    async fn delete(&self, key: &str, revision: StoreRevision) -> Result<bool, StoreError> {
        self.acquire("write").await?;
        count_failure("write", self.inner.delete(key, revision).await)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.acquire("lease").await?;
        count_failure("lease", self.inner.grant(ttl).await)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.acquire("lease").await?;
        count_failure("lease", self.inner.keep_alive(lease).await)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.acquire("lease").await?;
        count_failure("lease", self.inner.revoke(lease).await)
    }

    async fn watch(&self, prefix: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        self.acquire("watch").await?;
        let events = count_failure("watch", self.inner.watch(prefix).await)?;
        let open_watch = OpenWatch::new(&self.shared);
        let (tx, rx) = mpsc::channel(events.max_capacity());
        tokio::spawn(forward_events(events, tx, open_watch));
        Ok(rx)
    }

    async fn list_at(&self, prefix: &str) -> Result<(Vec<Entry>, StoreRevision), StoreError> {
        self.acquire("read").await?;
        count_failure("read", self.inner.list_at(prefix).await)
    }

    async fn poll_changes(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<(Vec<WatchEvent>, StoreRevision), StoreError> {
        self.acquire("watch").await?;
        let _open_watch = OpenWatch::new(&self.shared);
        count_failure("watch", self.inner.poll_changes(prefix, after, wait).await)
    }

    fn era(&self) -> u64 {
        self.inner.era()
    }

    fn usage(&self) -> Usage {
        Usage {
            calls: self.shared.calls.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
            watches: self.shared.watches.load(Ordering::Relaxed),
            calls_per_second: self.shared.calls_per_second,
        }
    }
}

async fn forward_events(
    mut events: mpsc::Receiver<WatchEvent>,
    tx: mpsc::Sender<WatchEvent>,
    _open_watch: OpenWatch,
) {
    loop {
        let event = tokio::select! {
            () = tx.closed() => return,
            event = events.recv() => event,
        };
        let Some(event) = event else {
            return;
        };
        if tx.send(event).await.is_err() {
            return;
        }
    }
}
