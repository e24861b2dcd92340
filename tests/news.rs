//! How news from the store reaches the instances: mirrors, the choice of listeners, and whole fleets
//! in virtual time.

#[path = "common/follower_fleet.rs"]
mod follower_fleet;
#[path = "common/local_peers.rs"]
mod local_peers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use limpetstand::gateway::listeners::{LISTENERS, Listeners};
use limpetstand::gateway::mirror::{HistoryLost, Mirror};
use limpetstand::id::InstanceId;
use limpetstand::store::{Entry, StoreRevision, WatchEvent};
use proptest::prelude::*;
use tokio::time::sleep;

use follower_fleet::{TestFleet, TestInstance};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn entry(key: &str, mod_revision: impl Into<StoreRevision>) -> Entry {
    let mod_revision = mod_revision.into();
    Entry {
        key: key.to_owned(),
        value: Bytes::from(format!("{key} at {mod_revision:?}")),
        mod_revision,
    }
}

fn keys(mirror: &Mirror, universe: &[String]) -> Vec<Entry> {
    let entries = universe.iter().filter_map(|key| mirror.entry(key));
    entries.cloned().collect()
}

#[test]
fn a_mirror_sends_only_what_has_changed() {
    let mut listener = Mirror::new("k/");
    listener.load(vec![entry("k/a", 1), entry("k/b", 2)], 5.into());
    let mut follower = Mirror::new("k/");
    let first = listener.changes_since(None).expect("a snapshot");
    assert!(first.is_snapshot);
    assert_eq!(follower.merge(first), ["k/a", "k/b"]);
    assert_eq!(listener.changes_since(Some(follower.revision())), None);
    let events = vec![
        WatchEvent::Put(entry("k/c", 7)),
        WatchEvent::Delete("k/a".to_owned(), 8.into()),
    ];
    assert_eq!(
        listener.apply(events, 9.into()),
        Ok(vec!["k/c".into(), "k/a".into()])
    );
    let next = listener.changes_since(Some(5.into())).expect("changes");
    assert!(!next.is_snapshot);
    assert_eq!(next.entries.len() + next.deleted.len(), 2);
    follower.merge(next);
    assert_eq!(follower.entry("k/a"), None);
    assert_eq!(follower.entry("k/c"), listener.entry("k/c"));
}

#[test]
fn a_reload_after_a_lost_history_tells_followers_what_was_deleted() {
    let mut listener = Mirror::new("k/");
    listener.load(vec![entry("k/a", 1), entry("k/b", 2)], 5.into());
    assert_eq!(
        listener.apply(vec![WatchEvent::Gap], 6.into()),
        Err(HistoryLost)
    );
    assert_eq!(listener.load(vec![entry("k/b", 2)], 9.into()), ["k/a"]);
    let changes = listener.changes_since(Some(5.into())).expect("changes");
    assert!(!changes.is_snapshot);
    assert_eq!(changes.deleted, [("k/a".to_owned(), 9.into())]);
    // An older list reverts nothing.
    assert!(listener.load(vec![entry("k/a", 1)], 4.into()).is_empty());
    assert_eq!(listener.entry("k/a"), None);
}

/// A step of the test of chained mirrors.
#[derive(Debug, Clone)]
enum Step {
    Write(usize),
    Delete(usize),
    /// The listener with this index reads the store's events.
    Watch(usize),
    /// The listener with this index lists the store.
    List(usize),
    /// The follower polls the listener with this index.
    Poll(usize),
    /// A copy is made of the store.
    Copy,
    /// The store comes back from the copy.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6_usize).prop_map(Step::Write),
        2 => (0..6_usize).prop_map(Step::Delete),
        2 => (0..2_usize).prop_map(Step::Watch),
        1 => (0..2_usize).prop_map(Step::List),
        3 => (0..2_usize).prop_map(Step::Poll),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ]
}

