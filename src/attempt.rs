//! Request execution: attempts at targets, retries, stream resumption and at-most-once claims.
//!
//! The front end and the peer server pass requests to the [`Dispatcher`]. The dispatcher sends a
//! request to a target of its own region or forwards the request to an instance of another
//! region. A failed attempt is followed by another attempt if the request cannot have run or is
//! repeatable, the retry budget is not exhausted and the caller's deadline has not passed.

mod background;
mod builder;
mod core;
mod execution;
mod failure;
mod handlers;
mod relay;
mod requirements;
mod scheduler;
mod transcript;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

use crate::call::{Answer, Call, Dispatch, Operation};
use crate::claim::{Claim, ClaimError, ClaimResult};
use crate::departure::given_up;
use crate::in_flight::InFlightGuard;
use crate::peer::{ForwardHandler, PeerHandler};
use crate::refusal::{Code, Ran, Refusal};

pub use crate::quarantine::{DEFAULT_QUARANTINE_TIME, Fingerprint, Quarantine, QuarantineStatus};
pub use builder::{BuildError, DispatcherBuilder, is_known_policy};
pub use execution::RETRY_BOUND;
pub use transcript::{Continuation, Transcript};

use self::core::Core;
use execution::Execution;
use relay::{Relay, complete_answer};

/// `Retry-After` of a refusal because the claim could not be made.
const CLAIM_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// `Retry-After` of a refusal because a request with the same idempotency key may be running.
const OUTCOME_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Runs the requests of one instance.
///
/// The background tasks end when the dispatcher is dropped.
pub struct Dispatcher {
    core: Arc<Core>,
    _stop: watch::Sender<()>,
}

impl Dispatcher {
    /// Returns the number of running requests, including requests whose caller has disconnected.
    pub fn in_flight(&self) -> usize {
        self.core.in_flight.count()
    }

    /// Returns the handlers for region summaries and quarantine updates from other instances.
    pub fn handlers(&self) -> Vec<Arc<dyn PeerHandler>> {
        handlers::all(&self.core)
    }

    /// Returns the quarantined requests, which have crashed targets and are refused for a limited
    /// time, each with the remaining time of its quarantine.
    pub fn quarantined(&self) -> Vec<(Fingerprint, Duration)> {
        self.core.quarantine().quarantined_requests(self.core.now())
    }

    /// Ends the quarantine of a request, so that this instance no longer refuses the request, and
    /// notifies the other instances.
    ///
    /// Returns `false` if this instance had not quarantined the request.
    pub fn release(&self, request: Fingerprint) -> bool {
        let released = self.core.quarantine().release(request);
        self.core.broadcast_release(request);
        released
    }

    async fn start(&self, call: Call) -> Result<Answer, Refusal> {
        let guard = self.core.in_flight.track();
        let core = Arc::clone(&self.core);
        if call.repeatable || core.reckless {
            return execute(core, call, None, guard).await;
        }
        // A separate task keeps a non-repeatable request running after its caller disconnects.
        let task = match &call.idempotency_key {
            Some(key) if call.hops == 0 => {
                let key = key.clone();
                tokio::spawn(execute_claimed(core, call, key, guard))
            }
            _ => tokio::spawn(execute(core, call, None, guard)),
        };
        match task.await {
            Ok(outcome) => outcome,
            Err(e) => Err(Refusal::unknown(Code::TargetFailed, e.to_string())),
        }
    }
}

#[async_trait]
impl Dispatch for Dispatcher {
    async fn dispatch(&self, call: Call) -> Result<Answer, Refusal> {
        self.start(call).await
    }
}

#[async_trait]
impl ForwardHandler for Dispatcher {
    async fn run(&self, mut call: Call) -> Result<Answer, Refusal> {
        self.core.check_departure(call.time_left)?;
        call.hops = call.hops.max(1);
        if !self.core.reckless {
            self.core.check_residency(&call)?;
        }
        self.start(call).await
    }
}

/// Runs a call until the first bytes of its answer have arrived.
async fn execute(
    core: Arc<Core>,
    call: Call,
    claim: Option<Claim>,
    guard: InFlightGuard,
) -> Result<Answer, Refusal> {
    let mut execution = match Execution::new(core, call) {
        Ok(execution) => execution,
        Err(refusal) => return Err(release_claim(claim, refusal, guard).await),
    };
    let departure = execution.core.departure.clone();
    let outcome = tokio::select! {
        biased;
        outcome = execution.start_answer() => outcome,
        () = given_up(&departure) => Err(execution.give_up()),
    };
    match outcome {
        Ok(started) => Ok(Relay::start(execution, started, claim, guard)),
        Err(refusal) => Err(release_claim(claim, refusal, guard).await),
    }
}

/// Releases the claim of a refused request if the request has not run, and settles it in the
/// background if the request may have run; it counts as in flight until then.
///
/// The returned refusal says so if the release could not be confirmed.
async fn release_claim(claim: Option<Claim>, refusal: Refusal, guard: InFlightGuard) -> Refusal {
    let Some(claim) = claim else {
        return refusal;
    };
    if refusal.ran() == Ran::Unknown {
        tokio::spawn(async move {
            claim.store_unknown_outcome().await;
            drop(guard);
        });
        return refusal;
    }
    if claim.release().await {
        return refusal;
    }
    let message = format!(
        "{}; its idempotency key may still be claimed",
        refusal.message()
    );
    let annotated = Refusal::not_run(refusal.code(), message);
    match refusal.retry_after_ms() {
        Some(ms) => annotated.retry_after(Duration::from_millis(ms)),
        None => annotated,
    }
}

/// Claims the idempotency key of a call and runs the call if no other request holds the key.
async fn execute_claimed(
    core: Arc<Core>,
    call: Call,
    key: String,
    guard: InFlightGuard,
) -> Result<Answer, Refusal> {
    let started = core.now();
    match core.claims.claim(&call, &key).await {
        Ok(ClaimResult::Acquired(claim)) => {
            let mut call = call;
            call.time_left = call
                .time_left
                .saturating_sub(core.now().saturating_sub(started));
            execute(core, call, Some(claim), guard).await
        }
        Ok(ClaimResult::Completed(outcome)) => {
            let (head, body) = outcome.into_parts();
            let stream = matches!(call.operation, Operation::Model { stream: true, .. });
            let stream = stream && head.status == 200;
            Ok(complete_answer(head, body, stream))
        }
        Ok(ClaimResult::Unresolved) => Err(Refusal::unknown(
            Code::AlreadyClaimed,
            "a request with this idempotency key is running or may have run",
        )
        .retry_after(OUTCOME_RETRY_AFTER)),
        Ok(ClaimResult::RequestMismatch) => Err(Refusal::not_run(
            Code::AlreadyClaimed,
            "this idempotency key was used before with a different request",
        )),
        Err(e) => Err(claim_refusal(&e)),
    }
}

fn claim_refusal(e: &ClaimError) -> Refusal {
    metrics::counter!("limpetstand_claims_failed_total").increment(1);
    Refusal::not_run(Code::ClaimUnavailable, e.to_string()).retry_after(CLAIM_RETRY_AFTER)
}
