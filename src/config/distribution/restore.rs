//! Restores the configuration in a store that holds an older revision than this instance, such as
//! after the store was restored from a backup.
//!
//! Accepted changes must not be lost, so the configuration in force is written to the store again
//! under the same revision.

use bytes::Bytes;

use super::Context;
use crate::config::blob;
use crate::config::head::HEAD_KEY;
use crate::store::{Precondition, StoreError};

/// Writes the configuration in force over the store's head if the head still matches `expect`.
pub(super) async fn restore_store(cx: &Context, expect: Precondition) -> Result<(), StoreError> {
    let stored = match cx.store.revision(HEAD_KEY).await? {
        Some(revision) => Precondition::Revision(revision),
        None => Precondition::Absent,
    };
    if stored != expect {
        return Ok(());
    }
    let loaded = cx.state.current();
    let Ok(value) = Bytes::try_from(loaded.head()) else {
        return Ok(());
    };
    metrics::counter!("limpetstand_config_store_behind_total").increment(1);
    log::warn!(
        "the store holds an older configuration; writing revision {} to it again",
        loaded.revision().0
    );
    for found in loaded.head().documents.values() {
        if let Some(text) = loaded.text(&found.blob) {
            blob::write(cx.store.as_ref(), text).await?;
        }
    }
    cx.store.swap(HEAD_KEY, expect, value, None).await?;
    Ok(())
}
