//! Runs a request at targets of this region, or through an instance of another region, and decides
//! about further attempts.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName};
use tokio::time::{Instant, sleep};

use super::Gateway;
use super::job::{Failure, Job, Reply};
use super::late::LateAnswers;
use super::load_shedding;
use super::placement::{Placed, Placement};
use super::platform_view::PlatformView;
use super::pool::{Choice, Demand, Pool, TargetQuery};
use super::region;
use super::target_attempt::AttemptError;
use super::target_limits::{LimitedTargets, MAX_SEND_DELAY};
use super::target_tries::TargetTries;
use super::withdrawal::QuietEnd;
use crate::id::{RegionId, TargetId};
use crate::journal;
use crate::member::Fleet;
use crate::refusal::{Code, Ran, Refusal};

/// Time after an instance's start in which the instance sends nothing to cold targets. The instance
/// does not yet know the other instances, nor what its previous process has sent.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Longest time that a request waits for a starting instance to learn its configuration, the
/// targets and the other instances. This takes a few hundred milliseconds after the start, and
/// callers give up after a second.
pub(super) const STARTUP_WAIT: Duration = Duration::from_millis(700);

/// Interval at which a request waiting for the instance to start checks for a target.
const STARTUP_POLL_PERIOD: Duration = Duration::from_millis(20);

/// `Retry-After` for a request that no target can take; crashed targets are ejected for about as
/// long.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Number of targets with limits whose schedulers are asked before a request is refused.
const MAX_TIMES_ASKED: usize = 3;

/// Hop-by-hop headers, which concern a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::TE,
    http::header::TRAILER,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(super) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for name in text.split(',') {
            if let Ok(name) = HeaderName::try_from(name.trim()) {
                named.push(name);
            }
        }
    }
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

impl Gateway {
    /// Runs a request at a target of this region or through an instance of another region.
    ///
    /// # Errors
    ///
    /// If no target answers. The failure tells whether the request may have run.
    pub(super) async fn dispatch(self: &Arc<Self>, job: &mut Job) -> Result<Reply, Failure> {
        if job.regions.is_empty() {
            // No `Retry-After`: a retry fails until the configuration changes.
            let why = "the route and the organisation have no region in common";
            return Err(self.failure(job, Refusal::not_run(Code::NoTarget, why)));
        }
        let mut late = LateAnswers::default();
        match self.try_regions(job, &mut late).await {
            Ok(reply) => Ok(reply),
            Err(failure) => late.answer_or(failure, job.deadline).await,
        }
    }

    async fn try_regions(
        self: &Arc<Self>,
        job: &mut Job,
        late: &mut LateAnswers,
    ) -> Result<Reply, Failure> {
        let mut tried: Vec<RegionId> = Vec::new();
        let mut last_failure: Option<Failure> = None;
        let started = Instant::now();
        loop {
            if let Some(failure) = self.refuse_if_quarantined(job) {
                return Err(failure);
            }
            let is_local = job.regions.contains(&self.region)
                && !tried.contains(&self.region)
                && !self.is_cut_off();
            let placement = if is_local && self.is_scheduled(job) {
                Some(self.place(job, &job.silent_targets).await)
            } else {
                None
            };
            let mut stats = self.region_stats(job, placement.as_ref());
            let refused = last_failure.as_ref().is_some_and(is_overloaded);
            stats.max_wait_ms = refused.then(|| to_millis(job.max_wait));
            let chosen = region::choose(&self.region, &job.regions, &tried, &stats, rand::random());
            let Some(chosen) = chosen else {
                if tried.is_empty() && self.is_starting() && started.elapsed() < STARTUP_WAIT {
                    sleep(STARTUP_POLL_PERIOD).await;
                    continue;
                }
                return Err(last_failure.unwrap_or_else(|| no_target_failure(job)));
            };
            let through_peer = chosen != self.region || self.is_cut_off();
            let outcome = if !through_peer {
                self.try_targets(job, placement, late).await
            } else {
                drop(placement);
                let attempts = job.attempts;
                match late.race(self.relay_to_region(job, &chosen, &stats)).await {
                    Ok(outcome) => outcome,
                    Err(reply) => Ok(after_cancelled_attempt(reply, attempts)),
                }
            };
            let failure = match outcome {
                Ok(reply) => {
                    job.attempts = reply.attempts;
                    return Ok(reply);
                }
                Err(failure) => failure,
            };
            job.attempts = failure.attempts;
            job.may_have_run |= failure.refusal.ran() == Ran::Unknown;
            job.sent = false;
            let may_retry = failure.try_other_region
                && (failure.refusal.ran() == Ran::No || job.kind.may_repeat())
                && !job.time_left().is_zero()
                && job.attempts_left() > 0;
            if !may_retry || (job.attempts > 0 && !self.try_take_retry(job)) {
                return Err(failure);
            }
            // Other instances of the own region may reach the targets that this one does not.
            if through_peer || !self.is_cut_off() {
                tried.push(chosen);
            }
            last_failure = Some(failure);
        }
    }

