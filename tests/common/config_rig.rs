//! An in-memory fleet in virtual time whose instances distribute and change a configuration.

#![allow(dead_code, reason = "each test uses a part of it")]
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetstand::clock::Clock;
use limpetstand::config::commit::Committer;
use limpetstand::config::distribution::{self, ConfigDistribution, DistributionDeps};
use limpetstand::id::InstanceId;
use limpetstand::member::{Fleet, Health, Member};
use tokio::sync::watch;

use super::local_peers::Links;
use super::memory_store::MemoryStore;

/// One instance of the fleet.
pub(crate) struct Instance {
    pub(crate) distribution: ConfigDistribution,
    pub(crate) committer: Committer,
    pub(crate) peer: SocketAddr,
    pub(crate) region: String,
    /// The instance's connection to the store, with faults of its own.
    pub(crate) store: Arc<MemoryStore>,
    fleet: watch::Sender<Arc<Fleet>>,
}

/// All instances, the links between them and the store.
pub(crate) struct Rig {
    pub(crate) store: Arc<MemoryStore>,
    pub(crate) links: Arc<Links>,
    pub(crate) instances: BTreeMap<String, Instance>,
    next_port: u16,
}

impl Rig {
    pub(crate) fn new() -> Self {
        Self {
            store: MemoryStore::new(),
            links: Links::new(),
            instances: BTreeMap::new(),
            next_port: 1,
        }
    }

    /// Starts an instance; an instance named `a1` is in region `a`.
    pub(crate) fn start(&mut self, name: &str) {
        let region = name.trim_end_matches(|c: char| c.is_ascii_digit());
        let peer = SocketAddr::from(([127, 0, 0, 1], self.next_port));
        self.next_port += 1;
        let (fleet, fleet_rx) = watch::channel(Arc::default());
        let store = self.store.connection();
        let distribution = distribution::start(DistributionDeps {
            store: store.clone(),
            peers: self.links.from(peer),
            fleet: fleet_rx,
            me: InstanceId::from(name),
            region: region.into(),
            clock: Clock::start(),
            seed: u64::from(self.next_port),
        });
        self.links.serve(peer, distribution.handler());
        let committer = Committer::new(
            store.clone(),
            distribution.loaded(),
            u64::from(self.next_port),
        );
        let instance = Instance {
            distribution,
            committer,
            peer,
            region: region.to_owned(),
            store,
            fleet,
        };
        self.instances.insert(name.to_owned(), instance);
        self.publish_fleet();
    }

    /// Stops an instance without a shutdown.
    pub(crate) fn kill(&mut self, name: &str) {
        if let Some(instance) = self.instances.remove(name) {
            self.links.stop(instance.peer);
        }
        self.publish_fleet();
    }

    /// Cuts or reconnects the links of a region to all other regions and to the store.
    pub(crate) fn isolate(&self, region: &str, is_cut: bool) {
        for a in self.instances.values() {
            if a.region == region {
                a.store.faults(|f| f.down = is_cut);
            }
            for b in self.instances.values() {
                if (a.region == region) != (b.region == region) {
                    self.links.set_cut(a.peer, b.peer, is_cut);
                }
            }
        }
    }

    /// Returns the revision in force at each instance.
    pub(crate) fn revisions(&self) -> BTreeMap<&str, u64> {
        let mut revisions = BTreeMap::new();
        for (name, instance) in &self.instances {
            let revision = instance.distribution.snapshots().borrow().revision.0;
            revisions.insert(name.as_str(), revision);
        }
        revisions
    }

    /// Advances virtual time.
    pub(crate) async fn run(&self, time: Duration) {
        tokio::time::sleep(time).await;
    }

    fn publish_fleet(&self) {
        let mut members = Vec::new();
        for (name, instance) in &self.instances {
            members.push(Member {
                id: name.as_str().into(),
                incarnation: 1,
                front: instance.peer,
                peer: instance.peer,
                region: instance.region.as_str().into(),
                data_centre: "dc".into(),
                health: Health::Live,
            });
        }
        let fleet = Arc::new(Fleet {
            members,
            targets: Vec::new(),
        });
        for instance in self.instances.values() {
            instance.fleet.send_replace(Arc::clone(&fleet));
        }
    }
}
