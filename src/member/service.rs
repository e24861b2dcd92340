//! Starts the membership of one instance: its actor, its timer and its reader of the list.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, timeout};

use super::actor::{ActorArgs, Leave, ListRead, MembershipActor, Tick};
use super::handler::Handler;
use super::status::Card;
use super::view::{HEARTBEAT_PERIOD, View};
use super::{Fleet, Member};
use crate::clock::Clock;
use crate::peer::{PeerHandler, Peers};
use crate::platform::{InstanceList, Listing};

/// Minimum interval between two reads of the list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between two attempts to read the list while reads fail.
const MAX_LIST_BACKOFF: Duration = Duration::from_secs(5);

/// Delay between a notification of a change and the read of the list: when several instances start
/// together, their changes arrive in a burst.
const LIST_CHANGE_DELAY: Duration = Duration::from_millis(50);

/// Maximum rate at which an instance reads the list.
const MAX_LIST_BYTES_PER_SECOND: usize = 256 * 1024;

/// Approximate size of one line of the list.
const LIST_LINE_BYTES: usize = 250;

/// Builder of the membership of one instance.
pub struct Builder {
    own: Member,
    list: Arc<dyn InstanceList>,
    clock: Clock,
    peers: Option<Arc<dyn Peers>>,
    seed: u64,
}

/// Creates the builder of the membership of the instance `own`, which reads `list`.
///
/// If the incarnation of `own` is 0, the Unix time in milliseconds is used.
pub fn builder(own: Member, list: Arc<dyn InstanceList>) -> Builder {
    Builder {
        own,
        list,
        clock: Clock::start(),
        peers: None,
        seed: rand::random(),
    }
}

impl Builder {
    /// Sets the clock.
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the connections to other instances. Without them no heartbeats are sent and the list is
    /// the only source of the fleet.
    pub fn peers(mut self, peers: Arc<dyn Peers>) -> Self {
        self.peers = Some(peers);
        self
    }

    /// Sets the seed of the random choice of receivers.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts the membership, which runs until the last [`Membership`] handle is dropped.
    pub fn start(self) -> Membership {
        let incarnation = match self.own.incarnation {
            0 => unix_milliseconds(),
            known => known,
        };
        let card = Card {
            front: self.own.front,
            peer: self.own.peer,
            region: self.own.region,
            data_centre: self.own.data_centre,
        };
        let view = View::of(self.own.id, card, incarnation);
        let (tx, fleet) = watch::channel(Arc::new(view.fleet(self.clock.now())));
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let initial_delay = HEARTBEAT_PERIOD.mul_f64(rng.random());
        let sends_heartbeats = self.peers.is_some();
        let actor = MembershipActor::spawn(ActorArgs {
            view,
            clock: self.clock,
            peers: self.peers.clone(),
            rng: rng.clone(),
            fleet: tx,
        });
        tokio::spawn(tick(actor.downgrade(), initial_delay, sends_heartbeats));
        tokio::spawn(follow_list(actor.downgrade(), self.list, rng));
        Membership {
            fleet,
            handler: Arc::new(Handler::of(actor.clone(), self.peers)),
            actor,
        }
    }
}

/// A handle to the running membership.
#[derive(Clone)]
pub struct Membership {
    fleet: watch::Receiver<Arc<Fleet>>,
    actor: ActorRef<MembershipActor>,
    handler: Arc<Handler>,
}

impl Membership {
    /// Returns the channel of the fleet; the fleet always contains this instance.
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.clone()
    }

    /// Returns the handler of messages of kind `member`.
    pub fn handler(&self) -> Arc<dyn PeerHandler> {
        self.handler.clone()
    }

    /// Announces to the other instances that this instance leaves. On return, the published fleet
    /// shows this instance as leaving.
    pub async fn leave(&self) {
        if self.actor.ask(Leave).send().await.is_err() {
            log::warn!("membership stopped before this instance could announce that it leaves");
        }
    }
}

/// Returns the Unix time in milliseconds as the incarnation, which increases with each start. If
/// the clock was set back, the instance raises its incarnation when it learns from other instances
/// of the greater incarnation of its previous process.
fn unix_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |d| u64::try_from(d.as_millis()).unwrap_or(1))
}

async fn tick(
    actor: WeakActorRef<MembershipActor>,
    initial_delay: Duration,
    sends_heartbeats: bool,
) {
    tokio::time::sleep(initial_delay).await;
    let mut ticks = tokio::time::interval(HEARTBEAT_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(actor) = actor.upgrade() else {
            return;
        };
        if actor.tell(Tick { sends_heartbeats }).send().await.is_err() {
            return;
        }
    }
}

async fn follow_list(
    actor: WeakActorRef<MembershipActor>,
    list: Arc<dyn InstanceList>,
    mut rng: SmallRng,
) {
    let mut failures = 0;
    loop {
        let read = list.read().await;
        let Some(actor) = actor.upgrade() else {
            return;
        };
        let delay = match read {
            Ok(listing) => {
                failures = 0;
                let delay = list_interval(&listing);
                if actor.tell(ListRead(listing)).send().await.is_err() {
                    return;
                }
                delay
            }
            Err(e) => {
                if failures == 0 {
                    log::warn!("reading the list of instances failed: {e}");
                }
                failures += 1;
                metrics::counter!("limpetstand_list_failures_total").increment(1);
                (MIN_LIST_INTERVAL * failures).min(MAX_LIST_BACKOFF)
            }
        };
        drop(actor);
        let delay = delay.mul_f64(rng.random_range(0.9..1.1));
        let changed = async {
            list.changed().await;
            tokio::time::sleep(LIST_CHANGE_DELAY).await;
        };
        // Whichever comes first. The next read of the list includes a change that is missed here.
        let _ = timeout(delay, changed).await;
    }
}

/// Returns the interval between reads, which grows with the length of the list. Instances pass
/// leaving targets on to each other, so that all instances know a leaving target after the
/// first of them has read the list.
fn list_interval(listing: &Listing) -> Duration {
    let lines = listing.instances.len() + listing.targets.len();
    let bytes = lines * LIST_LINE_BYTES;
    Duration::from_secs((bytes / MAX_LIST_BYTES_PER_SECOND) as u64).max(MIN_LIST_INTERVAL)
}
