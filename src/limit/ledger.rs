//! The document in the store that divides all rates and bursts among the instances.
//!
//! One document serves all organisations: an instance's floor is the same part of each limit. The
//! size of the document depends only on the number of instances, and changes of the configuration
//! need no write to the document.

use serde::{Deserialize, Serialize};

use super::amount::Part;
use crate::id::{InstanceId, RegionId};

/// The key of the ledger in the store.
pub const LEDGER_KEY: &str = "/limpetstand/limits/ledger";

const FORMAT_VERSION: u32 = 1;

/// Begins the names of closing holders that stand for parts which other holders may have been
/// assigned in writes that the store has lost.
const SET_ASIDE_PREFIX: &str = "(set aside)";

/// Identifies one incarnation of an instance; a restarted instance is a new holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId {
    /// The instance's name.
    pub instance: InstanceId,
    /// A number chosen at random when the instance's process starts.
    pub incarnation: u64,
}

/// An incarnation of an instance, with the part assigned to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance and its incarnation.
    pub id: HolderId,
    /// The instance's region.
    pub region: RegionId,
    /// The assigned part of every rate and burst.
    pub part: Part,
    /// Whether the holder must not use its part any more.
    pub closing: bool,
    /// The store's era in which the holder last wrote its own part; `None` if the holder does not
    /// say.
    pub confirmed_in: Option<u64>,
    /// Whether the tolerance of the part may have been used recently.
    pub tolerance_marked: bool,
}

/// The division of all rates and bursts among holders; the sum of the parts never exceeds the
/// whole.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ledger {
    /// The store's era in which the ledger was written; `None` if the writer did not say.
    era: Option<u64>,
    holders: Vec<Holder>,
}

/// Reason why a stored ledger is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The document is not JSON of the expected structure.
    #[error("malformed ledger: {0}")]
    Malformed(String),
    /// The document has another format version.
    #[error("unsupported ledger format {0}")]
    UnsupportedFormat(u32),
    /// The sum of the parts exceeds the whole.
    #[error("the sum of the parts exceeds the whole")]
    ExceedsWhole,
    /// The document lists a holder twice.
    #[error("duplicate holder `{0}`")]
    DuplicateHolder(InstanceId),
}

impl Ledger {
    /// Creates an empty ledger in an era of the store.
    pub fn in_era(era: u64) -> Self {
        Self {
            era: Some(era),
            holders: Vec::new(),
        }
    }

    /// Returns whether the ledger was written in an earlier era than another.
    pub fn is_of_earlier_era(&self, other: &Self) -> bool {
        self.era
            .zip(other.era)
            .is_some_and(|(own, other)| own < other)
    }

    /// Prepares the ledger for a write in an era of the store.
    ///
    /// In a ledger that the store has taken from an older copy, free parts may have been claimed
    /// since, so they are set aside.
    pub fn begin_era(&mut self, era: u64) {
        if self.era.is_some_and(|before| before < era) {
            let id = HolderId {
                instance: SET_ASIDE_PREFIX.into(),
                incarnation: era,
            };
            self.set_aside(id, self.free());
        }
        self.era = self.era.max(Some(era));
    }

    /// Returns whether a holder has written its own part in this era of the store.
    pub fn has_confirmed(&self, id: &HolderId, era: u64) -> bool {
        let confirmed_in = self.holder(id).and_then(|h| h.confirmed_in);
        confirmed_in.is_some_and(|confirmed_in| confirmed_in >= era)
    }

    /// Marks the part of a holder as written by the holder itself in this era.
    pub fn confirm(&mut self, id: &HolderId, era: u64) {
        if let Some(holder) = self.active_mut(id) {
            holder.confirmed_in = Some(era);
        }
    }

    /// Marks that the tolerance of a holder's part may have been used recently, or unmarks it.
    pub fn mark_tolerance(&mut self, id: &HolderId, marked: bool) {
        if let Some(holder) = self.active_mut(id) {
            holder.tolerance_marked = marked;
        }
    }

    /// Returns whether any incarnation of an instance holds a part.
    pub fn holds_part(&self, instance: &InstanceId) -> bool {
        let mut holders = self.holders.iter();
        holders.any(|h| h.id.instance == *instance && !h.part.is_zero())
    }

    /// Returns whether the part of any incarnation of an instance is marked.
    pub fn is_tolerance_marked(&self, instance: &InstanceId) -> bool {
        let mut holders = self.holders.iter();
        holders.any(|h| h.id.instance == *instance && h.tolerance_marked)
    }

