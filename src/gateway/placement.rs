//! Asks the scheduler of a target for a place, answers such requests, and reports to schedulers how
//! the requests went.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use smol_str::SmolStr;

use super::attempts::to_millis;
use super::dialect::PromptPart;
use super::ejection::ReachReports;
use super::job::Job;
use super::outbox::{Delivery, Outbox};
use super::platform_view::PlatformView;
use super::pool::{self, Choice, Demand, TargetEvent, TargetQuery};
use super::registry::KnownTarget;
use super::scheduler::{self, Scheduler, scheduler_of, schedulers};
use super::target_limits::{LimitedTargets, MAX_SEND_DELAY, ProcessKey, WireLimit};
use super::warmth::ColdShares;
use super::withdrawal::QuietEnd;
use super::{Gateway, lock};
use crate::id::{InstanceId, RegionId, TargetId};
use crate::journal;
use crate::member::Fleet;
use crate::peer::{PeerError, PeerHandler, decode, decode_named, encode, encode_named};

use self::wire::{WirePlace, WirePlaceRequest, WireRankedAnswer, WireRankedRequest, WireReport};

mod wire;

/// Timeout of a request for a place; covers a round trip within a region and a busy scheduler.
const PLACE_TIMEOUT: Duration = Duration::from_millis(120);

/// How long a scheduler that has not answered is passed over.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// How reports are sent. Lost reports are made up for by the expiry of reservations.
const REPORT_DELIVERY: Delivery = Delivery {
    kind: "placed",
    delay: Duration::from_millis(25),
    timeout: Duration::from_secs(1),
    lost_counter: "limpetstand_placement_reports_lost_total",
};

/// Number of schedulers that are asked before a request is refused.
const MAX_SCHEDULERS_ASKED: usize = 2;

/// Fraction of a cold target's request rate that its scheduler uses. While instances disagree on
/// who is live, two instances may take themselves for the scheduler of a target.
const SCHEDULER_WARMUP_FRACTION: f64 = 0.5;

/// The kind of peer messages that request a place.
const PLACE_KIND: &str = "place";

/// The kind of peer messages that request a place and say how urgent the request is.
const RANKED_PLACE_KIND: &str = "place-ranked";

/// How urgent a request for a place is.
#[derive(Debug, Clone, Copy)]
struct Urgency {
    /// The priority; 0 is the most urgent.
    priority: u8,
    /// Whether the request leaves slots free for more urgent ones.
    yields: bool,
}

impl From<&Job> for Urgency {
    fn from(job: &Job) -> Self {
        Self {
            priority: job.priority,
            yields: job.yields,
        }
    }
}

impl Urgency {
    /// The urgency of requests of older builds, which do not tell it.
    const UNKNOWN: Self = Self {
        priority: u8::MAX,
        yields: false,
    };
}

/// Whether and where a request may be sent.
pub(super) enum Placement {
    /// The request may be sent to a target.
    Placed(Box<Placed>),
    /// Every target would keep the request waiting for too long; the shortest wait in milliseconds.
    Overloaded(f64),
    /// Every target has asked for quiet; that of the target that takes requests again first.
    Quiet(QuietEnd),
    /// No target takes the request now.
    NoTarget,
}

impl From<Result<Choice, Option<QuietEnd>>> for Placement {
    fn from(chosen: Result<Choice, Option<QuietEnd>>) -> Self {
        match chosen {
            Ok(choice) => Self::Placed(Box::new(Placed {
                choice,
                place: None,
            })),
            Err(Some(quiet)) => Self::Quiet(quiet),
            Err(None) => Self::NoTarget,
        }
    }
}

impl Placement {
    /// The expected wait in milliseconds, if a target takes the request at all.
    pub(super) fn wait_ms(&self) -> Option<f64> {
        match self {
            Self::Placed(placed) => Some(placed.choice.wait_ms),
            Self::Overloaded(wait_ms) => Some(*wait_ms),
            Self::Quiet(quiet) => Some(to_millis(quiet.left)),
            Self::NoTarget => None,
        }
    }
}

