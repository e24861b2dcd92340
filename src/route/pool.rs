//! Index of targets by pool.

use std::collections::HashMap;

use rand::Rng;

use super::key::{PoolName, TargetKey};
use super::remote::RemotePool;

/// Key of a pool, valid until the next fleet update.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PoolKey(u32);

/// The targets of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    key: PoolKey,
    /// Targets of the local region that are not leaving.
    pub(super) local: Vec<TargetKey>,
    /// Running sums of the local targets' capacities, for weighted sampling.
    cumulative_capacity: Vec<f64>,
    /// The pool's targets in other regions, indexed by region key.
    pub(super) remote: Vec<RemotePool>,
    /// Whether any target of the pool is listed in the local region, including leaving targets.
    pub(super) listed_locally: bool,
}

impl Pool {
    pub(super) fn key(&self) -> PoolKey {
        self.key
    }

    /// Adds a target of the local region.
    pub(super) fn add_local(&mut self, key: TargetKey, capacity: f64) {
        let before = self.cumulative_capacity.last().copied().unwrap_or(0.0);
        self.local.push(key);
        self.cumulative_capacity
            .push(before + capacity.max(f64::MIN_POSITIVE));
    }

    /// Returns the total throughput of the local targets in tokens per second.
    pub(super) fn capacity(&self) -> f64 {
        self.cumulative_capacity.last().copied().unwrap_or(0.0)
    }

    /// Returns a random target of the local region, weighted by capacity.
    pub(super) fn sample(&self, rng: &mut dyn rand::RngCore) -> Option<TargetKey> {
        let point = rng.random::<f64>() * self.capacity();
        let index = self
            .cumulative_capacity
            .partition_point(|sum| *sum <= point);
        self.local
            .get(index.min(self.local.len().saturating_sub(1)))
            .copied()
    }
}

/// All pools, by name.
#[derive(Debug, Default)]
pub(super) struct Pools(HashMap<PoolName, Pool>);

impl Pools {
    pub(super) fn get(&self, name: &PoolName) -> Option<&Pool> {
        self.0.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &PoolName) -> Option<&mut Pool> {
        self.0.get_mut(name)
    }

    pub(super) fn get_or_add(&mut self, name: PoolName) -> &mut Pool {
        let key = PoolKey(self.0.len() as u32);
        self.0.entry(name).or_insert_with(|| Pool {
            key,
            ..Pool::default()
        })
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&PoolName, &Pool)> {
        self.0.iter()
    }
}
