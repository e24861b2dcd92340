//! The configuration that operators write and all instances apply.
//!
//! Operators write a tree of TOML documents. Each accepted change makes a new revision of the tree.
//! The store keeps the text of each document as a blob under the hash of its bytes; the head, a
//! single value in the store, lists the blobs of the newest revision. A [`Snapshot`] is the whole
//! tree at one revision, parsed and checked.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id::{KeyId, ModelId, OrganisationId, RegionId, RouteId};

pub mod blob;
mod check;
pub mod commit;
pub mod distribution;
pub mod fault;
pub mod head;
pub mod loaded;
mod locate;
pub mod operator;
pub mod path;
pub mod tree;

/// The number of a revision of the whole tree; a greater number is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// An organisation, with its rate limit and the regions in which its requests may run.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The rate limit over the whole fleet, in tokens per second.
    pub rate: u64,
    /// The number of tokens that the organisation may use at once, in addition to the rate.
    pub burst: u64,
    /// The organisation's share of target capacity when requests of several organisations wait,
    /// relative to the weights of the other organisations.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The regions in which the organisation's requests may run; absent means all.
    pub regions: Option<Vec<RegionId>>,
    /// The maximum age of the configuration, in seconds, at which the organisation's keys are
    /// accepted.
    pub max_config_age_s: Option<u64>,
}

impl Organisation {
    /// Returns the maximum age of the configuration at which the organisation's keys are accepted.
    pub fn max_config_age(&self) -> Option<Duration> {
        self.max_config_age_s.map(Duration::from_secs)
    }
}

/// A caller's API key, stored as a hash.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The organisation that requests with this key belong to.
    pub organisation: OrganisationId,
    /// SHA-256 of the bearer token `ID.SECRET`, as 64 hexadecimal digits.
    pub hash: SmolStr,
}

/// A route from callers to a model or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The model that the route leads to; exactly one of `model` and `service` is set.
    pub model: Option<ModelId>,
    /// The plain service that the route leads to, by its name in the platform's list.
    pub service: Option<SmolStr>,
    /// Whether requests of the route need no API key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request of the route may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// The regions in which requests of the route may run; absent means all.
    pub regions: Option<Vec<RegionId>>,
    /// The organisations that may use the route; absent means all.
    pub organisations: Option<Vec<OrganisationId>>,
    /// The priority of the route's requests within an organisation; a greater value goes first.
    #[serde(default)]
    pub priority: u8,
    /// The number of tokens charged for a call to a plain service.
    #[serde(default)]
    pub tokens_per_call: u64,
}

/// The targets on which a model should be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The number of targets that should have the model loaded, for each region.
    pub targets: BTreeMap<RegionId, u32>,
    /// The version of the model's weights.
    pub version: Option<SmolStr>,
    /// Adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<SmolStr>,
}

/// A service level objective.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The quantity that the objective measures.
    pub kind: ObjectiveKind,
    /// The fraction of requests that must meet the objective, such as 0.999.
    pub target: f64,
    /// For `latency`: the maximum time to the first token, in milliseconds.
    pub threshold_ms: Option<u64>,
    /// Restricts the objective to requests of this organisation.
    pub organisation: Option<OrganisationId>,
    /// Restricts the objective to requests of this route.
    pub route: Option<RouteId>,
}

/// The quantity that an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// The time to the first token is under the threshold.
    Latency,
    /// The request was answered.
    Availability,
    /// The request was not refused while its organisation was within the rate limit.
    WrongfulRefusals,
}

/// One TOML document of the tree.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Organisations by name.
    #[serde(default)]
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Keys by public name.
    #[serde(default)]
    pub keys: BTreeMap<KeyId, Key>,
    /// Routes by name.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, Route>,
    /// Placements by model.
    #[serde(default)]
    pub placements: BTreeMap<ModelId, Placement>,
    /// Objectives by name.
    #[serde(default)]
    pub objectives: BTreeMap<SmolStr, Objective>,
    /// Teams of operators by name.
    #[serde(default)]
    pub teams: BTreeMap<SmolStr, Team>,
}

/// A team of operators.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The path of the subtree that the team owns, such as `bookings`; empty for the whole tree.
    pub root: SmolStr,
    /// SHA-256 of the team's token, as 64 hexadecimal digits.
    pub hash: SmolStr,
}

/// A function that returns the time since the configuration in force was last known to be the
/// newest.
pub type ConfigAge = Arc<dyn Fn() -> Duration + Send + Sync>;

/// The whole configuration at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The revision; 0 before any configuration is loaded.
    pub revision: Revision,
    /// The merged entries of all documents.
    pub merged: Document,
}

impl Snapshot {
    /// Finds the route that leads to a model.
    pub fn route_of_model(&self, model: &ModelId) -> Option<(&RouteId, &Route)> {
        self.merged
            .routes
            .iter()
            .find(|(_, r)| r.model.as_ref() == Some(model))
    }
}

fn default_weight() -> f64 {
    1.0
}

fn default_repeatable() -> bool {
    true
}
