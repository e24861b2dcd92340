//! Brings the registry up to date with the store on demand.
//!
//! Watches and polls bring changes within milliseconds as a rule, but tell only from time to time
//! that nothing has changed. A decision that depends on the absence of a change asks here.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::timeout;

use super::poll::{VIEW_KIND, WireChanges, WireResponse, without_missing_values};
use super::{Follower, REGISTRY_MIRROR, Update, millis};
use crate::journal;
use crate::peer::{Peers, decode};
use crate::store::{StoreError, StoreRevision};

/// Timeout of a read of the registry's changes; covers a round trip to the store's region.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a question for the age of another instance's news.
const NEWS_AGE_TIMEOUT: Duration = Duration::from_millis(800);

/// The latest read of the registry's changes.
#[derive(Debug, Clone, Copy)]
pub(super) struct RegistryRead {
    began_at: Duration,
    succeeded: bool,
}

impl Follower {
    /// Reads from the store what has changed in the registry. Returns whether the view has all that
    /// the store had when this was called. Calls at the same time share a read.
    pub(in crate::gateway) async fn read_registry(&self) -> bool {
        let called_at = self.now();
        let _guard = self.registry_read_lock.lock().await;
        let latest = self.state().registry_read;
        if let Some(read) = latest.filter(|read| read.began_at >= called_at) {
            return read.succeeded;
        }
        let began_at = self.now();
        let read = match timeout(READ_TIMEOUT, self.read_registry_changes()).await {
            Ok(read) => read,
            Err(_) => Err(StoreError::ResponseLost("the read timed out".to_owned())),
        };
        match &read {
            Ok(update) => self.record_registry_news(began_at, *update),
            Err(e) => {
                journal::line("registry_read_failed").text("error", &e.to_string());
            }
        }
        let succeeded = read.is_ok();
        self.state().registry_read = Some(RegistryRead {
            began_at,
            succeeded,
        });
        let outcome = if succeeded { "succeeded" } else { "failed" };
        metrics::counter!("limpetstand_registry_reads_total", "outcome" => outcome).increment(1);
        succeeded
    }

    async fn read_registry_changes(&self) -> Result<Update, StoreError> {
        let history_lost = match self.known_revision(REGISTRY_MIRROR) {
            None => true,
            Some(after) => {
                self.update_mirror(REGISTRY_MIRROR, after, Duration::ZERO)
                    .await?
            }
        };
        if !history_lost {
            return Ok(Update::Followed);
        }
        self.load_mirror(REGISTRY_MIRROR).await?;
        Ok(Update::Replaced)
    }

    /// Whether the latest call of this instance for the registry failed.
    pub(in crate::gateway) fn is_registry_failing(&self) -> bool {
        self.state().followed[REGISTRY_MIRROR].failing
    }

    /// Whether the instance could not bring the registry up to date when it last tried.
    pub(in crate::gateway) fn lacks_registry(&self) -> bool {
        let latest = self.state().registry_read;
        latest.is_some_and(|read| !read.succeeded) || !self.has_recent_news()
    }

    /// The revision of the registry; `None` before it has been loaded.
    pub(in crate::gateway) fn registry_revision(&self) -> Option<StoreRevision> {
        self.known_revision(REGISTRY_MIRROR)
    }

    /// Returns what another instance's registry lacks.
    pub(in crate::gateway) fn registry_changes(
        &self,
        since: Option<StoreRevision>,
    ) -> Option<WireChanges> {
        let state = self.state();
        let changes = state.followed[REGISTRY_MIRROR].mirror.changes_since(since);
        changes.map(|changes| WireChanges::new(changes, true))
    }

    /// Takes over the registry of another instance, which has all that the store had at `as_of`.
    pub(in crate::gateway) fn merge_registry(&self, as_of: Duration, changes: Option<WireChanges>) {
        if let Some(changes) = changes.and_then(without_missing_values) {
            self.merge(&mut self.state(), REGISTRY_MIRROR, changes);
        }
        self.record_registry_news(as_of, Update::Replaced);
    }

    fn record_registry_news(&self, as_of: Duration, update: Update) {
        let mut state = self.state();
        if state.followed[REGISTRY_MIRROR].mirror.is_loaded() {
            self.record_news(&mut state, REGISTRY_MIRROR, as_of, update);
        }
    }

    /// Returns the services and software versions of the entries that were read since the last call.
    pub(in crate::gateway) fn take_heard_versions(&self) -> BTreeSet<(SmolStr, SmolStr)> {
        std::mem::take(&mut self.state().heard_versions)
    }

    /// Since when each change of the registry has been seen; `None` before it has been loaded.
    pub(in crate::gateway) fn registry_followed_since(&self) -> Option<Duration> {
        self.state().registry_followed_since
    }

    /// Asks another instance up to when it has news; `None` if it does not say.
    pub(in crate::gateway) async fn ask_for_news_time(
        &self,
        peers: &dyn Peers,
        peer: SocketAddr,
    ) -> Option<Duration> {
        let asked_at = self.now();
        let request = self.encode_request(Duration::ZERO, false, None).ok()?;
        let answer = peers.ask(peer, VIEW_KIND, request, NEWS_AGE_TIMEOUT).await;
        let response: WireResponse = decode(&answer.ok()?).ok()?;
        asked_at.checked_sub(millis(response.news_age_ms?))
    }
}
