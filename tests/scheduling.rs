//! Plays an overloaded region of 3 to 100 instances through the decisions about targets, in virtual
//! time and without a network, and checks what callers get.

#[path = "common/region_view.rs"]
mod region_view;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use limpetstand::gateway::dialect::PromptPart;
use limpetstand::gateway::load_shedding;
use limpetstand::gateway::platform_view::PlatformView;
use limpetstand::gateway::pool::{self, Choice, Demand, Pool, Prefill, TargetQuery};
use limpetstand::gateway::routes::RouteTable;
use limpetstand::gateway::scheduler::{
    INSTANCES_PER_SCHEDULER, Placed, Scheduler, TAKEOVER_TIME, scheduler_of, schedulers,
};
use limpetstand::gateway::target_limits::LimitedTargets;
use limpetstand::id::{InstanceId, RegionId, TargetId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use region_view::SERVICE;

const SEED: u64 = 7;

/// Targets of the region; each reads [`TOKENS_PER_MS`] prompt tokens in a millisecond.
const TARGETS: u32 = 24;
const TOKENS_PER_MS: f64 = 40.0;

/// Prompt tokens of a request.
const PROMPT_TOKENS: u32 = 2_900;

/// Load as a ratio of what the targets can read.
const LOAD: f64 = 1.3;

/// Time from a request's arrival to its first token within which it is on time.
const OBJECTIVE: Duration = Duration::from_secs(1);

const PLAYED_MS: u64 = 10_000;

static HOLDER: LazyLock<InstanceId> = LazyLock::new(|| "i0".into());

/// How fast targets read prompts.
const PREFILL: Prefill = Prefill {
    ms_per_token: 0.032,
};

fn demand(prompt: &[PromptPart]) -> Demand<'_> {
    Demand {
        prompt,
        ..Demand::of_service(&SERVICE)
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn view() -> PlatformView {
    let mut view = region_view::view(TARGETS, 64);
    view.route_table = Some(Arc::new(RouteTable::new(1, Vec::new())));
    view
}

/// Which instance judges the targets' queues.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Each instance judges all targets from its own requests.
    Alone,
    /// The scheduler of each target judges it.
    Scheduled,
}

/// What the callers got.
#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    on_time: u32,
    late: u32,
    refused: u32,
}

impl Outcome {
    /// Requests served on time, as a ratio of what the targets can read in the time played.
    fn use_of_targets(&self) -> f64 {
        let capacity = f64::from(TARGETS) * TOKENS_PER_MS * PLAYED_MS as f64;
        f64::from(self.on_time) * f64::from(PROMPT_TOKENS) / capacity
    }

    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.late + self.on_time)
    }
}

struct Region {
    view: PlatformView,
    names: Vec<String>,
    /// One pool for each instance.
    pools: Vec<Pool>,
    /// The targets that each instance schedules.
    owned: Vec<HashMap<TargetId, Duration>>,
    /// When each target will have read all prompts sent to it, in milliseconds.
    free_at: BTreeMap<TargetId, f64>,
    /// Reads that end later: the time, the pool that counted the request, the target, the tokens.
    reads: Vec<(f64, usize, TargetId, u64)>,
}

impl Region {
    fn new(instances: usize) -> Self {
        let view = view();
        let names: Vec<String> = (0..instances).map(|i| format!("i{i}")).collect();
        let live: Vec<&str> = names.iter().map(String::as_str).collect();
        let chosen = schedulers("here", &live);
        let mut owned = vec![HashMap::new(); instances];
        for target in view.targets.keys() {
            let scheduler = scheduler_of(target, &chosen).expect("a scheduler");
            let i = names.iter().position(|n| n == scheduler).expect("known");
            owned[i].insert(target.clone(), Duration::ZERO);
        }
        Self {
            view,
            pools: (0..instances).map(|_| Pool::new(PREFILL)).collect(),
            owned,
            names,
            free_at: BTreeMap::new(),
            reads: Vec::new(),
        }
    }

    /// Returns the instance that judges the queue for a request that entered at `entry`.
    fn judge(&self, way: Way, entry: usize, prompt: &[PromptPart]) -> usize {
        if way == Way::Alone {
            return entry;
        }
        let here: RegionId = "here".into();
        let preferred = pool::preferred(&self.view, &here, &demand(prompt));
        let preferred = preferred.expect("a target");
        let owner = self.owned.iter().position(|o| o.contains_key(preferred));
        owner.expect("every target has a scheduler")
    }

