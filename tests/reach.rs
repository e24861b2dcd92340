//! Whether an instance ascribes its failures to targets or to its own links.

use std::time::Duration;

use limpetstand::gateway::reach::{Link, Reach};

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
