//! Fleets of followers over in-memory links and an in-memory store, in virtual time.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use limpetstand::clock::Clock;
use limpetstand::gateway::dialect::{Layout, MalformedEntry, PlatformEntry, TargetEntry};
use limpetstand::gateway::listeners::Listeners;
use limpetstand::gateway::platform_view::PlatformView;
use limpetstand::gateway::withdrawal_news::WithdrawalReport;
use limpetstand::gateway::{Follower, FollowerDeps, WithdrawalHandler};
use limpetstand::id::{InstanceId, RegionId};
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::store::{
    Entry, LeaseId, Precondition, Store, StoreError, StoreRevision, SwapResult, WatchEvent,
};
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use super::local_peers::Links;
use super::ms;

/// A store that keeps the whole history of its changes and counts calls.
#[derive(Default)]
pub(crate) struct HistoryStore {
    pub(crate) data: Mutex<HistoryData>,
    pub(crate) changed: tokio::sync::Notify,
    pub(crate) calls: AtomicU64,
}

#[derive(Clone, Default)]
pub(crate) struct HistoryData {
    pub(crate) revision: StoreRevision,
    pub(crate) entries: BTreeMap<String, Entry>,
    pub(crate) history: Vec<(StoreRevision, WatchEvent)>,
}

impl HistoryStore {
    pub(crate) fn put(&self, key: &str, value: &str) {
        let mut data = self.data.lock().expect("present");
        data.revision.number += 1;
        let revision = data.revision;
        let written = Entry {
            key: key.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            mod_revision: revision,
        };
        data.entries.insert(key.to_owned(), written.clone());
        data.history.push((revision, WatchEvent::Put(written)));
        drop(data);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the data.
    pub(crate) fn copy(&self) -> HistoryData {
        self.data.lock().expect("present").clone()
    }

    /// Lets the store come back from a copy.
    pub(crate) fn restore(&self, copy: HistoryData) {
        let mut data = self.data.lock().expect("present");
        let era = data.revision.era + 1;
        *data = copy;
        data.history.clear();
        data.revision.era = era;
        for entry in data.entries.values_mut() {
            entry.mod_revision.era = era;
        }
        drop(data);
        self.changed.notify_waiters();
    }

    pub(crate) fn events(
        &self,
        prefix: &str,
        after: StoreRevision,
    ) -> (Vec<WatchEvent>, StoreRevision) {
        let data = self.data.lock().expect("present");
        if after.era != data.revision.era {
            return (vec![WatchEvent::Gap], after);
        }
        let mut events = Vec::new();
        for (at, event) in &data.history {
            let key = match event {
                WatchEvent::Put(entry) => &entry.key,
                WatchEvent::Delete(key, _) => key,
                WatchEvent::Gap => continue,
            };
            if *at > after && key.starts_with(prefix) {
                events.push(event.clone());
            }
        }
        (events, data.revision)
    }
}

/// One instance's connection to the store, which a test can cut.
pub(crate) struct Connection {
    pub(crate) store: Arc<HistoryStore>,
    pub(crate) cut: AtomicBool,
}

impl Connection {
    /// How long a call on a cut connection takes to fail.
    const CUT_TIMEOUT: Duration = Duration::from_secs(2);

    pub(crate) async fn call(&self) -> Result<(), StoreError> {
        self.store.calls.fetch_add(1, Ordering::Relaxed);
        if self.cut.load(Ordering::Relaxed) {
            sleep(Self::CUT_TIMEOUT).await;
            return Err(StoreError::Unreachable("cut".to_owned()));
        }
        sleep(ms(4)).await;
        Ok(())
    }
}

#[async_trait]
impl Store for Connection {
    async fn get(&self, _: &str) -> Result<Option<Entry>, StoreError> {
        Err(StoreError::Refused("followers list and watch".to_owned()))
    }

    async fn list(&self, _: &str) -> Result<Vec<Entry>, StoreError> {
        Err(StoreError::Refused(
            "followers list with a revision".to_owned(),
        ))
    }

