//! Token account of one organisation at one instance.
//!
//! The instance owns a floor: the part of the organisation's rate and burst that the ledger
//! assigns to it. The account can lend part of the floor to other instances and borrow from them.
//! The parts usable at all instances, plus the loans in transit, never exceed the whole.
//!
//! The account maintains these invariants:
//!
//! - A loan is deducted from the lender's account before the lender sends it, and is credited
//!   again only when its term ends or the borrower returns it. A loan whose message is lost stays
//!   deducted until its term ends.
//! - A loan ends at the borrower before it ends at the lender.
//! - At every future time, the floor plus the loans still borrowed then cover the loans still lent
//!   and the tokens still held then. A borrowed part is therefore lent on only until its own loan
//!   ends, and no request is admitted on a loan that ends before the request's deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use super::amount::{Amount, Part};
use super::bucket::Bucket;
use super::demand::Demand;
use super::loan::{
    Loan, LoanId, LoanRequest, MAX_TERM, MIN_REQUESTED_TERM, Return, borrower_term, lender_term,
};
use crate::id::InstanceId;

/// Time after a request's deadline in which targets may still serve the request's tokens.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// Part that the account tries to have, in percent of the part that the demand needs.
const DEMAND_HEADROOM_PERCENT: u64 = 125;

/// Loans are returned when the usable part exceeds this percentage of the part that the demand
/// needs.
const RETURN_ABOVE_PERCENT: u64 = 175;

/// Minimum term of a loan that is shortened because a covering loan ends.
const MIN_LENT_TERM: Duration = Duration::from_secs(2);

/// Remaining time at which a borrower asks to prolong a loan: half of the maximum term.
const PROLONG_THRESHOLD: Duration = Duration::from_secs(MAX_TERM.as_secs() / 2);

/// Divisor of the moving average of `typical_time_left`: the weight of a new request is the
/// reciprocal of this number.
const TYPICAL_TIME_SMOOTHING: u32 = 8;

/// Expected time between a loan request and the arrival of the loan.
const EXPECTED_LOAN_DELAY: Duration = Duration::from_millis(400);

/// A lender keeps enough tokens to serve its own demand for this time.
const RESERVE_TIME: Duration = Duration::from_millis(100);

/// Rate and burst of an organisation in the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateLimit {
    /// Tokens per second over the whole fleet.
    pub rate: u64,
    /// Maximum number of tokens that may be saved up or held at once over the whole fleet.
    pub burst: u64,
}

/// Reason why a request could not be charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeError {
    /// The request needs more tokens than the burst and can never be charged.
    LargerThanBurst,
    /// The account lacks tokens, or capacity that lasts until the request's deadline.
    Insufficient,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct LentLoan {
    to: InstanceId,
    loan: Loan,
    ends_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct BorrowedLoan {
    from: InstanceId,
    part: Part,
    ends_at: Duration,
}

/// Token account of one organisation at one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    limit: RateLimit,
    floor: Part,
    lent: BTreeMap<LoanId, LentLoan>,
    borrowed: BTreeMap<LoanId, BorrowedLoan>,
    open_requests: BTreeMap<LoanId, Duration>,
    /// When a process of each lender was last announced to have ended.
    ended_lenders: BTreeMap<InstanceId, Duration>,
    bucket: Bucket,
    holds_until: Duration,
    demand: Demand,
    /// Moving average of the time between a request's arrival and its deadline.
    typical_time_left: Duration,
}

impl Account {
    /// Opens an empty account.
    pub fn open(now: Duration, limit: RateLimit, floor: Part) -> Self {
        let mut account = Self {
            limit,
            floor,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            ended_lenders: BTreeMap::new(),
            bucket: Bucket::empty(now),
            holds_until: now,
            demand: Demand::zero(now),
            typical_time_left: Duration::ZERO,
        };
        account.resize_bucket();
        account
    }

    /// Returns the organisation's rate and burst.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns the account's token bucket.
    pub fn bucket(&self) -> &Bucket {
        &self.bucket
    }

    /// Returns the part that this instance may use now: floor plus borrowed minus lent parts.
    pub fn usable_part(&self) -> Part {
        self.floor
            .saturating_add(self.borrowed_part())
            .saturating_sub(self.lent_part())
    }