/// A chosen target, with the place that its scheduler reserved.
pub(super) struct Placed {
    pub choice: Choice,
    pub place: Option<Place>,
}

/// A place at a target; the scheduler learns of its end when this value is dropped.
pub(super) struct Place {
    gateway: Arc<Gateway>,
    /// The scheduler's address; `None` if it is this instance.
    scheduler: Option<SocketAddr>,
    reservation: u64,
}

impl Place {
    /// Reports an event at the target to the scheduler.
    pub(super) fn report(&self, event: TargetEvent) {
        match self.scheduler {
            Some(address) => self
                .gateway
                .reports
                .push(address, WireReport::new(self.reservation, event)),
            None => self.gateway.apply_report(self.reservation, event),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.report(TargetEvent::Ended);
    }
}

/// The reports that wait to be sent to schedulers.
pub(super) type Reports = Outbox<WireReport>;

/// Sends the reports to the schedulers until the runtime ends.
pub(super) async fn send_reports(gateway: Arc<Gateway>) {
    let peers = Arc::clone(&gateway.peers);
    gateway.reports.send_all(peers, REPORT_DELIVERY).await;
}

/// A scheduler's answer to a request for a place.
#[derive(Debug)]
struct PlaceAnswer {
    place: WirePlace,
    /// What the request costs at the place beyond its wait, in milliseconds.
    added_ms: f64,
}

impl From<WirePlace> for PlaceAnswer {
    fn from(place: WirePlace) -> Self {
        Self {
            place,
            added_ms: 0.0,
        }
    }
}

/// The schedulers of each region, as this instance sees the fleet.
#[derive(Debug, Default)]
pub(super) struct Scheduling {
    scheduler: Scheduler,
    reach_reports: ReachReports,
    by_region: HashMap<RegionId, Vec<(InstanceId, SocketAddr)>>,
    avoided_until: HashMap<InstanceId, Duration>,
    fleet: Option<Arc<Fleet>>,
    view: Option<Arc<PlatformView>>,
}

impl Scheduling {
    /// Takes over a change of the fleet or of the targets.
    fn update(&mut self, now: Duration, gateway: &Gateway) {
        let (fleet, view) = (gateway.fleet(), gateway.view());
        let is_current = self.fleet.as_ref().is_some_and(|f| Arc::ptr_eq(f, &fleet))
            && self.view.as_ref().is_some_and(|v| Arc::ptr_eq(v, &view));
        if is_current {
            return;
        }
        self.by_region.clear();
        for region in &gateway.regions {
            let live: Vec<_> = fleet.live_members(region).collect();
            let ids: Vec<&str> = live.iter().map(|m| m.id.as_str()).collect();
            let mut ranked = Vec::new();
            for id in schedulers(region.as_str(), &ids) {
                if let Some(member) = live.iter().find(|m| m.id.as_str() == id) {
                    ranked.push((member.id.clone(), member.peer));
                }
            }
            self.by_region.insert(region.clone(), ranked);
        }
        let ids = self.scheduler_ids(&gateway.region, |_| true);
        let mut owned = Vec::new();
        for (target, known) in &view.targets {
            if view.region_of(&known.entry.data_centre) == Some(&gateway.region)
                && scheduler_of(target, &ids) == Some(gateway.id.as_str())
            {
                owned.push(target.clone());
            }
        }
        self.scheduler.set_owned(now, &owned);
        self.reach_reports
            .retain(|id| view.targets.contains_key(id));
        self.fleet = Some(fleet);
        self.view = Some(view);
    }

    fn scheduler_ids(&self, region: &RegionId, keep: impl Fn(&InstanceId) -> bool) -> Vec<&str> {
        let ranked = self.by_region.get(region).map(Vec::as_slice);
        let kept = ranked.unwrap_or_default().iter().filter(|(id, _)| keep(id));
        kept.map(|(id, _)| id.as_str()).collect()
    }

