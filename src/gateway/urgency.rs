//! Keeps slots of targets free for more urgent requests.
//!
//! Load: a region gets more requests of several priorities than its targets can run. A less urgent
//! request that takes the last free slot of a target makes the next more urgent one wait until a
//! stream ends, and the prompt that it has read stalls the streams that run beside it. So it leaves
//! as many slots free as the number of more urgent requests at a target goes up and down by. Where
//! nothing more urgent runs, it may use all slots.
//!
//! A route or an organisation whose requests are refused too often for this competes as an equal until
//! enough of them are served again.

use std::collections::HashMap;
use std::hash::Hash;

use smol_str::SmolStr;

/// Number of priorities that are told apart, from 0, the most urgent.
pub const PRIORITIES: usize = 10;

/// How many standard deviations of the number of more urgent requests are left free.
const DEVIATIONS: f64 = 2.0;

/// Largest part of a target's slots that is left free.
const MAX_FREE_PART: f64 = 0.5;

/// Share of the requests of a route or an organisation that is served before more urgent ones come
/// first.
const MIN_SERVED_SHARE: f64 = 0.4;

/// Weight of the newest outcome in the moving average of the share that is served.
const OUTCOME_WEIGHT: f64 = 0.04;

/// The requests that hold places at the targets of one scheduler, by service and priority.
#[derive(Debug, Clone, Default)]
pub struct PlacesByPriority(HashMap<SmolStr, [u32; PRIORITIES]>);

impl PlacesByPriority {
    /// Counts a place.
    pub fn add(&mut self, service: &SmolStr, priority: u8) {
        let counts = self.0.entry(service.clone()).or_default();
        counts[index(priority)] += 1;
    }

    /// Counts the end of a place.
    pub fn remove(&mut self, service: &SmolStr, priority: u8) {
        if let Some(counts) = self.0.get_mut(service) {
            let count = &mut counts[index(priority)];
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many places requests hold that are more urgent.
    pub fn more_urgent(&self, service: &SmolStr, priority: u8) -> u32 {
        let counts = self.0.get(service).copied().unwrap_or_default();
        counts[..index(priority)].iter().sum()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// Returns how many of a target's slots a request leaves free if each target runs `more_urgent`
/// requests on average that are more urgent.
pub fn kept_free(slots: u32, more_urgent: f64) -> u32 {
    let deviation = more_urgent.max(0.0).sqrt() * DEVIATIONS;
    let limit = f64::from(slots) * MAX_FREE_PART;
    // The limit is at most a `u32`.
    deviation.min(limit).ceil().min(limit.floor()) as u32
}

/// The share of requests that has lately been served, by route or by organisation.
#[derive(Debug, Clone)]
pub struct ServedShares<K>(HashMap<K, f64>);

impl<K> Default for ServedShares<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Clone + Eq + Hash> ServedShares<K> {
    /// Records whether a request was served, or refused for want of room.
    pub fn record(&mut self, key: &K, served: bool) {
        let outcome = if served { 1.0 } else { 0.0 };
        let share = self.0.entry(key.clone()).or_insert(1.0);
        *share += (outcome - *share) * OUTCOME_WEIGHT;
    }

    /// Tells whether so few requests are served that further ones leave no slots free.
    pub fn is_short(&self, key: &K) -> bool {
        self.0
            .get(key)
            .is_some_and(|share| *share < MIN_SERVED_SHARE)
    }
}
