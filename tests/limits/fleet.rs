//! Model of a few accounts, a faulty network and the targets' count of tokens, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use limpetstand::id::InstanceId;
use limpetstand::limit::account::{Account, RateLimit};
use limpetstand::limit::amount::{Amount, Part};
use limpetstand::limit::loan::{Loan, LoanId, LoanRequest, MAX_TERM, Return};

/// One global bucket in front of all targets, as the reference.
#[derive(Debug, Clone)]
pub(crate) struct GlobalBucket {
    level: f64,
    updated_at: Duration,
}

/// Tolerance for rounding in the count of the global bucket, in tokens.
const ROUNDING_TOKENS: f64 = 1e-3;

#[derive(Debug, Clone)]
pub(crate) enum Message {
    LoanRequest(LoanRequest),
    Loan(Loan, InstanceId),
    Prolong(LoanId, Duration, InstanceId),
    Prolonged(LoanId, Duration),
    Return(Return),
    /// A run of an instance announces that the earlier ones have ended.
    Ended(usize, u64),
    /// Confirms `Ended` of an instance's run; names who confirms.
    EndedConfirmed(u64, usize),
    EndedBorrower(usize, Vec<u64>),
}

#[derive(Debug, Clone)]
pub(crate) struct Envelope {
    pub(crate) to: usize,
    pub(crate) message: Message,
}

#[derive(Debug, Clone)]
struct HeldTokens {
    instance: usize,
    remaining: u64,
    unsettled: u64,
    deadline: Duration,
}

#[derive(Debug, Clone)]
struct CrashedInstance {
    floor: Part,
    since: Duration,
}

/// A restarted instance that may not use its floor yet.
#[derive(Debug, Clone, Default)]
struct RestartedInstance {
    ended_runs: Vec<u64>,
    unconfirmed: BTreeSet<usize>,
}

/// Clock error of an instance: its offset, and by how many thousandths it runs fast.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Skew {
    pub(crate) offset: Duration,
    pub(crate) per_mille: i32,
}

impl Skew {
    fn local(self, time: Duration) -> Duration {
        let thousandths = u32::try_from(1000 + self.per_mille).unwrap_or(1000);
        self.offset + time * thousandths / 1000
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) limit: RateLimit,
    pub(crate) now: Duration,
    pub(crate) accounts: Vec<Account>,
    pub(crate) network: Vec<Envelope>,
    floors: Vec<Part>,
    skews: Vec<Skew>,
    held: Vec<HeldTokens>,
    crashed: Vec<CrashedInstance>,
    global_bucket: GlobalBucket,
    serial: u64,
    /// The run of each instance, and of all runs the last.
    runs: Vec<u64>,
    last_run: u64,
    restarted: BTreeMap<usize, RestartedInstance>,
    prolong_requested_at: BTreeMap<LoanId, Duration>,
}

pub(crate) fn instance_id(instance: usize) -> InstanceId {
    InstanceId::from(format!("i{instance}"))
}

impl Fleet {
    pub(crate) fn new(limit: RateLimit, skews: Vec<Skew>) -> Self {
        let floor = Part::one_of(skews.len());
        let now = Duration::ZERO;
        let mut accounts = Vec::new();
        for skew in &skews {
            accounts.push(Account::open(skew.local(now), limit, floor));
        }
        Self {
            limit,
            now,
            network: Vec::new(),
            floors: vec![floor; accounts.len()],
            runs: (0..accounts.len() as u64).collect(),
            last_run: accounts.len() as u64,
            restarted: BTreeMap::new(),
            accounts,
            skews,
            held: Vec::new(),
            crashed: Vec::new(),
            global_bucket: GlobalBucket {
                level: limit.burst as f64,
                updated_at: now,
            },
            serial: 0,
            prolong_requested_at: BTreeMap::new(),
        }
    }

    pub(crate) fn local(&self, i: usize) -> Duration {
        self.skews[i].local(self.now)
    }

