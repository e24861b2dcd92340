//! What organisations may use beyond their limits, in fleets of different sizes whose instances are
//! killed, started again and replaced, in virtual time.

#[allow(dead_code, reason = "this file uses a part of it")]
#[path = "limits/live.rs"]
mod live;

use std::time::Duration;

use limpetstand::limit::account::RateLimit;
use limpetstand::limit::ledger::HolderId;
use limpetstand::limit::ledger_client::{LedgerClient, ProposalInputs};
use limpetstand::limit::tolerance::{Taken, Tolerance, ToleranceUse};
use live::LimiterFleet;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep};

const LIMIT: RateLimit = RateLimit {
    rate: 29_000,
    burst: 29_000,
};

const TOLERANCE: Tolerance = Tolerance {
    overshoot: 0.1,
    slack: 110_000.0,
    window: Duration::from_secs(8),
};

const SECOND: Duration = Duration::from_secs(1);

/// Tokens of a request.
const TOKENS: u64 = 1_000;

/// Returns the tokens that may be used within any window.
fn allowed() -> f64 {
    let in_window = LIMIT.rate as f64 * TOLERANCE.window.as_secs_f64() + LIMIT.burst as f64;
    in_window * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack
}

/// What happens to the instances beside the load.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// None.
    Calm,
    /// Some or all are killed and start again under their names.
    Restarts,
    /// Some are lost and others join under new names.
    Replacements,
}

/// An admitted request: when it was sent and when it was admitted.
type Admitted = (Duration, Duration);

/// Sends 3.3 times the rate to a fleet for 24 s; returns the admitted requests.
async fn play(regions: u16, per_region: u16, trouble: Trouble, seed: u64) -> Vec<Admitted> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet =
        LimiterFleet::start_with_tolerance("few-holders", regions, per_region, TOLERANCE);
    fleet.set_organisation("o1", LIMIT.rate, LIMIT.burst);
    sleep(SECOND * 20).await;
    let start = Instant::now();
    let mut requests = Vec::new();
    let mut killed: Vec<usize> = Vec::new();
    let mut next_trouble = start + SECOND * 3;
    let mut unused_ports: Vec<u16> = (per_region..99).collect();
    for n in 0..(24 * 96) {
        let at = start + Duration::from_millis(n * 1_000 / 96);
        tokio::time::sleep_until(at).await;
        let i = rng.random_range(0..fleet.limiters.len());
        let request = fleet.request(i, "o1", TOKENS);
        requests.push(tokio::spawn(async move {
            let was_admitted = request.await;
            ((at - start, start.elapsed()), was_admitted)
        }));
        if at < next_trouble {
            continue;
        }
        match trouble {
            Trouble::Calm => {}
            Trouble::Restarts if killed.is_empty() => {
                killed = (0..fleet.limiters.len()).collect();
                killed.shuffle(&mut rng);
                if rng.random_bool(0.5) {
                    killed.truncate(rng.random_range(1..=killed.len()));
                }
                for i in &killed {
                    fleet.kill(*i);
                }
                next_trouble = at + Duration::from_millis(rng.random_range(50..700));
            }
            Trouble::Restarts => {
                for i in killed.drain(..) {
                    fleet.restart(i);
                }
                next_trouble = at + Duration::from_millis(rng.random_range(100..4_000));
            }
            Trouble::Replacements => {
                for _ in 0..rng.random_range(1..=fleet.limiters.len().div_ceil(3)) {
                    if rng.random_bool(0.5) && fleet.limiters.len() > 1 {
                        let i = rng.random_range(0..fleet.limiters.len());
                        fleet.crash(i);
                        fleet.limiters.remove(i);
                    } else if let Some(port) = unused_ports.pop() {
                        fleet.add_instance(port);
                    }
                }
                next_trouble = at + Duration::from_millis(rng.random_range(100..4_000));
            }
        }
    }
    let mut admitted = Vec::new();
    for request in requests {
        let (times, was_admitted) = request.await.expect("no panic");
        if was_admitted {
            admitted.push(times);
        }
    }
    admitted
}

/// Returns the most tokens of requests that were both sent and admitted within a window.
fn most_within_a_window(admitted: &[Admitted]) -> f64 {
    let mut most = 0;
    for (_, end) in admitted {
        let within = admitted
            .iter()
            .filter(|(sent, at)| *sent + TOLERANCE.window > *end && at <= end);
        most = most.max(within.count());
    }
    most as f64 * TOKENS as f64
}

