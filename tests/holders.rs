//! Limits held by few instances of each region, in fleets of different sizes and in virtual time.

#[allow(dead_code, reason = "this file uses a part of it")]
#[path = "limits/live.rs"]
mod live;

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetstand::limit::holders::{MIN_HOLDERS, holders, in_order_for, refusal_for_caller};
use limpetstand::refusal::{Code, Ran, Refusal};
use live::LimiterFleet;
use tokio::time::{Instant, sleep};

/// Tokens a second and burst of the organisation.
const RATE: u64 = 90_000;
const BURST: u64 = 90_000;

/// Tokens of a large prompt: a tenth of a second's rate.
const LARGE: u64 = 9_000;

async fn start_fleet(per_region: u16) -> LimiterFleet {
    let fleet = LimiterFleet::start("few-holders", 3, per_region);
    fleet.set_organisation("bakeries", RATE, BURST);
    sleep(Duration::from_secs(20)).await;
    fleet
}

/// Sends requests of [`LARGE`] tokens to the instances in turn; returns how many were admitted and
/// refused.
async fn load(fleet: &LimiterFleet, per_second: u64, seconds: u64) -> (u64, u64) {
    let start = Instant::now();
    let mut requests = Vec::new();
    for n in 0..per_second * seconds {
        tokio::time::sleep_until(start + Duration::from_millis(1000 * n / per_second)).await;
        // A step that has no factor in common with the number of instances visits all of them.
        let i = usize::try_from(n).expect("small") * 41 % fleet.limiters.len();
        requests.push(tokio::spawn(fleet.request(i, "bakeries", LARGE)));
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

#[test]
fn small_regions_consist_of_holders_and_large_ones_have_few() {
    let names: Vec<String> = (0..300).map(|n| format!("i{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert_eq!(holders("r", &names[..3]).len(), 3);
    assert_eq!(holders("r", &names[..30]).len(), MIN_HOLDERS);
    let many = holders("r", &names);
    assert!((MIN_HOLDERS..=30).contains(&many.len()), "{}", many.len());
    // The loss of an instance that is no holder changes nothing.
    let others: Vec<&str> = names.iter().copied().filter(|n| *n != "i7").collect();
    let kept = holders("r", &others);
    let before: BTreeSet<&str> = many.iter().copied().filter(|n| *n != "i7").collect();
    assert!(before.is_subset(&kept.iter().copied().collect()));
    // Organisations are spread over the holders.
    let first: BTreeSet<&str> = (0..100)
        .map(|n| in_order_for(&format!("o{n}"), &many)[0])
        .collect();
    assert!(first.len() > many.len() / 2);
}

#[test]
fn a_holder_with_another_configuration_does_not_make_a_key_bad() {
    let unknown = Refusal::not_run(Code::BadKey, "unknown organisation `o`");
    let larger = Refusal::not_run(Code::LargerThanBurst, "more than the burst");
    for refusal in [unknown, larger] {
        let told = refusal_for_caller(refusal);
        assert_eq!((told.code(), told.ran()), (Code::RateExceeded, Ran::No));
        assert!(told.retry_after_ms().is_some());
    }
    let exceeded =
        Refusal::not_run(Code::RateExceeded, "used up").retry_after(Duration::from_secs(2));
    assert_eq!(refusal_for_caller(exceeded).retry_after_ms(), Some(2_000));
}

/// Sends nine tenths of the rate in large requests at all instances: nobody is refused, and starting
/// the fleet costs the store as much as its holders.
async fn check_within_the_rate(per_region: u16) {
    let fleet = start_fleet(per_region).await;
    let calls = fleet.store.calls.load(Ordering::Relaxed);
    let held_by = 3 * u64::from(per_region.min(4));
    assert!(calls <= held_by * 20, "{calls} calls in 20 s");
    // The first requests find the parts spread evenly.
    load(&fleet, 9, 5).await;
    let (admitted, refused) = load(&fleet, 9, 120).await;
    println!("{calls} calls, {admitted} admitted, {refused} refused");
    assert!(
        refused * 1_000 <= admitted + refused,
        "{refused} of {} refused",
        admitted + refused
    );
}

#[tokio::test(start_paused = true)]
async fn nine_instances_serve_large_requests_within_the_rate() {
    check_within_the_rate(3).await;
}

#[tokio::test(start_paused = true)]
async fn a_hundred_instances_serve_large_requests_within_the_rate() {
    check_within_the_rate(33).await;
}

#[tokio::test(start_paused = true)]
async fn three_hundred_instances_serve_large_requests_within_the_rate() {
    check_within_the_rate(98).await;
}

/// Sends five times the rate; returns the served tokens divided by what the rate and burst allow.
async fn overspend_ratio(per_region: u16) -> f64 {
    let fleet = start_fleet(per_region).await;
    let start = Instant::now();
    let (admitted, _) = load(&fleet, 50, 60).await;
    let allowed = RATE as f64 * start.elapsed().as_secs_f64() + BURST as f64;
    let ratio = (admitted * LARGE) as f64 / allowed;
    println!("{per_region} a region: {ratio}");
    ratio
}

#[tokio::test(start_paused = true)]
async fn five_times_the_rate_is_never_overspent() {
    for per_region in [3, 33, 98] {
        let ratio = overspend_ratio(per_region).await;
        assert!(ratio <= 1.0, "overspent: {ratio}");
    }
}

#[tokio::test(start_paused = true)]
async fn five_times_the_rate_uses_the_rate() {
    for per_region in [3, 33, 98] {
        let ratio = overspend_ratio(per_region).await;
        assert!(
            ratio > 0.85,
            "{per_region}: only {ratio} of the rate was served"
        );
    }
}

/// A fifth of the instances is lost at once and replaced by new ones.
#[tokio::test(start_paused = true)]
async fn half_of_the_rate_is_served_while_a_fifth_of_the_instances_is_replaced() {
    let mut fleet = start_fleet(33).await;
    load(&fleet, 5, 10).await;
    for n in 0..20 {
        // The rig numbers the instances anew after each removal.
        fleet.crash(n * 3);
        fleet.add_instance(40 + u16::try_from(n).expect("small"));
    }
    let live: Vec<usize> = (0..fleet.limiters.len()).collect();
    sleep(Duration::from_secs(5)).await;
    let (admitted, refused) = load(&fleet, 5, 60).await;
    // The requests sent to crashed instances are refused by the rig.
    let crashed = 20 * 300 / live.len() as u64 + 20;
    println!("{admitted} admitted, {refused} refused, {crashed} at crashed instances at most");
    assert!(refused <= crashed + 3, "{refused} of {admitted} refused");
}
