//! What the load generator, the probes and the stand-ins recorded during a run.

use std::collections::HashMap;
use std::time::Duration;

use crate::caller::{Completion, Payload, Request};
use crate::fleet::Fleet;

/// Refusal code for a request whose idempotency key another request has claimed.
const ALREADY_CLAIMED_CODE: &str = "already_claimed";
/// Prefix of the run ids of requests that the plain service forwards back to the gateway.
pub const LOOP_RUN_ID_PREFIX: &str = "loop-";

/// Identifies a request at a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RunKey {
    /// The hash of the prompt, which is unique to the request.
    Prompt(u64),
    /// The run id of a call to the plain service.
    Call(String),
    /// The run id of a call that the plain service forwards back to the gateway.
    Loop(String),
}

impl RunKey {
    /// Returns the run key of a request.
    pub fn of(request: &Request) -> Self {
        match (&request.payload, request.payload.prompt_hash()) {
            (Payload::Service { run_id }, _) => Self::Call(run_id.clone()),
            (_, hash) => Self::Prompt(hash.unwrap_or_default()),
        }
    }
}

/// One request as the load generator saw it.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Identifies the request at a target.
    pub key: RunKey,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the caller's region.
    pub region: usize,
    /// Indexes of the regions in which the request may run.
    pub allowed_regions: Vec<usize>,
    /// Tokens charged for the request.
    pub tokens: u64,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Whether the request must not run twice.
    pub non_repeatable: bool,
    /// Whether the request repeats another one with the same idempotency key.
    pub is_repeat: bool,
    /// When the request was due, from the start of the run.
    pub intended_at: Duration,
    /// When the request was sent, from the start of the run.
    pub sent_at: Duration,
    /// From sending to the first part of the answer.
    pub time_to_first_part: Duration,
    /// From sending to the end of the answer.
    pub total_time: Duration,
    /// How the request ended.
    pub end: Completion,
    /// Whether the instance had been told to shut down, and not killed, when the request ended.
    pub instance_leaving: bool,
}

impl Sample {
    /// Returns whether the complete and correct answer arrived.
    pub fn is_answered(&self) -> bool {
        self.end == Completion::Answered
    }

    /// Returns whether the gateway refused the request.
    pub fn is_refused(&self) -> bool {
        matches!(self.end, Completion::Refused { .. })
    }

    /// Returns whether the request was refused because its idempotency key was already claimed.
    fn is_claim_conflict(&self) -> bool {
        matches!(&self.end, Completion::Refused { code, .. } if code == ALREADY_CLAIMED_CODE)
    }

    /// Returns whether the refusal states that the request did not run.
    pub fn reports_not_run(&self) -> bool {
        matches!(self.end, Completion::Refused { not_run: true, .. })
    }
}

/// One run of a request as a target recorded it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetRun {
    /// Index of the target's region.
    pub region: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer up to the end of this run, those of earlier runs included.
    pub answer_tokens: u64,
    /// Tokens generated in this run.
    pub generated_tokens: u64,
    /// Price of a thousand tokens in the target's region.
    pub price: f64,
    /// Whether the request to the target contained a key or another secret.
    pub leaked_key: bool,
}

/// All runs that the targets recorded, by request.
pub type TargetRuns = HashMap<RunKey, Vec<TargetRun>>;

/// Counts the repeat in place of the original request where the repeat was answered and the
/// original was refused as already claimed.
///
/// Either of two requests with the same idempotency key may be the first to claim the key.
pub fn promote_answered_repeats(samples: &mut [Sample]) {
    let mut answered_repeats = HashMap::new();
    for (i, sample) in samples.iter().enumerate() {
        if sample.is_repeat && sample.is_answered() {
            answered_repeats.insert(sample.key.clone(), i);
        }
    }
    for i in 0..samples.len() {
        let Some(&repeat) = answered_repeats.get(&samples[i].key) else {
            continue;
        };
        if samples[i].is_repeat || !samples[i].is_claim_conflict() {
            continue;
        }
        samples[i].is_repeat = true;
        samples[repeat].is_repeat = false;
    }
}

/// Collects the runs that the targets of a fleet recorded.
pub fn collect_target_runs(fleet: &Fleet, tokens_per_call: u64) -> TargetRuns {
    let region_index = |name: &str| fleet.spec.regions.iter().position(|r| r == name);
    let mut target_runs = TargetRuns::new();
    for engine in &fleet.engines {
        let region = region_index(engine.region()).unwrap_or(0);
        let price = fleet.price(crate::link::RegionIndex(region));
        for run in engine.runs() {
            let generated_tokens = run.generated() as u64;
            let entry = target_runs
                .entry(RunKey::Prompt(run.prompt_hash))
                .or_default();
            entry.push(TargetRun {
                region,
                prompt_tokens: run.prompt_tokens as u64,
                answer_tokens: run.resume_from as u64 + generated_tokens,
                generated_tokens,
                price,
                leaked_key: run.leaked_key,
            });
        }
    }
    for service in &fleet.services {
        for run in service.runs() {
            let name = run.run_id.unwrap_or_default();
            let key = match name.starts_with(LOOP_RUN_ID_PREFIX) {
                true => RunKey::Loop(name),
                false => RunKey::Call(name),
            };
            let entry = target_runs.entry(key);
            entry.or_default().push(TargetRun {
                region: region_index(&run.region).unwrap_or(0),
                prompt_tokens: tokens_per_call,
                answer_tokens: 0,
                generated_tokens: 0,
                price: 0.0,
                leaked_key: run.leaked_key,
            });
        }
    }
    target_runs
}

/// What the probes measured of the operators' changes.
#[derive(Debug, Clone, Default)]
pub struct ProbeResults {
    /// For each change, from its acceptance until all reachable instances accepted the new key.
    pub in_force_times: Vec<Duration>,
    /// For each withdrawn key, from acceptance of the change until all reachable instances
    /// rejected the key.
    pub withdrawal_times: Vec<Duration>,
    /// Times that an instance accepted a key that was withdrawn before or whose document lost a
    /// concurrent write.
    pub reverted: u64,
    /// Times that an instance did not apply a change within the timeout.
    pub late: u64,
    /// Changes accepted.
    pub accepted: u64,
    /// Changes refused or in conflict.
    pub refused: u64,
    /// Changes whose outcome stayed unknown after all attempts.
    pub unknown: u64,
}

/// A fault that the scenario injected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The kind of fault.
    pub name: &'static str,
    /// When the fault began, from the start of the run.
    pub at: Duration,
}
