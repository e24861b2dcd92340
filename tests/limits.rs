//! Compares floors and loans with one global bucket.

#[path = "limits/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Skew};
use limpetstand::limit::account::{Account, ChargeError, RateLimit};
use limpetstand::limit::amount::{Amount, Part};
use limpetstand::limit::loan::{Loan, LoanId, MAX_TERM};
use proptest::collection::vec;
use proptest::prelude::*;

const INSTANCES: usize = 3;
const LIMIT: RateLimit = RateLimit {
    rate: 100,
    burst: 300,
};

/// Time after which all loans of a crashed instance have ended by every clock.
const FLOOR_REASSIGN_DELAY: Duration = Duration::from_secs(MAX_TERM.as_secs() + 5);

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Admit(usize, u64, u64),
    Serve(usize, u64, bool),
    Settle(usize),
    Borrow(usize, usize, u64, u64),
    Deliver(usize, bool),
    DropMessage(usize),
    ReturnLoans(usize, Option<usize>),
    Prolong(usize),
    Crash(usize),
    ReassignFloor(usize),
    MoveFloor(usize, usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let i = 0..INSTANCES;
    prop_oneof![
        4 => (1u64..3_000).prop_map(Step::Wait),
        1 => (3_000u64..200_000).prop_map(Step::Wait),
        6 => (i.clone(), 1u64..301, 100u64..100_000).prop_map(|(i, n, t)| Step::Admit(i, n, t)),
        6 => (0usize..4, 1u64..301, any::<bool>())
            .prop_map(|(h, n, reported)| Step::Serve(h, n, reported)),
        2 => (0usize..4).prop_map(Step::Settle),
        6 => (i.clone(), i.clone(), 1u64..301, 100u64..100_000)
            .prop_map(|(i, j, n, t)| Step::Borrow(i, j, n, t)),
        8 => (0usize..6, prop::bool::weighted(0.2)).prop_map(|(k, d)| Step::Deliver(k, d)),
        1 => (0usize..6).prop_map(Step::DropMessage),
        3 => (i.clone(), prop::option::of(i.clone())).prop_map(|(i, j)| Step::ReturnLoans(i, j)),
        2 => i.clone().prop_map(Step::Prolong),
        1 => i.clone().prop_map(Step::Crash),
        1 => i.clone().prop_map(Step::ReassignFloor),
        1 => (i.clone(), i, 2usize..10).prop_map(|(i, j, n)| Step::MoveFloor(i, j, n)),
    ]
}

fn apply(fleet: &mut Fleet, step: Step) {
    match step {
        Step::Wait(ms) => fleet.wait(Duration::from_millis(ms)),
        Step::Admit(i, tokens, ms) => {
            fleet.admit(i, tokens, Duration::from_millis(ms));
        }
        Step::Serve(hold, tokens, reported) => fleet.serve(hold, tokens, reported),
        Step::Settle(hold) => fleet.settle(hold),
        Step::Borrow(i, to, tokens, ms) => fleet.borrow(i, to, tokens, Duration::from_millis(ms)),
        Step::Deliver(k, keep_copy) => fleet.deliver(k, keep_copy),
        Step::DropMessage(k) => fleet.drop_message(k),
        Step::ReturnLoans(i, to) => fleet.return_loans(i, to),
        Step::Prolong(i) => fleet.prolong(i),
        Step::Crash(i) => fleet.crash(i),
        Step::ReassignFloor(i) => fleet.reassign_floor(i, FLOOR_REASSIGN_DELAY),
        Step::MoveFloor(i, to, n) => fleet.move_floor(i, to, Part::one_of(n * INSTANCES)),
    }
}

fn skews() -> impl Strategy<Value = Vec<Skew>> {
    let skew = (0u64..1000, -4i32..=4).prop_map(|(s, per_mille)| Skew {
        offset: Duration::from_secs(s),
        per_mille,
    });
    vec(skew, INSTANCES)
}

const NO_SKEW: Skew = Skew {
    offset: Duration::ZERO,
    per_mille: 0,
};

fn no_skew() -> Vec<Skew> {
    vec![NO_SKEW; INSTANCES]
}

