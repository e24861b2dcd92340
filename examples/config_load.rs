//! What changes to the configuration cost, in virtual time over a store in memory.
//!
//! `cargo run --release --example config_load -- heads [--seed N]` races teams on one head for the
//! whole tree and on a head for each subtree. `… -- calls [--seed N]` counts the calls that fleets
//! of several sizes make to the store. `… -- spread [--seed N]` takes the time until a change is in
//! force at all instances, with watches that work and with watches that died without a sign.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use limpetstand::config::commit::{DocumentOperation, Outcome, Proposal};
use limpetstand::config::head::{BlobId, ChangeId};
use limpetstand::config::operator::Operator;
use limpetstand::config::path::DocumentPath;
use limpetstand::store::{Precondition, Store, SwapResult};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Builder;
use tokio::time::Instant;

#[path = "../tests/common/mod_config.rs"]
mod common;

use common::config_rig::Rig;
use common::memory_store::MemoryStore;

/// Round trips to the store from its own region and from the two others.
const NEAR: Duration = Duration::from_millis(2);
const FAR: Duration = Duration::from_millis(162);

const TEAMS: usize = 9;
const RUN: Duration = Duration::from_secs(300);
const IDLE: Duration = Duration::from_secs(60);

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let seed: u64 = args.opt_value_from_str("--seed").unwrap().unwrap_or(1);
    match args.subcommand().unwrap().as_deref() {
        Some("heads") => heads(seed),
        Some("calls") => calls(seed),
        Some("spread") => spread(seed),
        _ => eprintln!("config_load heads|calls|spread [--seed N]"),
    }
}

fn in_virtual_time<T>(run: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(run)
}

fn delay_of(region: &str) -> Duration {
    if region == "a" { NEAR } else { FAR }
}

fn fleet(size: usize) -> Rig {
    let mut rig = Rig::new();
    for i in 0..size {
        let name = format!("{}{}", ["a", "b", "c"][i % 3], i / 3);
        rig.start(&name);
        let instance = &rig.instances[&name];
        let delay = delay_of(&instance.region);
        instance.store.faults(|f| f.delay = delay);
    }
    rig
}

/// One change of a team: a new name, which two teams may choose at the same time.
struct Planned {
    at: Duration,
    team: usize,
    name: u64,
}

fn plan(rate: f64, seed: u64) -> Vec<Planned> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        at += Duration::from_secs_f64(gap);
        if at > RUN {
            return planned;
        }
        planned.push(Planned {
            at,
            team: rng.random_range(0..TEAMS),
            name: rng.random_range(0..200),
        });
    }
}

fn text(name: u64) -> Arc<str> {
    format!("[organisations.o{name}]\nrate = 1\nburst = 1\n").into()
}

/// How a run ended.
#[derive(Default)]
struct Tally {
    accepted: u32,
    refused: u32,
    conflicts: u32,
    unsettled: u32,
    times: Vec<Duration>,
}

impl Tally {
    fn quantile(&mut self, q: f64) -> u128 {
        self.times.sort();
        let last = self.times.len().saturating_sub(1);
        let at = (q * last as f64).round() as usize;
        self.times.get(at).map_or(0, Duration::as_millis)
    }
}

/// Names that stand in more than one document.
fn clashes(names: impl Iterator<Item = u64>) -> usize {
    let mut seen = BTreeSet::new();
    names.filter(|n| !seen.insert(*n)).count()
}

fn heads(seed: u64) {
    println!(
        "scheme    changes/s  accepted refused conflict unsettled  p50 ms  p99 ms  max ms  calls/change clashes"
    );
    for rate in [0.127, 1.0, 5.0] {
        let (tally, calls, clashes) = in_virtual_time(whole_tree(rate, seed));
        show("whole", rate, tally, calls, clashes);
        let (tally, calls, clashes) = in_virtual_time(subtrees(rate, seed));
        show("subtrees", rate, tally, calls, clashes);
    }
}

