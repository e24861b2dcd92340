//! The configuration that an instance has loaded: the head, the texts and the snapshot built from
//! them.

use std::collections::HashMap;
use std::sync::Arc;

use super::fault::Fault;
use super::head::{BlobId, Head};
use super::tree::Tree;
use super::{Revision, Snapshot};

/// The texts of documents by blob id.
pub type Texts = HashMap<BlobId, Arc<str>>;

/// A complete configuration at one revision, with the head and texts that the snapshot is built
/// from.
#[derive(Debug, Clone, Default)]
pub struct LoadedConfig {
    head: Head,
    texts: Texts,
    snapshot: Arc<Snapshot>,
}

impl LoadedConfig {
    /// Builds a configuration from a head and the texts of all documents of the head.
    ///
    /// # Errors
    ///
    /// Returns the faults of the tree, or one fault for each document whose text is missing.
    pub fn build(head: Head, texts: &Texts) -> Result<Self, Vec<Fault>> {
        let mut kept = Texts::with_capacity(head.documents.len());
        let mut tree = Tree::default();
        let mut faults = Vec::new();
        for (path, found) in &head.documents {
            let Some(text) = texts.get(&found.blob) else {
                faults.push(Fault::whole(
                    path.as_str(),
                    "the text of the document is missing",
                ));
                continue;
            };
            kept.insert(found.blob.clone(), Arc::clone(text));
            tree.put(path.clone(), Arc::clone(text));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let snapshot = tree.snapshot(head.revision)?;
        Ok(Self {
            head,
            texts: kept,
            snapshot: Arc::new(snapshot),
        })
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the text of a blob if a document of this configuration refers to the blob.
    pub fn text(&self, blob: &BlobId) -> Option<&Arc<str>> {
        self.texts.get(blob)
    }

    /// Returns the blobs of the documents of `head` whose texts are not in this configuration.
    pub fn missing(&self, head: &Head) -> Vec<BlobId> {
        let mut missing = Vec::new();
        for found in head.documents.values() {
            if !self.texts.contains_key(&found.blob) {
                missing.push(found.blob.clone());
            }
        }
        missing.sort();
        missing.dedup();
        missing
    }
}
