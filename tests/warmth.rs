//! What instances send to targets that become cold while some of the instances are cut off, in
//! virtual time and without a network.

#[path = "common/region_view.rs"]
mod region_view;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetstand::gateway::platform_view::PlatformView;
use limpetstand::gateway::pool::{Demand, Pool, Prefill, TargetQuery};
use limpetstand::gateway::routes::{RouteTable, Service};
use limpetstand::gateway::target_limits::LimitedTargets;
use limpetstand::gateway::warmth::{COLD_TIME, ColdShares, hears_others};
use limpetstand::id::{RegionId, TargetId};
use limpetstand::member::{Fleet, Health, Member};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use region_view::SERVICE;

const TARGETS: u32 = 4;

/// Requests per second that a cold target takes, by the terms of the users: `per_s × 1.5 + 3`.
const PER_S: f64 = 1.7;
const BOUND: f64 = PER_S * 1.5 + 3.0;

/// What a scheduler uses of it.
const SCHEDULED: (f64, f64) = (0.75, 1.5);

/// Time between two requests at an instance.
const PERIOD: Duration = Duration::from_millis(70);

/// When all targets become cold.
const COLD_AT: Duration = Duration::from_secs(3);

const END: Duration = Duration::from_secs(9);

fn view(cold: bool) -> PlatformView {
    let mut view = region_view::view(TARGETS, 64);
    let mut table = RouteTable::new(1, Vec::new());
    let service = Service {
        warmup: END,
        warmup_per_s: PER_S,
        health_path: Some("/health".into()),
    };
    table.services.insert(SERVICE.clone(), service);
    view.route_table = Some(Arc::new(table));
    for known in view.targets.values_mut() {
        known.cold_until = if cold { END * 2 } else { Duration::ZERO };
    }
    view
}

/// Instances that decide together about their requests: those in touch, or those that are cut off
/// together.
struct Group {
    pool: Pool,
    members: Vec<usize>,
    in_touch: bool,
}

/// Plays a region; returns the most requests that a cold target got within a second, and how many of
/// the requests at instances that are cut off were served before and after the targets became cold.
fn play(instances: usize, groups: Vec<(Vec<usize>, bool)>) -> (usize, [f64; 2]) {
    let names: Vec<String> = (0..instances).map(|i| format!("i{i}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let here: RegionId = "here".into();
    let owned: HashMap<TargetId, Duration> = view(false)
        .targets
        .keys()
        .map(|t| (t.clone(), Duration::ZERO))
        .collect();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut groups: Vec<Group> = groups
        .into_iter()
        .map(|(members, in_touch)| Group {
            pool: Pool::new(Prefill { ms_per_token: 0.0 }),
            members,
            in_touch,
        })
        .collect();
    let mut sent: BTreeMap<TargetId, Vec<Duration>> = BTreeMap::new();
    let mut served = [(0, 0); 2];
    let mut now = COLD_AT - Duration::from_secs(2);
    while now < END {
        now += PERIOD.div_f64(instances as f64);
        let is_cold = now >= COLD_AT;
        let instance = rng.random_range(0..instances);
        let group = groups.iter_mut().find(|g| g.members.contains(&instance));
        let group = group.expect("a group");
        let view = view(is_cold && group.in_touch);
        let members: Vec<&str> = group.members.iter().map(|i| all[*i]).collect();
        let shares = if group.in_touch {
            ColdShares::of_all(members[0])
        } else {
            ColdShares::of_those_that_ask(members[0], members.iter().copied(), all.clone())
        };
        let mut tried = Vec::new();
        let mut was_sent = false;
        loop {
            let query = TargetQuery {
                demand: Demand {
                    tried: &tried,
                    ..Demand::of_service(&SERVICE)
                },
                senders: &shares.senders,
                instances: &shares.instances,
                warmup: SCHEDULED,
                owned_since: Some(&owned),
                limited: LimitedTargets::Scheduled,
                more_urgent: 0.0,
            };
            let choice = group
                .pool
                .choose(now, &view, &here, &query, || rng.random());
            let Some(choice) = choice else {
                break;
            };
            // An instance that is cut off asks a target that it does not know as cold.
            let known_cold = group.pool.is_cold(now, &choice.id, &choice.known);
            if !group.in_touch && !known_cold && is_cold {
                group
                    .pool
                    .record_cold(&choice.id, &choice.known, now + COLD_TIME);
                tried.push(choice.id);
                continue;
            }
            sent.entry(choice.id).or_default().push(now);
            was_sent = true;
            break;
        }
        if !group.in_touch {
            let (ok, total) = &mut served[usize::from(is_cold)];
            *total += 1;
            *ok += u32::from(was_sent);
        }
    }
    let second = Duration::from_secs(1);
    let mut most = 0;
    for times in sent.values() {
        for (i, at) in times.iter().enumerate() {
            if *at >= COLD_AT {
                let within = times[i..].iter().take_while(|t| **t <= *at + second);
                most = most.max(within.count());
            }
        }
    }
    let ratio = |(ok, total): (u32, u32)| f64::from(ok) / f64::from(total.max(1));
    (most, served.map(ratio))
}

/// Guards against instances that are cut off and send targets what these take only while warm.
#[test]
fn cold_targets_get_no_more_than_they_take_from_all_instances_in_touch_or_not() {
    for n in [3, 9, 30] {
        let alone = |from: usize| (from..n).map(|i| (vec![i], false));
        let in_touch = |count: usize| ((0..count).collect::<Vec<_>>(), true);
        let cuts = [
            (
                "one",
                std::iter::once(in_touch(n - 1))
                    .chain(alone(n - 1))
                    .collect::<Vec<_>>(),
            ),
            (
                "a third alone",
                std::iter::once(in_touch(n - n / 3))
                    .chain(alone(n - n / 3))
                    .collect(),
            ),
            (
                "a third together",
                vec![in_touch(n - n / 3), ((n - n / 3..n).collect(), false)],
            ),
            (
                "all but one",
                std::iter::once(in_touch(1)).chain(alone(1)).collect(),
            ),
            ("all together", vec![((0..n).collect(), false)]),
        ];
        for (name, groups) in cuts {
            let (most, [warm, cold]) = play(n, groups);
            println!("{n} {name}: {most} in a second, served {warm:.2} warm, {cold:.2} cold");
            assert!(most as f64 <= BOUND, "{n} {name}: {most} in a second");
            assert!(
                warm > 0.99,
                "{n} {name}: {warm} served while the targets are warm"
            );
        }
    }
}

/// Guards against an instance that is cut off alone and waits for a call to the store to fail.
#[test]
fn an_instance_that_hears_nobody_of_its_region_does_not_trust_its_news() {
    let member = |id: &str, region: &str, health| Member {
        id: id.into(),
        incarnation: 1,
        front: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer: SocketAddr::from(([127, 0, 0, 1], 2)),
        data_centre: region.into(),
        region: region.into(),
        health,
    };
    let hears = |others: &[(&str, &str, Health)]| {
        let mut members = vec![member("own", "here", Health::Live)];
        members.extend(others.iter().map(|(id, region, h)| member(id, region, *h)));
        let targets = Vec::new();
        hears_others(&Fleet { members, targets }, &"own".into(), &"here".into())
    };
    assert!(hears(&[]), "there is nobody to hear");
    assert!(hears(&[("a", "there", Health::Dead)]));
    assert!(!hears(&[
        ("a", "here", Health::Suspect),
        ("b", "there", Health::Live)
    ]));
    assert!(hears(&[
        ("a", "here", Health::Dead),
        ("b", "here", Health::Live)
    ]));
}
