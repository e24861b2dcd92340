//! The attempts of one request until a target or another region starts to answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::core::Core;
use super::failure::{AttemptFailure, FailureKind};
use super::requirements::Requirements;
use super::scheduler::{Assignment, Slot};
use crate::call::{Answer, AnswerHead, Call, Chunk, Operation};
use crate::departure::Departure;
use crate::id::{InstanceId, RegionId, RequestId};
use crate::quarantine::{Fingerprint, QuarantineStatus};
use crate::refusal::{Code, Ran, Refusal};
use crate::retry_budget::RetryBound;
use crate::route::{Failure, RegionKey};

/// Maximum number of attempts for one request, including the first attempt.
const MAX_ATTEMPTS: u32 = 5;

/// Minimum timeout for the first byte of an answer, unless the deadline is earlier.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Multiple of the expected time to an answer that is added to [`MIN_FIRST_BYTE_TIMEOUT`].
const EXPECTED_TIME_FACTOR: u32 = 4;

/// Maximum time between two chunks of an answer.
pub(super) const CHUNK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Size above which a non-streamed answer is relayed while it arrives, not buffered any further.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of instances of one region to which a request is forwarded in one round. A round
/// tries the usable targets and regions until an answer starts or all of them have failed.
const MAX_INSTANCES_PER_REGION: usize = 2;

/// Pause before the targets and regions that failed a request are tried a second time.
const SECOND_ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Pause before the third round.
///
/// The pause covers the interval between two region summary polls, 500 ms, and one round trip, so
/// that a region whose network link has recovered is considered reachable again.
const THIRD_ROUND_PAUSE: Duration = Duration::from_millis(700);

/// The bound of an instance's retries for each model and each service.
pub const RETRY_BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 30.0,
    window: Duration::from_secs(30),
};

/// The message for a request that has not ended when a leaving instance gives up.
pub(super) const GIVEN_UP: &str = "the instance shut down before the request had ended";

/// An answer whose first bytes have arrived.
pub(super) struct StartedAnswer {
    pub(super) head: AnswerHead,
    /// The first event of a stream, or the buffered body of any other answer.
    pub(super) first_chunk: Option<Bytes>,
    /// The channel from which the later chunks of the answer are received.
    pub(super) remaining_chunks: mpsc::Receiver<Chunk>,
    /// The slot of the target that answers; `None` if another region answers.
    pub(super) slot: Option<Slot>,
}

/// One request and the state of its attempts.
pub(super) struct Execution {
    pub(super) core: Arc<Core>,
    pub(super) call: Call,
    pub(super) requirements: Requirements,
    fingerprint: Fingerprint,
    may_have_run: bool,
    /// Whether an attempt has begun and not ended.
    in_attempt: bool,
    attempts: u32,
    rounds: u32,
    tried_instances: Vec<InstanceId>,
    /// Instances that refused the request because they are leaving.
    leaving_instances: Vec<InstanceId>,
    /// The refusal that the caller gets if no other attempt is possible.
    last_refusal: Option<Refusal>,
}

impl Execution {
    /// Creates the execution of a call, of which no attempt has been made yet.
    pub(super) fn new(core: Arc<Core>, mut call: Call) -> Result<Self, Refusal> {
        if core.reckless {
            call.repeatable = true;
            call.regions = core.all_regions();
        }
        let pool = core.pool_of(&call)?;
        core.retries()
            .record_request(core.now(), &pool, &RETRY_BOUND);
        let requirements = Requirements::of(&call, pool, core.weight_of(&call), core.now());
        Ok(Self {
            fingerprint: Fingerprint::of(&call),
            core,
            call,
            requirements,
            may_have_run: false,
            in_attempt: false,
            attempts: 0,
            rounds: 1,
            tried_instances: Vec::new(),
            leaving_instances: Vec::new(),
            last_refusal: None,
        })
    }

    /// Tries targets and regions until an answer starts.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller, with `ran: no` only if no attempt can have run.
    pub(super) async fn start_answer(&mut self) -> Result<StartedAnswer, Refusal> {
        loop {
            self.check_quarantine()?;
            let assigned = self.core.scheduler.assign(&self.requirements).await;
            let outcome = match assigned {
                Err(refusal) => {
                    self.start_next_round(refusal).await?;
                    continue;
                }
                Ok(assignment) => {
                    self.recheck_quarantine()?;
                    self.check_departure()?;
                    self.attempt(assignment).await
                }
            };
            match outcome {
                Ok(started) => return Ok(started),
                Err(failure) => self.prepare_retry(failure)?,
            }
        }
    }

