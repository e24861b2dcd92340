//! Which requests and prompt parts are blamed for crashes of targets, and how instances agree.

#[path = "quarantine/fleet.rs"]
mod fleet;
#[path = "common/local_peers.rs"]
mod local_peers;

use std::time::Duration;

use limpetstand::quarantine::blame::{
    Answers, Blame, CRASHES_TO_CONDEMN, CRASHES_TO_CONDEMN_TIED, CompleteAnswer, Crash,
};
use limpetstand::quarantine::completions::Completions;
use limpetstand::quarantine::{Fingerprint, Suspect};
use proptest::prelude::*;

const SERVICE: &str = "s";

const FIRST: u64 = 1;

const HARMFUL: u64 = 2;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part(SERVICE, id)
}

/// Returns the suspects of request `n`, whose prompt has these shared parts.
fn request(n: u64, shared: &[u64]) -> Vec<Suspect> {
    let fingerprint = Fingerprint::of_request("o", "r", "/", &n.to_be_bytes());
    let prompt = [shared, &[1_000_000 + n]].concat();
    Suspect::of_request(fingerprint, SERVICE, &prompt)
}

fn crash(target: u64, suspects: Vec<Suspect>) -> Crash {
    Crash {
        target: format!("t{target}").into(),
        started_unix_ms: 1,
        suspects,
    }
}

/// A complete answer to a request that began at a time, and how long it took.
fn complete(began: Duration, took: Duration) -> Answers {
    Answers {
        complete: Some(CompleteAnswer { began, took }),
        running: None,
    }
}

/// A complete answer that took 100 ms.
fn answer(began: Duration) -> Answers {
    complete(began, ms(100))
}

/// Records crashes at their times; returns what is condemned if each crash is followed by requests
/// with `sound` that have complete answers.
fn condemned(crashes: Vec<(Duration, Vec<Suspect>)>, sound: &[Fingerprint]) -> Vec<Fingerprint> {
    let mut blame = Blame::default();
    let mut condemned = Vec::new();
    for (n, (at, suspects)) in (0..).zip(crashes) {
        blame.record(at, at, crash(n, suspects));
        let checked = blame.to_check(at);
        for suspect in sound {
            if checked.contains(suspect) {
                blame.record_answers(*suspect, answer(at));
            }
        }
        for culprit in blame.condemn(at, &checked) {
            condemned.push(culprit.fingerprint);
        }
    }
    condemned
}

fn each_second(crashes: Vec<Vec<Suspect>>) -> Vec<(Duration, Vec<Suspect>)> {
    let times = (1..).map(Duration::from_secs);
    times.zip(crashes).collect()
}

#[test]
fn a_part_under_which_three_targets_crashed_is_condemned() {
    let crashes = (0..3).map(|n| request(n, &[FIRST, HARMFUL])).collect();
    let found = condemned(each_second(crashes), &[part(FIRST)]);
    assert_eq!(found, [part(HARMFUL)]);
    let crashes = (0..2).map(|n| request(n, &[FIRST, HARMFUL])).collect();
    assert_eq!(condemned(each_second(crashes), &[part(FIRST)]), []);
}

#[test]
fn a_request_under_which_three_targets_crashed_is_condemned_and_its_parts_are_not() {
    let crashes = vec![request(7, &[FIRST, 3]); 3];
    let found = condemned(each_second(crashes), &[part(FIRST)]);
    assert_eq!(found, [request(7, &[])[0].fingerprint]);
}

#[test]
fn what_had_a_complete_answer_is_not_condemned() {
    let crashes = (0..20).map(|n| request(n, &[FIRST])).collect();
    assert_eq!(condemned(each_second(crashes), &[part(FIRST)]), []);
}

#[test]
fn a_part_that_one_request_brings_to_several_targets_is_not_condemned() {
    let mut crashes = vec![request(7, &[3]); 6];
    crashes.push(request(8, &[3]));
    let found = condemned(each_second(crashes), &[]);
    assert_eq!(found, [request(7, &[])[0].fingerprint]);
}

