//! The peer messages with the counts of instances.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Counts, Series};
use crate::peer::PeerError;

/// The maximum number of minutes, and of hours, in a received series.
const MAX_STEPS: usize = 256;

/// A peer message of the kind `report`.
#[derive(Debug, Serialize, Deserialize)]
pub enum ReportRequest {
    /// Asks for the receiver's counts.
    Counts,
    /// Gives the counts of the sender, which is leaving, to the receiver.
    Handover(WireSeries),
}

/// The series of all objectives of an instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireSeries(Vec<WireObjective>);

#[derive(Debug, Serialize, Deserialize)]
struct WireObjective {
    objective: SmolStr,
    minutes: Vec<WireStep>,
    hours: Vec<WireStep>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireStep {
    step: u64,
    total: u64,
    bad: u64,
    rate_refused: u64,
    tokens: u64,
}

impl From<&BTreeMap<SmolStr, Series>> for WireSeries {
    fn from(all: &BTreeMap<SmolStr, Series>) -> Self {
        let mut lines = Vec::with_capacity(all.len());
        for (objective, series) in all {
            lines.push(WireObjective {
                objective: objective.clone(),
                minutes: series.by_minute().map(WireStep::from).collect(),
                hours: series.by_hour().map(WireStep::from).collect(),
            });
        }
        Self(lines)
    }
}

impl TryFrom<WireSeries> for BTreeMap<SmolStr, Series> {
    type Error = PeerError;

    fn try_from(wire: WireSeries) -> Result<Self, PeerError> {
        let mut all = Self::new();
        for line in wire.0 {
            if line.minutes.len() > MAX_STEPS || line.hours.len() > MAX_STEPS {
                return Err(PeerError::Malformed(
                    "a series has too many steps".to_owned(),
                ));
            }
            let minutes = line.minutes.into_iter().map(<(u64, Counts)>::from);
            let hours = line.hours.into_iter().map(<(u64, Counts)>::from);
            all.insert(line.objective, Series::from_steps(minutes, hours));
        }
        Ok(all)
    }
}

impl From<(u64, Counts)> for WireStep {
    fn from((step, counts): (u64, Counts)) -> Self {
        let Counts {
            total,
            bad,
            rate_refused,
            tokens,
        } = counts;
        Self {
            step,
            total,
            bad,
            rate_refused,
            tokens,
        }
    }
}

impl From<WireStep> for (u64, Counts) {
    fn from(wire: WireStep) -> Self {
        let WireStep {
            step,
            total,
            bad,
            rate_refused,
            tokens,
        } = wire;
        (
            step,
            Counts {
                total,
                bad,
                rate_refused,
                tokens,
            },
        )
    }
}

crate::wire_format!("report-request", ReportRequest);
crate::wire_format!("report-series", WireSeries);
