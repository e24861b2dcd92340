//! Plays a crowd at targets that fall over when they turn requests away, in virtual time and without
//! a network.

#[path = "common/region_view.rs"]
mod region_view;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use limpetstand::gateway::brittle::BrittleTargets;
use limpetstand::gateway::platform_view::PlatformView;
use limpetstand::gateway::pool::{Demand, Pool, Prefill, TargetQuery};
use limpetstand::gateway::scheduler::{scheduler_of, schedulers};
use limpetstand::gateway::target_limits::{LimitedTargets, ProcessKey, TargetLimit};
use limpetstand::id::{RegionId, TargetId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use region_view::{SERVICE, view};

const SEED: u64 = 3;

const PLAYED_MS: u64 = 6_000;

/// When the first scheduler is lost, in milliseconds.
const LOST_AT_MS: u64 = 2_000;

/// Time between two looks for targets whose load is not known, in milliseconds.
const ASKED_EVERY_MS: u64 = 250;

const SLOTS: u32 = 6;

/// The shortest and the longest time for which a request runs, in milliseconds.
const RUN_MS: (u64, u64) = (100, 900);

/// Requests that arrive, as a multiple of what the targets can run.
const CROWD: f64 = 3.0;

/// How long a target that has fallen over is away.
const AWAY_MS: u64 = 3_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A target without a queue, which falls over when it turns away more than a number of requests
/// within a second.
#[derive(Debug, Default)]
struct Target {
    ends: Vec<u64>,
    turned_away: Vec<u64>,
    back_at: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    falls: usize,
    served: usize,
    refused: usize,
}

struct Region {
    view: PlatformView,
    here: RegionId,
    pools: BTreeMap<String, Pool>,
    owned: HashMap<String, HashMap<TargetId, Duration>>,
    targets: BTreeMap<TargetId, Target>,
}

impl Region {
    fn new(targets: u32) -> Self {
        let view = view(targets, SLOTS);
        let ids = view.targets.keys().cloned();
        let played = ids.map(|id| (id, Target::default())).collect();
        Self {
            view,
            here: "here".into(),
            pools: BTreeMap::new(),
            owned: HashMap::new(),
            targets: played,
        }
    }

    /// Assigns the targets to the schedulers of the live instances.
    fn assign(&mut self, now: u64, live: &[&str]) {
        let chosen = schedulers("here", live);
        let mut owned: HashMap<String, HashMap<TargetId, Duration>> = HashMap::new();
        for id in self.targets.keys() {
            let scheduler = scheduler_of(id, &chosen).expect("a scheduler").to_owned();
            let since = self.owned.get(&scheduler).and_then(|o| o.get(id));
            let since = since.copied().unwrap_or(ms(now));
            let targets = owned.entry(scheduler).or_default();
            targets.insert(id.clone(), since);
        }
        self.pools.retain(|id, _| owned.contains_key(id));
        for id in owned.keys() {
            let prefill = Prefill { ms_per_token: 0.03 };
            let pool = || Pool::new(prefill);
            self.pools.entry(id.clone()).or_insert_with(pool);
        }
        self.owned = owned;
    }

    /// Asks targets for their load where a scheduler does not know it.
    fn ask_for_loads(&mut self, now: u64) {
        for (scheduler, pool) in &mut self.pools {
            for (id, since) in &self.owned[scheduler] {
                let known = &self.view.targets[id];
                if pool.knows_load(ms(now), id, known, *since) {
                    continue;
                }
                let running = u32::try_from(self.targets[id].ends.len()).expect("few");
                pool.record_load_report(ms(now), id, running, 0);
            }
        }
    }

    /// Lets requests end, and targets that fell over return.
    fn step(&mut self, now: u64) {
        if now.is_multiple_of(ASKED_EVERY_MS) {
            self.ask_for_loads(now);
        }
        for (id, target) in &mut self.targets {
            if now == target.back_at && now > 0 {
                let known = self.view.targets.get_mut(id).expect("a target");
                known.entry.started_unix_ms += 1;
            }
            let running = target.ends.len();
            target.ends.retain(|end| *end > now);
            for _ in target.ends.len()..running {
                for (scheduler, pool) in &mut self.pools {
                    if self.owned[scheduler].contains_key(id) {
                        pool.record_end(id);
                    }
                }
            }
        }
    }

    /// Asks a scheduler for a place and sends the request there; `turned_away_per_s` is what the
    /// asker has heard of all targets.
    fn serve(
        &mut self,
        now: u64,
        rng: &mut SmallRng,
        turned_away_per_s: Option<f64>,
        outcome: &mut Outcome,
    ) {
        let n = rng.random_range(0..self.pools.len());
        let (scheduler, pool) = self.pools.iter_mut().nth(n).expect("a scheduler");
        for id in self.owned[scheduler].keys() {
            let known = &self.view.targets[id];
            let process: ProcessKey = (id.clone(), known.entry.started_unix_ms);
            let said = TargetLimit {
                per_s: turned_away_per_s,
                said_at: ms(now),
            };
            pool.brittle().hear(&process, &SERVICE, said);
        }
        let query = TargetQuery {
            demand: Demand::of_service(&SERVICE),
            senders: &[scheduler],
            instances: &[],
            warmup: (1.0, 0.0),
            owned_since: Some(&self.owned[scheduler]),
            limited: LimitedTargets::Scheduled,
            more_urgent: 0.0,
        };
        let quote = pool.evaluate(ms(now), &self.view, &self.here, &query, || 0.5);
        // Callers wait for about as long as a request runs.
        let quote = quote.filter(|q| !q.full && q.wait_ms < RUN_MS.1 as f64);
        let Some(quote) = quote else {
            outcome.refused += 1;
            return;
        };
        let target = self.targets.get_mut(&quote.id).expect("a target");
        pool.record_choice(ms(now), &quote);
        pool.record_send(ms(now), &quote, &[], 1);
        if now < target.back_at {
            pool.record_end(&quote.id);
            pool.eject(ms(now), &quote.id);
            return;
        }
        let running = target.ends.len();
        if running < SLOTS as usize {
            outcome.served += 1;
            target.ends.push(now + rng.random_range(RUN_MS.0..RUN_MS.1));
            let running = u32::try_from(running + 1).expect("few");
            pool.record_load_report(ms(now), &quote.id, running, 0);
            return;
        }
        pool.record_load_report(ms(now), &quote.id, SLOTS, 0);
        pool.record_end(&quote.id);
        target.turned_away.retain(|at| *at + 1_000 > now);
        target.turned_away.push(now);
        if target.turned_away.len() > 1 {
            outcome.falls += 1;
            target.back_at = now + AWAY_MS;
            target.ends.clear();
            target.turned_away.clear();
        }
    }
}

fn targets_of(instances: usize) -> u32 {
    u32::try_from(instances / 3).expect("few").max(12)
}

/// Plays a crowd at a target for every third instance, and at least twelve.
fn play(instances: usize, turned_away_per_s: Option<f64>) -> Outcome {
    let targets = targets_of(instances);
    let mut region = Region::new(targets);
    let names: Vec<String> = (0..instances).map(|i| format!("i{i}")).collect();
    let mut live: Vec<&str> = names.iter().map(String::as_str).collect();
    region.assign(0, &live);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut outcome = Outcome::default();
    let mean_run_ms = (RUN_MS.0 + RUN_MS.1) as f64 / 2.0;
    let per_ms = f64::from(targets * SLOTS) / mean_run_ms * CROWD;
    for now in 0..PLAYED_MS {
        if now == LOST_AT_MS && instances > 1 {
            let lost = schedulers("here", &live)[0].to_owned();
            live.retain(|id| *id != lost);
            region.assign(now, &live);
        }
        region.step(now);
        let mut arrivals = per_ms;
        while arrivals > 0.0 && rng.random::<f64>() < arrivals {
            arrivals -= 1.0;
            region.serve(now, &mut rng, turned_away_per_s, &mut outcome);
        }
    }
    outcome
}

#[test]
fn brittle_targets_stand_in_a_crowd_though_a_scheduler_is_lost() {
    for instances in [9, 62, 300] {
        let brittle = play(instances, Some(1.0));
        let unknown = play(instances, None);
        println!("{instances} instances: {brittle:?}, if not known: {unknown:?}");
        let targets = instances + instances / 2;
        assert!(
            brittle.falls <= 2 + targets / 10,
            "{instances}: {brittle:?}"
        );
        assert!(unknown.falls > brittle.falls, "{instances}: {unknown:?}");
        assert!(brittle.served > unknown.served, "{instances}: {brittle:?}");
    }
}

#[test]
fn requests_go_through_schedulers_until_it_is_known_that_no_target_is_brittle() {
    let mut brittle = BrittleTargets::default();
    let process: ProcessKey = ("t0".into(), 1);
    assert!(brittle.schedules(&SERVICE));
    assert!(!brittle.record_answer(ms(0), &process, &SERVICE, None, ms(0)));
    assert!(!brittle.schedules(&SERVICE));
    assert!(brittle.record_answer(ms(1_000), &process, &SERVICE, Some(0.0), ms(900)));
    assert!(brittle.schedules(&SERVICE));
    assert!(brittle.is_brittle(&process));
    assert!(!brittle.is_brittle(&("t0".into(), 2)), "another process");
    // The service is not brittle any more, and the time in which older news may come has passed.
    assert!(brittle.record_answer(ms(9_000), &process, &SERVICE, None, ms(8_900)));
    assert!(!brittle.is_brittle(&process));
    brittle.expire(ms(10_000), |_| true);
    assert!(!brittle.schedules(&SERVICE));
}
