//! Tests of the limiters on instances with an in-memory store and network, in virtual time.

#[path = "limits/live.rs"]
mod live;

use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetstand::limit::Hold;
use limpetstand::refusal::{Code, Ran};
use live::LimiterFleet;
use tokio::time::{Instant, sleep};

const RATE: u64 = 1_000;
const BURST: u64 = 4_000;

/// Returns served tokens divided by the tokens that rate and burst allow in `seconds`.
fn overspend_ratio(served: u64, seconds: f64) -> f64 {
    served as f64 / (RATE as f64 * seconds + BURST as f64)
}

async fn start_fleet(policy: &'static str) -> LimiterFleet {
    let fleet = LimiterFleet::start(policy, 3, 3);
    fleet.set_organisation("bakeries", RATE, BURST);
    sleep(Duration::from_secs(20)).await;
    fleet
}

/// Sends requests to the instances `at` in turn; returns how many were admitted and refused.
async fn load(
    fleet: &LimiterFleet,
    at: &[usize],
    per_second: u64,
    tokens: u64,
    seconds: u64,
) -> (u64, u64) {
    let start = Instant::now();
    let mut requests = Vec::new();
    for n in 0..per_second * seconds {
        tokio::time::sleep_until(start + Duration::from_millis(1000 * n / per_second)).await;
        let i = at[usize::try_from(n).unwrap_or(0) % at.len()];
        requests.push(tokio::spawn(fleet.request(i, "bakeries", tokens)));
    }
    let mut counts = (0, 0);
    for request in requests {
        match request.await {
            Ok(true) => counts.0 += 1,
            _ => counts.1 += 1,
        }
    }
    counts
}

#[tokio::test(start_paused = true)]
async fn demand_in_one_region_gets_the_whole_rate() {
    let fleet = start_fleet("shares").await;
    // Demand of nine tenths of the rate, in the first region only.
    let (admitted, refused) = load(&fleet, &[0, 1, 2], 9, 100, 60).await;
    assert_eq!(refused, 0, "{admitted} admitted");
}

#[tokio::test(start_paused = true)]
async fn a_static_split_refuses_what_the_loans_admit() {
    let fleet = start_fleet("static-split").await;
    let (admitted, refused) = load(&fleet, &[0, 1, 2], 9, 100, 60).await;
    assert!(refused > admitted, "{admitted} admitted, {refused} refused");
}

#[tokio::test(start_paused = true)]
async fn demand_of_five_times_the_rate_is_limited_to_the_rate() {
    let fleet = start_fleet("shares").await;
    let start = Instant::now();
    let (admitted, refused) = load(&fleet, &[0, 3, 6, 1, 4], 50, 100, 60).await;
    let seconds = start.elapsed().as_secs_f64();
    let ratio = overspend_ratio(admitted * 100, seconds);
    assert!(ratio <= 1.0, "overspent: {ratio}");
    assert!(ratio > 0.9, "only {ratio} of the rate was served");
    assert!(refused > 0);
}

#[tokio::test(start_paused = true)]
async fn the_whole_rate_at_each_instance_overspends() {
    let fleet = start_fleet("local-whole").await;
    let start = Instant::now();
    let (admitted, _) = load(&fleet, &[0, 3, 6, 1, 4], 50, 100, 60).await;
    let ratio = overspend_ratio(admitted * 100, start.elapsed().as_secs_f64());
    assert!(ratio > 1.5, "{ratio}");
}

#[tokio::test(start_paused = true)]
async fn a_request_for_most_of_the_burst_borrows_its_tokens() {
    let fleet = start_fleet("shares").await;
    let start = Instant::now();
    assert!(fleet.request(4, "bakeries", BURST * 9 / 10).await);
    assert!(start.elapsed() <= Duration::from_millis(400));
    assert!(!fleet.request(4, "bakeries", BURST * 9 / 10).await);
}

