//! The JSON of the instance list and the client directory.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{DirectoryEntry, ListedInstance, ListedTarget, Listing, ServiceState};
use crate::id::{ModelId, RegionId};

/// The maximum length of a label's value, in bytes; a longer value is treated as missing.
const MAX_LABEL_BYTES: usize = 4096;

/// A target group of Prometheus HTTP service discovery: addresses that share labels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    targets: Vec<SmolStr>,
    #[serde(default)]
    labels: BTreeMap<SmolStr, SmolStr>,
}

/// Why a group of the list is skipped.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// A label or the address is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A label or the address has an invalid value.
    #[error("`{0}` is malformed")]
    Malformed(&'static str),
}

/// What one group of the list describes.
#[derive(Debug, Clone, PartialEq)]
enum ListedItem {
    Instance(ListedInstance),
    Target(ListedTarget),
}

/// Parses the list; returns the listing and the number of skipped groups.
///
/// A malformed group is skipped and the others are kept. Of two groups of one kind with the same
/// identifier, the first is kept.
///
/// # Errors
///
/// If the text is not a JSON array.
pub fn parse_list(text: &[u8]) -> Result<(Listing, usize), serde_json::Error> {
    let groups: Vec<serde_json::Value> = serde_json::from_slice(text)?;
    let mut listing = Listing::default();
    let mut skipped = 0;
    let mut seen = std::collections::BTreeSet::new();
    for value in groups {
        let Ok(group) = serde_json::from_value::<Group>(value) else {
            skipped += 1;
            continue;
        };
        let Ok(item) = ListedItem::try_from(group) else {
            skipped += 1;
            continue;
        };
        if !seen.insert(item.key()) {
            skipped += 1;
            continue;
        }
        match item {
            ListedItem::Instance(instance) => listing.instances.push(instance),
            ListedItem::Target(target) => listing.targets.push(target),
        }
    }
    Ok((listing, skipped))
}

impl ListedItem {
    fn key(&self) -> (bool, SmolStr) {
        match self {
            Self::Instance(instance) => (true, instance.id.as_str().into()),
            Self::Target(target) => (false, target.id.as_str().into()),
        }
    }
}

impl TryFrom<Group> for ListedItem {
    type Error = GroupError;

    fn try_from(group: Group) -> Result<Self, GroupError> {
        match group.label("kind")? {
            "instance" => group.instance().map(Self::Instance),
            "target" => group.target().map(Self::Target),
            _ => Err(GroupError::Malformed("kind")),
        }
    }
}

impl Group {
    fn instance(&self) -> Result<ListedInstance, GroupError> {
        Ok(ListedInstance {
            id: self.label("id")?.into(),
            front: self.address()?,
            peer: self.parsed("peer")?,
            region: self.label("region")?.into(),
            data_centre: self.label("data_centre")?.into(),
            state: self.state()?,
        })
    }

    fn target(&self) -> Result<ListedTarget, GroupError> {
        let price = self.number("price")?;
        let capacity = self.number("capacity")?;
        Ok(ListedTarget {
            id: self.label("id")?.into(),
            address: self.address()?,
            region: self.label("region")?.into(),
            data_centre: self.label("data_centre")?.into(),
            state: self.state()?,
            plugin: self.label("plugin")?.into(),
            models: self.models(),
            service: self.optional("service").map(SmolStr::new),
            capacity,
            slots: self.parsed("slots")?,
            price,
        })
    }

    fn optional(&self, name: &'static str) -> Option<&str> {
        let value = self.labels.get(name)?;
        if value.is_empty() || value.len() > MAX_LABEL_BYTES {
            return None;
        }
        Some(value)
    }

    fn label(&self, name: &'static str) -> Result<&str, GroupError> {
        self.optional(name).ok_or(GroupError::Missing(name))
    }

    fn parsed<T: std::str::FromStr>(&self, name: &'static str) -> Result<T, GroupError> {
        self.label(name)?
            .parse()
            .map_err(|_| GroupError::Malformed(name))
    }

    fn number(&self, name: &'static str) -> Result<f64, GroupError> {
        let number: f64 = self.parsed(name)?;
        if !number.is_finite() || number < 0.0 {
            return Err(GroupError::Malformed(name));
        }
        Ok(number)
    }

    fn address(&self) -> Result<SocketAddr, GroupError> {
        let first = self.targets.first().ok_or(GroupError::Missing("targets"))?;
        first.parse().map_err(|_| GroupError::Malformed("targets"))
    }

    fn state(&self) -> Result<ServiceState, GroupError> {
        match self.label("state")? {
            "live" => Ok(ServiceState::Live),
            "leaving" => Ok(ServiceState::Leaving),
            _ => Err(GroupError::Malformed("state")),
        }
    }

    fn models(&self) -> Vec<ModelId> {
        let mut models = Vec::new();
        let Some(list) = self.optional("models") else {
            return models;
        };
        for name in list.split(',') {
            let name = name.trim();
            if name.is_empty() {
                continue;
            }
            models.push(ModelId::from(name));
        }
        models
    }
}

/// Converts a region's directory entries to groups.
pub fn directory_groups(region: &RegionId, entries: &[DirectoryEntry]) -> Vec<Group> {
    let mut groups = Vec::with_capacity(entries.len());
    for entry in entries {
        let labels = BTreeMap::from([
            ("kind".into(), "entry".into()),
            ("region".into(), region.as_str().into()),
            (
                "weight".into(),
                smol_str::format_smolstr!("{}", entry.weight),
            ),
        ]);
        groups.push(Group {
            targets: vec![smol_str::format_smolstr!("{}", entry.front)],
            labels,
        });
    }
    groups
}