proptest! {
    /// A follower of two listeners that lag differently ends with the store's entries, and its
    /// entries never become older, also if the store comes back from older copies.
    #[test]
    fn mirrors_converge_and_never_revert(steps in prop::collection::vec(step(), 1..80)) {
        let universe: Vec<String> = (0..6).map(|n| format!("k/{n}")).collect();
        let mut store = ModelStore::default();
        let mut copy = store.clone();
        let mut listeners = [Mirror::new("k/"), Mirror::new("k/")];
        let mut follower = Mirror::new("k/");
        let mut seen: BTreeMap<String, StoreRevision> = BTreeMap::new();
        for listener in &mut listeners {
            listener.load(Vec::new(), StoreRevision::default());
        }
        let poll = |follower: &mut Mirror, listener: &Mirror| {
            let known = follower.is_loaded().then_some(follower.revision());
            if let Some(changes) = listener.changes_since(known) {
                follower.merge(changes);
            }
        };
        for step in steps {
            match step {
                Step::Write(n) => store.write(&universe[n]),
                Step::Delete(n) => store.delete(&universe[n]),
                Step::Watch(n) => store.watch(&mut listeners[n]),
                Step::List(n) => store.list(&mut listeners[n]),
                Step::Poll(n) => poll(&mut follower, &listeners[n]),
                Step::Copy => copy = store.clone(),
                Step::Restore => store.restore(copy.clone()),
            }
            for found in keys(&follower, &universe) {
                let before = seen.insert(found.key.clone(), found.mod_revision);
                prop_assert!(before <= Some(found.mod_revision), "{found:?} reverts {before:?}");
            }
        }
        for n in [1, 0, 1] {
            store.watch(&mut listeners[n]);
            poll(&mut follower, &listeners[n]);
        }
        let expected: Vec<Entry> = store.entries.into_values().collect();
        prop_assert_eq!(keys(&follower, &universe), expected);
    }
}

/// A store with its whole history, which can come back from a copy.
#[derive(Debug, Clone, Default)]
struct ModelStore {
    revision: StoreRevision,
    entries: BTreeMap<String, Entry>,
    history: Vec<(StoreRevision, WatchEvent)>,
}

impl ModelStore {
    fn write(&mut self, key: &str) {
        self.revision.number += 1;
        let written = entry(key, self.revision);
        self.entries.insert(key.to_owned(), written.clone());
        self.history.push((self.revision, WatchEvent::Put(written)));
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision.number += 1;
            let deleted = WatchEvent::Delete(key.to_owned(), self.revision);
            self.history.push((self.revision, deleted));
        }
    }

    fn list(&self, mirror: &mut Mirror) {
        mirror.load(self.entries.values().cloned().collect(), self.revision);
    }

    fn watch(&self, mirror: &mut Mirror) {
        let since = mirror.revision();
        if since.era != self.revision.era {
            return self.list(mirror);
        }
        let events = self.history.iter().filter(|(at, _)| *at > since);
        let events = events.map(|(_, e)| e.clone()).collect();
        mirror
            .apply(events, self.revision)
            .expect("the whole history");
    }

    fn restore(&mut self, copy: Self) {
        let era = self.revision.era + 1;
        *self = copy;
        self.revision.era = era;
        self.history.clear();
        for entry in self.entries.values_mut() {
            entry.mod_revision.era = era;
        }
    }
}

fn names(n: usize) -> Vec<InstanceId> {
    (0..n).map(|i| format!("i{i}").into()).collect()
}

#[test]
fn two_instances_of_a_region_listen_and_the_others_poll_both() {
    let live = names(50);
    let mut listeners = BTreeSet::new();
    let mut polled = BTreeSet::new();
    for own in &live {
        let plan = Listeners::default().plan(ms(0), "a", own, &live, true);
        if plan.listens {
            listeners.insert(own.clone());
            assert!(plan.sources.is_empty());
        } else {
            assert_eq!(plan.sources.len(), LISTENERS);
            polled.extend(plan.sources);
        }
    }
    assert_eq!(listeners.len(), LISTENERS);
    assert_eq!(listeners, polled);
}

#[test]
fn a_failed_listener_is_replaced_and_tried_again_later() {
    let live = names(10);
    let own = live.iter().find(|id| {
        let plan = Listeners::default().plan(ms(0), "a", id, &live, true);
        !plan.listens
    });
    let own = own.expect("a follower");
    let mut experience = Listeners::default();
    let before = experience.plan(ms(0), "a", own, &live, true).sources;
    let pause = experience.record_failure(ms(0), &before[0]);
    assert!(pause > Duration::ZERO);
    let after = experience.plan(ms(100), "a", own, &live, true).sources;
    assert_eq!(after[0], before[1]);
    assert!(!after.contains(&before[0]));
    let later = experience.plan(ms(1_600), "a", own, &live, true).sources;
    assert_eq!(later, before);
    // A second failure in a row keeps it out for longer.
    experience.record_failure(ms(1_600), &before[0]);
    let out = experience.plan(ms(4_000), "a", own, &live, true).sources;
    assert!(!out.contains(&before[0]));
    assert!(experience.record_success(&before[0]));
    assert!(!experience.record_success(&before[0]));
}