#[test]
fn a_bystander_of_a_repeated_request_is_not_condemned_for_its_crashes() {
    let mut crashes = Vec::new();
    for n in 0..4 {
        let mut suspects = request(7, &[FIRST]);
        if n > 0 {
            suspects.extend(request(n + 10, &[FIRST, 4]));
        }
        crashes.push(suspects);
    }
    let found = condemned(each_second(crashes), &[part(FIRST)]);
    assert_eq!(found, [request(7, &[])[0].fingerprint]);
}

#[test]
fn suspects_that_no_crash_tells_apart_are_condemned_together_and_later() {
    let crashes: Vec<_> = (0..5).map(|n| request(n, &[HARMFUL, 3])).collect();
    let early = crashes[..CRASHES_TO_CONDEMN_TIED - 1].to_vec();
    assert_eq!(condemned(each_second(early), &[]), []);
    let mut found = condemned(each_second(crashes), &[]);
    found.sort();
    assert_eq!(found, [part(HARMFUL), part(3)]);
}

#[test]
fn a_crash_that_several_instances_report_counts_once() {
    let mut blame = Blame::default();
    for n in 0..30 {
        blame.record(
            ms(n * 400),
            ms(n * 400),
            crash(n % 2, request(n, &[HARMFUL])),
        );
    }
    let checked = blame.to_check(ms(12_000));
    assert_eq!(checked, []);
    assert_eq!(blame.condemn(ms(12_000), &[part(HARMFUL)]), []);
}

#[test]
fn a_part_in_flight_at_a_few_of_many_crashes_is_not_condemned() {
    let mut crashes: Vec<_> = (0..20).map(|n| request(n, &[1_000 + n])).collect();
    for (n, at) in (100..).zip([0, 10, 19]) {
        crashes[at].extend(request(n, &[3]));
    }
    assert_eq!(condemned(each_second(crashes), &[]), []);
}

#[test]
fn old_crashes_are_forgotten() {
    let crashes = (0..10).map(|n| request(n, &[HARMFUL]));
    let rare = (0..).map(|n| Duration::from_secs(n * 61)).zip(crashes);
    assert_eq!(condemned(rare.collect(), &[]), []);
}

#[test]
fn completions_are_remembered_for_a_limited_time() {
    let mut completions = Completions::default();
    completions.record_complete(ms(0), ms(0), &request(1, &[FIRST]));
    for at in [ms(0), ms(29_999), ms(30_001)] {
        assert!(
            completions.get(at, part(FIRST)).complete.is_some(),
            "{at:?}"
        );
    }
    assert_eq!(completions.get(ms(60_001), part(FIRST)), Answers::default());
    completions.record_complete(ms(70_000), ms(70_000), &request(1, &[FIRST]));
    assert_eq!(
        completions.get(ms(200_000), part(FIRST)),
        Answers::default()
    );
    // Requests do not displace parts.
    completions.record_complete(ms(200_000), ms(200_000), &request(1, &[FIRST]));
    for n in 0..50_000 {
        completions.record_complete(ms(200_001), ms(200_001), &request(n, &[]));
    }
    assert!(completions.get(ms(200_002), part(FIRST)).complete.is_some());
}

#[test]
fn the_answer_whose_request_began_last_is_remembered() {
    let mut completions = Completions::default();
    let long = request(1, &[FIRST]);
    completions.record_complete(ms(3_000), ms(2_900), &request(2, &[FIRST]));
    completions.record_complete(ms(4_000), ms(1_000), &long);
    assert_eq!(completions.get(ms(4_000), part(FIRST)), answer(ms(2_900)));
    let own = completions.get(ms(4_000), long[0].fingerprint);
    assert_eq!(own, complete(ms(1_000), ms(3_000)));
    completions.record_running(ms(6_000), ms(4_500), &request(3, &[FIRST]));
    assert_eq!(
        completions.get(ms(6_000), part(FIRST)),
        Answers {
            running: Some(ms(4_500)),
            ..answer(ms(2_900))
        }
    );
}