fn show(scheme: &str, rate: f64, mut tally: Tally, calls: f64, clashes: usize) {
    let [p50, p99, max] = [0.5, 0.99, 1.0].map(|q| tally.quantile(q));
    println!(
        "{scheme:<9} {rate:>9} {:>9} {:>7} {:>8} {:>9} {:>7} {:>7} {:>7} {calls:>13.1} {clashes:>7}",
        tally.accepted, tally.refused, tally.conflicts, tally.unsettled, p50, p99, max,
    );
}

/// The product: one head, whose swap is the commit, by nine instances in three regions.
async fn whole_tree(rate: f64, seed: u64) -> (Tally, f64, usize) {
    let rig = Arc::new(fleet(TEAMS));
    tokio::time::sleep(IDLE).await;
    let before = rig.store.calls();
    tokio::time::sleep(IDLE).await;
    let idle = (rig.store.calls() - before) as f64 / IDLE.as_secs_f64();
    let (before, start) = (rig.store.calls(), Instant::now());
    let mut tasks = Vec::new();
    for (i, planned) in plan(rate, seed).into_iter().enumerate() {
        let rig = Arc::clone(&rig);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until(start + planned.at).await;
            let instance = rig.instances.values().nth(planned.team).unwrap();
            let path = DocumentPath::parse(&format!("team{}", planned.team)).unwrap();
            let id = ChangeId::parse(&i.to_string()).unwrap();
            let operation = DocumentOperation::Put(path, text(planned.name));
            let proposal = Proposal::new(Operator::root(), id, operation);
            let began = Instant::now();
            (instance.committer.commit(&proposal).await, began.elapsed())
        }));
    }
    let mut tally = Tally::default();
    let changes = tasks.len() as f64;
    for task in tasks {
        let (outcome, time) = task.await.unwrap();
        match outcome {
            Outcome::Accepted(_) => tally.accepted += 1,
            Outcome::Refused(_) | Outcome::Forbidden(_) => tally.refused += 1,
            Outcome::Conflict(_) => tally.conflicts += 1,
            Outcome::Unreachable(_) | Outcome::Unknown(_) => tally.unsettled += 1,
        }
        tally.times.push(time);
    }
    let all = (rig.store.calls() - before) as f64 - idle * start.elapsed().as_secs_f64();
    let head = rig.instances["a0"].committer.head().await.unwrap();
    let tree = rig.instances["a0"].committer.tree(&head).await.unwrap();
    let names = tree.iter().map(|(_, t)| name_in(t));
    (tally, all / changes, clashes(names))
}

fn name_in(text: &str) -> u64 {
    let digits: String = text.chars().filter(char::is_ascii_digit).collect();
    digits[..digits.len() - 2].parse().unwrap()
}

/// The rival: a head for each team; the others' heads are only read for the check.
async fn subtrees(rate: f64, seed: u64) -> (Tally, f64, usize) {
    let store = MemoryStore::new();
    let start = Instant::now();
    let mut tasks = Vec::new();
    for planned in plan(rate, seed) {
        let connection = store.connection();
        connection.faults(|f| f.delay = delay_of(["a", "b", "c"][planned.team / 3]));
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until(start + planned.at).await;
            let began = Instant::now();
            let made = put_subtree(connection.as_ref(), planned.team, planned.name).await;
            (made, began.elapsed())
        }));
    }
    let mut tally = Tally::default();
    let changes = tasks.len() as f64;
    for task in tasks {
        let (made, time) = task.await.unwrap();
        match made {
            Some(true) => tally.accepted += 1,
            Some(false) => tally.refused += 1,
            None => tally.conflicts += 1,
        }
        tally.times.push(time);
    }
    let calls = store.calls() as f64 / changes;
    let heads = store.list("heads/").await.unwrap();
    let names = heads
        .iter()
        .map(|e| name_in(std::str::from_utf8(&e.value).unwrap()));
    (tally, calls, clashes(names))
}

