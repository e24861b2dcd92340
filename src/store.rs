//! Client interface to the platform's key-value store: compare-and-swap, leases and watches.
//!
//! A plug-in implements [`Store`] and registers a [`StorePlugin`] with `inventory`.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

mod client;
mod etcd;
mod etcd_watch;
mod etcd_wire;
pub mod rate_limit;

pub use self::client::{StoreClient, from_reqwest};

use self::rate_limit::{RateLimitedStore, Usage};

/// A store revision. The number means something only within its era: a store that comes back from an
/// older copy of its data begins a new era and gives out numbers again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// How often the store has come back from a copy; 0 for a store that does not say.
    pub era: u64,
    /// The number of the last change, which grows with each change in an era.
    pub number: i64,
}

impl From<i64> for StoreRevision {
    /// Returns a revision of a store without eras.
    fn from(number: i64) -> Self {
        Self { era: 0, number }
    }
}

/// A value with the revision at which it was last written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The store's revision of the last write to this key; its number is greater than 0.
    pub mod_revision: StoreRevision,
}

/// The precondition of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    Revision(StoreRevision),
}

/// The identity of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId {
    /// The number by which the store knows the lease; a later era may give it to another lease.
    pub number: i64,
    /// The era in which the lease was granted.
    pub era: u64,
}

impl From<i64> for LeaseId {
    /// Returns a lease of a store without eras.
    fn from(number: i64) -> Self {
        Self { number, era: 0 }
    }
}

/// The result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect at this revision.
    Done(StoreRevision),
    /// The precondition did not hold; contains the current entry, if the key exists.
    Conflict(Option<Entry>),
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(Entry),
    /// The key was deleted at this store revision.
    Delete(String, StoreRevision),
    /// Some changes were missed; the caller must read all watched keys again.
    Gap,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call did not reach the store, so it had no effect.
    #[error("store not reachable: {0}")]
    Unreachable(String),
    /// The response was lost; a write may have taken effect.
    #[error("store response lost: {0}")]
    ResponseLost(String),
    /// The instance has exhausted its rate limit for store calls; the call was not sent.
    #[error("rate limit for store calls exceeded")]
    RateLimited,
    /// The lease has expired or was revoked, or is of an earlier era.
    #[error("lease has expired")]
    LeaseExpired,
    /// The store or its client rejected the call.
    #[error("store call rejected: {0}")]
    Refused(String),
}

/// The platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads the store revision of a key's last write, without its value.
    async fn revision(&self, key: &str) -> Result<Option<StoreRevision>, StoreError> {
        Ok(self.get(key).await?.map(|entry| entry.mod_revision))
    }

    /// Reads all keys that start with `prefix`, in order of key.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError>;

    /// Writes `value` if `expect` holds; the store deletes the key when `lease` expires.
    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError>;

    /// Deletes `key` if it was last written at `revision`; returns `false` otherwise.
    async fn delete(&self, key: &str, revision: StoreRevision) -> Result<bool, StoreError>;

    /// Grants a lease of `ttl`; the etcd plug-in rounds `ttl` up to whole seconds.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns its new time to live.
    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError>;

    /// Revokes a lease and deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Watches keys that start with `prefix`; dropping the receiver ends the watch.
    ///
    /// The channel closes when the watch fails; the caller then starts a new watch.
    async fn watch(&self, prefix: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError>;

    /// Reads all keys that start with `prefix`, and a store revision; [`Store::poll_changes`] after
    /// that revision returns every change that this read may have missed.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] if the store does not report revisions with lists.
    async fn list_at(&self, _prefix: &str) -> Result<(Vec<Entry>, StoreRevision), StoreError> {
        Err(StoreError::Refused(
            "this store does not report revisions with lists".to_owned(),
        ))
    }

    /// Waits up to `wait` for changes after a revision; returns them with the revision to pass to
    /// the next call. A [`WatchEvent::Gap`] means that the store no longer has the history, or has
    /// begun a new era.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] if the store does not keep a history.
    async fn poll_changes(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<(Vec<WatchEvent>, StoreRevision), StoreError> {
        Err(StoreError::Refused(
            "this store keeps no history of changes".to_owned(),
        ))
    }

    /// Returns the latest era that an answer of the store has told; 0 for a store without eras.
    fn era(&self) -> u64 {
        0
    }

    /// Returns the number of calls that this instance has made; all zero if calls are not counted.
    fn usage(&self) -> Usage {
        Usage::default()
    }
}

/// Connection settings of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreOptions {
    address: String,
    timeout: Duration,
    source: Option<IpAddr>,
    calls_per_second: Option<u32>,
}

impl StoreOptions {
    /// The default time-out of one call.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

    /// Options for the store at `address`, such as `http://10.0.0.5:2379`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            timeout: Self::DEFAULT_TIMEOUT,
            source: None,
            calls_per_second: None,
        }
    }

    /// Sets the time-out of each call.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the local address that connections are opened from.
    #[must_use]
    pub fn source(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Limits the calls per second; each open watch counts as one call per second.
    #[must_use]
    pub fn calls_per_second(mut self, calls: u32) -> Self {
        self.calls_per_second = Some(calls);
        self
    }
}

/// A store implementation, registered with `inventory::submit!`.
pub struct StorePlugin {
    /// The name used in settings, such as `etcd`.
    pub name: &'static str,
    /// Creates a client of the store, which connects on its first call.
    pub connect: fn(&StoreOptions) -> Result<Arc<dyn Store>, StoreError>,
}

inventory::collect!(StorePlugin);

/// Returns whether a store plug-in of this name is registered.
pub fn is_known(name: &str) -> bool {
    inventory::iter::<StorePlugin>
        .into_iter()
        .any(|plugin| plugin.name == name)
}

/// Creates a client with the named store plug-in; the client connects on its first call.
///
/// # Errors
///
/// [`StoreError::Refused`] if no plug-in of that name is registered or the options are invalid.
pub fn connect(name: &str, options: &StoreOptions) -> Result<Arc<dyn Store>, StoreError> {
    for plugin in inventory::iter::<StorePlugin> {
        if plugin.name != name {
            continue;
        }
        let store = (plugin.connect)(options)?;
        return Ok(match options.calls_per_second {
            Some(calls) => Arc::new(RateLimitedStore::new(store, calls)),
            None => store,
        });
    }
    Err(StoreError::Refused(format!(
        "no store plug-in named `{name}` is registered"
    )))
}
