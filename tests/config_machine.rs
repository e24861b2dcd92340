//! Compares the configuration tree with a sequential model under concurrent changes, lost answers
//! and store outages.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use futures_util::future::join_all;
use limpetstand::config::Revision;
use limpetstand::config::commit::{DocumentOperation, Outcome, Proposal};
use limpetstand::config::head::ChangeId;
use limpetstand::config::operator::Operator;
use limpetstand::config::path::DocumentPath;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tokio::runtime::{Builder, Runtime};

#[path = "common/mod_config.rs"]
mod common;

use common::config_rig::Rig;

const PATHS: [&str; 5] = ["a", "a/x", "ab", "b/x", "b/y"];
const INSTANCES: [&str; 3] = ["a1", "b1", "c1"];

/// The seed of all cases.
const SEED: u64 = 6;

/// The time allowed until a revision is in force at all instances.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The content of a document: organisations, and a key of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Text {
    organisations: BTreeSet<u8>,
    key_of: Option<u8>,
}

impl Text {
    fn toml(&self, path: &str) -> String {
        let mut text = String::new();
        for o in &self.organisations {
            text += &format!("[organisations.o{o}]\nrate = 1\nburst = 1\n");
        }
        if let Some(o) = self.key_of {
            let (name, hash) = (path.replace('/', "-"), "0".repeat(64));
            text += &format!("[keys.{name}]\norganisation = \"o{o}\"\nhash = \"{hash}\"\n");
        }
        text
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Put(usize, Text),
    Delete(usize),
    /// Rolls back by this number of revisions.
    Rollback(u64),
}

/// A proposal of team `a`, team `b` or root (`None`).
#[derive(Debug, Clone, PartialEq, Eq)]
struct ProposalSpec {
    team: Option<&'static str>,
    id: u32,
    action: Action,
    /// How many revisions before the newest revision the expected revision is.
    if_match: Option<u64>,
}

#[derive(Debug, Clone)]
enum Step {
    /// Concurrent proposals; the first runs at the first instance, and so on.
    Race(Vec<ProposalSpec>),
    /// Repeats the last proposals that were accepted.
    Repeat,
    LoseAnswers(u32),
    LoseWrites(u32),
    LateSwaps(u32),
    BreakWatches,
    Outage,
    Restart(usize),
    Settle,
}

#[derive(Debug, Clone, Default)]
struct Script {
    next_id: u32,
    last: Vec<ProposalSpec>,
}

struct Machine;

fn action() -> impl Strategy<Value = Action> {
    let text = (
        prop::collection::btree_set(0u8..4, 0..3),
        prop::option::of(0u8..4),
    );
    let text = text.prop_map(|(organisations, key_of)| Text {
        organisations,
        key_of,
    });
    prop_oneof![
        6 => (0..PATHS.len(), text).prop_map(|(path, text)| Action::Put(path, text)),
        1 => (0..PATHS.len()).prop_map(Action::Delete),
        1 => (0u64..6).prop_map(Action::Rollback),
    ]
}

fn spec(id: u32) -> impl Strategy<Value = ProposalSpec> {
    let team = prop_oneof![Just(None), Just(Some("a")), Just(Some("b"))];
    let if_match = prop_oneof![3 => Just(None), 1 => (0u64..3).prop_map(Some)];
    (team, action(), if_match).prop_map(move |(team, action, if_match)| ProposalSpec {
        team,
        id,
        action,
        if_match,
    })
}

impl ReferenceStateMachine for Machine {
    type State = Script;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Script> {
        Just(Script::default()).boxed()
    }

