//! The ledger of limits: the floors in use never add up to more than the whole.

use std::time::Duration;

use limpetstand::id::{InstanceId, RegionId};
use limpetstand::limit::amount::Part;
use limpetstand::limit::ledger::{HolderId, Ledger, LedgerError};
use limpetstand::limit::loan::MAX_TERM;
use limpetstand::limit::share::{
    ABSENT_REGION_TIME, ABSENT_TIME, HOLD_BACK, Proposal, Share, Surroundings,
};
use limpetstand::store::Expect;
use proptest::collection::vec;
use proptest::prelude::*;

const INSTANCES: usize = 4;

/// How a swap ends.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    /// It takes effect later, if it still can, and its answer is lost.
    Late,
    NeverSent,
}

#[derive(Debug, Clone)]
enum Step {
    Read(usize),
    Write(usize, Fate, u8),
    Land,
    Wait(u64),
    Replace(usize),
    Leave(usize),
    /// The others have dropped the loans of an instance's ended runs.
    Release(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let i = 0..INSTANCES;
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Late),
        1 => Just(Fate::NeverSent),
    ];
    prop_oneof![
        6 => i.clone().prop_map(Step::Read),
        8 => (i.clone(), fate, 0u8..4).prop_map(|(i, fate, lent)| Step::Write(i, fate, lent)),
        2 => Just(Step::Land),
        3 => (1u64..120).prop_map(Step::Wait),
        1 => i.clone().prop_map(Step::Replace),
        1 => i.clone().prop_map(Step::Leave),
        2 => i.prop_map(Step::Release),
    ]
}

struct Fleet {
    now: Duration,
    shares: Vec<Share>,
    runs: Vec<u64>,
    /// Floors of ended runs, with the time of their end: loans of theirs may still be in use.
    ended: Vec<(usize, Part, Duration)>,
    /// Whether a run takes the place of the one before over, under the same name.
    inherits: bool,
    stored: Option<(i64, Ledger)>,
    revision: i64,
    late: Vec<Proposal>,
}

impl Fleet {
    fn new(inherits: bool) -> Self {
        let mut fleet = Self {
            inherits,
            now: Duration::ZERO,
            shares: Vec::new(),
            runs: vec![0; INSTANCES],
            ended: Vec::new(),
            stored: None,
            revision: 0,
            late: Vec::new(),
        };
        for i in 0..INSTANCES {
            fleet.shares.push(fleet.fresh(i));
        }
        fleet
    }

    fn fresh(&self, i: usize) -> Share {
        let run = (i as u64) + 100 * self.runs[i];
        let share = Share::of(holder(&self.name(i), run), region(i));
        if self.inherits {
            share.taking_over()
        } else {
            share
        }
    }

    fn name(&self, i: usize) -> String {
        if self.inherits {
            return format!("i{i}");
        }
        format!("i{i}-{}", self.runs[i])
    }

    fn around(&self, lent: u8) -> Surroundings {
        let listed = (0..INSTANCES).map(|i| (InstanceId::from(self.name(i)), region(i)));
        Surroundings {
            listed: listed.collect(),
            required: Part::one_of(INSTANCES * 2).times(lent.into(), 2),
            may_create: true,
        }
    }

    fn read(&mut self, i: usize) {
        let stored = self.stored.clone();
        self.shares[i].learn(self.now, stored);
    }

    fn swap(&mut self, proposal: &Proposal) -> bool {
        let holds = match (proposal.expect, &self.stored) {
            (Expect::Absent, None) => true,
            (Expect::Revision(r), Some((stored, _))) => r == *stored,
            _ => false,
        };
        if holds {
            self.revision += 1;
            self.stored = Some((self.revision, proposal.ledger.clone()));
        }
        holds
    }

    fn send(&mut self, i: usize, proposal: Proposal, fate: Fate) {
        match fate {
            Fate::NeverSent => self.shares[i].withdraw(),
            Fate::Late => self.late.push(proposal),
            Fate::AnswerLost => {
                self.swap(&proposal);
            }
            Fate::Answered => {
                if self.swap(&proposal) {
                    self.shares[i].wrote(self.now, self.revision, proposal);
                } else {
                    self.read(i);
                }
            }
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Read(i) => self.read(i),
            Step::Write(i, fate, lent) => {
                let around = self.around(lent);
                if let Some(proposal) = self.shares[i].propose(self.now, &around) {
                    self.send(i, proposal, fate);
                }
            }
            Step::Land => {
                if let Some(proposal) = self.late.pop() {
                    self.swap(&proposal);
                }
            }
            Step::Release(i) => self.release(i),
            Step::Wait(seconds) => self.now += Duration::from_secs(seconds),
            Step::Replace(i) => self.replace(i),
            Step::Leave(i) => {
                let around = self.around(0);
                if let Some(p) = self.shares[i].propose_to_leave(&around) {
                    self.send(i, p, Fate::Answered);
                    self.replace(i);
                }
            }
        }
    }

    fn release(&mut self, i: usize) {
        if self.shares[i].has_inherited() {
            self.ended.retain(|(ended, _, _)| *ended != i);
            self.shares[i].release_inherited();
        }
    }

    fn replace(&mut self, i: usize) {
        self.ended.push((i, self.shares[i].floor(), self.now));
        self.runs[i] += 1;
        self.shares[i] = self.fresh(i);
    }

