//! The default limiter, in which a ledger assigns parts to instances and instances lend to each
//! other.
//!
//! A request locks only its organisation's account, and makes no call to the store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use metrics::counter;
use rand::seq::SliceRandom;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::account::{Account, ChargeError, RateLimit};
use super::amount::{Amount, Part};
use super::baseline::{larger_than_burst, rate_and_burst, rate_exceeded};
use super::delegate::{self, Delegation};
use super::holders;
use super::ledger::HolderId;
use super::ledger_client::LedgerClient;
use super::loan::{LoanId, LoanRequest, MAX_TERM, Return};
use super::maintenance;
use super::message::{Answer, KIND, Message};
use super::shared_account::{PeerGroup, SharedAccount};
use super::tolerance::{Taken, ToleranceUse};
use super::{Hold, Limiter, LimiterDeps, LimiterPlugin, Settle, Started};
use crate::id::{InstanceId, OrganisationId, RegionId};
use crate::member::Health;
use crate::peer::{PeerError, PeerHandler};
use crate::refusal::Refusal;

/// Maximum time that a request waits for borrowed tokens.
const BORROW_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a loan request to one peer. A loan that arrives later is lost; the waiting request
/// itself may give up earlier.
const LOAN_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the process start in which requests that lack tokens wait for this instance's part. A
/// restarted instance reads its part from the ledger within a few hundred milliseconds; a new one
/// claims a part when the list of instances has settled. The rest is for a store that is slow.
pub(super) const PART_WAIT: Duration = Duration::from_secs(5);

/// Longest time that a request of another instance waits for this instance's part; less than the
/// time after which the other instance asks the next holder.
const PEER_PART_WAIT: Duration = Duration::from_millis(250);

/// Longest time that a request waits for the mark of the tolerance; covers two writes of the ledger
/// from another region.
const MARK_TIMEOUT: Duration = Duration::from_millis(400);

/// Peer groups that a request asks for loans, in order. Other regions are asked twice, as each peer
/// lends only a fraction of the lacking tokens.
const BORROW_ROUNDS: [PeerGroup; 3] = [
    PeerGroup::SameRegion,
    PeerGroup::OtherRegions,
    PeerGroup::OtherRegions,
];

/// Factor by which the loan requests of one round together exceed the lacking part and tokens.
const LOAN_REQUEST_REDUNDANCY: u64 = 2;

/// Maximum number of peers asked in one round.
const MAX_PEERS_PER_ROUND: usize = 8;

inventory::submit! {
    LimiterPlugin { name: "shares", start: |deps| start(deps, Mode::default()) }
}

// For deployments in which a restarted instance keeps its name.
inventory::submit! {
    LimiterPlugin {
        name: "inherited-shares",
        start: |deps| start(deps, Mode { inherits: true, few_holders: false }),
    }
}

// For deployments of many instances in which a restarted instance keeps its name.
inventory::submit! {
    LimiterPlugin {
        name: "few-holders",
        start: |deps| start(deps, Mode { inherits: true, few_holders: true }),
    }
}

/// How the parts of the limits are held.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Mode {
    /// Whether a restarted instance takes over the part of its earlier incarnations.
    inherits: bool,
    /// Whether only few instances of each region hold parts.
    pub(super) few_holders: bool,
}

fn start(deps: LimiterDeps, mode: Mode) -> Started {
    let holder_id = HolderId {
        instance: deps.id.clone(),
        incarnation: rand::random(),
    };
    let mut ledger_client = LedgerClient::of(holder_id, deps.region.clone());
    if mode.inherits {
        ledger_client = ledger_client.inheriting();
    }
    let shares = Arc::new(Shares {
        ledger_client: Mutex::new(ledger_client),
        serial: AtomicU64::new(0),
        has_left: AtomicBool::new(false),
        account_table: RwLock::default(),
        delegation: Delegation::new(),
        tolerance_use: Mutex::default(),
        part_changed: Notify::new(),
        mark_wanted: Arc::default(),
        is_holder: AtomicBool::new(!mode.few_holders),
        lacks_ledger: AtomicBool::new(false),
        mode,
        deps,
    });
    maintenance::start(&shares);
    if mode.few_holders {
        tokio::spawn(delegate::send_settlements(Arc::downgrade(&shares)));
    }
    Started {
        limiter: Arc::new(SharesLimiter(Arc::clone(&shares))),
        handler: Some(Arc::new(SharesHandler(shares))),
    }
}

