//! Tests of placement: scripted scenarios, and random faults compared with a reference controller.
#![allow(clippy::unwrap_used, reason = "a test ends where its helpers do")]

#[path = "place/region.rs"]
mod region;

use std::collections::BTreeMap;
use std::time::Duration;

use datadriven::{TestCase, walk};
use limpetstand::place::lease::{DELIVERY_TIMEOUT, LEASE_TTL, LeaseTerm};
use limpetstand::place::plan::{DesiredModel, TargetState, plan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use region::{Engine, Region};
use smol_str::SmolStr;

#[test]
fn scenarios() {
    walk("tests/scenarios/place", |f| {
        let mut region = Region::new(7);
        f.run(|case| {
            command(&mut region, case);
            case.expect_empty().unwrap();
            show(&mut region)
        });
    });
}

fn command(region: &mut Region, case: &mut TestCase) {
    for line in case.input.clone().lines() {
        let args: Vec<&str> = line.split_whitespace().collect();
        apply(region, args[0], &args[1..]);
    }
    let time: u64 = case.take_arg("seconds").unwrap_or(0);
    assert_eq!(case.directive, "after");
    region.run(Duration::from_secs(time));
}

fn apply(region: &mut Region, verb: &str, args: &[&str]) {
    match verb {
        "holder" => args.iter().for_each(|name| region.add_holder(name)),
        "pause" => region.holders.get_mut(args[0]).unwrap().paused = true,
        "resume" => region.holders.get_mut(args[0]).unwrap().paused = false,
        "store" => region.store_down = args[0] == "down",
        "weights" => region.download_interval = Duration::from_secs(args[0].parse().unwrap()),
        "want" => set_desired(region, args),
        "target" => {
            let mut engine = Engine::default();
            for word in &args[1..] {
                match word.split_once(':') {
                    Some((model, version)) => {
                        engine.models.insert(model.into(), version.into());
                    }
                    None => engine.ignores_fencing = *word == "ignores-fencing",
                }
            }
            region.engines.insert(args[0].to_owned(), engine);
        }
        "leaving" => region.engines.get_mut(args[0]).unwrap().leaving = true,
        "restart" => region.engines.get_mut(args[0]).unwrap().models.clear(),
        "loses-answers" => region.engines.get_mut(args[0]).unwrap().loses_answers = true,
        _ => panic!("unknown command {verb}"),
    }
}

/// Sets the desired placement of a model: `want MODEL COUNT [VERSION] [+ADAPTER]...`.
fn set_desired(region: &mut Region, args: &[&str]) {
    region
        .desired_models
        .retain(|w| w.model.as_str() != args[0]);
    let mut desired = DesiredModel {
        model: args[0].into(),
        count: args[1].parse().unwrap(),
        version: None,
        adapters: Vec::new(),
        version_available: true,
    };
    for word in &args[2..] {
        match word.strip_prefix('+') {
            Some(adapter) => desired.adapters.push(adapter.into()),
            None => desired.version = Some((*word).into()),
        }
    }
    region.desired_models.push(desired);
}

/// Prints the orders since the last command, what each target has, and the holders' progress.
fn show(region: &mut Region) -> String {
    let mut lines = std::mem::take(&mut region.log);
    for (name, engine) in &region.engines {
        let mut line = name.clone();
        for (model, version) in &engine.models {
            line += &format!(" {model}:{version}");
        }
        for adapter in &engine.adapters {
            line += &format!(" +{adapter}");
        }
        lines.push(line);
    }
    lines.extend(region.status());
    lines.join("\n") + "\n"
}

/// A single controller that never fails. If there are enough targets, it reaches every desired
/// placement.
#[derive(Debug, Clone, Default)]
struct ReferenceController {
    seed: u64,
    desired_models: BTreeMap<&'static str, (u32, &'static str)>,
    live: BTreeMap<&'static str, &'static str>,
}

impl ReferenceController {
    /// Returns how many targets must have each desired version, or `None` if there are too few
    /// targets to require that.
    ///
    /// The targets must suffice for the desired number of each model, for one target for each model
    /// that is not desired but may be served by that target alone, and for one spare target.
    fn expected(&self, unwanted: usize) -> Option<BTreeMap<&'static str, (u32, &'static str)>> {
        let mut needed = unwanted + 1;
        for (count, _) in self.desired_models.values() {
            needed += *count as usize;
        }
        (needed <= self.live.len()).then(|| self.desired_models.clone())
    }
}

