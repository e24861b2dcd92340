//! Maintains the instance's view of the platform from the platform's keys in the store.
//!
//! Few instances of each region watch the keys ([`listen`]); the others get the changes from
//! them ([`poll`]). [`super::listeners`] decides which. An instance without recent news also asks
//! random instances of the fleet, so one instance that can reach the store can update all others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::timeout;

use super::dialect::{Layout, PlatformEntry, TargetEntry};
use super::instances::{self, INSTANCES_PREFIX};
use super::listeners::{Listeners, Plan};
use super::lock;
use super::mirror::Mirror;
use super::platform_view::PlatformView;
use super::registry::{ENTRY_RECOVERY_TIME, KnownTarget, TargetRegistry};
use super::restored::{RestoredKeys, Verdict};
use super::withdrawal_news::WithdrawalNews;
use crate::clock::Clock;
use crate::id::{InstanceId, RegionId, TargetId};
use crate::journal;
use crate::member::{Fleet, Health};
use crate::peer::Peers;
use crate::platform::ListedInstance;
use crate::store::Store;

mod confirm;
mod listen;
mod poll;
mod withdrawals;

pub(super) use self::poll::WireChanges;
pub use self::withdrawals::WithdrawalHandler;

/// How long a watch call may wait for changes; the call times out [`WATCH_MARGIN`] later.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Time in addition to [`WATCH_WAIT`] within which a watch call must return.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// Age above which an instance's news from the store is out of date: with a sound store, a watch
/// call returns within this time.
const MAX_NEWS_AGE: Duration = Duration::from_millis(3_300);

/// How often the plan of who listens is updated while the fleet does not change.
const PLAN_PERIOD: Duration = Duration::from_millis(300);

/// Time in addition to the warm-up for which targets count as cold after the end of an evacuation:
/// the delay until the targets' entries state that the targets are cold.
const ENTRY_LAG: Duration = Duration::from_millis(1_500);

/// Index of the mirror of the operators' settings.
const SETTINGS_MIRROR: usize = 0;

/// Index of the mirror of the target registry.
const REGISTRY_MIRROR: usize = 1;

/// Number of mirrors; the last mirror holds the list of instances.
const MIRROR_COUNT: usize = 3;

/// What the instance knows about one prefix in the store.
#[derive(Debug)]
struct Followed {
    mirror: Mirror,
    /// The store's era at the last change; `None` before the first load.
    era: Option<u64>,
    restored: RestoredKeys,
    /// Time at which the mirror was last known to be up to date.
    news_at: Option<Duration>,
    /// Whether the instance's own latest call to the store failed.
    failing: bool,
}

#[derive(Debug)]
struct State {
    followed: Vec<Followed>,
    registry: TargetRegistry,
    target_by_key: BTreeMap<String, TargetId>,
    evacuated_by_key: BTreeMap<String, SmolStr>,
    instance_by_key: BTreeMap<String, ListedInstance>,
    view: PlatformView,
    listeners: Listeners,
    withdrawals: WithdrawalNews,
    /// When a call to the store last failed, here or at the instances that this one polls.
    store_failed_at: Option<Duration>,
    has_recent_news: bool,
    /// The instances whose answer to the latest poll was missing, or told of old news.
    lost_sources: BTreeSet<InstanceId>,
    /// The latest read of the registry's changes on demand.
    registry_read: Option<confirm::RegistryRead>,
    /// Since when no change of the registry can have come and gone unseen.
    registry_followed_since: Option<Duration>,
    /// The services and software versions of the registry's entries that were read since they were
    /// last taken over, those too that were replaced at once.
    heard_versions: BTreeSet<(SmolStr, SmolStr)>,
}

/// How a mirror was brought up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Update {
    /// By all changes, one by one.
    Followed,
    /// To the latest state; what was written and deleted since the last update was not seen.
    Replaced,
}

/// Dependencies of a [`Follower`].
pub struct FollowerDeps {
    /// The identifier of this instance.
    pub id: InstanceId,
    /// The region of this instance.
    pub region: RegionId,
    /// The monotonic clock of this instance.
    pub clock: Clock,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The layout of the platform's keys.
    pub layout: Arc<dyn Layout>,
    /// The region of each data centre.
    pub regions: BTreeMap<SmolStr, RegionId>,
    /// How long the platform keeps the entry of a silent target.
    pub entry_lapse: Duration,
}