    fn finish_reads(&mut self, now: f64) {
        let mut later = Vec::new();
        for (at, judge, target, tokens) in std::mem::take(&mut self.reads) {
            if at > now {
                later.push((at, judge, target, tokens));
                continue;
            }
            self.pools[judge].record_prefill_done(&target, tokens);
            self.pools[judge].record_end(&target);
        }
        self.reads = later;
    }

    /// Sends a request to the target, or refuses it; returns when its first token comes.
    fn serve(&mut self, way: Way, entry: usize, now: u64, prompt: &[PromptPart]) -> Option<f64> {
        let judge = self.judge(way, entry, prompt);
        let scheduled = way == Way::Scheduled;
        let query = TargetQuery {
            demand: demand(prompt),
            senders: &[&self.names[judge]],
            instances: &[],
            warmup: (1.0, 0.0),
            owned_since: scheduled.then_some(&self.owned[judge]),
            limited: LimitedTargets::Scheduled,
            more_urgent: 0.0,
        };
        let here: RegionId = "here".into();
        let pool = &mut self.pools[judge];
        let quote: Choice = pool.evaluate(ms(now), &self.view, &here, &query, || 0.5)?;
        let longest = load_shedding::max_wait(OBJECTIVE, 1, PREFILL.time(PROMPT_TOKENS.into()));
        if quote.wait_ms > longest.as_secs_f64() * 1_000.0 {
            return None;
        }
        pool.record_choice(ms(now), &quote);
        let senders = if scheduled { 1 } else { self.names.len() };
        let tokens = pool.record_send(ms(now), &quote, prompt, senders);
        let free_at = self.free_at.entry(quote.id.clone()).or_default();
        *free_at = free_at.max(now as f64) + f64::from(PROMPT_TOKENS) / TOKENS_PER_MS;
        self.reads.push((*free_at, judge, quote.id, tokens));
        Some(*free_at)
    }
}

fn play(way: Way, instances: usize) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut region = Region::new(instances);
    let mut outcome = Outcome::default();
    let per_ms = f64::from(TARGETS) * TOKENS_PER_MS * LOAD / f64::from(PROMPT_TOKENS);
    for now in 0..PLAYED_MS {
        region.finish_reads(now as f64);
        let mut arrivals = per_ms;
        while arrivals > 0.0 && rng.random::<f64>() < arrivals {
            arrivals -= 1.0;
            let prompt = [PromptPart {
                id: rng.random(),
                tokens: PROMPT_TOKENS,
            }];
            outcome.asked += 1;
            let entry = rng.random_range(0..instances);
            match region.serve(way, entry, now, &prompt) {
                Some(first) if first - now as f64 <= OBJECTIVE.as_secs_f64() * 1_000.0 => {
                    outcome.on_time += 1;
                }
                Some(_) => outcome.late += 1,
                None => outcome.refused += 1,
            }
        }
    }
    outcome
}

/// At a third more than the targets can read, what is admitted is on time and the targets are kept
/// busy, whether three or a hundred instances send.
#[test]
fn with_schedulers_an_overloaded_region_serves_as_well_at_any_size() {
    for instances in [3, 10, 33, 100] {
        let outcome = play(Way::Scheduled, instances);
        println!(
            "{instances} instances, scheduled: {outcome:?} {:.3}",
            outcome.use_of_targets()
        );
        assert!(outcome.late_share() < 0.02, "{instances}: {outcome:?}");
        let used = outcome.use_of_targets();
        assert!(
            used > 0.7,
            "{instances}: {used:.2} of the targets' time used"
        );
    }
}

/// The same load, judged by each instance alone, shows what the schedulers are for.
#[test]
fn without_schedulers_a_hundred_instances_misjudge_the_queues() {
    let alone = play(Way::Alone, 100);
    let scheduled = play(Way::Scheduled, 100);
    println!(
        "100 instances, alone: {alone:?} {:.3}",
        alone.use_of_targets()
    );
    assert!(
        alone.on_time < scheduled.on_time,
        "alone {alone:?}, scheduled {scheduled:?}"
    );
}

