//! Assignment of requests to targets and regions, with a queue for each pool of targets.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::requirements::Requirements;
use crate::clock::Clock;
use crate::fair::{FairQueue, QueuedRequest};
use crate::id::RegionId;
use crate::refusal::{Code, Refusal};
use crate::route::{
    Decision, Failure, PoolName, RegionKey, RegionSummary, RoutingState, TargetKey,
    UnroutableReason,
};
use crate::target::TargetAddress;

/// Maximum number of requests queued for one pool.
const MAX_QUEUED_PER_POOL: usize = 2_048;

/// Maximum number of requests of one organisation queued for one pool.
const MAX_QUEUED_PER_ORGANISATION: usize = 512;

/// Window over which the drain rate of a queue is measured.
const DRAIN_RATE_WINDOW: Duration = Duration::from_secs(2);

/// Lower bound of the estimated drain rate, as a share of the declared rate.
const MIN_DRAIN_RATE_SHARE: f64 = 0.005;

/// `Retry-After` of a refusal for which no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The target or the region to which a request is assigned.
#[derive(Debug)]
pub(super) enum Assignment {
    /// A slot at a target of this region.
    Local(Slot),
    /// Another region, to which the request is forwarded.
    Remote(RegionKey, RegionId),
}

/// A slot at a target, which is occupied until this value is dropped.
pub(super) struct Slot {
    scheduler: Arc<Scheduler>,
    key: TargetKey,
    pool: PoolName,
    suspect: bool,
    address: TargetAddress,
    plugin: SmolStr,
    started: Duration,
    is_counted: bool,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Slot").field(&self.address.id).finish()
    }
}

impl Slot {
    pub(super) fn key(&self) -> TargetKey {
        self.key
    }

    pub(super) fn address(&self) -> &TargetAddress {
        &self.address
    }

    pub(super) fn plugin(&self) -> &str {
        &self.plugin
    }

    /// Returns whether the request in this slot is a suspect, the only suspect on the target.
    ///
    /// The routing state assigns a suspect only to a target without other suspects.
    pub(super) fn holds_only_suspect(&self) -> bool {
        self.suspect
    }

    pub(super) fn record_success(&self) {
        self.scheduler.lock().routing_state.record_success(self.key);
    }

    pub(super) fn record_failure(&self, failure: Failure) {
        let now = self.scheduler.clock.now();
        let mut state = self.scheduler.lock();
        state
            .routing_state
            .record_failure(now, self.started, self.key, failure);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_counted {
            return;
        }
        let mut state = self.scheduler.lock();
        state.routing_state.record_end(self.key, self.suspect);
        self.scheduler.drain(&mut state, &self.pool, Some(self.key));
    }
}

/// Assigns requests to targets and regions.
pub(super) struct Scheduler {
    clock: Clock,
    state: Mutex<State>,
}

pub(super) struct State {
    pub(super) routing_state: RoutingState,
    queues: HashMap<PoolName, PoolQueue>,
    rng: SmallRng,
}

/// The requests that are queued for one pool.
struct PoolQueue {
    fair: FairQueue<Waiter>,
    /// Requests served before the fair queue: retries, suspects, and requests that were taken from
    /// the fair queue but found no free target.
    fifo: VecDeque<Waiter>,
    drain_rate: DrainRate,
}

struct Waiter {
    requirements: Requirements,
    tx: oneshot::Sender<Result<Assignment, Refusal>>,
}

impl PoolQueue {
    fn new() -> Self {
        Self {
            fair: FairQueue::bounded(MAX_QUEUED_PER_POOL, MAX_QUEUED_PER_ORGANISATION),
            fifo: VecDeque::new(),
            drain_rate: DrainRate::default(),
        }
    }

    fn is_empty(&self) -> bool {
        self.fair.is_empty() && self.fifo.is_empty()
    }
}

/// The measured drain rate of a queue in work per second, while the queue is not empty.
#[derive(Debug, Default)]
struct DrainRate {
    /// Start of the current window; `None` while the queue is empty.
    window_start: Option<Duration>,
    window_work: f64,
    measured: Option<f64>,
}

impl DrainRate {
    /// Records that `work` has left the queue; `is_empty` is the state of the queue afterwards.
    fn record_dequeued(&mut self, now: Duration, work: u64, is_empty: bool) {
        self.window_work += work as f64;
        self.update_window(now);
        if is_empty {
            self.window_start = None;
        }
    }

    /// Records that the queue is not empty.
    fn record_waiting(&mut self, now: Duration) {
        if self.window_start.is_none() {
            self.window_start = Some(now);
            self.window_work = 0.0;
        }
    }

    /// Returns the work per second: the measured rate, or `declared` if there is no measurement.
    fn rate(&mut self, now: Duration, declared: f64) -> f64 {
        self.update_window(now);
        let measured = self.measured.unwrap_or(declared);
        measured.max(declared * MIN_DRAIN_RATE_SHARE)
    }

