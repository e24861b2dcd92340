//! Distributes configuration revisions to all instances.
//!
//! A few instances of each region, the watchers, watch the head in the store. The other instances
//! send long-polling requests to a watcher, which responds as soon as it has a newer revision. An
//! instance without a recent confirmation that its revision is the newest asks instances of all
//! regions, so a region cut off from the store gets revisions from regions that are not. An
//! instance applies only revisions greater than its own, whatever the source.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use self::handler::ConfigHandler;
use self::state::State;
use self::wire::{ConfigRequest, ConfigResponse, KIND};
use super::loaded::LoadedConfig;
use super::{Revision, Snapshot};
use crate::clock::Clock;
use crate::id::{InstanceId, RegionId};
use crate::member::Fleet;
use crate::peer::{PeerHandler, Peers, decode, encode};
use crate::store::Store;

mod fetch;
mod follower;
mod handler;
pub mod peer_selection;
mod restore;
mod state;
mod watcher;
mod wire;

pub use self::state::Freshness;
pub use self::watcher::POLL_INTERVAL;

/// The time allowed for a peer's response beyond the time for which the peer may hold it back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(800);

/// The dependencies of the configuration distribution.
pub struct DistributionDeps {
    /// The store that holds the configuration.
    pub store: Arc<dyn Store>,
    /// The client for messages to other instances.
    pub peers: Arc<dyn Peers>,
    /// The fleet as this instance sees it; the background tasks end when this channel closes.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// The id of this instance.
    pub me: InstanceId,
    /// The region of this instance.
    pub region: RegionId,
    /// The clock of this instance.
    pub clock: Clock,
    /// The seed for the random choice of peers and the jitter of pauses.
    pub seed: u64,
}

/// The configuration in force at this instance, kept up to date by background tasks.
#[derive(Clone)]
pub struct ConfigDistribution {
    state: Arc<State>,
    cx: Arc<Context>,
}

/// Starts the background tasks that keep the configuration up to date.
pub fn start(deps: DistributionDeps) -> ConfigDistribution {
    let state = Arc::new(State::new(deps.clock));
    let cx = Arc::new(Context {
        state: Arc::clone(&state),
        store: deps.store,
        peers: deps.peers,
        fleet: deps.fleet,
        me: deps.me,
        region: deps.region,
        rng: Mutex::new(SmallRng::seed_from_u64(deps.seed)),
    });
    tokio::spawn(watcher::run(Arc::clone(&cx)));
    tokio::spawn(follower::run(Arc::clone(&cx)));
    ConfigDistribution { state, cx }
}

impl ConfigDistribution {
    /// Returns a receiver of the snapshots that come into force.
    pub fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.state.snapshots()
    }

    /// Returns a receiver of the loaded configurations, with the heads and texts of the snapshots.
    pub fn loaded(&self) -> watch::Receiver<Arc<LoadedConfig>> {
        self.state.loaded()
    }

    /// Returns the freshness of the configuration in force.
    pub fn freshness(&self) -> Freshness {
        self.state.freshness().clone()
    }

    /// Returns the handler for configuration messages from other instances.
    pub fn handler(&self) -> Arc<dyn PeerHandler> {
        Arc::new(ConfigHandler::new(Arc::clone(&self.state)))
    }

    /// Asks another instance which revision it has in force; returns `None` if there is no valid
    /// response.
    pub async fn query_revision(&self, peer: SocketAddr) -> Option<InForce> {
        match self.cx.request(peer, &ConfigRequest::InForce).await? {
            ConfigResponse::InForce { revision, age_ms } => Some(InForce {
                revision,
                age: age_ms.map(Duration::from_millis),
            }),
            _ => None,
        }
    }
}

/// The revision of the configuration that an instance applies, and the age of its confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// The revision that the instance applies.
    pub revision: Revision,
    /// The time since the revision was last confirmed as the newest; `None` before the first
    /// confirmation.
    pub age: Option<Duration>,
}

/// The state and dependencies that the tasks share.
struct Context {
    state: Arc<State>,
    store: Arc<dyn Store>,
    peers: Arc<dyn Peers>,
    fleet: watch::Receiver<Arc<Fleet>>,
    me: InstanceId,
    region: RegionId,
    rng: Mutex<SmallRng>,
}

impl Context {
    fn rng(&self) -> MutexGuard<'_, SmallRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Picks up to `amount` random addresses.
    fn pick(&self, from: &[SocketAddr], amount: usize) -> Vec<SocketAddr> {
        let picked = from.choose_multiple(&mut *self.rng(), amount);
        picked.copied().collect()
    }

    /// Returns `true` with probability 1/2.
    fn random_bool(&self) -> bool {
        self.rng().random()
    }

    /// Shortens a pause by up to half, so that instances do not act at the same moment.
    fn jittered(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng().random_range(0.5..1.0))
    }

    fn is_watcher(&self) -> bool {
        peer_selection::is_watcher(&self.fleet.borrow(), &self.region, &self.me)
    }

    fn watchers(&self) -> Vec<SocketAddr> {
        peer_selection::watchers(&self.fleet.borrow(), &self.region, &self.me)
    }

    fn all_peers(&self) -> Vec<SocketAddr> {
        peer_selection::all_peers(&self.fleet.borrow(), &self.me)
    }

    /// Returns the addresses of the other instances of this region.
    fn region_peers(&self) -> Vec<SocketAddr> {
        peer_selection::region_peers(&self.fleet.borrow(), &self.region, &self.me)
    }

    /// Sends a request to another instance; returns `None` if there is no valid response.
    async fn request(&self, peer: SocketAddr, request: &ConfigRequest) -> Option<ConfigResponse> {
        let hold = match request {
            ConfigRequest::Head { wait_ms, .. } => Duration::from_millis(u64::from(*wait_ms)),
            _ => Duration::ZERO,
        };
        let body = encode(request).ok()?;
        let response = self
            .peers
            .ask(peer, KIND, body, hold + RESPONSE_MARGIN)
            .await
            .ok()?;
        decode(&response).ok()
    }
}
