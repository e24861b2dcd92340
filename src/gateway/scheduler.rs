//! Decides which instance assigns requests to a target, and records what it has assigned.
//!
//! The queue of a target is one thing, however many instances send to it. In a fleet of hundreds,
//! an instance sees so few of a target's requests that it cannot tell from these how long the queue
//! is. So each target belongs to one instance of its region, its scheduler: the other instances ask
//! the scheduler for a place before they send, and report when the prompt has been read and when
//! the answer has ended. The scheduler therefore knows the backlog of its targets, and keeps to the
//! request rate of a cold target by itself.
//!
//! About one in [`INSTANCES_PER_SCHEDULER`] instances of a region are schedulers, chosen by
//! rendezvous hashing; the same hashing assigns the targets to them. When a scheduler is lost, only
//! its targets change hands. The next scheduler starts without knowledge of what is under way, and
//! learns it from the load that targets report.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::urgency::PlacesByPriority;
use crate::id::{InstanceId, TargetId};
use crate::rendezvous::weight;

/// Number of instances of a region for each scheduler.
pub const INSTANCES_PER_SCHEDULER: usize = 8;

/// Time after which a reservation whose holder does not report its end is given up, in addition to
/// the time that the request has left.
const RESERVATION_GRACE: Duration = Duration::from_secs(1);

/// Time for which a scheduler sends nothing to a target that has just become its own, if the target
/// is cold or has named a limit. Until then, the previous scheduler may have used the target's
/// request rate.
pub const TAKEOVER_TIME: Duration = Duration::from_secs(2);

/// Returns the schedulers among the live instances of a region, in the order of their rank.
pub fn schedulers<'a>(region: &str, live: &[&'a str]) -> Vec<&'a str> {
    let mut order: Vec<(u64, &str)> = Vec::with_capacity(live.len());
    for id in live {
        order.push((weight(region.as_bytes(), id.as_bytes()), id));
    }
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.truncate((live.len() / INSTANCES_PER_SCHEDULER).max(1));
    order.into_iter().map(|(_, id)| id).collect()
}

/// Returns the scheduler of a target.
pub fn scheduler_of<'a>(target: &TargetId, schedulers: &[&'a str]) -> Option<&'a str> {
    let key = target.as_str().as_bytes();
    let by_weight = schedulers
        .iter()
        .map(|id| (weight(key, id.as_bytes()), *id));
    by_weight.max().map(|(_, id)| id)
}

/// A place at a target that a request holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The target.
    pub target: TargetId,
    /// Prompt tokens that the target still has to read for the request.
    pub prefill_tokens: u64,
    /// The instance that sends the request.
    pub holder: InstanceId,
    /// The target's service.
    pub service: SmolStr,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// When the place was given.
    pub reserved_at: Duration,
    expires_at: Duration,
}

/// The targets that an instance schedules, and the places that it has assigned.
#[derive(Debug, Clone, Default)]
pub struct Scheduler {
    owned_since: HashMap<TargetId, Duration>,
    reservations: HashMap<u64, Reservation>,
    places: PlacesByPriority,
    last_id: u64,
}

/// A request that is given a place.
#[derive(Debug, Clone, Copy)]
pub struct Placed<'a> {
    /// The target's service.
    pub service: &'a SmolStr,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// Prompt tokens that the target still has to read for the request.
    pub prefill_tokens: u64,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The instance that sends the request.
    pub holder: &'a InstanceId,
}

impl Scheduler {
    /// Sets the targets that the instance schedules from now on.
    pub fn set_owned(&mut self, now: Duration, owned: &[TargetId]) {
        let mut owned_since = HashMap::with_capacity(owned.len());
        for target in owned {
            let since = self.owned_since.get(target).copied().unwrap_or(now);
            owned_since.insert(target.clone(), since);
        }
        self.owned_since = owned_since;
    }

    /// The targets that the instance schedules, and since when.
    pub fn owned_since(&self) -> &HashMap<TargetId, Duration> {
        &self.owned_since
    }

    /// Records a place at a target; returns the reservation's id.
    pub fn reserve(&mut self, now: Duration, target: TargetId, placed: &Placed<'_>) -> u64 {
        self.last_id += 1;
        let reservation = Reservation {
            target,
            prefill_tokens: placed.prefill_tokens,
            holder: placed.holder.clone(),
            service: placed.service.clone(),
            priority: placed.priority,
            reserved_at: now,
            expires_at: now + placed.time_left + RESERVATION_GRACE,
        };
        self.places.add(placed.service, placed.priority);
        self.reservations.insert(self.last_id, reservation);
        self.last_id
    }

    /// The places that are held, by priority.
    pub fn places(&self) -> &PlacesByPriority {
        &self.places
    }

    /// Returns a reservation that has not ended.
    pub fn reservation(&self, id: u64) -> Option<&Reservation> {
        self.reservations.get(&id)
    }

    /// Records that the target has read the prompt; returns the target, the tokens, and when the
    /// place was given.
    pub fn finish_prefill(&mut self, id: u64) -> Option<(TargetId, u64, Duration)> {
        let reservation = self.reservations.get_mut(&id)?;
        let tokens = std::mem::take(&mut reservation.prefill_tokens);
        Some((reservation.target.clone(), tokens, reservation.reserved_at))
    }

    /// Ends a reservation.
    pub fn end(&mut self, id: u64) -> Option<Reservation> {
        let ended = self.reservations.remove(&id)?;
        self.places.remove(&ended.service, ended.priority);
        Some(ended)
    }

    /// Ends the reservations whose holders have not reported in time.
    pub fn expire(&mut self, now: Duration) -> Vec<Reservation> {
        let expired = self.reservations.extract_if(|_, r| r.expires_at < now);
        let expired: Vec<Reservation> = expired.map(|(_, reservation)| reservation).collect();
        for reservation in &expired {
            self.places
                .remove(&reservation.service, reservation.priority);
        }
        expired
    }
}