    async fn swap(
        &self,
        _: &str,
        _: Precondition,
        _: Bytes,
        _: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        Err(StoreError::Refused("followers do not write".to_owned()))
    }

    async fn delete(&self, _: &str, _: StoreRevision) -> Result<bool, StoreError> {
        Err(StoreError::Refused("followers do not write".to_owned()))
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::Refused("followers do not write".to_owned()))
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<Duration, StoreError> {
        Err(StoreError::Refused("followers do not write".to_owned()))
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::Refused("followers do not write".to_owned()))
    }

    async fn watch(&self, _: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        Err(StoreError::Refused("followers poll for changes".to_owned()))
    }

    async fn list_at(&self, prefix: &str) -> Result<(Vec<Entry>, StoreRevision), StoreError> {
        self.call().await?;
        let data = self.store.data.lock().expect("present");
        let listed = data.entries.values().filter(|e| e.key.starts_with(prefix));
        Ok((listed.cloned().collect(), data.revision))
    }

    async fn poll_changes(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<(Vec<WatchEvent>, StoreRevision), StoreError> {
        self.call().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.store.changed.notified();
            let (events, at) = self.store.events(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Ok((events, at));
            }
            let _ = timeout(left, changed).await;
            if self.cut.load(Ordering::Relaxed) {
                // Nothing more arrives on a cut connection.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Evacuations under `op/`, targets under `servers/`.
pub(crate) struct TestLayout;

impl Layout for TestLayout {
    fn settings_prefix(&self) -> &str {
        "op/"
    }

    fn registry_prefix(&self) -> &str {
        "servers/"
    }

    fn decode(&self, key: &str, value: &[u8]) -> Result<Option<PlatformEntry>, MalformedEntry> {
        if let Some(data_centre) = key.strip_prefix("op/evacuate/") {
            return Ok(Some(PlatformEntry::Evacuation(data_centre.into())));
        }
        let Some(id) = key.strip_prefix("servers/") else {
            return Ok(None);
        };
        let target = TargetEntry {
            service: "s".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "a0".into(),
            software_version: "v1".into(),
            slots: 8,
            leaving: value == b"leaving",
            cold_for: Duration::ZERO,
            started_unix_ms: 1,
        };
        Ok(Some(PlatformEntry::Target(id.into(), target)))
    }
}

pub(crate) struct TestInstance {
    pub(crate) id: InstanceId,
    pub(crate) data_centre: SmolStr,
    pub(crate) address: SocketAddr,
    pub(crate) connection: Arc<Connection>,
    pub(crate) view: watch::Receiver<Arc<PlatformView>>,
    pub(crate) follower: Arc<Follower>,
}

impl TestInstance {
    pub(crate) fn knows_leaving(&self, target: &str) -> bool {
        let view = self.view.borrow();
        let known = view.targets.get(&target.into());
        known.is_some_and(|t| t.entry.leaving)
    }

    /// Returns the withdrawal of a target as the instance knows it.
    pub(crate) fn withdrawal(&self, target: &str) -> Option<WithdrawalReport> {
        let (_, known) = self.follower.withdrawals_after(0);
        known.into_iter().find(|r| r.target.as_str() == target)
    }

    pub(crate) fn knows_evacuation(&self) -> bool {
        let view = self.view.borrow();
        view.evacuated_data_centres.contains("a1")
    }
}

/// A fleet of followers over in-memory links.
pub(crate) struct TestFleet {
    pub(crate) store: Arc<HistoryStore>,
    pub(crate) links: Arc<Links>,
    pub(crate) instances: Vec<TestInstance>,
    pub(crate) fleet_tx: watch::Sender<Arc<Fleet>>,
}

impl TestFleet {
    /// Starts `count` instances in `data_centres` data centres of one region each.
    pub(crate) async fn start(count: usize, data_centres: usize) -> Self {
        let store: Arc<HistoryStore> = Arc::default();
        for n in 0..20 {
            store.put(&format!("servers/t{n}"), "ready");
        }
        let links = Links::new();
        links.set_round_trip(ms(2));
        let mut members = Vec::new();
        for n in 0..count {
            let ip = IpAddr::from(Ipv4Addr::from(0x0a00_0001 + u32::try_from(n).expect("few")));
            let data_centre = n % data_centres;
            members.push(Member {
                id: format!("i{n}").into(),
                incarnation: 1,
                front: SocketAddr::new(ip, 1),
                peer: SocketAddr::new(ip, 2),
                region: format!("r{data_centre}").into(),
                data_centre: format!("a{data_centre}").into(),
                health: Health::Live,
            });
        }
        let mut regions: BTreeMap<SmolStr, RegionId> = BTreeMap::new();
        for member in &members {
            regions.insert(member.data_centre.clone(), member.region.clone());
        }
        let fleet = Fleet {
            members: members.clone(),
            targets: Vec::new(),
        };
        let (fleet_tx, fleet) = watch::channel(Arc::new(fleet));
        let mut instances = Vec::new();
        for member in members {
            let connection = Arc::new(Connection {
                store: Arc::clone(&store),
                cut: AtomicBool::new(false),
            });
            let follower = Follower::new(FollowerDeps {
                id: member.id.clone(),
                region: member.region.clone(),
                clock: Clock::start(),
                store: Arc::clone(&connection) as Arc<dyn Store>,
                layout: Arc::new(TestLayout),
                regions: regions.clone(),
                entry_lapse: ms(6_000),
            });
            follower.start(fleet.clone(), links.from(member.peer));
            links.serve(member.peer, Arc::clone(&follower) as _);
            let withdrawals = WithdrawalHandler(Arc::clone(&follower));
            links.serve(member.peer, Arc::new(withdrawals));
            instances.push(TestInstance {
                id: member.id,
                data_centre: member.data_centre,
                address: member.peer,
                connection,
                view: follower.view(),
                follower,
            });
        }
        sleep(ms(5_000)).await;
        Self {
            store,
            links,
            instances,
            fleet_tx,
        }
    }

    pub(crate) fn calls(&self) -> u64 {
        self.store.calls.load(Ordering::Relaxed)
    }

    /// Marks a target as leaving; returns the time until all instances of `instances` know it.
    pub(crate) async fn time_to_all(&self, target: &str, instances: &[&TestInstance]) -> Duration {
        self.store.put(&format!("servers/{target}"), "leaving");
        let began = Instant::now();
        while !instances.iter().all(|i| i.knows_leaving(target)) {
            assert!(
                began.elapsed() < ms(20_000),
                "{target} is not known everywhere"
            );
            sleep(ms(20)).await;
        }
        began.elapsed()
    }

    /// Returns the instances that listen, first in order, in a data centre.
    pub(crate) fn listeners(&self, data_centre: &str) -> Vec<&TestInstance> {
        let in_data_centre = |i: &&TestInstance| i.data_centre == data_centre;
        let local: Vec<&TestInstance> = self.instances.iter().filter(in_data_centre).collect();
        let live: Vec<InstanceId> = local.iter().map(|i| i.id.clone()).collect();
        let listens = |i: &&TestInstance| {
            let region = data_centre.replace('a', "r");
            let plan = Listeners::default().plan(ms(0), &region, &i.id, &live, true);
            plan.listens
        };
        local.into_iter().filter(listens).collect()
    }

    pub(crate) fn all(&self) -> Vec<&TestInstance> {
        self.instances.iter().collect()
    }

    pub(crate) fn all_but(&self, left_out: &[&TestInstance]) -> Vec<&TestInstance> {
        let is_left_out = |i: &&TestInstance| left_out.iter().any(|l| l.id == i.id);
        self.instances.iter().filter(|i| !is_left_out(i)).collect()
    }
}