    /// Returns how many requests the targets of a service run on average that are more urgent and for
    /// which a request leaves slots free.
    fn more_urgent(&self, view: &PlatformView, service: &SmolStr, urgency: Urgency) -> f64 {
        let places = self.scheduler.places();
        let places = places.more_urgent(service, urgency.priority);
        if !urgency.yields || places == 0 {
            return 0.0;
        }
        let owned = self.scheduler.owned_since().keys();
        let known = owned.filter_map(|id| view.targets.get(id));
        let targets = known.filter(|k| k.entry.service == *service).count();
        f64::from(places) / targets.max(1) as f64
    }

    fn avoids(&self, now: Duration, id: &InstanceId) -> bool {
        self.avoided_until.get(id).is_some_and(|until| now < *until)
    }
}

impl Gateway {
    fn scheduling(&self) -> MutexGuard<'_, Scheduling> {
        let mut scheduling = lock(&self.scheduling);
        scheduling.update(self.clock.now(), self);
        scheduling
    }

    /// Returns the schedulers of a region.
    pub(super) fn schedulers_of(&self, region: &RegionId) -> Vec<SocketAddr> {
        let scheduling = self.scheduling();
        let ranked = scheduling.by_region.get(region);
        ranked.map_or_else(Vec::new, |r| r.iter().map(|(_, peer)| *peer).collect())
    }

    /// Requests a place for a request with a prompt at a target of this region.
    ///
    /// If the scheduler of the target that suits best has no room, another scheduler is asked. If
    /// none answers, this instance chooses a target by itself.
    pub(super) async fn place(self: &Arc<Self>, job: &Job, tried: &[TargetId]) -> Placement {
        let mut asked: Vec<InstanceId> = Vec::new();
        let mut overloaded: Option<f64> = None;
        let mut quiet: Option<QuietEnd> = None;
        while let Some((id, address)) = self.next_scheduler(job, tried, &asked) {
            let (answer, scheduler) = if id == self.id {
                let request = self.place_request(job, tried);
                (Some(self.place_here(&request, job.into())), None)
            } else {
                let answer = self.ask_for_place(job, tried, &id, address).await;
                (answer, Some(address))
            };
            asked.push(id);
            let (place, added_ms) = match answer {
                Some(answer) => (Some(answer.place), answer.added_ms),
                None => (None, 0.0),
            };
            match place {
                Some(WirePlace::Reserved {
                    reservation,
                    target,
                    wait_ms,
                    cost_ms,
                    ejected,
                    send_delay_ms,
                }) => {
                    let place = Place {
                        gateway: Arc::clone(self),
                        scheduler,
                        reservation,
                    };
                    self.record_remote_wait(&self.region, &job.service, Some(wait_ms));
                    let known = self.view().targets.get(&target).cloned();
                    let known = known.filter(|known| {
                        let required = job.software_version.as_ref();
                        required.is_none_or(|v| known.entry.software_version == *v)
                    });
                    let Some(known) = known else {
                        // The scheduler knows another registry.
                        continue;
                    };
                    let choice = Choice {
                        id: target,
                        known,
                        wait_ms,
                        cost_ms,
                        ejected,
                        crowded: false,
                        full: false,
                        added_ms,
                        send_delay: Duration::from_millis(send_delay_ms.into()),
                    };
                    return Placement::Placed(Box::new(Placed {
                        choice,
                        place: Some(place),
                    }));
                }
                Some(WirePlace::Overloaded(wait_ms)) => {
                    self.record_remote_wait(&self.region, &job.service, Some(wait_ms));
                    let shortest = overloaded.map_or(wait_ms, |o| o.min(wait_ms));
                    overloaded = Some(shortest);
                }
                Some(WirePlace::Quiet(wire)) => {
                    let other = QuietEnd::from(wire);
                    quiet =
                        Some(quiet.map_or(other, |q| if q.left < other.left { q } else { other }));
                }
                Some(WirePlace::NoTarget) | None => {}
            }
            if asked.len() >= MAX_SCHEDULERS_ASKED {
                break;
            }
        }
        match (overloaded, quiet) {
            (Some(wait_ms), _) => Placement::Overloaded(wait_ms),
            (None, Some(quiet)) => Placement::Quiet(quiet),
            (None, None) => self.choose_alone(job, tried),
        }
    }