/// Accounts of all organisations at this instance.
#[derive(Debug, Default)]
pub(super) struct AccountTable {
    pub(super) floor: Part,
    /// Time of the last raise of the floor, from which the tokens of a new organisation refill.
    pub(super) floor_since: Duration,
    pub(super) accounts: HashMap<OrganisationId, Arc<SharedAccount>>,
}

/// Limiter state used by requests, messages from peers and the maintenance actor.
pub(super) struct Shares {
    pub(super) deps: LimiterDeps,
    pub(super) account_table: RwLock<AccountTable>,
    ledger_client: Mutex<LedgerClient>,
    serial: AtomicU64,
    /// Set when the instance leaves the ledger for good.
    pub(super) has_left: AtomicBool,
    pub(super) mode: Mode,
    /// Whether this instance holds parts.
    pub(super) is_holder: AtomicBool,
    /// Whether there is no ledger yet: the store has none, and no instance that answers has a copy.
    pub(super) lacks_ledger: AtomicBool,
    pub(super) delegation: Delegation,
    tolerance_use: Mutex<ToleranceUse>,
    /// Notified when the part that this instance may use changes, or the mark of its tolerance.
    part_changed: Notify,
    /// Notified when requests need the mark.
    pub(super) mark_wanted: Arc<Notify>,
}

impl Shares {
    /// Locks the ledger client; the guard must not be held across an `await`.
    pub(super) fn ledger_client(&self) -> MutexGuard<'_, LedgerClient> {
        self.ledger_client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Duration {
        self.deps.clock.now()
    }

