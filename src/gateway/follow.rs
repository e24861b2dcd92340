//! Maintains the instance's view of the platform from the platform's keys in the store.
//!
//! Each instance watches the keys itself. An instance whose store calls fail requests newer entries
//! from another instance, so one instance that can reach the store can update all others.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::dialect::{Layout, PlatformEntry};
use super::instances::{self, INSTANCES_PREFIX};
use super::lock;
use super::platform_view::PlatformView;
use super::registry::{KnownTarget, TargetRegistry};
use crate::clock::Clock;
use crate::id::{InstanceId, RegionId, TargetId};
use crate::journal;
use crate::member::{Fleet, Health};
use crate::peer::{PeerError, PeerHandler, Peers, decode, encode};
use crate::store::{Entry, Store, StoreError, WatchEvent};

/// How long a watch call may wait for changes; the call times out [`WATCH_MARGIN`] later.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Time in addition to [`WATCH_WAIT`] within which a watch call must return.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// Pause after a failed store call, multiplied by a random factor from 0.5 to 1.5.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How often an instance that cannot reach the store queries another instance.
const PEER_QUERY_PERIOD: Duration = Duration::from_millis(300);

/// Timeout of a query to another instance; covers a round trip between regions.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Time in addition to the warm-up for which targets count as cold after the end of an evacuation:
/// the delay until the targets' entries state that the targets are cold.
const ENTRY_LAG: Duration = Duration::from_millis(1_500);

/// The kind of peer messages that request newer entries.
const VIEW_KIND: &str = "world";

/// Index of the mirror of the operators' settings.
const SETTINGS_MIRROR: usize = 0;

/// Index of the mirror of the target registry.
const REGISTRY_MIRROR: usize = 1;

/// Number of mirrors; the last mirror holds the list of instances.
const MIRROR_COUNT: usize = 3;

/// A copy of the entries under one key prefix at a store revision.
#[derive(Debug, Default)]
struct Mirror {
    prefix: String,
    entries: BTreeMap<String, Entry>,
    revision: i64,
    loaded: bool,
    failing: bool,
}

#[derive(Debug)]
struct State {
    mirrors: Vec<Mirror>,
    registry: TargetRegistry,
    view: PlatformView,
}

/// Dependencies of a [`Follower`].
pub struct FollowerDeps {
    /// The identifier of this instance.
    pub id: InstanceId,
    /// The monotonic clock of this instance.
    pub clock: Clock,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The layout of the platform's keys.
    pub layout: Arc<dyn Layout>,
    /// The region of each data centre.
    pub regions: BTreeMap<SmolStr, RegionId>,
}

