//! Measures the cost of limits at one instance by number of organisations and peers; prints one
//! JSON line per combination.
//!
//! `cargo bench --bench limits`

use std::time::{Duration, Instant};

use limpetstand::id::{InstanceId, OrganisationId};
use limpetstand::limit::account::{Account, RateLimit};
use limpetstand::limit::amount::Part;
use limpetstand::limit::ledger::{HolderId, Ledger};
use limpetstand::limit::ledger_client::{LedgerClient, ProposalInputs};
use limpetstand::limit::loan::{LoanId, Return};
use limpetstand::limit::message::{Answer, Message};

const ORGANISATION_COUNTS: [usize; 3] = [50, 200, 550];
const PEER_COUNTS: [usize; 3] = [9, 100, 410];
const LIMIT: RateLimit = RateLimit {
    rate: 100_000,
    burst: 200_000,
};

/// Loans that the instance requests for each organisation.
const LOANS_PER_ORGANISATION: u64 = 4;

/// Charges made for each organisation.
const CHARGES_PER_ORGANISATION: u64 = 200;

#[derive(Debug, serde::Serialize)]
struct Line {
    organisations: usize,
    peers: usize,
    loan_messages: u64,
    loan_bytes: u64,
    ledger_bytes: usize,
    charge_ns: u128,
    loan_ns: u128,
    upkeep_us: u128,
    ledger_us: u128,
    memory_bytes: u64,
}

fn main() {
    for organisations in ORGANISATION_COUNTS {
        for peers in PEER_COUNTS {
            let line = measure(organisations, peers);
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        }
    }
}

fn measure(organisations: usize, peers: usize) -> Line {
    let now = Duration::from_secs(10);
    let memory = resident_bytes();
    let floor = Part::one_of(peers);
    let mut own = accounts(organisations, floor);
    let mut lender = accounts(organisations, Part::one_of(2));
    let memory = resident_bytes().saturating_sub(memory) / 2;
    let charge_ns = charge_all(&mut own, now);
    let start = Instant::now();
    let (loan_messages, loan_bytes) = borrow_all(&mut own, &mut lender, now);
    let loan_ns = start.elapsed().as_nanos() / u128::from(loan_messages.max(1));
    let start = Instant::now();
    for (_, account) in &mut own {
        account.loans_to_prolong(now);
        account.required_floor();
        account.return_surplus(now);
    }
    let upkeep_us = start.elapsed().as_micros();
    let (ledger_bytes, ledger_us) = ledger(peers);
    Line {
        organisations,
        peers,
        loan_messages,
        loan_bytes,
        ledger_bytes,
        charge_ns,
        loan_ns,
        upkeep_us,
        ledger_us,
        memory_bytes: memory,
    }
}

fn accounts(count: usize, floor: Part) -> Vec<(OrganisationId, Account)> {
    let mut accounts = Vec::with_capacity(count);
    for n in 0..count {
        let name = OrganisationId::from(format!("organisation-{n}"));
        accounts.push((name, Account::open(Duration::ZERO, LIMIT, floor)));
    }
    accounts
}

fn charge_all(own: &mut [(OrganisationId, Account)], now: Duration) -> u128 {
    let minute = Duration::from_secs(60);
    let start = Instant::now();
    for (_, account) in own.iter_mut() {
        for _ in 0..CHARGES_PER_ORGANISATION {
            account.record_demand(now, 1, Duration::from_secs(20));
            if account.charge(now, 1, minute).is_ok() {
                account.release(now, 1, 1);
            }
        }
    }
    let charges = u128::from(CHARGES_PER_ORGANISATION) * own.len() as u128;
    start.elapsed().as_nanos() / charges
}

fn borrow_all(
    own: &mut [(OrganisationId, Account)],
    lender: &mut [(OrganisationId, Account)],
    now: Duration,
) -> (u64, u64) {
    let (mut messages, mut bytes) = (0, 0);
    let me = InstanceId::from("own");
    let other = InstanceId::from("giver");
    for ((name, borrower), (_, lender)) in own.iter_mut().zip(lender) {
        for serial in 0..LOANS_PER_ORGANISATION {
            let id = LoanId {
                borrower: 1,
                serial,
            };
            let tokens = borrower.bucket().level().whole_tokens() + 500;
            let Some(loan_request) =
                borrower.prepare_loan_request(now, id, &me, tokens, Duration::from_secs(60))
            else {
                continue;
            };
            let message = Message::Borrow(name.clone(), loan_request.clone());
            let answer = Answer::Loan(lender.lend(now, &loan_request), Vec::<Return>::new());
            for encoded in [message.to_bytes(), answer.to_bytes()] {
                bytes += encoded.map_or(0, |b| b.len() as u64);
            }
            messages += 2;
            if let Answer::Loan(Some(loan), _) = answer {
                borrower.accept_loan(now, &other, &loan);
            }
        }
    }
    (messages, bytes)
}

/// Returns the ledger's size, and the time to read it, propose the next change and write it.
fn ledger(peers: usize) -> (usize, u128) {
    let mut ledger = Ledger::default();
    let mut inputs = ProposalInputs::default();
    for n in 0..peers {
        let id = holder(n);
        let region = format!("region-{}", n % 3).as_str().into();
        ledger.join(&id, &region);
        ledger.claim(&id, Part::one_of(peers));
        inputs.listed.push((id.instance, region));
        inputs.holders += 1;
    }
    let bytes = ledger.to_bytes().unwrap_or_default();
    let start = Instant::now();
    let mut client = LedgerClient::of(holder(0), "region-0".into());
    if let Ok(ledger) = Ledger::from_bytes(&bytes) {
        client.apply_read(Duration::ZERO, Some((1.into(), ledger)));
    }
    let proposal = client.propose(Duration::ZERO, &inputs);
    let written = proposal.map(|p| p.ledger.to_bytes());
    std::hint::black_box(&written);
    (bytes.len(), start.elapsed().as_micros())
}

fn holder(n: usize) -> HolderId {
    HolderId {
        instance: format!("instance-{n}").into(),
        incarnation: n as u64,
    }
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
