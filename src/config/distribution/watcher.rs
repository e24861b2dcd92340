//! Follows the head in the store with a watch, and polls in case the watch has failed silently.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::Context;
use super::fetch::fetch_texts;
use super::restore::restore_store;
use crate::config::Revision;
use crate::config::head::{HEAD_KEY, Head};
use crate::store::{Entry, Precondition, StoreError, StoreRevision, WatchEvent};

/// The interval at which the store's revision of the head is polled.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The pause after the first failed store call; the pause doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// The upper limit of the pause after a failed store call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The store revision that stands for a head that does not exist.
const ABSENT_REVISION: StoreRevision = StoreRevision { era: 0, number: 0 };

/// The store revision of the head that was applied last; `None` if applying the last head failed.
type AppliedRevision = Option<StoreRevision>;

/// Reads the head at the start, and watches the head while this instance is a watcher, until the
/// channel of the fleet closes.
pub(super) async fn run(cx: Arc<Context>) {
    let mut pause = INITIAL_BACKOFF;
    let mut is_first = true;
    let mut fleet = cx.fleet.clone();
    loop {
        if !is_first && !cx.is_watcher() {
            if fleet.changed().await.is_err() {
                return;
            }
            continue;
        }
        let result = match is_first && !cx.is_watcher() {
            true => read_head(&cx).await.map(|_| ()),
            false => watch_head(&cx).await,
        };
        is_first = false;
        if fleet.has_changed().is_err() {
            return;
        }
        if result.is_ok() {
            pause = INITIAL_BACKOFF;
            continue;
        }
        metrics::counter!("limpetstand_config_store_failures_total").increment(1);
        tokio::time::sleep(cx.jittered(pause)).await;
        pause = (pause * 2).min(MAX_BACKOFF);
    }
}

/// Watches the head until the watch ends, a call fails or this instance is no longer a watcher.
async fn watch_head(cx: &Context) -> Result<(), StoreError> {
    let mut events = cx.store.watch(HEAD_KEY).await?;
    let mut applied = read_head(cx).await?;
    while cx.is_watcher() {
        match tokio::time::timeout(POLL_INTERVAL, next_event(&mut events)).await {
            Ok(Some(WatchEvent::Put(entry))) => applied = apply(cx, &entry).await.applied(&entry),
            Ok(Some(_)) => applied = read_head(cx).await?,
            Ok(None) => return Ok(()),
            Err(_) => applied = poll(cx, applied).await?,
        }
    }
    Ok(())
}

/// Reads the head again if its store revision differs from `applied`.
async fn poll(cx: &Context, applied: AppliedRevision) -> Result<AppliedRevision, StoreError> {
    let requested_at = cx.state.now();
    let stored = cx
        .store
        .revision(HEAD_KEY)
        .await?
        .unwrap_or(ABSENT_REVISION);
    if applied == Some(stored) {
        cx.state.confirm(cx.state.revision(), requested_at);
        return Ok(applied);
    }
    if applied.is_some() {
        metrics::counter!("limpetstand_config_watch_misses_total").increment(1);
    }
    read_head(cx).await
}

async fn next_event(events: &mut mpsc::Receiver<WatchEvent>) -> Option<WatchEvent> {
    loop {
        let event = events.recv().await?;
        match &event {
            WatchEvent::Put(entry) if entry.key != HEAD_KEY => {}
            _ => return Some(event),
        }
    }
}

/// Reads the head and applies it, or restores the store if the revision in force is greater.
async fn read_head(cx: &Context) -> Result<AppliedRevision, StoreError> {
    let requested_at = cx.state.now();
    let Some(entry) = cx.store.get(HEAD_KEY).await? else {
        cx.state.confirm(Revision::default(), requested_at);
        if cx.state.revision() == Revision::default() {
            return Ok(Some(ABSENT_REVISION));
        }
        restore_store(cx, Precondition::Absent).await?;
        return Ok(None);
    };
    let result = apply(cx, &entry).await;
    match result {
        ApplyResult::InForce => cx.state.confirm(cx.state.revision(), requested_at),
        ApplyResult::Older => {
            cx.state.confirm(cx.state.revision(), requested_at);
            restore_store(cx, Precondition::Revision(entry.mod_revision)).await?;
        }
        ApplyResult::Failed => {}
    }
    Ok(result.applied(&entry))
}

/// The result of applying a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ApplyResult {
    /// The head's revision is now in force.
    InForce,
    /// The head's revision is older than the revision in force.
    Older,
    /// The head cannot be applied now.
    Failed,
}

impl ApplyResult {
    fn applied(self, entry: &Entry) -> AppliedRevision {
        (self == Self::InForce).then_some(entry.mod_revision)
    }
}

/// Applies the head of a store entry if its revision is greater than that in force.
async fn apply(cx: &Context, entry: &Entry) -> ApplyResult {
    let head = match Head::try_from(entry.value.as_ref()) {
        Ok(head) => head,
        Err(e) => {
            metrics::counter!("limpetstand_config_not_applied_total").increment(1);
            log::error!("cannot apply the configuration: {e}");
            return ApplyResult::Failed;
        }
    };
    let revision = head.revision;
    if revision < cx.state.revision() {
        return ApplyResult::Older;
    }
    if revision > cx.state.revision() {
        let Some(texts) = fetch_texts(cx, &head, None).await else {
            return ApplyResult::Failed;
        };
        cx.state.apply(head, texts).await;
    }
    match cx.state.revision() >= revision {
        true => ApplyResult::InForce,
        false => ApplyResult::Failed,
    }
}