    /// Advances the time and settles requests at their deadlines.
    pub(crate) fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        self.held.sort_by_key(|h| h.deadline);
        while let Some(first) = self.held.first() {
            if first.deadline > end {
                break;
            }
            self.now = self.now.max(first.deadline);
            self.settle(0);
        }
        self.now = end;
    }

    pub(crate) fn admit(&mut self, i: usize, tokens: u64, time_left: Duration) -> bool {
        let local = self.local(i);
        self.accounts[i].record_demand(local, tokens, time_left);
        if self.accounts[i].charge(local, tokens, time_left).is_err() {
            return false;
        }
        self.held.push(HeldTokens {
            instance: i,
            remaining: tokens,
            unsettled: tokens,
            deadline: self.now + time_left,
        });
        true
    }

    pub(crate) fn holds(&self) -> usize {
        self.held.len()
    }

    /// Lets the target serve a part of a request and report it to the instance if `reported`.
    pub(crate) fn serve(&mut self, hold: usize, max_tokens: u64, reported: bool) {
        let Some(held) = self.held.get_mut(hold) else {
            return;
        };
        let tokens = max_tokens.min(held.remaining);
        held.remaining -= tokens;
        let mut release = 0;
        if reported {
            release = held.unsettled - held.remaining;
            held.unsettled = held.remaining;
        }
        let instance = held.instance;
        let rate = self.limit.rate as f64;
        let passed = (self.now - self.global_bucket.updated_at).as_secs_f64();
        let full = self.limit.burst as f64;
        self.global_bucket.level =
            (self.global_bucket.level + rate * passed).min(full) - tokens as f64;
        self.global_bucket.updated_at = self.now;
        let local = self.local(instance);
        self.accounts[instance].release(local, release, release);
    }

    pub(crate) fn settle(&mut self, hold: usize) {
        if hold >= self.held.len() {
            return;
        }
        let held = self.held.remove(hold);
        let used = held.unsettled - held.remaining;
        let local = self.local(held.instance);
        self.accounts[held.instance].release(local, held.unsettled, used);
    }

    pub(crate) fn borrow(&mut self, i: usize, to: usize, tokens: u64, time_left: Duration) {
        self.serial += 1;
        let id = LoanId {
            borrower: self.runs[i],
            serial: self.serial,
        };
        let local = self.local(i);
        if i == to {
            return;
        }
        if let Some(loan_request) =
            self.accounts[i].prepare_loan_request(local, id, &instance_id(i), tokens, time_left)
        {
            self.send(to, Message::LoanRequest(loan_request));
        }
    }

    pub(crate) fn prolong(&mut self, i: usize) {
        let local = self.local(i);
        for (lender, id) in self.accounts[i].loans_to_prolong(local) {
            self.prolong_requested_at.insert(id, local);
            self.send(
                instance_index(&lender),
                Message::Prolong(id, MAX_TERM, instance_id(i)),
            );
        }
    }

    pub(crate) fn return_loans(&mut self, i: usize, lender: Option<usize>) {
        let local = self.local(i);
        if let Some(lender) = lender {
            for returned in
                self.accounts[i].return_to_lender(local, &instance_id(lender), Part::WHOLE)
            {
                self.send(lender, Message::Return(returned));
            }
            return;
        }
        while let Some((lender, returned)) = self.accounts[i].return_surplus(local) {
            self.send(instance_index(&lender), Message::Return(returned));
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        self.network.push(Envelope { to, message });
    }

    /// Delivers one message, and keeps it for another delivery if `keep_copy`.
    pub(crate) fn deliver(&mut self, k: usize, keep_copy: bool) {
        if k >= self.network.len() {
            return;
        }
        let envelope = if keep_copy {
            self.network[k].clone()
        } else {
            self.network.remove(k)
        };
        let i = envelope.to;
        let local = self.local(i);
        match envelope.message {
            Message::LoanRequest(loan_request) => {
                let to = instance_index(&loan_request.from);
                let (loan, returns) = self.accounts[i].handle_loan_request(local, &loan_request);
                for returned in returns {
                    self.send(to, Message::Return(returned));
                }
                if let Some(loan) = loan {
                    self.send(to, Message::Loan(loan, instance_id(i)));
                }
            }
            Message::Loan(loan, from) => {
                self.accounts[i].accept_loan(local, &from, &loan);
            }
            Message::Prolong(id, term, from) => {
                if self.accounts[i].prolong(local, id, term) {
                    self.send(instance_index(&from), Message::Prolonged(id, term));
                }
            }
            Message::Prolonged(id, term) => {
                // An answer belongs to one call, and an instance waits only for its last call.
                if let Some(requested_at) = self.prolong_requested_at.remove(&id) {
                    self.accounts[i].confirm_prolonged(local, requested_at, id, term);
                }
            }
            Message::Return(returned) => {
                self.accounts[i].accept_return(local, &returned);
            }
            Message::Ended(ended, run) => {
                self.accounts[i].drop_loans_from(local, &instance_id(ended));
                self.send(ended, Message::EndedConfirmed(run, i));
            }
            Message::EndedConfirmed(run, by) => self.confirm_ended(i, run, by),
            Message::EndedBorrower(borrower, runs) => {
                self.accounts[i].drop_loans_to(local, &instance_id(borrower), &runs);
            }
        }
    }

    pub(crate) fn drop_message(&mut self, k: usize) {
        if k < self.network.len() {
            self.network.remove(k);
        }
    }

    /// Crashes an instance and replaces it by a new one without a floor.
    pub(crate) fn crash(&mut self, i: usize) {
        let floor = std::mem::take(&mut self.floors[i]);
        self.crashed.push(CrashedInstance {
            floor,
            since: self.now,
        });
        self.start_run(i);
    }

    fn start_run(&mut self, i: usize) {
        self.held.retain(|h| h.instance != i);
        self.last_run += 1;
        self.runs[i] = self.last_run;
        let local = self.local(i);
        self.accounts[i] = Account::open(local, self.limit, Part::ZERO);
        self.network.retain(|p| p.to != i);
    }

    /// Kills an instance and starts it again under its name. It keeps its floor, and uses it when
    /// all others have confirmed that the earlier run has ended.
    pub(crate) fn restart(&mut self, i: usize) {
        let others = (0..self.accounts.len()).filter(|j| *j != i).collect();
        let restarted = self.restarted.entry(i).or_default();
        restarted.ended_runs.push(self.runs[i]);
        restarted.unconfirmed = others;
        self.start_run(i);
    }

    /// Announces to the others that the earlier runs of a restarted instance have ended.
    pub(crate) fn announce_ended(&mut self, i: usize) {
        if !self.restarted.contains_key(&i) {
            return;
        }
        for j in 0..self.accounts.len() {
            if j != i {
                self.send(j, Message::Ended(i, self.runs[i]));
            }
        }
    }

    fn confirm_ended(&mut self, i: usize, run: u64, by: usize) {
        let Some(restarted) = self.restarted.get_mut(&i) else {
            return;
        };
        if run != self.runs[i] {
            return;
        }
        restarted.unconfirmed.remove(&by);
        if !restarted.unconfirmed.is_empty() {
            return;
        }
        let ended_runs = std::mem::take(&mut restarted.ended_runs);
        self.restarted.remove(&i);
        let local = self.local(i);
        self.accounts[i].raise_floor(local, self.floors[i]);
        for j in 0..self.accounts.len() {
            if j != i {
                self.send(j, Message::EndedBorrower(i, ended_runs.clone()));
            }
        }
    }

    /// Returns whether the message is a loan request to an instance that lives on loans itself.
    pub(crate) fn asks_a_borrower(&self, k: usize) -> bool {
        self.network.get(k).is_some_and(|envelope| {
            let lives_on_loans = !self.accounts[envelope.to].borrowed_part().is_zero();
            matches!(envelope.message, Message::LoanRequest(_)) && lives_on_loans
        })
    }

    /// Assigns the floor of a crashed instance to `i` once all loans of the crashed one have ended.
    pub(crate) fn reassign_floor(&mut self, i: usize, reassign_delay: Duration) {
        let now = self.now;
        let Some(k) = self
            .crashed
            .iter()
            .position(|d| now - d.since >= reassign_delay)
        else {
            return;
        };
        let crashed = self.crashed.remove(k);
        self.floors[i] = self.floors[i].saturating_add(crashed.floor);
        let local = self.local(i);
        self.accounts[i].raise_floor(local, self.floors[i]);
    }

    /// Moves a part of the floor to another instance, as the ledger does.
    pub(crate) fn move_floor(&mut self, i: usize, to: usize, part: Part) {
        let local = self.local(i);
        let lower = self.floors[i].saturating_sub(part);
        if i == to || !self.accounts[i].lower_floor(local, lower) {
            return;
        }
        let moved = self.floors[i].saturating_sub(lower);
        self.floors[i] = lower;
        self.floors[to] = self.floors[to].saturating_add(moved);
        let local = self.local(to);
        self.accounts[to].raise_floor(local, self.floors[to]);
    }

    /// Checks that the targets stay within the global bucket, also if all tokens were served now.
    pub(crate) fn check(&mut self) -> Result<(), String> {
        if self.global_bucket.level < -ROUNDING_TOKENS {
            return Err(format!("overspent by {}", -self.global_bucket.level));
        }
        let mut parts = Part::ZERO;
        let mut potential = Amount::ZERO;
        for i in 0..self.accounts.len() {
            let local = self.local(i);
            let account = &mut self.accounts[i];
            account.advance(local);
            parts = parts.saturating_add(account.usable_part());
            potential += account.bucket().level().max(Amount::ZERO);
            potential += account.bucket().held();
        }
        if parts > Part::WHOLE {
            return Err(format!("parts add up to {parts:?}"));
        }
        if potential > Amount::tokens(self.limit.burst) {
            return Err(format!("level and held tokens add up to {potential:?}"));
        }
        Ok(())
    }
}

fn instance_index(instance: &InstanceId) -> usize {
    instance.as_str()[1..].parse().unwrap_or(0)
}
