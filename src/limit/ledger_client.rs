//! One instance's place in the ledger: what it may use, and what it proposes to write.
//!
//! What it may use is never more than the ledger is known to give it. A part is given up here
//! before the swap that frees it is sent, and taken only after the swap that claims it is known
//! to have taken effect; an answer that was lost is settled by reading again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::amount::Part;
use super::ledger::{Holder, HolderId, Ledger};
use super::loan::{DRIFT_PER_MILLE, MAX_TERM};
use crate::id::{InstanceId, RegionId};
use crate::store::Expect;

/// An instance that the list does not have for so long is closed.
pub const ABSENT_TIME: Duration = Duration::from_secs(10);

/// The same, if the list has none of its region: then the list rather than the region is at fault.
pub const ABSENT_REGION_TIME: Duration = Duration::from_secs(3600);

/// Time after which all loans of a closed instance have ended and it has read of its closing.
pub const HOLD_BACK: Duration =
    Duration::from_secs(MAX_TERM.as_secs() * (1000 + DRIFT_PER_MILLE as u64) / 1000 + 30);

/// The ledger as it was read at a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    revision: i64,
    ledger: Ledger,
}

/// A swap that was sent and may yet take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Pending {
    expect: Expect,
    part: Part,
}

/// A compare-and-swap to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// What must stand there.
    pub expect: Expect,
    /// What is to be written.
    pub ledger: Ledger,
    /// What this instance may use from before the swap is sent until its outcome is known.
    pub floor: Part,
}

/// What an instance sees besides the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Surroundings {
    /// The instances on the platform's list that are not leaving, with their regions.
    pub listed: Vec<(InstanceId, RegionId)>,
    /// The least floor that has room for what is lent and held of any organisation.
    pub required: Part,
    /// Whether it is sure that no ledger has been lost, so that a first one may be made.
    pub may_create: bool,
}

/// One instance's place in the ledger.
#[derive(Debug, Clone)]
pub struct Share {
    me: HolderId,
    region: RegionId,
    known: Option<Known>,
    lost: bool,
    pending: Vec<Pending>,
    absent_since: BTreeMap<HolderId, Duration>,
    closing_since: BTreeMap<HolderId, Duration>,
    /// Whether the places of earlier runs are taken over at the first join.
    takes_over: bool,
    /// Taken over, but not to be used before others have dropped the earlier runs' loans.
    inherited: Part,
}

impl Share {
    /// Starts without a place.
    pub fn of(me: HolderId, region: RegionId) -> Self {
        Self {
            me,
            region,
            known: None,
            lost: false,
            pending: Vec::new(),
            absent_since: BTreeMap::new(),
            closing_since: BTreeMap::new(),
            takes_over: false,
            inherited: Part::ZERO,
        }
    }

    /// Takes the places of the instance's earlier runs over, which have ended.
    pub fn taking_over(mut self) -> Self {
        self.takes_over = true;
        self
    }

    /// Returns whether a part taken over waits for [`Share::release_inherited`].
    pub fn has_inherited(&self) -> bool {
        !self.inherited.is_zero()
    }

    /// Notes that no other instance uses loans of the earlier runs any more.
    pub fn release_inherited(&mut self) {
        self.inherited = Part::ZERO;
    }

    /// Returns the holder that this instance is.
    pub fn me(&self) -> &HolderId {
        &self.me
    }

