//! State machine of one ledger holder: the part that the holder may use, and the changes of the
//! ledger that the holder proposes.
//!
//! The holder never uses more than the ledger is known to assign to it. A part is given up locally
//! before the compare-and-swap that frees it is sent, and used only after the compare-and-swap that
//! claims it is known to have taken effect. If the result of a compare-and-swap is lost, the next
//! read of the ledger determines it.
//!
//! A store that comes back from an older copy has lost the last changes of the ledger. Each holder
//! then goes on with the part that it had, and writes that part again. Until all holders have had
//! time for this, nobody claims what the copy has as free.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::amount::Part;
use super::ledger::{Holder, HolderId, Ledger};
use super::loan::{MAX_CLOCK_DRIFT_PER_MILLE, MAX_TERM};
use crate::id::{InstanceId, RegionId};
use crate::store::{Precondition, StoreRevision};

/// Time after which a holder is closed if its instance is missing from the platform's list.
pub const ABSENT_CLOSE_DELAY: Duration = Duration::from_secs(10);

/// Time after which a holder is closed if the platform's list has no instance of its region at all:
/// then the list is more likely wrong than the whole region is gone.
pub const ABSENT_REGION_CLOSE_DELAY: Duration = Duration::from_secs(3600);

/// Time after which the part of a closed holder may be reused: all its loans have ended, and the
/// holder has read that it is closed.
pub const CLOSED_PART_DELAY: Duration =
    Duration::from_secs(MAX_TERM.as_secs() * (1000 + MAX_CLOCK_DRIFT_PER_MILLE as u64) / 1000 + 30);

/// The ledger as read from the store, with the store revision of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownLedger {
    revision: StoreRevision,
    ledger: Ledger,
}

/// A compare-and-swap that was sent and may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingSwap {
    expect: Precondition,
    part: Part,
    tolerance_marked: bool,
}

/// A compare-and-swap to be sent to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The state that the ledger's key must have; in any other state the store rejects the swap.
    pub expect: Precondition,
    /// The ledger to write.
    pub ledger: Ledger,
    /// The part that this instance may use until the outcome of the swap is known; the floor
    /// applies before the swap is sent.
    pub floor: Part,
}

/// Inputs from which [`LedgerClient::propose`] computes a change of the ledger, besides the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProposalInputs {
    /// Instances on the platform's list that are not leaving, with their regions.
    pub listed: Vec<(InstanceId, RegionId)>,
    /// Number of listed instances that hold parts.
    pub holders: usize,
    /// The minimum floor that covers the lent loans and held tokens of every organisation.
    pub required_floor: Part,
    /// Whether a new ledger may be created if the store has none and no copy of a lost ledger is
    /// known.
    pub may_create: bool,
    /// The store's latest era.
    pub era: u64,
    /// Whether this instance wants to use the tolerance.
    pub wants_tolerance: bool,
    /// How long a part is marked after its tolerance may have been used last; `None` if there is no
    /// tolerance.
    pub mark_time: Option<Duration>,
}

/// One holder's view of the ledger and its swaps in flight.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    holder_id: HolderId,
    region: RegionId,
    known: Option<KnownLedger>,
    missing_from_store: bool,
    pending: Vec<PendingSwap>,
    absent_since: BTreeMap<HolderId, Duration>,
    closing_since: BTreeMap<HolderId, Duration>,
    /// Whether this holder inherits the parts of the instance's earlier incarnations when it first
    /// joins the ledger.
    inherits_earlier: bool,
    /// Inherited part that this holder must not use until other instances have dropped the loans of
    /// the earlier incarnations.
    inherited_part: Part,
    /// The incarnations whose parts this holder has proposed to inherit.
    ended_incarnations: BTreeSet<u64>,
    /// The part that this holder had when the store came back from a copy, until the holder has
    /// written it again; includes the inherited part.
    entitled: Option<Part>,
    /// When this holder gained a marked part last.
    gained_at: Option<Duration>,
    /// The inherited part whose tolerance has not been used recently.
    unused_part: Part,
}

impl LedgerClient {
    /// Creates the ledger client of this instance's incarnation `holder_id`, which has not joined
    /// the ledger yet.
    pub fn of(holder_id: HolderId, region: RegionId) -> Self {
        Self {
            holder_id,
            region,
            known: None,
            missing_from_store: false,
            pending: Vec::new(),
            absent_since: BTreeMap::new(),
            closing_since: BTreeMap::new(),
            inherits_earlier: false,
            inherited_part: Part::ZERO,
            ended_incarnations: BTreeSet::new(),
            entitled: None,
            gained_at: None,
            unused_part: Part::ZERO,
        }
    }

