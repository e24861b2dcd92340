//! The gateway for general routes: any method, path, header and body, by host and path prefix.
//!
//! It runs where a platform keeps the configuration, the targets and the list of instances in its
//! key-value service and speaks its own dialect; see [`dialect`] for what a platform's plug-in
//! brings. The decisions ([`routes`], [`registry`], [`pool`], [`region`], [`warmup`], [`retry`],
//! [`tolerance`], [`patience`]) have neither sockets nor a clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::watch;

mod answer;
mod callers;
pub mod dialect;
mod directory;
mod elsewhere;
mod exchange;
mod follow;
mod head_clock;
pub mod instances;
mod job;
mod listen;
pub mod overload;
pub mod patience;
pub mod pool;
pub mod quota;
pub mod region;
pub mod registry;
mod relay;
pub mod rendezvous;
pub mod retry;
pub mod routes;
mod run;
pub mod settings;
mod source;
pub mod tolerance;
mod upstream;
pub mod warmup;
pub mod world;

pub use self::callers::{combined_priority, come_back, status_of};
pub use self::directory::entries;
pub use self::follow::{Follower, Parts as FollowerParts};
pub use self::run::run;

use self::dialect::Dialect;
use self::job::Job;
use self::pool::Pool;
use self::quota::Quota;
use self::relay::{WireHead, WireJob, WireOutcome, headers_to_wire};
use self::retry::Budget;
use self::settings::Bounds;
use self::upstream::Upstream;
use self::world::World;
use crate::clock::Clock;
use crate::id::{InstanceId, RegionId};
use crate::member::Fleet;
use crate::peer::{PeerError, PeerHandler, Peers, RelayAnswer, RelayHandler, decode, encode};
use crate::refusal::{Code, Refusal};

/// A wait told by another region is believed for this long.
const WAIT_AGE: Duration = Duration::from_millis(1_500);

/// Other regions are asked for their waits when the own one is longer than this, in milliseconds.
const ASK_ABOVE_MS: f64 = 150.0;

/// Least time between two asks for a service's waits.
const ASK_PERIOD: Duration = Duration::from_millis(400);

/// How long an instance of another region may take to tell its wait.
const ASK_WAIT: Duration = Duration::from_millis(600);

/// The kind of peer messages that ask for waits.
const WAIT_KIND: &str = "wait";

/// Waits told by other regions, and when they were last asked for.
#[derive(Debug, Default)]
struct Waits {
    told: HashMap<(RegionId, SmolStr), (Duration, f64)>,
    asked: HashMap<SmolStr, Duration>,
}

