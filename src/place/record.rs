//! The last known models and adapters of targets, kept in the store for the next lease holder.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Order;
use super::plan::TargetState;
use crate::id::{ModelId, TargetId};

/// The models and adapters of each target of a region.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Record {
    targets: BTreeMap<TargetId, TargetRecord>,
}

/// The models and adapters of one target.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The target's models, with the versions that were ordered.
    #[serde(default)]
    pub models: BTreeMap<ModelId, Option<SmolStr>>,
    /// The adapters that the target was ordered to load.
    #[serde(default)]
    pub adapters: BTreeSet<SmolStr>,
}

impl Record {
    /// Creates a record of the given targets.
    ///
    /// If a load is in flight to a target, the record has no models for the target: the next holder
    /// must not rely on models that the load may replace.
    pub fn from_states<'a>(states: impl IntoIterator<Item = &'a TargetState>) -> Self {
        let mut targets = BTreeMap::new();
        for state in states {
            let mut record = TargetRecord {
                models: state.models.clone(),
                adapters: state.adapters.clone(),
            };
            if let Some(Order::Load { .. }) = state.order_in_flight {
                record.models.clear();
            }
            targets.insert(state.id.clone(), record);
        }
        Self { targets }
    }

    /// Returns the last known models and adapters of one target.
    pub fn target(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.targets.get(id)
    }
}
