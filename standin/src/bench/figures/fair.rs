//! Compares what each organisation got with a single ideal token bucket for the whole fleet.

use std::time::Duration;

use crate::bench::record::{RunKey, Sample, TargetRuns};

/// A request with the tokens that count against its organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ChargedRequest {
    sent_at: Duration,
    requested_tokens: f64,
    /// Tokens that targets served, whether or not the answer reached the caller.
    served_tokens: f64,
    answered: bool,
    refused: bool,
}

/// Counts of wrongful refusals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RefusalCounts {
    /// Requests that were admitted or wrongfully refused.
    pub(super) within_rate: u64,
    /// Requests that were wrongfully refused.
    pub(super) wrongful: u64,
}

/// Returns an organisation's requests in the order they were sent, repeats excluded.
pub(super) fn requests_of_organisation(
    n: usize,
    samples: &[Sample],
    target_runs: &TargetRuns,
) -> Vec<ChargedRequest> {
    let mut requests = Vec::new();
    for sample in samples {
        if sample.organisation != n || sample.is_repeat {
            continue;
        }
        requests.push(ChargedRequest {
            sent_at: sample.sent_at,
            requested_tokens: sample.tokens as f64,
            served_tokens: charged_tokens(sample, target_runs),
            answered: sample.is_answered(),
            refused: sample.is_refused(),
        });
    }
    requests.sort_by_key(|r| r.sent_at);
    requests
}

/// Returns the tokens that targets served for a request: its prompt once, and its answer as far as
/// any run generated it.
fn charged_tokens(sample: &Sample, target_runs: &TargetRuns) -> f64 {
    let Some(runs) = target_runs.get(&sample.key) else {
        return 0.0;
    };
    if !matches!(sample.key, RunKey::Prompt(_)) {
        return sample.tokens as f64;
    }
    let mut max_tokens = 0;
    for run in runs {
        max_tokens = max_tokens.max(run.prompt_tokens + run.answer_tokens);
    }
    max_tokens as f64
}

struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    last_refill: Duration,
}

impl TokenBucket {
    fn full(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            last_refill: Duration::ZERO,
        }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.last_refill = now;
    }
}

/// Counts the refusals that an ideal token bucket for the whole fleet would not have made.
///
/// Tokens of admitted and of wrongfully refused requests are both taken from the bucket, so that
/// retries during one shortage do not count as several wrongful refusals. Requests admitted beyond
/// the bucket's level make the level negative.
pub(super) fn count_wrongful_refusals(
    rate: f64,
    burst: f64,
    requests: &[ChargedRequest],
) -> RefusalCounts {
    let mut bucket = TokenBucket::full(rate, burst);
    let mut refusals = RefusalCounts::default();
    for request in requests {
        bucket.refill(request.sent_at);
        let wrongful = request.refused && request.requested_tokens <= bucket.level;
        refusals.wrongful += u64::from(wrongful);
        if !request.refused || wrongful {
            refusals.within_rate += 1;
            bucket.level -= request.requested_tokens;
        }
    }
    refusals
}

/// Returns the tokens that an ideal token bucket for the whole fleet would have admitted.
pub(super) fn entitled_tokens(rate: f64, burst: f64, requests: &[ChargedRequest]) -> f64 {
    let mut bucket = TokenBucket::full(rate, burst);
    let mut admitted_tokens = 0.0;
    for request in requests {
        bucket.refill(request.sent_at);
        if request.requested_tokens > bucket.level {
            continue;
        }
        bucket.level -= request.requested_tokens;
        admitted_tokens += request.requested_tokens;
    }
    admitted_tokens
}

/// Returns the requested tokens of all answered requests.
pub(super) fn answered_tokens(requests: &[ChargedRequest]) -> f64 {
    let answered = requests.iter().filter(|r| r.answered);
    answered.map(|r| r.requested_tokens).sum()
}

/// Returns the maximum over all time windows of served tokens divided by (rate × window + burst).
pub(super) fn max_overspend_ratio(rate: f64, burst: f64, requests: &[ChargedRequest]) -> f64 {
    let mut max_ratio: f64 = 0.0;
    for (i, first) in requests.iter().enumerate() {
        let mut sum = 0.0;
        for last in &requests[i..] {
            sum += last.served_tokens;
            let window = (last.sent_at - first.sent_at).as_secs_f64();
            max_ratio = max_ratio.max(sum / (rate * window + burst));
        }
    }
    max_ratio
}
