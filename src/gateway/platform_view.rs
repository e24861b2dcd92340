//! An instance's view of the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use smol_str::SmolStr;

use super::registry::KnownTarget;
use super::routes::RouteTable;
use crate::id::{RegionId, TargetId};
use crate::platform::ListedInstance;

/// The instance's current view of the platform, published through a `watch` channel.
#[derive(Debug, Clone, Default)]
pub struct PlatformView {
    /// The routing configuration in force; `None` until the first configuration is loaded.
    pub route_table: Option<Arc<RouteTable>>,
    /// Data centres whose targets get no new requests.
    pub evacuated_data_centres: BTreeSet<SmolStr>,
    /// The known targets.
    pub targets: BTreeMap<TargetId, KnownTarget>,
    /// Whether the target registry has been loaded.
    pub registry_loaded: bool,
    /// The instances that have entries in the store.
    pub instances: Vec<ListedInstance>,
    /// The region of each data centre.
    pub region_by_data_centre: BTreeMap<SmolStr, RegionId>,
}

impl PlatformView {
    /// Returns the region of a data centre, if the settings name the data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&RegionId> {
        self.region_by_data_centre.get(data_centre)
    }

    /// Returns how many requests per second a cold target of a service can take; 0 if the service
    /// is unknown.
    pub fn warmup_per_s(&self, service: &str) -> f64 {
        self.route_table
            .as_ref()
            .and_then(|table| table.services.get(service))
            .map_or(0.0, |service| service.warmup_per_s)
    }
}
