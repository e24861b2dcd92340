//! Decides which instances hold parts of the limits when there are many instances.
//!
//! A part of a limit shrinks with the number of holders. With hundreds of them a part is smaller
//! than one large request, so nearly every request would need loans, and a start of the whole fleet
//! would be as many swaps of one document. So only a few instances of each region hold parts; the
//! other instances ask one of them to charge a request, and those of one organisation ask the same
//! one first, so its tokens gather where they are needed.

use std::time::Duration;

use super::baseline::rate_exceeded;
use crate::refusal::{Code, Refusal};
use crate::rendezvous::weight;

/// Smallest number of holders in a region; regions with fewer instances have that many.
pub const MIN_HOLDERS: usize = 4;

/// Number of instances for each holder in a large region.
const INSTANCES_PER_HOLDER: usize = 32;

/// Time within which instances usually have the same configuration.
const CONFIGURATION_LAG: Duration = Duration::from_millis(300);

/// Returns the holders among the instances of a region.
pub fn holders<'a>(region: &str, instances: &[&'a str]) -> Vec<&'a str> {
    let count = MIN_HOLDERS.max(instances.len() / INSTANCES_PER_HOLDER);
    ranked(region, instances, count)
}

/// Returns the holders in the order in which an organisation's requests are charged at them.
pub fn in_order_for<'a>(organisation: &str, holders: &[&'a str]) -> Vec<&'a str> {
    ranked(organisation, holders, holders.len())
}

/// Converts a holder's refusal of a charge to the refusal for the caller.
///
/// The asking instance knows the organisation and its burst. If the holder does not, its
/// configuration is older or newer, and the caller must not be told that its key is bad.
pub fn refusal_for_caller(refusal: Refusal) -> Refusal {
    if refusal.code() == Code::RateExceeded {
        return refusal;
    }
    rate_exceeded(Some(CONFIGURATION_LAG))
}

fn ranked<'a>(key: &str, ids: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut order: Vec<(u64, &str)> = Vec::with_capacity(ids.len());
    for id in ids {
        order.push((weight(key.as_bytes(), id.as_bytes()), id));
    }
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.truncate(count);
    order.into_iter().map(|(_, id)| id).collect()
}
