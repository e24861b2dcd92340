//! Decides which instances of a region listen to the store and which of them tell the others.
//!
//! Every call to the store is priced and their rate is limited, so the number of calls must not
//! grow with the number of instances. In each region, [`LISTENERS`] instances, chosen by
//! rendezvous hashing, watch the store; every other instance polls all of them, so the loss of one
//! delays no change. A listener that does not answer, or whose own news is too old, is passed over
//! for a while, and the next in the order takes its place. An instance that passes over enough of
//! the others comes first in its own order and then listens itself, so an instance that is cut off
//! from all others asks the store.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::InstanceId;
use crate::rendezvous::weight;

/// Number of instances in each region that listen to the store.
pub const LISTENERS: usize = 2;

/// How long a listener is passed over after its first failure; doubled with each further one.
const INITIAL_AVOID_TIME: Duration = Duration::from_millis(1_500);

/// Longest time for which a failed listener is passed over.
const MAX_AVOID_TIME: Duration = Duration::from_secs(6);

/// How long an instance goes on listening after another instance last polled it. Instances may
/// disagree on the order while their views of the membership differ.
const POLLED_TIME: Duration = Duration::from_secs(4);

/// Pause before the next listener in the order is polled, for each listener that is passed over.
/// The pause keeps an outage of the store from turning all instances into listeners.
const FAILOVER_PAUSE: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct Avoided {
    until: Duration,
    failures: u32,
}

/// What an instance does to get news from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Whether the instance watches the store itself.
    pub listens: bool,
    /// The instances to poll.
    pub sources: Vec<InstanceId>,
    /// The other listeners, which pass on to the region what this instance tells them.
    pub tells: Vec<InstanceId>,
}

/// An instance's experience with the listeners of its region.
#[derive(Debug, Clone, Default)]
pub struct Listeners {
    avoided: HashMap<InstanceId, Avoided>,
    polled_until: Duration,
}

impl Listeners {
    /// Decides whether the instance `own` listens and which instances it polls.
    ///
    /// `live` are the live instances of the region, `own` among them unless it is leaving.
    /// `hears_store` tells whether the instance's own calls to the store succeed; while they fail,
    /// it polls others as well.
    pub fn plan(
        &self,
        now: Duration,
        region: &str,
        own: &InstanceId,
        live: &[InstanceId],
        hears_store: bool,
    ) -> Plan {
        let mut order: Vec<(u64, &InstanceId)> = Vec::with_capacity(live.len());
        for id in live {
            if id != own && self.avoids(now, id) {
                continue;
            }
            order.push((weight(region.as_bytes(), id.as_str().as_bytes()), id));
        }
        order.sort_unstable_by(|a, b| b.cmp(a));
        let first = order.iter().take(LISTENERS);
        let is_first = first.clone().any(|(_, id)| *id == own);
        let listens = is_first || now < self.polled_until;
        // One that listens only since others poll it is not told what the first are told.
        let sources = if is_first && hears_store {
            Vec::new()
        } else {
            let others = order.iter().filter(|(_, id)| *id != own);
            others
                .take(LISTENERS)
                .map(|(_, id)| (*id).clone())
                .collect()
        };
        let tells = first.filter(|(_, id)| *id != own);
        let tells = tells.map(|(_, id)| (*id).clone()).collect();
        Plan {
            listens,
            sources,
            tells,
        }
    }

    /// Records that a listener has answered with recent news; returns whether it had failed before.
    pub fn record_success(&mut self, id: &InstanceId) -> bool {
        self.avoided.remove(id).is_some()
    }

    /// Records that a listener did not answer or has no recent news; returns the pause before the
    /// next listener may be polled in its place.
    pub fn record_failure(&mut self, now: Duration, id: &InstanceId) -> Duration {
        self.avoided.retain(|_, a| now < a.until + MAX_AVOID_TIME);
        let failures = self.avoided.get(id).map_or(0, |a| a.failures);
        let avoid_time = (INITIAL_AVOID_TIME * 2_u32.pow(failures.min(4))).min(MAX_AVOID_TIME);
        let avoided = Avoided {
            until: now + avoid_time,
            failures: failures + 1,
        };
        self.avoided.insert(id.clone(), avoided);
        let count = self.avoided.values().filter(|a| now < a.until).count();
        FAILOVER_PAUSE * u32::try_from(count).unwrap_or(1)
    }

    /// Records that another instance polls this one as a listener.
    pub fn record_polled(&mut self, now: Duration) {
        self.polled_until = now + POLLED_TIME;
    }

    fn avoids(&self, now: Duration, id: &InstanceId) -> bool {
        self.avoided.get(id).is_some_and(|a| now < a.until)
    }
}