#[test]
fn an_answer_clears_only_crashes_before_its_request_began() {
    let mut blame = Blame::default();
    let checked = [part(HARMFUL)];
    for n in 0..3 {
        let at = ms(n * 1_000);
        blame.record(at, at, crash(n, request(n, &[HARMFUL])));
    }
    blame.record_answers(part(HARMFUL), answer(ms(1_500)));
    assert_eq!(blame.condemn(ms(10_000), &checked), []);
    for n in 3..5 {
        let at = ms(n * 1_000);
        blame.record(at, at, crash(n, request(n, &[HARMFUL])));
    }
    let found = blame.condemn(ms(10_000), &checked);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].crashes, 3);
}

#[test]
fn a_suspect_with_answers_before_its_crashes_is_given_time_for_another() {
    // The last of these has begun to answer well since the first crash.
    for (took, running, due) in [
        (100, 0, 2_000),
        (1_500, 0, 3_000),
        (9_000, 0, 4_000),
        (9_000, 20_500, 18_000),
    ] {
        let mut blame = Blame::default();
        for n in 0..3 {
            let at = ms(20_000 + n * 300);
            blame.record(at, at, crash(n, request(n, &[HARMFUL])));
        }
        let answers = Answers {
            running: Some(ms(running)),
            ..complete(ms(10_000), ms(took))
        };
        blame.record_answers(part(HARMFUL), answers);
        let due = ms(20_000 + due);
        assert_eq!(blame.next_due(ms(20_700)), Some(due));
        assert_eq!(blame.condemn(due - ms(1), &[part(HARMFUL)]), []);
        assert_eq!(blame.condemn(due, &[part(HARMFUL)]).len(), 1);
        assert_eq!(blame.next_due(due), None);
    }
}

#[test]
fn a_harmful_part_is_condemned_before_parts_with_answers_are_judged() {
    let mut blame = Blame::default();
    blame.record_answers(part(FIRST), answer(ms(0)));
    for n in 0..3 {
        let at = ms(1_000 + n * 300);
        blame.record(at, at, crash(n, request(n, &[FIRST, HARMFUL])));
    }
    let checked = blame.to_check(ms(1_700));
    let found = blame.condemn(ms(1_700), &checked);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].fingerprint, part(HARMFUL));
    assert_eq!(blame.condemn(ms(60_000), &checked), []);
}

#[test]
fn a_request_without_an_answer_is_not_condemned_for_one_that_has_become_harmful() {
    let mut blame = Blame::default();
    let harmful = request(7, &[]);
    blame.record_answers(harmful[0].fingerprint, answer(ms(0)));
    let mut checked = Vec::new();
    for n in 0..5 {
        let at = ms(1_000 + n * 300);
        let mut suspects = harmful.clone();
        if n >= 1 {
            suspects.extend(request(8, &[]));
        }
        blame.record(at, at, crash(n, suspects));
        checked = blame.to_check(at);
        assert_eq!(blame.condemn(at, &checked), []);
    }
    let found = blame.condemn(ms(3_000), &checked);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].fingerprint, harmful[0].fingerprint);
}

#[test]
fn a_harmful_request_is_condemned_before_the_parts_that_it_shares() {
    let mut blame = Blame::default();
    let mut checked = Vec::new();
    for n in 0..6 {
        let at = ms(1_000 + n * 400);
        let mut suspects = request(7, &[FIRST, 3]);
        suspects.extend(request(10 + n, &[FIRST, 3]));
        blame.record(at, at, crash(n, suspects));
        checked = blame.to_check(at);
    }
    for suspect in [part(FIRST), part(3), request(7, &[])[0].fingerprint] {
        blame.record_answers(suspect, answer(ms(0)));
    }
    let found = blame.condemn(ms(9_000), &checked);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].fingerprint, request(7, &[])[0].fingerprint);
}