#[tokio::test(start_paused = true)]
async fn refusals_have_the_right_code_and_retry_time() {
    let fleet = start_fleet("shares").await;
    let organisation = "bakeries".into();
    let minute = Duration::from_secs(60);
    let larger = fleet.limiters[0]
        .admit(&organisation, BURST + 1, minute)
        .await;
    let refusal = larger.unwrap_err();
    assert_eq!(
        (refusal.code(), refusal.ran()),
        (Code::LargerThanBurst, Ran::No)
    );
    assert_eq!(refusal.retry_after_ms(), None);
    assert!(fleet.request(0, "bakeries", BURST * 9 / 10).await);
    let soon = fleet.limiters[0].admit(&organisation, 1_000, minute).await;
    let refusal = soon.unwrap_err();
    assert_eq!(
        (refusal.code(), refusal.ran()),
        (Code::RateExceeded, Ran::No)
    );
    let wait = Duration::from_millis(refusal.retry_after_ms().unwrap());
    assert!(wait > Duration::from_millis(100) && wait < Duration::from_secs(10));
    let unknown = fleet.limiters[0].admit(&"nobody".into(), 1, minute).await;
    assert_eq!(unknown.unwrap_err().code(), Code::BadKey);
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_region_keeps_its_part() {
    let fleet = start_fleet("shares").await;
    fleet.network.partition(2);
    // The region owns a third of the rate; its demand is slightly lower.
    let (admitted, refused) = load(&fleet, &[6, 7, 8], 3, 100, 120).await;
    assert_eq!(refused, 0, "{admitted} admitted");
    // The other regions together cannot spend more than their parts.
    let start = Instant::now();
    let both = tokio::join!(
        load(&fleet, &[0, 1, 3, 4], 30, 100, 120),
        load(&fleet, &[6, 7, 8], 30, 100, 120),
    );
    let served = (both.0.0 + both.1.0) * 100;
    let ratio = overspend_ratio(served, start.elapsed().as_secs_f64());
    assert!(ratio <= 1.0, "overspent: {ratio}");
    assert!(ratio > 0.85, "only {ratio} of the rate was served");
}

#[tokio::test(start_paused = true)]
async fn a_limit_can_be_lowered_to_zero_and_raised_again() {
    let fleet = start_fleet("shares").await;
    assert!(fleet.request(0, "bakeries", 100).await);
    fleet.set_organisation("bakeries", 0, 0);
    assert!(!fleet.request(0, "bakeries", 100).await);
    assert!(!fleet.request(8, "bakeries", 1).await);
    fleet.set_organisation("bakeries", RATE, BURST);
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.request(8, "bakeries", 100).await);
}

#[tokio::test(start_paused = true)]
async fn a_new_organisation_has_its_burst_at_once_but_a_recreated_one_does_not() {
    let fleet = start_fleet("shares").await;
    fleet.set_organisation("survey", RATE, BURST);
    assert!(fleet.request(2, "survey", BURST * 8 / 10).await);
    fleet.delete_organisation("survey");
    sleep(Duration::from_secs(1)).await;
    fleet.set_organisation("survey", RATE, BURST);
    assert!(!fleet.request(2, "survey", BURST * 8 / 10).await);
    sleep(Duration::from_secs(8)).await;
    assert!(fleet.request(2, "survey", BURST * 8 / 10).await);
}

#[tokio::test(start_paused = true)]
async fn no_request_calls_the_store() {
    let fleet = start_fleet("shares").await;
    sleep(Duration::from_secs(60)).await;
    let idle_start = fleet.store.calls.load(Ordering::Relaxed);
    sleep(Duration::from_secs(60)).await;
    let idle = fleet.store.calls.load(Ordering::Relaxed) - idle_start;
    let busy_start = fleet.store.calls.load(Ordering::Relaxed);
    load(&fleet, &[0, 3, 6], 100, 50, 60).await;
    let busy = fleet.store.calls.load(Ordering::Relaxed) - busy_start;
    assert!(
        busy <= idle + 9 * 3,
        "{busy} calls under load, {idle} without"
    );
}

