//! How the instances of a region tell each other of targets that leave, have asked for quiet or have
//! named a limit: the decisions, and whole fleets in virtual time.

#[path = "common/follower_fleet.rs"]
mod follower_fleet;
#[path = "common/local_peers.rs"]
mod local_peers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetstand::clock::Clock;
use limpetstand::gateway::dialect::TargetEntry;
use limpetstand::gateway::listeners::{LISTENERS, Listeners};
use limpetstand::gateway::registry::KnownTarget;
use limpetstand::gateway::target_limits::TargetLimit;
use limpetstand::gateway::withdrawal::MAX_QUIET;
use limpetstand::gateway::withdrawal_news::{Position, WithdrawalNews, WithdrawalReport};
use limpetstand::id::{InstanceId, TargetId};
use tokio::time::{Instant, sleep};

use follower_fleet::{TestFleet, TestInstance};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a registry of one target with this process.
fn listed(started_unix_ms: u64) -> BTreeMap<TargetId, KnownTarget> {
    let entry = TargetEntry {
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a0".into(),
        software_version: "v1".into(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
        started_unix_ms,
    };
    let known = KnownTarget {
        entry,
        cold_until: Duration::ZERO,
        missing_since: None,
    };
    BTreeMap::from([("t".into(), known)])
}

/// Returns a report of instance `a` about the process that started at 1.
fn report(number: u64, leaving: bool, quiet: u64) -> WithdrawalReport {
    WithdrawalReport {
        target: "t".into(),
        started_unix_ms: 1,
        leaving,
        quiet_left: ms(quiet),
        limit: None,
        reporter: "a".into(),
        number,
    }
}

/// Returns the time at which the quiet ends that the news has.
fn quiet_until(news: &WithdrawalNews, now: Duration) -> Option<Duration> {
    let (_, active) = news.changes_after(now, 0);
    active.first().map(|r| now + r.quiet_left)
}

#[test]
fn old_and_repeated_reports_do_nothing() {
    let registry = listed(1);
    let mut news = WithdrawalNews::new(1);
    let first = report(5, false, 3_000);
    assert!(news.hear(ms(0), &registry, &first));
    // The same report by another way, later, and an older one of the same instance.
    assert!(!news.hear(ms(2_000), &registry, &first));
    assert!(!news.hear(ms(2_000), &registry, &report(4, false, 60_000)));
    assert_eq!(quiet_until(&news, ms(2_000)), Some(ms(3_000)));
    news.expire(ms(4_000), &registry);
    assert!(!news.hear(ms(4_000), &registry, &first));
    assert_eq!(quiet_until(&news, ms(4_000)), None);
    // The target asks again.
    assert!(news.hear(ms(4_500), &registry, &report(6, false, 1_000)));
    assert_eq!(quiet_until(&news, ms(4_500)), Some(ms(5_500)));
}

#[test]
fn only_the_process_meant_is_affected() {
    let mut news = WithdrawalNews::new(1);
    assert!(!news.hear(ms(0), &listed(2), &report(1, true, 3_000)));
    assert!(!news.hear(ms(0), &BTreeMap::new(), &report(2, true, 3_000)));
    assert!(news.hear(ms(0), &listed(1), &report(3, true, 0)));
    // The leaving process stays out as long as the registry has it, and a while longer.
    news.expire(ms(900_000), &listed(1));
    news.expire(ms(1_000_000), &BTreeMap::new());
    assert_eq!(news.changes_after(ms(1_000_000), 0).1.len(), 1);
    news.expire(ms(1_000_001), &listed(2));
    assert_eq!(news.changes_after(ms(1_000_001), 0).1, []);
}

#[test]
fn a_quiet_passes_on_as_the_time_left() {
    let registry = listed(1);
    let mut listener = WithdrawalNews::new(1);
    let long = report(1, false, 900_000);
    assert!(listener.report(ms(0), &registry, &long));
    assert_eq!(listener.changes_since(ms(0), None), None, "not published");
    listener.publish();
    let (position, reports) = listener.changes_since(ms(10_000), None).expect("news");
    assert_eq!(reports[0].quiet_left, MAX_QUIET - ms(10_000));
    assert_eq!(listener.changes_since(ms(10_000), Some(position)), None);
    // The clock of the other instance shows another time.
    let mut follower = WithdrawalNews::new(2);
    assert!(follower.hear(ms(700_000), &registry, &reports[0]));
    assert_eq!(
        quiet_until(&follower, ms(700_000)),
        Some(ms(700_000 + 50_000))
    );
    // A listener that has been restarted tells everything again.
    let of_former_process = Position {
        process: 99,
        change: 7,
    };
    let (_, reports) = listener
        .changes_since(ms(10_000), Some(of_former_process))
        .expect("news");
    assert_eq!(reports.len(), 1);
}

#[test]
fn answers_that_come_together_are_one_piece_of_news() {
    let registry = listed(1);
    let mut news = WithdrawalNews::new(1);
    let mut told = 0;
    for n in 0..500 {
        // Each millisecond an answer asks for two seconds of quiet.
        told += usize::from(news.hear(ms(n), &registry, &report(n + 1, false, 2_000)));
    }
    assert_eq!(told, 2);
    assert!(quiet_until(&news, ms(500)) >= Some(ms(2_250)));
}

/// Instances tell the first in the order; any other that listens polls these.
#[test]
fn each_instance_is_told_of_withdrawals_or_polls_those_that_are() {
    let live: Vec<InstanceId> = (0..10).map(|n| format!("i{n}").into()).collect();
    let plan = |own| {
        let mut experience = Listeners::default();
        experience.record_polled(ms(0));
        experience.plan(ms(0), "a", own, &live, true)
    };
    let told: Vec<&InstanceId> = live
        .iter()
        .filter(|id| plan(id).sources.is_empty())
        .collect();
    assert_eq!(told.len(), LISTENERS);
    for own in &live {
        let plan = plan(own);
        assert!(plan.listens);
        let expected: Vec<&InstanceId> = told.iter().copied().filter(|id| *id != own).collect();
        let mut tells: Vec<&InstanceId> = plan.tells.iter().collect();
        tells.sort();
        assert_eq!(tells, expected, "{own}");
        if !told.contains(&own) {
            assert_eq!(plan.sources, plan.tells, "{own}");
        }
    }
}

/// Time within which all instances of a region know of a withdrawal: half of the time that the
/// platform gives an instance that has heard of it itself.
const NEWS_BOUND: Duration = Duration::from_millis(250);

/// Lets instances hear from targets that they leave or want quiet; returns the time until all
/// instances know, and the numbers of messages that tell and that pass on.
async fn spread(
    fleet: &TestFleet,
    hearing: &[&TestInstance],
    targets: &[String],
    quiet: Duration,
) -> (Duration, u64, u64) {
    let counts = |fleet: &TestFleet| {
        let links = &fleet.links;
        (links.answered("withdrawn"), links.answered("view"))
    };
    let (told, passed_on) = counts(fleet);
    let began = Instant::now();
    for instance in hearing {
        for target in targets {
            let leaving = quiet.is_zero();
            let follower = &instance.follower;
            follower.report_withdrawal(&target.as_str().into(), 1, leaving, quiet);
        }
    }
    let knows = |i: &TestInstance| targets.iter().all(|t| i.withdrawal(t).is_some());
    while !fleet.instances.iter().all(knows) {
        assert!(began.elapsed() < ms(5_000), "not known everywhere");
        sleep(ms(5)).await;
    }
    let time = began.elapsed();
    sleep(ms(1_000).saturating_sub(time)).await;
    let (told_after, passed_on_after) = counts(fleet);
    (time, told_after - told, passed_on_after - passed_on)
}

/// Messages within a second of a withdrawal, besides the polls that end for lack of news: one to each
/// listener for each instance that has heard of it, and one answer of each listener to each instance.
#[tokio::test(start_paused = true)]
async fn all_instances_of_a_region_know_of_a_withdrawal_in_time() {
    for count in [3, 9, 100, 300] {
        let fleet = TestFleet::start(count, 1).await;
        let listeners = LISTENERS as u64;
        let polls = listeners * count as u64;
        let followers = fleet.all_but(&fleet.listeners("a0"));
        let one = &followers[..1];
        let all = fleet.all();
        let many: Vec<String> = (10..20).map(|n| format!("t{n}")).collect();
        for (what, hearing, targets, quiet) in [
            ("one leaves", one, &["t1".to_owned()][..], ms(0)),
            ("one asks for quiet", one, &["t2".to_owned()][..], ms(3_000)),
            ("all hear it", &all, &["t3".to_owned()][..], ms(3_000)),
            ("ten ask all", &all, &many, ms(3_000)),
        ] {
            let (time, told, passed_on) = spread(&fleet, hearing, targets, quiet).await;
            println!("{count}, {what}: {time:?}, {told} told, {passed_on} passed on");
            assert!(time <= NEWS_BOUND, "{count}, {what}: {time:?}");
            let bound = listeners * hearing.len() as u64;
            assert!(told <= bound, "{count}, {what}: {told} messages");
            // Each poll ends at most once for the news, and once for lack of any.
            assert!(
                passed_on <= polls * 2,
                "{count}, {what}: {passed_on} answers"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_quiet_ends_everywhere_when_it_was_asked_to_end() {
    let fleet = TestFleet::start(100, 1).await;
    let target = ["t1".to_owned()];
    let began = Instant::now();
    spread(&fleet, &fleet.all()[..1], &target, ms(3_000)).await;
    sleep(ms(2_950).saturating_sub(began.elapsed())).await;
    let knows = |i: &TestInstance| i.withdrawal("t1").is_some();
    assert!(fleet.instances.iter().all(knows));
    sleep(ms(150)).await;
    assert!(!fleet.instances.iter().any(knows));
}

fn limit(per_s: Option<f64>, said_at: Duration) -> TargetLimit {
    TargetLimit { per_s, said_at }
}

#[test]
fn the_latest_word_on_a_limit_holds() {
    let registry = listed(1);
    let mut news = WithdrawalNews::new(1);
    let said = |number, per_s, at| WithdrawalReport {
        limit: Some(limit(per_s, ms(at))),
        ..report(number, false, 0)
    };
    assert!(news.hear(ms(1_000), &registry, &said(1, Some(2.0), 1_000)));
    // The order of the reports tells nothing of that of the answers.
    assert!(!news.hear(ms(2_000), &registry, &said(2, Some(5.0), 500)));
    assert!(!news.hear(ms(2_000), &registry, &said(3, Some(2.0), 1_900)));
    assert!(news.hear(ms(3_000), &registry, &said(4, Some(1.0), 2_900)));
    news.expire(ms(900_000), &registry);
    let (_, known) = news.changes_after(ms(900_000), 0);
    assert_eq!(known[0].limit, Some(limit(Some(1.0), ms(2_900))));
    assert!(!known[0].leaving && known[0].quiet_left.is_zero());
    // The end of a limit is passed on as well, and then forgotten.
    assert!(news.hear(ms(901_000), &registry, &said(5, None, 900_900)));
    let (_, known) = news.changes_after(ms(901_000), 0);
    assert_eq!(known[0].limit, Some(limit(None, ms(900_900))));
    news.expire(ms(990_000), &registry);
    assert_eq!(news.changes_after(ms(990_000), 0).1, []);
    // A limit ends with its process.
    assert!(news.hear(ms(991_000), &registry, &said(6, Some(1.0), 990_900)));
    news.expire(ms(1_060_000), &listed(2));
    assert_eq!(news.changes_after(ms(1_060_000), 0).1, []);
}

#[tokio::test(start_paused = true)]
async fn all_instances_of_a_region_know_of_a_limit_and_of_its_end_in_time() {
    for count in [3, 9, 100, 300] {
        let clock = Clock::start();
        let fleet = TestFleet::start(count, 1).await;
        for per_s in [Some(1.0), Some(0.5), None] {
            let one = &fleet.instances[count / 2];
            let said = limit(per_s, clock.now());
            one.follower.report_limit(&("t1".into(), 1), said);
            let began = Instant::now();
            let knows = |i: &TestInstance| {
                let limit = i.withdrawal("t1").and_then(|w| w.limit);
                limit.is_some_and(|l| l.per_s == per_s)
            };
            while !fleet.instances.iter().all(knows) {
                assert!(began.elapsed() <= NEWS_BOUND, "{count}, {per_s:?}");
                sleep(ms(5)).await;
            }
            println!("{count}, {per_s:?}: {:?}", began.elapsed());
            sleep(ms(1_000)).await;
        }
    }
}

/// The registry has another process of the target at the time at which the news arrives.
#[tokio::test(start_paused = true)]
async fn a_withdrawal_of_a_former_process_is_not_passed_on() {
    let fleet = TestFleet::start(9, 1).await;
    fleet.instances[0]
        .follower
        .report_withdrawal(&"t1".into(), 7, true, ms(0));
    sleep(ms(1_000)).await;
    assert!(fleet.instances.iter().all(|i| i.withdrawal("t1").is_none()));
}

#[tokio::test(start_paused = true)]
async fn withdrawals_are_told_while_a_listener_is_gone_or_frozen() {
    for lost in [1, LISTENERS] {
        let fleet = TestFleet::start(60, 1).await;
        let listeners = fleet.listeners("a0");
        let gone = &listeners[..lost];
        for listener in gone {
            for other in &fleet.instances {
                let links = &fleet.links;
                links.set_cut(other.address, listener.address, true);
                links.set_cut(listener.address, other.address, true);
            }
        }
        let heard = fleet.all_but(&listeners);
        let began = Instant::now();
        heard[0]
            .follower
            .report_withdrawal(&"t1".into(), 1, true, ms(0));
        while !fleet
            .all_but(gone)
            .iter()
            .all(|i| i.withdrawal("t1").is_some())
        {
            assert!(began.elapsed() < ms(6_000), "{lost} lost: not known");
            sleep(ms(5)).await;
        }
        println!("{lost} listeners lost: known after {:?}", began.elapsed());
        if lost < LISTENERS {
            assert!(began.elapsed() <= NEWS_BOUND, "{:?}", began.elapsed());
        }
    }
}
