//! A fleet of limiters with an in-memory store and network, in virtual time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use limpetstand::call::{Answer, Call};
use limpetstand::clock::Clock;
use limpetstand::config::{Organisation, Revision, Snapshot};
use limpetstand::id::{InstanceId, OrganisationId};
use limpetstand::limit::tolerance::Tolerance;
use limpetstand::limit::{self, Hold, Limiter, LimiterDeps};
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::peer::{PeerError, PeerHandler, Peers};
use limpetstand::refusal::{Code, Refusal};
use limpetstand::store::{
    Entry, LeaseId, Precondition, Store, StoreError, StoreRevision, SwapResult, WatchEvent,
};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// A poisoned lock would mean that the test has panicked already.
const UNPOISONED: &str = "no panic while locked";

/// One-way delay between two regions.
const ONE_WAY_BETWEEN_REGIONS: Duration = Duration::from_millis(80);

/// One-way delay within a region.
const ONE_WAY_WITHIN_REGION: Duration = Duration::from_millis(1);

/// In-memory store with one entry that counts its calls.
#[derive(Default)]
pub(crate) struct MemoryStore {
    entry: Mutex<Option<Entry>>,
    pub(crate) calls: AtomicU64,
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, _: &str) -> Result<Option<Entry>, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Ok(self.entry.lock().expect(UNPOISONED).clone())
    }

    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Bytes,
        _: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut entry = self.entry.lock().expect(UNPOISONED);
        let current = entry.as_ref().map(|e| e.mod_revision);
        let expected = match expect {
            Precondition::Absent => None,
            Precondition::Revision(revision) => Some(revision),
        };
        if current != expected {
            return Ok(SwapResult::Conflict(entry.clone()));
        }
        let number = current.map_or(0, |r| r.number) + 1;
        let mod_revision = StoreRevision::from(number);
        *entry = Some(Entry {
            key: key.to_owned(),
            value,
            mod_revision,
        });
        Ok(SwapResult::Done(mod_revision))
    }

    async fn list(&self, _: &str) -> Result<Vec<Entry>, StoreError> {
        Err(StoreError::Refused("list".to_owned()))
    }

    async fn delete(&self, _: &str, _: StoreRevision) -> Result<bool, StoreError> {
        Err(StoreError::Refused("delete".to_owned()))
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::Refused("grant".to_owned()))
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<Duration, StoreError> {
        Err(StoreError::Refused("keep_alive".to_owned()))
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::Refused("revoke".to_owned()))
    }

    async fn watch(&self, _: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        Err(StoreError::Refused("watch".to_owned()))
    }
}

type Handlers = Mutex<HashMap<SocketAddr, Arc<dyn PeerHandler>>>;

/// In-memory network: handlers by address, and partitioned regions.
#[derive(Default)]
pub(crate) struct Network {
    handlers: Handlers,
    partitioned: Mutex<Vec<u16>>,
    pub(crate) messages: AtomicU64,
    pub(crate) bytes: AtomicU64,
}

impl Network {
    pub(crate) fn partition(&self, region: u16) {
        self.partitioned.lock().expect(UNPOISONED).push(region);
    }
}

/// Network connection of one instance.
struct InstanceNetwork {
    from: SocketAddr,
    network: Arc<Network>,
}

/// Ports 1, 2, … are in region 0; 101, 102, … in region 1.
fn region(address: SocketAddr) -> u16 {
    address.port() / 100
}

#[async_trait]
impl Peers for InstanceNetwork {
    async fn ask(
        &self,
        to: SocketAddr,
        _: &'static str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Bytes, PeerError> {
        let crosses_regions = region(self.from) != region(to);
        let partitioned = self.network.partitioned.lock().expect(UNPOISONED).clone();
        if crosses_regions
            && (partitioned.contains(&region(self.from)) || partitioned.contains(&region(to)))
        {
            sleep(wait).await;
            return Err(PeerError::ResponseLost("partitioned".to_owned()));
        }
        let delay = if crosses_regions {
            ONE_WAY_BETWEEN_REGIONS
        } else {
            ONE_WAY_WITHIN_REGION
        };
        self.network.messages.fetch_add(1, Ordering::Relaxed);
        self.network
            .bytes
            .fetch_add(body.len() as u64, Ordering::Relaxed);
        sleep(delay).await;
        let handler = self
            .network
            .handlers
            .lock()
            .expect(UNPOISONED)
            .get(&to)
            .cloned();
        let Some(handler) = handler else {
            return Err(PeerError::NotReached("no instance at this address".into()));
        };
        let answer = handler.answer(body).await;
        sleep(delay).await;
        answer
    }

    async fn forward(&self, _: SocketAddr, _: &Call) -> Result<Answer, Refusal> {
        Err(Refusal::not_run(
            Code::NoTarget,
            "forwarding is not supported",
        ))
    }
}

/// A fleet of limiters.
pub(crate) struct LimiterFleet {
    pub(crate) store: Arc<MemoryStore>,
    pub(crate) network: Arc<Network>,
    pub(crate) limiters: Vec<Arc<dyn Limiter>>,
    addresses: Vec<SocketAddr>,
    fleet: watch::Sender<Arc<Fleet>>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    policy: &'static str,
    tolerance: Tolerance,
}

impl LimiterFleet {
    /// Starts `per_region` instances in each of `regions` regions.
    pub(crate) fn start(policy: &'static str, regions: u16, per_region: u16) -> Self {
        Self::start_with_tolerance(policy, regions, per_region, Tolerance::NONE)
    }