#[tokio::test(start_paused = true)]
async fn parts_of_leaving_instances_are_reassigned() {
    let mut fleet = start_fleet("shares").await;
    for i in (3..9).rev() {
        fleet.leave(i).await;
    }
    sleep(Duration::from_secs(30)).await;
    let (admitted, refused) = load(&fleet, &[0, 1, 2], 9, 100, 30).await;
    assert_eq!(refused, 0, "{admitted} admitted");
    assert!(fleet.request(1, "bakeries", BURST * 8 / 10).await);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_instance_and_its_lender_do_not_use_the_same_part() {
    let mut fleet = LimiterFleet::start("inherited-shares", 1, 3);
    fleet.set_organisation("bakeries", RATE, BURST);
    sleep(Duration::from_secs(20)).await;
    load(&fleet, &[0], 50, 100, 10).await;
    fleet.kill(1);
    fleet.kill(2);
    sleep(Duration::from_millis(500)).await;
    // The instance that is not back makes the other one announce its restart again and again.
    fleet.restart(1);
    for at in [&[1][..], &[0], &[1], &[0, 1]] {
        let start = Instant::now();
        let (admitted, _) = load(&fleet, at, 50, 100, 8).await;
        let ratio = overspend_ratio(admitted * 100, start.elapsed().as_secs_f64());
        assert!(ratio <= 1.0, "overspent at {at:?}: {ratio}");
    }
    fleet.restart(2);
    sleep(Duration::from_secs(10)).await;
    let start = Instant::now();
    let (admitted, _) = load(&fleet, &[0, 1, 2], 50, 100, 20).await;
    let ratio = overspend_ratio(admitted * 100, start.elapsed().as_secs_f64());
    assert!(
        ratio > 0.85 && ratio <= 1.0,
        "{ratio} of the rate was served"
    );
}

/// Holds tokens at an instance until it has refused some requests in a row.
async fn hold_all(fleet: &LimiterFleet, at: usize) -> Vec<Hold> {
    let mut holds = Vec::new();
    let mut refused = 0;
    while refused < 3 {
        let time_left = Duration::from_secs(60);
        let limiter = &fleet.limiters[at];
        match limiter.admit(&"bakeries".into(), 100, time_left).await {
            Ok(hold) => holds.push(hold),
            Err(_) => {
                refused += 1;
                sleep(Duration::from_secs(1)).await;
            }
        }
    }
    holds
}

#[tokio::test(start_paused = true)]
async fn a_restarted_holder_does_not_take_settlements_of_its_earlier_run() {
    const INSTANCES: usize = 5;
    for asker in 0..INSTANCES {
        let mut fleet = LimiterFleet::start("few-holders", 1, 5);
        fleet.set_organisation("bakeries", RATE, BURST);
        sleep(Duration::from_secs(20)).await;
        let earlier = hold_all(&fleet, asker).await;
        for i in (0..INSTANCES).filter(|i| *i != asker) {
            fleet.kill(i);
            fleet.restart(i);
        }
        sleep(Duration::from_secs(20)).await;
        let other = (asker + 1) % INSTANCES;
        let mut running = hold_all(&fleet, other).await;
        for hold in earlier {
            hold.settle(0);
        }
        sleep(Duration::from_secs(1)).await;
        running.extend(hold_all(&fleet, other).await);
        let held = running.len() as u64 * 100;
        assert!(held > 0 && held <= BURST, "asker {asker}: {held} are held");
    }
}

#[tokio::test(start_paused = true)]
async fn a_crashed_instance_is_replaced_by_a_new_one() {
    let mut fleet = start_fleet("shares").await;
    fleet.crash(0);
    fleet.add_instance(3);
    let (_, refused) = load(&fleet, &[1, 2, 9], 5, 100, 30).await;
    assert_eq!(refused, 0, "the new instance has only loans at first");
    sleep(Duration::from_secs(240)).await;
    let start = Instant::now();
    let (admitted, _) = load(&fleet, &[1, 2, 9, 4, 8], 50, 100, 60).await;
    let ratio = overspend_ratio(admitted * 100, start.elapsed().as_secs_f64());
    assert!(
        ratio > 0.95 && ratio <= 1.0,
        "{ratio} of the rate was served"
    );
}
