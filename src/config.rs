//! The operators' configuration as instances use it.
//!
//! Operators write a tree of TOML documents. A [`Snapshot`] is the whole tree at one revision,
//! parsed and checked.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id::{KeyId, ModelId, OrganisationId, RegionId, RouteId};

pub mod blob;
mod check;
pub mod commit;
pub mod fault;
pub mod head;
pub mod loaded;
mod locate;
pub mod operator;
pub mod path;
pub mod spread;
pub mod tree;

/// A revision of the whole tree; greater is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// An organisation: whose requests run, how many, and where.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Tokens a second over the whole fleet.
    pub rate: u64,
    /// Tokens it may use at once after a pause.
    pub burst: u64,
    /// Its part of target capacity when targets are short, relative to others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The regions in which its requests may run; absent means all.
    pub regions: Option<Vec<RegionId>>,
    /// The greatest age of the configuration at which its keys are still taken, in seconds.
    pub max_config_age_s: Option<u64>,
}

impl Organisation {
    /// Returns the greatest age of the configuration at which its keys are taken.
    pub fn max_config_age(&self) -> Option<Duration> {
        self.max_config_age_s.map(Duration::from_secs)
    }
}

/// A caller's key, stored as a hash.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The organisation it speaks for.
    pub organisation: OrganisationId,
    /// SHA-256 of the whole bearer text `ID.SECRET`, as 64 hexadecimal digits.
    pub hash: SmolStr,
}

/// A way for callers to reach a model or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The model behind it; exactly one of `model` and `service` stands.
    pub model: Option<ModelId>,
    /// The plain service behind it, as the platform's list names it.
    pub service: Option<SmolStr>,
    /// Whether it needs no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// The regions in which its requests may run; absent means all.
    pub regions: Option<Vec<RegionId>>,
    /// The organisations that may use it; absent means all.
    pub organisations: Option<Vec<OrganisationId>>,
    /// Greater goes first within an organisation.
    #[serde(default)]
    pub priority: u8,
    /// Tokens charged for a call to a plain service.
    #[serde(default)]
    pub tokens_per_call: u64,
}

/// Where a model should be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Targets wanted, for each region.
    pub targets: BTreeMap<RegionId, u32>,
    /// The version of the weights.
    pub version: Option<SmolStr>,
    /// Adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<SmolStr>,
}

/// A service level that the operators aim at.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// What is measured.
    pub kind: ObjectiveKind,
    /// The share of requests that must be good, such as 0.999.
    pub target: f64,
    /// For `latency`: the greatest time to the first token, in milliseconds.
    pub threshold_ms: Option<u64>,
    /// Only this organisation's requests.
    pub organisation: Option<OrganisationId>,
    /// Only this route's requests.
    pub route: Option<RouteId>,
}

/// What an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Time to the first token under the threshold.
    Latency,
    /// The request was answered.
    Availability,
    /// The request was not refused though within its rate.
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
    /// Operators' tokens by team.
    #[serde(default)]
    pub teams: BTreeMap<SmolStr, Team>,
}

/// A team of operators.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The subtree it owns, such as `bookings`; empty for the whole tree.
    pub root: SmolStr,
    /// SHA-256 of its token, as 64 hexadecimal digits.
    pub hash: SmolStr,
}

/// The whole configuration at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The revision; 0 before any configuration is known.
    pub revision: Revision,
    /// All documents' entries together.
    pub merged: Document,
}

impl Snapshot {
    /// Finds the route that serves a model.
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
