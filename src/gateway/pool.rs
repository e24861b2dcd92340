//! Chooses the target of this region that serves a request.
//!
//! Many prompts share long parts, and prefilling a shared part again takes longer than a short
//! wait. So requests with the same last shared part go to one target, whose prefix cache then
//! holds that part. All instances find the same target by rendezvous hashing, without exchanging
//! messages. When that target's backlog costs more than prefilling the part on another target,
//! the request goes to the other target.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use smol_str::SmolStr;

use super::brittle::BrittleTargets;
use super::dialect::PromptPart;
use super::platform_view::PlatformView;
use super::registry::KnownTarget;
use super::scheduler::TAKEOVER_TIME;
use super::target_limits::{LimitedTargets, ProcessKey, TargetLimits};
use super::urgency;
use super::warmup;
use super::withdrawal::{QuietEnd, Withdrawals};
use crate::id::{RegionId, TargetId};
use crate::rendezvous::weight;

pub use self::target_state::Prefill;

use self::target_state::TargetState;

mod target_state;

/// Cost added to a target that fails every request, in milliseconds; scaled by the failure rate.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Largest random cost added to a target, in milliseconds, so that equal targets share the load.
const JITTER_MS: f64 = 2.0;

/// Time for which other requests avoid a failed target while one request probes it.
const RECOVERY_PROBE_TIME: Duration = Duration::from_millis(300);

/// Weight of the newest outcome in the moving average of a target's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;

/// What a request asks of its target.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service that the target must belong to.
    pub service: &'a SmolStr,
    /// The software version that the target must run; `None` for any.
    pub software_version: Option<&'a SmolStr>,
    /// The prompt's parts; empty for plain services.
    pub prompt: &'a [PromptPart],
    /// Targets that the request has already been tried at.
    pub tried: &'a [TargetId],
    /// Targets that the asking instance does not reach; chosen only if there is no other.
    pub avoided: &'a [TargetId],
}

impl<'a> Demand<'a> {
    /// Creates the demand of a request without a prompt that any target of a service may serve.
    pub fn of_service(service: &'a SmolStr) -> Self {
        Self {
            service,
            software_version: None,
            prompt: &[],
            tried: &[],
            avoided: &[],
        }
    }
}

/// A query for a target.
#[derive(Debug, Clone)]
pub struct TargetQuery<'a> {
    /// What the request asks of its target.
    pub demand: Demand<'a>,
    /// The ids of the instances for whose requests the target is chosen; they have their shares of a
    /// cold target's request rate together.
    pub senders: &'a [&'a str],
    /// All known instances of the region, which split the request rate that a cold target (a target
    /// in its warm-up time) can take.
    pub instances: &'a [&'a str],
    /// `(overshoot, slack)`: a cold target takes `warmup_per_s × overshoot + slack` requests per
    /// second.
    pub warmup: (f64, f64),
    /// The targets to choose from and the time since which this instance has been their scheduler;
    /// `None` for all targets.
    pub owned_since: Option<&'a HashMap<TargetId, Duration>>,
    /// How targets that have named a limit are treated.
    pub limited: LimitedTargets,
    /// How many more urgent requests each target runs on average; the request leaves slots free for
    /// these.
    pub more_urgent: f64,
}

/// An event at a target, as seen by the instance that sent a request to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetEvent {
    /// The answer has begun, so the target has read the prompt.
    Prefilled,
    /// The target has reported its load.
    Load {
        /// Running requests.
        running: u32,
        /// Waiting requests.
        waiting: u32,
    },
    /// The target has answered successfully.
    Succeeded,
    /// The target was reachable and failed the request.
    Failed,
    /// The target could not be reached or broke the connection.
    Unreachable,
    /// The target is about to leave.
    Leaving,
    /// The target wants no requests for this time.
    Quiet(Duration),
    /// The request has ended.
    Ended,
}