    /// Returns the ledger as last known.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.known.as_ref().map(|k| &k.ledger)
    }

    /// Returns the part that this instance may use.
    pub fn floor(&self) -> Part {
        let known = self.ledger().map_or(Part::ZERO, |l| l.part(&self.me));
        let known = known.minus(self.inherited);
        self.pending
            .iter()
            .fold(known, |floor, p| floor.min(p.part))
    }

    /// Returns whether the store is known to have no ledger, or none has been read yet.
    pub fn is_missing(&self) -> bool {
        self.lost || self.known.is_none()
    }

    /// Takes in what the store has; `None` if there is no ledger.
    pub fn learn(&mut self, now: Duration, found: Option<(i64, Ledger)>) {
        let Some((revision, ledger)) = found else {
            self.lost = self.known.is_some();
            return;
        };
        self.lost = false;
        self.pending
            .retain(|p| p.expect == Expect::Revision(revision));
        self.known = Some(Known { revision, ledger });
        self.watch_closing(now);
        self.start_again_if_closed();
    }

    /// Takes in another instance's copy of a ledger that the store has lost.
    pub fn learn_copy(&mut self, now: Duration, revision: i64, ledger: Ledger) {
        if self.known.as_ref().is_some_and(|k| k.revision >= revision) {
            return;
        }
        self.known = Some(Known { revision, ledger });
        self.lost = true;
        self.watch_closing(now);
        self.start_again_if_closed();
    }

    /// Returns the ledger with its revision, for an instance that lacks it.
    pub fn copy(&self) -> Option<(i64, &Ledger)> {
        self.known.as_ref().map(|k| (k.revision, &k.ledger))
    }

    /// Proposes the next write, if one is due.
    ///
    /// From here on the floor is that of the proposal if that is less. A proposal that is not
    /// sent must be withdrawn.
    pub fn propose(&mut self, now: Duration, around: &Surroundings) -> Option<Proposal> {
        let (expect, old) = self.base(around)?;
        let mut ledger = old.clone();
        if self.takes_over && ledger.holder(&self.me).is_none() {
            self.inherited = ledger.take_over(&self.me, &self.region);
        }
        self.note_absent(now, &ledger, around);
        self.close_and_remove(now, &mut ledger, around);
        ledger.join(&self.me, &self.region);
        self.claim_or_give_up(&mut ledger, around);
        if ledger == old && !self.lost {
            return None;
        }
        Some(self.proposal(expect, ledger))
    }

    /// Proposes to give up as much as can be, for good.
    pub fn propose_to_leave(&mut self, around: &Surroundings) -> Option<Proposal> {
        let known = self.known.as_ref()?;
        let expect = Expect::Revision(known.revision);
        let mut ledger = known.ledger.clone();
        let part = ledger.part(&self.me);
        // What earlier runs have lent may still be in use.
        let kept = around.required.plus(self.inherited);
        ledger.give_up(&self.me, part.minus(kept));
        ledger.close(&self.me);
        if kept.is_zero() {
            ledger.remove(&self.me);
        }
        if ledger == known.ledger {
            return None;
        }
        Some(self.proposal(expect, ledger))
    }

    /// Notes that the last proposal was never sent.
    pub fn withdraw(&mut self) {
        self.pending.pop();
    }

    /// Notes that a proposal took effect.
    pub fn wrote(&mut self, now: Duration, revision: i64, proposal: Proposal) {
        self.learn(now, Some((revision, proposal.ledger)));
    }

    fn proposal(&mut self, expect: Expect, ledger: Ledger) -> Proposal {
        let floor = ledger
            .part(&self.me)
            .minus(self.inherited)
            .min(self.floor());
        self.pending.push(Pending {
            expect,
            part: floor,
        });
        Proposal {
            expect,
            ledger,
            floor,
        }
    }

    fn base(&self, around: &Surroundings) -> Option<(Expect, Ledger)> {
        match &self.known {
            Some(known) if self.lost => Some((Expect::Absent, known.ledger.clone())),
            Some(known) => Some((Expect::Revision(known.revision), known.ledger.clone())),
            None if around.may_create => Some((Expect::Absent, Ledger::default())),
            None => None,
        }
    }

    /// A closed holder has nothing any more; this run goes on as another one.
    fn start_again_if_closed(&mut self) {
        let Some(known) = &self.known else {
            return;
        };
        let closed = known.ledger.holder(&self.me).is_some_and(|h| h.closing);
        if closed {
            // This run's own loans go on, so it takes nothing over.
            self.takes_over = false;
            self.inherited = Part::ZERO;
            self.me.incarnation = self.me.incarnation.wrapping_add(1);
        }
    }

    fn watch_closing(&mut self, now: Duration) {
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

    fn note_absent(&mut self, now: Duration, ledger: &Ledger, around: &Surroundings) {
        let mut absent_since = BTreeMap::new();
        for holder in ledger.holders() {
            if holder.closing || !self.is_gone(holder, ledger, around) {
                continue;
            }
            let since = self.absent_since.get(&holder.id).copied().unwrap_or(now);
            absent_since.insert(holder.id.clone(), since);
        }
        self.absent_since = absent_since;
    }

    /// Returns whether the list no longer has a holder, or a later run has taken its name.
    fn is_gone(&self, holder: &Holder, ledger: &Ledger, around: &Surroundings) -> bool {
        if holder.id == self.me {
            return false;
        }
        if holder.id.instance == self.me.instance {
            return true;
        }
        let newer = ledger.holders().iter().rev();
        let latest = newer
            .into_iter()
            .find(|h| h.id.instance == holder.id.instance);
        let replaced = latest.is_some_and(|h| h.id != holder.id);
        replaced || !is_listed(around, &holder.id.instance)
    }

    fn close_and_remove(&self, now: Duration, ledger: &mut Ledger, around: &Surroundings) {
        for (id, since) in &self.absent_since {
            let region = ledger.holder(id).map(|h| h.region.clone());
            let wait = match region {
                Some(region) if is_region_listed(around, &region) => ABSENT_TIME,
                _ => ABSENT_REGION_TIME,
            };
            if now.saturating_sub(*since) >= wait {
                ledger.close(id);
            }
        }
        for (id, since) in &self.closing_since {
            if now.saturating_sub(*since) >= HOLD_BACK {
                ledger.remove(id);
            }
        }
    }

    fn claim_or_give_up(&self, ledger: &mut Ledger, around: &Surroundings) {
        let even = Part::one_of(ledger.active().max(around.listed.len()));
        let mine = ledger.part(&self.me);
        let step = even.times(1, 8);
        if mine.plus(step) <= even && ledger.free() >= step {
            ledger.claim(&self.me, even.minus(mine));
            return;
        }
        let Some(poorest) = ledger.poorest().map(|h| h.id.clone()) else {
            return;
        };
        let lack = even.minus(ledger.part(&poorest));
        if lack.times(2, 1) <= even || ledger.free() >= step {
            return;
        }
        if self.has_inherited() {
            return;
        }
        // Keep the even part, and what is lent and held.
        let spare = mine.minus(even.max(around.required));
        if spare < step {
            return;
        }
        let moved = spare.min(lack);
        ledger.give_up(&self.me, moved);
        ledger.claim(&poorest, moved);
    }
}

fn is_listed(around: &Surroundings, instance: &InstanceId) -> bool {
    around.listed.iter().any(|(id, _)| id == instance)
}

fn is_region_listed(around: &Surroundings, region: &RegionId) -> bool {
    around.listed.iter().any(|(_, r)| r == region)
}
