//! Actor that maintains an instance's part in the ledger and its loans.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, Weak};
use std::time::Duration;

use futures_util::future::join_all;
use kameo::prelude::{Actor, ActorRef, Context, Message as ActorMessage};
use metrics::{counter, gauge};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::amount::Part;
use super::ledger::{LEDGER_KEY, Ledger, is_set_aside};
use super::ledger_client::{Proposal, ProposalInputs};
use super::loan::{LoanId, MAX_TERM, Return};
use super::message::{Answer, Message};
use super::shares::Shares;
use crate::id::{InstanceId, OrganisationId};
use crate::journal;
use crate::peer::PeerError;
use crate::store::{Entry, StoreError, SwapResult};

/// Mean interval between two ticks of the actor.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Mean interval between two ticks while the instance starts and does not use its part yet.
const STARTUP_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of ticks of the actor between two checks for loans to return or to prolong.
const TICKS_PER_LOAN_CHECK: u64 = 4;

/// Maximum interval between two reads of the ledger while no change is pending.
const LEDGER_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum interval between two reads of the ledger while the ledger is unknown or a change of the
/// ledger is pending.
const LEDGER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time after a failed write of the mark in which requests do not wait for the mark.
const MARK_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum delay of the read after the store has begun a new era, so that holders do not all read
/// and write at once.
const ERA_READ_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of consecutive compare-and-swap attempts when other instances write first.
const MAX_SWAP_ATTEMPTS: usize = 4;

/// Time after which a new ledger may be created although some instances have not said whether they
/// have a copy of the lost ledger.
const CREATE_LEDGER_DELAY: Duration = Duration::from_secs(10);

/// Timeout of a message to a peer that no request waits for.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the process start during which membership may not know all live instances yet.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Time without a change of the number of listed instances after which the list counts as complete.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(600);

/// Starts the maintenance actor, which stops when `shares` is dropped.
pub(super) fn start(shares: &Arc<Shares>) {
    let maintenance = Maintenance::spawn(Maintenance {
        shares: Arc::downgrade(shares),
        ticks: 0,
        next_read: Duration::ZERO,
        era: 0,
        missing_since: None,
        inherited_unused_since: Duration::ZERO,
        listed: 0,
        listed_since: Duration::ZERO,
        inherits_part: None,
    });
    tokio::spawn(tick(maintenance, Arc::clone(&shares.mark_wanted)));
}

async fn tick(maintenance: ActorRef<Maintenance>, mark_wanted: Arc<Notify>) {
    loop {
        let Ok(Some(interval)) = maintenance.ask(Tick).await else {
            return;
        };
        let jitter = rand::random_range(0.75..1.25);
        // Requests that wait for the mark do not wait for the next tick.
        let _ = timeout(interval.mul_f64(jitter), mark_wanted.notified()).await;
    }
}

/// Leaves the ledger for good.
pub(super) async fn leave(shares: &Arc<Shares>) {
    shares.has_left.store(true, Ordering::Relaxed);
    give_up_part(shares).await;
}

/// Returns all borrowed loans and gives up this instance's part in the ledger.
async fn give_up_part(shares: &Arc<Shares>) {
    let mut returns = BTreeMap::new();
    for (organisation, shared_account) in shares.all_accounts() {
        for (lender, returned) in shared_account.lock().return_all(shares.now()) {
            push_to(&mut returns, lender, (organisation.clone(), returned));
        }
    }
    send_returns(shares, returns).await;
    for _ in 0..MAX_SWAP_ATTEMPTS {
        let inputs = proposal_inputs(shares, false);
        let Some(proposal) = shares.ledger_client().propose_to_leave(&inputs) else {
            return;
        };
        shares.revoke_floor(Part::ZERO);
        if !matches!(swap(shares, proposal).await, SwapOutcome::Conflict) {
            return;
        }
    }
}

struct Tick;

#[derive(Actor)]
struct Maintenance {
    shares: Weak<Shares>,
    ticks: u64,
    next_read: Duration,
    /// The store's era at the last tick.
    era: u64,
    missing_since: Option<Duration>,
    /// Time since which no instance has used the part of this instance's earlier incarnations.
    inherited_unused_since: Duration,
    /// Number of listed instances, and since when it has not changed.
    listed: usize,
    listed_since: Duration,
    /// Whether the ledger had a part of this instance's earlier process; `None` before the first
    /// read.
    inherits_part: Option<bool>,
}