    fn transitions(state: &Script) -> BoxedStrategy<Step> {
        let id = state.next_id;
        prop_oneof![
            6 => spec(id).prop_map(|a| Step::Race(vec![a])),
            4 => (spec(id), spec(id + 1)).prop_map(|(a, b)| Step::Race(vec![a, b])),
            3 => (spec(id), spec(id + 1), spec(id + 2))
                .prop_map(|(a, b, c)| Step::Race(vec![a, b, c])),
            2 => Just(Step::Repeat),
            2 => (1u32..4).prop_map(Step::LoseAnswers),
            2 => (1u32..4).prop_map(Step::LoseWrites),
            2 => (1u32..3).prop_map(Step::LateSwaps),
            1 => Just(Step::BreakWatches),
            1 => Just(Step::Outage),
            1 => (0..INSTANCES.len()).prop_map(Step::Restart),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(mut state: Script, step: &Step) -> Script {
        if let Step::Race(specs) = step {
            state.next_id += 3;
            state.last.clone_from(specs);
        }
        state
    }

    fn preconditions(state: &Script, step: &Step) -> bool {
        !matches!(step, Step::Repeat) || !state.last.is_empty()
    }
}

/// The outcome of a proposal, without messages.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OutcomeKind {
    Accepted(u64),
    Refused,
    Forbidden,
    Conflict(u64),
}

/// The model: a tree that applies proposals one after another and keeps a copy of each revision.
#[derive(Debug, Clone, Default)]
struct Model {
    revisions: Vec<BTreeMap<usize, Text>>,
    written: BTreeMap<usize, u64>,
    accepted: BTreeMap<u32, u64>,
}

impl Model {
    fn revision(&self) -> u64 {
        self.revisions.len() as u64
    }

    fn at(&self, revision: u64) -> BTreeMap<usize, Text> {
        match revision {
            0 => BTreeMap::new(),
            n => self.revisions[n as usize - 1].clone(),
        }
    }

    fn owns(spec: &ProposalSpec, path: usize) -> bool {
        match spec.team {
            None => true,
            Some(root) => PATHS[path] == root || PATHS[path].starts_with(&format!("{root}/")),
        }
    }

