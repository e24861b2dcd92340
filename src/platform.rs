//! The platform's instance list, client directory and weight store.
//!
//! The list and the directory use the JSON of Prometheus HTTP service discovery:
//! `[{"targets": ["ip:port"], "labels": {"id": "…", "kind": "instance|target", …}}]`.

pub mod http;
pub mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use smol_str::SmolStr;

use crate::id::{InstanceId, ModelId, RegionId, TargetId};

/// The state of a listed instance or target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// The instance or target is in service.
    Live,
    /// The instance or target is about to leave and must get no new requests.
    Leaving,
}

/// A listed instance of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance's identifier.
    pub id: InstanceId,
    /// The address on which the instance accepts callers.
    pub front: SocketAddr,
    /// The address on which the instance accepts other instances.
    pub peer: SocketAddr,
    /// The instance's region.
    pub region: RegionId,
    /// The instance's data centre.
    pub data_centre: SmolStr,
    /// Whether the instance is in service or leaving.
    pub state: ServiceState,
}

/// A listed target.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedTarget {
    /// The target's identifier.
    pub id: TargetId,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The target's region.
    pub region: RegionId,
    /// The target's data centre.
    pub data_centre: SmolStr,
    /// Whether the target is in service or leaving.
    pub state: ServiceState,
    /// Name of the target plug-in that implements the target's protocol.
    pub plugin: SmolStr,
    /// The models that the target has loaded; empty for a target without models.
    pub models: Vec<ModelId>,
    /// The service that the target belongs to, if the target serves no models.
    pub service: Option<SmolStr>,
    /// Capacity in generated tokens per second, or in requests per second if `service` is set.
    pub capacity: f64,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Price per 1000 tokens.
    pub price: f64,
}

/// The content of the instance list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Listing {
    /// The listed instances.
    pub instances: Vec<ListedInstance>,
    /// The listed targets.
    pub targets: Vec<ListedTarget>,
}

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("platform: {0}")]
pub struct PlatformError(pub String);

/// The list of instances and targets, which may lag behind the actual state.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    async fn read(&self) -> Result<Listing, PlatformError>;

    /// Waits until the list may have changed; never returns if the platform sends no notifications.
    async fn changed(&self) {
        std::future::pending::<()>().await;
    }
}

/// One entry of the client directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The address on which the instance accepts callers.
    pub front: SocketAddr,
    /// The instance's region.
    pub region: RegionId,
    /// Share of new callers for the instance, relative to the other entries.
    pub weight: u32,
}

/// The directory in which clients look up an instance before their first request.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Replaces the entries of a region.
    async fn publish(
        &self,
        region: &RegionId,
        entries: &[DirectoryEntry],
    ) -> Result<(), PlatformError>;
}

/// The weight store's answer for a version of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadResponse {
    /// The version exists and may be loaded now.
    Ready,
    /// The weight store's rate limit is exceeded; [`WeightStore::request_load`] may be called again after
    /// this time.
    RateLimited(Duration),
    /// The version does not exist.
    Unknown,
}

/// The rate-limited store of model weights.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Requests permission to load a version of a model. Each call counts against the weight
    /// store's rate limit.
    async fn request_load(
        &self,
        model: &ModelId,
        version: &str,
    ) -> Result<LoadResponse, PlatformError>;
}