    /// Tells whether the instance has started so recently that it may not know the other instances.
    pub(super) fn is_starting(&self) -> bool {
        self.clock.now() < STARTUP_TIME
    }

    /// Runs a request of another region at targets of this region.
    pub(super) async fn run_local(self: &Arc<Self>, job: &mut Job) -> Result<Reply, Failure> {
        let mut late = LateAnswers::default();
        match self.try_targets(job, None, &mut late).await {
            Ok(reply) => Ok(reply),
            Err(failure) => late.answer_or(failure, job.deadline).await,
        }
    }

    /// Runs a request at targets of this region, first at that of `placement` if it is given.
    async fn try_targets(
        self: &Arc<Self>,
        job: &mut Job,
        mut placement: Option<Placement>,
        late: &mut LateAnswers,
    ) -> Result<Reply, Failure> {
        let mut tried: Vec<TargetId> = job.silent_targets.clone();
        let mut tries = TargetTries::new(self.clock.now(), job.time_left());
        // The first send needs no retry; a retry that reaches no target is kept for the next one.
        let mut has_retry = true;
        let mut waited = false;
        if job.attempts == 0 {
            self.record_request(job);
        }
        let mut last_failure: Option<Failure> = None;
        loop {
            let placed = match placement.take() {
                Some(placement) => placement,
                None => self.choose(job, &tried).await,
            };
            let placed = match placed {
                Placement::Placed(placed) => *placed,
                Placement::Overloaded(wait_ms) if job.attempts == 0 => {
                    return Err(self.overloaded_failure(job, wait_ms));
                }
                Placement::Overloaded(_) => {
                    return Err(last_failure.unwrap_or_else(|| no_target_failure(job)));
                }
                Placement::Quiet(quiet) => {
                    let may_wait = !std::mem::replace(&mut waited, true);
                    let wait = quiet.wait(job.max_wait.min(job.time_left()), rand::random());
                    if let Some(wait) = wait.filter(|_| may_wait) {
                        sleep(wait).await;
                        continue;
                    }
                    return Err(last_failure.unwrap_or_else(|| self.quiet_failure(job, quiet)));
                }
                Placement::NoTarget => {
                    return Err(last_failure.unwrap_or_else(|| no_target_failure(job)));
                }
            };
            if let Some(failure) = self.refuse_if_quarantined(job) {
                return Err(failure);
            }
            let Placed { choice, place } = placed;
            let may_try = tries.may_try(self.clock.now(), choice.ejected);
            if !may_try || (!has_retry && job.attempts > 0 && !self.try_take_retry(job)) {
                return Err(last_failure.unwrap_or_else(|| no_target_failure(job)));
            }
            has_retry = true;
            if let Some(failure) = self.refuse_if_overloaded(job, &choice) {
                return Err(failure);
            }
            let attempts = job.attempts;
            let attempt = async {
                if !choice.send_delay.is_zero() {
                    sleep(choice.send_delay).await;
                }
                self.attempt(job, &choice, place).await
            };
            let outcome = match late.race(attempt).await {
                Ok(outcome) => outcome,
                Err(reply) => return Ok(after_cancelled_attempt(reply, attempts)),
            };
            job.may_have_run |= matches!(
                outcome,
                Err(AttemptError::Silent(_) | AttemptError::Unknown(_))
            );
            job.sent = false;
            let failure = match outcome {
                Ok(reply) => return Ok(reply),
                Err(AttemptError::NotReached(why)) => {
                    self.eject_target(job, &choice, &why);
                    tries.record_not_reached();
                    let mut failure = no_target_failure(job);
                    failure.try_other_region = true;
                    failure
                }
                Err(AttemptError::CutOff(why)) => {
                    journal::line("cut_off")
                        .text("request", &job.id)
                        .text("target", choice.id.as_str())
                        .text("error", &why);
                    let mut failure = no_target_failure(job);
                    failure.try_other_region = true;
                    return Err(failure);
                }
                Err(AttemptError::NotRun(why)) => {
                    has_retry = false;
                    let refusal = if job.may_have_run {
                        Refusal::unknown(Code::Overloaded, why)
                    } else {
                        Refusal::not_run(Code::Overloaded, why).retry_after(RETRY_AFTER)
                    };
                    attempt_failed_line(job, &refusal).text("target", choice.id.as_str());
                    self.failure(job, refusal)
                }
                Err(AttemptError::Silent(attempt)) => {
                    has_retry = false;
                    late.push(self, *attempt);
                    let refusal = Refusal::unknown(
                        Code::DeadlineExceeded,
                        "the target did not answer in time",
                    );
                    attempt_failed_line(job, &refusal).text("target", choice.id.as_str());
                    self.failure(job, refusal)
                }
                Err(AttemptError::Unknown(refusal)) => {
                    has_retry = false;
                    attempt_failed_line(job, &refusal).text("target", choice.id.as_str());
                    let failure = self.failure(job, refusal);
                    if !job.kind.may_repeat() {
                        return Err(failure);
                    }
                    failure
                }
            };
            tried.push(choice.id);
            if job.attempts_left() == 0 || job.time_left().is_zero() {
                return Err(failure);
            }
            last_failure = Some(failure);
        }
    }