    /// Returns an organisation's account and opens it if necessary.
    pub(super) fn account(&self, organisation: &OrganisationId) -> Arc<SharedAccount> {
        let table = self
            .account_table
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(shared_account) = table.accounts.get(organisation) {
            return Arc::clone(shared_account);
        }
        drop(table);
        let limit = self.rate_limit(organisation).unwrap_or_default();
        let mut table = self
            .account_table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let (floor, since) = (table.floor, table.floor_since);
        let shared_account = table
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Arc::new(SharedAccount::new(Account::open(since, limit, floor))));
        Arc::clone(shared_account)
    }

    /// Returns an organisation's limit in the configuration in force.
    pub(super) fn rate_limit(&self, organisation: &OrganisationId) -> Option<RateLimit> {
        let (rate, burst) = rate_and_burst(&self.deps, organisation).ok()?;
        Some(RateLimit { rate, burst })
    }

    /// Applies what the ledger says of this instance's part of the tolerance.
    pub(super) fn apply_tolerance(&self) {
        let now = self.now();
        self.tolerance_use().follow(now, &mut self.ledger_client());
        self.part_changed.notify_waiters();
    }

    /// Locks the use of the tolerance; the guard must not be held across an `await`.
    pub(super) fn tolerance_use(&self) -> MutexGuard<'_, ToleranceUse> {
        self.tolerance_use
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the tokens of a request out of this instance's part of the tolerance.
    fn take_tolerance(&self, organisation: &OrganisationId, tokens: u64) -> Taken {
        let tolerance = (self.deps.tolerance)();
        let Some(limit) = self
            .rate_limit(organisation)
            .filter(|_| !tolerance.is_none())
        else {
            return Taken::Insufficient;
        };
        let mut tolerance_use = self.tolerance_use();
        let taken = tolerance_use.take(self.now(), organisation, tokens, limit, &tolerance);
        if taken == Taken::NeedsMark {
            self.mark_wanted.notify_one();
        }
        taken
    }

    /// Creates the hold of a request that has been charged to its account.
    fn hold(self: &Arc<Self>, charge: &Charge<'_>) -> Hold {
        let settler = Arc::clone(self) as _;
        Hold::new(charge.organisation.clone(), charge.tokens, settler)
    }

    /// Returns whether this instance has just started and does not know its part yet.
    fn expects_part(&self) -> bool {
        self.now() < PART_WAIT
            && self.ledger_client().assigned_part().is_zero()
            && (!self.mode.few_holders || self.holder_ids().contains(&self.deps.id))
    }

    /// Sends a message to another instance and returns the answer.
    pub(super) async fn call_peer(
        &self,
        to: SocketAddr,
        message: &Message,
        wait: Duration,
    ) -> Result<Answer, PeerError> {
        let body = message.to_bytes()?;
        counter!("limpetstand_limit_messages_total").increment(1);
        let answer = self.deps.peers.ask(to, KIND, body, wait).await?;
        Answer::from_bytes(&answer)
    }

    /// Returns the peer address of another instance.
    pub(super) fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let fleet = self.deps.fleet.borrow();
        let member = fleet.members.iter().find(|m| m.id == *instance)?;
        Some(member.peer)
    }

    /// Returns the peer address of another instance unless membership considers it dead.
    pub(super) fn live_peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let fleet = self.deps.fleet.borrow();
        let mut members = fleet.members.iter();
        let member = members.find(|m| m.id == *instance && m.health != Health::Dead)?;
        Some(member.peer)
    }

    fn peers_in(&self, group: PeerGroup) -> Vec<(InstanceId, SocketAddr)> {
        let mut peers = Vec::new();
        for member in &self.deps.fleet.borrow().members {
            let same_region = member.region == self.deps.region;
            if member.id == self.deps.id || same_region != (group == PeerGroup::SameRegion) {
                continue;
            }
            if member.health == Health::Dead {
                continue;
            }
            peers.push((member.id.clone(), member.peer));
        }
        if self.mode.few_holders {
            let holders = self.holder_ids();
            peers.retain(|(id, _)| holders.contains(id));
        }
        peers.shuffle(&mut rand::rng());
        peers.truncate(MAX_PEERS_PER_ROUND);
        peers
    }

    /// Returns the instances of the fleet that hold parts.
    pub(super) fn holder_ids(&self) -> BTreeSet<InstanceId> {
        let fleet = self.deps.fleet.borrow();
        let mut by_region: BTreeMap<&RegionId, Vec<&str>> = BTreeMap::new();
        for member in &fleet.members {
            if member.health != Health::Leaving {
                let ids = by_region.entry(&member.region).or_default();
                ids.push(member.id.as_str());
            }
        }
        let mut all = BTreeSet::new();
        for (region, ids) in by_region {
            let holders = holders::holders(region.as_str(), &ids);
            all.extend(holders.into_iter().map(InstanceId::from));
        }
        all
    }

    /// Returns whether this instance leaves and its region has no other live instance.
    pub(super) fn is_last_holder(&self) -> bool {
        let fleet = self.deps.fleet.borrow();
        let mut is_leaving = false;
        for member in &fleet.members {
            if member.id == self.deps.id {
                is_leaving = member.health == Health::Leaving;
            } else if member.region == self.deps.region && member.health == Health::Live {
                return false;
            }
        }
        is_leaving
    }

    fn charge(
        &self,
        shared_account: &SharedAccount,
        charge: &Charge<'_>,
    ) -> Result<(), ChargeError> {
        let mut account = shared_account.lock();
        let now = self.now();
        if account.limit() != charge.limit {
            account.set_limit(now, charge.limit);
        }
        account.charge_as_of(
            now,
            charge.refilled_at_arrival,
            charge.tokens,
            charge.time_left,
        )
    }

    fn can_charge(&self, shared_account: &SharedAccount, charge: &Charge<'_>) -> bool {
        let mut account = shared_account.lock();
        account.can_charge_as_of(
            self.now(),
            charge.refilled_at_arrival,
            charge.tokens,
            charge.time_left,
        )
    }

    /// Borrows from peers until the request has been charged or all rounds are done; returns
    /// whether the request has been charged.
    async fn borrow(
        self: &Arc<Self>,
        shared_account: &Arc<SharedAccount>,
        charge: &Charge<'_>,
    ) -> bool {
        for group in BORROW_ROUNDS {
            if !shared_account.may_ask(self.now(), group) {
                continue;
            }
            let _borrow_guard = shared_account.borrow_lock.lock().await;
            if self.charge(shared_account, charge).is_ok() {
                return true;
            }
            self.borrow_round(shared_account, group, charge).await;
            if self.charge(shared_account, charge).is_ok() {
                return true;
            }
        }
        false
    }

    /// Returns the time after which the caller's retry may succeed.
    fn retry_after(&self, shared_account: &SharedAccount, charge: &Charge<'_>) -> Option<Duration> {
        let fleet_wide = Part::WHOLE.of_rate(charge.limit.rate);
        match shared_account.lock().refill_time(self.now(), charge.tokens) {
            Some(wait) => Some(wait),
            None => fleet_wide.time_for(Amount::tokens(charge.tokens)),
        }
    }

    /// Asks the peers of a group for loans concurrently, until the request can be charged or all
    /// peers have answered.
    async fn borrow_round(
        self: &Arc<Self>,
        shared_account: &Arc<SharedAccount>,
        group: PeerGroup,
        charge: &Charge<'_>,
    ) {
        if !shared_account.may_ask(self.now(), group) {
            return;
        }
        let peers = self.peers_in(group);
        let count = u64::try_from(peers.len()).unwrap_or(1);
        let (tx, mut rx) = mpsc::channel(MAX_PEERS_PER_ROUND);
        for (lender, address) in peers {
            let Some(loan_request) = self.prepare_loan_request(shared_account, charge, count)
            else {
                return;
            };
            // A separate task, so that a loan still arrives after the request has stopped waiting.
            let call = OutgoingLoanRequest {
                shares: Arc::clone(self),
                shared_account: Arc::clone(shared_account),
                organisation: charge.organisation.clone(),
                lender,
                address,
            };
            let tx = tx.clone();
            tokio::spawn(async move {
                let obtained = call.run(loan_request).await;
                let _ = tx.send(obtained).await;
            });
        }
        drop(tx);
        let mut obtained = false;
        while let Some(peer_lent) = rx.recv().await {
            obtained |= peer_lent;
            if peer_lent && self.can_charge(shared_account, charge) {
                break;
            }
        }
        shared_account.record_round(self.now(), group, obtained);
    }

    fn prepare_loan_request(
        &self,
        shared_account: &SharedAccount,
        charge: &Charge<'_>,
        peers: u64,
    ) -> Option<LoanRequest> {
        let id = LoanId {
            borrower: self.ledger_client().holder_id().incarnation,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
        };
        let now = self.now();
        let mut loan_request = shared_account.lock().prepare_loan_request(
            now,
            id,
            &self.deps.id,
            charge.tokens,
            charge.time_left,
        )?;
        let peers = peers.max(1);
        let times = LOAN_REQUEST_REDUNDANCY.min(peers);
        loan_request.wanted_part = loan_request.wanted_part.mul_div_floor(1, peers);
        loan_request.required_part = loan_request.required_part.mul_div_floor(times, peers);
        loan_request.tokens = loan_request.tokens.mul_div_ceil(times, peers);
        Some(loan_request)
    }

    /// Borrows from peers in the background, before a request lacks tokens.
    fn borrow_ahead(self: &Arc<Self>, shared_account: &Arc<SharedAccount>, charge: &Charge<'_>) {
        let now = self.now();
        let may_ask_peers = shared_account.may_ask(now, PeerGroup::SameRegion)
            || shared_account.may_ask(now, PeerGroup::OtherRegions);
        if !may_ask_peers
            || !shared_account.lock().should_borrow_ahead(now)
            || shared_account.borrow_lock.try_lock().is_err()
        {
            return;
        }
        let shares = Arc::clone(self);
        let shared_account = Arc::clone(shared_account);
        let organisation = charge.organisation.clone();
        let (limit, time_left) = (charge.limit, charge.time_left);
        tokio::spawn(async move {
            let charge = Charge {
                organisation: &organisation,
                limit,
                tokens: 0,
                time_left,
                refilled_at_arrival: shared_account.lock().total_refilled(shares.now()),
            };
            let Ok(_borrow_guard) = shared_account.borrow_lock.try_lock() else {
                return;
            };
            for group in [PeerGroup::SameRegion, PeerGroup::OtherRegions] {
                if shared_account.lock().should_borrow_ahead(shares.now()) {
                    shares.borrow_round(&shared_account, group, &charge).await;
                }
            }
        });
    }

    fn accept_returns(&self, shared_account: &SharedAccount, returns: &[Return]) -> bool {
        let now = self.now();
        let mut account = shared_account.lock();
        let mut any_accepted = false;
        for returned in returns {
            any_accepted |= account.accept_return(now, returned);
        }
        any_accepted
    }
}

