//! Tests that the floors in use never add up to more than the whole, and the uses of the tolerance to
//! no more than the fleet may use in a window.

use std::time::Duration;

use limpetstand::id::{InstanceId, RegionId};
use limpetstand::limit::account::RateLimit;
use limpetstand::limit::amount::Part;
use limpetstand::limit::ledger::{HolderId, Ledger, LedgerError};
use limpetstand::limit::ledger_client::{
    ABSENT_CLOSE_DELAY, ABSENT_REGION_CLOSE_DELAY, CLOSED_PART_DELAY, LedgerClient, Proposal,
    ProposalInputs,
};
use limpetstand::limit::loan::MAX_TERM;
use limpetstand::limit::tolerance::{Taken, Tolerance, ToleranceUse};
use limpetstand::store::{Precondition, StoreRevision};
use proptest::collection::vec;
use proptest::prelude::*;

const INSTANCES: usize = 4;

/// An organisation's limit, and a tolerance of 10,000 tokens in addition.
const LIMIT: RateLimit = RateLimit { rate: 1, burst: 1 };
const TOLERANCE: Tolerance = Tolerance {
    overshoot: 0.0,
    slack: 10_000.0,
    window: Duration::from_secs(60),
};

/// How a compare-and-swap is delivered.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Confirmed,
    ConfirmationLost,
    /// The swap reaches the store later, and its answer is lost.
    Late,
    NeverSent,
}

#[derive(Debug, Clone)]
enum Step {
    Read(usize),
    Write(usize, Delivery, u8),
    ApplyLate,
    Wait(u64),
    Restart(usize),
    Leave(usize),
    /// The other instances have dropped the loans of an instance's ended incarnations.
    Unlock(usize),
    /// An instance uses what it may of the tolerance.
    Use(usize),
    /// A copy is made of the store.
    Copy,
    /// The store comes back from the copy.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let i = 0..INSTANCES;
    let delivery = prop_oneof![
        6 => Just(Delivery::Confirmed),
        1 => Just(Delivery::ConfirmationLost),
        1 => Just(Delivery::Late),
        1 => Just(Delivery::NeverSent),
    ];
    prop_oneof![
        6 => i.clone().prop_map(Step::Read),
        8 => (i.clone(), delivery, 0u8..4)
            .prop_map(|(i, delivery, lent)| Step::Write(i, delivery, lent)),
        2 => Just(Step::ApplyLate),
        3 => (1u64..120).prop_map(Step::Wait),
        1 => i.clone().prop_map(Step::Restart),
        1 => i.clone().prop_map(Step::Leave),
        2 => i.prop_map(Step::Unlock),
    ]
}

/// Returns whether the instances stay the same in a step. The part of an instance that has ended is
/// free again only after [`CLOSED_PART_DELAY`].
fn keeps_instances(step: &Step) -> bool {
    !matches!(step, Step::Restart(_) | Step::Leave(_))
}

fn step_with_copies() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ]
}

fn step_with_uses() -> impl Strategy<Value = Step> {
    let i = 0..INSTANCES;
    prop_oneof![
        8 => step_with_copies(),
        4 => (1u64..10).prop_map(Step::Wait),
        6 => i.clone().prop_map(Step::Restart),
        12 => i.prop_map(Step::Use),
    ]
}

struct Fleet {
    now: Duration,
    clients: Vec<LedgerClient>,
    tolerance_uses: Vec<ToleranceUse>,
    /// Times at which tokens of the tolerance were used.
    used: Vec<(Duration, u64)>,
    restarts: Vec<u64>,
    /// Floors and end times of ended incarnations, whose loans may still be in use.
    ended: Vec<(usize, Part, Duration)>,
    /// Whether a restarted instance keeps its name and inherits the part.
    inherits: bool,
    stored: Option<(StoreRevision, Ledger)>,
    revision: StoreRevision,
    /// The copy that the store may come back from.
    copy: Option<(StoreRevision, Ledger)>,
    /// Time by which each instance has read and written the ledger after the store came back.
    confirmed_by: Option<Duration>,
    late_swaps: Vec<Proposal>,
}