    /// Refuses a request that would wait too long, unless the request has already been sent to a
    /// target.
    fn refuse_if_overloaded(&self, job: &Job, choice: &Choice) -> Option<Failure> {
        if job.attempts > 0 || from_millis(choice.wait_ms) <= job.max_wait {
            return None;
        }
        Some(self.overloaded_failure(job, choice.wait_ms))
    }

    /// Creates the failure of a request that would wait for `wait_ms`.
    fn overloaded_failure(&self, job: &Job, wait_ms: f64) -> Failure {
        let refusal = Refusal::not_run(Code::Overloaded, "the targets are behind").retry_after(
            load_shedding::retry_after(from_millis(wait_ms), job.max_wait),
        );
        self.failure(job, refusal)
    }

    /// Creates the failure of a request while all targets want no requests.
    fn quiet_failure(&self, job: &Job, quiet: QuietEnd) -> Failure {
        let refusal = Refusal::not_run(Code::Overloaded, "all targets have asked for quiet");
        let retry_after = quiet.retry_after(rand::random()).max(RETRY_AFTER);
        self.failure(job, refusal.retry_after(retry_after))
    }

    pub(super) fn failure(&self, job: &Job, refusal: Refusal) -> Failure {
        Failure {
            refusal,
            attempts: job.attempts,
            try_other_region: true,
        }
    }

    async fn choose(self: &Arc<Self>, job: &Job, tried: &[TargetId]) -> Placement {
        if self.is_scheduled(job) {
            return self.place(job, tried).await;
        }
        for _ in 0..MAX_TIMES_ASKED {
            let choice = self.query_pool(job.demand(tried), |pool, now, view, query| {
                pool.choose_or_quiet(now, view, &self.region, query, rand::random)
            });
            let mut choice = match choice {
                Ok(choice) => choice,
                Err(quiet) => return Err(quiet).into(),
            };
            if self.pool().limits().per_s(&choice.process()).is_none() {
                return Ok(choice).into();
            }
            let max_delay = MAX_SEND_DELAY.min(job.max_wait).min(job.time_left());
            if choice.send_delay > max_delay {
                return Placement::Overloaded(to_millis(choice.send_delay));
            }
            // Another target may suit better if this one does not take the request now.
            let is_delay_known = !choice.send_delay.is_zero();
            let max_delay = if is_delay_known {
                max_delay
            } else {
                Duration::ZERO
            };
            if let Some(delay) = self.ask_for_send_time(job, &choice, max_delay).await {
                choice.send_delay = delay;
                return Ok(choice).into();
            }
        }
        Placement::Overloaded(to_millis(MAX_SEND_DELAY))
    }

