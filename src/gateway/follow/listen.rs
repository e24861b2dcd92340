//! Watches the store for one prefix while this instance is a listener.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::poll::MAX_SENT_VALUE_BYTES;
use super::{Follower, REGISTRY_MIRROR, State, Update, WATCH_MARGIN, WATCH_WAIT};
use crate::journal;
use crate::store::{Entry, StoreError, StoreRevision, WatchEvent};

/// Shortest time between the starts of two watch calls. Changes that come in quick succession
/// arrive together.
const MIN_WATCH_PERIOD: Duration = Duration::from_millis(300);

/// Pause after a failed store call, multiplied by a random factor from 0.5 to 1.5; doubled with
/// each further failure, except in a starting instance, whose first requests wait for the store.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause after a failed store call.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

impl Follower {
    /// Watches a prefix whenever this instance is a listener.
    pub(super) async fn listen(self: Arc<Self>, index: usize) {
        let mut plan = self.plan_tx.subscribe();
        let mut must_load = true;
        let mut failures = 0;
        loop {
            if !plan.borrow_and_update().listens {
                must_load = false;
                failures = 0;
                // The outcome of the last call says nothing about later ones.
                self.state().followed[index].failing = false;
                if plan.wait_for(|plan| plan.listens).await.is_err() {
                    return;
                }
            }
            let began = Instant::now();
            let loaded = self.known_revision(index);
            let followed_from = loaded.filter(|_| !must_load);
            let result = match followed_from {
                None => self.load_mirror(index).await.map(|()| false),
                Some(after) => self.update_mirror(index, after, WATCH_WAIT).await,
            };
            match result {
                Ok(history_lost) => {
                    must_load = history_lost;
                    failures = 0;
                    if history_lost {
                        sleep_until(began + MIN_WATCH_PERIOD).await;
                        continue;
                    }
                    let update = match followed_from {
                        None => Update::Replaced,
                        Some(_) => Update::Followed,
                    };
                    self.record_success(index, update);
                    sleep_until(began + MIN_WATCH_PERIOD).await;
                }
                Err(e) => {
                    self.record_failure(index, &e);
                    let pause = (RETRY_PAUSE * 2_u32.pow(failures)).min(MAX_RETRY_PAUSE);
                    if loaded.is_some() {
                        failures = (failures + 1).min(4);
                    }
                    sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
                }
            }
        }
    }

    /// The revision up to which a mirror is complete; `None` before it has been loaded.
    pub(super) fn known_revision(&self, index: usize) -> Option<StoreRevision> {
        let state = self.state();
        let mirror = &state.followed[index].mirror;
        mirror.is_loaded().then_some(mirror.revision())
    }

    fn prefix(&self, index: usize) -> String {
        self.state().followed[index].mirror.prefix().to_owned()
    }

    pub(super) async fn load_mirror(&self, index: usize) -> Result<(), StoreError> {
        let prefix = self.prefix(index);
        let (mut entries, revision) = self.deps.store.list_at(&prefix).await?;
        let mut state = self.state();
        if index == REGISTRY_MIRROR {
            for entry in &mut entries {
                self.drop_odd_value(&state, entry);
            }
        }
        let changed = state.followed[index].mirror.load(entries, revision);
        self.apply(&mut state, index, &changed);
        Ok(())
    }

    /// Waits up to `wait` for changes of a prefix and applies them; returns whether the store has
    /// discarded the changes, so that the prefix must be loaded again.
    pub(super) async fn update_mirror(
        &self,
        index: usize,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<bool, StoreError> {
        let prefix = self.prefix(index);
        let changes = self.deps.store.poll_changes(&prefix, after, wait);
        let (mut events, at) = timeout(wait + WATCH_MARGIN, changes)
            .await
            .map_err(|_| StoreError::ResponseLost("the watch call timed out".to_owned()))??;
        let mut state = self.state();
        if index == REGISTRY_MIRROR {
            for event in &mut events {
                if let WatchEvent::Put(entry) = event {
                    self.drop_odd_value(&state, entry);
                }
            }
            self.record_replaced_versions(&mut state, &events);
        }
        let Ok(changed) = state.followed[index].mirror.apply(events, at) else {
            journal::line("history_lost")
                .text("prefix", &prefix)
                .value("after", after.number)
                .value("era", after.era);
            return Ok(true);
        };
        if !changed.is_empty() {
            self.apply(&mut state, index, &changed);
        }
        Ok(false)
    }

    /// Empties a large value that names no target. Other writers may leave many of them, which would
    /// take up memory and delay the others on their way to other instances.
    fn drop_odd_value(&self, state: &State, entry: &mut Entry) {
        if entry.value.len() <= MAX_SENT_VALUE_BYTES
            || self
                .decode_target(&entry.key, &entry.value, &state.view)
                .is_some()
        {
            return;
        }
        entry.value = Bytes::new();
    }

    /// Records the software versions of entries that a later change has replaced. The others are
    /// recorded when the changes are applied.
    fn record_replaced_versions(&self, state: &mut State, events: &[WatchEvent]) {
        let mut changed_later = HashSet::new();
        for event in events.iter().rev() {
            let entry = match event {
                WatchEvent::Put(entry) => entry,
                WatchEvent::Delete(key, _) => {
                    changed_later.insert(key);
                    continue;
                }
                WatchEvent::Gap => continue,
            };
            if changed_later.insert(&entry.key) {
                continue;
            }
            let decoded = self.decode_target(&entry.key, &entry.value, &state.view);
            if let Some((_, target)) = decoded {
                state.record_version(&target);
            }
        }
    }

    fn record_success(&self, index: usize, update: Update) {
        let now = self.now();
        let mut state = self.state();
        let followed = &mut state.followed[index];
        if std::mem::take(&mut followed.failing) {
            journal::line("store_back").text("prefix", followed.mirror.prefix());
        }
        self.record_news(&mut state, index, now, update);
    }

    fn record_failure(&self, index: usize, e: &StoreError) {
        let now = self.now();
        let mut state = self.state();
        state.record_store_failure(now);
        let followed = &mut state.followed[index];
        if !std::mem::replace(&mut followed.failing, true) {
            journal::line("store_lost")
                .text("prefix", followed.mirror.prefix())
                .value("revision", followed.mirror.revision().number)
                .text("error", &e.to_string());
            // Instances that poll this one must not wait for news that it does not get.
            self.changes_tx.send_modify(|count| *count += 1);
        }
        self.check_news(&mut state);
    }
}
