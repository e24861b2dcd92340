//! When this region last reached each other region.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::RegionId;

/// A region that no instance of this region has reached for this long counts as isolated.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(6);

/// The time at which this region last reached each other region.
///
/// Heartbeats spread the contacts of each instance within its region. An instance that loses its
/// own network link therefore does not take another region for isolated, and the loss of one
/// instance in another region is not taken for the loss of that region.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    last: BTreeMap<RegionId, Duration>,
}

impl Contacts {
    /// Adds a region that is not tracked yet, as if it had been reached at `now`.
    pub fn track(&mut self, now: Duration, region: &RegionId) {
        if !self.last.contains_key(region) {
            self.last.insert(region.clone(), now);
        }
    }

    /// Records that a region was reached at `at`; returns whether this ends the region's isolation.
    pub fn record(&mut self, now: Duration, at: Duration, region: &RegionId) -> bool {
        let was_isolated = self.is_isolated(now, region);
        let last = self.last.entry(region.clone()).or_insert(at);
        *last = at.max(*last);
        was_isolated && !self.is_isolated(now, region)
    }

    /// Returns whether no instance of this region has recently reached `region`.
    pub fn is_isolated(&self, now: Duration, region: &RegionId) -> bool {
        let Some(last) = self.last.get(region) else {
            return false;
        };
        now.saturating_sub(*last) > ISOLATED_AFTER
    }

    /// Returns the time since each region was last reached.
    pub fn ages(&self, now: Duration) -> Vec<(RegionId, Duration)> {
        let mut ages = Vec::with_capacity(self.last.len());
        for (region, last) in &self.last {
            ages.push((region.clone(), now.saturating_sub(*last)));
        }
        ages
    }

    /// Excludes a pause of this process from the time since the last contacts.
    pub fn discount_pause(&mut self, pause: Duration) {
        for last in self.last.values_mut() {
            *last += pause;
        }
    }

    /// Removes the regions for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&RegionId) -> bool) {
        self.last.retain(|region, _| keep(region));
    }
}