/// Keeps the instance's view of the platform up to date.
pub struct Follower {
    deps: FollowerDeps,
    state: Mutex<State>,
    tx: watch::Sender<Arc<PlatformView>>,
    /// Counts the changes of the mirrors, for the instances that wait for one.
    changes_tx: watch::Sender<u64>,
    /// Counts the withdrawals of targets that this instance learns of.
    withdrawals_tx: watch::Sender<u64>,
    plan_tx: watch::Sender<Plan>,
    /// Held while large values are read, so that each is read once.
    large_values_lock: tokio::sync::Mutex<()>,
    /// Held while the registry's changes are read on demand, so that calls share a read.
    registry_read_lock: tokio::sync::Mutex<()>,
}

impl Follower {
    /// Creates a follower with an empty view.
    pub fn new(deps: FollowerDeps) -> Arc<Self> {
        let of_platform = RestoredKeys::new(ENTRY_RECOVERY_TIME, deps.entry_lapse);
        let of_instances = RestoredKeys::new(instances::KEEP_TIME, instances::LEASE_TTL);
        let prefixes: [(&str, RestoredKeys); MIRROR_COUNT] = [
            (deps.layout.settings_prefix(), of_platform.clone()),
            (deps.layout.registry_prefix(), of_platform),
            (INSTANCES_PREFIX, of_instances),
        ];
        let followed = prefixes.map(|(prefix, restored)| Followed {
            mirror: Mirror::new(prefix),
            era: None,
            restored,
            news_at: None,
            failing: false,
        });
        let view = PlatformView {
            region_by_data_centre: deps.regions.clone(),
            ..PlatformView::default()
        };
        let (tx, _) = watch::channel(Arc::new(view.clone()));
        let (changes_tx, _) = watch::channel(0);
        let (withdrawals_tx, _) = watch::channel(0);
        let (plan_tx, _) = watch::channel(Plan::default());
        Arc::new(Self {
            deps,
            state: Mutex::new(State {
                followed: followed.into(),
                registry: TargetRegistry::default(),
                target_by_key: BTreeMap::new(),
                evacuated_by_key: BTreeMap::new(),
                instance_by_key: BTreeMap::new(),
                view,
                listeners: Listeners::default(),
                withdrawals: WithdrawalNews::new(rand::random()),
                store_failed_at: None,
                has_recent_news: false,
                lost_sources: BTreeSet::new(),
                registry_read: None,
                registry_followed_since: None,
                heard_versions: BTreeSet::new(),
            }),
            tx,
            changes_tx,
            withdrawals_tx,
            plan_tx,
            large_values_lock: tokio::sync::Mutex::default(),
            registry_read_lock: tokio::sync::Mutex::default(),
        })
    }

    /// Returns a receiver for the current view and its updates.
    pub fn view(&self) -> watch::Receiver<Arc<PlatformView>> {
        self.tx.subscribe()
    }

