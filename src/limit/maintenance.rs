//! The actor that keeps an instance's place in the ledger and its loans.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, Weak};
use std::time::Duration;

use futures_util::future::join_all;
use kameo::prelude::{Actor, ActorRef, Context, Message as ActorMessage};
use metrics::{counter, gauge};
use tokio::time::sleep;

use super::amount::Part;
use super::ledger::{LEDGER_KEY, Ledger};
use super::loan::{LoanId, MAX_TERM, Return};
use super::message::{Answer, Message};
use super::share::{Proposal, Surroundings};
use super::shares::Shares;
use crate::id::{InstanceId, OrganisationId};
use crate::peer::PeerError;
use crate::store::{Entry, StoreError, Swap};

/// Time between two rounds of the keeper.
const TICK: Duration = Duration::from_millis(500);

/// Rounds between two looks at the loans.
const LOAN_TICKS: u64 = 4;

/// Time between two reads of the ledger while there is nothing to change.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// The same, while this instance has no place yet.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Swaps tried at once when others win the race.
const SWAPS_AT_ONCE: usize = 4;

/// A first ledger is made without an answer of listed instances after this time.
const CREATE_WAIT: Duration = Duration::from_secs(10);

/// Time in which a peer answers a message that no request waits for.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// An instance that has just started may not know yet who lives.
const YOUNG_TIME: Duration = Duration::from_secs(2);

/// Starts the keeper; it ends with the last use of the shares.
pub(super) fn start(shares: &Arc<Shares>) {
    let keeper = Keeper::spawn(Keeper {
        shares: Arc::downgrade(shares),
        ticks: 0,
        next_read: Duration::ZERO,
        missing_since: None,
        unused_since: Duration::ZERO,
    });
    tokio::spawn(tick(keeper));
}

async fn tick(keeper: ActorRef<Keeper>) {
    loop {
        if !matches!(keeper.ask(Tick).await, Ok(true)) {
            return;
        }
        let jitter = rand::random_range(0.75..1.25);
        sleep(TICK.mul_f64(jitter)).await;
    }
}

/// Gives up all shares and loans.
pub(super) async fn leave(shares: &Arc<Shares>) {
    shares.left.store(true, Ordering::Relaxed);
    let mut returns = BTreeMap::new();
    for (organisation, cell) in shares.all_cells() {
        for (giver, returned) in cell.account().give_back_all(shares.now()) {
            push(&mut returns, giver, (organisation.clone(), returned));
        }
    }
    send_returns(shares, returns).await;
    for _ in 0..SWAPS_AT_ONCE {
        let around = surroundings(shares, false);
        let Some(proposal) = shares.share().propose_to_leave(&around) else {
            return;
        };
        shares.drop_floor(Part::ZERO);
        if !matches!(swap(shares, proposal).await, Outcome::Lost) {
            return;
        }
    }
}

struct Tick;

#[derive(Actor)]
struct Keeper {
    shares: Weak<Shares>,
    ticks: u64,
    next_read: Duration,
    missing_since: Option<Duration>,
    /// Nobody has used the part of this instance's earlier runs since then.
    unused_since: Duration,
}

impl ActorMessage<Tick> for Keeper {
    type Reply = bool;

