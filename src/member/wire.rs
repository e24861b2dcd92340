//! The messages of kind `member` between instances.
//!
//! New variants are appended, so that an older instance refuses messages that it does not know and
//! decodes all others.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::status::{
    Announcement, Brief, Card, Delta, Difference, DrainNote, Heartbeat, Liveness, Status,
};
use crate::peer::PeerError;
use crate::platform::{ListedInstance, ListedTarget, Listing, ServiceState};

/// Maximum number of entries of one kind in a heartbeat.
const MAX_HEARTBEAT_ENTRIES: usize = 256;

/// Maximum length of the name of an instance, target, region or data centre.
const MAX_NAME_BYTES: usize = 128;

/// A request to another instance.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// A heartbeat.
    Beat(Box<HeartbeatWire>),
    /// Asks the receiver to probe the instance of this name.
    Try(SmolStr),
    /// Asks the receiver to compare its table with this table and to return the difference.
    Compare(Vec<BriefWire>),
    /// Asks the receiver for the list that it last read.
    List,
}

/// The answer to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// A heartbeat.
    Beat(Box<HeartbeatWire>),
    /// Whether the probed instance answered.
    Tried(bool),
    /// The difference between the answering and the asking instance's tables.
    Difference(DifferenceWire),
    /// The list and its age in milliseconds; `None` if the answering instance has no list.
    List(Option<(ListingWire, u64)>),
}

/// The wire form of a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatWire {
    from: DeltaWire,
    digest: u64,
    list_age_ms: Option<u64>,
    contacts: Vec<(SmolStr, u64)>,
    deltas: Vec<DeltaWire>,
    drains: Vec<(SmolStr, u64)>,
}

/// The wire form of an update on an instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct DeltaWire {
    brief: BriefWire,
    card: Option<CardWire>,
}

/// The wire form of the name and the status of an instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct BriefWire {
    id: SmolStr,
    incarnation: u64,
    refutation: u32,
    /// The liveness (0 up, 1 suspect, 2 dead), plus 4 if the instance has announced that it leaves.
    flags: u8,
}

/// The wire form of the addresses and the location of an instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct CardWire {
    front: SocketAddr,
    peer: SocketAddr,
    region: SmolStr,
    data_centre: SmolStr,
}

/// The wire form of the answer to a table comparison.
#[derive(Debug, Serialize, Deserialize)]
pub struct DifferenceWire {
    newer: Vec<DeltaWire>,
    unknown: Vec<SmolStr>,
}

/// The wire form of the list.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListingWire {
    instances: Vec<InstanceWire>,
    targets: Vec<TargetWire>,
}

#[derive(Debug, Serialize, Deserialize)]
struct InstanceWire {
    id: SmolStr,
    card: CardWire,
    leaving: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct TargetWire {
    id: SmolStr,
    address: SocketAddr,
    region: SmolStr,
    data_centre: SmolStr,
    leaving: bool,
    plugin: SmolStr,
    models: Vec<SmolStr>,
    service: Option<SmolStr>,
    capacity: f64,
    slots: u32,
    price: f64,
}

impl From<&Heartbeat> for HeartbeatWire {
    fn from(heartbeat: &Heartbeat) -> Self {
        let mut contacts = Vec::with_capacity(heartbeat.contacts.len());
        for (region, age) in &heartbeat.contacts {
            contacts.push((region.as_str().into(), millis(*age)));
        }
        let mut drains = Vec::with_capacity(heartbeat.drains.len());
        for note in &heartbeat.drains {
            drains.push((note.target.as_str().into(), millis(note.age)));
        }
        Self {
            from: DeltaWire::from(&heartbeat.from),
            digest: heartbeat.digest,
            list_age_ms: heartbeat.list_age.map(millis),
            contacts,
            deltas: heartbeat.deltas.iter().map(DeltaWire::from).collect(),
            drains,
        }
    }
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = PeerError;

