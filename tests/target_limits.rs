//! Tests of the limits that targets name in their answers.

use std::time::Duration;

use limpetstand::gateway::target_limits::{ProcessKey, TargetLimit, TargetLimits};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn process(started_unix_ms: u64) -> ProcessKey {
    ("t".into(), started_unix_ms)
}

#[test]
fn a_limit_lasts_until_an_answer_to_a_later_request_names_none() {
    let mut limits = TargetLimits::default();
    let t = process(1);
    assert_eq!(limits.record_answer(ms(0), &t, None, ms(0)), None);
    let named = limits.record_answer(ms(100), &t, Some(2.0), ms(50));
    assert_eq!(named.and_then(|l| l.per_s), Some(2.0));
    // Nothing changes.
    assert_eq!(limits.record_answer(ms(200), &t, Some(2.0), ms(150)), None);
    // These answers may be older than the one before.
    assert_eq!(limits.record_answer(ms(300), &t, None, ms(0)), None);
    assert_eq!(limits.record_answer(ms(5_000), &t, None, ms(1_100)), None);
    assert_eq!(limits.per_s(&t), Some(2.0));
    let changed = limits.record_answer(ms(6_000), &t, Some(0.5), ms(5_900));
    assert_eq!(changed.and_then(|l| l.per_s), Some(0.5));
    let lifted = limits.record_answer(ms(8_000), &t, None, ms(7_500));
    assert_eq!(
        lifted,
        Some(TargetLimit {
            per_s: None,
            said_at: ms(8_000)
        })
    );
    assert_eq!(limits.per_s(&t), None);
    assert_eq!(
        limits.record_answer(ms(9_000), &t, None, ms(8_900)),
        None,
        "it is lifted already"
    );
}

#[test]
fn a_limit_concerns_the_process_that_named_it() {
    let mut limits = TargetLimits::default();
    limits.record_answer(ms(0), &process(2), Some(1.0), ms(0));
    assert_eq!(limits.per_s(&process(1)), None);
    assert_eq!(limits.per_s(&process(3)), None);
    // A late answer of a former process.
    limits.record_answer(ms(2_000), &process(1), None, ms(1_900));
    assert_eq!(limits.per_s(&process(2)), Some(1.0));
}

#[test]
fn older_news_changes_nothing() {
    let mut limits = TargetLimits::default();
    let t = process(1);
    let said = |per_s, at| TargetLimit {
        per_s,
        said_at: ms(at),
    };
    assert!(limits.hear(&t, said(Some(1.0), 1_000)));
    assert!(!limits.hear(&t, said(Some(3.0), 900)));
    assert!(!limits.hear(&t, said(None, 900)));
    assert!(!limits.hear(&t, said(Some(1.0), 2_000)));
    assert!(limits.hear(&t, said(None, 3_000)));
    assert!(!limits.hear(&t, said(Some(1.0), 2_500)));
    assert_eq!(limits.per_s(&t), None);
    assert!(!TargetLimits::default().hear(&t, said(None, 1_000)));
}

#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = TargetLimits::default();
    limits.record_answer(ms(0), &process(1), Some(0.0), ms(0));
    assert_eq!(limits.per_s(&process(1)), Some(0.25));
}

#[test]
fn limits_are_kept_as_long_as_their_process_is_listed() {
    let mut limits = TargetLimits::default();
    limits.record_answer(ms(0), &process(1), Some(1.0), ms(0));
    limits.expire(ms(900_000), |_| true);
    assert_eq!(limits.per_s(&process(1)), Some(1.0));
    limits.expire(ms(900_000), |_| false);
    assert_eq!(limits.per_s(&process(1)), None);
}