    /// Returns whether the keeper is still needed.
    async fn handle(&mut self, _: Tick, _: &mut Context<Self, bool>) -> bool {
        let Some(shares) = self.shares.upgrade() else {
            return false;
        };
        if shares.left.load(Ordering::Relaxed) {
            return false;
        }
        shares.sync_terms();
        if shares.now() >= self.next_read {
            let settled = self.sync_ledger(&shares).await;
            let interval = if settled {
                READ_INTERVAL
            } else {
                JOIN_INTERVAL
            };
            self.next_read = shares.now() + interval.mul_f64(rand::random_range(0.5..1.0));
        }
        if shares.share().has_inherited()
            && let Some(unused_since) = self.tell_ended(&shares).await
        {
            shares.share().release_inherited();
            apply_floor(&shares, unused_since);
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(LOAN_TICKS) {
            keep_loans(&shares).await;
            report(&shares);
        }
        true
    }
}

enum Outcome {
    Done,
    Lost,
    NotKnown,
}

impl Keeper {
    /// Tells the other holders that this instance's earlier runs have ended; returns since when
    /// nobody has used their part, or nothing while somebody may.
    ///
    /// Without loans that is the start of this run, as the earlier ones had ended by then.
    ///
    /// Instances that are given up do not count: what they may still use is bounded by what the
    /// earlier runs lent them, and is the price of a quick return.
    async fn tell_ended(&mut self, shares: &Arc<Shares>) -> Option<Duration> {
        let mut holders = Vec::new();
        if let Some(ledger) = shares.share().ledger() {
            for holder in ledger.holders() {
                if holder.id.instance != shares.parts.id {
                    holders.push(holder.id.instance.clone());
                }
            }
        }
        let young = shares.now() < YOUNG_TIME;
        let mut told = Vec::new();
        let mut given_up = false;
        for holder in holders {
            match shares.live_address(&holder) {
                Some(address) => told.push(address),
                None if young => return None,
                None => given_up = true,
            }
        }
        let message = Message::Ended(shares.parts.id.clone());
        let mut asked = Vec::new();
        for address in told {
            asked.push(shares.tell(address, &message, PEER_TIMEOUT));
        }
        let mut all = true;
        let mut in_use = given_up;
        for answer in join_all(asked).await {
            match answer {
                Ok(Answer::Ended { had_loans }) => in_use |= had_loans,
                Err(PeerError::NotReached(_)) => all = false,
                // The next answer does not tell what was dropped at this call.
                _ => (all, in_use) = (false, true),
            }
        }
        if in_use {
            self.unused_since = shares.now();
        }
        all.then_some(self.unused_since)
    }

    /// Reads the ledger and makes the changes that are due; returns whether none is left.
    async fn sync_ledger(&mut self, shares: &Arc<Shares>) -> bool {
        counter!("limpetstand_limit_store_calls_total", "call" => "read").increment(1);
        match shares.parts.store.get(LEDGER_KEY).await {
            Ok(found) => learn(shares, found.as_ref()),
            Err(_) => return shares.share().ledger().is_some(),
        }
        let may_create = self.look_for_copies(shares).await;
        for _ in 0..SWAPS_AT_ONCE {
            if shares.left.load(Ordering::Relaxed) {
                return true;
            }
            let around = surroundings(shares, may_create);
            let proposal = shares.share().propose(shares.now(), &around);
            let Some(proposal) = proposal else {
                return shares.share().ledger().is_some();
            };
            match swap(shares, proposal).await {
                Outcome::Done => {}
                Outcome::Lost => continue,
                Outcome::NotKnown => return false,
            }
        }
        false
    }