impl Fleet {
    fn new(inherits: bool) -> Self {
        let mut fleet = Self {
            inherits,
            now: Duration::ZERO,
            clients: Vec::new(),
            tolerance_uses: Vec::new(),
            used: Vec::new(),
            restarts: vec![0; INSTANCES],
            ended: Vec::new(),
            stored: None,
            revision: StoreRevision::default(),
            copy: None,
            confirmed_by: None,
            late_swaps: Vec::new(),
        };
        for i in 0..INSTANCES {
            fleet.clients.push(fleet.new_client(i));
            fleet.tolerance_uses.push(ToleranceUse::default());
        }
        fleet
    }

    fn new_client(&self, i: usize) -> LedgerClient {
        let incarnation = (i as u64) + 100 * self.restarts[i];
        let client = LedgerClient::of(holder(&self.name(i), incarnation), region(i));
        if self.inherits {
            client.inheriting()
        } else {
            client
        }
    }

    fn name(&self, i: usize) -> String {
        if self.inherits {
            return format!("i{i}");
        }
        format!("i{i}-{}", self.restarts[i])
    }

    fn proposal_inputs_of(&mut self, i: usize, lent: u8) -> ProposalInputs {
        let mut inputs = self.proposal_inputs(lent);
        inputs.wants_tolerance = self.tolerance_uses[i].wants_mark(self.now, &TOLERANCE);
        inputs.mark_time = Some(TOLERANCE.mark_time());
        inputs
    }

    fn proposal_inputs(&self, lent: u8) -> ProposalInputs {
        let listed = (0..INSTANCES).map(|i| (InstanceId::from(self.name(i)), region(i)));
        ProposalInputs {
            listed: listed.collect(),
            holders: INSTANCES,
            required_floor: Part::one_of(INSTANCES * 2).mul_div_floor(lent.into(), 2),
            may_create: true,
            era: self.revision.era,
            wants_tolerance: false,
            mark_time: None,
        }
    }

    fn read(&mut self, i: usize) {
        let stored = self.stored.clone();
        self.clients[i].apply_read(self.now, stored);
    }

    fn swap(&mut self, proposal: &Proposal) -> bool {
        let matches = match (proposal.expect, &self.stored) {
            (Precondition::Absent, None) => true,
            // The store compares numbers only.
            (Precondition::Revision(r), Some((stored, _))) => r.number == stored.number,
            _ => false,
        };
        if matches {
            let stored = Ledger::from_bytes(&proposal.ledger.to_bytes().expect("encoded"));
            assert_eq!(
                stored.as_ref(),
                Ok(&proposal.ledger),
                "what is stored can be read"
            );
            self.revision.number += 1;
            self.stored = Some((self.revision, proposal.ledger.clone()));
        }
        matches
    }

    fn send(&mut self, i: usize, proposal: Proposal, delivery: Delivery) {
        match delivery {
            Delivery::NeverSent => self.clients[i].withdraw(),
            Delivery::Late => self.late_swaps.push(proposal),
            Delivery::ConfirmationLost => {
                self.swap(&proposal);
            }
            Delivery::Confirmed => {
                if self.swap(&proposal) {
                    self.clients[i].confirm_written(self.now, self.revision, proposal);
                } else {
                    self.read(i);
                }
            }
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Read(i) => {
                self.read(i);
                self.follow(i);
            }
            Step::Use(i) => {
                self.use_tolerance(i);
                self.apply(Step::Read(i));
                self.apply(Step::Write(i, Delivery::Confirmed, 0));
                self.use_tolerance(i);
            }
            Step::Write(i, delivery, lent) => {
                let proposal_inputs = self.proposal_inputs_of(i, lent);
                if let Some(proposal) = self.clients[i].propose(self.now, &proposal_inputs) {
                    self.follow(i);
                    self.send(i, proposal, delivery);
                }
                self.follow(i);
            }
            Step::ApplyLate => {
                if let Some(proposal) = self.late_swaps.pop() {
                    self.swap(&proposal);
                }
            }
            Step::Unlock(i) => self.unlock(i),
            Step::Wait(seconds) => self.wait(Duration::from_secs(seconds)),
            Step::Copy => self.copy = self.stored.clone(),
            Step::Restore => self.restore(),
            Step::Restart(i) => self.restart(i),
            Step::Leave(i) => {
                let proposal_inputs = self.proposal_inputs_of(i, 0);
                if let Some(p) = self.clients[i].propose_to_leave(&proposal_inputs) {
                    self.follow(i);
                    self.send(i, p, Delivery::Confirmed);
                    self.restart(i);
                }
            }
        }
    }