const SIZES: [(u16, u16); 4] = [(3, 1), (3, 3), (3, 21), (3, 98)];

/// Plays fleets of each size with as many seeds as `seeds` has for the size.
async fn check_windows(trouble: Trouble, seeds: [u64; SIZES.len()]) {
    for ((regions, per_region), seeds) in SIZES.into_iter().zip(seeds) {
        for seed in 0..seeds {
            let admitted = play(regions, per_region, trouble, seed).await;
            let most = most_within_a_window(&admitted);
            let case = format!("{trouble:?}, {regions} x {per_region}, seed {seed}");
            println!("{case}: {most} of {}", allowed());
            assert!(most <= allowed(), "{case}: {most}");
        }
    }
}

/// Guards against new processes that use anew what killed ones have used within the window.
#[tokio::test(start_paused = true)]
async fn no_window_exceeds_the_tolerance_while_instances_restart() {
    check_windows(Trouble::Restarts, [4, 4, 2, 1]).await;
}

/// Guards against instances that divide the tolerance by different sizes of the fleet. The largest
/// fleet has no addresses left for new instances.
#[tokio::test(start_paused = true)]
async fn no_window_exceeds_the_tolerance_while_instances_are_replaced() {
    check_windows(Trouble::Replacements, [4, 4, 2, 0]).await;
}

/// A calm fleet uses more than rate and burst, so the bounds above are not kept by refusing what the
/// tolerance allows.
#[tokio::test(start_paused = true)]
async fn a_calm_fleet_uses_rate_and_tolerance() {
    for (regions, per_region) in SIZES {
        let admitted = play(regions, per_region, Trouble::Calm, 1).await;
        let most = most_within_a_window(&admitted);
        println!("{regions} x {per_region}: {most} of {}", allowed());
        assert!(most <= allowed(), "{regions} x {per_region}: {most}");
        let without = LIMIT.rate as f64 * TOLERANCE.window.as_secs_f64() + LIMIT.burst as f64;
        assert!(most > without, "{regions} x {per_region}: {most}");
    }
}

#[test]
fn without_a_tolerance_nothing_is_tolerated() {
    let id = HolderId {
        instance: "i1".into(),
        incarnation: 1,
    };
    let mut client = LedgerClient::of(id, "r1".into());
    let inputs = ProposalInputs {
        holders: 1,
        may_create: true,
        wants_tolerance: true,
        mark_time: Some(SECOND),
        ..ProposalInputs::default()
    };
    let proposal = client
        .propose(Duration::ZERO, &inputs)
        .expect("a first ledger");
    client.confirm_written(Duration::ZERO, 1.into(), proposal);
    assert!(client.may_use_tolerance());
    let mut tolerance_use = ToleranceUse::default();
    tolerance_use.follow(Duration::ZERO, &mut client);
    let mut take = |tolerance| tolerance_use.take(SECOND * 60, &"o1".into(), 1, LIMIT, &tolerance);
    assert_eq!(take(Tolerance::NONE), Taken::Insufficient);
    assert_eq!(
        take(TOLERANCE),
        Taken::Insufficient,
        "the bucket was empty until now"
    );
}

/// Guards against instances that each use a large part before the ledger is created, as their list
/// of instances is still short.
#[tokio::test(start_paused = true)]
async fn a_first_start_stays_within_the_tolerance() {
    const SMALL: u64 = TOKENS / 10;
    for size in [3, 9, 99] {
        let mut fleet = LimiterFleet::start_with_tolerance("few-holders", 0, 0, TOLERANCE);
        fleet.set_organisation("o1", LIMIT.rate, LIMIT.burst);
        let mut admitted = 0;
        let mut requests = Vec::new();
        for ms in 0..TOLERANCE.window.as_millis() {
            // All instances start within 0.3 s.
            if fleet.limiters.len() < size && ms % (300 / size as u128) == 0 {
                let port = u16::try_from(fleet.limiters.len()).expect("few instances");
                fleet.add_instance(port);
            }
            let i = usize::try_from(ms).expect("small") % fleet.limiters.len();
            requests.push(tokio::spawn(fleet.request(i, "o1", SMALL)));
            sleep(Duration::from_millis(1)).await;
        }
        for request in requests {
            if request.is_finished() && request.await.expect("no panic") {
                admitted += SMALL;
            }
        }
        println!("{size} instances: {admitted} of {}", allowed());
        assert!(admitted as f64 <= allowed(), "{size} instances: {admitted}");
    }
}