    fn update_window(&mut self, now: Duration) {
        let Some(start) = self.window_start else {
            self.measured = None;
            return;
        };
        let elapsed = now.saturating_sub(start);
        if elapsed < DRAIN_RATE_WINDOW {
            return;
        }
        self.measured = Some(self.window_work / elapsed.as_secs_f64());
        self.window_work = 0.0;
        self.window_start = Some(now);
    }
}

impl Scheduler {
    pub(super) fn new(clock: Clock, routing_state: RoutingState, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State {
                routing_state,
                queues: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Assigns a request to a target or a region, and queues the request if all targets are busy.
    ///
    /// # Errors
    ///
    /// Returns a refusal with `ran: no`; the value covers this attempt only.
    pub(super) async fn assign(
        self: &Arc<Self>,
        requirements: &Requirements,
    ) -> Result<Assignment, Refusal> {
        let rx = {
            let mut state = self.lock();
            match self.try_assign(&mut state, requirements) {
                Some(outcome) => return outcome,
                None => self.enqueue(&mut state, requirements)?,
            }
        };
        rx.await.unwrap_or_else(|_| Err(overloaded(None)))
    }

    /// Assigns or refuses a request without queueing; `None` if the request must be queued.
    fn try_assign(
        self: &Arc<Self>,
        state: &mut State,
        requirements: &Requirements,
    ) -> Option<Result<Assignment, Refusal>> {
        let now = self.clock.now();
        let queue_wait = state.queue_wait(now, &requirements.pool);
        let bypasses_queue =
            !requirements.is_first_attempt() || !state.routing_state.queues_when_busy();
        let must_queue = !bypasses_queue
            && state
                .queues
                .get(&requirements.pool)
                .is_some_and(|queue| !queue.is_empty());
        match state.decide(now, requirements, queue_wait, None) {
            Decision::Local(_) if must_queue => None,
            Decision::Local(key) => Some(Ok(self.occupy_slot(state, key, requirements))),
            Decision::Forward(region) => Some(Ok(assign_remote(state, now, region, requirements))),
            Decision::Queue => None,
            Decision::Unroutable(why) => Some(Err(no_target(why))),
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        state: &mut State,
        requirements: &Requirements,
    ) -> Result<oneshot::Receiver<Result<Assignment, Refusal>>, Refusal> {
        let now = self.clock.now();
        let declared = state.declared_rate(&requirements.pool);
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            requirements: requirements.clone(),
            tx,
        };
        let queue = state
            .queues
            .entry(requirements.pool.clone())
            .or_insert_with(PoolQueue::new);
        if !requirements.is_first_attempt() {
            queue.fifo.push_back(waiter);
            return Ok(rx);
        }
        let rate = queue.drain_rate.rate(now, declared);
        queue.fair.set_drain_rate(rate);
        let pushed = queue.fair.push(
            now,
            QueuedRequest {
                organisation: requirements.organisation.clone(),
                weight: requirements.weight,
                tokens: requirements.work(),
                priority: requirements.priority,
                deadline: requirements.deadline,
                item: waiter,
            },
        );
        match pushed {
            Ok(pushed) => {
                if let Some(displaced) = pushed.displaced {
                    // The send fails only if the caller has disconnected.
                    let _ = displaced.tx.send(Err(overloaded(None)));
                }
                queue.drain_rate.record_waiting(now);
                self.drain(state, &requirements.pool, None);
                Ok(rx)
            }
            Err(full) => Err(overloaded(Some(full.retry_after))),
        }
    }

    /// Assigns the free targets of a pool to its queued requests.
    ///
    /// `freed` is a target on which a request has just ended.
    fn drain(self: &Arc<Self>, state: &mut State, pool: &PoolName, freed: Option<TargetKey>) {
        let Some(mut queue) = state.queues.remove(pool) else {
            return;
        };
        let now = self.clock.now();
        self.drain_fifo(state, &mut queue, now, freed);
        while !queue.fair.is_empty() {
            let start = state.rng.random_range(0..usize::MAX);
            let Some(free) = state
                .routing_state
                .find_free_target(now, pool, freed, start)
            else {
                break;
            };
            let Some(waiter) = queue.fair.pop(now) else {
                break;
            };
            if waiter.tx.is_closed() {
                continue;
            }
            let is_empty = queue.fair.is_empty();
            queue
                .drain_rate
                .record_dequeued(now, waiter.requirements.work(), is_empty);
            self.assign_waiter(state, &mut queue, waiter, now, Some(free));
        }
        for expired in queue.fair.expire(now) {
            let _ = expired.tx.send(Err(deadline_exceeded()));
        }
        state.queues.insert(pool.clone(), queue);
    }

    fn drain_fifo(
        self: &Arc<Self>,
        state: &mut State,
        queue: &mut PoolQueue,
        now: Duration,
        freed: Option<TargetKey>,
    ) {
        for _ in 0..queue.fifo.len() {
            let Some(waiter) = queue.fifo.pop_front() else {
                return;
            };
            if waiter.tx.is_closed() {
                continue;
            }
            if waiter.requirements.deadline <= now {
                let _ = waiter.tx.send(Err(deadline_exceeded()));
                continue;
            }
            self.assign_waiter(state, queue, waiter, now, freed);
        }
    }

    /// Assigns one dequeued request, or appends the request to the FIFO queue if no target is free.
    fn assign_waiter(
        self: &Arc<Self>,
        state: &mut State,
        queue: &mut PoolQueue,
        waiter: Waiter,
        now: Duration,
        free: Option<TargetKey>,
    ) {
        let outcome = match state.decide(now, &waiter.requirements, Duration::ZERO, free) {
            Decision::Local(key) => Ok(self.occupy_slot(state, key, &waiter.requirements)),
            Decision::Forward(region) => {
                Ok(assign_remote(state, now, region, &waiter.requirements))
            }
            Decision::Queue => {
                queue.fifo.push_back(waiter);
                return;
            }
            Decision::Unroutable(why) => Err(no_target(why)),
        };
        if let Err(Ok(Assignment::Local(mut slot))) = waiter.tx.send(outcome) {
            // The caller has disconnected. The slot is released here, because dropping a counted
            // slot would lock the state again; the calling loop assigns the target to the next
            // queued request.
            state.routing_state.record_end(slot.key, slot.suspect);
            slot.is_counted = false;
        }
    }

    /// Assigns free targets to queued requests of all pools and refuses expired requests.
    pub(super) fn drain_all_queues(self: &Arc<Self>) {
        let mut state = self.lock();
        let pools: Vec<PoolName> = state.queues.keys().cloned().collect();
        for pool in pools {
            self.drain(&mut state, &pool, None);
        }
    }

    fn occupy_slot(
        self: &Arc<Self>,
        state: &mut State,
        key: TargetKey,
        requirements: &Requirements,
    ) -> Assignment {
        state.routing_state.record_start(key, requirements.suspect);
        let (address, plugin) = state.routing_state.target(key);
        Assignment::Local(Slot {
            address: address.clone(),
            plugin: plugin.clone(),
            scheduler: Arc::clone(self),
            key,
            pool: requirements.pool.clone(),
            suspect: requirements.suspect,
            started: self.clock.now(),
            is_counted: true,
        })
    }
}

impl State {
    fn decide(
        &mut self,
        now: Duration,
        requirements: &Requirements,
        queue_wait: Duration,
        hint: Option<TargetKey>,
    ) -> Decision {
        let query = requirements.route_query(queue_wait, hint);
        self.routing_state.decide(now, &query, &mut self.rng)
    }

    /// Returns the estimated time that a new request for a pool waits in the queue.
    pub(super) fn queue_wait(&mut self, now: Duration, pool: &PoolName) -> Duration {
        let declared = self.declared_rate(pool);
        let Some(queue) = self.queues.get_mut(pool) else {
            return Duration::ZERO;
        };
        let rate = queue.drain_rate.rate(now, declared).max(f64::MIN_POSITIVE);
        let seconds = queue.fair.tokens() as f64 / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the summary of this region for instances of other regions.
    pub(super) fn summary(&mut self, now: Duration) -> RegionSummary {
        let pools: Vec<PoolName> = self.queues.keys().cloned().collect();
        let mut waits = HashMap::with_capacity(pools.len());
        for pool in pools {
            let wait = self.queue_wait(now, &pool);
            waits.insert(pool, wait);
        }
        self.routing_state.summary(now, |pool| {
            waits.get(pool).copied().unwrap_or(Duration::ZERO)
        })
    }

    /// Returns this instance's share of the work per second that the target list declares for a
    /// pool.
    fn declared_rate(&self, pool: &PoolName) -> f64 {
        self.routing_state.capacity(pool) / self.routing_state.local_instances()
    }
}

fn assign_remote(
    state: &mut State,
    now: Duration,
    region: RegionKey,
    requirements: &Requirements,
) -> Assignment {
    state
        .routing_state
        .record_forward(now, region, &requirements.pool, requirements.link_bytes);
    let name = state.routing_state.region_name(region).clone();
    Assignment::Remote(region, name)
}

fn no_target(why: UnroutableReason) -> Refusal {
    match why {
        UnroutableReason::NoAllowedRegion => Refusal::not_run(
            Code::NoAllowedRegion,
            "no region in which the request may run has a target for it",
        ),
        UnroutableReason::NoTarget => {
            Refusal::not_run(Code::NoTarget, "no live target can take the request")
                .retry_after(DEFAULT_RETRY_AFTER)
        }
    }
}

fn overloaded(retry_after: Option<Duration>) -> Refusal {
    let refusal = Refusal::not_run(
        Code::Overloaded,
        "all targets are busy and the queue is full or too slow",
    );
    refusal.retry_after(retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
}

fn deadline_exceeded() -> Refusal {
    Refusal::not_run(
        Code::DeadlineExceeded,
        "the deadline passed before a target was free",
    )
    .retry_after(DEFAULT_RETRY_AFTER)
}
