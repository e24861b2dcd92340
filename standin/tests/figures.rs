//! Tests that each figure of a bench run counts exactly the requests and runs that it should.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use limpetstand_standin::bench::figures::Figures;
use limpetstand_standin::bench::record::{
    Fault, ProbeResults, RunKey, Sample, TargetRun, TargetRuns, promote_answered_repeats,
};
use limpetstand_standin::caller::Completion;
use limpetstand_standin::workload::{Kind, Workload};
use proptest::prelude::*;

fn workload() -> Workload {
    Workload::new(Kind::Bookings, 5, 1.0)
}

fn sample(n: u64) -> Sample {
    Sample {
        key: RunKey::Prompt(n),
        organisation: 0,
        region: 0,
        allowed_regions: vec![0, 1],
        tokens: 100,
        stream: false,
        non_repeatable: false,
        is_repeat: false,
        intended_at: Duration::from_millis(100 * n),
        sent_at: Duration::from_millis(100 * n),
        time_to_first_part: Duration::from_millis(20),
        total_time: Duration::from_millis(200),
        end: Completion::Answered,
        instance_leaving: false,
    }
}

fn run() -> TargetRun {
    TargetRun {
        region: 0,
        prompt_tokens: 80,
        answer_tokens: 20,
        generated_tokens: 20,
        price: 2.0,
        leaked_key: false,
    }
}

fn refused(not_run: bool) -> Completion {
    Completion::Refused {
        code: "rate_exceeded".to_owned(),
        not_run,
        retry_after_ms: None,
        use_instance: None,
    }
}

/// Returns the figures of twenty answered requests without violations, after `f` changed them.
fn figures(f: impl FnOnce(&mut Vec<Sample>, &mut TargetRuns)) -> Figures {
    let mut samples = Vec::new();
    let mut runs = TargetRuns::new();
    for n in 0..20 {
        samples.push(sample(n));
        runs.insert(RunKey::Prompt(n), vec![run()]);
    }
    f(&mut samples, &mut runs);
    Figures::compute(&workload(), &samples, &runs, &ProbeResults::default(), &[])
}

#[test]
fn run_without_violations_holds_the_invariants() {
    let f = figures(|_, _| {});
    assert!(f.invariants_hold());
    assert_eq!((f.requests, f.answered, f.refused), (20, 20, 0));
    assert_eq!(f.worst_organisation_share, 1.0);
    assert!((f.cost - 20.0 * 0.1 * 2.0).abs() < 1e-9);
    assert_eq!(f.other_region_share, 0.0);
}

#[test]
fn run_outside_the_allowed_regions_is_counted() {
    let f = figures(|_, runs| runs.get_mut(&RunKey::Prompt(3)).unwrap()[0].region = 2);
    assert_eq!(f.residency_violations, 1);
    assert_eq!(f.other_region_share, 0.05);
    assert!(!f.invariants_hold());
}

#[test]
fn second_run_counts_only_for_non_repeatable_requests() {
    let twice = |runs: &mut TargetRuns, n| runs.get_mut(&RunKey::Prompt(n)).unwrap().push(run());
    let f = figures(|samples, runs| {
        samples[4].non_repeatable = true;
        twice(runs, 4);
        twice(runs, 5);
    });
    assert_eq!(f.double_runs, 1);
}

#[test]
fn repeat_with_the_same_key_adds_no_request_and_no_run() {
    let f = figures(|samples, runs| {
        samples[4].non_repeatable = true;
        let mut repeat = samples[4].clone();
        repeat.is_repeat = true;
        repeat.end = refused(true);
        samples.push(repeat);
        assert_eq!(runs.len(), 20);
    });
    assert_eq!((f.requests, f.double_runs, f.false_not_run), (20, 0, 0));
}

#[test]
fn second_run_of_a_request_forwarded_back_counts_as_loop() {
    let f = figures(|_, runs| {
        let back = RunKey::Loop("loop-1".to_owned());
        runs.insert(back, vec![run(), run(), run()]);
    });
    assert_eq!(f.loops, 2);
}

#[test]
fn answered_repeat_replaces_the_refused_original() {
    let mut first = sample(1);
    first.end = Completion::Refused {
        code: "already_claimed".to_owned(),
        not_run: false,
        retry_after_ms: None,
        use_instance: None,
    };
    let mut repeat = sample(1);
    repeat.is_repeat = true;
    let mut samples = [first, repeat];
    promote_answered_repeats(&mut samples);
    assert!(samples[0].is_repeat);
    assert!(!samples[1].is_repeat);
}

#[test]
fn accepted_withdrawn_key_counts_as_reverted_setting() {
    let results = ProbeResults {
        reverted: 2,
        ..ProbeResults::default()
    };
    let f = Figures::compute(&workload(), &[sample(0)], &TargetRuns::new(), &results, &[]);
    assert_eq!(f.reverted_settings, 2);
    assert!(!f.invariants_hold());
}

#[test]
fn wrong_answer_is_counted() {
    let f = figures(|samples, _| samples[1].end = Completion::Wrong("short".to_owned()));
    assert_eq!(f.wrong_or_short_answers, 1);
}