    /// Asks others for the ledger if the store has none; returns whether a first one may be made.
    async fn look_for_copies(&mut self, shares: &Arc<Shares>) -> bool {
        if !shares.share().is_missing() {
            self.missing_since = None;
            return false;
        }
        let now = shares.now();
        let since = *self.missing_since.get_or_insert(now);
        let mut asked = Vec::new();
        for address in shares.all_peers() {
            asked.push(shares.tell(address, &Message::Copy, PEER_TIMEOUT));
        }
        let mut all_answered = true;
        for answer in join_all(asked).await {
            match answer {
                Ok(Answer::Copy(Some((revision, ledger)))) => {
                    shares.share().learn_copy(now, revision, ledger);
                }
                Ok(_) => {}
                Err(_) => all_answered = false,
            }
        }
        all_answered || now.saturating_sub(since) >= CREATE_WAIT
    }
}

/// Takes in what the store has, and lowers or raises the floors to it.
fn learn(shares: &Shares, found: Option<&Entry>) {
    let now = shares.now();
    let ledger = match found {
        Some(entry) => match Ledger::from_bytes(&entry.value) {
            Ok(ledger) => Some((entry.mod_revision, ledger)),
            Err(e) => {
                log::error!("the ledger of limits is not taken: {e}");
                return;
            }
        },
        None => None,
    };
    shares.share().learn(now, ledger);
    apply_floor(shares, shares.now());
}

/// Takes in what the ledger gives, whose part nobody else has used since `unused_since`.
fn apply_floor(shares: &Shares, unused_since: Duration) {
    let floor = shares.share().floor();
    shares.drop_floor(floor);
    shares.raise_floor(floor, unused_since);
}

/// Lowers the floors to the proposal's, sends it, and takes in the outcome.
async fn swap(shares: &Shares, proposal: Proposal) -> Outcome {
    let value = proposal.ledger.to_bytes();
    let value = match value {
        Ok(value) if shares.lower_floor(proposal.floor) => value,
        _ => {
            shares.share().withdraw();
            return Outcome::NotKnown;
        }
    };
    counter!("limpetstand_limit_store_calls_total", "call" => "swap").increment(1);
    let store = &shares.parts.store;
    let swapped = store.swap(LEDGER_KEY, proposal.expect, value.into(), None);
    let outcome = match swapped.await {
        Ok(Swap::Done(revision)) => {
            shares.share().wrote(shares.now(), revision, proposal);
            Outcome::Done
        }
        Ok(Swap::Lost(found)) => {
            learn(shares, found.as_ref());
            Outcome::Lost
        }
        Err(StoreError::Unknown(_)) => Outcome::NotKnown,
        Err(_) => {
            shares.share().withdraw();
            Outcome::NotKnown
        }
    };
    apply_floor(shares, shares.now());
    outcome
}

fn surroundings(shares: &Shares, may_create: bool) -> Surroundings {
    let mut listed = Vec::new();
    for member in &shares.parts.fleet.borrow().members {
        listed.push((member.id.clone(), member.region.clone()));
    }
    Surroundings {
        listed,
        required: shares.required_floor(),
        may_create,
    }
}

type Returns = BTreeMap<InstanceId, Vec<(OrganisationId, Return)>>;

/// Gives back the loans that are not needed and prolongs those that are.
async fn keep_loans(shares: &Arc<Shares>) {
    let now = shares.now();
    let mut returns = Returns::new();
    let mut due: BTreeMap<InstanceId, Vec<(OrganisationId, LoanId)>> = BTreeMap::new();
    for (organisation, cell) in shares.all_cells() {
        let mut account = cell.account();
        while let Some((giver, returned)) = account.give_back_surplus(now) {
            push(&mut returns, giver, (organisation.clone(), returned));
        }
        for (giver, id) in account.to_prolong(now) {
            push(&mut due, giver, (organisation.clone(), id));
        }
    }
    send_returns(shares, returns).await;
    for (giver, loans) in due {
        tokio::spawn(prolong(Arc::clone(shares), giver, loans));
    }
}

async fn send_returns(shares: &Arc<Shares>, returns: Returns) {
    for (giver, returns) in returns {
        let Some(address) = shares.address(&giver) else {
            continue;
        };
        counter!("limpetstand_limit_loans_total", "outcome" => "returned")
            .increment(u64::try_from(returns.len()).unwrap_or(0));
        let _ = shares
            .tell(address, &Message::Return(returns), PEER_TIMEOUT)
            .await;
    }
}

async fn prolong(shares: Arc<Shares>, giver: InstanceId, loans: Vec<(OrganisationId, LoanId)>) {
    let Some(address) = shares.address(&giver) else {
        return;
    };
    let asked_at = shares.now();
    let message = Message::Prolong(loans);
    let answer = shares.tell(address, &message, PEER_TIMEOUT).await;
    let Ok(Answer::Prolonged(loans)) = answer else {
        return;
    };
    let now = shares.now();
    for (organisation, id) in loans {
        let cell = shares.cell(&organisation);
        cell.account().prolonged(now, asked_at, id, MAX_TERM);
    }
}

fn push<K: Ord, V>(map: &mut BTreeMap<K, Vec<V>>, key: K, value: V) {
    map.entry(key).or_default().push(value);
}

/// Shows floor, parts and levels as metrics.
fn report(shares: &Shares) {
    let book = shares.book.read().unwrap_or_else(PoisonError::into_inner);
    gauge!("limpetstand_limit_floor_ratio").set(book.floor.ratio());
    for (organisation, cell) in &book.cells {
        let account = cell.account();
        let label = organisation.to_string();
        gauge!("limpetstand_limit_part_ratio", "organisation" => label.clone())
            .set(account.part().ratio());
        gauge!("limpetstand_limit_lent_ratio", "organisation" => label.clone())
            .set(account.lent_part().ratio());
        gauge!("limpetstand_limit_borrowed_ratio", "organisation" => label.clone())
            .set(account.borrowed_part().ratio());
        gauge!("limpetstand_limit_level_tokens", "organisation" => label)
            .set(account.bucket().level().as_f64());
    }
}
