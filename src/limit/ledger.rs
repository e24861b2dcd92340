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
}

/// The division of all rates and bursts among holders; the sum of the parts never exceeds the
/// whole.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ledger {
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
        });
    }

    /// Assigns the parts of all earlier incarnations of an instance to a holder; returns their sum.
    ///
    /// Only one process runs under an instance's name, so the earlier incarnations have ended.
    pub fn inherit(&mut self, id: &HolderId, region: &RegionId) -> Part {
        let earlier = |h: &Holder| h.id.instance == id.instance && h.id != *id;
        let parts = self.holders.iter().filter(|h| earlier(h)).map(|h| h.part);
        let inherited_part = parts.fold(Part::ZERO, Part::saturating_add);
        self.holders.retain(|h| !earlier(h));
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
            format: FORMAT_VERSION,
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
        let mut ledger = Self::default();
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
            });
        }
        if sum > Part::WHOLE {
            return Err(LedgerError::ExceedsWhole);
        }
        Ok(ledger)
    }
}