impl ActorMessage<Tick> for Maintenance {
    type Reply = Option<Duration>;

    /// Returns the time until the next tick, or `None` if the actor is no longer needed.
    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let shares = self.shares.upgrade()?;
        if shares.has_left.load(Ordering::Relaxed) {
            return None;
        }
        self.maintain(&shares).await;
        let is_starting = shares.now() < STARTUP_TIME && shares.ledger_client().floor().is_zero();
        Some(if is_starting {
            STARTUP_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        })
    }
}

impl Maintenance {
    async fn maintain(&mut self, shares: &Arc<Shares>) {
        shares.sync_limits();
        shares.delegation.expire(shares.now());
        if shares.mode.few_holders && !self.holds_part(shares).await {
            return;
        }
        let era = shares.deps.store.era();
        if era != std::mem::replace(&mut self.era, era) {
            let delay = ERA_READ_DELAY.mul_f64(rand::random());
            self.next_read = self.next_read.min(shares.now() + delay);
        }
        if shares.now() >= self.next_read {
            let is_settled = self.sync_ledger(shares).await;
            // Others free or move parts at any time, and loans are all that an instance has until then.
            let has_part = !shares.ledger_client().assigned_part().is_zero();
            let interval = if is_settled && has_part {
                LEDGER_READ_INTERVAL
            } else {
                LEDGER_RETRY_INTERVAL
            };
            self.next_read = shares.now() + interval.mul_f64(rand::random_range(0.5..1.0));
        }
        if shares.tolerance_use().lacks_mark() {
            self.mark_tolerance(shares).await;
        }
        if shares.ledger_client().has_inherited_part()
            && let Some(unused_since) = self.announce_ended(shares).await
        {
            shares.ledger_client().unlock_inherited_part();
            apply_floor(shares, unused_since);
            tokio::spawn(announce_ended_borrower(Arc::clone(shares)));
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_LOAN_CHECK) {
            maintain_loans(shares).await;
            record_metrics(shares);
        }
    }
}

/// Returns the names of the other instances that are in the ledger.
fn other_holders(shares: &Shares) -> BTreeSet<InstanceId> {
    let mut holders = BTreeSet::new();
    if let Some(ledger) = shares.ledger_client().ledger() {
        for holder in ledger.holders() {
            if holder.id.instance != shares.deps.id && !is_set_aside(&holder.id) {
                holders.insert(holder.id.instance.clone());
            }
        }
    }
    holders
}

/// Notifies the other holders that what they lent to this instance's earlier incarnations is in
/// use nowhere. A loan whose lender is not reached is deducted until its term ends.
async fn announce_ended_borrower(shares: Arc<Shares>) {
    let incarnations = shares.ledger_client().ended_incarnations();
    let message = Message::EndedBorrower(shares.deps.id.clone(), incarnations);
    let mut calls = Vec::new();
    for holder in other_holders(&shares) {
        if let Some(address) = shares.live_peer_address(&holder) {
            calls.push(shares.call_peer(address, &message, PEER_CALL_TIMEOUT));
        }
    }
    for answer in join_all(calls).await {
        if let Err(e) = answer {
            journal::line("ended_borrower_lost").text("error", &e.to_string());
        }
    }
}

enum SwapOutcome {
    Written,
    Conflict,
    Unknown,
}

impl Maintenance {
    /// Decides whether this instance holds parts of the limits; if it no longer does, it gives up
    /// its part in the ledger.
    ///
    /// An instance that has just started waits until the list of instances is complete, so that a
    /// start of the whole fleet does not make each instance a holder for a moment. It need not wait
    /// if the ledger has a part of its earlier process.
    async fn holds_part(&mut self, shares: &Arc<Shares>) -> bool {
        let listed = shares.deps.fleet.borrow().members.len();
        if listed != std::mem::replace(&mut self.listed, listed) {
            self.listed_since = shares.now();
        }
        let is_holder = shares.holder_ids().contains(&shares.deps.id);
        let was_holder = shares.is_holder.load(Ordering::Relaxed);
        // A leaving instance that no other holder of its region can charge for keeps its part.
        if is_holder == was_holder || (was_holder && shares.is_last_holder()) {
            return was_holder;
        }
        let is_settled = shares.now() >= self.listed_since + LIST_SETTLE_TIME;
        let may_change = is_settled || (is_holder && self.inherits_part(shares).await);
        if !may_change {
            return was_holder;
        }
        shares.is_holder.store(is_holder, Ordering::Relaxed);
        journal::line("limit_holder").value("holds", is_holder);
        if !is_holder {
            give_up_part(shares).await;
        }
        is_holder
    }

