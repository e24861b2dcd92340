//! Computes the figures of a run from what the load generator and the stand-ins recorded.

mod fair;

use std::collections::HashSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::record::{Fault, ProbeResults, RunKey, Sample, TargetRuns};
use crate::caller::Completion;
use crate::workload::Workload;

/// Requests listed as examples of violated invariants.
const MAX_VIOLATION_EXAMPLES: usize = 12;
const MICROS_PER_MS: f64 = 1_000.0;
/// One hour; longer times are recorded as one hour.
const MAX_RECORDED_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Goodput after a fault is computed for intervals of this length.
const GOODPUT_BIN: Duration = Duration::from_millis(500);
/// Share of the goodput before a fault from which goodput counts as recovered.
const RECOVERED_GOODPUT_RATIO: f64 = 0.9;

/// Percentiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Returns the percentiles of `times`.
    pub fn of(times: &[Duration]) -> Self {
        let mut all = histogram();
        for time in times {
            record(&mut all, *time);
        }
        percentiles(&all)
    }
}

/// Median and maximum of a duration, in milliseconds; `None` if nothing was measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct MedianAndMax {
    /// The median.
    pub p50: Option<f64>,
    /// The maximum.
    pub max: Option<f64>,
}

/// The figures of one organisation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrganisationFigures {
    /// The organisation's name.
    pub name: String,
    /// Requests sent, repeats excluded.
    pub requests: u64,
    /// Requests refused although within the rate and burst.
    pub wrongfully_refused: u64,
    /// Tokens of answered requests divided by the tokens that the limit entitles to.
    pub served_share: f64,
    /// Maximum over all time windows of served tokens divided by (rate × window + burst).
    pub overspend_ratio: f64,
}

/// The figures of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests sent, repeats excluded.
    pub requests: u64,
    /// Requests that got their complete and correct answer.
    pub answered: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Refused requests that may run twice and whose refusal does not state that they did not run.
    pub repeatable_in_doubt: u64,
    /// Requests without an answer or refusal: not sent, connection broken or timed out.
    pub broken: u64,
    /// Requests refused although within rate and burst, divided by those and all admitted requests.
    pub refused_within_rate_share: f64,
    /// The lowest `served_share` of any organisation, and at most 1.
    pub worst_organisation_share: f64,
    /// The highest `overspend_ratio` of any organisation.
    pub overspend_ratio: f64,
    /// Share of answered model requests that a target outside the caller's region served.
    pub other_region_share: f64,
    /// Cost of all prompt and generated tokens at the targets' prices per thousand tokens.
    pub cost: f64,
    /// Time from the intended start to the first part of the answer.
    pub ttft_ms: Percentiles,
    /// `ttft_ms` of streamed answers only; other answers have no first part before their end.
    pub stream_ttft_ms: Percentiles,
    /// Time from the intended start to the end of the answer.
    pub total_ms: Percentiles,
    /// Runs outside the regions allowed for the organisation.
    pub residency_violations: u64,
    /// Runs after the first of requests that the plain service forwarded back to the gateway.
    pub loops: u64,
    /// Runs after the first of requests that must not run twice.
    pub double_runs: u64,
    /// Answers that looked complete but were wrong, truncated or another request's.
    pub wrong_or_short_answers: u64,
    /// Refusals with `ran: no` although a target recorded a run of the request.
    pub false_not_run: u64,
    /// Requests broken at an instance that was told to shut down.
    pub cut_in_shutdown: u64,
    /// Runs whose request to the target contained a key or another secret.
    pub leaked_keys: u64,
    /// Times that an instance accepted a key that was withdrawn or that lost a concurrent write.
    pub reverted_settings: u64,
    /// Time from the acceptance of a change until all reachable instances applied it.
    pub config_in_force_ms: MedianAndMax,
    /// Time from the withdrawal of a key until all reachable instances rejected the key.
    pub key_withdrawn_ms: MedianAndMax,
    /// The longest time from a fault until goodput recovered.
    pub recovery_ms: Option<f64>,
    /// The figures of each organisation.
    pub by_organisation: Vec<OrganisationFigures>,
    /// The first requests that violated an invariant.
    pub violations: Vec<String>,
}

