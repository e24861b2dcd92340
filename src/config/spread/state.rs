//! What an instance holds of the configuration, and how sure it is that nothing is newer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::config::head::Head;
use crate::config::loaded::{LoadedConfig, Texts};
use crate::config::{Revision, Snapshot};

/// How long ago the configuration in force was known to be the newest.
#[derive(Debug, Clone)]
pub struct Freshness {
    clock: Clock,
    /// Milliseconds on the clock, plus one; 0 before the first confirmation.
    confirmed: Arc<AtomicU64>,
}

impl Freshness {
    /// Starts with nothing confirmed.
    pub fn unconfirmed(clock: Clock) -> Self {
        Self {
            clock,
            confirmed: Arc::default(),
        }
    }

    /// Returns the time since the last confirmation; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        let at = self.confirmed.load(Ordering::Relaxed).checked_sub(1)?;
        Some(self.clock.now().saturating_sub(Duration::from_millis(at)))
    }

    /// Notes that nothing newer stood in the store at this time.
    pub(super) fn confirm(&self, at: Duration) {
        let millis = u64::try_from(at.as_millis()).unwrap_or(u64::MAX - 1);
        self.confirmed.fetch_max(millis + 1, Ordering::Relaxed);
    }
}

/// The configuration in force here; it only ever moves to greater revisions.
pub(super) struct State {
    known: watch::Sender<Arc<LoadedConfig>>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    freshness: Freshness,
    clock: Clock,
}

impl State {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            known: watch::Sender::new(Arc::default()),
            snapshots: watch::Sender::new(Arc::default()),
            freshness: Freshness::unconfirmed(clock),
            clock,
        }
    }

    pub(super) fn known(&self) -> watch::Receiver<Arc<LoadedConfig>> {
        self.known.subscribe()
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
        Arc::clone(&self.known.borrow())
    }

    pub(super) fn revision(&self) -> Revision {
        self.known.borrow().revision()
    }

    /// Notes that `revision` was the store's at the time `at`.
    ///
    /// What is in force here may be greater, never less.
    pub(super) fn confirm(&self, revision: Revision, at: Duration) {
        if self.revision() >= revision {
            self.freshness.confirm(at);
        }
    }

    /// Puts a head in force, with the texts that were not held; ignores what is not greater.
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
        // A large tree takes a while; it is built away from the tasks that serve requests.
        let built = tokio::task::spawn_blocking(move || LoadedConfig::build(head, &texts)).await;
        let known = match built {
            Ok(Ok(known)) => Arc::new(known),
            Ok(Err(faults)) => {
                let first = faults.first().map(ToString::to_string);
                return not_applied(revision, &first.unwrap_or_default());
            }
            Err(e) => return not_applied(revision, &e.to_string()),
        };
        let put_in_force = self.known.send_if_modified(|held| {
            let is_newer = held.revision() < known.revision();
            if is_newer {
                *held = Arc::clone(&known);
            }
            is_newer
        });
        if !put_in_force {
            return;
        }
        self.snapshots.send_if_modified(|held| {
            let is_newer = held.revision < revision;
            if is_newer {
                *held = Arc::clone(known.snapshot());
            }
            is_newer
        });
        metrics::gauge!("limpetstand_config_revision").set(revision.0 as f64);
        log::info!("configuration revision {} is in force", revision.0);
    }
}

fn not_applied(revision: Revision, why: &str) {
    metrics::counter!("limpetstand_config_not_applied_total").increment(1);
    log::error!("revision {} is not applied: {why}", revision.0);
}