    /// Returns the part that is lent to other instances.
    pub fn lent_part(&self) -> Part {
        sum(self.lent.values().map(|l| l.loan.part))
    }

    /// Returns the part that is borrowed from other instances.
    pub fn borrowed_part(&self) -> Part {
        sum(self.borrowed.values().map(|b| b.part))
    }

    /// Sets the rate and burst of a new revision of the configuration.
    pub fn set_limit(&mut self, now: Duration, limit: RateLimit) {
        self.advance(now);
        self.limit = limit;
        self.resize_bucket();
    }

    /// Raises the floor to the part assigned by the ledger.
    pub fn raise_floor(&mut self, now: Duration, floor: Part) {
        self.advance(now);
        self.floor = self.floor.max(floor);
        self.resize_bucket();
    }

    /// Raises the floor and credits the refill of the added part since `since`.
    ///
    /// The caller ensures that no instance has used the added part since `since`.
    pub fn raise_floor_with_refill(&mut self, now: Duration, floor: Part, since: Duration) {
        let raised = floor.saturating_sub(self.floor);
        self.raise_floor(now, floor);
        let refill = raised
            .of_rate(self.limit.rate)
            .tokens_in(now.saturating_sub(since));
        self.bucket
            .add_tokens(refill.min(raised.of_burst(self.limit.burst)));
    }

    /// Lowers the floor if the new floor covers the lent loans and held tokens; otherwise returns
    /// `false`.
    pub fn lower_floor(&mut self, now: Duration, floor: Part) -> bool {
        self.advance(now);
        if floor < self.required_floor() {
            return false;
        }
        self.floor = self.floor.min(floor);
        self.resize_bucket();
        true
    }

    /// Lowers the floor to `floor` unconditionally, because the ledger no longer assigns more.
    pub fn revoke_floor(&mut self, now: Duration, floor: Part) {
        self.advance(now);
        self.floor = self.floor.min(floor);
        self.resize_bucket();
    }

    /// Returns the minimum floor that covers the lent loans and held tokens, now and at all later
    /// times.
    pub fn required_floor(&self) -> Part {
        let mut required = Part::ZERO;
        for time in self.coverage_ends() {
            let missing = self
                .committed_at(time)
                .saturating_sub(self.borrowed_after(time));
            required = required.max(missing);
        }
        required
    }

    /// Records a request in the demand estimate and in the average time until the deadline.
    pub fn record_demand(&mut self, now: Duration, tokens: u64, time_left: Duration) {
        self.demand.add(now, tokens);
        let time_left = time_left.min(MAX_TERM);
        let others = self.typical_time_left * (TYPICAL_TIME_SMOOTHING - 1);
        self.typical_time_left = match self.typical_time_left {
            Duration::ZERO => time_left,
            _ => (others + time_left) / TYPICAL_TIME_SMOOTHING,
        };
    }

    /// Returns the total tokens refilled so far, as a reference for [`Account::charge_as_of`].
    pub fn total_refilled(&mut self, now: Duration) -> Amount {
        self.advance(now);
        self.bucket.total_refilled()
    }

    /// Charges a request that has waited for loans since its arrival.
    ///
    /// `refilled_at_arrival` is [`Account::total_refilled`] at the request's arrival. Tokens
    /// refilled since then are not spent, so that requests are charged as of their arrival.
    ///
    /// # Errors
    ///
    /// As for [`Account::charge`].
    pub fn charge_as_of(
        &mut self,
        now: Duration,
        refilled_at_arrival: Amount,
        tokens: u64,
        time_left: Duration,
    ) -> Result<(), ChargeError> {
        self.advance(now);
        if tokens <= self.limit.burst && !self.had_tokens_at_arrival(refilled_at_arrival, tokens) {
            return Err(ChargeError::Insufficient);
        }
        self.charge(now, tokens, time_left)
    }

    /// Charges a request whose deadline is `time_left` from now.
    ///
    /// # Errors
    ///
    /// If the request is larger than the burst, or the account lacks tokens or capacity.
    pub fn charge(
        &mut self,
        now: Duration,
        tokens: u64,
        time_left: Duration,
    ) -> Result<(), ChargeError> {
        self.advance(now);
        if tokens > self.limit.burst {
            return Err(ChargeError::LargerThanBurst);
        }
        let amount = Amount::tokens(tokens);
        let until = now + time_left + DEADLINE_MARGIN;
        if !self.has_tokens_and_capacity(amount, until) || !self.bucket.hold(amount) {
            return Err(ChargeError::Insufficient);
        }
        self.holds_until = self.holds_until.max(until);
        Ok(())
    }

