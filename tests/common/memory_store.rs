//! An in-memory store with faults that a test sets.

#![allow(dead_code, reason = "each test uses a part of it")]
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use limpetstand::store::{
    Entry, LeaseId, Precondition, Store, StoreError, StoreRevision, SwapResult, WatchEvent,
};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The faults of a store or of one connection to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    /// No call reaches the store, and watches end.
    pub(crate) down: bool,
    /// Each call takes this long.
    pub(crate) delay: Duration,
    /// This number of next writes take effect, but their answers are lost.
    pub(crate) lose_answers: u32,
    /// This number of next writes do not take effect, and their answers are lost.
    pub(crate) lose_writes: u32,
    /// This number of next swaps get no answer and take effect after [`LATE_SWAP_DELAY`].
    pub(crate) late_swaps: u32,
    /// Watches stay open without events.
    pub(crate) silence_watches: bool,
}

struct Watcher {
    prefix: String,
    tx: mpsc::Sender<WatchEvent>,
    /// Faults of the connection on which the watch was opened.
    connection_faults: Arc<Mutex<Faults>>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct Data {
    revision: i64,
    entries: BTreeMap<String, (Entry, Option<LeaseId>)>,
    leases: BTreeMap<i64, Lease>,
    watchers: Vec<Watcher>,
    faults: Faults,
}

/// The delay after which a late swap takes effect.
const LATE_SWAP_DELAY: Duration = Duration::from_millis(300);

/// An in-memory store, or one connection to it.
#[derive(Default)]
pub(crate) struct MemoryStore {
    data: Arc<Mutex<Data>>,
    calls: Arc<AtomicU64>,
    /// Faults of this connection only.
    connection_faults: Arc<Mutex<Faults>>,
    is_connection: bool,
}

impl MemoryStore {
    pub(crate) fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns another connection to the same store, which has faults of its own in addition to the
    /// store's.
    pub(crate) fn connection(&self) -> Arc<Self> {
        Arc::new(Self {
            data: Arc::clone(&self.data),
            calls: Arc::clone(&self.calls),
            connection_faults: Arc::default(),
            is_connection: true,
        })
    }

    /// Changes the faults of the store or of this connection.
    ///
    /// Watches on a connection that is down stay open without events, as on a cut link.
    pub(crate) fn faults(&self, set: impl FnOnce(&mut Faults)) {
        if self.is_connection {
            set(&mut self.connection_faults.lock().expect("present"));
            return;
        }
        let mut data = self.lock();
        set(&mut data.faults);
        if data.faults.down {
            data.watchers.clear();
        }
    }

    fn connection_faults(&self) -> Faults {
        self.connection_faults.lock().expect("present").clone()
    }

    /// Returns the number of calls, including opened watches.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Closes all watches.
    pub(crate) fn break_watches(&self) {
        self.lock().watchers.clear();
    }

    /// Sends a gap event to all watches and closes them, as after a compaction.
    pub(crate) fn compact_watches(&self) {
        for watcher in self.lock().watchers.drain(..) {
            let _ = watcher.tx.try_send(WatchEvent::Gap);
        }
    }

    /// Returns a copy of all entries, for [`Self::restore`].
    pub(crate) fn copy(&self) -> BTreeMap<String, Bytes> {
        let data = self.lock();
        let values = data.entries.iter();
        values
            .map(|(k, (e, _))| (k.clone(), e.value.clone()))
            .collect()
    }

    /// Restores an earlier copy of all entries, as from a backup.
    pub(crate) fn restore(&self, copy: &BTreeMap<String, Bytes>) {
        let mut data = self.lock();
        data.entries.clear();
        for (key, value) in copy {
            put(&mut data, key, value.clone(), None);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        let mut data = self.data.lock().expect("present");
        expire_leases(&mut data);
        data
    }

    async fn call(&self) -> Result<MutexGuard<'_, Data>, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let delay = self.lock().faults.delay + self.connection_faults().delay;
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        let data = self.lock();
        if data.faults.down || self.connection_faults().down {
            return Err(StoreError::Unreachable("down".into()));
        }
        Ok(data)
    }

    async fn write(&self) -> Result<MutexGuard<'_, Data>, StoreError> {
        let mut data = self.call().await?;
        if data.faults.lose_writes > 0 {
            data.faults.lose_writes -= 1;
            return Err(StoreError::ResponseLost("write lost".into()));
        }
        Ok(data)
    }
}

fn expire_leases(data: &mut Data) {
    let now = Instant::now();
    let expired: Vec<i64> = data
        .leases
        .iter()
        .filter(|(_, l)| l.until <= now)
        .map(|(id, _)| *id)
        .collect();
    for id in expired {
        end_lease(data, LeaseId::from(id));
    }
}