#[test]
fn parts_with_answers_are_not_condemned_for_a_harmful_request_that_has_them() {
    let mut blame = Blame::default();
    let whole = request(7, &[])[0].fingerprint;
    for id in [FIRST, 3] {
        blame.record_answers(part(id), answer(ms(0)));
    }
    let mut condemned = Vec::new();
    for n in 0..8 {
        let at = ms(1_000 + n * 300);
        // The last part of the prompt is another one each time.
        let prompt = [FIRST, 3, 2_000_000 + n];
        let suspects = Suspect::of_request(whole, SERVICE, &prompt);
        blame.record(at, at, crash(n, suspects));
        let checked = blame.to_check(at);
        condemned.extend(blame.condemn(at, &checked));
    }
    let checked = blame.to_check(ms(9_000));
    condemned.extend(blame.condemn(ms(9_000), &checked));
    let found: Vec<Fingerprint> = condemned.iter().map(|c| c.fingerprint).collect();
    assert_eq!(found, [whole]);
}

#[test]
fn a_suspect_whose_quarantine_has_ended_is_condemned_again_for_one_crash() {
    let mut blame = Blame::default();
    blame.record_released(ms(600_000), part(HARMFUL));
    let at = ms(1_200_000);
    let suspects = request(1, &[FIRST, HARMFUL, 3]);
    blame.record(at, at, crash(1, suspects));
    let checked = blame.to_check(at);
    let found = blame.condemn(at, &checked);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].fingerprint, part(HARMFUL));
}

#[test]
fn a_suspect_with_an_answer_since_its_quarantine_is_like_any_other() {
    let mut blame = Blame::default();
    blame.record_released(ms(600_000), part(HARMFUL));
    let at = ms(620_000);
    blame.record(at, at, crash(1, request(1, &[HARMFUL])));
    let checked = blame.to_check(at);
    assert_eq!(checked, [part(HARMFUL)]);
    blame.record_answers(part(HARMFUL), answer(ms(601_000)));
    assert_eq!(blame.condemn(at, &checked), []);
    // The probation ends.
    let mut blame = Blame::default();
    blame.record_released(ms(600_000), part(HARMFUL));
    let at = ms(600_000 + 3_600_000);
    blame.record(at, at, crash(1, request(1, &[HARMFUL])));
    assert_eq!(blame.to_check(at), []);
}

/// Returns requests with some of 40 parts, of which no two have the same last part.
fn in_flight(max: usize) -> impl Strategy<Value = Vec<Vec<u64>>> {
    prop::collection::vec(prop::collection::vec(10_u64..50, 0..3), 0..max)
}