#[test]
fn refusal_with_not_run_is_false_if_a_target_ran_the_request() {
    let f = figures(|samples, runs| {
        samples[1].end = refused(true);
        samples[2].end = refused(false);
        samples[3].end = refused(true);
        runs.remove(&RunKey::Prompt(3));
    });
    assert_eq!(f.false_not_run, 1);
    assert_eq!(f.refused, 3);
}

#[test]
fn broken_request_counts_as_cut_only_at_a_leaving_instance() {
    let f = figures(|samples, _| {
        samples[1].end = Completion::Broken(String::new());
        samples[2].end = Completion::Broken(String::new());
        samples[2].instance_leaving = true;
    });
    assert_eq!((f.broken, f.cut_in_shutdown), (2, 1));
}

#[test]
fn key_leaked_to_a_target_is_counted() {
    let f = figures(|_, runs| runs.get_mut(&RunKey::Prompt(9)).unwrap()[0].leaked_key = true);
    assert_eq!(f.leaked_keys, 1);
}

#[test]
fn refusal_within_the_rate_is_wrongful() {
    let f = figures(|samples, runs| {
        samples[19].end = refused(true);
        runs.remove(&RunKey::Prompt(19));
    });
    assert_eq!(f.refused_within_rate_share, 0.05);
    assert_eq!(f.worst_organisation_share, 0.95);
}

#[test]
fn refusal_over_the_rate_is_not_wrongful() {
    let w = workload();
    let burst = w.organisations[0].burst;
    let f = figures(|samples, runs| {
        samples[0].tokens = burst as u64;
        runs.get_mut(&RunKey::Prompt(0)).unwrap()[0].prompt_tokens = burst as u64 - 20;
        samples[1].sent_at = Duration::ZERO;
        samples[1].end = refused(true);
        runs.remove(&RunKey::Prompt(1));
    });
    assert_eq!(f.refused_within_rate_share, 0.0);
    assert!(f.overspend_ratio <= 1.0);
}

#[test]
fn retries_during_a_shortage_count_as_one_wrongful_refusal() {
    let burst = workload().organisations[0].burst as u64;
    let f = figures(|samples, runs| {
        for (n, s) in samples.iter_mut().enumerate() {
            s.sent_at = Duration::ZERO;
            s.tokens = burst / 2;
            s.end = refused(true);
            if n == 0 {
                s.end = Completion::Answered;
            }
        }
        runs.clear();
    });
    assert_eq!(f.by_organisation[0].wrongfully_refused, 1);
    assert_eq!(f.refused_within_rate_share, 0.5);
}

#[test]
fn overspend_is_the_maximum_over_all_windows() {
    let burst = workload().organisations[0].burst;
    let f = figures(|samples, runs| {
        for n in [0, 1] {
            samples[n].sent_at = Duration::ZERO;
            let key = RunKey::Prompt(n as u64);
            runs.get_mut(&key).unwrap()[0].prompt_tokens = burst as u64 - 20;
        }
    });
    assert_eq!(f.overspend_ratio, 2.0);
    assert!(!f.invariants_hold());
}

#[test]
fn start_delay_counts_in_the_latencies() {
    let f = figures(|samples, _| {
        for s in samples.iter_mut() {
            s.sent_at = s.intended_at + Duration::from_secs(1);
        }
    });
    assert_eq!(f.ttft_ms.p50.round(), 1_020.0);
    assert_eq!(f.total_ms.p99.round(), 1_200.0);
}

#[test]
fn recovery_ends_with_the_last_interval_of_low_goodput() {
    let mut samples = Vec::new();
    for n in 0..100 {
        let mut s = sample(n);
        if (30..45).contains(&n) {
            s.end = refused(true);
        }
        samples.push(s);
    }
    let fault = Fault {
        name: "test",
        at: Duration::from_secs(3),
    };
    let f = Figures::compute(
        &workload(),
        &samples,
        &TargetRuns::new(),
        &ProbeResults::default(),
        &[fault],
    );
    assert_eq!(f.recovery_ms, Some(1_500.0));
}

proptest! {
    /// Requests admitted by one token bucket for the whole fleet never count as overspent.
    #[test]
    fn single_bucket_never_overspends(
        requests in proptest::collection::vec((0_u64..400, 1_u64..3_000), 1..60),
    ) {
        let w = workload();
        let (rate, burst) = (w.organisations[0].rate, w.organisations[0].burst);
        let mut samples = Vec::new();
        let mut runs = TargetRuns::new();
        let (mut at, mut level) = (0_u64, burst);
        for (n, (gap_ms, tokens)) in requests.into_iter().enumerate() {
            at += gap_ms;
            level = (level + rate * gap_ms as f64 / 1_000.0).min(burst);
            let mut s = sample(n as u64);
            s.sent_at = Duration::from_millis(at);
            s.tokens = tokens;
            if tokens as f64 <= level {
                level -= tokens as f64;
                runs.insert(s.key.clone(), vec![TargetRun {
                    prompt_tokens: tokens,
                    answer_tokens: 0,
                    ..run()
                }]);
            } else {
                s.end = refused(true);
            }
            samples.push(s);
        }
        let f = Figures::compute(&w, &samples, &runs, &ProbeResults::default(), &[]);
        prop_assert!(f.overspend_ratio <= 1.0 + 1e-9);
        prop_assert_eq!(f.refused_within_rate_share, 0.0);
        prop_assert!((f.worst_organisation_share - 1.0).abs() < 1e-9);
    }
}