    /// Returns whether the ledger has a part of this instance's earlier process.
    async fn inherits_part(&mut self, shares: &Arc<Shares>) -> bool {
        if let Some(inherits_part) = self.inherits_part {
            return inherits_part;
        }
        if !read_ledger(shares).await {
            return false;
        }
        self.fetch_copies(shares).await;
        let client = shares.ledger_client();
        let ledger = client.ledger();
        let inherits_part = ledger.is_some_and(|l| l.holds_part(&shares.deps.id));
        self.inherits_part = Some(inherits_part);
        inherits_part
    }

    /// Notifies the other holders that this instance's earlier incarnations have ended.
    ///
    /// Returns the time since which no instance has used the part of the earlier incarnations, or
    /// `None` while an instance may still use it. If no holder had loans, that time is the start
    /// of this process, as the earlier incarnations had ended by then.
    ///
    /// Holders that membership considers dead need not answer, so that this instance can use its
    /// part soon after a restart. Such a holder may still use what the earlier incarnations lent
    /// to it.
    async fn announce_ended(&mut self, shares: &Arc<Shares>) -> Option<Duration> {
        let holders = other_holders(shares);
        let is_starting = shares.now() < STARTUP_TIME;
        let mut addresses = Vec::new();
        let mut has_dead_holder = false;
        for holder in holders {
            match shares.live_peer_address(&holder) {
                Some(address) => addresses.push(address),
                None if is_starting => return None,
                None => has_dead_holder = true,
            }
        }
        let message = Message::Ended(shares.deps.id.clone());
        let mut calls = Vec::new();
        for address in addresses {
            calls.push(shares.call_peer(address, &message, PEER_CALL_TIMEOUT));
        }
        let mut all_confirmed = true;
        let mut in_use = has_dead_holder;
        for answer in join_all(calls).await {
            match answer {
                Ok(Answer::Ended { had_loans }) => in_use |= had_loans,
                Err(PeerError::NotReached(_)) => all_confirmed = false,
                // The peer may have dropped loans in this call, and its next answer no longer
                // reports these loans.
                _ => (all_confirmed, in_use) = (false, true),
            }
        }
        if in_use {
            self.inherited_unused_since = shares.now();
        }
        all_confirmed.then_some(self.inherited_unused_since)
    }

    /// Reads the ledger and writes the changes that are due; returns whether the ledger is known
    /// and no change is pending.
    async fn sync_ledger(&mut self, shares: &Arc<Shares>) -> bool {
        if !read_ledger(shares).await {
            return shares.ledger_client().ledger().is_some();
        }
        let may_create = self.fetch_copies(shares).await;
        self.write_changes(shares, may_create).await
    }

    /// Writes that requests may use the tolerance of this instance's part.
    async fn mark_tolerance(&mut self, shares: &Arc<Shares>) {
        self.write_changes(shares, false).await;
        shares.apply_tolerance();
        if shares.tolerance_use().lacks_mark() {
            let until = shares.now() + MARK_RETRY_INTERVAL;
            shares.tolerance_use().record_mark_failure(until);
        }
    }

    /// Writes the changes that are due to the ledger as it was read last; returns whether the ledger
    /// is known and no change is pending.
    async fn write_changes(&self, shares: &Arc<Shares>, may_create: bool) -> bool {
        for _ in 0..MAX_SWAP_ATTEMPTS {
            if shares.has_left.load(Ordering::Relaxed) {
                return true;
            }
            let inputs = proposal_inputs(shares, may_create);
            let proposal = shares.ledger_client().propose(shares.now(), &inputs);
            let Some(proposal) = proposal else {
                return shares.ledger_client().ledger().is_some();
            };
            match swap(shares, proposal).await {
                SwapOutcome::Written => {}
                SwapOutcome::Conflict => continue,
                SwapOutcome::Unknown => return false,
            }
        }
        false
    }