    /// Sets the part of a holder to what the holder was assigned before the store came back from a
    /// copy, as far as the parts set aside allow. What the copy assigns beyond that is set aside,
    /// since the store had assigned it to others.
    pub fn reclaim(&mut self, id: &HolderId, entitled: Part) {
        let part = self.part(id);
        let excess = part.saturating_sub(entitled);
        self.give_up(id, excess);
        self.set_aside(set_aside_id(id), excess);
        let mut wanted = entitled.saturating_sub(part);
        for holder in &mut self.holders {
            if !is_set_aside(&holder.id) {
                continue;
            }
            let taken = wanted.min(holder.part);
            holder.part = holder.part.saturating_sub(taken);
            wanted = wanted.saturating_sub(taken);
        }
        let found = entitled.saturating_sub(part).saturating_sub(wanted);
        self.claim(id, found);
        self.holders
            .retain(|h| !is_set_aside(&h.id) || !h.part.is_zero());
    }

    /// Adds free parts to a closing holder.
    fn set_aside(&mut self, id: HolderId, part: Part) {
        if part.is_zero() {
            return;
        }
        if let Some(holder) = self.holders.iter_mut().find(|h| h.id == id) {
            holder.part = holder.part.saturating_add(part);
            return;
        }
        self.holders.push(Holder {
            id,
            region: RegionId::from(""),
            part,
            closing: true,
            confirmed_in: None,
            tolerance_marked: false,
        });
    }

    /// Returns all holders.
    pub fn holders(&self) -> &[Holder] {
        &self.holders
    }

    /// Finds the holder with this ID.
    pub fn holder(&self, id: &HolderId) -> Option<&Holder> {
        self.holders.iter().find(|h| h.id == *id)
    }

    /// Returns the part that a holder may use; zero for a closing or unknown holder.
    pub fn part(&self, id: &HolderId) -> Part {
        match self.holder(id) {
            Some(h) if !h.closing => h.part,
            _ => Part::ZERO,
        }
    }

    /// Returns the part that is not assigned to any holder.
    pub fn free(&self) -> Part {
        let assigned = self
            .holders
            .iter()
            .fold(Part::ZERO, |sum, h| sum.saturating_add(h.part));
        Part::WHOLE.saturating_sub(assigned)
    }

    /// Returns the number of holders that are not closing.
    pub fn active(&self) -> usize {
        self.holders.iter().filter(|h| !h.closing).count()
    }

    /// Returns the active holder with the smallest part.
    pub fn smallest_active_holder(&self) -> Option<&Holder> {
        let active = self.holders.iter().filter(|h| !h.closing);
        active.min_by_key(|h| h.part)
    }

    /// Returns the incarnations of an instance that are in the ledger.
    pub fn incarnations<'a>(&'a self, instance: &'a InstanceId) -> impl Iterator<Item = u64> + 'a {
        let holders = self.holders.iter().filter(|h| h.id.instance == *instance);
        holders.map(|h| h.id.incarnation)
    }

    /// Adds a holder with no part, unless the ledger has this holder already.
    pub fn join(&mut self, id: &HolderId, region: &RegionId) {
        if self.holder(id).is_some() {
            return;
        }
        self.holders.push(Holder {
            id: id.clone(),
            region: region.clone(),
            part: Part::ZERO,
            closing: false,
            confirmed_in: None,
            tolerance_marked: false,
        });
    }

    /// Assigns the parts of all earlier incarnations of an instance to a holder; returns their sum.
    /// Parts that an incarnation has not confirmed in the ledger's era are set aside, as they may
    /// have been assigned to others.
    ///
    /// Only one process runs under an instance's name, so the earlier incarnations have ended.
    pub fn inherit(&mut self, id: &HolderId, region: &RegionId) -> Part {
        let era = self.era;
        let earlier = |h: &Holder| h.id.instance == id.instance && h.id != *id;
        let is_confirmed = |h: &Holder| {
            h.confirmed_in
                .zip(era)
                .is_none_or(|(own, ledger)| own >= ledger)
        };
        let mut inherited_part = Part::ZERO;
        let mut unconfirmed = Vec::new();
        for holder in self.holders.iter().filter(|h| earlier(h)) {
            if is_confirmed(holder) {
                inherited_part = inherited_part.saturating_add(holder.part);
            } else {
                unconfirmed.push((set_aside_id(&holder.id), holder.part));
            }
        }
        self.holders.retain(|h| !earlier(h));
        for (id, part) in unconfirmed {
            self.set_aside(id, part);
        }
        self.join(id, region);
        if let Some(holder) = self.active_mut(id) {
            holder.part = holder.part.saturating_add(inherited_part);
        }
        inherited_part
    }