#[derive(Debug, Clone)]
enum Step {
    SetDesired(&'static str, u32, &'static str),
    Pause(&'static str),
    Resume(&'static str),
    Store(bool),
    Weights(u8),
    Add(&'static str),
    Leave(&'static str),
    Restart(&'static str),
    LosesAnswers(&'static str, bool),
    Wait(u8),
}

const HOLDERS: [&str; 3] = ["h1", "h2", "h3"];
const TARGETS: [&str; 10] = ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"];
const MODELS: [&str; 3] = ["k", "m", "n"];

/// Enough time for every backoff to end and every version to be replaced.
const SETTLE_TIME: Duration = Duration::from_secs(1_800);

impl ReferenceStateMachine for ReferenceController {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>()
            .no_shrink()
            .prop_map(|seed| {
                let mut reference = Self {
                    seed,
                    ..Self::default()
                };
                for (i, target) in TARGETS.iter().take(6).enumerate() {
                    reference.live.insert(target, MODELS[i / 2]);
                }
                reference
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let holder = || prop::sample::select(&HOLDERS[..]);
        let target = || prop::sample::select(&TARGETS[..]);
        let model = || prop::sample::select(&MODELS[..]);
        let version = || prop::sample::select(&["v1", "v2", "v3"][..]);
        prop_oneof![
            3 => (model(), 0..4_u32, version()).prop_map(|(m, n, v)| Step::SetDesired(m, n, v)),
            2 => holder().prop_map(Step::Pause),
            2 => holder().prop_map(Step::Resume),
            1 => any::<bool>().prop_map(Step::Store),
            1 => (0..20_u8).prop_map(Step::Weights),
            1 => target().prop_map(Step::Add),
            1 => target().prop_map(Step::Leave),
            1 => target().prop_map(Step::Restart),
            1 => (target(), any::<bool>()).prop_map(|(t, b)| Step::LosesAnswers(t, b)),
            6 => (0..60_u8).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::Add(target) => !state.live.contains_key(target),
            Step::Leave(target) | Step::Restart(target) | Step::LosesAnswers(target, _) => {
                state.live.contains_key(target)
            }
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::SetDesired(model, count, version) => {
                state.desired_models.insert(model, (count, version));
            }
            Step::Add(target) => drop(state.live.insert(target, "")),
            Step::Leave(target) => drop(state.live.remove(target)),
            _ => {}
        }
        state
    }
}

struct PlacementTest {
    region: Region,
    reference: ReferenceController,
}

impl StateMachineTest for PlacementTest {
    type SystemUnderTest = Self;
    type Reference = ReferenceController;

    fn init_test(reference: &ReferenceController) -> Self {
        let mut region = Region::new(reference.seed);
        for (i, (target, model)) in reference.live.iter().enumerate() {
            let engine = Engine {
                models: BTreeMap::from([((*model).into(), "v1".into())]),
                ignores_fencing: i % 2 == 0,
                ..Engine::default()
            };
            region.engines.insert((*target).to_owned(), engine);
        }
        for holder in HOLDERS {
            region.add_holder(holder);
        }
        region.last_disturbance = Duration::ZERO;
        let reference = reference.clone();
        Self { region, reference }
    }

    fn apply(mut state: Self, reference: &ReferenceController, step: Step) -> Self {
        let region = &mut state.region;
        match step {
            Step::SetDesired(model, count, version) => {
                set_desired(region, &[model, &count.to_string(), version]);
            }
            Step::Pause(holder) => region.holders.get_mut(holder).unwrap().paused = true,
            Step::Resume(holder) => region.holders.get_mut(holder).unwrap().paused = false,
            Step::Store(down) => region.store_down = down,
            Step::Weights(every) => region.download_interval = Duration::from_secs(every.into()),
            Step::Add(target) => {
                region.last_disturbance = region.now;
                region.engines.insert(target.to_owned(), Engine::default());
            }
            Step::Leave(target) => {
                region.last_disturbance = region.now;
                region.engines.get_mut(target).unwrap().leaving = true;
            }
            Step::Restart(target) => {
                region.last_disturbance = region.now;
                region.engines.get_mut(target).unwrap().models.clear();
            }
            Step::LosesAnswers(target, loses) => {
                region.engines.get_mut(target).unwrap().loses_answers = loses;
            }
            Step::Wait(seconds) => region.run(Duration::from_secs(seconds.into())),
        }
        state.reference = reference.clone();
        state
    }

    /// Once all faults have ended, the region has at least the placements of the reference
    /// controller.
    fn teardown(mut state: Self) {
        let region = &mut state.region;
        region.store_down = false;
        region.download_interval = Duration::ZERO;
        for holder in region.holders.values_mut() {
            holder.paused = false;
        }
        for engine in region.engines.values_mut() {
            engine.loses_answers = false;
        }
        region.run(SETTLE_TIME);
        let live = || region.engines.values().filter(|e| !e.leaving);
        let mut unwanted: Vec<&SmolStr> = Vec::new();
        for model in live().flat_map(|e| e.models.keys()) {
            let desired = state
                .reference
                .desired_models
                .get(model.as_str())
                .map_or(0, |w| w.0);
            if desired == 0 && !unwanted.contains(&model) {
                unwanted.push(model);
            }
        }
        let Some(expected) = state.reference.expected(unwanted.len()) else {
            return;
        };
        for (model, (count, version)) in expected {
            let has = |e: &&Engine| e.models.get(model).is_some_and(|v| v == version);
            let placed = live().filter(has).count();
            assert!(
                placed >= count as usize,
                "{placed} targets have {model}:{version}, not {count}: {}",
                show(region)
            );
        }
    }
}

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn racing_and_paused_holders_reach_the_result_of_a_single_controller(
        sequential 1..40 => PlacementTest
    );
}

proptest! {
    #![proptest_config(config())]

    /// For any contents of targets and any desired placement, each served model keeps a target that
    /// gets no order, and no target gets two orders.
    #[test]
    fn a_plan_leaves_each_served_model_a_target(
        has in prop::collection::vec(prop::collection::btree_set(0..4_usize, 0..3), 1..8),
        desired in prop::collection::vec((0..5_u32, prop::bool::ANY), 0..4),
    ) {
        let model = |i: usize| ["j", "k", "m", "n"][i].into();
        let mut targets = Vec::new();
        for (i, models) in has.iter().enumerate() {
            targets.push(TargetState {
                id: TARGETS[i].into(),
                address: ([127, 0, 0, 1], 9_000).into(),
                live: true,
                models: models.iter().map(|m| (model(*m), Some("v1".into()))).collect(),
                adapters: Default::default(),
                order_in_flight: None,
                backing_off: false,
            });
        }
        let mut desired_models = Vec::new();
        for (i, (count, is_new)) in desired.iter().enumerate() {
            desired_models.push(DesiredModel {
                model: model(i),
                count: *count,
                version: is_new.then(|| "v2".into()),
                adapters: Vec::new(),
                version_available: true,
            });
        }
        let plan = plan(&desired_models, &targets);
        let ordered: Vec<_> = plan.orders.iter().map(|(target, _)| target).collect();
        for (i, target) in ordered.iter().enumerate() {
            prop_assert!(!ordered[..i].contains(target), "two orders for {target}");
        }
        for target in &targets {
            for served in target.models.keys() {
                let mut left = targets.iter().filter(|p| !ordered.contains(&&p.id));
                prop_assert!(left.any(|p| p.models.contains_key(served)), "no target left: {plan:?}");
            }
        }
    }
}

/// An order of one holder is delivered before the next holder sends its first order, even if the
/// next holder acquires the lease at the moment the store expires it.
#[test]
fn terms_of_two_holders_never_overlap() {
    let second = Duration::from_secs(1);
    let first = LeaseTerm::acquired(Duration::ZERO, second, LEASE_TTL, 1);
    let expires_at = LEASE_TTL;
    let next = LeaseTerm::acquired(expires_at, expires_at, LEASE_TTL, 2);
    let mut last_arrival = Duration::ZERO;
    for tenth in 0..400 {
        let now = second * tenth / 10;
        if first.can_send_order(now) {
            last_arrival = now + DELIVERY_TIMEOUT;
        }
        assert!(!(next.can_send_order(now) && now < last_arrival + DELIVERY_TIMEOUT - second / 2));
    }
    assert!(first.can_send_order(second + DELIVERY_TIMEOUT));
    assert!(last_arrival < expires_at);
}