/// The charge of one request.
struct Charge<'a> {
    organisation: &'a OrganisationId,
    limit: RateLimit,
    tokens: u64,
    time_left: Duration,
    /// [`Account::total_refilled`] at the request's arrival.
    refilled_at_arrival: Amount,
}

/// A loan request to one peer.
struct OutgoingLoanRequest {
    shares: Arc<Shares>,
    shared_account: Arc<SharedAccount>,
    organisation: OrganisationId,
    lender: InstanceId,
    address: SocketAddr,
}

impl OutgoingLoanRequest {
    /// Sends the loan request; returns whether the peer lent tokens or returned a loan.
    async fn run(self, loan_request: LoanRequest) -> bool {
        let id = loan_request.id;
        let message = Message::Borrow(self.organisation.clone(), loan_request);
        let answer = self
            .shares
            .call_peer(self.address, &message, LOAN_CALL_TIMEOUT)
            .await;
        let Ok(Answer::Loan(loan, returns)) = answer else {
            self.shared_account.lock().cancel_loan_request(id);
            counter!("limpetstand_limit_loans_total", "outcome" => "lost").increment(1);
            return false;
        };
        let mut obtained = self.shares.accept_returns(&self.shared_account, &returns);
        let now = self.shares.now();
        let mut account = self.shared_account.lock();
        match loan {
            Some(loan) => obtained |= account.accept_loan(now, &self.lender, &loan),
            None => account.cancel_loan_request(id),
        }
        let outcome = if obtained { "taken" } else { "none" };
        counter!("limpetstand_limit_loans_total", "outcome" => outcome).increment(1);
        obtained
    }
}