/// A chosen target.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub id: TargetId,
    /// The target as the registry knows it.
    pub known: KnownTarget,
    /// Expected wait before the target starts on the request, in milliseconds.
    pub wait_ms: f64,
    /// The expected wait plus the prefill time of shared parts that the target does not hold, the
    /// penalty for its failure rate and a random amount, in milliseconds.
    pub cost_ms: f64,
    /// Whether the target is ejected and chosen only because no other target is available.
    pub ejected: bool,
    /// The part of the cost that is time to read shared parts and the delay of the streams that the
    /// prompt stalls, in milliseconds.
    pub added_ms: f64,
    /// Whether the target has no slot free but those that are kept for more urgent requests.
    pub crowded: bool,
    /// Whether the target is brittle and has no slot that is known to be free. It must not be sent the
    /// request.
    pub full: bool,
    /// How long the request has to be held back for the limit that the target has named; part of the
    /// expected wait.
    pub send_delay: Duration,
}

/// What a target's expected wait is made of, besides the load that it reports.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Requests that have been sent and not answered in full.
    pub in_flight: u32,
    /// Time to read the prompts of requests whose answers have not begun, in milliseconds.
    pub pending_prefill_ms: f64,
    /// Modelled time to read all prompts that were sent, in milliseconds.
    pub backlog_ms: f64,
}

impl Choice {
    /// Returns the process that was chosen.
    pub fn process(&self) -> ProcessKey {
        (self.id.clone(), self.known.entry.started_unix_ms)
    }
}

/// What this instance knows about the targets of its region.
#[derive(Debug)]
pub struct Pool {
    prefill: Prefill,
    states: HashMap<TargetId, TargetState>,
    withdrawals: Withdrawals,
    limits: TargetLimits,
    brittle: BrittleTargets,
}

impl Pool {
    /// Creates a pool that knows nothing yet.
    pub fn new(prefill: Prefill) -> Self {
        Self {
            prefill,
            states: HashMap::new(),
            withdrawals: Withdrawals::default(),
            limits: TargetLimits::default(),
            brittle: BrittleTargets::default(),
        }
    }

    /// Chooses the target with the least cost and counts the choice; `draw` returns random numbers
    /// from 0 to 1.
    pub fn choose(
        &mut self,
        now: Duration,
        view: &PlatformView,
        region: &RegionId,
        query: &TargetQuery<'_>,
        draw: impl FnMut() -> f64,
    ) -> Option<Choice> {
        let choice = self.evaluate(now, view, region, query, draw)?;
        if choice.full {
            return None;
        }
        self.record_choice(now, &choice);
        Some(choice)
    }

    /// Chooses a target like [`Pool::choose`].
    ///
    /// # Errors
    ///
    /// If no target takes the request: the quiet that ends first, if all targets are quiet or leave.
    pub fn choose_or_quiet(
        &mut self,
        now: Duration,
        view: &PlatformView,
        region: &RegionId,
        query: &TargetQuery<'_>,
        draw: impl FnMut() -> f64,
    ) -> Result<Choice, Option<QuietEnd>> {
        let choice = self.choose(now, view, region, query, draw);
        choice.ok_or_else(|| self.quiet_left(now, view, region, query))
    }

    /// Counts a choice that [`Pool::evaluate`] returned and that is about to be used.
    pub fn record_choice(&mut self, now: Duration, choice: &Choice) {
        let state = self.state(&choice.id, &choice.known);
        if choice.known.cold_until.max(state.cold_until) > now {
            // The choice is counted before the send, as other requests choose while this request
            // connects.
            state.recent_sends.record(now);
        }
        if state.ejection.has_failed() {
            // One request at a time probes whether the target has recovered.
            state.ejection.extend(now + RECOVERY_PROBE_TIME);
        }
    }

