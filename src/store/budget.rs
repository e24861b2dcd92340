//! The calls that an instance may make to the store: counted, bounded, shown.
//!
//! A waiting watch counts as one call for each second that it waits. A call that would exceed the
//! budget waits for its turn if that comes soon; otherwise it is not sent.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Entry, Expect, LeaseId, Store, StoreError, Swap, WatchEvent};

/// The longest that a call waits for its turn.
pub const LONGEST_QUEUE: Duration = Duration::from_millis(250);

/// How much of a second's calls may be made at once after a pause.
const BURST: Duration = Duration::from_secs(1);

/// What an instance has used of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Calls made since the start, opened watches included.
    pub calls: u64,
    /// Calls that were not sent because the budget was spent.
    pub refused: u64,
    /// Watches that wait now.
    pub watches: u64,
    /// Calls a second that may be made; 0 for no bound.
    pub calls_per_second: u32,
}

/// Calls spread over time: how many may be made, and when the next one may.
#[derive(Debug)]
pub struct Budget {
    calls_per_second: u32,
    /// Seconds of the budget that are spent; 0 when a whole burst may be made.
    spent: f64,
    at: Duration,
}

impl Budget {
    /// Starts with a whole burst unspent.
    pub fn of(calls_per_second: u32) -> Self {
        Self {
            calls_per_second,
            spent: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Takes one call at the time `now`; returns how long to wait before it is sent.
    ///
    /// Waiting watches slow down how the budget refills. `None` means that the turn comes too
    /// late, and nothing is taken.
    pub fn take(&mut self, now: Duration, watches: u64) -> Option<Duration> {
        let rate = f64::from(self.calls_per_second);
        let free = (rate - watches as f64).max(0.0) / rate;
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let spent = (self.spent - passed * free).max(0.0) + 1.0 / rate;
        let over = spent - BURST.as_secs_f64();
        if over > LONGEST_QUEUE.as_secs_f64() * free {
            return None;
        }
        self.spent = spent;
        self.at = now.max(self.at);
        match over > 0.0 {
            true => Some(Duration::from_secs_f64(over / free)),
            false => Some(Duration::ZERO),
        }
    }
}

/// A store whose calls are counted and bounded.
pub struct BudgetedStore {
    inner: Arc<dyn Store>,
    shared: Arc<Shared>,
}

struct Shared {
    budget: Mutex<Budget>,
    start: Instant,
    calls_per_second: u32,
    calls: AtomicU64,
    refused: AtomicU64,
    watches: AtomicU64,
}

/// Keeps a watch counted while it waits.
struct Waiting(Arc<Shared>);

impl Waiting {
    fn of(shared: &Arc<Shared>) -> Self {
        shared.watches.fetch_add(1, Ordering::Relaxed);
        metrics::gauge!("limpetstand_store_watches").increment(1.0);
        Self(Arc::clone(shared))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.watches.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("limpetstand_store_watches").decrement(1.0);
    }
}

impl BudgetedStore {
    /// Bounds the calls to `inner`.
    pub fn new(inner: Arc<dyn Store>, calls_per_second: u32) -> Self {
        let calls_per_second = calls_per_second.max(1);
        metrics::gauge!("limpetstand_store_calls_per_second_allowed")
            .set(f64::from(calls_per_second));
        Self {
            inner,
            shared: Arc::new(Shared {
                budget: Mutex::new(Budget::of(calls_per_second)),
                start: Instant::now(),
                calls_per_second,
                calls: AtomicU64::new(0),
                refused: AtomicU64::new(0),
                watches: AtomicU64::new(0),
            }),
        }
    }

    async fn turn(&self, kind: &'static str) -> Result<(), StoreError> {
        let shared = &self.shared;
        let watches = shared.watches.load(Ordering::Relaxed);
        let now = shared.start.elapsed();
        let wait = {
            let mut budget = shared.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.take(now, watches)
        };
        let Some(wait) = wait else {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("limpetstand_store_calls_refused_total", "kind" => kind).increment(1);
            return Err(StoreError::Budget);
        };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        shared.calls.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("limpetstand_store_calls_total", "kind" => kind).increment(1);
        Ok(())
    }
}

/// Counts an answer that did not come, and passes the result on.
fn counted<T>(kind: &'static str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    let why = match &result {
        Err(StoreError::Unreachable(_)) => "unreachable",
        Err(StoreError::Unknown(_)) => "unknown",
        Err(StoreError::Refused(_)) => "refused",
        _ => return result,
    };
    metrics::counter!("limpetstand_store_failures_total", "kind" => kind, "why" => why)
        .increment(1);
    result
}

#[async_trait]
impl Store for BudgetedStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.turn("read").await?;
        counted("read", self.inner.get(key).await)
    }

    async fn revision(&self, key: &str) -> Result<Option<i64>, StoreError> {
        self.turn("read").await?;
        counted("read", self.inner.revision(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.turn("read").await?;
        counted("read", self.inner.list(prefix).await)
    }

    async fn swap(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.turn("write").await?;
        counted("write", self.inner.swap(key, expect, value, lease).await)
    }

    async fn delete(&self, key: &str, revision: i64) -> Result<bool, StoreError> {
        self.turn("write").await?;
        counted("write", self.inner.delete(key, revision).await)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.turn("lease").await?;
        counted("lease", self.inner.grant(ttl).await)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.turn("lease").await?;
        counted("lease", self.inner.keep_alive(lease).await)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.turn("lease").await?;
        counted("lease", self.inner.revoke(lease).await)
    }

    async fn watch(&self, prefix: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        self.turn("watch").await?;
        let events = counted("watch", self.inner.watch(prefix).await)?;
        let waiting = Waiting::of(&self.shared);
        let (tx, rx) = mpsc::channel(events.max_capacity());
        tokio::spawn(pass_on(events, tx, waiting));
        Ok(rx)
    }

    async fn list_at(&self, prefix: &str) -> Result<(Vec<Entry>, i64), StoreError> {
        self.turn("read").await?;
        counted("read", self.inner.list_at(prefix).await)
    }

    async fn changes(
        &self,
        prefix: &str,
        after: i64,
        wait: Duration,
    ) -> Result<(Vec<WatchEvent>, i64), StoreError> {
        self.turn("watch").await?;
        let _waiting = Waiting::of(&self.shared);
        counted("watch", self.inner.changes(prefix, after, wait).await)
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

async fn pass_on(
    mut events: mpsc::Receiver<WatchEvent>,
    tx: mpsc::Sender<WatchEvent>,
    _waiting: Waiting,
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