    /// Returns whether [`Account::charge_as_of`] with the same arguments would succeed at `now`.
    pub fn can_charge_as_of(
        &mut self,
        now: Duration,
        refilled_at_arrival: Amount,
        tokens: u64,
        time_left: Duration,
    ) -> bool {
        self.advance(now);
        let until = now + time_left + DEADLINE_MARGIN;
        self.had_tokens_at_arrival(refilled_at_arrival, tokens)
            && self.has_tokens_and_capacity(Amount::tokens(tokens), until)
    }

    /// Returns whether the bucket's level, without the tokens refilled since the request's arrival,
    /// covers `tokens`.
    fn had_tokens_at_arrival(&self, refilled_at_arrival: Amount, tokens: u64) -> bool {
        let refilled_since = self.bucket.total_refilled() - refilled_at_arrival;
        self.bucket.level() - refilled_since >= Amount::tokens(tokens)
    }

    /// Returns the time until the refill alone provides `tokens`; `None` if the refill never does.
    pub fn refill_time(&mut self, now: Duration, tokens: u64) -> Option<Duration> {
        self.advance(now);
        let amount = Amount::tokens(tokens);
        if self.bucket.held() + amount > self.bucket.capacity() {
            return None;
        }
        self.bucket.rate().time_for(amount - self.bucket.level())
    }

    /// Releases `held` tokens, of which `used` have been served.
    pub fn release(&mut self, now: Duration, held: u64, used: u64) {
        self.advance(now);
        self.bucket
            .release(Amount::tokens(held), Amount::tokens(used));
        if self.bucket.held().is_zero_or_negative() {
            self.holds_until = now;
        }
    }

    /// Prepares a loan request for the part and tokens that this account lacks for a request of
    /// `tokens` and for the demand; `None` if the account lacks nothing.
    pub fn prepare_loan_request(
        &mut self,
        now: Duration,
        id: LoanId,
        from: &InstanceId,
        tokens: u64,
        time_left: Duration,
    ) -> Option<LoanRequest> {
        self.advance(now);
        let amount = Amount::tokens(tokens);
        let until = now + time_left + DEADLINE_MARGIN;
        let mut missing_tokens = (amount - self.bucket.level()).max(Amount::ZERO);
        let mut min_term = Duration::ZERO;
        if tokens > 0 {
            // The request may not spend the tokens that are refilled while it waits.
            missing_tokens += self.bucket.rate().tokens_in(EXPECTED_LOAN_DELAY);
            min_term = lender_term(time_left + DEADLINE_MARGIN + EXPECTED_LOAN_DELAY);
        }
        let missing_capacity = self.bucket.held() + amount - self.capacity_until(until);
        let required_part = Part::covering(missing_capacity.max(missing_tokens), self.limit.burst);
        let wanted_part = self
            .needed_part(now, DEMAND_HEADROOM_PERCENT)
            .saturating_sub(self.usable_part());
        if required_part.is_zero() && wanted_part.is_zero() {
            return None;
        }
        self.open_requests.insert(id, now);
        let term = (time_left * 2).clamp(MIN_REQUESTED_TERM, MAX_TERM);
        Some(LoanRequest {
            id,
            from: from.clone(),
            tokens: missing_tokens,
            required_part,
            wanted_part,
            term,
            min_term,
        })
    }

    /// Answers a loan request: first returns loans borrowed from the requester, then lends.
    ///
    /// Without the returns two instances could lend to each other, and neither could commit the
    /// borrowed parts beyond the end of the other's loan.
    pub fn handle_loan_request(
        &mut self,
        now: Duration,
        loan_request: &LoanRequest,
    ) -> (Option<Loan>, Vec<Return>) {
        self.advance(now);
        let max_returned = if loan_request.required_part.is_zero() {
            loan_request.wanted_part.min(self.unneeded_part(now))
        } else {
            Part::WHOLE
        };
        let borrowed_before = self.borrowed_part();
        let returns = self.return_to_lender(now, &loan_request.from, max_returned);
        let mut remaining_request = loan_request.clone();
        remaining_request.wanted_part = remaining_request
            .wanted_part
            .saturating_sub(borrowed_before.saturating_sub(self.borrowed_part()));
        if remaining_request.required_part.is_zero()
            && remaining_request.wanted_part.is_zero()
            && !returns.is_empty()
        {
            return (None, returns);
        }
        (self.lend(now, &remaining_request), returns)
    }

