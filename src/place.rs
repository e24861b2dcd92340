//! Placement of models: which models, versions and adapters targets should have loaded, and the
//! orders that load and unload them.
//!
//! In each region, one instance holds the lease on the region's targets and is the only one that
//! sends them orders. [`Controller`] decides on the orders; [`holder::spawn_holder`] acquires the
//! lease and sends the orders.

pub mod controller;
pub mod engine;
pub mod holder;
pub mod lease;
pub mod plan;
pub mod record;
pub mod routes;

pub use controller::Controller;

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::{ModelId, TargetId};

/// The version that is loaded if the configuration names none.
pub const DEFAULT_VERSION: &str = "latest";

/// A command to a target. An order states the desired result, so the same order may be sent twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// Load this version of a model.
    Load {
        /// The model.
        model: ModelId,
        /// The version of the model's weights.
        version: SmolStr,
    },
    /// Load an adapter.
    AddAdapter(SmolStr),
    /// Unload an adapter.
    RemoveAdapter(SmolStr),
}

/// Why an order failed, or why its result is unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// No byte of the order can have reached the target.
    #[error("order not sent to the target: {0}")]
    NotReached(String),
    /// The order was not sent, because this instance has lost the lease on the region's targets, or
    /// the lease would expire before the order's delivery timeout.
    #[error("order not sent: the lease expires before the order's delivery timeout")]
    LeaseTooShort,
    /// The target rejected the order, because it has seen an order with a higher fencing token.
    #[error("target has seen a higher fencing token")]
    Fenced,
    /// The target rejected the order with this HTTP status.
    #[error("target rejected the order: status {0}")]
    Refused(u16),
    /// The response was lost: the target may or may not have carried out the order.
    #[error("target's response lost or unreadable: {0}")]
    Unknown(String),
}

/// A function that returns whether the lease remains valid for long enough to send an order. The
/// function is called immediately before the order is sent.
pub type LeaseCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// A client that sends orders to targets.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Sends an order and waits for its result.
    async fn send_order(
        &self,
        address: SocketAddr,
        order: &Order,
        fencing: u64,
        lease_check: LeaseCheck,
    ) -> Result<(), OrderError>;

    /// Returns the names of the models and adapters that a target has loaded.
    async fn loaded_names(&self, address: SocketAddr) -> Result<Vec<SmolStr>, OrderError>;
}

/// Why the desired placement of a model cannot be reached.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// Every other target is needed for the models that the target has.
    NoFreeTarget,
    /// This target cannot load another version because no other target serves the target's models.
    LastServing(TargetId),
    /// The weight store does not have this version.
    NoSuchVersion(SmolStr),
}

/// The progress of one model's placement in one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The model.
    pub model: ModelId,
    /// The desired number of targets.
    pub wanted: u32,
    /// The number of live targets that have the desired version.
    pub placed: u32,
    /// Why the placement cannot be reached, if an obstacle is known.
    pub obstacle: Option<Obstacle>,
}

/// The progress of all placements in a region, as the lease holder sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Status {
    /// The fencing token of the lease, if this instance holds the lease.
    pub fencing: Option<u64>,
    /// The number of orders in flight.
    pub orders: u32,
    /// The progress of each model that is placed in the region.
    pub models: Vec<Progress>,
}