    fn follow(&mut self, i: usize) {
        self.tolerance_uses[i].follow(self.now, &mut self.clients[i]);
    }

    /// Lets an instance use as much of the tolerance as it may.
    fn use_tolerance(&mut self, i: usize) {
        let organisation = "o1".into();
        let mut take = |tokens| {
            self.tolerance_uses[i].take(self.now, &organisation, tokens, LIMIT, &TOLERANCE)
        };
        for tokens in [5_000, 1_000, 200, 50, 10, 1] {
            while take(tokens) == Taken::Yes {
                self.used.push((self.now, tokens));
            }
        }
    }

    /// Returns the tokens of the tolerance that were used in the window that ends now.
    fn used_in_window(&self) -> u64 {
        let recent = |(at, _): &&(Duration, u64)| *at + TOLERANCE.window > self.now;
        let used = self.used.iter().filter(recent);
        used.map(|(_, tokens)| tokens).sum()
    }

    fn wait(&mut self, time: Duration) {
        if self.confirmed_by.is_some_and(|by| by < self.now + time) {
            self.confirmed_by = None;
            for i in 0..INSTANCES {
                self.apply(Step::Read(i));
                self.apply(Step::Write(i, Delivery::Confirmed, 0));
            }
        }
        self.now += time;
    }

    fn restore(&mut self) {
        let Some((revision, ledger)) = self.copy.clone() else {
            return;
        };
        self.revision.era += 1;
        self.revision.number = revision.number;
        self.stored = Some((self.revision, ledger));
        let by = self.now + CLOSED_PART_DELAY / 2;
        self.confirmed_by = Some(self.confirmed_by.map_or(by, |before| before.min(by)));
    }

    fn unlock(&mut self, i: usize) {
        if self.clients[i].has_inherited_part() {
            self.ended.retain(|(ended, _, _)| *ended != i);
            self.clients[i].unlock_inherited_part();
        }
    }

    fn restart(&mut self, i: usize) {
        self.ended.push((i, self.clients[i].floor(), self.now));
        self.restarts[i] += 1;
        self.clients[i] = self.new_client(i);
        self.tolerance_uses[i] = ToleranceUse::default();
    }

    /// Returns what may be in use: floors, and loans of ended incarnations.
    fn in_use(&self) -> Part {
        let mut sum = Part::ZERO;
        for client in &self.clients {
            sum = sum.saturating_add(client.floor());
        }
        for (_, floor, end) in &self.ended {
            if self.now - *end < MAX_TERM {
                sum = sum.saturating_add(*floor);
            }
        }
        sum
    }
}

fn holder(name: &str, incarnation: u64) -> HolderId {
    HolderId {
        instance: name.into(),
        incarnation,
    }
}