    /// Replaces the request body by `body`, which continues a stream after `tokens` tokens.
    pub(super) fn resume(&mut self, body: Bytes, tokens: u64) {
        self.call.body = body;
        self.requirements.output_tokens = self.requirements.output_tokens.saturating_sub(tokens);
    }

    async fn attempt(&mut self, assignment: Assignment) -> Result<StartedAnswer, AttemptFailure> {
        self.core
            .check_key(&self.call)
            .map_err(AttemptFailure::without_retry)?;
        self.in_attempt = true;
        let outcome = match assignment {
            Assignment::Local(slot) => self.attempt_local(slot).await,
            Assignment::Remote(key, region) => self.attempt_remote(key, region).await,
        };
        self.in_attempt = false;
        let was_taken = !matches!(&outcome, Err(e) if e.kind() == FailureKind::NotTaken);
        self.attempts += u32::from(was_taken);
        outcome
    }

    /// Refuses a request that is quarantined or past its deadline, and marks a request that is a
    /// suspect.
    fn check_quarantine(&mut self) -> Result<(), Refusal> {
        let now = self.core.now();
        if now >= self.requirements.deadline {
            return Err(self.refusal(Code::DeadlineExceeded, "the deadline passed"));
        }
        let status = self.core.quarantine().status(now, self.fingerprint);
        match status {
            QuarantineStatus::Clear => self.requirements.suspect = false,
            QuarantineStatus::Suspect => self.requirements.suspect = true,
            QuarantineStatus::Quarantined(remaining) => {
                let message = format!(
                    "targets crashed while running the request; quarantined as {}",
                    self.fingerprint
                );
                return Err(self
                    .refusal(Code::Quarantined, &message)
                    .retry_after(remaining));
            }
        }
        Ok(())
    }

    /// Refuses a request that was quarantined or passed its deadline while it was queued.
    fn recheck_quarantine(&mut self) -> Result<(), Refusal> {
        let suspect = self.requirements.suspect;
        let result = self.check_quarantine();
        // The slot was assigned with the earlier value and is released with the same value.
        self.requirements.suspect = suspect;
        result
    }

    /// Refuses a request that leaves the queue when the instance has given up.
    fn check_departure(&self) -> Result<(), Refusal> {
        if *self.core.departure.borrow() == Departure::GivesUp {
            return Err(self.give_up());
        }
        Ok(())
    }

    /// Returns the refusal of a request that has no answer when the instance gives up.
    pub(super) fn give_up(&self) -> Refusal {
        if self.may_have_run || self.in_attempt {
            return Refusal::unknown(Code::TargetFailed, GIVEN_UP);
        }
        Refusal::not_run(Code::Leaving, GIVEN_UP)
    }

    /// Creates a refusal whose `ran` value says whether any attempt so far may have run.
    fn refusal(&self, code: Code, message: &str) -> Refusal {
        if self.may_have_run {
            return Refusal::unknown(code, message);
        }
        Refusal::not_run(code, message)
    }

    /// Starts another round over the targets and regions that failed the request, or returns the
    /// final refusal.
    async fn start_next_round(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        if refusal.code() == Code::NoTarget
            && let Some(pause) = self.pause_before_round()
        {
            self.rounds += 1;
            self.requirements.tried_targets.clear();
            self.requirements.tried_regions.clear();
            self.tried_instances.clear();
            tokio::time::sleep(pause).await;
            return Ok(());
        }
        match self.last_refusal.take() {
            Some(last) if refusal.code() == Code::NoTarget => Err(last),
            _ => Err(self.request_refusal(refusal)),
        }
    }

    /// Returns the pause before the next round; `None` if there is no further round.
    ///
    /// Only a forwarded request that may have run gets a third round, because its caller could not
    /// tell whether a repetition is safe. Any other request is refused without that delay.
    fn pause_before_round(&self) -> Option<Duration> {
        let has_tried = !self.requirements.tried_targets.is_empty()
            || !self.requirements.tried_regions.is_empty();
        let is_lost_forward = self.may_have_run && self.requirements.tried_targets.is_empty();
        match self.rounds {
            1 if has_tried => Some(SECOND_ROUND_PAUSE),
            2 if is_lost_forward => Some(THIRD_ROUND_PAUSE),
            _ => None,
        }
    }

    /// Converts the refusal of one attempt into the refusal of the whole request.
    fn request_refusal(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.ran() == Ran::Unknown {
            return refusal;
        }
        let converted = Refusal::unknown(refusal.code(), refusal.message());
        match refusal.retry_after_ms() {
            Some(ms) => converted.retry_after(Duration::from_millis(ms)),
            None => converted,
        }
    }