    /// Returns the target that [`Pool::choose`] would choose, without counting the choice.
    pub fn evaluate(
        &mut self,
        now: Duration,
        view: &PlatformView,
        region: &RegionId,
        query: &TargetQuery<'_>,
        mut draw: impl FnMut() -> f64,
    ) -> Option<Choice> {
        let demand = query.demand;
        let candidates = candidates(view, region, demand.service, demand.software_version);
        let preferred_target = preferred_target(&candidates, demand.prompt);
        let prefill = self.prefill;
        let mut best: Option<Choice> = None;
        let mut crowded_best: Option<Choice> = None;
        let mut fallback: Option<Choice> = None;
        for (id, known) in candidates {
            let owned = query.owned_since.is_none_or(|o| o.contains_key(id));
            let owned_since = query.owned_since.and_then(|o| o.get(id)).copied();
            let slots = known.entry.slots;
            let started = known.entry.started_unix_ms;
            if !owned
                || demand.tried.contains(id)
                || !self.withdrawals.takes_requests(now, id, started)
                || !self.takes_another(now, view, id, known, query)
            {
                continue;
            }
            let Some(send_delay) = self.send_delay(now, id, known, query) else {
                continue;
            };
            let process = (id.clone(), started);
            let is_brittle = self.brittle.is_brittle(&process);
            if is_brittle && query.limited == LimitedTargets::LeftOut {
                continue;
            }
            let state = self.state(id, known);
            let full = is_brittle
                && query.limited == LimitedTargets::Scheduled
                && !state.has_known_room(now, slots, owned_since);
            let is_preferred = preferred_target == Some(id);
            let (own_tokens, shared_tokens) =
                state.tokens_to_read(now, demand.prompt, is_preferred);
            let shared_ms = state.read_ms(prefill, shared_tokens);
            let stall_ms =
                state.stalled_streams(slots) * (shared_ms + state.read_ms(prefill, own_tokens));
            let usable_slots = slots - urgency::kept_free(slots, query.more_urgent);
            let crowded = usable_slots < slots && state.in_flight >= usable_slots;
            let wait_ms = state
                .expected_wait_ms(now, slots, usable_slots, prefill)
                .max(send_delay.as_secs_f64() * 1_000.0);
            let penalty_ms = state.failure_rate * FAILURE_PENALTY_MS;
            let cost_ms = wait_ms + shared_ms + stall_ms + penalty_ms + draw() * JITTER_MS;
            let ejected = state.ejection.is_ejected(now) || demand.avoided.contains(id);
            let least = match (ejected, crowded || full) {
                (false, false) => &mut best,
                (false, true) => &mut crowded_best,
                (true, _) => &mut fallback,
            };
            if least.as_ref().is_some_and(|l| l.cost_ms <= cost_ms) {
                continue;
            }
            *least = Some(Choice {
                id: id.clone(),
                known: known.clone(),
                wait_ms,
                cost_ms,
                ejected,
                added_ms: shared_ms + stall_ms,
                crowded,
                full,
                send_delay,
            });
        }
        best.or(crowded_best).or(fallback)
    }

    /// Counts a request that is being sent; returns the prompt tokens that the target has to
    /// prefill for the request.
    ///
    /// Each of the region's `instances` is assumed to send as much as this instance.
    pub fn record_send(
        &mut self,
        now: Duration,
        choice: &Choice,
        prompt: &[PromptPart],
        instances: usize,
    ) -> u64 {
        let prefill = self.prefill;
        let state = self.state(&choice.id, &choice.known);
        state.in_flight += 1;
        let (own_tokens, uncached_tokens) = state.prefill_tokens(now, prompt);
        let tokens = own_tokens + uncached_tokens;
        state.pending_prefill_tokens += tokens;
        state.add_backlog(now, own_tokens + uncached_tokens, instances, prefill);
        state.record_cached(now, prompt);
        tokens
    }

    /// Records an event at a target that another instance has reported.
    pub fn record_event(&mut self, now: Duration, id: &TargetId, event: TargetEvent) {
        match event {
            TargetEvent::Load { running, waiting } => {
                self.record_load_report(now, id, running, waiting);
            }
            TargetEvent::Succeeded => self.record_success(id),
            TargetEvent::Failed => self.record_error(id),
            TargetEvent::Unreachable => {
                self.eject(now, id);
            }
            TargetEvent::Leaving => {
                let started = self.states.get(id).map(|s| s.started_unix_ms);
                if let Some(started) = started {
                    self.withdrawals.record_leaving(now, id, started);
                }
            }
            TargetEvent::Quiet(quiet) => {
                let started = self.states.get(id).map(|s| s.started_unix_ms);
                if let Some(started) = started {
                    self.withdrawals.record_quiet(now, id, started, quiet, 0.0);
                }
            }
            // These events concern one reservation, whose tokens the scheduler knows.
            TargetEvent::Prefilled | TargetEvent::Ended => {}
        }
    }