    /// Returns this client, set to inherit the parts of the instance's earlier incarnations, whose
    /// processes have ended.
    pub fn inheriting(mut self) -> Self {
        self.inherits_earlier = true;
        self
    }

    /// Returns whether an inherited part is locked until
    /// [`LedgerClient::unlock_inherited_part`].
    pub fn has_inherited_part(&self) -> bool {
        !self.inherited_part.is_zero()
    }

    /// Allows the use of the inherited part, as no other instance uses loans of the earlier
    /// incarnations any more.
    pub fn unlock_inherited_part(&mut self) {
        self.inherited_part = Part::ZERO;
    }

    /// Returns the instance's earlier incarnations that the ledger had, whose processes have ended.
    pub fn ended_incarnations(&self) -> Vec<u64> {
        self.ended_incarnations.iter().copied().collect()
    }

    /// Returns the identity of this holder.
    pub fn holder_id(&self) -> &HolderId {
        &self.holder_id
    }

    /// Returns the last known ledger.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.known.as_ref().map(|k| &k.ledger)
    }

    /// Returns the part that this instance may use.
    pub fn floor(&self) -> Part {
        let known = self.entitled.unwrap_or_else(|| self.recorded_part());
        let known = known.saturating_sub(self.inherited_part);
        self.pending
            .iter()
            .fold(known, |floor, p| floor.min(p.part))
    }

    /// Returns the part that the ledger assigns to this instance alone. Unlike the floor, it includes
    /// an inherited part of which other instances may still use loans.
    pub fn assigned_part(&self) -> Part {
        let known = self.entitled.unwrap_or_else(|| self.recorded_part());
        self.floor().saturating_add(self.inherited_part).min(known)
    }

    /// Returns whether this instance may use the tolerance of its part: the ledger marks the part,
    /// and no proposal unmarks it.
    pub fn may_use_tolerance(&self) -> bool {
        self.is_tolerance_marked() && self.pending.iter().all(|p| p.tolerance_marked)
    }

    fn is_tolerance_marked(&self) -> bool {
        let holder = self.ledger().and_then(|l| l.holder(&self.holder_id));
        holder.is_some_and(|h| h.tolerance_marked)
    }

    /// Returns, once the ledger has it, the inherited part whose tolerance has not been used
    /// recently; then none.
    pub fn take_unused_part(&mut self) -> Part {
        if self.recorded_part().is_zero() {
            return Part::ZERO;
        }
        std::mem::take(&mut self.unused_part).min(self.recorded_part())
    }

    fn recorded_part(&self) -> Part {
        self.ledger()
            .map_or(Part::ZERO, |l| l.part(&self.holder_id))
    }

    /// Returns whether the store has no ledger, or none has been read yet.
    pub fn is_missing(&self) -> bool {
        self.missing_from_store || self.known.is_none()
    }

    /// Applies the ledger read from the store, with its revision; `found` is `None` if the store
    /// has no ledger.
    pub fn apply_read(&mut self, now: Duration, found: Option<(StoreRevision, Ledger)>) {
        let Some((revision, ledger)) = found else {
            self.missing_from_store = self.known.is_some();
            return;
        };
        self.missing_from_store = false;
        self.pending
            .retain(|p| p.expect == Precondition::Revision(revision));
        self.adopt(now, revision, ledger);
    }

    fn adopt(&mut self, now: Duration, revision: StoreRevision, ledger: Ledger) {
        let is_from_copy = self.known.as_ref().is_some_and(|known| {
            known.revision.era < revision.era || ledger.is_of_earlier_era(&known.ledger)
        });
        if is_from_copy {
            self.entitled = Some(self.floor().saturating_add(self.inherited_part));
            // Should such a swap take effect yet, it writes a ledger of an earlier era.
            self.pending.clear();
        } else if ledger.has_confirmed(&self.holder_id, revision.era) {
            self.entitled = None;
        }
        let part_before = self.recorded_part();
        self.known = Some(KnownLedger { revision, ledger });
        if self.recorded_part() > part_before && self.is_tolerance_marked() {
            self.gained_at = Some(now);
        }
        self.track_closing(now);
        self.advance_incarnation_if_closed();
    }

    /// Applies another instance's copy of a ledger that the store has lost.
    pub fn apply_copy(&mut self, now: Duration, revision: StoreRevision, ledger: Ledger) {
        if self.known.as_ref().is_some_and(|k| k.revision >= revision) {
            return;
        }
        self.adopt(now, revision, ledger);
        self.missing_from_store = true;
    }

    /// Returns the last known ledger with its revision, to be sent to another instance.
    pub fn copy(&self) -> Option<(StoreRevision, &Ledger)> {
        self.known.as_ref().map(|k| (k.revision, &k.ledger))
    }

    /// Proposes the next write of the ledger; returns `None` if no write is due.
    ///
    /// From this call on, the floor is at most the proposal's floor. A proposal that is not sent
    /// must be withdrawn.
    pub fn propose(&mut self, now: Duration, inputs: &ProposalInputs) -> Option<Proposal> {
        let (expect, old) = self.swap_base(inputs)?;
        let mut ledger = old.clone();
        let era = match expect {
            Precondition::Revision(revision) => revision.era,
            Precondition::Absent => inputs.era,
        };
        if expect != Precondition::Absent {
            ledger.begin_era(era);
        }
        if self.inherits_earlier && ledger.holder(&self.holder_id).is_none() {
            self.ended_incarnations
                .extend(ledger.incarnations(&self.holder_id.instance));
            let is_marked = ledger.is_tolerance_marked(&self.holder_id.instance);
            let inherited_part = ledger.inherit(&self.holder_id, &self.region);
            if self.entitled.is_none() {
                self.inherited_part = inherited_part;
                self.unused_part = if is_marked {
                    Part::ZERO
                } else {
                    inherited_part
                };
            }
        }
        self.track_absent(now, &ledger, inputs);
        self.close_and_remove(now, &mut ledger, inputs);
        ledger.join(&self.holder_id, &self.region);
        self.confirm(&mut ledger, era);
        self.rebalance(&mut ledger, inputs);
        self.mark_tolerance(now, &mut ledger, inputs);
        if ledger == old && !self.missing_from_store {
            return None;
        }
        Some(self.proposal(expect, ledger))
    }

    /// Proposes to close this holder and to free every part that is not lent, held or inherited.
    pub fn propose_to_leave(&mut self, inputs: &ProposalInputs) -> Option<Proposal> {
        let known = self.known.as_ref()?;
        let expect = Precondition::Revision(known.revision);
        let mut ledger = known.ledger.clone();
        ledger.begin_era(known.revision.era);
        self.confirm(&mut ledger, known.revision.era);
        if self.entitled.is_some() {
            self.entitled = Some(Part::ZERO);
        }
        let own_part = ledger.part(&self.holder_id);
        // Loans from earlier incarnations may still be in use.
        let retained = inputs.required_floor.saturating_add(self.inherited_part);
        ledger.give_up(&self.holder_id, own_part.saturating_sub(retained));
        ledger.close(&self.holder_id);
        if retained.is_zero() {
            ledger.remove(&self.holder_id);
        }
        if ledger == known.ledger {
            return None;
        }
        Some(self.proposal(expect, ledger))
    }

    /// Discards the last proposal, which the caller has not sent to the store.
    pub fn withdraw(&mut self) {
        self.pending.pop();
    }

    /// Applies a proposal that the store has written at `revision`.
    pub fn confirm_written(&mut self, now: Duration, revision: StoreRevision, proposal: Proposal) {
        self.apply_read(now, Some((revision, proposal.ledger)));
    }

    /// Writes this holder's part into a ledger for the store's era.
    fn confirm(&self, ledger: &mut Ledger, era: u64) {
        if let Some(entitled) = self.entitled {
            ledger.reclaim(&self.holder_id, entitled);
        }
        ledger.confirm(&self.holder_id, era);
    }

    /// Marks this holder's part if this instance wants to use the tolerance, or if an instance that
    /// had the part may have used it recently.
    fn mark_tolerance(&self, now: Duration, ledger: &mut Ledger, inputs: &ProposalInputs) {
        let Some(mark_time) = inputs.mark_time else {
            ledger.mark_tolerance(&self.holder_id, false);
            return;
        };
        let unmarked = self.recorded_part().max(self.unused_part);
        let is_gained = ledger.part(&self.holder_id) > unmarked;
        let was_gained = self.gained_at.is_some_and(|at| now < at + mark_time);
        let marked = inputs.wants_tolerance || is_gained || was_gained;
        ledger.mark_tolerance(&self.holder_id, marked);
    }

    fn proposal(&mut self, expect: Precondition, ledger: Ledger) -> Proposal {
        let floor = ledger
            .part(&self.holder_id)
            .saturating_sub(self.inherited_part)
            .min(self.floor());
        let holder = ledger.holder(&self.holder_id);
        self.pending.push(PendingSwap {
            expect,
            part: floor,
            tolerance_marked: holder.is_some_and(|h| h.tolerance_marked),
        });
        Proposal {
            expect,
            ledger,
            floor,
        }
    }

    fn swap_base(&self, inputs: &ProposalInputs) -> Option<(Precondition, Ledger)> {
        match &self.known {
            Some(known) if self.missing_from_store => {
                Some((Precondition::Absent, known.ledger.clone()))
            }
            Some(known) => Some((Precondition::Revision(known.revision), known.ledger.clone())),
            None if inputs.may_create => Some((Precondition::Absent, Ledger::in_era(inputs.era))),
            None => None,
        }
    }

    /// Continues as a holder with a new incarnation if another instance has closed this holder.
    fn advance_incarnation_if_closed(&mut self) {
        let Some(known) = &self.known else {
            return;
        };
        let closed = known
            .ledger
            .holder(&self.holder_id)
            .is_some_and(|h| h.closing);
        if closed {
            // This process still uses its own loans, so it must not inherit from the closed holder.
            self.inherits_earlier = false;
            self.inherited_part = Part::ZERO;
            self.holder_id.incarnation = self.holder_id.incarnation.wrapping_add(1);
        }
    }

    fn track_closing(&mut self, now: Duration) {
        let Some(known) = &self.known else {
            return;
        };
        let mut closing_since = BTreeMap::new();
        for holder in known.ledger.holders() {
            if !holder.closing {
                continue;
            }
            let since = self.closing_since.get(&holder.id).copied().unwrap_or(now);
            closing_since.insert(holder.id.clone(), since);
        }
        self.closing_since = closing_since;
    }

    fn track_absent(&mut self, now: Duration, ledger: &Ledger, inputs: &ProposalInputs) {
        let mut absent_since = BTreeMap::new();
        for holder in ledger.holders() {
            if holder.closing || !self.is_absent(holder, ledger, inputs) {
                continue;
            }
            let since = self.absent_since.get(&holder.id).copied().unwrap_or(now);
            absent_since.insert(holder.id.clone(), since);
        }
        self.absent_since = absent_since;
    }

    /// Returns whether a holder's instance is missing from the platform's list, or a later
    /// incarnation has replaced the holder.
    fn is_absent(&self, holder: &Holder, ledger: &Ledger, inputs: &ProposalInputs) -> bool {
        if holder.id == self.holder_id {
            return false;
        }
        if holder.id.instance == self.holder_id.instance {
            return true;
        }
        let newer = ledger.holders().iter().rev();
        let latest = newer
            .into_iter()
            .find(|h| h.id.instance == holder.id.instance);
        let replaced = latest.is_some_and(|h| h.id != holder.id);
        replaced || !is_listed(inputs, &holder.id.instance)
    }

    fn close_and_remove(&self, now: Duration, ledger: &mut Ledger, inputs: &ProposalInputs) {
        for (id, since) in &self.absent_since {
            let region = ledger.holder(id).map(|h| h.region.clone());
            let delay = match region {
                Some(region) if is_region_listed(inputs, &region) => ABSENT_CLOSE_DELAY,
                _ => ABSENT_REGION_CLOSE_DELAY,
            };
            if now.saturating_sub(*since) >= delay {
                ledger.close(id);
            }
        }
        for (id, since) in &self.closing_since {
            if now.saturating_sub(*since) >= CLOSED_PART_DELAY {
                ledger.remove(id);
            }
        }
    }

    fn rebalance(&self, ledger: &mut Ledger, inputs: &ProposalInputs) {
        let equal_part = Part::one_of(ledger.active().max(inputs.holders));
        let own_part = ledger.part(&self.holder_id);
        let min_move = equal_part.mul_div_floor(1, 8);
        if own_part.saturating_add(min_move) <= equal_part && ledger.free() >= min_move {
            ledger.claim(&self.holder_id, equal_part.saturating_sub(own_part));
            return;
        }
        let Some(smallest_active) = ledger.smallest_active_holder().map(|h| h.id.clone()) else {
            return;
        };
        let shortfall = equal_part.saturating_sub(ledger.part(&smallest_active));
        if shortfall.mul_div_floor(2, 1) <= equal_part || ledger.free() >= min_move {
            return;
        }
        if self.has_inherited_part() {
            return;
        }
        // This holder keeps an equal part, or more if its lent loans and held tokens need more.
        let surplus = own_part.saturating_sub(equal_part.max(inputs.required_floor));
        if surplus < min_move {
            return;
        }
        let moved = surplus.min(shortfall);
        ledger.give_up(&self.holder_id, moved);
        ledger.claim(&smallest_active, moved);
        if inputs.mark_time.is_some() {
            ledger.mark_tolerance(&smallest_active, true);
        }
    }
}

fn is_listed(inputs: &ProposalInputs, instance: &InstanceId) -> bool {
    inputs.listed.iter().any(|(id, _)| id == instance)
}

fn is_region_listed(inputs: &ProposalInputs, region: &RegionId) -> bool {
    inputs.listed.iter().any(|(_, r)| r == region)
}