#[test]
fn an_instance_that_reaches_no_other_listens_itself() {
    let live = names(4);
    for own in &live {
        let mut experience = Listeners::default();
        for other in live.iter().filter(|id| *id != own) {
            experience.record_failure(ms(0), other);
        }
        assert!(experience.plan(ms(10), "a", own, &live, true).listens);
    }
}

#[test]
fn a_polled_instance_listens_until_nobody_polls_it() {
    let live = names(10);
    for own in &live {
        let mut experience = Listeners::default();
        let listened = experience.plan(ms(0), "a", own, &live, true).listens;
        experience.record_polled(ms(0));
        assert!(experience.plan(ms(3_900), "a", own, &live, true).listens);
        let later = experience.plan(ms(4_100), "a", own, &live, true).listens;
        assert_eq!(later, listened);
    }
}

#[test]
fn a_listener_whose_calls_fail_polls_others() {
    let live = names(10);
    for own in &live {
        let plan = Listeners::default().plan(ms(0), "a", own, &live, false);
        assert_eq!(plan.sources.len(), LISTENERS);
        assert!(!plan.sources.contains(own));
    }
}

/// The time within which a drained target must get no more requests; the smallest of the bounds
/// that the platform states.
const DRAIN_BOUND: Duration = Duration::from_millis(4_000);

/// Fleets of 9 to 1,000 instances: the store is asked as often as there are regions, and the
/// news is as fresh, however many instances there are.
#[tokio::test(start_paused = true)]
async fn store_calls_grow_with_regions_and_not_with_instances() {
    for (count, data_centres) in [(9, 3), (30, 6), (100, 6), (300, 6), (1_000, 6)] {
        let fleet = TestFleet::start(count, data_centres).await;
        let listeners = (data_centres * LISTENERS) as u64;
        let before = fleet.calls();
        sleep(ms(10_000)).await;
        let at_rest = fleet.calls() - before;
        // Three prefixes, a call of 2.5 s each.
        assert!(
            at_rest <= listeners * 3 * 5,
            "{count}: {at_rest} calls at rest"
        );
        let before = fleet.calls();
        for n in 0..100 {
            fleet.store.put(&format!("servers/t{}", n % 20), "ready");
            sleep(ms(100)).await;
        }
        let changing = fleet.calls() - before;
        // At most four calls a second for the prefix that changes.
        assert!(
            changing <= listeners * (40 + 2 * 5),
            "{count}: {changing} calls while the registry changes"
        );
        let age = fleet.time_to_all("t3", &fleet.all()).await;
        assert!(age < ms(500), "{count}: known everywhere after {age:?}");
        println!("{count} instances: {at_rest} calls at rest, {changing} changing, {age:?} to all");
    }
}

/// Guards against a watch call for each change, and against a change that waits for more than one.
#[tokio::test(start_paused = true)]
async fn changes_in_quick_succession_are_heard_together_after_up_to_one_watch_period() {
    let fleet = TestFleet::start(1, 1).await;
    let all = fleet.all();
    let first = fleet.time_to_all("t1", &all).await;
    let second = fleet.time_to_all("t2", &all).await;
    assert!(first.max(second) < ms(50), "{first:?}, {second:?}");
    fleet.store.put("servers/t3", "leaving");
    sleep(ms(100)).await;
    assert!(!all[0].knows_leaving("t3"));
    let fourth = fleet.time_to_all("t4", &all).await;
    assert!(all[0].knows_leaving("t3"));
    // A watch period, a call and a step of the measurement after the third change.
    let third = ms(100) + fourth;
    assert!(third > ms(250) && third <= ms(300 + 4 + 20), "{third:?}");
    println!("known after {first:?}, {second:?} and {third:?}");
}

#[tokio::test(start_paused = true)]
async fn news_arrives_in_time_while_both_listeners_are_gone_or_cut_off() {
    let fleet = TestFleet::start(60, 3).await;
    let lost = fleet.listeners("a1");
    assert_eq!(lost.len(), LISTENERS);
    // Killed, while the membership has not noticed yet.
    for listener in &lost {
        fleet.links.stop(listener.address);
        listener.connection.cut.store(true, Ordering::Relaxed);
    }
    let age = fleet.time_to_all("t1", &fleet.all_but(&lost)).await;
    assert!(age < DRAIN_BOUND, "after a kill: {age:?}");
    // Cut off from the store only.
    let cut = fleet.listeners("a2");
    for listener in &cut {
        listener.connection.cut.store(true, Ordering::Relaxed);
    }
    let age = fleet.time_to_all("t2", &fleet.all_but(&lost)).await;
    assert!(age < DRAIN_BOUND, "after a cut from the store: {age:?}");
    // Frozen: they take requests and do not answer.
    let frozen = fleet.listeners("a0");
    for follower in &fleet.instances {
        for listener in &frozen {
            fleet
                .links
                .set_cut(follower.address, listener.address, true);
        }
    }
    let mut left_out = lost.clone();
    left_out.extend(frozen);
    let age = fleet.time_to_all("t3", &fleet.all_but(&left_out)).await;
    assert!(age < DRAIN_BOUND, "while the listeners are frozen: {age:?}");
    assert!(fleet.fleet_tx.receiver_count() > 0);
}

