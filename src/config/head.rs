//! The head: the value in the store that lists the blobs of the newest revision. A change is
//! committed by replacing the head by compare-and-swap.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Write;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::Revision;
use super::path::DocumentPath;

/// The store key of the head.
pub const HEAD_KEY: &str = "limpetstand/config/head";

/// The prefix of the store keys of blobs.
const BLOB_PREFIX: &str = "limpetstand/config/blob/";

/// The version of the head's JSON layout.
const LAYOUT_VERSION: u16 = 1;

/// The maximum size of a head; the store accepts values of up to 1 MB.
pub const MAX_HEAD_BYTES: usize = 900 * 1024;

/// How many of the latest changes the head keeps as its history.
pub const KEPT_CHANGES: usize = 512;

/// The id of a blob: the SHA-256 of its bytes, as hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlobId(SmolStr);

impl BlobId {
    /// Returns the id of a text.
    pub fn of(text: &str) -> Self {
        Self(hex_digest(text.as_bytes()))
    }

    /// Returns the key under which the store holds the blob.
    pub fn store_key(&self) -> String {
        format!("{BLOB_PREFIX}{}", self.0)
    }
}

/// Returns the SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
pub fn hex_digest(bytes: &[u8]) -> SmolStr {
    let mut text = String::with_capacity(64);
    for b in Sha256::digest(bytes) {
        let _ = write!(text, "{b:02x}");
    }
    text.into()
}

/// The id of a change, set by the client that requests the change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(SmolStr);

impl ChangeId {
    /// The maximum length of a change id in bytes.
    pub const MAX_BYTES: usize = 100;

    /// Parses an id of 1 to 100 visible ASCII characters; returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let fits = (1..=Self::MAX_BYTES).contains(&text.len());
        let visible = text.bytes().all(|b| b.is_ascii_graphic());
        (fits && visible).then(|| Self(text.into()))
    }

    /// Creates a random id.
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()).into())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The edit that a change made to one document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The path of the document.
    pub path: DocumentPath,
    /// The blob of the text before the change; `None` if the document did not exist.
    pub before: Option<BlobId>,
    /// The blob of the text after the change; `None` if the change deleted the document.
    pub after: Option<BlobId>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change created.
    pub revision: Revision,
    /// The id of the change, set by the client that requested the change.
    pub id: ChangeId,
    /// The team that requested the change.
    pub author: SmolStr,
    /// The revision that the change restored, if it is a rollback.
    pub rollback_to: Option<Revision>,
    /// The time at which the change was accepted, in seconds since the Unix epoch, by the clock of
    /// the instance that committed the change.
    pub unix_s: u64,
    /// The edits of the change, one for each document.
    pub edits: Vec<Edit>,
}

/// A reference to a document's text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRef {
    /// The blob with the text.
    pub blob: BlobId,
    /// The revision that last changed the document.
    pub revision: Revision,
}

/// The configuration tree at one revision, as references to blobs, with the latest changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Head {
    /// The revision; 0 before the first change.
    pub revision: Revision,
    /// All documents.
    pub documents: BTreeMap<DocumentPath, DocumentRef>,
    /// The latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// Why a head cannot be decoded or encoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The bytes are not a valid head.
    #[error("the head in the store is malformed: {0}")]
    Malformed(String),
    /// The head has a layout version that this program does not support, because a newer program
    /// wrote the head.
    #[error("the head in the store has layout version {0}, which this program does not support")]
    Layout(u16),
    /// The encoded head is larger than [`MAX_HEAD_BYTES`].
    #[error("the head exceeds its maximum size: the tree has too many documents")]
    TooLarge,
}

/// The head as the store holds it, in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct EncodedHead {
    layout: u16,
    revision: Revision,
    documents: BTreeMap<DocumentPath, DocumentRef>,
    changes: Vec<Change>,
}

#[derive(Deserialize)]
struct EncodedLayout {
    layout: u16,
}

impl TryFrom<&[u8]> for Head {
    type Error = HeadError;

    fn try_from(bytes: &[u8]) -> Result<Self, HeadError> {
        let malformed = |e: serde_json::Error| HeadError::Malformed(e.to_string());
        let EncodedLayout { layout } = serde_json::from_slice(bytes).map_err(malformed)?;
        if layout != LAYOUT_VERSION {
            return Err(HeadError::Layout(layout));
        }
        let encoded: EncodedHead = serde_json::from_slice(bytes).map_err(malformed)?;
        Ok(Self {
            revision: encoded.revision,
            documents: encoded.documents,
            changes: encoded.changes,
        })
    }
}

impl TryFrom<&Head> for Bytes {
    type Error = HeadError;

    fn try_from(head: &Head) -> Result<Self, HeadError> {
        let encoded = EncodedHead {
            layout: LAYOUT_VERSION,
            revision: head.revision,
            documents: head.documents.clone(),
            changes: head.changes.clone(),
        };
        let bytes =
            serde_json::to_vec(&encoded).map_err(|e| HeadError::Malformed(e.to_string()))?;
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLarge);
        }
        Ok(bytes.into())
    }
}

impl Head {
    /// Finds an accepted change by its id in the kept history.
    pub fn find_change(&self, id: &ChangeId) -> Option<&Change> {
        self.changes.iter().rev().find(|c| c.id == *id)
    }

    /// Returns whether the kept history has every change after `revision`.
    pub fn covers(&self, revision: Revision) -> bool {
        if revision >= self.revision {
            return true;
        }
        let oldest = self.changes.first().map(|c| c.revision.0);
        oldest.is_some_and(|oldest| oldest <= revision.0 + 1)
    }

    /// Returns the documents at an earlier revision; `None` if the kept history does not reach back
    /// to that revision.
    pub fn documents_at(&self, revision: Revision) -> Option<BTreeMap<DocumentPath, BlobId>> {
        if revision > self.revision || !self.covers(revision) {
            return None;
        }
        let mut documents = BTreeMap::new();
        for (path, found) in &self.documents {
            documents.insert(path.clone(), found.blob.clone());
        }
        for change in self.changes.iter().rev() {
            if change.revision <= revision {
                break;
            }
            for edit in change.edits.iter().rev() {
                match &edit.before {
                    Some(blob) => documents.insert(edit.path.clone(), blob.clone()),
                    None => documents.remove(&edit.path),
                };
            }
        }
        Some(documents)
    }

    /// Returns the next head, with `change` applied.
    pub fn after(&self, change: Change) -> Self {
        let mut next = self.clone();
        next.revision = change.revision;
        for edit in &change.edits {
            match &edit.after {
                Some(blob) => {
                    let reference = DocumentRef {
                        blob: blob.clone(),
                        revision: change.revision,
                    };
                    next.documents.insert(edit.path.clone(), reference);
                }
                None => {
                    next.documents.remove(&edit.path);
                }
            }
        }
        next.changes.push(change);
        let excess = next.changes.len().saturating_sub(KEPT_CHANGES);
        next.changes.drain(..excess);
        next
    }

    /// Returns all blobs that the documents or the kept changes refer to.
    pub fn blobs(&self) -> HashSet<&BlobId> {
        let mut blobs = HashSet::new();
        for found in self.documents.values() {
            blobs.insert(&found.blob);
        }
        for change in &self.changes {
            for edit in &change.edits {
                blobs.extend(edit.before.iter());
                blobs.extend(edit.after.iter());
            }
        }
        blobs
    }
}