    fn try_from(wire: HeartbeatWire) -> Result<Self, PeerError> {
        let entries = wire
            .contacts
            .len()
            .max(wire.deltas.len())
            .max(wire.drains.len());
        if entries > MAX_HEARTBEAT_ENTRIES {
            return Err(malformed("heartbeat has too many entries of one kind"));
        }
        let from = Delta::try_from(wire.from)?;
        if from.card.is_none() || from.status.liveness != Liveness::Up {
            return Err(malformed(
                "heartbeat has no card of its sender, or its sender is not up",
            ));
        }
        let mut contacts = Vec::with_capacity(wire.contacts.len());
        for (region, age_ms) in wire.contacts {
            contacts.push((checked_name(region)?.as_str().into(), bounded_age(age_ms)));
        }
        let mut drains = Vec::with_capacity(wire.drains.len());
        for (target, age_ms) in wire.drains {
            drains.push(DrainNote {
                target: checked_name(target)?.as_str().into(),
                age: bounded_age(age_ms),
            });
        }
        Ok(Self {
            from,
            digest: wire.digest,
            list_age: wire.list_age_ms.map(bounded_age),
            contacts,
            deltas: convert_all(wire.deltas)?,
            drains,
        })
    }
}

impl From<&Delta> for DeltaWire {
    fn from(delta: &Delta) -> Self {
        Self {
            brief: BriefWire::of(delta.id.as_str(), delta.status),
            card: delta.card.as_ref().map(CardWire::from),
        }
    }
}

impl TryFrom<DeltaWire> for Delta {
    type Error = PeerError;

    fn try_from(wire: DeltaWire) -> Result<Self, PeerError> {
        let brief = Brief::try_from(wire.brief)?;
        Ok(Self {
            id: brief.id,
            status: brief.status,
            card: wire.card.map(Card::try_from).transpose()?,
        })
    }
}

impl BriefWire {
    fn of(id: &str, status: Status) -> Self {
        let liveness = match status.liveness {
            Liveness::Up => 0,
            Liveness::Suspect => 1,
            Liveness::Dead => 2,
        };
        Self {
            id: id.into(),
            incarnation: status.announcement.incarnation,
            refutation: status.announcement.refutation,
            flags: liveness + 4 * u8::from(status.announcement.leaving),
        }
    }
}

impl From<&Brief> for BriefWire {
    fn from(brief: &Brief) -> Self {
        Self::of(brief.id.as_str(), brief.status)
    }
}

impl TryFrom<BriefWire> for Brief {
    type Error = PeerError;

    fn try_from(wire: BriefWire) -> Result<Self, PeerError> {
        let liveness = match wire.flags & 3 {
            0 => Liveness::Up,
            1 => Liveness::Suspect,
            2 => Liveness::Dead,
            _ => return Err(malformed("unknown liveness")),
        };
        // With a maximal counter there is no greater announcement, so a suspicion could not be
        // refuted.
        let is_maximal = wire.incarnation == u64::MAX || wire.refutation == u32::MAX;
        if wire.flags > 7 || is_maximal {
            return Err(malformed("announcement out of range"));
        }
        Ok(Self {
            id: checked_name(wire.id)?.as_str().into(),
            status: Status {
                announcement: Announcement {
                    incarnation: wire.incarnation,
                    refutation: wire.refutation,
                    leaving: wire.flags & 4 != 0,
                },
                liveness,
            },
        })
    }
}

impl From<&Card> for CardWire {
    fn from(card: &Card) -> Self {
        Self {
            front: card.front,
            peer: card.peer,
            region: card.region.as_str().into(),
            data_centre: card.data_centre.clone(),
        }
    }
}

impl TryFrom<CardWire> for Card {
    type Error = PeerError;

    fn try_from(wire: CardWire) -> Result<Self, PeerError> {
        Ok(Self {
            front: wire.front,
            peer: wire.peer,
            region: checked_name(wire.region)?.as_str().into(),
            data_centre: checked_name(wire.data_centre)?,
        })
    }
}

impl From<&Difference> for DifferenceWire {
    fn from(difference: &Difference) -> Self {
        let mut unknown = Vec::with_capacity(difference.unknown.len());
        for id in &difference.unknown {
            unknown.push(id.as_str().into());
        }
        Self {
            newer: difference.newer.iter().map(DeltaWire::from).collect(),
            unknown,
        }
    }
}

impl TryFrom<DifferenceWire> for Difference {
    type Error = PeerError;

