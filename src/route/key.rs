//! Compact keys for targets and regions, and the names of pools.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::call::Operation;
use crate::id::ModelId;
use crate::platform::ListedTarget;

/// Index of a target of the local region.
///
/// The key stays valid while the target is listed or has a request in flight; afterwards it may be
/// reused for another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub(super) u32);

impl TargetKey {
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

/// Index of a region other than the local region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub(super) u16);

impl RegionKey {
    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The name of a pool, a set of interchangeable targets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PoolName {
    /// The pool of the targets with this model or adapter loaded.
    Model(ModelId),
    /// The pool of the targets of this plain HTTP service.
    Service(SmolStr),
}

impl PoolName {
    /// Returns the pool that serves a request.
    ///
    /// For a plain service, the pool is `service`, the name given by the request's route.
    pub fn of_operation(operation: &Operation, service: &str) -> Self {
        match operation {
            Operation::Model { model, .. } => Self::Model(model.clone()),
            Operation::Service { .. } => Self::Service(service.into()),
        }
    }

    /// Returns all pools that a listed target belongs to.
    pub fn of_target(target: &ListedTarget) -> Vec<Self> {
        let mut names = Vec::with_capacity(target.models.len() + 1);
        for model in &target.models {
            names.push(Self::Model(model.clone()));
        }
        if let Some(service) = &target.service {
            names.push(Self::Service(service.clone()));
        }
        names
    }
}
