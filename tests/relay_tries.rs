//! How many instances a relayed request tries, and what a leaving instance still takes of these.

use std::time::Duration;

use limpetstand::departure::{Departure, LeavingInstances};
use limpetstand::gateway::relay_tries::{NotTaken, RelayTries};
use limpetstand::id::InstanceId;
use limpetstand::member::{Fleet, Health, Member};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of regions of a deployment.
const REGIONS: usize = 3;

/// Seeds of the choices of a sender.
const SEEDS: u64 = 20;

/// Requests that a sender relays while instances leave.
const REQUESTS: usize = 2_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn member(n: usize) -> Member {
    let address = "127.0.0.1:1".parse().expect("an address");
    Member {
        id: InstanceId::from(format!("i{n}").as_str()),
        incarnation: 1,
        front: address,
        peer: address,
        region: "north".into(),
        data_centre: "north-a".into(),
        health: Health::Live,
    }
}

fn fleet(members: usize) -> Fleet {
    Fleet {
        members: (0..members).map(member).collect(),
        targets: Vec::new(),
    }
}

#[test]
fn a_leaving_instance_takes_only_what_ends_before_it_gives_up() {
    let departure = Departure::Leaving {
        known_at: ms(2_500),
        drained_at: ms(7_200),
    };
    assert!(departure.outlasts(ms(0), ms(7_200)));
    assert!(!departure.outlasts(ms(1), ms(7_200)));
    assert!(!departure.outlasts(ms(7_201), ms(0)));
    assert!(Departure::NotLeaving.outlasts(ms(0), ms(86_400_000)));
    assert!(!Departure::GivesUp.outlasts(ms(0), ms(0)));
    assert!(departure.is_leaving() && Departure::GivesUp.is_leaving());
}

#[test]
fn an_instance_that_has_said_that_it_leaves_gets_no_requests_until_it_is_another_process() {
    let mut leaving = LeavingInstances::default();
    let fleet = fleet(2);
    let (left, other) = (&fleet.members[0], &fleet.members[1]);
    leaving.record(&fleet, &left.id, 1);
    assert!(leaving.contains(&left.id, 1));
    assert!(!leaving.contains(&left.id, 2), "it has restarted");
    assert!(!leaving.contains(&other.id, 1));
    let without = Fleet {
        members: vec![other.clone()],
        targets: Vec::new(),
    };
    leaving.record(&without, &other.id, 1);
    assert!(!leaving.contains(&left.id, 1), "it is gone");
}

#[test]
fn cut_off_and_unreachable_instances_bound_the_tries_and_leaving_ones_do_not() {
    let mut tries = RelayTries::default();
    for _ in 0..100 {
        tries.record(NotTaken::Leaving);
    }
    assert!(tries.may_continue());
    let mut unreachable = tries.clone();
    unreachable.record(NotTaken::NotReached);
    assert!(unreachable.may_continue());
    unreachable.record(NotTaken::NotReached);
    assert!(!unreachable.may_continue());
    for _ in 0..3 {
        tries.record(NotTaken::CutOff);
        assert!(tries.may_continue());
    }
    tries.record(NotTaken::CutOff);
    assert!(!tries.may_continue());
}

/// Tries that requests needed.
#[derive(Debug, Default)]
struct Tries {
    most: usize,
    sum: usize,
}

/// Relays requests to a region of which a third leaves, one instance after the other or all at once,
/// by a sender that learns it only from what the instances answer.
fn relay_while_a_third_leaves(instances: usize, in_series: bool, seed: u64) -> Tries {
    let mut rng = SmallRng::seed_from_u64(seed);
    let in_region = instances / REGIONS;
    let leavers = in_region / 3;
    let fleet = fleet(in_region);
    let mut leaving = LeavingInstances::default();
    let mut needed = Tries::default();
    for request in 0..REQUESTS {
        let begun = if in_series {
            leavers * request / REQUESTS + 1
        } else {
            leavers
        };
        let is_leaving = |n: usize| n < begun;
        let mut peers: Vec<(usize, &Member)> = fleet.members.iter().enumerate().collect();
        peers.retain(|(_, m)| !leaving.contains(&m.id, m.incarnation));
        let mut tries = RelayTries::default();
        let mut count = 0;
        loop {
            assert!(
                tries.may_continue() && !peers.is_empty(),
                "refused: {request}"
            );
            let (n, peer) = peers.swap_remove(rng.random_range(0..peers.len()));
            count += 1;
            if !is_leaving(n) {
                break;
            }
            leaving.record(&fleet, &peer.id, peer.incarnation);
            tries.record(NotTaken::Leaving);
        }
        needed.most = needed.most.max(count);
        needed.sum += count;
    }
    needed
}

#[test]
fn no_request_is_refused_while_a_third_of_a_region_leaves() {
    for instances in [9, 62, 300] {
        for in_series in [true, false] {
            let leavers = instances / REGIONS / 3;
            let mut all = Tries::default();
            for seed in 0..SEEDS {
                let tries = relay_while_a_third_leaves(instances, in_series, seed);
                // Each process refuses a sender once.
                assert!(tries.sum <= REQUESTS + leavers, "{tries:?}");
                all.most = all.most.max(tries.most);
                all.sum += tries.sum;
            }
            println!("{instances} instances, in series {in_series}: {all:?}");
            assert!(all.most <= 1 + leavers, "{all:?}");
        }
    }
}

#[test]
fn a_request_reaches_the_only_instance_that_stays() {
    for instances in [9, 62, 300] {
        let fleet = fleet(instances / REGIONS);
        let mut leaving = LeavingInstances::default();
        let mut tries = RelayTries::default();
        let stays = fleet.members.len() - 1;
        for (n, member) in fleet.members.iter().enumerate() {
            assert!(tries.may_continue(), "{n} of {instances}");
            if n < stays {
                leaving.record(&fleet, &member.id, member.incarnation);
                tries.record(NotTaken::Leaving);
            }
        }
        assert!(!leaving.contains(&fleet.members[stays].id, 1));
    }
}
