//! The document in the store that divides all rates and bursts among the instances.
//!
//! One document serves all organisations: an instance's floor is the same part of each. Its size
//! grows with the instances alone, and no change of the configuration needs a write to it.

use serde::{Deserialize, Serialize};

use super::amount::Part;
use crate::id::{InstanceId, RegionId};

/// The key of the ledger in the store.
pub const LEDGER_KEY: &str = "/limpetstand/limits/ledger";

const FORMAT: u32 = 1;

/// One run of an instance; its next run is another holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId {
    /// The instance's name.
    pub instance: InstanceId,
    /// Drawn at random when the instance starts.
    pub incarnation: u64,
}

/// An instance that has a floor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Which run of which instance.
    pub id: HolderId,
    /// Its region.
    pub region: RegionId,
    /// Its part of every rate and burst.
    pub part: Part,
    /// Whether it must not use its part any more.
    pub closing: bool,
}

/// The division of all rates and bursts; the parts never add up to more than the whole.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ledger {
    holders: Vec<Holder>,
}

/// Why a stored ledger is not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// It is not JSON of the right shape.
    #[error("malformed ledger: {0}")]
    Malformed(String),
    /// It was written in another format.
    #[error("ledger of format {0}")]
    Format(u32),
    /// The parts add up to more than the whole.
    #[error("the parts add up to more than the whole")]
    TooMuch,
    /// A holder stands in it twice.
    #[error("holder `{0}` stands twice")]
    Twice(InstanceId),
}

impl Ledger {
    /// Returns all holders.
    pub fn holders(&self) -> &[Holder] {
        &self.holders
    }

    /// Finds a holder.
    pub fn holder(&self, id: &HolderId) -> Option<&Holder> {
        self.holders.iter().find(|h| h.id == *id)
    }

    /// Returns a holder's part; nothing if it must not use it.
    pub fn part(&self, id: &HolderId) -> Part {
        match self.holder(id) {
            Some(h) if !h.closing => h.part,
            _ => Part::ZERO,
        }
    }

    /// Returns the part that no holder has.
    pub fn free(&self) -> Part {
        let taken = self
            .holders
            .iter()
            .fold(Part::ZERO, |sum, h| sum.plus(h.part));
        Part::WHOLE.minus(taken)
    }

    /// Returns how many holders may use their part.
    pub fn active(&self) -> usize {
        self.holders.iter().filter(|h| !h.closing).count()
    }

    /// Returns the active holder with the least part.
    pub fn poorest(&self) -> Option<&Holder> {
        let active = self.holders.iter().filter(|h| !h.closing);
        active.min_by_key(|h| h.part)
    }

    /// Adds a holder without a part, unless it stands there.
    pub fn join(&mut self, id: &HolderId, region: &RegionId) {
        if self.holder(id).is_some() {
            return;
        }
        self.holders.push(Holder {
            id: id.clone(),
            region: region.clone(),
            part: Part::ZERO,
            closing: false,
        });
    }

    /// Gives a holder the parts of all earlier runs of its instance; returns how much that is.
    ///
    /// A name belongs to one running instance, so the earlier runs have ended.
    pub fn take_over(&mut self, id: &HolderId, region: &RegionId) -> Part {
        let earlier = |h: &Holder| h.id.instance == id.instance && h.id != *id;
        let parts = self.holders.iter().filter(|h| earlier(h)).map(|h| h.part);
        let inherited = parts.fold(Part::ZERO, Part::plus);
        self.holders.retain(|h| !earlier(h));
        self.join(id, region);
        if let Some(holder) = self.active_mut(id) {
            holder.part = holder.part.plus(inherited);
        }
        inherited
    }

    /// Gives free parts to a holder, at most `wanted`.
    pub fn claim(&mut self, id: &HolderId, wanted: Part) {
        let free = self.free();
        if let Some(holder) = self.active_mut(id) {
            holder.part = holder.part.plus(wanted.min(free));
        }
    }

    /// Makes a part of a holder free.
    pub fn give_up(&mut self, id: &HolderId, part: Part) {
        if let Some(holder) = self.active_mut(id) {
            holder.part = holder.part.minus(part);
        }
    }

    /// Marks a holder as one that must not use its part any more.
    pub fn close(&mut self, id: &HolderId) {
        if let Some(holder) = self.active_mut(id) {
            holder.closing = true;
        }
    }

    /// Takes a closing holder out; its part becomes free.
    pub fn remove(&mut self, id: &HolderId) {
        self.holders.retain(|h| h.id != *id || !h.closing);
    }

    /// Writes the document.
    ///
    /// # Errors
    ///
    /// Malformed if it cannot be written.
    pub fn to_bytes(&self) -> Result<Vec<u8>, LedgerError> {
        let wire = WireLedger::from(self);
        serde_json::to_vec(&wire).map_err(|e| LedgerError::Malformed(e.to_string()))
    }

    /// Reads the document and checks it.
    ///
    /// # Errors
    ///
    /// If it is malformed, of another format, or breaks the rule on the sum.
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

#[derive(Debug, Serialize, Deserialize)]
struct WireLedger {
    format: u32,
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
            });
        }
        Self {
            format: FORMAT,
            holders,
        }
    }
}

impl TryFrom<WireLedger> for Ledger {
    type Error = LedgerError;

    fn try_from(wire: WireLedger) -> Result<Self, LedgerError> {
        if wire.format != FORMAT {
            return Err(LedgerError::Format(wire.format));
        }
        let mut ledger = Self::default();
        let mut sum = Part::ZERO;
        for holder in wire.holders {
            let id = HolderId {
                instance: holder.instance,
                incarnation: holder.incarnation,
            };
            if ledger.holder(&id).is_some() {
                return Err(LedgerError::Twice(id.instance));
            }
            sum = sum.plus(holder.part);
            ledger.holders.push(Holder {
                id,
                region: holder.region,
                part: holder.part,
                closing: holder.closing,
            });
        }
        if sum > Part::WHOLE {
            return Err(LedgerError::TooMuch);
        }
        Ok(ledger)
    }
}