    /// Records that an answer has begun, so that the target has prefilled the prompt.
    pub fn record_prefill_done(&mut self, id: &TargetId, tokens: u64) {
        if let Some(state) = self.states.get_mut(id) {
            state.pending_prefill_tokens = state.pending_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a target counts as cold until `until`, which the registry may not have told.
    pub fn record_cold(&mut self, id: &TargetId, known: &KnownTarget, until: Duration) {
        let state = self.state(id, known);
        state.cold_until = state.cold_until.max(until);
    }

    /// Returns the targets that were found to be cold, when their processes started, and how much
    /// longer they count as cold.
    pub fn found_cold(&self, now: Duration) -> Vec<(TargetId, u64, Duration)> {
        let mut found = Vec::new();
        for (id, state) in &self.states {
            let left = state.cold_until.saturating_sub(now);
            if !left.is_zero() {
                found.push((id.clone(), state.started_unix_ms, left));
            }
        }
        found
    }

    /// Whether a target is known to be cold.
    pub fn is_cold(&mut self, now: Duration, id: &TargetId, known: &KnownTarget) -> bool {
        known.cold_until.max(self.state(id, known).cold_until) > now
    }

    /// Records that a request has ended before the target has read its prompt, so that the target
    /// reads the prompts behind it sooner.
    pub fn record_unread(&mut self, now: Duration, id: &TargetId, tokens: u64) {
        let prefill = self.prefill;
        self.record_prefill_done(id, tokens);
        if let Some(state) = self.states.get_mut(id) {
            let read_ms = state.read_ms(prefill, tokens);
            state.backlog_ms = (state.backlog_ms_at(now) - read_ms).max(0.0);
            state.backlog_updated_at = now;
        }
    }

    /// Records that the target has read `tokens` tokens of a prompt that was sent at `sent_at`.
    pub fn record_read(&mut self, now: Duration, id: &TargetId, tokens: u64, sent_at: Duration) {
        self.record_prefill_done(id, tokens);
        if let Some(state) = self.states.get_mut(id) {
            state.record_read(now, tokens, sent_at);
        }
    }

    /// Records how long a request has held a slot of a target.
    pub fn record_hold(&mut self, id: &TargetId, hold: Duration) {
        if let Some(state) = self.states.get_mut(id) {
            state.record_hold(hold);
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, id: &TargetId) {
        if let Some(state) = self.states.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records a target's load report: its running and waiting requests.
    pub fn record_load_report(&mut self, now: Duration, id: &TargetId, running: u32, waiting: u32) {
        if let Some(state) = self.states.get_mut(id) {
            state.load_report = Some((now, running, waiting));
            state.foreign = running
                .saturating_add(waiting)
                .saturating_sub(state.in_flight);
        }
    }

    /// Tells whether this instance, the scheduler of a target since `since`, knows how many requests
    /// the target has.
    pub fn knows_load(
        &mut self,
        now: Duration,
        id: &TargetId,
        known: &KnownTarget,
        since: Duration,
    ) -> bool {
        self.state(id, known).knows_load(now, since)
    }

    /// Returns what a target's expected wait is made of.
    pub fn load(&self, now: Duration, id: &TargetId) -> TargetLoad {
        let Some(state) = self.states.get(id) else {
            return TargetLoad::default();
        };
        TargetLoad {
            in_flight: state.in_flight,
            pending_prefill_ms: state.read_ms(self.prefill, state.pending_prefill_tokens),
            backlog_ms: state.backlog_ms_at(now),
        }
    }

    /// Returns how many targets are ejected.
    pub fn ejected_targets(&self, now: Duration) -> usize {
        let ejected = self.states.values().filter(|s| s.ejection.is_ejected(now));
        ejected.count()
    }

    /// Returns the age of a target's last load report.
    pub fn load_report_age(&self, now: Duration, id: &TargetId) -> Option<Duration> {
        let (at, ..) = self.states.get(id)?.load_report?;
        Some(now.saturating_sub(at))
    }

    /// Records a successful answer, which ends the target's ejection.
    pub fn record_success(&mut self, id: &TargetId) {
        if let Some(state) = self.states.get_mut(id) {
            state.ejection.record_success();
            state.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        }
    }

    /// Records that a reachable target failed a request; the target is not ejected.
    pub fn record_error(&mut self, id: &TargetId) {
        if let Some(state) = self.states.get_mut(id) {
            state.failure_rate += (1.0 - state.failure_rate) * FAILURE_RATE_WEIGHT;
        }
    }

    /// Ejects a target that could not be reached or broke the connection; returns the ejection
    /// time.
    pub fn eject(&mut self, now: Duration, id: &TargetId) -> Duration {
        let Some(state) = self.states.get_mut(id) else {
            return Duration::ZERO;
        };
        state.failure_rate += (1.0 - state.failure_rate) * FAILURE_RATE_WEIGHT;
        state.ejection.record_failure(now)
    }

    /// The targets that take no requests for now.
    pub fn withdrawals(&mut self) -> &mut Withdrawals {
        &mut self.withdrawals
    }

    /// The request rates that targets have named.
    pub fn limits(&mut self) -> &mut TargetLimits {
        &mut self.limits
    }

    /// Returns whether the process of a chosen target still takes requests.
    pub fn takes_requests(&self, now: Duration, choice: &Choice) -> bool {
        let started = choice.known.entry.started_unix_ms;
        self.withdrawals.takes_requests(now, &choice.id, started)
    }

    /// The targets that fall over when they turn too many requests away.
    pub fn brittle(&mut self) -> &mut BrittleTargets {
        &mut self.brittle
    }

    /// Returns the quiet that ends first of the targets that a query allows, if all of them are quiet
    /// or leave.
    pub fn quiet_left(
        &self,
        now: Duration,
        view: &PlatformView,
        region: &RegionId,
        query: &TargetQuery<'_>,
    ) -> Option<QuietEnd> {
        let mut first: Option<QuietEnd> = None;
        let demand = query.demand;
        for (id, known) in candidates(view, region, demand.service, demand.software_version) {
            let owned = query.owned_since.is_none_or(|o| o.contains_key(id));
            if !owned || demand.tried.contains(id) {
                continue;
            }
            let started = known.entry.started_unix_ms;
            if self.withdrawals.takes_requests(now, id, started) {
                return None;
            }
            let quiet = self.withdrawals.quiet_left(now, id, started);
            first = [first, quiet].into_iter().flatten().min_by_key(|q| q.left);
        }
        first
    }

    /// Drops the state of targets that no longer exist and have no request in flight.
    pub fn retain(&mut self, now: Duration, view: &PlatformView) {
        self.withdrawals.expire(now, |id| {
            let listed = view.targets.get(id)?;
            Some(listed.entry.started_unix_ms)
        });
        let is_listed = |(id, started): &ProcessKey| {
            let listed = view.targets.get(id);
            listed.is_some_and(|known| known.entry.started_unix_ms == *started)
        };
        self.limits.expire(now, is_listed);
        self.brittle.expire(now, is_listed);
        self.states
            .retain(|id, state| state.in_flight > 0 || view.targets.contains_key(id));
    }

    fn state(&mut self, id: &TargetId, known: &KnownTarget) -> &mut TargetState {
        let state = self.states.entry(id.clone()).or_default();
        if state.started_unix_ms != known.entry.started_unix_ms {
            // A restarted target has lost its prefix cache and its queue.
            let in_flight = state.in_flight;
            *state = TargetState {
                started_unix_ms: known.entry.started_unix_ms,
                in_flight,
                ..TargetState::default()
            };
        }
        state
    }

    /// Returns how long a request to a target has to be held back; `None` if the target is left out.
    fn send_delay(
        &self,
        now: Duration,
        id: &TargetId,
        known: &KnownTarget,
        query: &TargetQuery<'_>,
    ) -> Option<Duration> {
        if self.limits.is_empty() {
            return Some(Duration::ZERO);
        }
        let process = (id.clone(), known.entry.started_unix_ms);
        if self.limits.per_s(&process).is_none() {
            return Some(Duration::ZERO);
        }
        match query.limited {
            LimitedTargets::Scheduled => {
                let owned_since = query.owned_since.and_then(|o| o.get(id));
                let takeover_end = owned_since.map_or(now, |since| *since + TAKEOVER_TIME);
                let delay = self.limits.delay(now, &process);
                Some(delay.max(takeover_end.saturating_sub(now)))
            }
            LimitedTargets::Asked => Some(self.limits.known_delay(now, &process)),
            LimitedTargets::LeftOut => None,
        }
    }

    /// Tells whether the target is warm or, if cold, may get another request from this instance
    /// now.
    fn takes_another(
        &mut self,
        now: Duration,
        view: &PlatformView,
        id: &TargetId,
        known: &KnownTarget,
        query: &TargetQuery<'_>,
    ) -> bool {
        if !self.is_cold(now, id, known) {
            return true;
        }
        let per_s = view.warmup_per_s(query.demand.service);
        if per_s <= 0.0 {
            return true;
        }
        let owned_since = query.owned_since.and_then(|o| o.get(id));
        if owned_since.is_some_and(|since| now < *since + TAKEOVER_TIME) {
            return false;
        }
        let (overshoot, slack) = query.warmup;
        let bound = per_s * overshoot + slack;
        let shares = query.senders.iter().map(|sender| {
            let target = id.as_str();
            warmup::share(bound, target, sender, query.instances)
        });
        let share = shares.sum();
        self.state(id, known).recent_sends.has_room(now, share)
    }
}

/// Returns the parts that other requests may share: all but the last.
pub(super) fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    &prompt[..prompt.len().saturating_sub(1)]
}

/// Returns the region's targets of a service that take new requests and run the software version,
/// if one is given.
fn candidates<'a>(
    view: &'a PlatformView,
    region: &RegionId,
    service: &SmolStr,
    software_version: Option<&SmolStr>,
) -> Vec<(&'a TargetId, &'a KnownTarget)> {
    let mut candidates = Vec::new();
    for (id, known) in &view.targets {
        let entry = &known.entry;
        if entry.service != *service || entry.leaving {
            continue;
        }
        if software_version.is_some_and(|version| entry.software_version != *version) {
            continue;
        }
        if view.region_of(&entry.data_centre) != Some(region)
            || view.evacuated_data_centres.contains(&entry.data_centre)
        {
            continue;
        }
        candidates.push((id, known));
    }
    candidates
}

/// Returns the target that all instances prefer for the prompt's last shared part.
fn preferred_target<'a>(
    candidates: &[(&'a TargetId, &'a KnownTarget)],
    prompt: &[PromptPart],
) -> Option<&'a TargetId> {
    let part = shared_parts(prompt).last()?;
    first_by_weight(candidates, part)
}

