//! Blobs: immutable document texts in the store, with the hash of their bytes as key.

use std::sync::Arc;

use bytes::Bytes;

use super::head::{BlobId, Head, HeadError};
use crate::store::{Precondition, Store, StoreError, StoreRevision, SwapResult};

/// Why the configuration tree in the store cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The store call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The head cannot be decoded.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A blob that the head refers to is missing, or its bytes do not match its hash.
    #[error("blob {0} is missing or damaged in the store")]
    Blob(String),
}

/// Reads a blob and checks its hash.
pub(super) async fn read(store: &dyn Store, blob: &BlobId) -> Result<Arc<str>, ReadError> {
    let key = blob.store_key();
    let Some(entry) = store.get(&key).await? else {
        return Err(ReadError::Blob(key));
    };
    let Ok(text) = std::str::from_utf8(&entry.value) else {
        return Err(ReadError::Blob(key));
    };
    if BlobId::of(text) != *blob {
        return Err(ReadError::Blob(key));
    }
    Ok(text.into())
}

/// Writes a blob even if the store already holds it: the new store revision keeps a concurrent
/// [`sweep`] from deleting the blob.
pub(super) async fn write(store: &dyn Store, text: &str) -> Result<(), StoreError> {
    let key = BlobId::of(text).store_key();
    let value = Bytes::copy_from_slice(text.as_bytes());
    let mut expect = Precondition::Absent;
    while let SwapResult::Conflict(found) = store.swap(&key, expect, value.clone(), None).await? {
        expect = match found {
            Some(entry) => Precondition::Revision(entry.mod_revision),
            None => Precondition::Absent,
        };
    }
    Ok(())
}

/// A blob that nothing refers to after a change, with the blob's revision in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Unreferenced {
    key: String,
    mod_revision: StoreRevision,
}

/// Finds the blobs that `head` refers to and `next` does not.
///
/// Must be called before the swap that replaces `head` by `next`: any later change writes the blobs
/// that it needs again, so a blob that still has the store revision found here is not in use.
pub(super) async fn unreferenced(
    store: &dyn Store,
    head: &Head,
    next: &Head,
) -> Result<Vec<Unreferenced>, StoreError> {
    let kept = next.blobs();
    let mut found = Vec::new();
    for blob in head.blobs() {
        if kept.contains(blob) {
            continue;
        }
        let key = blob.store_key();
        if let Some(mod_revision) = store.revision(&key).await? {
            found.push(Unreferenced { key, mod_revision });
        }
    }
    Ok(found)
}

/// Deletes the blobs that were not written again since [`unreferenced`] found them; a blob whose
/// deletion fails stays in the store.
pub(super) async fn sweep(store: &dyn Store, blobs: Vec<Unreferenced>) {
    for blob in blobs {
        if store.delete(&blob.key, blob.mod_revision).await.is_err() {
            metrics::counter!("limpetstand_config_blobs_left_total").increment(1);
        }
    }
}