fn region(i: usize) -> RegionId {
    RegionId::from(format!("r{}", i % 2))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn floors_in_use_never_add_up_to_more_than_the_whole(steps in vec(step(), 1..120)) {
        let mut fleet = Fleet::new(false);
        for step in steps {
            let step_text = format!("{step:?}");
            fleet.apply(step);
            prop_assert!(fleet.in_use() <= Part::WHOLE, "{:?} after {}", fleet.in_use(), step_text);
        }
    }

    #[test]
    fn inherited_floors_in_use_never_add_up_to_more_than_the_whole(
        steps in vec(step(), 1..120),
    ) {
        let mut fleet = Fleet::new(true);
        for step in steps {
            let step_text = format!("{step:?}");
            fleet.apply(step);
            prop_assert!(fleet.in_use() <= Part::WHOLE, "{:?} after {}", fleet.in_use(), step_text);
        }
    }

    #[test]
    fn floors_stay_within_the_whole_while_the_store_comes_back_from_copies(
        steps in vec(step_with_copies(), 1..120),
        inherits in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(inherits);
        for step in steps {
            let step_text = format!("{step:?}");
            fleet.apply(step);
            prop_assert!(fleet.in_use() <= Part::WHOLE, "{:?} after {}", fleet.in_use(), step_text);
        }
    }

    /// Guards against processes that use anew what earlier ones of their instance, or other holders
    /// of their part, have used within the window.
    #[test]
    fn uses_of_the_tolerance_stay_within_a_window(
        steps in vec(step_with_uses(), 1..200),
        inherits in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(inherits);
        for _ in 0..10 {
            for i in 0..INSTANCES {
                fleet.apply(Step::Read(i));
                fleet.apply(Step::Write(i, Delivery::Confirmed, 0));
            }
            fleet.apply(Step::Wait(10));
        }
        for step in steps {
            let step_text = format!("{step:?}");
            fleet.apply(step);
            let used = fleet.used_in_window();
            prop_assert!(used <= 10_000, "{} after {}", used, step_text);
        }
    }

    #[test]
    fn a_restored_ledger_converges_to_the_floors_before(
        steps in vec(step().prop_filter("stays", keeps_instances), 0..30),
    ) {
        let mut fleet = Fleet::new(false);
        let settle = |fleet: &mut Fleet| {
            for i in 0..INSTANCES {
                fleet.apply(Step::Read(i));
                fleet.apply(Step::Write(i, Delivery::Confirmed, 0));
            }
        };
        settle(&mut fleet);
        fleet.apply(Step::Copy);
        for step in steps {
            fleet.apply(step);
        }
        for _ in 0..40 {
            settle(&mut fleet);
            fleet.apply(Step::Wait(10));
        }
        let before: Vec<Part> = fleet.clients.iter().map(LedgerClient::floor).collect();
        fleet.apply(Step::Restore);
        for (i, before) in before.iter().enumerate() {
            fleet.apply(Step::Read(i));
            prop_assert_eq!(fleet.clients[i].floor(), *before, "right after the read");
        }
        for _ in 0..3 {
            settle(&mut fleet);
        }
        let sum = fleet.in_use();
        prop_assert!(sum > Part::WHOLE.mul_div_floor(4, 5), "{:?}: {:?}", sum, fleet.stored);
    }

    #[test]
    fn without_faults_the_fleet_converges_to_nearly_the_whole(steps in vec(step(), 1..60)) {
        let mut fleet = Fleet::new(false);
        for step in steps {
            fleet.apply(step);
        }
        for _ in 0..60 {
            for i in 0..INSTANCES {
                fleet.apply(Step::Read(i));
                fleet.apply(Step::Write(i, Delivery::Confirmed, 0));
            }
            fleet.apply(Step::Wait(10));
        }
        prop_assert!(fleet.in_use() > Part::WHOLE.mul_div_floor(4, 5), "{:?}", fleet.in_use());
        for client in &fleet.clients {
            prop_assert!(client.floor() > Part::one_of(INSTANCES * 3), "{:?}", fleet.stored);
        }
    }
}

#[test]
fn instances_restarted_under_their_names_regain_the_whole_at_once() {
    let mut fleet = Fleet::new(true);
    let round = |fleet: &mut Fleet| {
        for i in 0..INSTANCES {
            fleet.apply(Step::Read(i));
            fleet.apply(Step::Write(i, Delivery::Confirmed, 0));
        }
    };
    for _ in 0..4 {
        round(&mut fleet);
    }
    for i in 0..INSTANCES {
        fleet.apply(Step::Restart(i));
    }
    round(&mut fleet);
    for i in 0..INSTANCES {
        assert!(
            fleet.clients[i].floor().is_zero(),
            "loans may still be in use"
        );
        fleet.apply(Step::Unlock(i));
        assert!(fleet.clients[i].floor() > Part::one_of(INSTANCES * 2));
    }
}

#[test]
fn a_lost_ledger_is_recreated_from_a_copy() {
    let mut fleet = Fleet::new(false);
    for _ in 0..3 {
        for i in 0..INSTANCES {
            fleet.apply(Step::Read(i));
            fleet.apply(Step::Write(i, Delivery::Confirmed, 0));
        }
    }
    let before = fleet.stored.take();
    fleet.restart(0);
    let (revision, ledger) = fleet.clients[1]
        .copy()
        .map(|(r, l)| (r, l.clone()))
        .unwrap();
    fleet.clients[0].apply_copy(fleet.now, revision, ledger);
    fleet.apply(Step::Write(0, Delivery::Confirmed, 0));
    let (_, recreated) = fleet.stored.clone().unwrap();
    for held in before.unwrap().1.holders() {
        assert_eq!(recreated.part(&held.id), held.part);
    }
    fleet.apply(Step::Read(2));
    assert!(fleet.in_use() <= Part::WHOLE);
}