fn first_by_weight<'a>(
    candidates: &[(&'a TargetId, &'a KnownTarget)],
    part: &PromptPart,
) -> Option<&'a TargetId> {
    let key = part.id.to_be_bytes();
    candidates
        .iter()
        .max_by_key(|(id, _)| weight(&key, id.as_str().as_bytes()))
        .map(|(id, _)| *id)
}

/// Returns the target of the region that suits a prompt best and has not been tried: the one that
/// all instances prefer for the last shared part, or for the prompt if it shares no part.
pub fn preferred<'a>(
    view: &'a PlatformView,
    region: &RegionId,
    demand: &Demand<'_>,
) -> Option<&'a TargetId> {
    let mut candidates = candidates(view, region, demand.service, demand.software_version);
    candidates.retain(|(id, _)| !demand.tried.contains(id));
    let part = shared_parts(demand.prompt)
        .last()
        .or(demand.prompt.last())?;
    first_by_weight(&candidates, part)
}

/// Returns the number of targets of a service that take new requests and run the software version,
/// if one is given, by region.
pub fn capacity(
    view: &PlatformView,
    service: &SmolStr,
    software_version: Option<&SmolStr>,
) -> HashMap<RegionId, u32> {
    let mut capacity = HashMap::new();
    let regions: BTreeSet<&RegionId> = view.region_by_data_centre.values().collect();
    for region in regions {
        let count = candidates(view, region, service, software_version).len();
        if count > 0 {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            capacity.insert(region.clone(), count);
        }
    }
    capacity
}