    /// Starts a fleet in which organisations may use more than their rate and burst.
    pub(crate) fn start_with_tolerance(
        policy: &'static str,
        regions: u16,
        per_region: u16,
        tolerance: Tolerance,
    ) -> Self {
        let mut fleet = Self {
            store: Arc::default(),
            network: Arc::default(),
            limiters: Vec::new(),
            addresses: Vec::new(),
            fleet: watch::channel(Arc::default()).0,
            snapshot: watch::channel(Arc::default()).0,
            policy,
            tolerance,
        };
        for region in 0..regions {
            for i in 1..=per_region {
                let address = SocketAddr::from(([127, 0, 0, 1], region * 100 + i));
                fleet.addresses.push(address);
            }
        }
        fleet.publish_members();
        for address in fleet.addresses.clone() {
            fleet.start_instance(address);
        }
        fleet
    }

    fn start_instance(&mut self, address: SocketAddr) {
        let deps = LimiterDeps {
            id: instance_id(address),
            region: format!("r{}", region(address)).into(),
            clock: Clock::start(),
            snapshot: self.snapshot.subscribe(),
            fleet: self.fleet.subscribe(),
            peers: Arc::new(InstanceNetwork {
                from: address,
                network: Arc::clone(&self.network),
            }),
            store: Arc::clone(&self.store) as _,
            tolerance: Arc::new({
                let tolerance = self.tolerance;
                move || tolerance
            }),
        };
        let started = limit::start(self.policy, deps).expect("a limiter of that name");
        if let Some(handler) = started.handler {
            self.network
                .handlers
                .lock()
                .expect(UNPOISONED)
                .insert(address, handler);
        }
        self.limiters.push(started.limiter);
    }

    fn publish_members(&self) {
        let mut members = Vec::new();
        for &address in &self.addresses {
            members.push(Member {
                id: instance_id(address),
                incarnation: 1,
                front: address,
                peer: address,
                region: format!("r{}", region(address)).into(),
                data_centre: "d".into(),
                health: Health::Live,
            });
        }
        let fleet = Fleet {
            members,
            targets: Vec::new(),
        };
        self.fleet.send_replace(Arc::new(fleet));
    }

    /// Sets one organisation's rate and burst in a new revision.
    pub(crate) fn set_organisation(&self, organisation: &str, rate: u64, burst: u64) {
        let mut snapshot = Snapshot::clone(&self.snapshot.borrow());
        let Revision(revision) = snapshot.revision;
        snapshot.revision = Revision(revision + 1);
        let settings = Organisation {
            rate,
            burst,
            weight: 1.0,
            regions: None,
            max_config_age_s: None,
        };
        snapshot
            .merged
            .organisations
            .insert(organisation.into(), settings);
        self.snapshot.send_replace(Arc::new(snapshot));
    }

    /// Deletes an organisation in a new revision.
    pub(crate) fn delete_organisation(&self, organisation: &str) {
        let mut snapshot = Snapshot::clone(&self.snapshot.borrow());
        let Revision(revision) = snapshot.revision;
        snapshot.revision = Revision(revision + 1);
        let organisation = OrganisationId::from(organisation);
        snapshot.merged.organisations.remove(&organisation);
        self.snapshot.send_replace(Arc::new(snapshot));
    }

    /// Sends a request to an instance; the target serves it at once if it is admitted.
    pub(crate) fn request(
        &self,
        i: usize,
        organisation: &str,
        tokens: u64,
    ) -> impl Future<Output = bool> + Send + 'static {
        let organisation = OrganisationId::from(organisation);
        let limiter = Arc::clone(&self.limiters[i]);
        async move {
            let time_left = Duration::from_secs(60);
            let Ok(hold) = limiter.admit(&organisation, tokens, time_left).await else {
                return false;
            };
            hold.settle(tokens);
            true
        }
    }

    /// Shuts down an instance and removes it from the list.
    pub(crate) async fn leave(&mut self, i: usize) {
        self.limiters[i].leave().await;
        self.addresses.remove(i);
        self.publish_members();
    }

    /// Crashes an instance and removes it from the list.
    pub(crate) fn crash(&mut self, i: usize) {
        self.kill(i);
        self.addresses.remove(i);
        self.publish_members();
    }

    /// Kills an instance, which stays on the list.
    pub(crate) fn kill(&mut self, i: usize) {
        let mut handlers = self.network.handlers.lock().expect(UNPOISONED);
        handlers.remove(&self.addresses[i]);
        self.limiters[i] = Arc::new(CrashedLimiter);
    }

    /// Starts a killed instance again under its name.
    pub(crate) fn restart(&mut self, i: usize) {
        self.start_instance(self.addresses[i]);
        self.limiters.swap_remove(i);
    }

    /// Adds an instance to the first region.
    pub(crate) fn add_instance(&mut self, port: u16) {
        let address = SocketAddr::from(([127, 0, 0, 1], port + 1));
        self.addresses.push(address);
        self.publish_members();
        self.start_instance(address);
    }
}

/// Limiter of a crashed instance, which refuses every request.
struct CrashedLimiter;

#[async_trait]
impl Limiter for CrashedLimiter {
    async fn admit(&self, _: &OrganisationId, _: u64, _: Duration) -> Result<Hold, Refusal> {
        Err(Refusal::not_run(Code::Leaving, "instance has crashed"))
    }
}

fn instance_id(address: SocketAddr) -> InstanceId {
    InstanceId::from(format!("i{}", address.port()))
}