/// The gateway of one instance.
pub struct Gateway {
    id: InstanceId,
    region: RegionId,
    clock: Clock,
    dialect: Arc<dyn Dialect>,
    world: watch::Receiver<Arc<World>>,
    fleet: watch::Receiver<Arc<Fleet>>,
    bounds: watch::Receiver<Bounds>,
    regions: Vec<RegionId>,
    peers: Arc<dyn Peers>,
    upstream: Upstream,
    quota: Quota,
    pool: Mutex<Pool>,
    retries: Mutex<HashMap<SmolStr, Budget>>,
    waits: Mutex<Waits>,
    leaving: AtomicBool,
    in_flight: Arc<AtomicUsize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gateway {
    fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    fn world(&self) -> Arc<World> {
        Arc::clone(&self.world.borrow())
    }

    fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet.borrow())
    }

    fn bounds(&self) -> Bounds {
        *self.bounds.borrow()
    }

    fn all_regions(&self) -> &[RegionId] {
        &self.regions
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns whether requests can be served: where they may go and the targets are known.
    fn is_ready(&self) -> bool {
        let world = self.world.borrow();
        !self.is_leaving() && world.table.is_some() && world.registry_loaded
    }

    /// Returns how many instances share the fleet-wide bounds.
    fn fleet_size(&self) -> usize {
        let fleet = self.fleet.borrow();
        let world = self.world.borrow();
        fleet.members.len().max(world.instances.len()).max(1)
    }

    fn count_request(&self, job: &Job) {
        let bound = self.bounds().retry;
        let mut retries = lock(&self.retries);
        let budget = retries.entry(job.service.clone()).or_default();
        budget.request(self.clock.now(), &bound);
    }

    /// Takes one more send out of the retry budget, if there is room.
    fn take_retry(&self, job: &Job) -> bool {
        let bound = self.bounds().retry;
        let instances = self.fleet_size();
        let mut retries = lock(&self.retries);
        let budget = retries.entry(job.service.clone()).or_default();
        let taken = budget.take(self.clock.now(), &bound, instances);
        if !taken {
            metrics::counter!("limpetstand_retries_refused_total").increment(1);
        }
        taken
    }

    fn note_wait(&self, region: &RegionId, service: &SmolStr, wait_ms: Option<f64>) {
        let Some(wait_ms) = wait_ms else {
            return;
        };
        let now = self.clock.now();
        let key = (region.clone(), service.clone());
        lock(&self.waits).told.insert(key, (now, wait_ms));
    }

    /// Returns the waits for a service that other regions told lately.
    fn waits(&self, service: &SmolStr) -> HashMap<RegionId, f64> {
        let now = self.clock.now();
        let mut waits = HashMap::new();
        for ((region, of), (at, wait)) in &lock(&self.waits).told {
            if of == service && *at + WAIT_AGE > now {
                waits.insert(region.clone(), *wait);
            }
        }
        waits
    }

    /// Asks one instance of each other region for its wait, if the own one is long.
    fn ask_waits(self: &Arc<Self>, service: &SmolStr, own_ms: f64) {
        if own_ms < ASK_ABOVE_MS {
            return;
        }
        let now = self.clock.now();
        {
            let mut waits = lock(&self.waits);
            let asked = waits.asked.get(service).copied();
            if asked.is_some_and(|at| at + ASK_PERIOD > now) {
                return;
            }
            waits.asked.insert(service.clone(), now);
        }
        for region in &self.regions {
            if *region == self.region {
                continue;
            }
            let fleet = self.fleet();
            let peers: Vec<_> = fleet.live_in(region).map(|m| m.peer).collect();
            if peers.is_empty() {
                continue;
            }
            let peer = peers[rand::random_range(0..peers.len())];
            let gateway = Arc::clone(self);
            tokio::spawn(gateway.ask_wait(peer, region.clone(), service.clone()));
        }
    }

    async fn ask_wait(self: Arc<Self>, peer: SocketAddr, region: RegionId, service: SmolStr) {
        let Ok(body) = encode(&service) else {
            return;
        };
        // A region that does not answer keeps its last wait until that is too old.
        let Ok(answer) = self.peers.ask(peer, WAIT_KIND, body, ASK_WAIT).await else {
            return;
        };
        match decode::<Option<f64>>(&answer) {
            Ok(wait_ms) => self.note_wait(&region, &service, wait_ms),
            Err(e) => log::warn!("wait told by {peer} ignored: {e}"),
        }
    }

    /// Returns the least wait for a request without a prompt here, in milliseconds.
    fn least_wait(&self, service: &SmolStr) -> Option<f64> {
        self.with_want(service, &[], &[], |pool, now, world, want| {
            pool.quote(now, world, &self.region, want, rand::random)
        })
        .map(|choice| choice.wait_ms)
    }
}

/// Tells other regions the waits here.
struct WaitHandler(Arc<Gateway>);

#[async_trait]
impl PeerHandler for WaitHandler {
    fn kind(&self) -> &'static str {
        WAIT_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let service: SmolStr = decode(&body)?;
        encode(&self.0.least_wait(&service))
    }
}

/// Runs requests that instances of other regions relay.
struct Relays(Arc<Gateway>);

impl Relays {
    async fn outcome(&self, message: &[u8]) -> (WireHead, Option<source::Source>) {
        let job = decode::<WireJob>(message).and_then(Job::try_from);
        let mut job = match job {
            Ok(job) => job,
            Err(e) => {
                let refusal = Refusal::not_run(Code::BadRequest, e.to_string());
                return (refused(0, refusal), None);
            }
        };
        if job.hops > 1 || !job.regions.contains(&self.0.region) {
            let refusal = Refusal::not_run(Code::NoAllowedRegion, "it may not run here");
            return (refused(job.attempts, refusal), None);
        }
        let service = job.service.clone();
        let (mut head, source) = match self.0.run_here(&mut job).await {
            Ok(reply) => {
                let outcome = WireOutcome::Answer {
                    status: reply.status.as_u16(),
                    headers: headers_to_wire(&reply.headers),
                    target: reply.target,
                };
                let head = WireHead {
                    attempts: reply.attempts,
                    outcome,
                    wait_ms: None,
                };
                (head, Some(reply.source))
            }
            Err(failure) => (refused(failure.attempts, failure.refusal), None),
        };
        head.wait_ms = self.0.least_wait(&service);
        (head, source)
    }
}

fn refused(attempts: u32, refusal: Refusal) -> WireHead {
    WireHead {
        attempts,
        outcome: WireOutcome::Refused(refusal),
        wait_ms: None,
    }
}

#[async_trait]
impl RelayHandler for Relays {
    async fn run(&self, message: Bytes) -> RelayAnswer {
        let _guard = callers::InFlightGuard::new(&self.0.in_flight);
        let (head, source) = self.outcome(&message).await;
        match encode(&head) {
            Ok(head) => RelayAnswer {
                head,
                body: source.map(|s| Box::new(s) as _),
            },
            Err(e) => {
                log::error!("head of a relayed answer: {e}");
                RelayAnswer {
                    head: Bytes::new(),
                    body: None,
                }
            }
        }
    }
}
