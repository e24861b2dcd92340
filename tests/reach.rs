//! Whether an instance ascribes its failures to targets or to its own links.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use limpetstand::gateway::reach::{Link, LinkTries, Reach};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_failure_is_the_targets_only_if_another_connection_was_opened_since() {
    let mut reach = Reach::default();
    assert_eq!(reach.link_since(ms(0)), Link::Unknown);
    reach.record_connected(ms(100));
    assert_eq!(reach.link_since(ms(50)), Link::Connected);
    assert_eq!(reach.link_since(ms(100)), Link::Unknown);
}

#[test]
fn an_instance_is_cut_off_until_it_connects() {
    let mut reach = Reach::default();
    reach.record_connected(ms(0));
    assert!(reach.record_cut_off());
    assert!(!reach.record_cut_off(), "only the first time is news");
    assert!(reach.is_cut_off());
    assert_eq!(reach.link_since(ms(0)), Link::CutOff);
    assert!(reach.record_connected(ms(200)));
    assert!(!reach.record_connected(ms(201)));
    assert_eq!(reach.link_since(ms(150)), Link::Connected);
}

#[test]
fn an_instance_that_says_that_it_is_cut_off_is_avoided_for_a_while() {
    let mut reach = Reach::default();
    let other = "i2".into();
    assert!(!reach.avoids(ms(0), &other));
    reach.record_instance_cut_off(ms(0), &other);
    assert!(reach.avoids(ms(2_999), &other));
    assert!(!reach.avoids(ms(3_000), &other));
    assert!(!reach.avoids(ms(1), &"i3".into()));
}

#[test]
fn a_process_at_whose_address_nothing_listens_is_left_out_for_a_while() {
    let mut reach = Reach::default();
    let other = "i2".into();
    reach.record_instance_ended(ms(0), &other, 7);
    assert!(reach.has_ended(ms(2_999), &other, 7));
    assert!(!reach.has_ended(ms(3_000), &other, 7), "the link may heal");
    assert!(!reach.has_ended(ms(1), &other, 8), "it has restarted");
    assert!(!reach.has_ended(ms(1), &"i3".into(), 7));
}

/// Numbers of targets in a region.
const SIZES: [u16; 5] = [1, 3, 9, 62, 300];

fn addresses(size: u16) -> Vec<SocketAddr> {
    let ports = 1..=size;
    let addresses = ports.map(|port| (Ipv4Addr::LOCALHOST, port).into());
    addresses.collect()
}

/// What a target does with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Does {
    Accept,
    Refuse,
    Nothing,
}

/// Plays the tries of an instance; returns whether a target accepts, and how many are tried.
fn play(mut tries: LinkTries, does: impl Fn(SocketAddr) -> Does) -> (bool, usize) {
    let mut tried = HashSet::new();
    loop {
        let batch = tries.next_batch();
        if batch.is_empty() {
            return (false, tried.len());
        }
        for address in batch {
            assert!(tried.insert(address), "{address} twice");
            match does(address) {
                Does::Accept => return (true, tried.len()),
                Does::Refuse => tries.record_refused(),
                Does::Nothing => {}
            }
        }
    }
}

#[test]
fn an_instance_whose_last_target_accepts_is_not_cut_off_however_many_are_silent() {
    for size in SIZES {
        let all = addresses(size);
        for seed in 0..50 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut reach = Reach::default();
            let sound = all[usize::from(size / 2)];
            reach.record_accepted(sound);
            // A target that accepted later has failed since.
            reach.record_accepted(all[0]);
            let tries = reach.link_tries(&all, 0, &mut rng);
            let does = |address| match address == sound {
                true => Does::Accept,
                false => Does::Nothing,
            };
            let (accepted, _) = play(tries, does);
            assert!(accepted, "{size} targets, seed {seed}");
        }
    }
}

#[test]
fn an_instance_with_one_target_that_accepts_is_not_cut_off_however_many_refuse() {
    for size in SIZES {
        let all = addresses(size);
        let sound = all[usize::from(size / 2)];
        for seed in 0..50 {
            let mut rng = StdRng::seed_from_u64(seed);
            let tries = Reach::default().link_tries(&all, 0, &mut rng);
            let does = |address| match address == sound {
                true => Does::Accept,
                false => Does::Refuse,
            };
            let (accepted, _) = play(tries, does);
            assert!(accepted, "{size} targets, seed {seed}");
        }
    }
}

#[test]
fn an_instance_whose_links_are_lost_is_cut_off_whether_they_are_silent_or_refuse() {
    for size in SIZES {
        let all = addresses(size);
        let mut rng = StdRng::seed_from_u64(1);
        let mut reach = Reach::default();
        reach.record_accepted(all[0]);
        let silent = reach.link_tries(&all, 0, &mut rng);
        assert_eq!(play(silent, |_| Does::Nothing), (false, all.len().min(3)));
        let refusing = reach.link_tries(&all, 0, &mut rng);
        assert_eq!(play(refusing, |_| Does::Refuse), (false, all.len()));
    }
}

#[test]
fn an_instance_that_is_cut_off_tries_more_targets_each_time() {
    for size in SIZES {
        let all = addresses(size);
        let mut rng = StdRng::seed_from_u64(1);
        let mut reach = Reach::default();
        // Not one of the region any more.
        reach.record_accepted((Ipv4Addr::LOCALHOST, 400).into());
        reach.record_accepted(all[0]);
        for (round, expected) in [(0, 3), (1, 6), (2, 12), (3, 12), (u32::MAX, 12)] {
            let tried = reach.link_tries(&all, round, &mut rng).next_batch();
            assert_eq!(tried.len(), all.len().min(expected), "{size} targets");
            let distinct: HashSet<_> = tried.iter().collect();
            assert_eq!(distinct.len(), tried.len());
            assert!(tried.iter().all(|address| all.contains(address)));
        }
    }
}