    /// Returns the scheduler of a target, its address, and since when this instance has been the
    /// scheduler of the target itself.
    pub(super) fn target_scheduler(
        &self,
        target: &TargetId,
    ) -> (Option<(InstanceId, SocketAddr)>, Option<Duration>) {
        let scheduling = self.scheduling();
        let ids = scheduling.scheduler_ids(&self.region, |_| true);
        let id = scheduler_of(target, &ids);
        let mut ranked = scheduling.by_region.get(&self.region).into_iter().flatten();
        let scheduler = ranked.find(|(i, _)| Some(i.as_str()) == id).cloned();
        let owned_since = scheduling.scheduler.owned_since().get(target).copied();
        (scheduler, owned_since)
    }

    /// Tells whether this instance gives the places at a target.
    pub(super) fn schedules(&self, target: &TargetId) -> bool {
        let scheduling = self.scheduling();
        scheduling.scheduler.owned_since().contains_key(target)
    }

    /// Returns the scheduler to ask next: first that of the target that suits the prompt best, then
    /// a random one.
    fn next_scheduler(
        &self,
        job: &Job,
        tried: &[TargetId],
        asked: &[InstanceId],
    ) -> Option<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let view = self.view();
        let scheduling = self.scheduling();
        let keep = |id: &InstanceId| !scheduling.avoids(now, id) && !asked.contains(id);
        let ids = scheduling.scheduler_ids(&self.region, keep);
        let id = if asked.is_empty() && !job.prompt.is_empty() {
            let preferred = pool::preferred(&view, &self.region, &job.demand(tried))?;
            scheduler_of(preferred, &ids)?
        } else if ids.is_empty() {
            return None;
        } else {
            ids[rand::random_range(0..ids.len())]
        };
        let ranked = scheduling.by_region.get(&self.region)?;
        ranked.iter().find(|(i, _)| i.as_str() == id).cloned()
    }

    async fn ask_for_place(
        &self,
        job: &Job,
        tried: &[TargetId],
        id: &InstanceId,
        address: SocketAddr,
    ) -> Option<PlaceAnswer> {
        match self.exchange_place(job, tried, address).await {
            Ok(place) => Some(place),
            Err(e) => {
                let until = self.clock.now() + AVOID_TIME;
                lock(&self.scheduling)
                    .avoided_until
                    .insert(id.clone(), until);
                metrics::counter!("limpetstand_placements_unanswered_total").increment(1);
                journal::line("scheduler_lost")
                    .text("request", &job.id)
                    .text("peer", id.as_str())
                    .text("error", &e.to_string());
                None
            }
        }
    }

    /// Asks a scheduler for a place, in the way that its build knows.
    async fn exchange_place(
        &self,
        job: &Job,
        tried: &[TargetId],
        to: SocketAddr,
    ) -> Result<PlaceAnswer, PeerError> {
        let timeout = PLACE_TIMEOUT.min(job.time_left());
        let now = self.clock.now();
        let cold = self.known_cold(&job.service);
        if lock(&self.unknown_kinds).may_know(now, to, RANKED_PLACE_KIND) {
            let urgency = Urgency::from(job);
            let body = encode_named(&WireRankedRequest {
                request: encode(&self.place_request(job, tried))?,
                priority: urgency.priority,
                yields: urgency.yields,
                brittle: self.known_brittle(&job.service),
                cold: cold.clone(),
            })?;
            match self.peers.ask(to, RANKED_PLACE_KIND, body, timeout).await {
                Err(PeerError::UnknownKind(kind)) => {
                    lock(&self.unknown_kinds).record(now, to, kind);
                }
                answer => {
                    let answer: WireRankedAnswer = decode_named(&answer?)?;
                    return Ok(PlaceAnswer {
                        place: decode(&answer.place)?,
                        added_ms: answer.added_ms,
                    });
                }
            }
        }
        // A scheduler of an older build cannot be told which targets are cold, so they are left out.
        let mut tried = tried.to_vec();
        tried.extend(cold.into_iter().map(|c| c.target));
        let request = encode(&self.place_request(job, &tried))?;
        let answer = self.peers.ask(to, PLACE_KIND, request, timeout).await?;
        Ok(PlaceAnswer::from(decode::<WirePlace>(&answer)?))
    }

    fn place_request(&self, job: &Job, tried: &[TargetId]) -> WirePlaceRequest {
        WirePlaceRequest {
            service: job.service.clone(),
            software_version: job.software_version.clone(),
            prompt: job.prompt.iter().map(|p| (p.id, p.tokens)).collect(),
            tried: tried.to_vec(),
            asker: self.id.clone(),
            avoided: lock(&self.own_ejections).ejected(self.clock.now()),
            max_wait_ms: (job.attempts == 0).then_some(to_millis(job.max_wait)),
            time_left_ms: u64::try_from(job.time_left().as_millis()).unwrap_or(u64::MAX),
            limits: self.known_limits(&job.service),
        }
    }

    /// Returns the limits that targets of a service have named.
    fn known_limits(&self, service: &SmolStr) -> Vec<(ProcessKey, WireLimit)> {
        let now = self.clock.now();
        let view = self.view();
        let mut limits = Vec::new();
        for (process, limit) in self.pool().limits().in_force() {
            let known = view.targets.get(&process.0);
            if known.is_some_and(|k| k.entry.service == *service) {
                limits.push((process.clone(), WireLimit::new(now, limit)));
            }
        }
        limits
    }

    /// Returns what targets of a service have said of the requests that they can turn away.
    fn known_brittle(&self, service: &SmolStr) -> Vec<(ProcessKey, WireLimit)> {
        let now = self.clock.now();
        let view = self.view();
        let mut brittle = Vec::new();
        for (process, said) in self.pool().brittle().said() {
            let known = view.targets.get(&process.0);
            if known.is_some_and(|k| k.entry.service == *service) {
                brittle.push((process.clone(), WireLimit::new(now, said)));
            }
        }
        brittle
    }

    /// Chooses a target without its scheduler. Cold targets and those with limits are left out, as
    /// only their schedulers know how many requests they have been sent.
    fn choose_alone(&self, job: &Job, tried: &[TargetId]) -> Placement {
        let choice = self.query_pool(job.demand(tried), |pool, now, view, query| {
            let query = TargetQuery {
                warmup: (0.0, 0.0),
                limited: LimitedTargets::LeftOut,
                ..query.clone()
            };
            pool.choose_or_quiet(now, view, &self.region, &query, rand::random)
        });
        choice.into()
    }

    /// Reserves a place at a target that this instance schedules.
    fn place_here(&self, request: &WirePlaceRequest, urgency: Urgency) -> PlaceAnswer {
        let mut prompt = Vec::with_capacity(request.prompt.len());
        for (id, tokens) in &request.prompt {
            prompt.push(PromptPart {
                id: *id,
                tokens: *tokens,
            });
        }
        let now = self.clock.now();
        let view = self.view();
        let settings = self.reloadable_settings();
        let fleet = self.fleet();
        let shares = if self.has_current_news() {
            ColdShares::of_all(self.id.as_str())
        } else {
            let live = fleet.live_members(&self.region).map(|m| m.id.as_str());
            let known = self.known_instances(&view, &fleet);
            ColdShares::of_those_that_ask(self.id.as_str(), live, known)
        };
        let mut scheduling = self.scheduling();
        let query = TargetQuery {
            demand: Demand {
                service: &request.service,
                software_version: request.software_version.as_ref(),
                prompt: &prompt,
                tried: &request.tried,
                avoided: &request.avoided,
            },
            senders: &shares.senders,
            instances: &shares.instances,
            warmup: (
                settings.warmup_overshoot * SCHEDULER_WARMUP_FRACTION,
                settings.warmup_slack * SCHEDULER_WARMUP_FRACTION,
            ),
            owned_since: Some(scheduling.scheduler.owned_since()),
            limited: LimitedTargets::Scheduled,
            more_urgent: scheduling.more_urgent(&view, &request.service, urgency),
        };
        let mut pool = self.pool();
        for (process, limit) in &request.limits {
            pool.limits().hear(process, limit.limit(now));
        }
        let quote = pool.evaluate(now, &view, &self.region, &query, rand::random);
        let Some(quote) = quote else {
            let quiet = pool.quiet_left(now, &view, &self.region, &query);
            return quiet
                .map_or(WirePlace::NoTarget, |q| WirePlace::Quiet(q.into()))
                .into();
        };
        let time_left = Duration::from_millis(request.time_left_ms);
        if request
            .max_wait_ms
            .is_some_and(|max| quote.crowded || quote.wait_ms > max)
            || quote.full
            || quote.send_delay > MAX_SEND_DELAY.min(time_left)
        {
            let load = pool.load(now, &quote.id);
            journal::line("place_refused")
                .text("service", &request.service)
                .text("target", quote.id.as_str())
                .value("wait_ms", format_args!("{:.0}", quote.wait_ms))
                .value("priority", urgency.priority)
                .value("crowded", quote.crowded)
                .value("full", quote.full)
                .value("more_urgent", format_args!("{:.1}", query.more_urgent))
                .value("in_flight", load.in_flight)
                .value("pending_ms", format_args!("{:.0}", load.pending_prefill_ms))
                .value("backlog_ms", format_args!("{:.0}", load.backlog_ms))
                .value("targets", scheduling.scheduler.owned_since().len())
                .value("ejected", pool.ejected_targets(now));
            if quote.full {
                metrics::counter!("limpetstand_places_at_brittle_targets_refused_total")
                    .increment(1);
            } else if quote.crowded {
                metrics::counter!("limpetstand_places_kept_free_total").increment(1);
            }
            return WirePlace::Overloaded(quote.wait_ms).into();
        }
        pool.limits().take(now, &quote.process());
        pool.record_choice(now, &quote);
        let tokens = pool.record_send(now, &quote, &prompt, 1);
        drop(pool);
        let placed = scheduler::Placed {
            service: &request.service,
            priority: urgency.priority,
            prefill_tokens: tokens,
            time_left,
            holder: &request.asker,
        };
        let reservation = scheduling.scheduler.reserve(now, quote.id.clone(), &placed);
        PlaceAnswer {
            place: WirePlace::Reserved {
                reservation,
                target: quote.id,
                wait_ms: quote.wait_ms,
                cost_ms: quote.cost_ms,
                ejected: quote.ejected,
                send_delay_ms: u32::try_from(quote.send_delay.as_millis()).unwrap_or(u32::MAX),
            },
            added_ms: quote.added_ms,
        }
    }

    /// Applies a report about a place that this instance has reserved.
    fn apply_report(&self, reservation: u64, event: TargetEvent) {
        let now = self.clock.now();
        let fleet = self.fleet();
        let is_alone =
            |holder: &InstanceId| fleet.live_members(&self.region).all(|m| m.id == *holder);
        let mut scheduling = lock(&self.scheduling);
        let Scheduling {
            scheduler,
            reach_reports,
            ..
        } = &mut *scheduling;
        let mut pool = self.pool();
        match event {
            TargetEvent::Prefilled => {
                if let Some((target, tokens, sent_at)) = scheduler.finish_prefill(reservation) {
                    pool.record_read(now, &target, tokens, sent_at);
                }
            }
            TargetEvent::Ended => {
                if let Some(ended) = scheduler.end(reservation) {
                    pool.record_unread(now, &ended.target, ended.prefill_tokens);
                    pool.record_hold(&ended.target, now.saturating_sub(ended.reserved_at));
                    pool.record_end(&ended.target);
                }
            }
            event => {
                let Some(reserved) = scheduler.reservation(reservation) else {
                    return;
                };
                let (target, holder) = (&reserved.target, &reserved.holder);
                match event {
                    TargetEvent::Succeeded | TargetEvent::Load { .. } => {
                        reach_reports.record_answer(target);
                    }
                    TargetEvent::Unreachable
                        if !reach_reports.record_not_reached(target, holder, is_alone(holder)) =>
                    {
                        return;
                    }
                    TargetEvent::Leaving => {
                        let (target, holder) = (target.clone(), holder.clone());
                        drop(pool);
                        drop(scheduling);
                        self.apply_leaving(target, holder);
                        return;
                    }
                    _ => {}
                }
                pool.record_event(now, target, event);
            }
        }
    }

    /// Returns the brittle targets that this instance schedules and whose load it does not know.
    pub(super) fn targets_of_unknown_load(&self) -> Vec<(TargetId, KnownTarget)> {
        let view = self.view();
        let mut unknown = Vec::new();
        if self.pool().brittle().is_empty() {
            return unknown;
        }
        let owned = self.scheduling().scheduler.owned_since().clone();
        let now = self.clock.now();
        let mut pool = self.pool();
        for (id, since) in owned {
            let Some(known) = view.targets.get(&id) else {
                continue;
            };
            let process = (id.clone(), known.entry.started_unix_ms);
            if pool.brittle().is_brittle(&process) && !pool.knows_load(now, &id, known, since) {
                unknown.push((id, known.clone()));
            }
        }
        unknown
    }

    /// Ends the reservations whose holders have not reported in time.
    pub(super) fn expire_reservations(&self) {
        let now = self.clock.now();
        let expired = self.scheduling().scheduler.expire(now);
        let mut pool = self.pool();
        for reservation in expired {
            pool.record_unread(now, &reservation.target, reservation.prefill_tokens);
            pool.record_end(&reservation.target);
        }
    }

    /// Returns the target that suits a prompt best of those that this instance schedules.
    pub(super) fn best_scheduled(
        &self,
        service: &SmolStr,
        prompt: &[PromptPart],
    ) -> Option<Choice> {
        let now = self.clock.now();
        let view = self.view();
        let scheduling = self.scheduling();
        let query = TargetQuery {
            demand: Demand {
                prompt,
                ..Demand::of_service(service)
            },
            senders: &[self.id.as_str()],
            instances: &[self.id.as_str()],
            warmup: (0.0, 0.0),
            owned_since: Some(scheduling.scheduler.owned_since()),
            limited: LimitedTargets::Scheduled,
            more_urgent: 0.0,
        };
        let mut pool = self.pool();
        pool.evaluate(now, &view, &self.region, &query, rand::random)
    }
}

