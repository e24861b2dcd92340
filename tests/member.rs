//! Membership: scripted scenarios, and random faults compared with a full-mesh model.
#![allow(clippy::unwrap_used, reason = "a test ends where its helpers do")]

#[path = "member/net.rs"]
mod net;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use datadriven::{TestCase, walk};
use limpetstand::member::Health;
use limpetstand::platform::ServiceState;
use net::Net;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

#[test]
fn scenarios() {
    walk("tests/scenarios/member", |f| {
        let mut net = Net::of(7);
        f.run(|case| {
            command(&mut net, case);
            case.expect_empty().expect("present");
            show(&net)
        });
    });
}

/// Runs one command of the scenario language: applies each line of its input, then lets time pass.
fn command(net: &mut Net, case: &mut TestCase) {
    for line in case.input.clone().lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        for name in &words[1..] {
            apply(net, words[0], name);
        }
    }
    let time: u64 = case.take_arg("seconds").unwrap_or(0);
    assert_eq!(case.directive, "after");
    net.run(Duration::from_secs(time));
}

fn apply(net: &mut Net, verb: &str, name: &str) {
    let pair = |arrow| {
        let (from, to): (&str, &str) = name.split_once(arrow).expect("present");
        (from.to_owned(), to.to_owned())
    };
    match verb {
        "start" => net.start(name),
        "list" => net.list(name, ServiceState::Live),
        "list-leaving" => net.list(name, ServiceState::Leaving),
        "unlist" => net.unlist(name),
        "list-target" => net.list_target(name, ServiceState::Live),
        "list-target-leaving" => net.list_target(name, ServiceState::Leaving),
        "list-down" => drop(net.list_down.insert(name.to_owned())),
        "list-up" => drop(net.list_down.remove(name)),
        "crash" => net.crash(name),
        "freeze" => net.freeze(name),
        "thaw" => net.thaw(name),
        "leave" => net.leave(name),
        "cut" => drop(net.cut.insert(name.to_owned())),
        "join" => drop(net.cut.remove(name)),
        "block" => drop(net.blocked.insert(pair("->"))),
        "unblock" => drop(net.blocked.remove(&pair("->"))),
        "loss" => net.loss = name.parse().expect("present"),
        _ => panic!("unknown command {verb}"),
    }
}

/// Prints the fleet of each running instance; instances with equal fleets share a line.
fn show(net: &Net) -> String {
    let mut seen: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for (name, _) in net.running() {
        seen.entry(summary(net, name)).or_default().push(name);
    }
    let mut lines: Vec<String> = Vec::new();
    for (summary, names) in seen {
        lines.push(format!("{}: {summary}\n", names.join(" ")));
    }
    lines.sort();
    lines.concat()
}

fn summary(net: &Net, name: &str) -> String {
    let fleet = net.fleet(name);
    let mut by_health: BTreeMap<Health, BTreeSet<&str>> = BTreeMap::new();
    for member in &fleet.members {
        by_health
            .entry(member.health)
            .or_default()
            .insert(member.id.as_str());
    }
    let mut text = String::new();
    for (health, names) in by_health {
        let names: Vec<&str> = names.into_iter().collect();
        let word = format!("{health:?}").to_lowercase();
        write!(text, "{word} {}; ", names.join(" ")).expect("present");
    }
    for target in &fleet.targets {
        let word = format!("{:?}", target.state).to_lowercase();
        write!(text, "target {} {word}; ", target.id).expect("present");
    }
    text.trim_end_matches("; ").to_owned()
}

/// The reference model: a full mesh without a network, where every instance knows at once which
/// instances run and what the list says.
#[derive(Debug, Clone, Default)]
struct Model {
    seed: u64,
    running: BTreeSet<&'static str>,
    frozen: BTreeSet<&'static str>,
    announced_leaving: BTreeSet<&'static str>,
    listed: BTreeMap<&'static str, bool>,
}