    /// Asks all peers for copies of the ledger if the store has no ledger. Returns whether this
    /// instance may create a new ledger if no copy was found: the store has no ledger, and all
    /// peers have answered or [`CREATE_LEDGER_DELAY`] has passed.
    async fn fetch_copies(&mut self, shares: &Arc<Shares>) -> bool {
        if !shares.ledger_client().is_missing() {
            self.missing_since = None;
            return false;
        }
        let now = shares.now();
        let since = *self.missing_since.get_or_insert(now);
        let mut calls = Vec::new();
        for address in shares.all_peers() {
            calls.push(shares.call_peer(address, &Message::Copy, PEER_CALL_TIMEOUT));
        }
        let mut all_answered = true;
        for answer in join_all(calls).await {
            match answer {
                Ok(Answer::Copy(Some((revision, ledger)))) => {
                    shares.ledger_client().apply_copy(now, revision, ledger);
                }
                Ok(_) => {}
                Err(_) => all_answered = false,
            }
        }
        let lacks_ledger = shares.ledger_client().ledger().is_none();
        shares.lacks_ledger.store(lacks_ledger, Ordering::Relaxed);
        apply_floor(shares, shares.now());
        all_answered || now.saturating_sub(since) >= CREATE_LEDGER_DELAY
    }
}

/// Reads the ledger from the store and applies it; returns whether the store has answered. While no
/// ledger is known, a read that fails is repeated at once.
async fn read_ledger(shares: &Shares) -> bool {
    for _ in 0..2 {
        counter!("limpetstand_limit_store_calls_total", "call" => "read").increment(1);
        if let Ok(found) = shares.deps.store.get(LEDGER_KEY).await {
            apply_read(shares, found.as_ref());
            return true;
        }
        if shares.ledger_client().ledger().is_some() {
            break;
        }
    }
    false
}

/// Applies the ledger read from the store, and lowers or raises the floors accordingly.
fn apply_read(shares: &Shares, found: Option<&Entry>) {
    let now = shares.now();
    if found.is_some() {
        shares.lacks_ledger.store(false, Ordering::Relaxed);
    }
    let ledger = match found {
        Some(entry) => match Ledger::from_bytes(&entry.value) {
            Ok(ledger) => Some((entry.mod_revision, ledger)),
            Err(e) => {
                log::error!("cannot read the ledger of limits from the store: {e}");
                return;
            }
        },
        None => None,
    };
    shares.ledger_client().apply_read(now, ledger);
    apply_floor(shares, shares.now());
}

/// Sets the floors of all accounts to the part that this instance may use. No other instance has
/// used an added part since `unused_since`.
fn apply_floor(shares: &Shares, unused_since: Duration) {
    let floor = if shares.lacks_ledger.load(Ordering::Relaxed) {
        // Nobody has a part yet. Until the ledger assigns them, each instance uses an equal one.
        Part::one_of(shares.deps.fleet.borrow().members.len())
    } else {
        shares.ledger_client().floor()
    };
    shares.revoke_floor(floor);
    shares.raise_floor(floor, unused_since);
    shares.apply_tolerance();
}

/// Lowers the floors to the proposal's floor, sends the proposal to the store and applies the
/// outcome.
async fn swap(shares: &Shares, proposal: Proposal) -> SwapOutcome {
    if shares.lacks_ledger.swap(false, Ordering::Relaxed) {
        shares.revoke_floor(proposal.floor);
    }
    shares.apply_tolerance();
    let value = proposal.ledger.to_bytes();
    let value = match value {
        Ok(value) if shares.lower_floor(proposal.floor) => value,
        _ => {
            shares.ledger_client().withdraw();
            shares.apply_tolerance();
            return SwapOutcome::Unknown;
        }
    };
    counter!("limpetstand_limit_store_calls_total", "call" => "swap").increment(1);
    let store = &shares.deps.store;
    let swapped = store.swap(LEDGER_KEY, proposal.expect, value.into(), None);
    let outcome = match swapped.await {
        Ok(SwapResult::Done(revision)) => {
            shares
                .ledger_client()
                .confirm_written(shares.now(), revision, proposal);
            SwapOutcome::Written
        }
        Ok(SwapResult::Conflict(found)) => {
            apply_read(shares, found.as_ref());
            SwapOutcome::Conflict
        }
        Err(StoreError::ResponseLost(_)) => SwapOutcome::Unknown,
        Err(_) => {
            shares.ledger_client().withdraw();
            SwapOutcome::Unknown
        }
    };
    apply_floor(shares, shares.now());
    outcome
}