pub(super) struct SharesLimiter(pub(super) Arc<Shares>);

#[async_trait]
impl Limiter for SharesLimiter {
    async fn admit(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        time_left: Duration,
    ) -> Result<Hold, Refusal> {
        if self.0.mode.few_holders {
            let (_, burst) = rate_and_burst(&self.0.deps, organisation)?;
            if tokens > burst {
                let tolerated = self.admit_beyond_share(organisation, tokens, time_left);
                return tolerated
                    .await
                    .ok_or_else(|| count_refusal(organisation, larger_than_burst(tokens, burst)));
            }
            return delegate::admit(self, organisation, tokens, time_left).await;
        }
        let wait = PART_WAIT.min(time_left);
        self.admit_here(organisation, tokens, time_left, wait).await
    }

    fn is_starting(&self) -> bool {
        self.0.expects_part()
    }

    async fn leave(&self) {
        maintenance::leave(&self.0).await;
    }
}

impl SharesLimiter {
    /// Charges a request to this instance's part of the tolerance. The request waits until the
    /// ledger marks the part, and just after the process start until the part is known, at most
    /// for `wait`.
    pub(super) async fn admit_beyond_share(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        wait: Duration,
    ) -> Option<Hold> {
        let shares = &self.0;
        let until = Instant::now() + wait.min(MARK_TIMEOUT);
        loop {
            let part_changed = shares.part_changed.notified();
            match shares.take_tolerance(organisation, tokens) {
                Taken::Yes => return Some(Hold::tolerated(organisation.clone(), tokens)),
                Taken::Insufficient if !shares.expects_part() => return None,
                Taken::Insufficient | Taken::NeedsMark => {}
            }
            timeout_at(until, part_changed).await.ok()?;
        }
    }