#[derive(Debug, Clone)]
enum RestartStep {
    Wait(u64),
    Serve(usize, u64),
    Borrow(usize, usize, u64),
    Deliver(usize, bool),
    /// Delivers the messages of this many calls in order.
    DeliverFirst(usize),
    DropMessage(usize),
    ReturnLoans(usize),
    Prolong(usize),
    Restart(usize),
    Announce(usize),
}

/// Few of many instances take part, so that they meet again.
fn restart_step() -> impl Strategy<Value = RestartStep> {
    let i = 0usize..3;
    prop_oneof![
        3 => (1u64..3_000).prop_map(RestartStep::Wait),
        1 => (3_000u64..100_000).prop_map(RestartStep::Wait),
        6 => (i.clone(), 1u64..3_001).prop_map(|(i, n)| RestartStep::Serve(i, n)),
        6 => (i.clone(), i.clone(), 1u64..3_001)
            .prop_map(|(i, j, n)| RestartStep::Borrow(i, j, n)),
        6 => (0usize..12, prop::bool::weighted(0.2))
            .prop_map(|(k, copy)| RestartStep::Deliver(k, copy)),
        3 => (1usize..300).prop_map(RestartStep::DeliverFirst),
        1 => (0usize..6).prop_map(RestartStep::DropMessage),
        1 => i.clone().prop_map(RestartStep::ReturnLoans),
        1 => i.clone().prop_map(RestartStep::Prolong),
        1 => i.clone().prop_map(RestartStep::Restart),
        3 => i.prop_map(RestartStep::Announce),
    ]
}

fn apply_restart(fleet: &mut Fleet, step: RestartStep) {
    match step {
        RestartStep::Wait(ms) => fleet.wait(Duration::from_millis(ms)),
        RestartStep::Serve(i, tokens) => {
            if fleet.admit(i, tokens, Duration::from_secs(1)) {
                fleet.serve(0, tokens, true);
                fleet.settle(0);
            }
        }
        RestartStep::Borrow(i, to, tokens) => fleet.borrow(i, to, tokens, Duration::from_secs(1)),
        RestartStep::Deliver(k, keep_copy) => deliver_unless_to_a_borrower(fleet, k, keep_copy),
        RestartStep::DeliverFirst(count) => {
            for _ in 0..count {
                deliver_unless_to_a_borrower(fleet, 0, false);
            }
        }
        RestartStep::DropMessage(k) => fleet.drop_message(k),
        RestartStep::ReturnLoans(i) => fleet.return_loans(i, None),
        RestartStep::Prolong(i) => fleet.prolong(i),
        RestartStep::Restart(i) => fleet.restart(i),
        RestartStep::Announce(i) => fleet.announce_ended(i),
    }
}