/// Returns whether the change passed the check; `None` if the team's own head moved.
async fn put_subtree(store: &MemoryStore, team: usize, name: u64) -> Option<bool> {
    let key = format!("heads/{team}");
    let heads = store.list("heads/").await.unwrap();
    let mut others = BTreeMap::new();
    for head in heads {
        others.insert(head.key.clone(), head);
    }
    let expect = match others.remove(&key) {
        Some(own) => Precondition::Revision(own.mod_revision),
        None => Precondition::Absent,
    };
    let text = text(name);
    if others.values().any(|o| o.value == text.as_bytes()) {
        return Some(false);
    }
    let blob = BlobId::of(&text).store_key();
    let value = Bytes::copy_from_slice(text.as_bytes());
    store
        .swap(&blob, Precondition::Absent, value.clone(), None)
        .await
        .unwrap();
    match store.swap(&key, expect, value, None).await.unwrap() {
        SwapResult::Done(_) => Some(true),
        SwapResult::Conflict(_) => None,
    }
}

fn calls(seed: u64) {
    println!("instances  changes/s  calls/s");
    for size in [9, 30, 90, 180, 410] {
        for rate in [0.0, 0.127, 1.0] {
            // A change a second at the largest fleet takes longer than the rest together.
            if rate >= 1.0 && size > 180 {
                continue;
            }
            let calls = in_virtual_time(count_calls(size, rate, seed));
            println!("{size:>9} {rate:>10} {calls:>8.2}");
        }
    }
}

/// Counts calls a second, those that each waiting watch counts as left out.
async fn count_calls(size: usize, rate: f64, seed: u64) -> f64 {
    let rig = Arc::new(fleet(size));
    tokio::time::sleep(IDLE).await;
    let (before, start) = (rig.store.calls(), Instant::now());
    if rate > 0.0 {
        for (i, planned) in plan(rate, seed).into_iter().enumerate() {
            tokio::time::sleep_until(start + planned.at).await;
            let instance = rig.instances.values().nth(i % size).unwrap();
            let path = DocumentPath::parse(&format!("team{}", planned.team)).unwrap();
            let id = ChangeId::parse(&i.to_string()).unwrap();
            let name = 1_000 * (planned.team as u64 + 1) + planned.name;
            let operation = DocumentOperation::Put(path, text(name));
            let proposal = Proposal::new(Operator::root(), id, operation);
            let outcome = instance.committer.commit(&proposal).await;
            assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
        }
    }
    tokio::time::sleep_until(start + RUN).await;
    (rig.store.calls() - before) as f64 / start.elapsed().as_secs_f64()
}

fn spread(seed: u64) {
    println!("instances  watches  changes  p50 ms  max ms");
    for size in [9, 90, 410] {
        for is_mute in [false, true] {
            let mut tally = in_virtual_time(time_spread(size, is_mute, seed));
            let (p50, max) = (tally.quantile(0.5), tally.quantile(1.0));
            let watches = if is_mute { "dead" } else { "working" };
            let changes = tally.times.len();
            println!("{size:>9} {watches:>8} {changes:>8} {p50:>7} {max:>7}");
        }
    }
}

/// Takes the time from the acceptance of each change until the last instance has it in force.
async fn time_spread(size: usize, is_mute: bool, seed: u64) -> Tally {
    const CHANGES: u64 = 40;
    let rig = fleet(size);
    rig.links.set_round_trip(FAR);
    tokio::time::sleep(IDLE).await;
    rig.store.faults(|f| f.silence_watches = is_mute);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tally = Tally::default();
    for i in 1..=CHANGES {
        let pause = Duration::from_millis(rng.random_range(2_000..8_000));
        tokio::time::sleep(pause).await;
        let path = DocumentPath::parse("team").unwrap();
        let id = ChangeId::parse(&i.to_string()).unwrap();
        let proposal = Proposal::new(Operator::root(), id, DocumentOperation::Put(path, text(i)));
        let outcome = rig.instances["a0"].committer.commit(&proposal).await;
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
        let accepted = Instant::now();
        for instance in rig.instances.values() {
            let mut snapshots = instance.distribution.snapshots();
            let in_force = snapshots.wait_for(|s| s.revision.0 >= i).await;
            assert!(in_force.is_ok());
        }
        tally.times.push(accepted.elapsed());
    }
    tally
}
