//! Bounded queue in front of the targets that is fair among organisations.
//!
//! Organisations with queued requests share the targets by weighted tokens (start-time fair
//! queueing). A request that is expected to wait past its deadline is rejected at once.
//!
//! ```
//! use limpetstand::fair::{FairQueue, QueuedRequest};
//! use std::time::Duration;
//!
//! let mut queue = FairQueue::bounded(100, 50);
//! let request = |organisation: &str, item| QueuedRequest {
//!     organisation: Some(organisation.into()),
//!     weight: 1.0,
//!     tokens: 10,
//!     priority: 0,
//!     deadline: Duration::from_secs(60),
//!     item,
//! };
//! let now = Duration::ZERO;
//! for (organisation, item) in [("a", 1), ("a", 2), ("b", 3)] {
//!     queue.push(now, request(organisation, item)).unwrap();
//! }
//! assert_eq!(queue.pop(now), Some(1));
//! assert_eq!(queue.pop(now), Some(3));
//! assert_eq!(queue.pop(now), Some(2));
//! ```

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::id::OrganisationId;

/// Lower bound of an organisation's weight, so that no division overflows.
const MIN_WEIGHT: f64 = 1e-6;

/// Retry time given if no drain rate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request to queue.
#[derive(Debug)]
pub struct QueuedRequest<T> {
    /// The organisation that is charged; requests of open routes have none and share one flow.
    pub organisation: Option<OrganisationId>,
    /// The organisation's weight; greater than 0.
    pub weight: f64,
    /// Cost of the request in tokens.
    pub tokens: u64,
    /// Requests with a higher priority go first within the organisation.
    pub priority: u8,
    /// Time at which the request expires, on the instance's monotonic clock.
    pub deadline: Duration,
    /// The queued value.
    pub item: T,
}

/// Identifies a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(u64);

/// Error of a request that was not queued and has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("queue is full or too slow; retry after {retry_after:?}")]
pub struct Rejected {
    /// Estimated time until the queue is short enough.
    pub retry_after: Duration,
}

/// Result of queueing a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Pushed<T> {
    /// Handle for [`FairQueue::remove`].
    pub handle: Handle,
    /// A request of another organisation that was removed to make room and is to be refused.
    pub displaced: Option<T>,
}

/// Bounded queue that is fair among organisations.
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<Option<OrganisationId>, Flow<T>>,
    positions: HashMap<Handle, Position>,
    deadlines: BTreeSet<(Duration, Handle)>,
    expired: Vec<T>,
    max_total: usize,
    max_per_organisation: usize,
    next_handle: u64,
    virtual_time: f64,
    drain_rate: Option<f64>,
}

/// Higher priority first, then order of arrival.
type Rank = (Reverse<u8>, Handle);

#[derive(Debug)]
struct Flow<T> {
    /// Virtual start time of the flow's next request.
    start: f64,
    weight: f64,
    backlog_tokens: u64,
    items: BTreeMap<Rank, Item<T>>,
}

#[derive(Debug)]
struct Item<T> {
    tokens: u64,
    item: T,
}

#[derive(Debug)]
struct Position {
    organisation: Option<OrganisationId>,
    rank: Rank,
    deadline: Duration,
}

impl<T> FairQueue<T> {
    /// Creates a queue for at most `max_total` requests, and `max_per_organisation` requests of
    /// one organisation.
    pub fn bounded(max_total: usize, max_per_organisation: usize) -> Self {
        Self {
            flows: BTreeMap::new(),
            positions: HashMap::new(),
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            max_total,
            max_per_organisation,
            next_handle: 0,
            virtual_time: 0.0,
            drain_rate: None,
        }
    }