/// Answers requests for a place.
pub(super) struct PlaceHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for PlaceHandler {
    fn kind(&self) -> &'static str {
        PLACE_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let request: WirePlaceRequest = decode(&body)?;
        encode(&self.0.place_here(&request, Urgency::UNKNOWN).place)
    }
}

/// Answers requests for a place that say how urgent they are.
pub(super) struct RankedPlaceHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for RankedPlaceHandler {
    fn kind(&self) -> &'static str {
        RANKED_PLACE_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let ranked: WireRankedRequest = decode_named(&body)?;
        let request: WirePlaceRequest = decode(&ranked.request)?;
        let urgency = Urgency {
            priority: ranked.priority,
            yields: ranked.yields,
        };
        let now = self.0.clock.now();
        for (process, said) in &ranked.brittle {
            let mut pool = self.0.pool();
            pool.brittle()
                .hear(process, &request.service, said.limit(now));
        }
        self.0.hear_cold(&ranked.cold);
        let answer = self.0.place_here(&request, urgency);
        encode_named(&WireRankedAnswer {
            place: encode(&answer.place)?,
            added_ms: answer.added_ms,
        })
    }
}

/// Receives reports about places.
pub(super) struct ReportHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for ReportHandler {
    fn kind(&self) -> &'static str {
        REPORT_DELIVERY.kind
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let reports: Vec<WireReport> = decode(&body)?;
        for report in reports {
            self.0.apply_report(report.reservation, report.event.into());
        }
        Ok(Bytes::new())
    }
}