    /// Returns what may be in use: floors, and loans of runs that have ended.
    fn in_use(&self) -> Part {
        let mut sum = Part::ZERO;
        for share in &self.shares {
            sum = sum.plus(share.floor());
        }
        for (_, floor, end) in &self.ended {
            if self.now - *end < MAX_TERM {
                sum = sum.plus(*floor);
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
            let shown = format!("{step:?}");
            fleet.apply(step);
            prop_assert!(fleet.in_use() <= Part::WHOLE, "{:?} after {}", fleet.in_use(), shown);
        }
    }

    #[test]
    fn inherited_floors_in_use_never_add_up_to_more_than_the_whole(
        steps in vec(step(), 1..120),
    ) {
        let mut fleet = Fleet::new(true);
        for step in steps {
            let shown = format!("{step:?}");
            fleet.apply(step);
            prop_assert!(fleet.in_use() <= Part::WHOLE, "{:?} after {}", fleet.in_use(), shown);
        }
    }

    #[test]
    fn a_quiet_fleet_comes_to_use_nearly_the_whole(steps in vec(step(), 1..60)) {
        let mut fleet = Fleet::new(false);
        for step in steps {
            fleet.apply(step);
        }
        for _ in 0..60 {
            for i in 0..INSTANCES {
                fleet.apply(Step::Read(i));
                fleet.apply(Step::Write(i, Fate::Answered, 0));
            }
            fleet.apply(Step::Wait(10));
        }
        prop_assert!(fleet.in_use() > Part::WHOLE.times(4, 5), "{:?}", fleet.in_use());
        for share in &fleet.shares {
            prop_assert!(share.floor() > Part::one_of(INSTANCES * 3), "{:?}", fleet.stored);
        }
    }
}

#[test]
fn after_all_instances_restart_under_their_names_the_whole_is_there_again_at_once() {
    let mut fleet = Fleet::new(true);
    let round = |fleet: &mut Fleet| {
        for i in 0..INSTANCES {
            fleet.apply(Step::Read(i));
            fleet.apply(Step::Write(i, Fate::Answered, 0));
        }
    };
    for _ in 0..4 {
        round(&mut fleet);
    }
    for i in 0..INSTANCES {
        fleet.apply(Step::Replace(i));
    }
    round(&mut fleet);
    for i in 0..INSTANCES {
        assert!(
            fleet.shares[i].floor().is_zero(),
            "loans may still be in use"
        );
        fleet.apply(Step::Release(i));
        assert!(fleet.shares[i].floor() > Part::one_of(INSTANCES * 2));
    }
}

#[test]
fn a_lost_ledger_is_made_again_from_a_copy() {
    let mut fleet = Fleet::new(false);
    for _ in 0..3 {
        for i in 0..INSTANCES {
            fleet.apply(Step::Read(i));
            fleet.apply(Step::Write(i, Fate::Answered, 0));
        }
    }
    let before = fleet.stored.take();
    fleet.replace(0);
    let (revision, ledger) = fleet.shares[1].copy().map(|(r, l)| (r, l.clone())).unwrap();
    fleet.shares[0].learn_copy(fleet.now, revision, ledger);
    fleet.apply(Step::Write(0, Fate::Answered, 0));
    let (_, made) = fleet.stored.clone().unwrap();
    for held in before.unwrap().1.holders() {
        assert_eq!(made.part(&held.id), held.part);
    }
    fleet.apply(Step::Read(2));
    assert!(fleet.in_use() <= Part::WHOLE);
}

#[test]
fn a_region_that_is_gone_from_the_list_keeps_its_floors_for_longer() {
    let mut fleet = Fleet::new(false);
    for i in 0..INSTANCES {
        fleet.apply(Step::Read(i));
        fleet.apply(Step::Write(i, Fate::Answered, 0));
    }
    let mut around = fleet.around(0);
    around.listed.retain(|(_, r)| *r == region(0));
    let closing_after = |fleet: &mut Fleet, wait: Duration| {
        fleet.now += wait;
        fleet.apply(Step::Read(0));
        let proposal = fleet.shares[0].propose(fleet.now, &around);
        let Some(proposal) = proposal else {
            return 0;
        };
        let closing = proposal.ledger.holders().iter().filter(|h| h.closing);
        let closing = closing.count();
        fleet.shares[0].withdraw();
        closing
    };
    assert_eq!(closing_after(&mut fleet, Duration::ZERO), 0);
    assert_eq!(closing_after(&mut fleet, ABSENT_TIME + HOLD_BACK), 0);
    assert_eq!(closing_after(&mut fleet, ABSENT_REGION_TIME), 2);
}

#[test]
fn a_ledger_that_breaks_its_rule_is_not_taken() {
    let read = |text: &str| Ledger::from_bytes(text.as_bytes());
    let one = r#"{"instance":"a","incarnation":1,"region":"r","part":600000000}"#;
    let two = r#"{"instance":"b","incarnation":1,"region":"r","part":400000001}"#;
    assert!(read(&format!(r#"{{"format":1,"holders":[{one}]}}"#)).is_ok());
    let both = format!(r#"{{"format":1,"holders":[{one},{two}]}}"#);
    assert_eq!(read(&both), Err(LedgerError::TooMuch));
    let twice = format!(r#"{{"format":1,"holders":[{one},{one}]}}"#);
    assert_eq!(read(&twice), Err(LedgerError::Twice("a".into())));
    assert_eq!(
        read(r#"{"format":2,"holders":[]}"#),
        Err(LedgerError::Format(2))
    );
    assert!(matches!(read("{}"), Err(LedgerError::Malformed(_))));
}