    /// Charges a request that arrives just after the process start, when the account is empty, to
    /// what the account gains within `wait`.
    async fn admit_while_starting(
        &self,
        shared_account: &SharedAccount,
        charge: &Charge<'_>,
        wait: Duration,
    ) -> Option<Hold> {
        let shares = &self.0;
        let until = Instant::now() + wait.min(PART_WAIT.saturating_sub(shares.now()));
        loop {
            let part_changed = shares.part_changed.notified();
            let charge = Charge {
                refilled_at_arrival: shared_account.lock().total_refilled(shares.now()),
                ..*charge
            };
            if shares.charge(shared_account, &charge).is_ok() {
                return Some(shares.hold(&charge));
            }
            if Instant::now() >= until {
                return None;
            }
            let refill = shared_account
                .lock()
                .refill_time(shares.now(), charge.tokens);
            match refill.map(|time| Instant::now() + time) {
                Some(refilled) if refilled < until => sleep_until(refilled).await,
                _ if shares.ledger_client().floor().is_zero() => {
                    timeout_at(until, part_changed).await.ok()?;
                }
                _ => return None,
            }
        }
    }

    /// Charges a request to this instance's account, or else to its part of the tolerance. While the
    /// process starts, the request waits at most for `wait` for either.
    pub(super) async fn admit_here(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        time_left: Duration,
        wait: Duration,
    ) -> Result<Hold, Refusal> {
        let shares = &self.0;
        let (rate, burst) = rate_and_burst(&shares.deps, organisation)?;
        let shared_account = shares.account(organisation);
        shared_account
            .lock()
            .record_demand(shares.now(), tokens, time_left);
        let refilled_at_arrival = shared_account.lock().total_refilled(shares.now());
        let charge = Charge {
            organisation,
            limit: RateLimit { rate, burst },
            tokens,
            time_left,
            refilled_at_arrival,
        };
        match shares.charge(&shared_account, &charge) {
            Ok(()) => {
                shares.borrow_ahead(&shared_account, &charge);
                return Ok(shares.hold(&charge));
            }
            Err(ChargeError::LargerThanBurst) => {
                return Err(count_refusal(
                    organisation,
                    larger_than_burst(tokens, burst),
                ));
            }
            Err(ChargeError::Insufficient) => {}
        }
        let borrowed = shares.borrow(&shared_account, &charge);
        if timeout(BORROW_TIMEOUT.min(time_left), borrowed).await == Ok(true) {
            return Ok(shares.hold(&charge));
        }
        let admitted = self.admit_beyond_share(organisation, tokens, wait);
        if let Some(hold) = admitted.await {
            return Ok(hold);
        }
        let admitted = self.admit_while_starting(&shared_account, &charge, wait);
        if let Some(hold) = admitted.await {
            return Ok(hold);
        }
        let wait = shares.retry_after(&shared_account, &charge);
        Err(count_refusal(organisation, rate_exceeded(wait)))
    }
}