#[test]
fn a_region_missing_from_the_list_keeps_its_floors_longer() {
    let mut fleet = Fleet::new(false);
    for i in 0..INSTANCES {
        fleet.apply(Step::Read(i));
        fleet.apply(Step::Write(i, Delivery::Confirmed, 0));
    }
    let mut proposal_inputs = fleet.proposal_inputs(0);
    proposal_inputs.listed.retain(|(_, r)| *r == region(0));
    let closing_after = |fleet: &mut Fleet, wait: Duration| {
        fleet.now += wait;
        fleet.apply(Step::Read(0));
        let proposal = fleet.clients[0].propose(fleet.now, &proposal_inputs);
        let Some(proposal) = proposal else {
            return 0;
        };
        let closing = proposal.ledger.holders().iter().filter(|h| h.closing);
        let closing = closing.count();
        fleet.clients[0].withdraw();
        closing
    };
    assert_eq!(closing_after(&mut fleet, Duration::ZERO), 0);
    assert_eq!(
        closing_after(&mut fleet, ABSENT_CLOSE_DELAY + CLOSED_PART_DELAY),
        0
    );
    assert_eq!(closing_after(&mut fleet, ABSENT_REGION_CLOSE_DELAY), 2);
}

#[test]
fn an_invalid_ledger_is_rejected() {
    let read = |text: &str| Ledger::from_bytes(text.as_bytes());
    let one = r#"{"instance":"a","incarnation":1,"region":"r","part":600000000}"#;
    let two = r#"{"instance":"b","incarnation":1,"region":"r","part":400000001}"#;
    assert!(read(&format!(r#"{{"format":1,"holders":[{one}]}}"#)).is_ok());
    let both = format!(r#"{{"format":1,"holders":[{one},{two}]}}"#);
    assert_eq!(read(&both), Err(LedgerError::ExceedsWhole));
    let twice = format!(r#"{{"format":1,"holders":[{one},{one}]}}"#);
    assert_eq!(read(&twice), Err(LedgerError::DuplicateHolder("a".into())));
    assert_eq!(
        read(r#"{"format":2,"holders":[]}"#),
        Err(LedgerError::UnsupportedFormat(2))
    );
    assert!(matches!(read("{}"), Err(LedgerError::Malformed(_))));
}

/// A part is set aside under the name of a holder that had to set aside another part before.
#[test]
fn parts_set_aside_twice_under_one_name_can_be_read() {
    let (own, next) = (holder("i1", 1), holder("i1", 2));
    let mut ledger = Ledger::in_era(0);
    ledger.join(&own, &region(0));
    ledger.claim(&own, Part::one_of(2));
    ledger.confirm(&own, 0);
    ledger.begin_era(1);
    ledger.reclaim(&own, Part::one_of(4));
    ledger.confirm(&own, 1);
    ledger.begin_era(2);
    assert_eq!(ledger.inherit(&next, &region(0)), Part::ZERO);
    let read = Ledger::from_bytes(&ledger.to_bytes().expect("encoded"));
    assert_eq!(read, Ok(ledger.clone()));
    ledger.reclaim(&next, Part::one_of(2));
    assert_eq!(ledger.part(&next), Part::one_of(2));
}

/// Guards against a ledger of a build before the marks that cannot be read, or reads as marked.
#[test]
fn a_ledger_without_marks_reads_as_unmarked_and_is_written_as_it_was() {
    let text = concat!(
        r#"{"format":1,"era":3,"holders":[{"instance":"a","incarnation":1,"region":"r","#,
        r#""part":600000000,"confirmed_in":3}]}"#
    );
    let mut ledger = Ledger::from_bytes(text.as_bytes()).expect("a ledger");
    assert!(!ledger.is_tolerance_marked(&"a".into()));
    assert_eq!(ledger.to_bytes().expect("encoded"), text.as_bytes());
    ledger.mark_tolerance(&holder("a", 1), true);
    let marked = Ledger::from_bytes(&ledger.to_bytes().expect("encoded")).expect("a ledger");
    assert!(marked.is_tolerance_marked(&"a".into()));
}
