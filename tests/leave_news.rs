//! Membership: when the other instances hear that an instance leaves, while many restart in series.
#![allow(clippy::unwrap_used, reason = "a test ends where its helpers do")]

#[path = "member/net.rs"]
#[allow(dead_code, reason = "the scenarios use the rest")]
mod net;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use limpetstand::member::status::{Announcement, Delta, Heartbeat, Liveness, Status};
use limpetstand::member::view::HEARTBEAT_PERIOD;
use limpetstand::member::wire::Request;
use limpetstand::member::{self, Health, Member, Membership};
use limpetstand::peer::encode;
use limpetstand::platform::{InstanceList, Listing, PlatformError, ServiceState};
use net::{Net, incarnation};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const SEED: u64 = 52;
const REGIONS: [&str; 3] = ["erie", "huron", "michigan"];

/// Time in which the instances find each other.
const WARM_UP: Duration = Duration::from_secs(10);

const GRACE: Duration = Duration::from_secs(8);
const RESTART_TIME: Duration = Duration::from_millis(700);
const SECOND_STOP_AFTER: Duration = Duration::from_secs(10);
const MAX_STOPS: usize = 24;

/// Time after which a leaving instance closes its listeners.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);

/// One in this many instances may hear later than that.
const LATE_ONE_IN: usize = 100;

const STEP: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
enum Step {
    Stop,
    End,
    Start,
}

/// A leave of one instance, and who has still to hear of it.
struct Leave {
    name: String,
    incarnation: u64,
    at: Duration,
    unaware: BTreeSet<String>,
}

/// The times after which instances of the own region and of others heard of a leave; [`GRACE`] for
/// those that had not heard when the leaving one ended.
#[derive(Default)]
struct Heard {
    own_region: Vec<Duration>,
    other_regions: Vec<Duration>,
}

#[test]
fn nearly_all_instances_hear_of_a_leave_before_the_listeners_close_at_9() {
    nearly_all_hear_in_time(9);
}

#[test]
fn nearly_all_instances_hear_of_a_leave_before_the_listeners_close_at_62() {
    nearly_all_hear_in_time(62);
}

#[test]
fn nearly_all_instances_hear_of_a_leave_before_the_listeners_close_at_85() {
    nearly_all_hear_in_time(85);
}

#[test]
fn nearly_all_instances_hear_of_a_leave_before_the_listeners_close_at_300() {
    nearly_all_hear_in_time(300);
}

fn nearly_all_hear_in_time(size: usize) {
    let mut net = fleet(size);
    net.advance(WARM_UP);
    let heard = play(&mut net, size);
    for (whose, times) in [("own", heard.own_region), ("other", heard.other_regions)] {
        let late = times.iter().filter(|t| **t > LEAVE_NOTICE).count();
        assert!(
            times.iter().all(|t| *t < GRACE),
            "{size} instances, {whose} region: some hear nothing before the instance has ended"
        );
        assert!(
            late * LATE_ONE_IN <= times.len(),
            "{size} instances, {whose} region: {late} of {} hear after {LEAVE_NOTICE:?}",
            times.len()
        );
    }
}

fn fleet(size: usize) -> Net {
    let mut net = Net::of(SEED);
    for n in 0..size {
        let name = format!("{}{n}", REGIONS[n % REGIONS.len()]);
        net.list(&name, ServiceState::Live);
        net.start(&name);
    }
    net
}

/// Restarts instances one soon after the other, and a third of them twice.
fn play(net: &mut Net, size: usize) -> Heard {
    let mut steps = schedule(net, size);
    let began = net.now;
    let (bytes, messages) = (net.sent_bytes, net.sent_messages);
    let mut leaves: Vec<Leave> = Vec::new();
    let mut heard = Heard::default();
    while steps.iter().any(|(.., step)| matches!(step, Step::Stop)) || !leaves.is_empty() {
        while steps.first().is_some_and(|(at, ..)| *at <= net.now) {
            let (_, name, step) = steps.remove(0);
            match step {
                Step::Stop => leaves.push(stop(net, &name)),
                Step::End => net.crash(&name),
                Step::Start => {
                    net.list(&name, ServiceState::Live);
                    net.start(&name);
                }
            }
        }
        net.advance(STEP);
        leaves.retain_mut(|leave| !follow(net, leave, &mut heard));
    }
    let per = size as f64 * (net.now - began).as_secs_f64();
    println!(
        "{size} instances: {:.0} bytes/s, {:.2} messages/s; own region {}; others {}",
        (net.sent_bytes - bytes) as f64 / per,
        (net.sent_messages - messages) as f64 / per,
        describe(&mut heard.own_region),
        describe(&mut heard.other_regions)
    );
    heard
}