    /// Spawns the tasks that watch the store and poll other instances until the runtime ends.
    pub fn start(self: &Arc<Self>, fleet: watch::Receiver<Arc<Fleet>>, peers: Arc<dyn Peers>) {
        self.update_plan(&fleet.borrow());
        for index in 0..MIRROR_COUNT {
            tokio::spawn(Arc::clone(self).listen(index));
        }
        self.start_polling(&fleet, &peers);
        tokio::spawn(Arc::clone(self).pass_on_withdrawals());
        tokio::spawn(Arc::clone(self).tell_withdrawals(fleet.clone(), Arc::clone(&peers)));
        tokio::spawn(Arc::clone(self).compare_withdrawals(fleet.clone(), peers));
        tokio::spawn(Arc::clone(self).keep_plan(fleet));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn now(&self) -> Duration {
        self.deps.clock.now()
    }

    /// Updates the plan when the fleet changes, and at intervals.
    async fn keep_plan(self: Arc<Self>, mut fleet: watch::Receiver<Arc<Fleet>>) {
        loop {
            if let Ok(Err(_)) = timeout(PLAN_PERIOD, fleet.changed()).await {
                return;
            }
            let fleet = Arc::clone(&fleet.borrow());
            self.update_plan(&fleet);
        }
    }

    /// Decides whether this instance listens to the store and which instances it polls.
    fn update_plan(&self, fleet: &Fleet) {
        let mut live = Vec::new();
        for member in &fleet.members {
            if member.region == self.deps.region && member.health == Health::Live {
                live.push(member.id.clone());
            }
        }
        let plan = {
            let state = self.state();
            let hears_store = !state.followed.iter().any(|f| f.failing);
            let (id, region) = (&self.deps.id, self.deps.region.as_str());
            let now = self.now();
            state.listeners.plan(now, region, id, &live, hears_store)
        };
        self.plan_tx.send_if_modified(|current| {
            let changed = *current != plan;
            if current.listens != plan.listens {
                journal::line("listener").value("listens", plan.listens);
            }
            *current = plan;
            changed
        });
    }

    /// Publishes the view after the entries of the given keys have changed, and wakes the instances
    /// that wait for changes.
    fn apply(&self, state: &mut State, index: usize, changed: &[String]) {
        let believed = state.followed[index].judge(self.now(), changed);
        self.apply_believed(state, index, &believed);
        if !changed.is_empty() {
            self.changes_tx.send_modify(|count| *count += 1);
        }
    }

    /// Publishes the view after the state of the given keys has come into force.
    fn apply_believed(&self, state: &mut State, index: usize, keys: &[String]) {
        let now = self.now();
        match index {
            SETTINGS_MIRROR => self.apply_settings(state, keys, now),
            REGISTRY_MIRROR => self.apply_registry(state, keys, now),
            _ => apply_instances(state, keys),
        }
        self.publish(state);
    }

    fn publish(&self, state: &mut State) {
        journal_targets(&state.view.targets, state.registry.targets());
        state.view.targets = state.registry.targets().clone();
        state.withdrawals.expire(self.now(), &state.view.targets);
        self.tx.send_replace(Arc::new(state.view.clone()));
    }

    /// Records that a mirror is up to date as of `news_at`, removes targets whose entries did not
    /// return after a store outage, and journals whether the news is recent.
    fn record_news(&self, state: &mut State, index: usize, news_at: Duration, update: Update) {
        let now = self.now();
        let followed = &mut state.followed[index];
        let max_age = self.max_news_age();
        let has_gap = match followed.news_at {
            None => true,
            Some(before) => update == Update::Replaced && before + max_age < news_at,
        };
        if index == REGISTRY_MIRROR && has_gap {
            state.registry_followed_since = Some(now);
        }
        followed.news_at = followed.news_at.max(Some(news_at));
        let due = followed.restored.take_due(now);
        if !due.is_empty() {
            self.apply_believed(state, index, &due);
        }
        if state.registry.remove_expired(now) {
            self.publish(state);
        }
        state.withdrawals.expire(now, &state.view.targets);
        self.check_news(state);
    }

    /// Journals a change of whether the instance's news from the store is recent.
    fn check_news(&self, state: &mut State) {
        let age = state.news_age(self.now());
        let is_recent = age.is_some_and(|age| age <= self.max_news_age());
        if is_recent == state.has_recent_news {
            return;
        }
        state.has_recent_news = is_recent;
        let event = if is_recent { "news_back" } else { "news_lost" };
        journal::line(event).ms("age_ms", age.unwrap_or_default());
    }

    /// Returns the age above which this instance's news is out of date.
    fn max_news_age(&self) -> Duration {
        let listens = self.plan_tx.borrow().listens;
        let of_listener = if listens {
            Duration::ZERO
        } else {
            poll::MAX_ANSWER_TIME
        };
        MAX_NEWS_AGE + of_listener
    }

    fn apply_settings(&self, state: &mut State, changed: &[String], now: Duration) {
        for key in changed {
            state.evacuated_by_key.remove(key);
            let Some(entry) = state.followed[SETTINGS_MIRROR].mirror.entry(key) else {
                continue;
            };
            match self.deps.layout.decode(key, &entry.value) {
                Ok(Some(PlatformEntry::Routes(table))) => {
                    let current = state.view.route_table.as_ref().map(|t| t.version);
                    if current.is_some_and(|current| current >= table.version) {
                        continue;
                    }
                    journal::line("configuration_in_force")
                        .value("version", table.version)
                        .value("revision", entry.mod_revision.number);
                    state.view.route_table = Some(Arc::new(*table));
                }
                Ok(Some(PlatformEntry::Evacuation(data_centre))) => {
                    state.evacuated_by_key.insert(key.clone(), data_centre);
                }
                Ok(_) => {}
                Err(e) => {
                    journal::line("entry_ignored").text("error", &e.to_string());
                }
            }
        }
        let evacuated: BTreeSet<SmolStr> = state.evacuated_by_key.values().cloned().collect();
        for data_centre in evacuated.symmetric_difference(&state.view.evacuated_data_centres) {
            let begins = evacuated.contains(data_centre);
            journal::line("evacuation")
                .text("data_centre", data_centre)
                .value("begins", begins);
            if !begins {
                let warmup = longest_warmup(&state.view);
                state
                    .registry
                    .mark_cold(data_centre, now + warmup + ENTRY_LAG);
            }
        }
        state.view.evacuated_data_centres = evacuated;
    }

    fn apply_registry(&self, state: &mut State, changed: &[String], now: Duration) {
        for key in changed {
            let entry = state.followed[REGISTRY_MIRROR].mirror.entry(key);
            let decoded = entry.and_then(|e| self.decode_target(key, &e.value, &state.view));
            let Some((id, registered)) = decoded else {
                if let Some(id) = state.target_by_key.remove(key) {
                    state.registry.remove(now, &id);
                }
                continue;
            };
            let table = state.view.route_table.as_ref();
            let service = table.and_then(|t| t.services.get(&registered.service));
            let warmup = service.map_or(Duration::ZERO, |s| s.warmup);
            state.record_version(&registered);
            state.target_by_key.insert(key.clone(), id.clone());
            state.registry.insert(now, id, registered, warmup);
        }
        state.registry.finish_update(now);
        state.view.registry_loaded = true;
    }

    fn decode_target(
        &self,
        key: &str,
        value: &[u8],
        view: &PlatformView,
    ) -> Option<(TargetId, TargetEntry)> {
        match self.deps.layout.decode(key, value) {
            Ok(Some(PlatformEntry::Target(id, registered))) => {
                view.region_of(&registered.data_centre)?;
                Some((id, registered))
            }
            Ok(_) => None,
            Err(e) => {
                journal::line("entry_ignored").text("error", &e.to_string());
                None
            }
        }
    }
}

impl Followed {
    /// Returns those of the changed keys whose state in the mirror comes into force.
    fn judge(&mut self, now: Duration, changed: &[String]) -> Vec<String> {
        let era = self.mirror.revision().era;
        let before = self.era.replace(era);
        let in_copy = before.is_some_and(|before| before < era);
        if in_copy {
            self.restored.begin_era(now);
        }
        let mut believed = Vec::with_capacity(changed.len());
        for key in changed {
            let revision = self.mirror.entry(key).map(|e| e.mod_revision);
            if self.restored.judge(now, key, revision, in_copy) == Verdict::Apply {
                believed.push(key.clone());
            }
        }
        if in_copy {
            let (kept, ignored) = self.restored.counts();
            metrics::counter!("limpetstand_store_restores_total").increment(1);
            journal::line("store_restored")
                .text("prefix", self.mirror.prefix())
                .value("era_before", before.unwrap_or_default())
                .value("era", era)
                .value("entries_kept", kept)
                .value("entries_ignored", ignored);
        }
        believed
    }
}

impl State {
    /// Returns the age of the oldest news; `None` while a mirror has not been loaded.
    fn news_age(&self, now: Duration) -> Option<Duration> {
        let mut oldest = now;
        for followed in &self.followed {
            oldest = oldest.min(followed.news_at?);
        }
        Some(now.saturating_sub(oldest))
    }

