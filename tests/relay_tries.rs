//! Which instances a relayed request tries, and what a leaving instance still takes of these.

use std::collections::HashSet;
use std::time::Duration;

use limpetstand::departure::{Departure, LeavingInstances};
use limpetstand::gateway::reach::Reach;
use limpetstand::gateway::relay_tries::{NotTaken, PeerFilter, PeerMemory, RelayTries};
use limpetstand::id::{InstanceId, RegionId};
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::platform::{ListedInstance, Listing, ServiceState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of regions of a deployment.
const REGIONS: usize = 3;

/// Seeds of the choices of a sender.
const SEEDS: u64 = 20;

/// Requests that a sender relays while instances leave.
const REQUESTS: usize = 2_000;

/// Requests of a sender that are under way at the same time.
const AT_ONCE: usize = 50;

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

/// An instance that relays requests to a region, and what it knows of the instances there.
struct Sender {
    id: InstanceId,
    region: RegionId,
    fleet: Fleet,
    reach: Reach,
    leaving: LeavingInstances,
    now: Duration,
    rng: SmallRng,
}

impl Sender {
    /// Creates a sender to the region of a deployment.
    fn new(instances: usize, seed: u64) -> Self {
        Self {
            id: "sender".into(),
            region: "north".into(),
            fleet: fleet(instances / REGIONS),
            reach: Reach::default(),
            leaving: LeavingInstances::default(),
            now: ms(0),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chooses the instance that a request tries next; returns its number.
    fn choose(&mut self, tries: &mut RelayTries<'_>) -> Option<usize> {
        let filter = PeerFilter {
            own: &self.id,
            now: self.now,
            reach: &self.reach,
            leaving: &self.leaving,
        };
        let chosen = tries.choose_next(&filter, &mut self.rng)?;
        self.fleet.members.iter().position(|m| m.id == chosen.id)
    }

    /// Learns why an instance did not take a request.
    fn record(&mut self, n: usize, why: NotTaken) {
        let mut memory = PeerMemory {
            now: self.now,
            fleet: &self.fleet,
            reach: &mut self.reach,
            leaving: &mut self.leaving,
        };
        memory.record(&self.fleet.members[n], why);
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
    let mut sender = Sender::new(300, 0);
    let (fleet, region) = (sender.fleet.clone(), sender.region.clone());
    let mut tries = RelayTries::new(&fleet, &region);
    for _ in 0..fleet.members.len() / 2 {
        assert!(sender.choose(&mut tries).is_some());
        tries.record(NotTaken::Leaving);
    }
    let mut unreachable = tries.clone();
    for _ in 0..2 {
        assert!(sender.choose(&mut unreachable).is_some());
        unreachable.record(NotTaken::NotReached);
    }
    assert_eq!(sender.choose(&mut unreachable), None);
    for _ in 0..4 {
        assert!(sender.choose(&mut tries).is_some());
        tries.record(NotTaken::CutOff);
    }
    assert_eq!(sender.choose(&mut tries), None);
}

#[test]
fn an_instance_relays_to_live_others_of_the_region_that_are_not_left_out() {
    let mut sender = Sender::new(9 * REGIONS, 0);
    sender.fleet.members[0].region = "south".into();
    sender.fleet.members[1].health = Health::Suspect;
    sender.id = sender.fleet.members[2].id.clone();
    sender.record(3, NotTaken::CutOff);
    sender.record(4, NotTaken::Leaving);
    let (fleet, region) = (sender.fleet.clone(), sender.region.clone());
    let mut tries = RelayTries::new(&fleet, &region);
    let mut chosen: Vec<usize> = std::iter::from_fn(|| sender.choose(&mut tries)).collect();
    chosen.sort_unstable();
    assert_eq!(chosen, [5, 6, 7, 8]);
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
    let mut sender = Sender::new(instances, seed);
    let (fleet, region) = (sender.fleet.clone(), sender.region.clone());
    let leavers = fleet.members.len() / 3;
    let mut needed = Tries::default();
    for request in 0..REQUESTS {
        let begun = if in_series {
            leavers * request / REQUESTS + 1
        } else {
            leavers
        };
        let mut tries = RelayTries::new(&fleet, &region);
        let mut count = 0;
        loop {
            let chosen = sender.choose(&mut tries);
            let n = chosen.unwrap_or_else(|| panic!("refused: {request}"));
            count += 1;
            if n >= begun {
                break;
            }
            sender.record(n, NotTaken::Leaving);
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

/// Relays requests to a region of which some instances have ended and are still listed as live;
/// returns the tries that the requests needed, and how many were refused.
fn relay_beside_ended(instances: usize, ended: usize, seed: u64) -> (Tries, usize) {
    let mut sender = Sender::new(instances, seed);
    let (fleet, region) = (sender.fleet.clone(), sender.region.clone());
    let (mut needed, mut refused) = (Tries::default(), 0);
    for _ in 0..REQUESTS {
        let mut tries = RelayTries::new(&fleet, &region);
        let mut count = 0;
        loop {
            let Some(n) = sender.choose(&mut tries) else {
                refused += 1;
                break;
            };
            count += 1;
            if n >= ended {
                break;
            }
            sender.record(n, NotTaken::Ended);
            tries.record(NotTaken::Ended);
        }
        needed.most = needed.most.max(count);
        needed.sum += count;
    }
    (needed, refused)
}

#[test]
fn no_request_is_refused_while_a_third_of_a_region_has_ended_and_is_listed() {
    for instances in [9, 62, 300] {
        let in_region = instances / REGIONS;
        for seed in 0..SEEDS {
            let (tries, refused) = relay_beside_ended(instances, in_region / 3, seed);
            assert_eq!(refused, 0, "{instances} instances, seed {seed}: {tries:?}");
            // Each ended process fails one request of a sender.
            assert!(tries.sum <= REQUESTS + in_region / 3, "{tries:?}");
            // A region that is lost as a whole costs a request a bounded number of round trips.
            let (tries, _) = relay_beside_ended(instances, in_region, seed);
            assert!(tries.most <= 16, "{instances} instances: {tries:?}");
        }
    }
}

#[test]
fn a_request_does_not_try_an_instance_of_which_another_learnt_that_it_leaves() {
    for instances in [9, 62, 300] {
        let mut again = 0;
        for seed in 0..SEEDS {
            let mut sender = Sender::new(instances, seed);
            let (fleet, region) = (sender.fleet.clone(), sender.region.clone());
            let leavers = fleet.members.len() / 3;
            let mut waiting = vec![RelayTries::new(&fleet, &region); AT_ONCE];
            let mut known = HashSet::new();
            while !waiting.is_empty() {
                let mut refused = Vec::new();
                for mut tries in waiting {
                    let n = sender.choose(&mut tries).expect("some stay");
                    again += usize::from(known.contains(&n));
                    if n < leavers {
                        refused.push((n, tries));
                    }
                }
                waiting = Vec::new();
                for (n, mut tries) in refused {
                    known.insert(n);
                    sender.record(n, NotTaken::Leaving);
                    tries.record(NotTaken::Leaving);
                    waiting.push(tries);
                }
            }
        }
        assert_eq!(again, 0, "{instances} instances: tries of known leavers");
    }
}

#[test]
fn a_request_reaches_the_only_instance_that_stays() {
    for instances in [9, 62, 300] {
        let mut sender = Sender::new(instances, 0);
        let (fleet, region) = (sender.fleet.clone(), sender.region.clone());
        let mut tries = RelayTries::new(&fleet, &region);
        let stays = fleet.members.len() - 1;
        // Each instance is reached, also the last one after all others have refused.
        let mut tried = HashSet::new();
        while let Some(n) = sender.choose(&mut tries) {
            tried.insert(n);
            tries.record(NotTaken::Leaving);
            if n != stays {
                sender.record(n, NotTaken::Leaving);
            }
        }
        assert_eq!(tried.len(), fleet.members.len(), "{instances}");
        let mut next = RelayTries::new(&fleet, &region);
        assert_eq!(sender.choose(&mut next), Some(stays), "{instances}");
    }
}

#[test]
fn a_restarted_instance_that_is_known_from_the_list_only_gets_requests_again() {
    for instances in [9, 62, 300] {
        let mut sender = Sender::new(instances, 0);
        let address = "127.0.0.1:1".parse().expect("an address");
        let listed = |id: &InstanceId| ListedInstance {
            id: id.clone(),
            front: address,
            peer: address,
            region: "north".into(),
            data_centre: "north-a".into(),
            state: ServiceState::Live,
        };
        let ids: Vec<InstanceId> = sender.fleet.members.iter().map(|m| m.id.clone()).collect();
        sender.fleet = Fleet::from(Listing {
            instances: ids.iter().map(listed).collect(),
            targets: Vec::new(),
        });
        let (fleet, region) = (sender.fleet.clone(), sender.region.clone());
        // All have said that they leave, and each restarts.
        for n in 0..ids.len() {
            sender.record(n, NotTaken::Leaving);
        }
        let mut tries = RelayTries::new(&fleet, &region);
        assert_eq!(sender.choose(&mut tries), None, "none is asked twice");
        // The grace that the site gives a stopping process.
        sender.now = ms(8_000);
        let mut tries = RelayTries::new(&fleet, &region);
        let asked = std::iter::from_fn(|| sender.choose(&mut tries)).count();
        assert_eq!(asked, ids.len(), "{instances} instances");
    }
}
