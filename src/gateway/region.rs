//! Whether a request is served here or in another region.
//!
//! Answers regional peaks and losses: where the own region may not or cannot serve, the request
//! goes to another one that may; where its targets are far behind, it goes to one that is quicker
//! by more than the way there.

use std::collections::HashMap;

use crate::id::RegionId;

/// Milliseconds to another region and back.
const WAY_MS: f64 = 160.0;

/// Another region must be quicker by this beside the way, as its figures are old and its own
/// callers come first.
const GAIN_MS: f64 = 150.0;

/// What is known of the regions for one service.
#[derive(Debug, Clone, Default)]
pub struct Regions {
    /// Targets that take work, by region.
    pub capacity: HashMap<RegionId, u32>,
    /// Expected wait in milliseconds, where it is known.
    pub wait_ms: HashMap<RegionId, f64>,
    /// Whether all targets of the own region have failed lately.
    pub here_failing: bool,
}

/// Chooses a region among those allowed that have targets and have not been tried.
///
/// `draw` is from 0 up to but not including 1, and spreads requests over equal regions.
pub fn choose(
    here: &RegionId,
    allowed: &[RegionId],
    tried: &[RegionId],
    regions: &Regions,
    draw: f64,
) -> Option<RegionId> {
    let mut others: Vec<(&RegionId, f64, f64)> = Vec::new();
    let mut local = false;
    for region in allowed {
        let Some(count) = regions.capacity.get(region) else {
            continue;
        };
        if tried.contains(region) {
            continue;
        }
        if region == here {
            local = true;
            continue;
        }
        let wait = regions.wait_ms.get(region).copied();
        others.push((region, wait.unwrap_or(0.0), f64::from(*count)));
    }
    let own_wait = regions.wait_ms.get(here).copied().unwrap_or(0.0);
    if local && (others.is_empty() || (!regions.here_failing && own_wait < WAY_MS + GAIN_MS)) {
        return Some(here.clone());
    }
    if local && !regions.here_failing {
        // Only regions known to be quicker are worth the way.
        others.retain(|(region, wait, _)| {
            regions.wait_ms.contains_key(*region) && wait + WAY_MS + GAIN_MS < own_wait
        });
        if others.is_empty() {
            return Some(here.clone());
        }
    }
    let weight = |(_, wait, count): &(&RegionId, f64, f64)| count / (WAY_MS + wait);
    let total: f64 = others.iter().map(weight).sum();
    let mut left = draw * total;
    for other in &others {
        left -= weight(other);
        if left < 0.0 {
            return Some(other.0.clone());
        }
    }
    others.last().map(|other| other.0.clone())
}