proptest! {
    /// Many targets end at once, with many parts in flight on each, none known to be sound.
    #[test]
    fn the_loss_of_data_centres_condemns_nothing(
        losses in prop::collection::vec(prop::collection::vec((0_u64..100, in_flight(8)), 1..30), 1..3),
    ) {
        let mut crashes = Vec::new();
        let mut next = 0;
        for (n, loss) in (0..).zip(losses) {
            for (at, requests) in loss {
                let mut suspects = Vec::new();
                for shared in requests {
                    suspects.extend(request(next, &shared));
                    next += 1;
                }
                crashes.push((ms(n * 5_000 + at), suspects));
            }
        }
        crashes.sort_by_key(|(at, _)| *at);
        prop_assert_eq!(condemned(crashes, &[]), []);
    }

    /// Targets end one after the other, each with other requests in flight.
    #[test]
    fn targets_that_are_replaced_condemn_nothing(
        ends in prop::collection::vec((300_u64..2_000, in_flight(4)), 8..40),
    ) {
        let mut seen = std::collections::HashMap::<u64, usize>::new();
        let (mut crashes, mut at, mut next) = (Vec::new(), 0, 0);
        for (pause, requests) in ends {
            at += pause;
            let mut suspects = Vec::new();
            for mut shared in requests {
                // What is in flight more often is frequent enough to have complete answers.
                shared.retain(|id| {
                    let count = seen.entry(*id).or_default();
                    *count += 1;
                    *count < CRASHES_TO_CONDEMN
                });
                suspects.extend(request(next, &shared));
                next += 1;
            }
            crashes.push((ms(at), suspects));
        }
        prop_assert_eq!(condemned(crashes, &[]), []);
    }

    /// A harmful part is condemned by its fifth separate crash; sound ones that were not in flight
    /// at all of its crashes never are, though no complete answer to them is known.
    #[test]
    fn only_the_harmful_part_is_condemned(
        ends in prop::collection::vec((50_u64..2_000, in_flight(6)), 20),
    ) {
        let (mut crashes, mut at, mut next) = (Vec::new(), 0, 0);
        for (n, (pause, requests)) in ends.into_iter().enumerate() {
            at += pause;
            let mut suspects = request(next, &[FIRST, HARMFUL]);
            next += 1;
            for mut shared in requests {
                // No sound part is in flight at both of the first two crashes.
                shared.retain(|id| n > 0 || *id < 30);
                shared.retain(|id| n != 1 || *id >= 30);
                suspects.extend(request(next, &shared));
                next += 1;
            }
            crashes.push((ms(at), suspects));
        }
        let separate = separate_within(&crashes);
        let found = condemned(crashes, &[part(FIRST)]);
        if separate >= CRASHES_TO_CONDEMN {
            prop_assert_eq!(found, [part(HARMFUL)]);
        } else {
            prop_assert_eq!(found, []);
        }
    }
}

proptest! {
    /// A part that had answers becomes harmful. Sound parts that share its crashes have an answer
    /// now and then; none of them is ever condemned, and the harmful part is once it is due.
    #[test]
    fn only_the_part_that_became_harmful_is_condemned(
        ends in prop::collection::vec((50_u64..800, in_flight(6)), 12..40),
        answered_each in 300_u64..1_500,
    ) {
        let mut blame = Blame::default();
        let sound: Vec<u64> = (10..50).chain([FIRST]).collect();
        for id in sound.iter().chain([&HARMFUL]) {
            blame.record_answers(part(*id), answer(ms(0)));
        }
        let (mut at, mut next) = (20_000, 0);
        let mut condemned = Vec::new();
        let mut answered_at = at;
        for (n, (pause, requests)) in (0..).zip(ends) {
            let mut suspects = request(next, &[FIRST, HARMFUL]);
            next += 1;
            for shared in requests {
                suspects.extend(request(next, &[&[FIRST], &shared[..]].concat()));
                next += 1;
            }
            blame.record(ms(at), ms(at), crash(n, suspects));
            if at >= answered_at + answered_each {
                answered_at = at;
                for id in &sound {
                    blame.record_answers(part(*id), answer(ms(at - 100)));
                }
            }
            let checked = blame.to_check(ms(at));
            condemned.extend(blame.condemn(ms(at), &checked));
            at += pause;
        }
        let checked = blame.to_check(ms(at + 4_000));
        condemned.extend(blame.condemn(ms(at + 4_000), &checked));
        let found: Vec<Fingerprint> = condemned.iter().map(|c| c.fingerprint).collect();
        prop_assert_eq!(found, [part(HARMFUL)]);
    }
}

/// Returns the number of crashes that are at least 250 ms after the counted one before.
fn separate_within(crashes: &[(Duration, Vec<Suspect>)]) -> usize {
    let mut last: Option<Duration> = None;
    let mut count = 0;
    for (at, _) in crashes {
        if last.is_none_or(|last| *at >= last + ms(250)) {
            count += 1;
            last = Some(*at);
        }
    }
    count
}