fn deliver_unless_to_a_borrower(fleet: &mut Fleet, k: usize, keep_copy: bool) {
    if fleet.asks_a_borrower(k) {
        fleet.drop_message(k);
        return;
    }
    fleet.deliver(k, keep_copy);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn no_window_serves_more_than_rate_and_burst(
        skews in skews(),
        steps in vec(step(), 1..150),
    ) {
        let mut fleet = Fleet::new(LIMIT, skews);
        fleet.wait(Duration::from_secs(10));
        for step in steps {
            let step_text = format!("{step:?}");
            apply(&mut fleet, step);
            if let Err(e) = fleet.check() {
                return Err(TestCaseError::fail(format!("{e} after {step_text}")));
            }
        }
    }

    /// Requests are served at once, and no one lends what it has borrowed, as a borrower drops the
    /// loans of an ended run also if it has lent them on or holds tokens on them.
    #[test]
    fn restarted_instances_and_their_lenders_never_use_the_same_part(
        instances in prop_oneof![4 => Just(3usize), 2 => Just(9), 1 => Just(100)],
        steps in vec(restart_step(), 1..150),
    ) {
        let limit = RateLimit { rate: 1_000, burst: 3_000 };
        let mut fleet = Fleet::new(limit, vec![NO_SKEW; instances]);
        fleet.wait(Duration::from_secs(10));
        for step in steps {
            let step_text = format!("{step:?}");
            apply_restart(&mut fleet, step);
            if let Err(e) = fleet.check() {
                return Err(TestCaseError::fail(format!("{e} after {step_text}")));
            }
        }
    }

    #[test]
    fn within_the_rate_nobody_is_refused_while_peers_have_the_tokens(
        requests in vec((0..INSTANCES, 1u64..120, 1u64..1_500), 1..60),
    ) {
        let mut fleet = Fleet::new(LIMIT, no_skew());
        fleet.wait(Duration::from_secs(10));
        // Level of one global bucket whose requests are served at once.
        let mut global_level = LIMIT.burst as f64;
        for (i, tokens, ms) in requests {
            fleet.wait(Duration::from_millis(ms));
            for j in 0..INSTANCES {
                fleet.return_loans(j, None);
                fleet.prolong(j);
            }
            while !fleet.network.is_empty() {
                fleet.deliver(0, false);
            }
            global_level =
                (global_level + LIMIT.rate as f64 * ms as f64 / 1000.0).min(LIMIT.burst as f64);
            // Demand stays below the rate by a margin, as lenders reserve tokens for themselves.
            if (tokens as f64) > global_level - 0.6 * LIMIT.burst as f64 {
                continue;
            }
            let time_left = Duration::from_secs(20);
            if fleet.accounts[i].should_borrow_ahead(fleet.local(i)) {
                for j in 0..INSTANCES {
                    fleet.borrow(i, j, 0, time_left);
                }
            }
            let mut admitted = fleet.admit(i, tokens, time_left);
            for j in 0..INSTANCES {
                if admitted || j == i {
                    continue;
                }
                fleet.return_loans(j, Some(i));
                fleet.borrow(i, j, tokens, time_left);
                while !fleet.network.is_empty() {
                    fleet.deliver(0, false);
                }
                admitted = fleet.admit(i, tokens, time_left);
            }
            prop_assert!(admitted, "{} tokens refused with {} to spare", tokens, global_level);
            global_level -= tokens as f64;
            fleet.serve(0, tokens, true);
            fleet.settle(0);
            prop_assert_eq!(fleet.check(), Ok(()));
        }
    }
}

/// Length of the explored sequences of events between a borrower and a lender.
const DEPTH: usize = 7;

#[test]
fn every_short_event_sequence_keeps_the_invariants() {
    let skew = |per_mille| Skew {
        offset: Duration::ZERO,
        per_mille,
    };
    let mut fleet = Fleet::new(LIMIT, vec![skew(-4), skew(4)]);
    fleet.wait(Duration::from_secs(10));
    let mut sequences = 0;
    explore(&fleet, DEPTH, &mut Vec::new(), &mut sequences);
    assert!(sequences > 100_000, "only {sequences} sequences");
}

fn explore(fleet: &Fleet, depth: usize, path: &mut Vec<&'static str>, sequences: &mut u64) {
    *sequences += 1;
    if depth == 0 {
        return;
    }
    let time_left = Duration::from_secs(70);
    let mut branch = |label: &'static str, event: &mut dyn FnMut(&mut Fleet)| {
        let mut next = fleet.clone();
        event(&mut next);
        path.push(label);
        if let Err(e) = next.check() {
            panic!("{e} after {path:?}");
        }
        explore(&next, depth - 1, path, sequences);
        path.pop();
    };
    branch("borrower admits a large request", &mut |f| {
        f.admit(0, 200, time_left);
    });
    branch("lender admits", &mut |f| {
        f.admit(1, 100, time_left);
    });
    branch("request loan", &mut |f| f.borrow(0, 1, 200, time_left));
    branch("wait for most of a term", &mut |f| {
        f.wait(Duration::from_secs(139));
    });
    branch("wait a little", &mut |f| {
        f.wait(Duration::from_secs(1));
    });
    if fleet.holds() > 0 {
        branch("serve without report", &mut |f| f.serve(0, 300, false));
        branch("serve and settle", &mut |f| {
            f.serve(0, 300, true);
            f.settle(0);
        });
    }
    if !fleet.network.is_empty() {
        branch("deliver first", &mut |f| f.deliver(0, false));
        branch("deliver first and keep a copy", &mut |f| f.deliver(0, true));
    }
    if fleet.network.len() > 1 {
        branch("deliver second", &mut |f| f.deliver(1, false));
    }
    if !fleet.accounts[0].borrowed_part().is_zero() {
        branch("return loans", &mut |f| f.return_loans(0, Some(1)));
        branch("prolong", &mut |f| f.prolong(0));
    }
}