fn schedule(net: &Net, size: usize) -> Vec<(Duration, String, Step)> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut names: Vec<String> = net.running().map(|(name, _)| name.clone()).collect();
    names.shuffle(&mut rng);
    names.truncate(MAX_STOPS.min(size * 2 / 3));
    let mut at = net.now;
    let mut steps = Vec::new();
    for (n, name) in names.into_iter().enumerate() {
        at += Duration::from_millis(rng.random_range(300..=800));
        let mut stops = vec![at];
        if n % 3 == 0 {
            stops.push(at + SECOND_STOP_AFTER);
        }
        for stop in stops {
            steps.push((stop, name.clone(), Step::Stop));
            steps.push((stop + GRACE, name.clone(), Step::End));
            steps.push((stop + GRACE + RESTART_TIME, name.clone(), Step::Start));
        }
    }
    steps.sort_by_key(|(at, ..)| *at);
    steps
}

fn stop(net: &mut Net, name: &str) -> Leave {
    let mut unaware: BTreeSet<String> = net.running().map(|(name, _)| name.clone()).collect();
    unaware.remove(name);
    net.unlist(name);
    net.leave(name);
    Leave {
        name: name.to_owned(),
        incarnation: incarnation(&net.nodes[name].view),
        at: net.now,
        unaware,
    }
}

/// Records who has heard of a leave by now; returns whether nobody is left to hear of it.
fn follow(net: &Net, leave: &mut Leave, heard: &mut Heard) -> bool {
    let elapsed = net.now - leave.at;
    let mut unaware = std::mem::take(&mut leave.unaware);
    unaware.retain(|name| {
        let node = &net.nodes[name];
        if !node.running || node.started_at > leave.at {
            // It ended before it heard.
            return false;
        }
        if elapsed < GRACE && !has_heard(net, name, leave) {
            return true;
        }
        let times = if net::region(name) == net::region(&leave.name) {
            &mut heard.own_region
        } else {
            &mut heard.other_regions
        };
        times.push(elapsed);
        false
    });
    leave.unaware = unaware;
    leave.unaware.is_empty()
}

/// Returns whether an instance no longer sends requests to the leaving one.
fn has_heard(net: &Net, name: &str, leave: &Leave) -> bool {
    let table = net.nodes[name].view.table();
    let row = table.find(&leave.name.as_str().into());
    row.and_then(|key| table.row(key)).is_none_or(|row| {
        row.health() != Health::Live || row.status.announcement.incarnation > leave.incarnation
    })
}

fn describe(times: &mut [Duration]) -> String {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64();
    let late = times.iter().filter(|t| **t > LEAVE_NOTICE).count();
    format!(
        "{:.2} s in the middle, {:.2} s in nine of ten, {:.2} s at the latest, {late} of {} late",
        at(0.5),
        at(0.9),
        at(1.0),
        times.len()
    )
}

/// A list that cannot be read.
struct NoList;

#[async_trait]
impl InstanceList for NoList {
    async fn read(&self) -> Result<Listing, PlatformError> {
        Err(PlatformError("no list".to_owned()))
    }
}

fn member(name: &str) -> Member {
    let card = net::card(name);
    Member {
        id: name.into(),
        incarnation: 1,
        front: card.front,
        peer: card.peer,
        region: card.region,
        data_centre: card.data_centre,
        health: Health::Live,
    }
}

/// Has `to` hear from the instance `name` itself whether it leaves.
async fn tell(to: &Membership, name: &str, leaving: bool) {
    let announcement = Announcement {
        incarnation: 1,
        refutation: u32::from(leaving),
        leaving,
    };
    let heartbeat = Heartbeat {
        from: Delta {
            id: name.into(),
            status: Status {
                announcement,
                liveness: Liveness::Up,
            },
            card: Some(net::card(name)),
        },
        digest: 0,
        list_age: None,
        contacts: Vec::new(),
        deltas: Vec::new(),
        drains: Vec::new(),
    };
    let request = Request::Beat(Box::new((&heartbeat).into()));
    let body = encode(&request).unwrap();
    to.handler().answer(body).await.unwrap();
}

fn health(of: &Membership, name: &str) -> Option<Health> {
    let fleet = of.fleet().borrow().clone();
    let found = fleet.members.iter().find(|m| m.id.as_str() == name);
    found.map(|m| m.health)
}

/// Requests were relayed to a leaving instance until the tick that published the fleet.
#[tokio::test(start_paused = true)]
async fn a_leave_that_is_heard_does_not_wait_for_a_tick() {
    let hearer = member::builder(member("erie1"), Arc::new(NoList)).start();
    tell(&hearer, "erie2", false).await;
    tokio::time::sleep(2 * HEARTBEAT_PERIOD).await;
    assert_eq!(health(&hearer, "erie2"), Some(Health::Live));
    tell(&hearer, "erie2", true).await;
    assert_eq!(health(&hearer, "erie2"), Some(Health::Leaving));
}
