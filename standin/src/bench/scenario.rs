//! The scenarios by name, and the arrivals that each of them uses.

mod faults;

use eyre::{Result, bail};

use crate::workload::LoadPattern;
pub(super) use faults::{ScenarioContext, inject_faults, instance_entry};

/// Multiple of its rate at which the greedy organisation sends.
const GREEDY_RATE_FACTOR: f64 = 5.0;

/// A scenario by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// No faults.
    Steady,
    /// One organisation sends at five times its rate.
    Greedy,
    /// Regions are isolated from the others, one after the other.
    Partition,
    /// The store loses answers, hangs and refuses connections.
    StoreOutage,
    /// Engines crash, and a request crashes each engine that runs it.
    Crash,
    /// Open connections and engines stop sending without closing.
    Silent,
    /// Instances are replaced one by one, killed and suspended.
    Replace,
    /// Operators rotate keys often and write one document concurrently.
    Churn,
    /// The load of each region peaks in turn.
    Peaks,
}

/// All scenarios with their names.
pub const SCENARIOS: [(&str, Scenario); 9] = [
    ("steady", Scenario::Steady),
    ("greedy", Scenario::Greedy),
    ("partition", Scenario::Partition),
    ("store-outage", Scenario::StoreOutage),
    ("crash", Scenario::Crash),
    ("silent", Scenario::Silent),
    ("replace", Scenario::Replace),
    ("churn", Scenario::Churn),
    ("peaks", Scenario::Peaks),
];

impl Scenario {
    /// Returns the scenario with this name.
    ///
    /// # Errors
    ///
    /// If there is no scenario with this name.
    pub fn parse(name: &str) -> Result<Self> {
        for (known_name, scenario) in SCENARIOS {
            if known_name == name {
                return Ok(scenario);
            }
        }
        let names = SCENARIOS.map(|(known_name, _)| known_name);
        bail!(
            "unknown scenario `{name}`, expected one of {}",
            names.join(", ")
        )
    }

    /// Returns the scenario's name.
    pub fn as_str(self) -> &'static str {
        let found = SCENARIOS.iter().find(|(_, s)| *s == self);
        found.map_or("?", |(name, _)| name)
    }

    pub(super) fn surge(self) -> LoadPattern {
        match self {
            Self::Greedy => LoadPattern::Greedy(GREEDY_RATE_FACTOR),
            Self::Peaks => LoadPattern::Peaks,
            _ => LoadPattern::Steady,
        }
    }
}