#[test]
fn a_lost_scheduler_gives_up_only_its_own_targets() {
    let names: Vec<String> = (0..100).map(|i| format!("i{i}")).collect();
    let live: Vec<&str> = names.iter().map(String::as_str).collect();
    let before = schedulers("here", &live);
    assert_eq!(before.len(), 100 / INSTANCES_PER_SCHEDULER);
    let lost = before[3];
    let rest: Vec<&str> = live.iter().copied().filter(|id| *id != lost).collect();
    let after = schedulers("here", &rest);
    let mut moved = 0;
    for i in 0..200 {
        let target: TargetId = format!("t{i}").into();
        let owner = scheduler_of(&target, &before);
        let next = scheduler_of(&target, &after);
        if owner == Some(lost) {
            moved += 1;
            continue;
        }
        // The instance that joins the schedulers may take a target over; no other one does.
        let joined = next.is_some_and(|id| !before.contains(&id));
        assert!(owner == next || joined, "{target:?}: {owner:?} {next:?}");
    }
    assert!((5..40).contains(&moved), "{moved} of 200 targets moved");
}

#[test]
fn reservations_end_once_and_expire() {
    let mut scheduler = Scheduler::default();
    scheduler.set_owned(ms(0), &["t0".into()]);
    let placed = |prefill_tokens, time_left| Placed {
        service: &SERVICE,
        priority: 0,
        prefill_tokens,
        time_left,
        holder: &HOLDER,
    };
    let first = scheduler.reserve(ms(0), "t0".into(), &placed(500, ms(1_000)));
    let second = scheduler.reserve(ms(0), "t0".into(), &placed(700, ms(60_000)));
    assert_eq!(scheduler.places().more_urgent(&SERVICE, 1), 2);
    let read = |tokens| Some(("t0".into(), tokens, ms(0)));
    assert_eq!(scheduler.finish_prefill(first), read(500));
    assert_eq!(scheduler.finish_prefill(first), read(0));
    assert!(scheduler.expire(ms(1_900)).is_empty());
    assert_eq!(scheduler.expire(ms(2_100)).len(), 1);
    assert_eq!(scheduler.end(first), None);
    assert_eq!(scheduler.end(second).map(|r| r.prefill_tokens), Some(700));
    assert_eq!(scheduler.end(second), None);
    assert_eq!(scheduler.places().more_urgent(&SERVICE, 1), 0);
    // A target keeps its scheduler's time across updates of the list.
    scheduler.set_owned(ms(5_000), &["t0".into(), "t1".into()]);
    assert_eq!(scheduler.owned_since()[&"t0".into()], ms(0));
    assert_eq!(scheduler.owned_since()[&"t1".into()], ms(5_000));
    assert!(TAKEOVER_TIME > Duration::from_secs(1));
}

/// A new scheduler sends nothing to a cold target until the last one's requests are a second old.
#[test]
fn a_new_scheduler_waits_before_it_uses_a_cold_target() {
    let mut view = view();
    for known in view.targets.values_mut() {
        known.cold_until = ms(60_000);
    }
    let mut table = RouteTable::new(1, Vec::new());
    let service = limpetstand::gateway::routes::Service {
        warmup: ms(60_000),
        warmup_per_s: 2.0,
        health_path: None,
    };
    table.services.insert(SERVICE.clone(), service);
    view.route_table = Some(Arc::new(table));
    let here: RegionId = "here".into();
    let mut pool = Pool::new(PREFILL);
    let owned = HashMap::from([("t0".into(), ms(10_000))]);
    let mut chosen = |now| {
        let query = TargetQuery {
            demand: demand(&[]),
            senders: &["i0"],
            instances: &["i0"],
            warmup: (1.0, 0.0),
            owned_since: Some(&owned),
            limited: LimitedTargets::Scheduled,
            more_urgent: 0.0,
        };
        pool.choose(now, &view, &here, &query, || 0.5).map(|c| c.id)
    };
    assert_eq!(chosen(ms(10_500)), None);
    let taken = ms(10_000) + TAKEOVER_TIME;
    assert_eq!(chosen(taken), Some("t0".into()));
    assert_eq!(chosen(taken), Some("t0".into()));
    assert_eq!(chosen(taken), None, "two requests a second");
}