    fn record_version(&mut self, entry: &TargetEntry) {
        let version = (entry.service.clone(), entry.software_version.clone());
        self.heard_versions.insert(version);
    }

    /// Records that a call to the store failed at `at`, here or at another instance.
    fn record_store_failure(&mut self, at: Duration) {
        self.store_failed_at = self.store_failed_at.max(Some(at));
        self.registry.record_store_failure(at);
    }
}

fn apply_instances(state: &mut State, changed: &[String]) {
    for key in changed {
        let entry = state.followed[MIRROR_COUNT - 1].mirror.entry(key);
        match entry.and_then(instances::decode_instance) {
            Some(instance) => state.instance_by_key.insert(key.clone(), instance),
            None => state.instance_by_key.remove(key),
        };
    }
    state.view.instances = state.instance_by_key.values().cloned().collect();
}

fn longest_warmup(view: &PlatformView) -> Duration {
    let table = view.route_table.as_ref();
    let services = table.into_iter().flat_map(|t| t.services.values());
    services.map(|s| s.warmup).max().unwrap_or_default()
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
            .text("software_version", &known.entry.software_version)
            .value("leaving", known.entry.leaving)
            .value("born", known.entry.started_unix_ms);
    }
    for id in before.keys() {
        if !after.contains_key(id) {
            journal::line("target_gone").text("target", id.as_str());
        }
    }
}

fn millis(n: u32) -> Duration {
    Duration::from_millis(n.into())
}

fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