    /// Lends the part and tokens that this account can spare; a repeated loan request gets the same
    /// loan again.
    pub fn lend(&mut self, now: Duration, loan_request: &LoanRequest) -> Option<Loan> {
        self.advance(now);
        if let Some(lent) = self.lent.get(&loan_request.id) {
            return Some(lent.loan.clone());
        }
        let spare_tokens = self.spare_tokens(now);
        if spare_tokens.is_zero_or_negative() {
            return None;
        }
        let min_tokens = loan_request.tokens.min(spare_tokens);
        let room = Part::covering(min_tokens, self.limit.burst);
        let part = loan_request
            .wanted_part
            .min(self.unneeded_part(now))
            .max(room);
        let target_part = part.max(loan_request.required_part);
        let (part, term) = self.lendable(
            now,
            target_part,
            loan_request.term.min(MAX_TERM),
            loan_request.min_term,
        );
        if part.is_zero() {
            return None;
        }
        let overflow = self.bucket.level() + self.bucket.held()
            - self
                .usable_part()
                .saturating_sub(part)
                .of_burst(self.limit.burst);
        let tokens = min_tokens
            .max(overflow)
            .min(part.of_burst(self.limit.burst));
        let loan = Loan {
            id: loan_request.id,
            part,
            tokens,
            term,
        };
        self.bucket.remove_tokens(loan.tokens);
        let lent = LentLoan {
            to: loan_request.from.clone(),
            loan: loan.clone(),
            ends_at: now + loan.term,
        };
        self.lent.insert(loan_request.id, lent);
        self.resize_bucket();
        Some(loan)
    }

    /// Adds a loan from another instance if this account requested the loan, and neither the loan
    /// nor the lender's process has ended since; otherwise returns `false`.
    pub fn accept_loan(&mut self, now: Duration, from: &InstanceId, loan: &Loan) -> bool {
        self.advance(now);
        let Some(requested_at) = self.open_requests.remove(&loan.id) else {
            return false;
        };
        let until = requested_at + borrower_term(loan.term);
        let lender_ended_at = self.ended_lenders.get(from);
        if until <= now || lender_ended_at.is_some_and(|at| requested_at <= *at) {
            return false;
        }
        let borrowed = BorrowedLoan {
            from: from.clone(),
            part: loan.part,
            ends_at: until,
        };
        self.borrowed.insert(loan.id, borrowed);
        self.resize_bucket();
        self.bucket.add_tokens(loan.tokens);
        true
    }

    /// Discards a loan request that was refused or not answered in time.
    pub fn cancel_loan_request(&mut self, id: LoanId) {
        self.open_requests.remove(&id);
    }

    /// Prolongs a loan to another instance, unless this instance needs the part, the loan has
    /// ended, or the longer term is not covered.
    pub fn prolong(&mut self, now: Duration, id: LoanId, term: Duration) -> bool {
        self.advance(now);
        let needs_part = self.usable_part() < self.needed_part(now, DEMAND_HEADROOM_PERCENT);
        let Some(lent) = self.lent.get_mut(&id) else {
            return false;
        };
        if needs_part {
            return false;
        }
        let until = lent.ends_at;
        lent.ends_at = until.max(now + term.min(MAX_TERM));
        let covered = self.is_covered();
        if let Some(lent) = self.lent.get_mut(&id).filter(|_| !covered) {
            lent.ends_at = until;
        }
        covered
    }

    /// Applies a prolongation that was requested at `requested_at` and granted by the lender.
    pub fn confirm_prolonged(
        &mut self,
        now: Duration,
        requested_at: Duration,
        id: LoanId,
        term: Duration,
    ) {
        self.advance(now);
        let Some(borrowed) = self.borrowed.get_mut(&id) else {
            return;
        };
        let until = requested_at + borrower_term(term.min(MAX_TERM));
        borrowed.ends_at = borrowed.ends_at.max(until);
    }