fn account(limit: RateLimit, floor: Part) -> Account {
    let mut account = Account::open(Duration::ZERO, limit, floor);
    account.advance(Duration::from_secs(100));
    account
}

#[test]
fn refill_lost_to_a_full_bucket_does_not_count_against_a_waiting_request() {
    let mut account = account(LIMIT, Part::WHOLE);
    let now = Duration::from_secs(100);
    let before = account.total_refilled(now);
    let later = now + Duration::from_millis(400);
    let minute = Duration::from_secs(60);
    assert_eq!(account.charge_as_of(later, before, 300, minute), Ok(()));
}

#[test]
fn exceeding_the_burst_is_final_and_lacking_tokens_gives_a_retry_time() {
    let mut account = account(LIMIT, Part::WHOLE);
    let now = Duration::from_secs(100);
    let minute = Duration::from_secs(60);
    assert_eq!(
        account.charge(now, 301, minute),
        Err(ChargeError::LargerThanBurst)
    );
    assert_eq!(account.charge(now, 300, minute), Ok(()));
    account.release(now, 300, 300);
    assert_eq!(
        account.charge(now, 50, minute),
        Err(ChargeError::Insufficient)
    );
    let wait = account.refill_time(now, 50).unwrap();
    assert!(wait >= Duration::from_millis(500) && wait < Duration::from_millis(501));
    let before = account.total_refilled(now);
    let later = now + wait;
    assert!(
        account.charge_as_of(later, before, 50, minute).is_err(),
        "the tokens were refilled later"
    );
    assert_eq!(account.charge(later, 50, minute), Ok(()));
}

#[test]
fn a_hold_counts_against_the_burst_until_it_is_served() {
    let mut account = account(LIMIT, Part::WHOLE);
    let start = Duration::from_secs(100);
    let minute = Duration::from_secs(60);
    account.charge(start, 300, minute).unwrap();
    let later = start + Duration::from_secs(30);
    assert!(account.charge(later, 1, minute).is_err());
    account.release(later, 300, 100);
    assert_eq!(account.bucket().level(), Amount::tokens(200));
}

#[test]
fn a_lowered_limit_applies_at_once_and_a_raised_one_refills_at_the_rate() {
    let mut account = account(LIMIT, Part::WHOLE);
    let now = Duration::from_secs(100);
    account.set_limit(now, RateLimit { rate: 1, burst: 10 });
    assert_eq!(account.bucket().level(), Amount::tokens(10));
    account.set_limit(now, LIMIT);
    assert_eq!(account.bucket().level(), Amount::tokens(10));
    account.set_limit(now, RateLimit { rate: 0, burst: 0 });
    let minute = Duration::from_secs(60);
    assert_eq!(
        account.charge(now, 1, minute),
        Err(ChargeError::LargerThanBurst)
    );
    account.set_limit(now, LIMIT);
    assert!(account.charge(now, 1, minute).is_err());
    account.advance(now + Duration::from_secs(1));
    assert_eq!(account.bucket().level(), Amount::tokens(100));
}

/// Returns a lender `g` and a borrower `b` that own half of the limit each, and the loan that gives
/// `b` capacity for 250 tokens for a second.
fn loan_between_two_accounts(now: Duration) -> (Account, Account, Loan) {
    let mut lender = account(LIMIT, Part::one_of(2));
    let mut borrower = account(LIMIT, Part::one_of(2));
    let id = LoanId {
        borrower: 1,
        serial: 1,
    };
    let second = Duration::from_secs(1);
    let loan_request = borrower.prepare_loan_request(now, id, &"b".into(), 250, second);
    let loan = lender.lend(now, &loan_request.expect("tokens are lacking"));
    let loan = loan.expect("the lender has spare tokens");
    assert!(borrower.accept_loan(now, &"g".into(), &loan));
    (lender, borrower, loan)
}

