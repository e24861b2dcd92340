//! Chooses the region that serves a request.
//!
//! When the instance's own region may not serve the request or has no available target, the
//! request goes to another allowed region. When the own region's targets have a long backlog, the
//! request goes to a region that is faster by more than the round trip costs.
//!
//! What a request costs in a region is not its own wait alone: while a target reads its prompt, the
//! streams that run there stand still. So a long prompt leaves a region whose targets are full of
//! streams before its own wait there is long.

use std::collections::HashMap;

use crate::id::RegionId;

/// Least gain, beyond the round trip, for which a request leaves its region, in milliseconds. The
/// other region's figures are out of date and the callers of that region come first.
const MIN_GAIN_MS: f64 = 150.0;

/// What the instance knows about the targets and waits of one service in each region.
#[derive(Debug, Clone, Default)]
pub struct RegionStats {
    /// Number of targets that take new requests, by region.
    pub capacity: HashMap<RegionId, u32>,
    /// Expected wait in milliseconds by region, where known.
    pub wait_ms: HashMap<RegionId, f64>,
    /// What the request costs in addition to its wait, in milliseconds by region, where known: reading
    /// shared parts anew, and the delay of the streams that its prompt stalls.
    pub added_cost_ms: HashMap<RegionId, f64>,
    /// Whether all targets of the own region are ejected after recent failures.
    pub own_targets_ejected: bool,
    /// Longest wait of the request at a target, in milliseconds, if a region has refused it because
    /// the wait there is longer. A region that is known to have no room is then not worth the way,
    /// and neither is a second region that nothing is known of: a refusal from there would be late.
    pub max_wait_ms: Option<f64>,
    /// Round-trip time to another region, in milliseconds.
    pub round_trip_ms: f64,
}

impl RegionStats {
    /// Returns what the request costs in a region, in milliseconds; 0 if nothing is known of it.
    fn cost_ms(&self, region: &RegionId) -> f64 {
        let wait_ms = self.wait_ms.get(region).copied().unwrap_or(0.0);
        let added_ms = self.added_cost_ms.get(region).copied().unwrap_or(0.0);
        wait_ms + added_ms
    }
}

/// Chooses an allowed region that has targets and has not been tried.
///
/// `draw` is a random number in `0..1` that spreads requests over the other regions.
pub fn choose(
    own_region: &RegionId,
    allowed: &[RegionId],
    tried: &[RegionId],
    stats: &RegionStats,
    draw: f64,
) -> Option<RegionId> {
    let mut others: Vec<(&RegionId, f64, f64)> = Vec::new();
    let mut own_available = false;
    for region in allowed {
        let Some(count) = stats.capacity.get(region) else {
            continue;
        };
        if tried.contains(region) {
            continue;
        }
        if region == own_region {
            own_available = true;
            continue;
        }
        others.push((region, stats.cost_ms(region), f64::from(*count)));
    }
    if let Some(max_wait_ms) = stats.max_wait_ms {
        others.retain(|(region, ..)| match stats.wait_ms.get(*region) {
            Some(wait_ms) => *wait_ms <= max_wait_ms,
            None => tried.len() <= 1,
        });
    }
    let own_cost_ms = stats.cost_ms(own_region);
    if own_available
        && (others.is_empty()
            || (!stats.own_targets_ejected && own_cost_ms < stats.round_trip_ms + MIN_GAIN_MS))
    {
        return Some(own_region.clone());
    }
    if own_available && !stats.own_targets_ejected {
        // Only a region that is known to cost less is worth the round trip.
        others.retain(|(region, cost_ms, _)| {
            stats.wait_ms.contains_key(*region)
                && cost_ms + stats.round_trip_ms + MIN_GAIN_MS < own_cost_ms
        });
        if others.is_empty() {
            return Some(own_region.clone());
        }
    }
    let weight =
        |(_, cost_ms, count): &(&RegionId, f64, f64)| count / (stats.round_trip_ms + cost_ms);
    let total: f64 = others.iter().map(weight).sum();
    let mut remaining = draw * total;
    for other in &others {
        remaining -= weight(other);
        if remaining < 0.0 {
            return Some(other.0.clone());
        }
    }
    others.last().map(|other| other.0.clone())
}
