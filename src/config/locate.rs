//! Finds the line and column of entries in the text of a document.

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;
use toml::de::{DeTable, DeValue};

use super::fault::Fault;
use super::path::DocumentPath;

/// A fault whose line and column are not known yet.
pub(super) struct UnlocatedFault<'a> {
    /// The document.
    pub(super) path: &'a DocumentPath,
    /// The text of the document.
    pub(super) text: &'a Arc<str>,
    /// The TOML keys that lead to the entry, outermost first.
    pub(super) keys: Vec<SmolStr>,
    /// The description of the fault.
    pub(super) message: String,
}

/// Finds the line and column of each fault; each document is parsed once.
pub(super) fn locate(faults: Vec<UnlocatedFault<'_>>) -> Vec<Fault> {
    let mut tables = BTreeMap::new();
    let mut located = Vec::with_capacity(faults.len());
    for fault in faults {
        let path = fault.path.as_str();
        let table = tables
            .entry(path)
            .or_insert_with(|| DeTable::parse(fault.text).ok());
        let at = match table {
            Some(table) => offset(table.get_ref(), &fault.keys),
            None => 0,
        };
        located.push(Fault::at(path, fault.text, at, fault.message));
    }
    located
}

/// Follows `keys` from the table inwards; returns the byte offset of the last key that exists.
fn offset(root: &DeTable<'_>, keys: &[SmolStr]) -> usize {
    let mut offset = 0;
    let mut table = root;
    for key in keys {
        let Some((name, value)) = table.get_key_value(key.as_str()) else {
            return offset;
        };
        offset = name.span().start;
        match value.get_ref() {
            DeValue::Table(next) => table = next,
            _ => return offset,
        }
    }
    offset
}