#[test]
fn a_request_is_not_admitted_on_a_loan_that_ends_before_its_deadline() {
    let now = Duration::from_secs(100);
    let second = Duration::from_secs(1);
    let (_, mut borrower, loan) = loan_between_two_accounts(now);
    assert!(borrower.charge(now, 250, MAX_TERM).is_err());
    assert!(borrower.charge(now, 250, second).is_ok());
    assert!(
        borrower.return_loan(now, loan.id).is_none(),
        "the loan covers held tokens"
    );
    borrower.release(now, 250, 250);
    assert!(borrower.return_loan(now, loan.id).is_some());
}

#[test]
fn a_smaller_loan_that_outlasts_the_request_is_preferred_to_a_larger_one_that_does_not() {
    let now = Duration::from_secs(100);
    let mut second_lender = account(LIMIT, Part::one_of(2));
    let mut lender = account(LIMIT, Part::one_of(4));
    let mut borrower = account(LIMIT, Part::one_of(4));
    let id = |borrower| LoanId {
        borrower,
        serial: 1,
    };
    // The lender itself borrows for 30 s, so part of its capacity ends then.
    let short = Duration::from_secs(10);
    let loan_request = lender
        .prepare_loan_request(now, id(2), &"g".into(), 140, short)
        .unwrap();
    let loan = second_lender.lend(now, &loan_request).unwrap();
    assert!(lender.accept_loan(now, &"l".into(), &loan));

    let minute = Duration::from_secs(60);
    for (serial, from, account) in [(1, "g", &mut lender), (2, "l", &mut second_lender)] {
        let id = LoanId {
            borrower: 3,
            serial,
        };
        let loan_request = borrower
            .prepare_loan_request(now, id, &"b".into(), 200, minute)
            .unwrap();
        let loan = account.lend(now, &loan_request).unwrap();
        assert!(borrower.accept_loan(now, &from.into(), &loan));
    }
    assert_eq!(borrower.charge(now, 200, minute), Ok(()));
}

#[test]
fn a_loan_in_use_is_returned_in_part_and_only_once() {
    let now = Duration::from_secs(100);
    let second = Duration::from_secs(1);
    let (mut lender, mut borrower, loan) = loan_between_two_accounts(now);
    borrower.charge(now, 200, second).unwrap();
    let returns = borrower.return_to_lender(now, &"g".into(), Part::WHOLE);
    assert_eq!(returns.len(), 1);
    let remaining_part = returns[0].remaining_part;
    assert!(
        !remaining_part.is_zero() && remaining_part < loan.part,
        "{remaining_part:?}"
    );
    assert!(lender.accept_return(now, &returns[0]));
    assert!(!lender.accept_return(now, &returns[0]), "credited already");
    assert_eq!(lender.lent_part(), remaining_part);
    assert_eq!(borrower.borrowed_part(), remaining_part);
}

#[test]
fn an_unused_part_is_claimed_with_its_refill_and_no_more() {
    let second = Duration::from_secs(1);
    let half = Part::one_of(2);
    let mut account = Account::open(Duration::ZERO, LIMIT, Part::ZERO);
    account.raise_floor_with_refill(2 * second, half, second);
    assert_eq!(
        account.bucket().level(),
        half.of_rate(LIMIT.rate).tokens_in(second)
    );
    let mut account = Account::open(Duration::ZERO, LIMIT, Part::ZERO);
    account.raise_floor_with_refill(100 * second, half, Duration::ZERO);
    assert_eq!(account.bucket().level(), half.of_burst(LIMIT.burst));
    // Raising the floor to its current value credits no tokens.
    account.charge(100 * second, 50, second).unwrap();
    let before = account.bucket().level();
    account.raise_floor_with_refill(100 * second, half, Duration::ZERO);
    assert_eq!(account.bucket().level(), before);
}

#[test]
fn drop_loans_from_reports_whether_anything_was_borrowed() {
    let now = Duration::from_secs(100);
    let (mut lender, mut borrower, _) = loan_between_two_accounts(now);
    assert!(!borrower.drop_loans_from(now, &"another".into()));
    assert!(borrower.drop_loans_from(now, &"g".into()));
    assert!(
        !borrower.drop_loans_from(now, &"g".into()),
        "dropped already"
    );
    assert!(
        !lender.drop_loans_from(now, &"b".into()),
        "the lender borrowed nothing"
    );
}