    /// Returns the loans that should be prolonged, with their lenders.
    pub fn loans_to_prolong(&mut self, now: Duration) -> Vec<(InstanceId, LoanId)> {
        self.advance(now);
        let mut due = Vec::new();
        for (&id, borrowed) in &self.borrowed {
            if borrowed.ends_at.saturating_sub(now) > PROLONG_THRESHOLD {
                continue;
            }
            due.push((borrowed.from.clone(), id));
        }
        due
    }

    /// Returns to its lender one borrowed loan that this account does not need, if any.
    pub fn return_surplus(&mut self, now: Duration) -> Option<(InstanceId, Return)> {
        self.advance(now);
        if let Some(id) = self.find_expiring_loan(now) {
            let lender = self.borrowed.get(&id)?.from.clone();
            return self.return_loan(now, id).map(|r| (lender, r));
        }
        let needed = self.needed_part(now, RETURN_ABOVE_PERCENT);
        let surplus = self.usable_part().saturating_sub(needed);
        for (&id, borrowed) in &self.borrowed {
            if borrowed.part > surplus || !self.can_return(id) {
                continue;
            }
            let lender = borrowed.from.clone();
            return self.return_loan(now, id).map(|r| (lender, r));
        }
        None
    }

    /// Finds a borrowed loan that ends too soon for a request with the typical time until its
    /// deadline.
    ///
    /// The lender had the time to prolong this loan and has not, so the part is of more use to the
    /// lender.
    fn find_expiring_loan(&self, now: Duration) -> Option<LoanId> {
        let min_remaining = (self.typical_time_left + DEADLINE_MARGIN).min(PROLONG_THRESHOLD);
        let mut loans = self.borrowed.iter();
        let (&id, _) =
            loans.find(|(id, b)| b.ends_at < now + min_remaining && self.can_return(**id))?;
        Some(id)
    }

    /// Returns all borrowed loans that cover neither held tokens nor loans to other instances.
    pub fn return_all(&mut self, now: Duration) -> Vec<(InstanceId, Return)> {
        let mut loans = Vec::new();
        for (&id, borrowed) in &self.borrowed {
            loans.push((borrowed.from.clone(), id));
        }
        let mut returns = Vec::new();
        for (lender, id) in loans {
            returns.extend(self.return_loan(now, id).map(|r| (lender, r)));
        }
        returns
    }

    /// Drops the loans from an instance whose process has ended, without returning them; returns
    /// whether there were any. Loans of that process that arrive later are not taken in.
    ///
    /// The loans of the instance's next process are dropped too if it has lent already. That is
    /// safe, as the lender keeps them deducted until their terms end.
    pub fn drop_loans_from(&mut self, now: Duration, ended: &InstanceId) -> bool {
        self.advance(now);
        self.ended_lenders.insert(ended.clone(), now);
        let loans_before = self.borrowed.len();
        self.borrowed.retain(|_, borrowed| borrowed.from != *ended);
        self.resize_bucket();
        self.borrowed.len() < loans_before
    }

    /// Drops the loans to ended incarnations of an instance, without their tokens.
    ///
    /// The caller ensures that no other instance uses what these incarnations have lent on. Loans to
    /// other incarnations of the instance stay, as its next process may use them already.
    pub fn drop_loans_to(&mut self, now: Duration, borrower: &InstanceId, incarnations: &[u64]) {
        self.advance(now);
        self.lent
            .retain(|id, lent| lent.to != *borrower || !incarnations.contains(&id.borrower));
        self.resize_bucket();
    }

    /// Returns to `lender` the free part of the loans borrowed from `lender`, at most `max_part`.
    pub fn return_to_lender(
        &mut self,
        now: Duration,
        lender: &InstanceId,
        max_part: Part,
    ) -> Vec<Return> {
        self.advance(now);
        let mut ids = Vec::new();
        for (&id, borrowed) in &self.borrowed {
            if borrowed.from == *lender {
                ids.push(id);
            }
        }
        let mut returns = Vec::new();
        let mut max_part = max_part;
        for id in ids {
            let Some(borrowed) = self.borrowed.get(&id) else {
                continue;
            };
            let free = self.free_part_until(borrowed.ends_at);
            let part = free.min(borrowed.part).min(max_part);
            max_part = max_part.saturating_sub(part);
            returns.extend(self.return_part(now, id, part));
        }
        returns
    }