impl Settle for Shares {
    fn release(&self, organisation: &OrganisationId, held: u64, used: u64) {
        let now = self.now();
        self.account(organisation).lock().release(now, held, used);
    }
}

/// Handles messages from other instances.
struct SharesHandler(Arc<Shares>);

#[async_trait]
impl PeerHandler for SharesHandler {
    fn kind(&self) -> &'static str {
        KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let answer = match Message::from_bytes(&body)? {
            Message::Borrow(organisation, loan_request) => self.lend(&organisation, &loan_request),
            Message::Prolong(loans) => self.prolong(loans),
            Message::Return(returns) => self.accept_return(&returns),
            Message::Ended(instance) => {
                let now = self.0.now();
                let mut had_loans = false;
                for (_, shared_account) in self.0.all_accounts() {
                    had_loans |= shared_account.lock().drop_loans_from(now, &instance);
                }
                Answer::Ended { had_loans }
            }
            Message::EndedBorrower(instance, incarnations) => {
                let now = self.0.now();
                for (_, shared_account) in self.0.all_accounts() {
                    let mut account = shared_account.lock();
                    account.drop_loans_to(now, &instance, &incarnations);
                }
                Answer::Noted
            }
            Message::Charge {
                organisation,
                tokens,
                time_left,
            } => self.charge_for_peer(&organisation, tokens, time_left).await,
            Message::Settle(settlements) => {
                self.0.delegation.settle(&settlements);
                Answer::Noted
            }
            Message::Copy => {
                let ledger_client = self.0.ledger_client();
                Answer::Copy(
                    ledger_client
                        .copy()
                        .map(|(revision, l)| (revision, l.clone())),
                )
            }
        };
        answer.to_bytes()
    }
}

impl SharesHandler {
    async fn charge_for_peer(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        time_left: Duration,
    ) -> Answer {
        let limiter = SharesLimiter(Arc::clone(&self.0));
        let wait = PEER_PART_WAIT.min(time_left);
        let admitted = limiter.admit_here(organisation, tokens, time_left, wait);
        match admitted.await {
            Ok(hold) => Answer::Charged(self.0.delegation.keep(self.0.now(), hold, time_left)),
            Err(refusal) => Answer::Refused(refusal),
        }
    }

    fn lend(&self, organisation: &OrganisationId, loan_request: &LoanRequest) -> Answer {
        let Some(limit) = self.0.rate_limit(organisation) else {
            return Answer::Loan(None, Vec::new());
        };
        let shared_account = self.0.account(organisation);
        let now = self.0.now();
        let mut account = shared_account.lock();
        if account.limit() != limit {
            account.set_limit(now, limit);
        }
        let (loan, returns) = account.handle_loan_request(now, loan_request);
        if loan.is_some() {
            counter!("limpetstand_limit_loans_total", "outcome" => "given").increment(1);
        }
        Answer::Loan(loan, returns)
    }

    fn prolong(&self, loans: Vec<(OrganisationId, LoanId)>) -> Answer {
        let now = self.0.now();
        let mut prolonged = Vec::new();
        for (organisation, id) in loans {
            if self
                .0
                .account(&organisation)
                .lock()
                .prolong(now, id, MAX_TERM)
            {
                prolonged.push((organisation, id));
            }
        }
        Answer::Prolonged(prolonged)
    }

    fn accept_return(&self, returns: &[(OrganisationId, Return)]) -> Answer {
        let now = self.0.now();
        for (organisation, returned) in returns {
            self.0
                .account(organisation)
                .lock()
                .accept_return(now, returned);
        }
        Answer::Noted
    }
}

fn count_refusal(organisation: &OrganisationId, refusal: Refusal) -> Refusal {
    counter!(
        "limpetstand_limit_refused_total",
        "organisation" => organisation.to_string(),
        "code" => refusal.code().as_str()
    )
    .increment(1);
    refusal
}
