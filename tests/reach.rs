//! Whether an instance ascribes its failures to targets or to its own links.

use std::time::Duration;

use limpetstand::gateway::reach::{Link, Probe, Reach};

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
fn a_refused_connection_shows_that_the_links_work() {
    assert!(Probe::Accepted.shows_link());
    assert!(Probe::Refused.shows_link());
    assert!(!Probe::Unknown.shows_link());
}