    /// Tells whether a request goes to a target through its scheduler: it has a prompt, or its service
    /// may have brittle targets. The other targets report their load with each answer, and their
    /// answers take little time.
    pub(super) fn is_scheduled(&self, job: &Job) -> bool {
        !job.prompt.is_empty() || self.pool().brittle().schedules(&job.service)
    }

    /// Returns all instances of this region that may send requests to its targets. An instance that is
    /// believed dead may still send.
    pub(super) fn known_instances<'a>(
        &'a self,
        view: &'a PlatformView,
        fleet: &'a Fleet,
    ) -> Vec<&'a str> {
        let mut instances: Vec<&str> = vec![self.id.as_str()];
        let listed = view.instances.iter().map(|i| (&i.id, &i.region));
        let members = fleet.members.iter().map(|m| (&m.id, &m.region));
        for (id, region) in listed.chain(members) {
            if *region == self.region && !instances.contains(&id.as_str()) {
                instances.push(id.as_str());
            }
        }
        instances
    }

    /// Calls `run_query` with the pool and a query built from the demand, the region's known
    /// instances and the warm-up bounds.
    pub(super) fn query_pool<T>(
        &self,
        demand: Demand<'_>,
        run_query: impl FnOnce(&mut Pool, Duration, &PlatformView, &TargetQuery<'_>) -> T,
    ) -> T {
        let view = self.view();
        let fleet = self.fleet();
        let instances = self.known_instances(&view, &fleet);
        let reloadable_settings = self.reloadable_settings();
        let warmup = if self.is_starting() {
            (0.0, 0.0)
        } else {
            (
                reloadable_settings.warmup_overshoot,
                reloadable_settings.warmup_slack,
            )
        };
        let query = TargetQuery {
            demand,
            senders: &[self.id.as_str()],
            instances: &instances,
            warmup,
            owned_since: None,
            limited: LimitedTargets::Asked,
            more_urgent: 0.0,
        };
        run_query(&mut self.pool(), self.clock.now(), &view, &query)
    }
}

/// Counts an attempt that was cancelled for a late answer, since its target may have begun to run
/// the request.
fn after_cancelled_attempt(mut reply: Reply, attempts_before: u32) -> Reply {
    reply.attempts = attempts_before + 1;
    reply
}

/// Begins the journal line of an attempt that returned no answer.
pub(super) fn attempt_failed_line(job: &Job, refusal: &Refusal) -> journal::Line {
    journal::line("attempt_failed")
        .text("request", &job.id)
        .text("code", refusal.code().as_str())
        .text("ran", refusal.ran().as_str())
        .text("why", refusal.message())
        .value("attempts", job.attempts)
        .value("attempts_left", job.attempts_left())
        .ms("time_left_ms", job.time_left())
}

/// Tells whether a request was refused since it would have waited for too long.
fn is_overloaded(failure: &Failure) -> bool {
    failure.attempts == 0 && failure.refusal.code() == Code::Overloaded
}

pub(super) fn from_millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}

pub(super) fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Formats milliseconds as a JSON number, or as `null` if unknown.
pub(super) fn format_ms(ms: Option<f64>) -> String {
    ms.map_or_else(|| "null".to_owned(), |ms| format!("{ms:.0}"))
}

/// Creates the failure of a request that no target can take.
pub(super) fn no_target_failure(job: &Job) -> Failure {
    let refusal = if job.attempts == 0 {
        Refusal::not_run(Code::NoTarget, "no target can take the request now")
            .retry_after(RETRY_AFTER)
    } else {
        Refusal::unknown(Code::TargetFailed, "no other target can take the request")
    };
    Failure {
        refusal,
        attempts: job.attempts,
        try_other_region: job.attempts == 0,
    }
}