    /// Applies a proposal that is based on the revision `base`.
    fn apply(&mut self, spec: &ProposalSpec, base: u64, newest: u64) -> OutcomeKind {
        if let Some(revision) = self.accepted.get(&spec.id) {
            return OutcomeKind::Accepted(*revision);
        }
        let current = self.at(self.revision());
        let mut next = current.clone();
        let mut touched = BTreeSet::new();
        match &spec.action {
            Action::Put(path, text) => {
                next.insert(*path, text.clone());
                touched.insert(*path);
            }
            Action::Delete(path) => {
                next.remove(path);
                touched.insert(*path);
            }
            Action::Rollback(back) => {
                let earlier = self.at(newest.saturating_sub(*back));
                for path in 0..PATHS.len() {
                    if !Self::owns(spec, path) || current.get(&path) == earlier.get(&path) {
                        continue;
                    }
                    touched.insert(path);
                    next.remove(&path);
                    if let Some(text) = earlier.get(&path) {
                        next.insert(path, text.clone());
                    }
                }
            }
        }
        if touched.iter().any(|p| !Self::owns(spec, *p)) {
            return OutcomeKind::Forbidden;
        }
        for path in &touched {
            let written = self.written.get(path).copied().unwrap_or_default();
            if written > base {
                return OutcomeKind::Conflict(written);
            }
            if !current.contains_key(path) && !next.contains_key(path) {
                return OutcomeKind::Refused;
            }
        }
        if !is_valid(&next) {
            return OutcomeKind::Refused;
        }
        if touched
            .iter()
            .any(|p| defines_key_of_other_team(spec, &next, *p))
        {
            return OutcomeKind::Forbidden;
        }
        self.revisions.push(next);
        for path in touched {
            self.written.insert(path, self.revision());
        }
        self.accepted.insert(spec.id, self.revision());
        OutcomeKind::Accepted(self.revision())
    }
}

fn is_valid(tree: &BTreeMap<usize, Text>) -> bool {
    let mut names = BTreeSet::new();
    for text in tree.values() {
        if !text.organisations.iter().all(|o| names.insert(*o)) {
            return false;
        }
    }
    tree.values()
        .all(|t| t.key_of.is_none_or(|o| names.contains(&o)))
}

fn defines_key_of_other_team(
    spec: &ProposalSpec,
    tree: &BTreeMap<usize, Text>,
    path: usize,
) -> bool {
    let Some(key_of) = tree.get(&path).and_then(|t| t.key_of) else {
        return false;
    };
    let own = |(p, t): (&usize, &Text)| Model::owns(spec, *p) && t.organisations.contains(&key_of);
    !tree.iter().any(own)
}

/// Finds an order of the proposals in which the model has the same outcomes.
///
/// A proposal without an expected revision is based on the revision before the race or on the
/// newest revision at its turn.
fn find_order(
    model: &Model,
    specs: &[ProposalSpec],
    kinds: &[OutcomeKind],
    left: &[usize],
    start: u64,
) -> Option<Model> {
    if left.is_empty() {
        return Some(model.clone());
    }
    for &i in left {
        let spec = &specs[i];
        let base = match spec.if_match {
            Some(back) => vec![start.saturating_sub(back)],
            None => vec![start, model.revision()],
        };
        for base in base {
            let mut next = model.clone();
            if next.apply(spec, base, start) != kinds[i] {
                continue;
            }
            let rest: Vec<usize> = left.iter().copied().filter(|j| *j != i).collect();
            let found = find_order(&next, specs, kinds, &rest, start);
            if found.is_some() {
                return found;
            }
        }
    }
    None
}

struct Fleet {
    runtime: Runtime,
    rig: Rig,
    model: Model,
    last: (Vec<ProposalSpec>, u64),
    in_force: BTreeMap<String, u64>,
}

impl Fleet {
    fn race(&mut self, specs: &[ProposalSpec], start: u64) {
        let mut proposals = Vec::new();
        for (spec, name) in specs.iter().zip(INSTANCES) {
            let proposal = proposal(spec, start);
            let committer = &self.rig.instances[name].committer;
            proposals.push(async move { committer.commit(&proposal).await });
        }
        let outcomes = self.runtime.block_on(join_all(proposals));
        let mut kinds = Vec::new();
        for outcome in outcomes {
            kinds.push(match outcome {
                Outcome::Accepted(revision) => OutcomeKind::Accepted(revision.0),
                Outcome::Refused(_) => OutcomeKind::Refused,
                Outcome::Forbidden(_) => OutcomeKind::Forbidden,
                Outcome::Conflict(conflict) => OutcomeKind::Conflict(conflict.revision.0),
                other => panic!("{other:?} although the store is up"),
            });
        }
        let order: Vec<usize> = (0..specs.len()).collect();
        let found = find_order(&self.model, specs, &kinds, &order, start);
        self.model = found.unwrap_or_else(|| panic!("no order of {specs:?} gives {kinds:?}"));
    }

    fn start(&mut self, i: usize) {
        let _entered = self.runtime.enter();
        self.rig.kill(INSTANCES[i]);
        self.rig.start(INSTANCES[i]);
        let delay = Duration::from_millis([1, 3, 7][i]);
        self.rig.instances[INSTANCES[i]]
            .store
            .faults(|f| f.delay = delay);
        self.in_force.remove(INSTANCES[i]);
    }

    fn check_revisions_never_decrease(&mut self) {
        for (name, revision) in self.rig.revisions() {
            let before = self.in_force.insert(name.to_owned(), revision);
            assert!(
                before <= Some(revision),
                "{name} went back to revision {revision}"
            );
        }
    }

    fn outage(&mut self) {
        self.rig.store.faults(|f| f.down = true);
        let spec = ProposalSpec {
            team: None,
            id: u32::MAX,
            action: Action::Delete(0),
            if_match: None,
        };
        let proposal = proposal(&spec, 0);
        let committer = &self.rig.instances[INSTANCES[0]].committer;
        let outcome = self.runtime.block_on(committer.commit(&proposal));
        assert!(matches!(outcome, Outcome::Unreachable(_)), "{outcome:?}");
        self.rig.store.faults(|f| f.down = false);
    }

