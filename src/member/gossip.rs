//! Updates that are still to be sent to other instances.

use std::collections::BTreeMap;

/// Number of times one update is sent, as a multiple of the binary logarithm of the fleet's size.
const SENDS_PER_LOG2_SIZE: u32 = 3;

/// Pending updates by key; each update is sent a bounded number of times, the least sent first.
#[derive(Debug, Clone)]
pub struct Gossip<K> {
    sent: BTreeMap<K, u32>,
}

impl<K> Default for Gossip<K> {
    fn default() -> Self {
        Self {
            sent: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord> Gossip<K> {
    /// Adds an update; if an update with the same key is pending, resets the send count of that
    /// update.
    pub fn add(&mut self, key: K) {
        self.sent.insert(key, 0);
    }

    /// Removes the update of a key.
    pub fn remove(&mut self, key: &K) {
        self.sent.remove(key);
    }

    /// Returns whether no update is pending.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns the least sent updates that fit into `bytes` and counts them as sent. `size_of`
    /// returns the size of an update in bytes, or `None` to skip the update.
    pub fn take(
        &mut self,
        fleet: usize,
        bytes: usize,
        mut size_of: impl FnMut(&K) -> Option<usize>,
    ) -> Vec<K> {
        let mut pending: Vec<(u32, K)> = Vec::with_capacity(self.sent.len());
        for (key, sent) in &self.sent {
            pending.push((*sent, key.clone()));
        }
        pending.sort();
        let mut remaining = bytes;
        let mut taken = Vec::new();
        for (_, key) in pending {
            let Some(size) = size_of(&key) else {
                continue;
            };
            if size > remaining {
                continue;
            }
            remaining -= size;
            self.record_send(&key, max_sends(fleet));
            taken.push(key);
        }
        taken
    }

    fn record_send(&mut self, key: &K, max_sends: u32) {
        let Some(sent) = self.sent.get_mut(key) else {
            return;
        };
        *sent += 1;
        if *sent >= max_sends {
            self.sent.remove(key);
        }
    }
}

fn max_sends(fleet: usize) -> u32 {
    let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
    SENDS_PER_LOG2_SIZE * (fleet.saturating_add(1).ilog2() + 1)
}