fn end_lease(data: &mut Data, lease: LeaseId) {
    data.leases.remove(&lease.number);
    let held = data.entries.iter().filter(|(_, (_, l))| *l == Some(lease));
    let keys: Vec<String> = held.map(|(k, _)| k.clone()).collect();
    for key in keys {
        remove(data, &key);
    }
}

fn put(data: &mut Data, key: &str, value: Bytes, lease: Option<LeaseId>) -> StoreRevision {
    data.revision += 1;
    let entry = Entry {
        key: key.to_owned(),
        value,
        mod_revision: data.revision.into(),
    };
    data.entries.insert(key.to_owned(), (entry.clone(), lease));
    notify_watchers(data, key, WatchEvent::Put(entry));
    data.revision.into()
}

fn remove(data: &mut Data, key: &str) {
    data.revision += 1;
    data.entries.remove(key);
    let revision = data.revision.into();
    notify_watchers(data, key, WatchEvent::Delete(key.to_owned(), revision));
}

fn notify_watchers(data: &mut Data, key: &str, event: WatchEvent) {
    if data.faults.silence_watches {
        return;
    }
    data.watchers.retain(|w| {
        let is_notified =
            key.starts_with(&w.prefix) && !w.connection_faults.lock().expect("present").down;
        !is_notified || w.tx.try_send(event.clone()).is_ok()
    });
}

fn swap(
    data: &mut Data,
    key: &str,
    expect: Precondition,
    value: Bytes,
    lease: Option<LeaseId>,
) -> Result<SwapResult, StoreError> {
    if lease.is_some_and(|l| !data.leases.contains_key(&l.number)) {
        return Err(StoreError::LeaseExpired);
    }
    let found = data.entries.get(key).map(|(e, _)| e.clone());
    let holds = match (&found, expect) {
        (None, Precondition::Absent) => true,
        (Some(e), Precondition::Revision(n)) => e.mod_revision == n,
        _ => false,
    };
    if !holds {
        return Ok(SwapResult::Conflict(found));
    }
    Ok(SwapResult::Done(put(data, key, value, lease)))
}

/// Returns the answer to a write that has taken effect, or an error if the answer is to be lost.
fn answer<T>(data: &mut Data, answer: T) -> Result<T, StoreError> {
    if data.faults.lose_answers > 0 {
        data.faults.lose_answers -= 1;
        return Err(StoreError::ResponseLost("answer lost".into()));
    }
    Ok(answer)
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let data = self.call().await?;
        Ok(data.entries.get(key).map(|(e, _)| e.clone()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let data = self.call().await?;
        let found = data.entries.range(prefix.to_owned()..);
        let found = found.take_while(|(k, _)| k.starts_with(prefix));
        Ok(found.map(|(_, (e, _))| e.clone()).collect())
    }

    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        let mut data = self.write().await?;
        if data.faults.late_swaps > 0 {
            data.faults.late_swaps -= 1;
            let (all, key) = (Arc::clone(&self.data), key.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(LATE_SWAP_DELAY).await;
                let _ = swap(
                    &mut all.lock().expect("present"),
                    &key,
                    expect,
                    value,
                    lease,
                );
            });
            return Err(StoreError::ResponseLost("swap delayed".into()));
        }
        let swapped = swap(&mut data, key, expect, value, lease)?;
        answer(&mut data, swapped)
    }

    async fn delete(&self, key: &str, revision: StoreRevision) -> Result<bool, StoreError> {
        let mut data = self.write().await?;
        let stored = data.entries.get(key).map(|(e, _)| e.mod_revision);
        if stored != Some(revision) {
            return answer(&mut data, false);
        }
        remove(&mut data, key);
        answer(&mut data, true)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let mut data = self.write().await?;
        data.revision += 1;
        let id = data.revision;
        let until = Instant::now() + ttl;
        data.leases.insert(id, Lease { ttl, until });
        answer(&mut data, LeaseId::from(id))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let mut data = self.write().await?;
        let Some(held) = data.leases.get_mut(&lease.number) else {
            return Err(StoreError::LeaseExpired);
        };
        held.until = Instant::now() + held.ttl;
        let ttl = held.ttl;
        answer(&mut data, ttl)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut data = self.write().await?;
        end_lease(&mut data, lease);
        answer(&mut data, ())
    }

    async fn watch(&self, prefix: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        let mut data = self.call().await?;
        let (tx, rx) = mpsc::channel(64);
        data.watchers.push(Watcher {
            prefix: prefix.to_owned(),
            tx,
            connection_faults: Arc::clone(&self.connection_faults),
        });
        Ok(rx)
    }
}
