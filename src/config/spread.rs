//! How a revision reaches every instance.
//!
//! A few instances of each region hold a watch on the head in the store; the others ask one of
//! those, which answers as soon as it has something newer. An instance that has not heard lately
//! that its revision is the newest asks instances of all regions, so a region cut off from the
//! store follows whoever is not. Whatever the source, only greater revisions are put in force.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use self::answer::Answerer;
use self::state::State;
use self::wire::{Ask, KIND, Reply};
use super::loaded::LoadedConfig;
use super::{Revision, Snapshot};
use crate::clock::Clock;
use crate::id::{InstanceId, RegionId};
use crate::member::Fleet;
use crate::peer::{PeerHandler, Peers, decode, encode};
use crate::store::Store;

mod answer;
pub mod choice;
mod fetch;
mod follower;
mod restore;
mod state;
mod watcher;
mod wire;

pub use self::state::Freshness;
pub use self::watcher::POLL;

/// How much longer than it may be held back an answer of another instance is waited for.
const MARGIN: Duration = Duration::from_millis(800);

/// What the spread of the configuration works with.
pub struct Parts {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The way to other instances.
    pub peers: Arc<dyn Peers>,
    /// The fleet as it is seen here; closing it ends the spread.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// This instance.
    pub me: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its clock.
    pub clock: Clock,
    /// The seed of its choices among instances.
    pub seed: u64,
}

/// The configuration in force at this instance, kept up to date by tasks.
#[derive(Clone)]
pub struct Spread {
    state: Arc<State>,
    cx: Arc<Cx>,
}

/// Starts to follow the configuration.
pub fn start(parts: Parts) -> Spread {
    let state = Arc::new(State::new(parts.clock));
    let cx = Arc::new(Cx {
        state: Arc::clone(&state),
        store: parts.store,
        peers: parts.peers,
        fleet: parts.fleet,
        me: parts.me,
        region: parts.region,
        rng: Mutex::new(SmallRng::seed_from_u64(parts.seed)),
    });
    tokio::spawn(watcher::run(Arc::clone(&cx)));
    tokio::spawn(follower::run(Arc::clone(&cx)));
    Spread { state, cx }
}

impl Spread {
    /// Returns the snapshots that are put in force, as they come.
    pub fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.state.snapshots()
    }

    /// Returns what the snapshots are made of, as it comes.
    pub fn known(&self) -> watch::Receiver<Arc<LoadedConfig>> {
        self.state.known()
    }

    /// Returns how long ago the configuration in force was known to be the newest.
    pub fn freshness(&self) -> Freshness {
        self.state.freshness().clone()
    }

    /// Returns what answers other instances.
    pub fn handler(&self) -> Arc<dyn PeerHandler> {
        Arc::new(Answerer::of(Arc::clone(&self.state)))
    }

    /// Asks another instance which revision it has in force; `None` if it does not answer.
    pub async fn in_force_at(&self, peer: SocketAddr) -> Option<InForce> {
        match self.cx.ask(peer, &Ask::InForce).await? {
            Reply::InForce { revision, age_ms } => Some(InForce {
                revision,
                age: age_ms.map(Duration::from_millis),
            }),
            _ => None,
        }
    }
}

/// The revision in force at some instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// The revision.
    pub revision: Revision,
    /// How long ago it was known to be the newest; `None` if never.
    pub age: Option<Duration>,
}

/// What the tasks share.
struct Cx {
    state: Arc<State>,
    store: Arc<dyn Store>,
    peers: Arc<dyn Peers>,
    fleet: watch::Receiver<Arc<Fleet>>,
    me: InstanceId,
    region: RegionId,
    rng: Mutex<SmallRng>,
}

impl Cx {
    fn rng(&self) -> MutexGuard<'_, SmallRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Picks some of the addresses.
    fn pick(&self, from: &[SocketAddr], amount: usize) -> Vec<SocketAddr> {
        let picked = from.choose_multiple(&mut *self.rng(), amount);
        picked.copied().collect()
    }

    /// Returns true as often as false.
    fn toss(&self) -> bool {
        self.rng().random()
    }

    /// Shortens a pause by up to a half, so that instances do not act in step.
    fn jittered(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng().random_range(0.5..1.0))
    }

    fn is_watcher(&self) -> bool {
        choice::is_watcher(&self.fleet.borrow(), &self.region, &self.me)
    }

    fn watchers(&self) -> Vec<SocketAddr> {
        choice::watchers(&self.fleet.borrow(), &self.region, &self.me)
    }

    fn others(&self) -> Vec<SocketAddr> {
        choice::others(&self.fleet.borrow(), &self.me)
    }

    /// Returns where the instances of this region are reached.
    fn neighbours(&self) -> Vec<SocketAddr> {
        choice::neighbours(&self.fleet.borrow(), &self.region, &self.me)
    }

    /// Asks another instance; `None` if it gives no answer that makes sense.
    async fn ask(&self, peer: SocketAddr, ask: &Ask) -> Option<Reply> {
        let hold = match ask {
            Ask::Head { wait_ms, .. } => Duration::from_millis(u64::from(*wait_ms)),
            _ => Duration::ZERO,
        };
        let body = encode(ask).ok()?;
        let answer = self.peers.ask(peer, KIND, body, hold + MARGIN).await.ok()?;
        decode(&answer).ok()
    }
}
