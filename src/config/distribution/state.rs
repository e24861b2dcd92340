//! The configuration in force at an instance, and when it was last confirmed as the newest.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::config::head::Head;
use crate::config::loaded::{LoadedConfig, Texts};
use crate::config::{Revision, Snapshot};

/// When the configuration in force was last confirmed as the newest.
#[derive(Debug, Clone)]
pub struct Freshness {
    clock: Clock,
    /// The time of the last confirmation in milliseconds on the clock, plus 1; 0 before the first
    /// confirmation.
    confirmed_ms_plus_1: Arc<AtomicU64>,
}

impl Freshness {
    /// Creates a freshness without a confirmation.
    pub fn unconfirmed(clock: Clock) -> Self {
        Self {
            clock,
            confirmed_ms_plus_1: Arc::default(),
        }
    }

    /// Returns the time since the last confirmation; `None` before the first confirmation.
    pub fn age(&self) -> Option<Duration> {
        let at = self
            .confirmed_ms_plus_1
            .load(Ordering::Relaxed)
            .checked_sub(1)?;
        Some(self.clock.now().saturating_sub(Duration::from_millis(at)))
    }

    /// Records that the store held no newer revision at the time `at`.
    pub(super) fn confirm(&self, at: Duration) {
        let millis = u64::try_from(at.as_millis()).unwrap_or(u64::MAX - 1);
        self.confirmed_ms_plus_1
            .fetch_max(millis + 1, Ordering::Relaxed);
    }
}

/// The configuration in force at this instance; its revision only increases.
pub(super) struct State {
    loaded: watch::Sender<Arc<LoadedConfig>>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    freshness: Freshness,
    clock: Clock,
}

impl State {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            loaded: watch::Sender::new(Arc::default()),
            snapshots: watch::Sender::new(Arc::default()),
            freshness: Freshness::unconfirmed(clock),
            clock,
        }
    }

    pub(super) fn loaded(&self) -> watch::Receiver<Arc<LoadedConfig>> {
        self.loaded.subscribe()
    }

    pub(super) fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.subscribe()
    }

    pub(super) fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(super) fn current(&self) -> Arc<LoadedConfig> {
        Arc::clone(&self.loaded.borrow())
    }

    pub(super) fn revision(&self) -> Revision {
        self.loaded.borrow().revision()
    }

    /// Records that the store held `revision` at the time `at`.
    ///
    /// This confirms the configuration in force only if its revision is `revision` or greater.
    pub(super) fn confirm(&self, revision: Revision, at: Duration) {
        if self.revision() >= revision {
            self.freshness.confirm(at);
        }
    }

    /// Applies a head if the head's revision is greater than the revision in force; `texts` has the
    /// texts of the head that are not loaded yet.
    pub(super) async fn apply(&self, head: Head, mut texts: Texts) {
        let current = self.current();
        if head.revision <= current.revision() {
            return;
        }
        for found in head.documents.values() {
            if let Some(text) = current.text(&found.blob) {
                texts.insert(found.blob.clone(), Arc::clone(text));
            }
        }
        let revision = head.revision;
        // The configuration is built on the blocking thread pool, because a large tree would delay
        // the tasks that serve requests.
        let built = tokio::task::spawn_blocking(move || LoadedConfig::build(head, &texts)).await;
        let loaded = match built {
            Ok(Ok(loaded)) => Arc::new(loaded),
            Ok(Err(faults)) => {
                let first = faults.first().map(ToString::to_string);
                return report_not_applied(revision, &first.unwrap_or_default());
            }
            Err(e) => return report_not_applied(revision, &e.to_string()),
        };
        let is_applied = self.loaded.send_if_modified(|current_value| {
            let is_newer = current_value.revision() < loaded.revision();
            if is_newer {
                *current_value = Arc::clone(&loaded);
            }
            is_newer
        });
        if !is_applied {
            return;
        }
        self.snapshots.send_if_modified(|current_value| {
            let is_newer = current_value.revision < revision;
            if is_newer {
                *current_value = Arc::clone(loaded.snapshot());
            }
            is_newer
        });
        metrics::gauge!("limpetstand_config_revision").set(revision.0 as f64);
        log::info!("configuration revision {} is in force", revision.0);
    }
}

fn report_not_applied(revision: Revision, reason: &str) {
    metrics::counter!("limpetstand_config_not_applied_total").increment(1);
    log::error!(
        "cannot apply configuration revision {}: {reason}",
        revision.0
    );
}