    /// Returns one borrowed loan to its lender, unless the loan covers held tokens or loans to
    /// other instances.
    pub fn return_loan(&mut self, now: Duration, id: LoanId) -> Option<Return> {
        self.advance(now);
        if !self.can_return(id) {
            return None;
        }
        let part = self.borrowed.get(&id)?.part;
        self.return_part(now, id, part)
    }

    /// Returns a part of a borrowed loan to its lender; the caller ensures that the part is free
    /// until the loan ends.
    fn return_part(&mut self, now: Duration, id: LoanId, part: Part) -> Option<Return> {
        self.advance(now);
        if part.is_zero() {
            return None;
        }
        let whole = self.usable_part();
        let borrowed = self.borrowed.get_mut(&id)?;
        borrowed.part = borrowed.part.saturating_sub(part);
        let remaining_part = borrowed.part;
        if remaining_part.is_zero() {
            self.borrowed.remove(&id);
        }
        let proportional = self.bucket.level().proportion(part, whole);
        let tokens = proportional
            .max(Amount::ZERO)
            .min(part.of_burst(self.limit.burst));
        self.bucket.remove_tokens(tokens);
        self.resize_bucket();
        Some(Return {
            id,
            remaining_part,
            tokens,
        })
    }

    /// Credits the part and tokens of a lent loan that the borrower returned; `false` if this
    /// return has been credited already.
    pub fn accept_return(&mut self, now: Duration, returned: &Return) -> bool {
        self.advance(now);
        let Some(lent) = self.lent.get_mut(&returned.id) else {
            return false;
        };
        if returned.remaining_part >= lent.loan.part {
            return false;
        }
        let returned_part = lent.loan.part.saturating_sub(returned.remaining_part);
        lent.loan.part = returned.remaining_part;
        if returned.remaining_part.is_zero() {
            self.lent.remove(&returned.id);
        }
        self.resize_bucket();
        let max_tokens = returned_part.of_burst(self.limit.burst);
        self.bucket.add_tokens(returned.tokens.min(max_tokens));
        true
    }

    /// Returns the instances that currently borrow from this account.
    pub fn borrowers(&self) -> Vec<InstanceId> {
        let mut borrowers = Vec::new();
        for lent in self.lent.values() {
            if !borrowers.contains(&lent.to) {
                borrowers.push(lent.to.clone());
            }
        }
        borrowers
    }

    /// Returns whether this account should borrow before a request lacks tokens.
    ///
    /// The account should when the bucket's level is below three quarters of the capacity and the
    /// demand exceeds the usable part.
    pub fn should_borrow_ahead(&self, now: Duration) -> bool {
        let enough = self
            .usable_part()
            .mul_div_floor(3, 4)
            .of_burst(self.limit.burst);
        self.bucket.level() < enough && self.usable_part() < self.needed_part(now, 100)
    }

    /// Advances the account to `now`: refills the bucket and ends expired loans.
    pub fn advance(&mut self, now: Duration) {
        while let Some(end) = self.next_loan_end(now) {
            self.bucket.advance(end);
            self.lent.retain(|_, l| l.ends_at > end);
            self.borrowed.retain(|_, b| b.ends_at > end);
            self.resize_bucket();
        }
        self.bucket.advance(now);
        self.open_requests
            .retain(|_, requested_at| now.saturating_sub(*requested_at) < MAX_TERM);
        self.ended_lenders
            .retain(|_, ended_at| now.saturating_sub(*ended_at) < MAX_TERM);
    }

    fn next_loan_end(&self, now: Duration) -> Option<Duration> {
        let lent = self.lent.values().map(|l| l.ends_at);
        let borrowed = self.borrowed.values().map(|b| b.ends_at);
        lent.chain(borrowed).filter(|end| *end <= now).min()
    }

    fn resize_bucket(&mut self) {
        let part = self.usable_part();
        self.bucket.resize(
            part.of_burst(self.limit.burst),
            part.of_rate(self.limit.rate),
        );
    }

    /// Returns the part of the borrowed loans that end after `until`.
    fn borrowed_after(&self, until: Duration) -> Part {
        let lasting = self.borrowed.values().filter(|b| b.ends_at > until);
        sum(lasting.map(|b| b.part))
    }

    /// Returns whether the bucket has `amount` tokens, and the capacity to hold them until `until`.
    fn has_tokens_and_capacity(&self, amount: Amount, until: Duration) -> bool {
        let room = self.bucket.held() + amount <= self.capacity_until(until);
        room && amount <= self.bucket.level()
    }

