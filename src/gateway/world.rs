//! What an instance believes of the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use smol_str::SmolStr;

use super::registry::Known;
use super::routes::RouteTable;
use crate::id::{RegionId, TargetId};
use crate::platform::ListedInstance;

/// The platform as this instance sees it now; published through a `watch` channel.
#[derive(Debug, Clone, Default)]
pub struct World {
    /// The configuration in force; `None` before any is known.
    pub table: Option<Arc<RouteTable>>,
    /// Data centres whose targets take nothing new.
    pub evacuated: BTreeSet<SmolStr>,
    /// The targets.
    pub targets: BTreeMap<TargetId, Known>,
    /// Whether the registry of targets has been read.
    pub registry_known: bool,
    /// The instances that have announced themselves.
    pub instances: Vec<ListedInstance>,
    /// The region of each data centre.
    pub regions: BTreeMap<SmolStr, RegionId>,
}

impl World {
    /// Returns the region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }

    /// Returns the requests a second that a cold target of a service bears.
    pub fn warmup_per_s(&self, service: &str) -> f64 {
        self.table
            .as_ref()
            .and_then(|table| table.services.get(service))
            .map_or(0.0, |service| service.warmup_per_s)
    }
}