/// During an outage of the store the instances must not all turn to it.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_does_not_turn_all_instances_into_listeners() {
    let fleet = TestFleet::start(300, 6).await;
    let set_cut = |cut| {
        for instance in &fleet.instances {
            instance.connection.cut.store(cut, Ordering::Relaxed);
        }
    };
    set_cut(true);
    let before = fleet.calls();
    sleep(ms(10_000)).await;
    let calls = fleet.calls() - before;
    assert!(calls < 300 * 3, "{calls} calls in an outage of 10 s");
    set_cut(false);
    let age = fleet.time_to_all("t5", &fleet.all()).await;
    assert!(age < DRAIN_BOUND, "after the outage: {age:?}");
    sleep(ms(10_000)).await;
    let before = fleet.calls();
    sleep(ms(10_000)).await;
    let at_rest = fleet.calls() - before;
    assert!(
        at_rest <= 12 * 3 * 5,
        "{at_rest} calls at rest after the outage"
    );
}

/// After the store has come back from a copy that lacks a drain and an evacuation, no instance takes
/// either back, and the fleet hears changes of the new era in time. The writers write again what the
/// copy lacks a second later.
async fn check_restore(fleet: &TestFleet, frozen: &[&TestInstance], target: &str) {
    let copy = fleet.store.copy();
    fleet.time_to_all(target, &fleet.all()).await;
    fleet.store.put("op/evacuate/a1", "{}");
    sleep(ms(1_000)).await;
    for listener in frozen {
        listener.connection.cut.store(true, Ordering::Relaxed);
        fleet.links.stop(listener.address);
    }
    let heard = fleet.all_but(frozen);
    let before = fleet.calls();
    fleet.store.restore(copy);
    for n in 0..50 {
        sleep(ms(100)).await;
        if n == 10 {
            fleet.store.put(&format!("servers/{target}"), "leaving");
            fleet.store.put("op/evacuate/a1", "{}");
        }
        for instance in &heard {
            assert!(
                instance.knows_leaving(target),
                "{n}: {} reverts",
                instance.id
            );
            assert!(instance.knows_evacuation(), "{n}: {} reverts", instance.id);
        }
    }
    let calls = fleet.calls() - before;
    let age = fleet.time_to_all("t7", &heard).await;
    assert!(age < DRAIN_BOUND, "in the new era: {age:?}");
    let instances = fleet.instances.len();
    // At most a call of each listener for each change, besides those at rest.
    assert!(calls <= 12 * 3 * 12, "{instances}: {calls} calls in 5 s");
    println!("{instances} instances: {calls} calls in the 5 s after a restore, {age:?} to all");
    fleet.store.put("servers/t7", "ready");
}

#[tokio::test(start_paused = true)]
async fn a_restored_store_reverts_no_belief_of_the_fleet() {
    for count in [9, 100, 300] {
        let fleet = TestFleet::start(count, 3).await;
        check_restore(&fleet, &[], "t1").await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_restored_twice_while_listeners_are_frozen_reverts_no_belief() {
    let fleet = TestFleet::start(60, 3).await;
    let first = fleet.listeners("a2");
    check_restore(&fleet, &first[..1], "t1").await;
    for listener in &first[..1] {
        listener.connection.cut.store(false, Ordering::Relaxed);
    }
    let copy = fleet.store.copy();
    fleet.store.put("servers/t2", "leaving");
    sleep(ms(3_000)).await;
    let heard = fleet.all_but(&first[..1]);
    assert!(heard.iter().all(|i| i.knows_leaving("t2")));
    fleet.store.restore(copy.clone());
    sleep(ms(1_500)).await;
    fleet.store.restore(copy);
    for n in 0..60 {
        sleep(ms(100)).await;
        for instance in &heard {
            assert!(instance.knows_leaving("t2"), "{n}: {} reverts", instance.id);
        }
    }
}