impl Model {
    /// Returns the health of `name` that each running instance may report once no fault is left.
    fn expected(&self, name: &'static str) -> Vec<Option<Health>> {
        let is_leaving =
            self.announced_leaving.contains(name) || self.listed.get(name) == Some(&true);
        if self.running.contains(name) {
            return vec![Some(if is_leaving {
                Health::Leaving
            } else {
                Health::Live
            })];
        }
        let failure_is_detectable = self.running.len() > 1
            && self
                .running
                .iter()
                .any(|n| net::region(n) == net::region(name));
        match (failure_is_detectable, self.listed.contains_key(name)) {
            (true, true) => vec![Some(Health::Dead)],
            (true, false) => vec![None],
            // No instance is left that can tell the end of `name` from the loss of the links to its
            // region.
            (false, _) => vec![
                None,
                Some(Health::Suspect),
                Some(Health::Leaving),
                Some(Health::Dead),
            ],
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Start(&'static str),
    Crash(&'static str),
    Freeze(&'static str),
    Thaw(&'static str),
    Leave(&'static str),
    List(&'static str),
    ListLeaving(&'static str),
    Unlist(&'static str),
    ListDown(&'static str),
    ListUp(&'static str),
    Cut(&'static str),
    Join(&'static str),
    Block(&'static str, &'static str),
    Unblock,
    Loss(u8),
    Duplicates(u8),
    Wait(u8),
}

const NAMES: [&str; 10] = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4", "c1", "c2"];

/// Time in which all faults are detected and all dead instances are removed.
const SETTLE_TIME: Duration = Duration::from_secs(240);

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>()
            .no_shrink()
            .prop_map(|seed| {
                let mut model = Self {
                    seed,
                    ..Self::default()
                };
                for name in NAMES {
                    if name.ends_with('4') {
                        continue;
                    }
                    model.running.insert(name);
                    model.listed.insert(name, false);
                }
                model
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let name = || prop::sample::select(&NAMES[..]);
        let region = || prop::sample::select(&["a", "b", "c"][..]);
        prop_oneof![
            2 => name().prop_map(Step::Start),
            2 => name().prop_map(Step::Crash),
            1 => name().prop_map(Step::Freeze),
            1 => name().prop_map(Step::Thaw),
            1 => name().prop_map(Step::Leave),
            1 => name().prop_map(Step::List),
            1 => name().prop_map(Step::ListLeaving),
            1 => name().prop_map(Step::Unlist),
            1 => name().prop_map(Step::ListDown),
            1 => name().prop_map(Step::ListUp),
            1 => region().prop_map(Step::Cut),
            1 => region().prop_map(Step::Join),
            2 => (name(), name()).prop_map(|(a, b)| Step::Block(a, b)),
            1 => Just(Step::Unblock),
            1 => (0..30_u8).prop_map(Step::Loss),
            1 => (0..30_u8).prop_map(Step::Duplicates),
            8 => (0..25_u8).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        let up = |name| state.running.contains(name) && !state.frozen.contains(name);
        match step {
            Step::Crash(name) => state.running.contains(name),
            Step::Freeze(name) | Step::Leave(name) => up(name),
            Step::Thaw(name) => state.frozen.contains(name),
            Step::List(name) => !state.listed.contains_key(name),
            Step::ListLeaving(name) => state.listed.get(name) == Some(&false),
            // The platform removes an instance from its list only after the instance has ended.
            Step::Unlist(name) => !state.running.contains(name),
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Start(name) => {
                state.running.insert(name);
                state.frozen.remove(name);
                state.announced_leaving.remove(name);
            }
            Step::Crash(name) => {
                state.running.remove(name);
                state.frozen.remove(name);
            }
            Step::Freeze(name) => drop(state.frozen.insert(name)),
            Step::Thaw(name) => drop(state.frozen.remove(name)),
            Step::Leave(name) => drop(state.announced_leaving.insert(name)),
            Step::List(name) => drop(state.listed.insert(name, false)),
            Step::ListLeaving(name) => drop(state.listed.insert(name, true)),
            Step::Unlist(name) => drop(state.listed.remove(name)),
            _ => {}
        }
        state
    }
}

struct Simulation {
    net: Net,
    steps: Vec<Step>,
    model: Model,
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(model: &Model) -> Self {
        let mut net = Net::of(model.seed);
        for name in &model.running {
            net.list(name, ServiceState::Live);
            net.start(name);
        }
        let model = model.clone();
        Self {
            net,
            steps: Vec::new(),
            model,
        }
    }

    fn apply(mut state: Self, model: &Model, step: Step) -> Self {
        let net = &mut state.net;
        state.steps.push(step.clone());
        match step {
            Step::Start(name) => net.start(name),
            Step::Crash(name) => net.crash(name),
            Step::Freeze(name) => net.freeze(name),
            Step::Thaw(name) => net.thaw(name),
            Step::Leave(name) => net.leave(name),
            Step::List(name) => net.list(name, ServiceState::Live),
            Step::ListLeaving(name) => net.list(name, ServiceState::Leaving),
            Step::Unlist(name) => net.unlist(name),
            Step::ListDown(name) => drop(net.list_down.insert(name.to_owned())),
            Step::ListUp(name) => drop(net.list_down.remove(name)),
            Step::Cut(region) => drop(net.cut.insert(region.to_owned())),
            Step::Join(region) => drop(net.cut.remove(region)),
            Step::Block(a, b) => drop(net.blocked.insert((a.to_owned(), b.to_owned()))),
            Step::Unblock => net.blocked.clear(),
            Step::Loss(percent) => net.loss = f64::from(percent) / 100.0,
            Step::Duplicates(percent) => net.duplicates = f64::from(percent) / 100.0,
            Step::Wait(seconds) => net.run(Duration::from_secs(seconds.into())),
        }
        state.model = model.clone();
        state
    }

    /// Ends all faults and checks that each running instance agrees with the model.
    fn teardown(mut state: Self) {
        let net = &mut state.net;
        net.loss = 0.0;
        net.duplicates = 0.0;
        net.blocked.clear();
        net.cut.clear();
        net.list_down.clear();
        for name in &state.model.frozen {
            net.thaw(name);
        }
        net.run(SETTLE_TIME);
        for observer in &state.model.running {
            let fleet = net.fleet(observer);
            for name in NAMES {
                let member = fleet.members.iter().find(|m| m.id.as_str() == name);
                let seen = member.map(|m| m.health);
                let expected = state.model.expected(name);
                assert!(
                    expected.contains(&seen),
                    "{observer} reports {name} as {seen:?}, expected one of {expected:?}\n{}{:?}",
                    show(net),
                    state.steps
                );
            }
        }
    }
}

fn config() -> Config {
    Config {
        cases: 16,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn views_converge_to_the_full_mesh_model(sequential 1..40 => Simulation);
}
