//! The instances of a run with their state, and the choice of an instance for a caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

/// How long callers avoid an address after a failed connection or a `leaving` refusal.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// The state of an instance as the scenario set it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InstanceState {
    /// The instance accepts requests.
    Serving,
    /// The instance was told to shut down and drains.
    Leaving,
    /// The instance was killed or its process is stopped.
    Unavailable,
}

/// One instance with its addresses.
#[derive(Debug, Clone)]
pub(super) struct InstanceEntry {
    pub(super) id: String,
    pub(super) region: usize,
    pub(super) front: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) state: InstanceState,
}

#[derive(Debug, Default)]
struct Inner {
    entries: Vec<InstanceEntry>,
    isolated_regions: Vec<usize>,
    /// For each region, the addresses that the directory lists for its callers.
    advertised: Vec<Vec<SocketAddr>>,
    /// When each address last refused a connection or a request because it was leaving.
    avoided_since: HashMap<SocketAddr, Instant>,
}

/// All instances of a run, and the regions that are isolated.
#[derive(Debug, Default)]
pub(super) struct InstanceTable {
    inner: Mutex<Inner>,
}

impl InstanceTable {
    pub(super) fn add(&self, entry: InstanceEntry) {
        self.lock().entries.push(entry);
    }

    pub(super) fn set_state(&self, id: &str, state: InstanceState) {
        for entry in &mut self.lock().entries {
            if entry.id == id {
                entry.state = state;
            }
        }
    }

    pub(super) fn set_isolated(&self, region: usize, isolated: bool) {
        let mut inner = self.lock();
        inner.isolated_regions.retain(|r| *r != region);
        if isolated {
            inner.isolated_regions.push(region);
        }
    }

    /// Replaces the addresses that the directory lists for callers of a region.
    pub(super) fn set_advertised(&self, region: usize, advertised: Vec<SocketAddr>) {
        let mut inner = self.lock();
        if inner.advertised.len() <= region {
            inner.advertised.resize(region + 1, Vec::new());
        }
        inner.advertised[region] = advertised;
    }

    /// Avoids an address for [`AVOID_TIME`] as long as there is another one.
    pub(super) fn avoid(&self, front: SocketAddr) {
        self.lock().avoided_since.insert(front, Instant::now());
    }

    /// Returns the state of the instance at an address; `Unavailable` if there is none.
    pub(super) fn state_at(&self, front: SocketAddr) -> InstanceState {
        let inner = self.lock();
        let found = inner.entries.iter().find(|e| e.front == front);
        found.map_or(InstanceState::Unavailable, |e| e.state)
    }

    /// Returns the serving instances outside isolated regions.
    pub(super) fn reachable(&self) -> Vec<InstanceEntry> {
        let inner = self.lock();
        let mut found = Vec::new();
        for entry in &inner.entries {
            let isolated = inner.isolated_regions.contains(&entry.region);
            if entry.state == InstanceState::Serving && !isolated {
                found.push(entry.clone());
            }
        }
        found
    }

    /// Picks a random address for a caller of a region, except those in `failed`.
    ///
    /// Falls back to all instances of the region while the directory lists none for it.
    pub(super) fn pick(
        &self,
        region: usize,
        failed: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let inner = self.lock();
        let mut candidates: Vec<SocketAddr> =
            inner.advertised.get(region).cloned().unwrap_or_default();
        if candidates.is_empty() {
            for entry in &inner.entries {
                if entry.region == region {
                    candidates.push(entry.front);
                }
            }
        }
        candidates.retain(|front| !failed.contains(front));
        let mut not_avoided = candidates.clone();
        not_avoided.retain(|front| {
            let since = inner.avoided_since.get(front);
            since.is_none_or(|since| since.elapsed() > AVOID_TIME)
        });
        if !not_avoided.is_empty() {
            candidates = not_avoided;
        }
        candidates.choose(rng).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
