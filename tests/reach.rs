//! Whether an instance ascribes its failures to targets or to its own links.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use limpetstand::gateway::reach::{Link, Probe, Reach};
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

#[test]
fn a_refused_connection_shows_that_the_links_work() {
    assert!(Probe::Accepted.shows_link());
    assert!(Probe::Refused.shows_link());
    assert!(!Probe::Unknown.shows_link());
}

/// Numbers of targets in a region.
const SIZES: [u16; 5] = [1, 3, 9, 62, 300];

fn addresses(size: u16) -> Vec<SocketAddr> {
    let ports = 1..=size;
    let addresses = ports.map(|port| (Ipv4Addr::LOCALHOST, port).into());
    addresses.collect()
}

#[test]
fn an_instance_whose_last_target_answers_is_not_cut_off_however_many_are_silent() {
    for size in SIZES {
        let all = addresses(size);
        for seed in 0..50 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut reach = Reach::default();
            let sound = all[usize::from(size / 2)];
            reach.record_answer_of(sound);
            // A target that answered later has failed since.
            reach.record_answer_of(all[0]);
            let tried = reach.addresses_to_try(&all, 0, &mut rng);
            let is_answered = tried.iter().any(|address| {
                let probe = if *address == sound {
                    Probe::Accepted
                } else {
                    Probe::Unknown
                };
                probe.shows_link()
            });
            assert!(is_answered, "{size} targets, seed {seed}: {tried:?}");
        }
    }
}

#[test]
fn an_instance_that_is_cut_off_tries_more_targets_each_time() {
    for size in SIZES {
        let all = addresses(size);
        let mut rng = StdRng::seed_from_u64(1);
        let mut reach = Reach::default();
        // Not one of the region any more.
        reach.record_answer_of((Ipv4Addr::LOCALHOST, 400).into());
        reach.record_answer_of(all[0]);
        for (round, expected) in [(0, 3), (1, 6), (2, 12), (3, 12), (u32::MAX, 12)] {
            let tried = reach.addresses_to_try(&all, round, &mut rng);
            assert_eq!(tried.len(), all.len().min(expected), "{size} targets");
            let distinct: HashSet<_> = tried.iter().collect();
            assert_eq!(distinct.len(), tried.len());
            assert!(tried.iter().all(|address| all.contains(address)));
        }
    }
}