    /// Clears the faults and checks that all accepted changes are in force at all instances.
    fn settle(&mut self) {
        self.rig.store.faults(|f| {
            f.lose_answers = 0;
            f.lose_writes = 0;
            f.late_swaps = 0;
        });
        self.runtime.block_on(self.rig.run(IN_FORCE_TIMEOUT));
        let newest = self.model.revision();
        for (name, revision) in self.rig.revisions() {
            assert_eq!(revision, newest, "{name}");
        }
        let head = self.rig.instances[INSTANCES[0]].committer.head();
        let head = self.runtime.block_on(head).expect("present");
        assert_eq!(head.revision, Revision(newest));
        assert_eq!(head.changes.len() as u64, newest);
        let tree = self.rig.instances[INSTANCES[0]].committer.tree(&head);
        let tree = self.runtime.block_on(tree).expect("present");
        let mut texts = BTreeMap::new();
        for (path, text) in tree.iter() {
            texts.insert(path.to_string(), text.to_string());
        }
        let mut expected = BTreeMap::new();
        for (path, text) in self.model.at(newest) {
            expected.insert(PATHS[path].to_owned(), text.toml(PATHS[path]));
        }
        assert_eq!(texts, expected);
    }
}

fn proposal(spec: &ProposalSpec, newest: u64) -> Proposal {
    let operator = match spec.team {
        None => Operator::root(),
        Some(team) => Operator::of_team(team, team),
    };
    let path = |p: &usize| DocumentPath::parse(PATHS[*p]).expect("present");
    let operation = match &spec.action {
        Action::Put(p, text) => DocumentOperation::Put(path(p), text.toml(PATHS[*p]).into()),
        Action::Delete(p) => DocumentOperation::Delete(path(p)),
        Action::Rollback(back) => {
            DocumentOperation::Rollback(Revision(newest.saturating_sub(*back)))
        }
    };
    let id = ChangeId::parse(&format!("id-{}", spec.id)).expect("present");
    let base = spec
        .if_match
        .map(|back| Revision(newest.saturating_sub(back)));
    Proposal::new(operator, id, operation).if_match(base)
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Fleet;
    type Reference = Machine;

    fn init_test(_: &Script) -> Fleet {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("present");
        let mut fleet = Fleet {
            runtime,
            rig: Rig::new(),
            model: Model::default(),
            last: (Vec::new(), 0),
            in_force: BTreeMap::new(),
        };
        for i in 0..INSTANCES.len() {
            fleet.start(i);
        }
        fleet
    }

    fn apply(mut fleet: Fleet, _: &Script, step: Step) -> Fleet {
        match step {
            Step::Race(specs) => {
                let start = fleet.model.revision();
                fleet.race(&specs, start);
                fleet.last = (specs, start);
            }
            Step::Repeat => {
                let (specs, start) = fleet.last.clone();
                let accepted = |a: &ProposalSpec| fleet.model.accepted.contains_key(&a.id);
                let specs: Vec<ProposalSpec> = specs.into_iter().filter(accepted).collect();
                fleet.race(&specs, start);
            }
            Step::LoseAnswers(n) => fleet.rig.store.faults(|f| f.lose_answers = n),
            Step::LoseWrites(n) => fleet.rig.store.faults(|f| f.lose_writes = n),
            Step::LateSwaps(n) => fleet.rig.store.faults(|f| f.late_swaps = n),
            Step::BreakWatches => fleet.rig.store.break_watches(),
            Step::Outage => fleet.outage(),
            Step::Restart(i) => fleet.start(i),
            Step::Settle => fleet.settle(),
        }
        fleet.check_revisions_never_decrease();
        fleet
    }

    fn teardown(mut fleet: Fleet) {
        fleet.settle();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn concurrent_changes_match_the_sequential_model(sequential 1..24 => Machine);
}