    /// Returns the bucket capacity that this account is sure to have until `until`.
    fn capacity_until(&self, until: Duration) -> Amount {
        let room = self.min_free_part(|time| time <= until, |time| self.lent_after(time));
        room.of_burst(self.limit.burst)
    }

    /// Returns the minimum of the uncommitted part over the times selected by `includes`.
    fn min_free_part(
        &self,
        includes: impl Fn(Duration) -> bool,
        committed: impl Fn(Duration) -> Part,
    ) -> Part {
        let mut least = Part::WHOLE;
        for time in self.coverage_ends() {
            if !includes(time) {
                continue;
            }
            let covered = self.floor.saturating_add(self.borrowed_after(time));
            least = least.min(covered.saturating_sub(committed(time)));
        }
        least
    }

    /// Returns whether the lent loans and held tokens stay covered without the borrowed loan `id`.
    fn can_return(&self, id: LoanId) -> bool {
        let mut without = self.clone();
        without.borrowed.remove(&id);
        without.is_covered()
    }

    fn is_covered(&self) -> bool {
        self.required_floor() <= self.floor
    }

    /// Returns now and the ends of the borrowed loans: the only times at which coverage can drop.
    fn coverage_ends(&self) -> impl Iterator<Item = Duration> {
        let loan_ends = self.borrowed.values().map(|b| b.ends_at);
        std::iter::once(Duration::ZERO).chain(loan_ends)
    }

    /// Returns the part of the lent loans that end after `time`.
    fn lent_after(&self, time: Duration) -> Part {
        let lasting = self.lent.values().filter(|l| l.ends_at > time);
        sum(lasting.map(|l| l.loan.part))
    }

    /// Returns the part that lent loans and held tokens still take up at `time`.
    fn committed_at(&self, time: Duration) -> Part {
        let lent = self.lent_after(time);
        if time > self.holds_until {
            return lent;
        }
        lent.saturating_add(Part::covering(self.bucket.held(), self.limit.burst))
    }

    /// Returns the part that is neither lent nor held, now and at all times before `until`.
    fn free_part_until(&self, until: Duration) -> Part {
        self.min_free_part(|time| time < until, |time| self.committed_at(time))
    }

    /// Finds the largest part, at most `wanted`, that this account can lend, and the longest term,
    /// at most `term`, for which it can lend that part.
    ///
    /// A smaller part for at least `min_term` is preferred to a larger part for a shorter term.
    fn lendable(
        &self,
        now: Duration,
        wanted: Part,
        term: Duration,
        min_term: Duration,
    ) -> (Part, Duration) {
        let mut candidate_terms = vec![term];
        for end in self.coverage_ends() {
            let shorter = end.saturating_sub(now);
            if shorter >= MIN_LENT_TERM && shorter < term {
                candidate_terms.push(shorter);
            }
        }
        candidate_terms.sort_unstable_by(|a, b| b.cmp(a));
        let mut best = (Part::ZERO, term);
        for term in candidate_terms {
            if term < min_term && !best.0.is_zero() {
                break;
            }
            let part = self.free_part_until(now + term).min(wanted);
            if part > best.0 {
                best = (part, term);
            }
        }
        best
    }

    /// Returns `percent` of the part that the demand or the held tokens need, whichever is larger.
    fn needed_part(&self, now: Duration, percent: u64) -> Part {
        let demand = self.demand.per_second(now);
        let by_rate = Part::of_demand(demand, self.limit.rate).mul_div_floor(percent, 100);
        let by_held =
            Part::covering(self.bucket.held(), self.limit.burst).mul_div_floor(percent, 100);
        by_rate.max(by_held).min(Part::WHOLE)
    }

    fn spare_tokens(&self, now: Duration) -> Amount {
        let demand = Part::of_demand(self.demand.per_second(now), self.limit.rate);
        self.bucket.level() - demand.of_rate(self.limit.rate).tokens_in(RESERVE_TIME)
    }

    fn unneeded_part(&self, now: Duration) -> Part {
        self.usable_part()
            .saturating_sub(self.needed_part(now, DEMAND_HEADROOM_PERCENT))
    }
}

fn sum(parts: impl Iterator<Item = Part>) -> Part {
    parts.fold(Part::ZERO, Part::saturating_add)
}