    /// Assigns the free part of the ledger to a holder, at most `wanted`.
    pub fn claim(&mut self, id: &HolderId, wanted: Part) {
        let free = self.free();
        if let Some(holder) = self.active_mut(id) {
            holder.part = holder.part.saturating_add(wanted.min(free));
        }
    }

    /// Takes `part` from a holder and leaves it unassigned.
    pub fn give_up(&mut self, id: &HolderId, part: Part) {
        if let Some(holder) = self.active_mut(id) {
            holder.part = holder.part.saturating_sub(part);
        }
    }

    /// Marks a holder as closing: it must not use its part any more.
    pub fn close(&mut self, id: &HolderId) {
        if let Some(holder) = self.active_mut(id) {
            holder.closing = true;
        }
    }

    /// Removes a closing holder, which frees its part.
    pub fn remove(&mut self, id: &HolderId) {
        self.holders.retain(|h| h.id != *id || !h.closing);
    }

    /// Serializes the ledger.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Malformed`] if serialization fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>, LedgerError> {
        let wire = WireLedger::from(self);
        serde_json::to_vec(&wire).map_err(|e| LedgerError::Malformed(e.to_string()))
    }

    /// Deserializes and validates a ledger.
    ///
    /// # Errors
    ///
    /// If the document is malformed, has another format version, lists a holder twice, or the sum
    /// of the parts exceeds the whole.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, LedgerError> {
        let wire: WireLedger =
            serde_json::from_slice(bytes).map_err(|e| LedgerError::Malformed(e.to_string()))?;
        Self::try_from(wire)
    }

    fn active_mut(&mut self, id: &HolderId) -> Option<&mut Holder> {
        let mut active = self.holders.iter_mut().filter(|h| !h.closing);
        active.find(|h| h.id == *id)
    }
}

/// Returns the id under which parts of a holder are set aside.
fn set_aside_id(id: &HolderId) -> HolderId {
    HolderId {
        instance: format!("{SET_ASIDE_PREFIX}{}", id.instance).into(),
        incarnation: id.incarnation,
    }
}

/// Returns whether a holder stands for a part that is set aside.
pub fn is_set_aside(id: &HolderId) -> bool {
    id.instance.as_str().starts_with(SET_ASIDE_PREFIX)
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLedger {
    format: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    holders: Vec<WireHolder>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireHolder {
    instance: InstanceId,
    incarnation: u64,
    region: RegionId,
    part: Part,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    closing: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    confirmed_in: Option<u64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    tolerance_marked: bool,
}

impl From<&Ledger> for WireLedger {
    fn from(ledger: &Ledger) -> Self {
        let mut holders = Vec::with_capacity(ledger.holders.len());
        for holder in &ledger.holders {
            holders.push(WireHolder {
                instance: holder.id.instance.clone(),
                incarnation: holder.id.incarnation,
                region: holder.region.clone(),
                part: holder.part,
                closing: holder.closing,
                confirmed_in: holder.confirmed_in,
                tolerance_marked: holder.tolerance_marked,
            });
        }
        Self {
            format: FORMAT_VERSION,
            era: ledger.era,
            holders,
        }
    }
}

impl TryFrom<WireLedger> for Ledger {
    type Error = LedgerError;

    fn try_from(wire: WireLedger) -> Result<Self, LedgerError> {
        if wire.format != FORMAT_VERSION {
            return Err(LedgerError::UnsupportedFormat(wire.format));
        }
        let mut ledger = Self {
            era: wire.era,
            holders: Vec::with_capacity(wire.holders.len()),
        };
        let mut sum = Part::ZERO;
        for holder in wire.holders {
            let id = HolderId {
                instance: holder.instance,
                incarnation: holder.incarnation,
            };
            if ledger.holder(&id).is_some() {
                return Err(LedgerError::DuplicateHolder(id.instance));
            }
            sum = sum.saturating_add(holder.part);
            ledger.holders.push(Holder {
                id,
                region: holder.region,
                part: holder.part,
                closing: holder.closing,
                confirmed_in: holder.confirmed_in,
                tolerance_marked: holder.tolerance_marked,
            });
        }
        if sum > Part::WHOLE {
            return Err(LedgerError::ExceedsWhole);
        }
        Ok(ledger)
    }
}
