//! For how long a target that could not be reached is left out, and by whom.

use std::time::Duration;

use limpetstand::gateway::ejection::{Ejection, OwnEjections, ReachReports};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn an_ejection_doubles_with_each_failure_up_to_a_bound() {
    let mut ejection = Ejection::default();
    let times: Vec<Duration> = (0..6).map(|_| ejection.record_failure(ms(0))).collect();
    assert_eq!(times, [500, 1_000, 2_000, 4_000, 4_000, 4_000].map(ms));
    assert!(ejection.is_ejected(ms(3_999)));
    assert!(!ejection.is_ejected(ms(4_000)));
    ejection.record_success();
    assert!(!ejection.is_ejected(ms(0)));
    assert_eq!(ejection.record_failure(ms(0)), ms(500));
}

#[test]
fn an_instance_leaves_out_the_targets_that_it_did_not_reach_itself() {
    let mut own = OwnEjections::default();
    own.record_failure(ms(0), &"t0".into());
    assert_eq!(own.ejected(ms(499)), ["t0".into()]);
    assert!(own.ejected(ms(500)).is_empty());
    own.record_failure(ms(600), &"t0".into());
    own.record_success(&"t0".into());
    assert!(own.ejected(ms(600)).is_empty());
}

#[test]
fn one_instance_does_not_make_all_leave_out_a_target_that_answers_others() {
    let mut reports = ReachReports::default();
    let (target, first, second) = ("t0".into(), "i1".into(), "i2".into());
    for _ in 0..3 {
        assert!(!reports.record_not_reached(&target, &first, false));
    }
    reports.record_answer(&target);
    assert!(!reports.record_not_reached(&target, &second, false));
    assert!(reports.record_not_reached(&target, &first, false));
}

#[test]
fn the_only_instance_of_a_region_is_believed_at_once() {
    let mut reports = ReachReports::default();
    assert!(reports.record_not_reached(&"t0".into(), &"i1".into(), true));
}