/// Keeps the instance's view of the platform up to date.
pub struct Follower {
    deps: FollowerDeps,
    state: Mutex<State>,
    tx: watch::Sender<Arc<PlatformView>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct UpdateRequest {
    revisions: Vec<i64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct UpdateResponse {
    mirrors: Vec<Option<MirrorSnapshot>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct MirrorSnapshot {
    revision: i64,
    entries: Vec<(String, Bytes, i64)>,
}

impl Follower {
    /// Creates a follower with an empty view.
    pub fn new(deps: FollowerDeps) -> Arc<Self> {
        let prefixes: [String; MIRROR_COUNT] = [
            deps.layout.settings_prefix().to_owned(),
            deps.layout.registry_prefix().to_owned(),
            INSTANCES_PREFIX.to_owned(),
        ];
        let mirrors = prefixes.map(|prefix| Mirror {
            prefix,
            ..Mirror::default()
        });
        let view = PlatformView {
            region_by_data_centre: deps.regions.clone(),
            ..PlatformView::default()
        };
        let (tx, _) = watch::channel(Arc::new(view.clone()));
        Arc::new(Self {
            deps,
            state: Mutex::new(State {
                mirrors: mirrors.into(),
                registry: TargetRegistry::default(),
                view,
            }),
            tx,
        })
    }

    /// Returns a receiver for the current view and its updates.
    pub fn view(&self) -> watch::Receiver<Arc<PlatformView>> {
        self.tx.subscribe()
    }

    /// Returns whether all prefixes are loaded and the latest store call for each succeeded.
    pub fn is_store_reachable(&self) -> bool {
        let state = self.state();
        state.mirrors.iter().all(|m| m.loaded && !m.failing)
    }

    /// Spawns the tasks that watch the store and query other instances until the runtime ends.
    pub fn start(self: &Arc<Self>, fleet: watch::Receiver<Arc<Fleet>>, peers: Arc<dyn Peers>) {
        let count = self.state().mirrors.len();
        for index in 0..count {
            tokio::spawn(Arc::clone(self).follow_mirror(index));
        }
        tokio::spawn(Arc::clone(self).query_peers(fleet, peers));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    async fn follow_mirror(self: Arc<Self>, index: usize) {
        loop {
            let (prefix, revision, loaded) = {
                let state = self.state();
                let mirror = &state.mirrors[index];
                (mirror.prefix.clone(), mirror.revision, mirror.loaded)
            };
            let updated = if loaded {
                self.update_mirror(index, &prefix, revision).await
            } else {
                self.load_mirror(index, &prefix).await
            };
            match updated {
                Ok(()) => self.record_success(index),
                Err(e) => {
                    self.record_failure(index, &prefix, &e);
                    sleep(RETRY_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
                }
            }
        }
    }

    async fn load_mirror(&self, index: usize, prefix: &str) -> Result<(), StoreError> {
        let (entries, revision) = self.deps.store.list_at(prefix).await?;
        let entries = entries.into_iter().map(|e| (e.key.clone(), e)).collect();
        self.install_snapshot(index, entries, revision);
        Ok(())
    }

    async fn update_mirror(
        &self,
        index: usize,
        prefix: &str,
        after: i64,
    ) -> Result<(), StoreError> {
        let changes = self.deps.store.poll_changes(prefix, after, WATCH_WAIT);
        let (events, at) = timeout(WATCH_WAIT + WATCH_MARGIN, changes)
            .await
            .map_err(|_| StoreError::ResponseLost("the watch call timed out".to_owned()))??;
        let mut state = self.state();
        let mirror = &mut state.mirrors[index];
        let mut changed = false;
        for event in events {
            match event {
                WatchEvent::Put(entry) => {
                    let current = mirror.entries.get(&entry.key).map(|e| e.mod_revision);
                    if current.is_some_and(|current| current >= entry.mod_revision) {
                        continue;
                    }
                    mirror.entries.insert(entry.key.clone(), entry);
                    changed = true;
                }
                WatchEvent::Delete(key, revision) => {
                    let current = mirror.entries.get(&key).map(|e| e.mod_revision);
                    if current.is_some_and(|current| current < revision) {
                        mirror.entries.remove(&key);
                        changed = true;
                    }
                }
                WatchEvent::Gap => {
                    mirror.loaded = false;
                    journal::line("history_lost")
                        .text("prefix", prefix)
                        .value("after", after);
                    return Ok(());
                }
            }
        }
        mirror.revision = mirror.revision.max(at);
        if changed {
            self.apply(&mut state, index);
        } else if state.registry.remove_expired(self.deps.clock.now()) {
            self.apply(&mut state, REGISTRY_MIRROR);
        }
        Ok(())
    }

    fn install_snapshot(&self, index: usize, entries: BTreeMap<String, Entry>, revision: i64) {
        let mut state = self.state();
        let mirror = &mut state.mirrors[index];
        if revision < mirror.revision {
            return;
        }
        mirror.entries = entries;
        mirror.revision = revision;
        mirror.loaded = true;
        self.apply(&mut state, index);
    }

    fn record_success(&self, index: usize) {
        let mut state = self.state();
        let mirror = &mut state.mirrors[index];
        if std::mem::take(&mut mirror.failing) {
            journal::line("store_back").text("prefix", &mirror.prefix);
        }
    }

    fn record_failure(&self, index: usize, prefix: &str, e: &StoreError) {
        let mut state = self.state();
        state.registry.record_store_failure(self.deps.clock.now());
        let mirror = &mut state.mirrors[index];
        if !std::mem::replace(&mut mirror.failing, true) {
            journal::line("store_lost")
                .text("prefix", prefix)
                .value("revision", mirror.revision)
                .text("error", &e.to_string());
        }
    }

    /// Decodes the entries of one mirror and publishes the resulting view.
    fn apply(&self, state: &mut State, index: usize) {
        let now = self.deps.clock.now();
        match index {
            SETTINGS_MIRROR => self.apply_settings(state, now),
            REGISTRY_MIRROR => {
                self.apply_registry(state, now);
                state.view.registry_loaded = true;
            }
            _ => state.view.instances = instances::decode_instances(&state.mirrors[index].entries),
        }
        journal_targets(&state.view.targets, state.registry.targets());
        state.view.targets = state.registry.targets().clone();
        self.tx.send_replace(Arc::new(state.view.clone()));
    }

    fn apply_settings(&self, state: &mut State, now: Duration) {
        let mut evacuated = std::collections::BTreeSet::new();
        for (key, entry) in &state.mirrors[SETTINGS_MIRROR].entries {
            match self.deps.layout.decode(key, &entry.value) {
                Ok(Some(PlatformEntry::Routes(table))) => {
                    let current = state.view.route_table.as_ref().map(|t| t.version);
                    if current.is_some_and(|current| current >= table.version) {
                        continue;
                    }
                    journal::line("configuration_in_force")
                        .value("version", table.version)
                        .value("revision", entry.mod_revision);
                    state.view.route_table = Some(Arc::new(*table));
                }
                Ok(Some(PlatformEntry::Evacuation(data_centre))) => {
                    evacuated.insert(data_centre);
                }
                Ok(_) => {}
                Err(e) => {
                    journal::line("entry_ignored").text("error", &e.to_string());
                }
            }
        }
        for data_centre in evacuated.symmetric_difference(&state.view.evacuated_data_centres) {
            let begins = evacuated.contains(data_centre);
            journal::line("evacuation")
                .text("data_centre", data_centre)
                .value("begins", begins);
            if !begins {
                let warmup = self.longest_warmup(&state.view);
                state
                    .registry
                    .mark_cold(data_centre, now + warmup + ENTRY_LAG);
            }
        }
        state.view.evacuated_data_centres = evacuated;
    }

    fn apply_registry(&self, state: &mut State, now: Duration) {
        let mut entries = BTreeMap::new();
        for (key, entry) in &state.mirrors[REGISTRY_MIRROR].entries {
            match self.deps.layout.decode(key, &entry.value) {
                Ok(Some(PlatformEntry::Target(id, registered))) => {
                    if state.view.region_of(&registered.data_centre).is_none() {
                        continue;
                    }
                    entries.insert(id, registered);
                }
                Ok(_) => {}
                Err(e) => {
                    journal::line("entry_ignored").text("error", &e.to_string());
                }
            }
        }
        let table = state.view.route_table.clone();
        state.registry.update(now, entries, |registered| {
            let table = table.as_ref();
            let service = table.and_then(|t| t.services.get(&registered.service));
            service.map_or(Duration::ZERO, |s| s.warmup)
        });
    }

    fn longest_warmup(&self, view: &PlatformView) -> Duration {
        let table = view.route_table.as_ref();
        let services = table.into_iter().flat_map(|t| t.services.values());
        services.map(|s| s.warmup).max().unwrap_or_default()
    }

    /// Queries random instances that are not dead for newer entries while the store is unreachable.
    async fn query_peers(
        self: Arc<Self>,
        fleet: watch::Receiver<Arc<Fleet>>,
        peers: Arc<dyn Peers>,
    ) {
        loop {
            sleep(PEER_QUERY_PERIOD.mul_f64(rand::random_range(0.8..1.2))).await;
            if self.is_store_reachable() {
                continue;
            }
            let mut candidates = Vec::new();
            for member in &fleet.borrow().members {
                if member.id != self.deps.id && member.health != Health::Dead {
                    candidates.push(member.peer);
                }
            }
            let Some(peer) = candidates.choose(&mut rand::rng()).copied() else {
                continue;
            };
            let revisions = self.state().mirrors.iter().map(|m| m.revision).collect();
            let Ok(body) = encode(&UpdateRequest { revisions }) else {
                continue;
            };
            // After a failure, the next round draws again; the membership excludes dead instances.
            let Ok(answer) = peers.ask(peer, VIEW_KIND, body, PEER_QUERY_TIMEOUT).await else {
                continue;
            };
            match decode::<UpdateResponse>(&answer) {
                Ok(response) => self.apply_response(response),
                Err(e) => log::warn!("ignored a malformed response from peer {peer}: {e}"),
            }
        }
    }

    fn apply_response(&self, response: UpdateResponse) {
        for (index, mirror) in response.mirrors.into_iter().enumerate().take(MIRROR_COUNT) {
            let Some(mirror) = mirror else {
                continue;
            };
            let newer = mirror.revision > self.state().mirrors[index].revision;
            if !newer {
                continue;
            }
            let mut entries = BTreeMap::new();
            for (key, value, mod_revision) in mirror.entries {
                let entry = Entry {
                    key: key.clone(),
                    value,
                    mod_revision,
                };
                entries.insert(key, entry);
            }
            self.install_snapshot(index, entries, mirror.revision);
        }
    }
}

/// Journals the targets that are new, changed their leaving state, were restarted or are gone.
fn journal_targets(
    before: &BTreeMap<TargetId, KnownTarget>,
    after: &BTreeMap<TargetId, KnownTarget>,
) {
    for (id, known) in after {
        let same = before.get(id).is_some_and(|b| {
            b.entry.leaving == known.entry.leaving
                && b.entry.started_unix_ms == known.entry.started_unix_ms
        });
        if same {
            continue;
        }
        journal::line("target")
            .text("target", id.as_str())
            .text("service", &known.entry.service)
            .text("data_centre", &known.entry.data_centre)
            .value("leaving", known.entry.leaving)
            .value("born", known.entry.started_unix_ms);
    }
    for id in before.keys() {
        if !after.contains_key(id) {
            journal::line("target_gone").text("target", id.as_str());
        }
    }
}

#[async_trait]
impl PeerHandler for Follower {
    fn kind(&self) -> &'static str {
        VIEW_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let request: UpdateRequest = decode(&body)?;
        let mut mirrors = Vec::new();
        {
            let state = self.state();
            for (index, mirror) in state.mirrors.iter().enumerate() {
                let peer_revision = request.revisions.get(index).copied().unwrap_or(0);
                if !mirror.loaded || mirror.revision <= peer_revision {
                    mirrors.push(None);
                    continue;
                }
                let entries = mirror.entries.values();
                mirrors.push(Some(MirrorSnapshot {
                    revision: mirror.revision,
                    entries: entries
                        .map(|e| (e.key.clone(), e.value.clone(), e.mod_revision))
                        .collect(),
                }));
            }
        }
        encode(&UpdateResponse { mirrors })
    }
}