impl Figures {
    /// Returns the counts that must be 0 for the invariants to hold, with their names.
    pub fn invariant_counts(&self) -> [(&'static str, u64); 8] {
        [
            ("residency_violations", self.residency_violations),
            ("loops", self.loops),
            ("double_runs", self.double_runs),
            ("wrong_or_short_answers", self.wrong_or_short_answers),
            ("false_not_run", self.false_not_run),
            ("cut_in_shutdown", self.cut_in_shutdown),
            ("leaked_keys", self.leaked_keys),
            ("reverted_settings", self.reverted_settings),
        ]
    }

    /// Returns whether all invariant counts are 0 and no organisation exceeded its limit.
    pub fn invariants_hold(&self) -> bool {
        let zero = self.invariant_counts().iter().all(|(_, n)| *n == 0);
        zero && self.overspend_ratio <= 1.0
    }

    /// Computes the figures of a run.
    pub fn compute(
        workload: &Workload,
        samples: &[Sample],
        target_runs: &TargetRuns,
        probe_results: &ProbeResults,
        faults: &[Fault],
    ) -> Self {
        let mut figures = Self {
            reverted_settings: probe_results.reverted,
            config_in_force_ms: median_and_max(&probe_results.in_force_times),
            key_withdrawn_ms: median_and_max(&probe_results.withdrawal_times),
            recovery_ms: longest_recovery_ms(samples, faults),
            ..Self::default()
        };
        figures.count_outcomes(samples);
        figures.count_runs(samples, target_runs);
        figures.compute_latencies(samples);
        figures.compute_fairness(workload, samples, target_runs);
        figures
    }

    fn record_violation(&mut self, what: &str, sample: &Sample) {
        if self.violations.len() == MAX_VIOLATION_EXAMPLES {
            return;
        }
        let at = sample.sent_at.as_secs_f64();
        let note = format!("{what} at {at:.2} s: {:?} {:?}", sample.key, sample.end);
        self.violations.push(note);
    }

    fn count_outcomes(&mut self, samples: &[Sample]) {
        for sample in samples {
            if matches!(sample.end, Completion::Wrong(_)) {
                self.wrong_or_short_answers += 1;
                self.record_violation("wrong_or_short_answer", sample);
            }
            let broken = matches!(sample.end, Completion::Broken(_));
            if broken && sample.instance_leaving {
                self.cut_in_shutdown += 1;
                self.record_violation("cut_in_shutdown", sample);
            }
            if sample.is_repeat {
                continue;
            }
            self.requests += 1;
            self.answered += u64::from(sample.is_answered());
            self.refused += u64::from(sample.is_refused());
            let may_have_run = sample.is_refused() && !sample.reports_not_run();
            self.repeatable_in_doubt += u64::from(may_have_run && !sample.non_repeatable);
            self.broken += u64::from(broken || matches!(sample.end, Completion::NotSent(_)));
        }
    }

    fn count_runs(&mut self, samples: &[Sample], target_runs: &TargetRuns) {
        let no_runs = Vec::new();
        let mut answered_model_requests = 0_u64;
        let mut answered_in_other_region = 0_u64;
        let run_by_repeat = keys_possibly_run_by_repeat(samples);
        for sample in samples {
            let runs = target_runs.get(&sample.key).unwrap_or(&no_runs);
            if sample.is_repeat {
                continue;
            }
            let false_not_run = sample.reports_not_run() && !runs.is_empty();
            if false_not_run && !run_by_repeat.contains(&sample.key) {
                self.false_not_run += 1;
                self.record_violation("false_not_run", sample);
            }
            for run in runs {
                let violates = !sample.allowed_regions.contains(&run.region);
                if violates {
                    self.residency_violations += 1;
                    self.record_violation("residency_violation", sample);
                }
            }
            if sample.non_repeatable && runs.len() > 1 {
                self.double_runs += runs.len() as u64 - 1;
                self.record_violation("double_run", sample);
            }
            let is_model = matches!(sample.key, RunKey::Prompt(_));
            if let Some(last) = runs.last()
                && is_model
                && sample.is_answered()
            {
                answered_model_requests += 1;
                answered_in_other_region += u64::from(last.region != sample.region);
            }
        }
        for (key, runs) in target_runs {
            if matches!(key, RunKey::Loop(_)) {
                self.loops += (runs.len() as u64).saturating_sub(1);
            }
        }
        for run in target_runs.values().flatten() {
            self.leaked_keys += u64::from(run.leaked_key);
            let tokens = (run.prompt_tokens + run.generated_tokens) as f64;
            self.cost += tokens / 1_000.0 * run.price;
        }
        self.other_region_share = ratio(answered_in_other_region, answered_model_requests);
    }

    fn compute_latencies(&mut self, samples: &[Sample]) {
        let mut first = Vec::with_capacity(samples.len());
        let mut streams = Vec::with_capacity(samples.len());
        let mut total = Vec::with_capacity(samples.len());
        for sample in samples {
            if !sample.is_answered() || sample.is_repeat {
                continue;
            }
            let start_delay = sample.sent_at.saturating_sub(sample.intended_at);
            first.push(start_delay + sample.time_to_first_part);
            if sample.stream {
                streams.push(start_delay + sample.time_to_first_part);
            }
            total.push(start_delay + sample.total_time);
        }
        self.ttft_ms = Percentiles::of(&first);
        self.stream_ttft_ms = Percentiles::of(&streams);
        self.total_ms = Percentiles::of(&total);
    }

    fn compute_fairness(
        &mut self,
        workload: &Workload,
        samples: &[Sample],
        target_runs: &TargetRuns,
    ) {
        let mut within_rate = 0;
        let mut wrongful = 0;
        self.worst_organisation_share = 1.0;
        for (n, organisation) in workload.organisations.iter().enumerate() {
            let (rate, burst) = (organisation.rate, organisation.burst);
            let requests = fair::requests_of_organisation(n, samples, target_runs);
            let refusals = fair::count_wrongful_refusals(rate, burst, &requests);
            let entitled_tokens = fair::entitled_tokens(rate, burst, &requests);
            let share = match entitled_tokens > 0.0 {
                true => fair::answered_tokens(&requests) / entitled_tokens,
                false => 1.0,
            };
            let organisation_figures = OrganisationFigures {
                name: organisation.name.clone(),
                requests: requests.len() as u64,
                wrongfully_refused: refusals.wrongful,
                served_share: share,
                overspend_ratio: fair::max_overspend_ratio(rate, burst, &requests),
            };
            within_rate += refusals.within_rate;
            wrongful += refusals.wrongful;
            self.overspend_ratio = self
                .overspend_ratio
                .max(organisation_figures.overspend_ratio);
            self.worst_organisation_share = self.worst_organisation_share.min(share);
            self.by_organisation.push(organisation_figures);
        }
        self.refused_within_rate_share = ratio(wrongful, within_rate);
    }
}

/// Returns the keys of requests whose repeat may have run.
///
/// For these, a run at a target does not contradict a refusal of the original with `ran: no`.
fn keys_possibly_run_by_repeat(samples: &[Sample]) -> HashSet<RunKey> {
    let mut keys = HashSet::new();
    for sample in samples {
        if sample.is_repeat && !sample.reports_not_run() {
            keys.insert(sample.key.clone());
        }
    }
    keys
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
        .expect("histogram bounds and precision are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / MICROS_PER_MS;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

fn median_and_max(times: &[Duration]) -> MedianAndMax {
    let mut sorted = times.to_vec();
    sorted.sort();
    let ms = |d: &Duration| d.as_secs_f64() * 1_000.0;
    MedianAndMax {
        p50: sorted.get(sorted.len() / 2).map(ms),
        max: sorted.last().map(ms),
    }
}

/// Returns the longest time from a fault to the end of the last interval with low goodput.
///
/// An interval belongs to the latest fault before it.
fn longest_recovery_ms(samples: &[Sample], faults: &[Fault]) -> Option<f64> {
    let mut longest: Option<f64> = None;
    for (i, fault) in faults.iter().enumerate() {
        let until = faults.get(i + 1).map_or(Duration::MAX, |next| next.at);
        let before = goodput(samples, Duration::ZERO, fault.at)?;
        let mut recovered_at = fault.at;
        let mut bin_start = fault.at;
        let last = samples
            .iter()
            .map(|s| s.intended_at)
            .max()
            .unwrap_or_default();
        while bin_start < until.min(last) {
            let bin_end = bin_start + GOODPUT_BIN;
            if goodput(samples, bin_start, bin_end)
                .is_some_and(|g| g < RECOVERED_GOODPUT_RATIO * before)
            {
                recovered_at = bin_end;
            }
            bin_start = bin_end;
        }
        let ms = (recovered_at - fault.at).as_secs_f64() * 1_000.0;
        longest = Some(longest.map_or(ms, |l| l.max(ms)));
    }
    longest
}

/// Returns the answered share of the requests due in a time range; `None` if none were due.
fn goodput(samples: &[Sample], from: Duration, to: Duration) -> Option<f64> {
    let mut all = 0;
    let mut answered = 0;
    for sample in samples {
        if sample.is_repeat || sample.intended_at < from || sample.intended_at >= to {
            continue;
        }
        all += 1;
        answered += u64::from(sample.is_answered());
    }
    (all > 0).then(|| ratio(answered, all))
}