fn proposal_inputs(shares: &Shares, may_create: bool) -> ProposalInputs {
    let mut listed = Vec::new();
    for member in &shares.deps.fleet.borrow().members {
        listed.push((member.id.clone(), member.region.clone()));
    }
    let holders = if shares.mode.few_holders {
        shares.holder_ids().len()
    } else {
        listed.len()
    };
    let tolerance = (shares.deps.tolerance)();
    ProposalInputs {
        listed,
        holders,
        required_floor: shares.required_floor(),
        may_create,
        era: shares.deps.store.era(),
        wants_tolerance: shares.tolerance_use().wants_mark(shares.now(), &tolerance),
        mark_time: (!tolerance.is_none()).then(|| tolerance.mark_time()),
    }
}

type ReturnsByLender = BTreeMap<InstanceId, Vec<(OrganisationId, Return)>>;

/// Returns the borrowed loans that are not needed, and asks the lenders to prolong the others.
async fn maintain_loans(shares: &Arc<Shares>) {
    let now = shares.now();
    let mut returns = ReturnsByLender::new();
    let mut loans_to_prolong: BTreeMap<InstanceId, Vec<(OrganisationId, LoanId)>> = BTreeMap::new();
    for (organisation, shared_account) in shares.all_accounts() {
        let mut account = shared_account.lock();
        while let Some((lender, returned)) = account.return_surplus(now) {
            push_to(&mut returns, lender, (organisation.clone(), returned));
        }
        for (lender, id) in account.loans_to_prolong(now) {
            push_to(&mut loans_to_prolong, lender, (organisation.clone(), id));
        }
    }
    send_returns(shares, returns).await;
    for (lender, loans) in loans_to_prolong {
        tokio::spawn(prolong(Arc::clone(shares), lender, loans));
    }
}

async fn send_returns(shares: &Arc<Shares>, returns: ReturnsByLender) {
    for (lender, returns) in returns {
        let Some(address) = shares.peer_address(&lender) else {
            continue;
        };
        counter!("limpetstand_limit_loans_total", "outcome" => "returned")
            .increment(u64::try_from(returns.len()).unwrap_or(0));
        let _ = shares
            .call_peer(address, &Message::Return(returns), PEER_CALL_TIMEOUT)
            .await;
    }
}

async fn prolong(shares: Arc<Shares>, lender: InstanceId, loans: Vec<(OrganisationId, LoanId)>) {
    let Some(address) = shares.peer_address(&lender) else {
        return;
    };
    let requested_at = shares.now();
    let message = Message::Prolong(loans);
    let answer = shares.call_peer(address, &message, PEER_CALL_TIMEOUT).await;
    let Ok(Answer::Prolonged(loans)) = answer else {
        return;
    };
    let now = shares.now();
    for (organisation, id) in loans {
        let shared_account = shares.account(&organisation);
        shared_account
            .lock()
            .confirm_prolonged(now, requested_at, id, MAX_TERM);
    }
}

fn push_to<K: Ord, V>(map: &mut BTreeMap<K, Vec<V>>, key: K, value: V) {
    map.entry(key).or_default().push(value);
}

/// Updates the metrics of the floor, and of each account's parts and level.
fn record_metrics(shares: &Shares) {
    let table = shares
        .account_table
        .read()
        .unwrap_or_else(PoisonError::into_inner);
    gauge!("limpetstand_limit_floor_ratio").set(table.floor.ratio());
    for (organisation, shared_account) in &table.accounts {
        let account = shared_account.lock();
        let label = organisation.to_string();
        gauge!("limpetstand_limit_part_ratio", "organisation" => label.clone())
            .set(account.usable_part().ratio());
        gauge!("limpetstand_limit_lent_ratio", "organisation" => label.clone())
            .set(account.lent_part().ratio());
        gauge!("limpetstand_limit_borrowed_ratio", "organisation" => label.clone())
            .set(account.borrowed_part().ratio());
        gauge!("limpetstand_limit_level_tokens", "organisation" => label)
            .set(account.bucket().level().as_f64());
    }
}