    /// Sets how many tokens per second the targets take from this queue.
    pub fn set_drain_rate(&mut self, tokens_per_second: f64) {
        self.drain_rate = (tokens_per_second > 0.0).then_some(tokens_per_second);
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue has no requests.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the total tokens of all queued requests.
    pub fn tokens(&self) -> u64 {
        self.flows.values().map(|f| f.backlog_tokens).sum()
    }

    /// Queues a request, or rejects it at once.
    ///
    /// # Errors
    ///
    /// If the request's organisation has too many queued requests, if the queue is full and no
    /// other organisation has more queued requests, or if the request would wait past its deadline.
    pub fn push(
        &mut self,
        now: Duration,
        request: QueuedRequest<T>,
    ) -> Result<Pushed<T>, Rejected> {
        self.collect_expired(now);
        let own = self.flows.get(&request.organisation);
        let own_queued = own.map_or(0, |f| f.items.len());
        let expected_wait = self.expected_wait(&request);
        let time_left = request.deadline.saturating_sub(now);
        if time_left.is_zero() || expected_wait.is_some_and(|w| w > time_left) {
            let retry_after =
                expected_wait.map_or(DEFAULT_RETRY_AFTER, |w| w.saturating_sub(time_left));
            return Err(Rejected { retry_after });
        }
        let rejected = Rejected {
            retry_after: expected_wait.unwrap_or(DEFAULT_RETRY_AFTER),
        };
        if own_queued >= self.max_per_organisation {
            return Err(rejected);
        }
        let mut displaced = None;
        if self.len() >= self.max_total {
            let handle = self.last_of_longest_flow(own_queued + 1).ok_or(rejected)?;
            displaced = self.remove(handle);
        }
        let handle = self.insert(request);
        Ok(Pushed { handle, displaced })
    }

    /// Removes and returns the next request in fair order.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        self.collect_expired(now);
        let organisation = self.next_flow()?;
        let flow = self.flows.get_mut(&organisation)?;
        let (&rank, first) = flow.items.first_key_value()?;
        self.virtual_time = flow.start;
        flow.start += cost(first.tokens, flow.weight);
        let item = self.remove(rank.1);
        self.remove_idle_flows();
        item
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes a request, if it is still queued.
    pub fn remove(&mut self, handle: Handle) -> Option<T> {
        let position = self.positions.remove(&handle)?;
        self.deadlines.remove(&(position.deadline, handle));
        let flow = self.flows.get_mut(&position.organisation)?;
        let item = flow.items.remove(&position.rank)?;
        flow.backlog_tokens -= item.tokens;
        Some(item.item)
    }

    fn insert(&mut self, request: QueuedRequest<T>) -> Handle {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        let rank = (Reverse(request.priority), handle);
        if self.is_empty() {
            self.flows.clear();
        }
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(request.organisation.clone())
            .or_insert_with(|| Flow {
                start: virtual_time,
                weight: 1.0,
                backlog_tokens: 0,
                items: BTreeMap::new(),
            });
        if flow.items.is_empty() {
            flow.start = flow.start.max(virtual_time);
        }
        flow.weight = request.weight.max(MIN_WEIGHT);
        flow.backlog_tokens += request.tokens;
        let item = Item {
            tokens: request.tokens,
            item: request.item,
        };
        flow.items.insert(rank, item);
        self.deadlines.insert((request.deadline, handle));
        let position = Position {
            organisation: request.organisation,
            rank,
            deadline: request.deadline,
        };
        self.positions.insert(handle, position);
        handle
    }

    /// Estimates how long a request would wait; `None` if no drain rate is known.
    fn expected_wait(&self, request: &QueuedRequest<T>) -> Option<Duration> {
        let drain_rate = self.drain_rate?;
        let mut start = self.virtual_time;
        let mut own_tokens_ahead = 0;
        if let Some(own) = self.flows.get(&request.organisation) {
            let last = (Reverse(request.priority), Handle(u64::MAX));
            own_tokens_ahead = own.items.range(..last).map(|(_, i)| i.tokens).sum();
            start = start.max(own.start) + cost(own_tokens_ahead, own.weight);
        }
        let mut tokens_ahead = to_f64(own_tokens_ahead);
        for (organisation, flow) in &self.flows {
            if *organisation == request.organisation {
                continue;
            }
            let served = (start - flow.start).max(0.0) * flow.weight;
            tokens_ahead += served.min(to_f64(flow.backlog_tokens));
        }
        Duration::try_from_secs_f64(tokens_ahead / drain_rate).ok()
    }

    fn next_flow(&self) -> Option<Option<OrganisationId>> {
        let mut best: Option<(&Option<OrganisationId>, f64)> = None;
        for (organisation, flow) in &self.flows {
            if flow.items.is_empty() {
                continue;
            }
            if best.is_some_and(|(_, start)| start <= flow.start) {
                continue;
            }
            best = Some((organisation, flow.start));
        }
        best.map(|(organisation, _)| organisation.clone())
    }

    /// Finds the last request of the longest flow, if that flow is longer than `own_queued`.
    fn last_of_longest_flow(&self, own_queued: usize) -> Option<Handle> {
        let longest = self.flows.values().max_by_key(|f| f.items.len())?;
        if longest.items.len() <= own_queued {
            return None;
        }
        longest.items.last_key_value().map(|(rank, _)| rank.1)
    }

    fn collect_expired(&mut self, now: Duration) {
        while let Some(&(deadline, handle)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let item = self.remove(handle);
            self.expired.extend(item);
        }
    }

    /// Removes flows that have no requests and whose next start is not ahead of the virtual time.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, f| !f.items.is_empty() || f.start > virtual_time);
    }
}

fn cost(tokens: u64, weight: f64) -> f64 {
    to_f64(tokens) / weight
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