    fn try_from(wire: DifferenceWire) -> Result<Self, PeerError> {
        let mut unknown = Vec::with_capacity(wire.unknown.len());
        for id in wire.unknown {
            unknown.push(checked_name(id)?.as_str().into());
        }
        Ok(Self {
            newer: convert_all(wire.newer)?,
            unknown,
        })
    }
}

impl From<&Listing> for ListingWire {
    fn from(listing: &Listing) -> Self {
        Self {
            instances: listing.instances.iter().map(InstanceWire::from).collect(),
            targets: listing.targets.iter().map(TargetWire::from).collect(),
        }
    }
}

impl TryFrom<ListingWire> for Listing {
    type Error = PeerError;

    fn try_from(wire: ListingWire) -> Result<Self, PeerError> {
        Ok(Self {
            instances: convert_all(wire.instances)?,
            targets: convert_all(wire.targets)?,
        })
    }
}

impl From<&ListedInstance> for InstanceWire {
    fn from(listed: &ListedInstance) -> Self {
        Self {
            id: listed.id.as_str().into(),
            card: CardWire::from(&Card::from(listed)),
            leaving: listed.state == ServiceState::Leaving,
        }
    }
}

impl TryFrom<InstanceWire> for ListedInstance {
    type Error = PeerError;

    fn try_from(wire: InstanceWire) -> Result<Self, PeerError> {
        let card = Card::try_from(wire.card)?;
        Ok(Self {
            id: checked_name(wire.id)?.as_str().into(),
            front: card.front,
            peer: card.peer,
            region: card.region,
            data_centre: card.data_centre,
            state: listed_state(wire.leaving),
        })
    }
}

impl From<&ListedTarget> for TargetWire {
    fn from(target: &ListedTarget) -> Self {
        let mut models = Vec::with_capacity(target.models.len());
        for model in &target.models {
            models.push(model.as_str().into());
        }
        Self {
            id: target.id.as_str().into(),
            address: target.address,
            region: target.region.as_str().into(),
            data_centre: target.data_centre.clone(),
            leaving: target.state == ServiceState::Leaving,
            plugin: target.plugin.clone(),
            models,
            service: target.service.clone(),
            capacity: target.capacity,
            slots: target.slots,
            price: target.price,
        }
    }
}

impl TryFrom<TargetWire> for ListedTarget {
    type Error = PeerError;

    fn try_from(wire: TargetWire) -> Result<Self, PeerError> {
        let is_finite = wire.capacity.is_finite() && wire.price.is_finite();
        if !is_finite || wire.capacity < 0.0 || wire.price < 0.0 {
            return Err(malformed(
                "capacity or price of a target is negative or not finite",
            ));
        }
        let mut models = Vec::with_capacity(wire.models.len());
        for model in wire.models {
            models.push(model.as_str().into());
        }
        Ok(Self {
            id: checked_name(wire.id)?.as_str().into(),
            address: wire.address,
            region: checked_name(wire.region)?.as_str().into(),
            data_centre: checked_name(wire.data_centre)?,
            state: listed_state(wire.leaving),
            plugin: wire.plugin,
            models,
            service: wire.service,
            capacity: wire.capacity,
            slots: wire.slots,
            price: wire.price,
        })
    }
}

/// Converts all items; fails if any of them is malformed.
pub(super) fn convert_all<W, T>(wires: Vec<W>) -> Result<Vec<T>, PeerError>
where
    T: TryFrom<W, Error = PeerError>,
{
    let mut converted = Vec::with_capacity(wires.len());
    for wire in wires {
        converted.push(T::try_from(wire)?);
    }
    Ok(converted)
}

fn checked_name(text: SmolStr) -> Result<SmolStr, PeerError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(malformed("name is empty or too long"));
    }
    Ok(text)
}

fn listed_state(leaving: bool) -> ServiceState {
    if leaving {
        ServiceState::Leaving
    } else {
        ServiceState::Live
    }
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Bounds a received age, so that additions cannot overflow.
fn bounded_age(millis: u64) -> Duration {
    Duration::from_millis(millis.min(u64::from(u32::MAX)))
}

fn malformed(message: &str) -> PeerError {
    PeerError::Malformed(message.to_owned())
}

crate::wire_format!("member-reply", Reply);
crate::wire_format!("member-request", Request);