    /// Checks whether another attempt may follow a failed attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no other attempt may follow.
    pub(super) fn prepare_retry(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        self.may_have_run |= failure.kind().may_have_run();
        let refusal = self.request_refusal(failure.refusal());
        if failure.kind() == FailureKind::Final {
            return Err(refusal);
        }
        if self.may_have_run && !self.call.repeatable {
            return Err(refusal);
        }
        if self.attempts >= MAX_ATTEMPTS || self.core.now() >= self.requirements.deadline {
            return Err(refusal);
        }
        if failure.kind().uses_retry_budget() && !self.take_retry() {
            return Err(refusal);
        }
        metrics::counter!("limpetstand_retries_total", "cause" => failure.kind().metric_label())
            .increment(1);
        self.last_refusal = Some(refusal);
        Ok(())
    }

    /// Returns whether a request that may have run may be sent again, apart from the retry budget.
    pub(super) fn may_repeat(&self) -> bool {
        self.call.repeatable && self.attempts < MAX_ATTEMPTS && !self.time_left().is_zero()
    }

    /// Returns the time until the request's deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.requirements.deadline.saturating_sub(self.core.now())
    }

    /// Takes a retry from the budget of the request's pool, if the budget allows it.
    fn take_retry(&self) -> bool {
        let now = self.core.now();
        let pool = &self.requirements.pool;
        self.core.retries().take(now, pool, &RETRY_BOUND, 1)
    }

    async fn attempt_local(&mut self, slot: Slot) -> Result<StartedAnswer, AttemptFailure> {
        let outcome = self.send_local(&slot).await;
        match outcome {
            Ok(mut started) => {
                started.slot = Some(slot);
                Ok(started)
            }
            Err(failure) => {
                self.requirements.tried_targets.push(slot.key());
                self.record_failure(slot, failure.kind()).await;
                Err(failure)
            }
        }
    }

    async fn send_local(&self, slot: &Slot) -> Result<StartedAnswer, AttemptFailure> {
        let Some(target) = self.core.targets.get(slot.plugin()) else {
            let message = format!("no target plug-in named `{}`", slot.plugin());
            return Err(AttemptFailure::new(FailureKind::NotReached, message));
        };
        let limit = self.first_byte_timeout();
        let pending = timeout(limit, async {
            let answer = target
                .send(slot.address(), RequestId::random(), &self.call)
                .await
                .map_err(AttemptFailure::from)?;
            self.receive_start(answer).await
        });
        match pending.await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.timeout_failure()),
        }
    }

    /// Returns the failure of a timed-out attempt: a passed deadline or a silent target.
    fn timeout_failure(&self) -> AttemptFailure {
        if self.core.now() >= self.requirements.deadline {
            let message = "the deadline passed while waiting for the answer of a target";
            return AttemptFailure::without_retry(Refusal::unknown(
                Code::DeadlineExceeded,
                message,
            ));
        }
        AttemptFailure::new(FailureKind::Silent, "the target did not answer in time")
    }

    /// Returns the timeout for the first byte of an answer.
    ///
    /// A repeatable request reserves time before its deadline for another attempt.
    fn first_byte_timeout(&self) -> Duration {
        let remaining = self.time_left();
        if !self.call.repeatable {
            return remaining;
        }
        let stream = matches!(self.call.operation, Operation::Model { stream: true, .. });
        let query = self.requirements.route_query(Duration::ZERO, None);
        let state = self.core.scheduler.lock();
        let expected = state
            .routing_state
            .expected_time(&self.requirements.pool, &query, stream);
        let limit = MIN_FIRST_BYTE_TIMEOUT + expected * EXPECTED_TIME_FACTOR;
        limit
            .min(remaining / 2)
            .max(MIN_FIRST_BYTE_TIMEOUT.min(remaining))
    }

    /// Receives the first event of a stream, or the body of any other answer up to
    /// [`MAX_BUFFERED_BYTES`].
    pub(super) async fn receive_start(
        &self,
        answer: Answer,
    ) -> Result<StartedAnswer, AttemptFailure> {
        let Answer { head, mut body } = answer;
        if self.is_stream(&head) {
            let first_chunk = match body.recv().await {
                Some(Ok(event)) => Some(event),
                Some(Err(refusal)) => return Err(AttemptFailure::broken(&refusal)),
                None => None,
            };
            return Ok(StartedAnswer {
                head,
                first_chunk,
                remaining_chunks: body,
                slot: None,
            });
        }
        let mut buffered = BytesMut::new();
        while let Some(chunk) = body.recv().await {
            let bytes = chunk.map_err(|refusal| AttemptFailure::broken(&refusal))?;
            buffered.extend_from_slice(&bytes);
            if buffered.len() > MAX_BUFFERED_BYTES {
                break;
            }
        }
        Ok(StartedAnswer {
            head,
            first_chunk: Some(buffered.freeze()),
            remaining_chunks: body,
            slot: None,
        })
    }

    /// Returns whether an answer is an event stream.
    pub(super) fn is_stream(&self, head: &AnswerHead) -> bool {
        matches!(self.call.operation, Operation::Model { stream: true, .. }) && head.status == 200
    }

    /// Records a failed attempt in the health of its target and in the quarantine.
    pub(super) async fn record_failure(&mut self, slot: Slot, kind: FailureKind) {
        let Some(target) = self.core.targets.get(slot.plugin()).map(Arc::clone) else {
            return;
        };
        match kind {
            FailureKind::NotReached => slot.record_failure(Failure::ConnectFailed),
            FailureKind::NotTaken | FailureKind::Refused | FailureKind::Final => {}
            FailureKind::Failed => slot.record_failure(Failure::Broken),
            FailureKind::Crossed => {
                target.close_idle(slot.address());
                slot.record_failure(Failure::Broken);
            }
            FailureKind::Silent => {
                target.close_idle(slot.address());
                slot.record_failure(Failure::TimedOut);
                self.spawn_probe(slot);
            }
            FailureKind::Broken => {
                slot.record_failure(Failure::Broken);
                if !self.core.probe(slot.key(), &slot).await {
                    self.record_crash(&slot);
                }
            }
        }
    }

    /// Probes a target in a separate task, so that the request does not wait for the result.
    fn spawn_probe(&self, slot: Slot) {
        let core = Arc::clone(&self.core);
        tokio::spawn(async move {
            core.probe(slot.key(), &slot).await;
        });
    }

    fn record_crash(&self, slot: &Slot) {
        let now = self.core.now();
        let status =
            self.core
                .quarantine()
                .record_crash(now, self.fingerprint, slot.holds_only_suspect());
        if status == QuarantineStatus::Suspect && !slot.holds_only_suspect() {
            self.core.broadcast_suspect(self.fingerprint);
        }
        if let QuarantineStatus::Quarantined(remaining) = status {
            metrics::counter!("limpetstand_quarantined_total").increment(1);
            log::warn!(
                "quarantined {} for {remaining:?}: targets crashed while running this request",
                self.fingerprint
            );
            self.core.broadcast_quarantine(self.fingerprint, remaining);
        }
    }

    /// Records in the target's health and in the quarantine that the complete answer was received.
    pub(super) fn record_success(&self, slot: Option<&Slot>) {
        if let Some(slot) = slot {
            slot.record_success();
        }
        if self.requirements.suspect {
            self.core.quarantine().cleared(self.fingerprint);
        }
    }

    async fn attempt_remote(
        &mut self,
        key: RegionKey,
        region: RegionId,
    ) -> Result<StartedAnswer, AttemptFailure> {
        let mut instances = self.core.instances_in(&region, &self.tried_instances);
        instances.retain(|member| !self.leaving_instances.contains(&member.id));
        let Some(instance) = instances.choose(&mut rand::rng()) else {
            self.requirements.tried_regions.push(key);
            let message = format!("no live instance in region {region}");
            return Err(AttemptFailure::new(FailureKind::NotReached, message));
        };
        let mut call = self.call.clone();
        call.hops = call.hops.saturating_add(1);
        call.regions = vec![region.clone()];
        call.time_left = self.requirements.deadline.saturating_sub(self.core.now());
        metrics::counter!("limpetstand_forwards_total").increment(1);
        let remaining = call.time_left;
        let pending = timeout(remaining, async {
            match self.core.peers.forward(instance.peer, &call).await {
                Ok(answer) => self.receive_start(answer).await,
                Err(refusal) => Err(AttemptFailure::from_forward(refusal)),
            }
        });
        let outcome = match pending.await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.timeout_failure()),
        };
        if matches!(&outcome, Err(e) if e.kind() == FailureKind::NotTaken) {
            self.leaving_instances.push(instance.id.clone());
            return outcome;
        }
        self.tried_instances.push(instance.id.clone());
        let tried_in_region = self.count_tried_in(&region);
        if outcome.is_err() && tried_in_region >= MAX_INSTANCES_PER_REGION {
            self.requirements.tried_regions.push(key);
        }
        outcome
    }

    fn count_tried_in(&self, region: &RegionId) -> usize {
        let fleet = Arc::clone(&self.core.fleet.borrow());
        let mut tried = 0;
        for member in &fleet.members {
            tried +=
                usize::from(member.region == *region && self.tried_instances.contains(&member.id));
        }
        tried
    }
}
