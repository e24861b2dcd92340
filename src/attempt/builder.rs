//! Configuration and start of a dispatcher.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;

use super::core::Core;
use super::scheduler::Scheduler;
use super::{Dispatcher, background};
use crate::claim::ClaimStore;
use crate::clock::Clock;
use crate::config::{ConfigAge, Snapshot};
use crate::departure::Departure;
use crate::id::{InstanceId, RegionId};
use crate::in_flight::InFlight;
use crate::member::Fleet;
use crate::peer::Peers;
use crate::quarantine::{DEFAULT_QUARANTINE_TIME, Quarantine};
use crate::route::{RoutingStateBuilder, scorer};
use crate::settings::PolicySettings;
use crate::store::Store;
use crate::target::{Target, TargetPlugin};

/// Baseline attempt policy for benchmarks: ignores residency and retries every request.
const RECKLESS_POLICY: &str = "reckless";

/// Default attempt policy: respects residency and retries only repeatable requests.
const CAREFUL_POLICY: &str = "careful";

/// Returns whether an attempt policy with this name exists.
pub fn is_known_policy(name: &str) -> bool {
    name == CAREFUL_POLICY || name == RECKLESS_POLICY
}

/// The reason why a dispatcher cannot be started.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BuildError {
    /// No route policy (scorer) with this name is registered.
    #[error("no route policy named `{0}`")]
    UnknownRoutePolicy(SmolStr),
    /// No attempt policy with this name exists.
    #[error("no attempt policy named `{0}`")]
    UnknownAttemptPolicy(SmolStr),
}

/// Builder of a [`Dispatcher`].
pub struct DispatcherBuilder {
    instance: InstanceId,
    region: RegionId,
    clock: Clock,
    fleet: watch::Receiver<Arc<Fleet>>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    config_age: ConfigAge,
    departure: watch::Receiver<Departure>,
    peers: Arc<dyn Peers>,
    store: Arc<dyn Store>,
    policy: PolicySettings,
    source: Option<IpAddr>,
    targets: HashMap<SmolStr, Arc<dyn Target>>,
    seed: u64,
    quarantine_time: Duration,
}

impl Dispatcher {
    /// Creates the builder of an instance's dispatcher, which reaches other instances through
    /// `peers` and keeps claims in `store`.
    pub fn builder(
        instance: InstanceId,
        region: RegionId,
        peers: Arc<dyn Peers>,
        store: Arc<dyn Store>,
    ) -> DispatcherBuilder {
        DispatcherBuilder {
            instance,
            region,
            clock: Clock::start(),
            fleet: watch::channel(Arc::default()).1,
            snapshot: watch::channel(Arc::default()).1,
            config_age: Arc::new(|| Duration::ZERO),
            departure: watch::channel(Departure::default()).1,
            peers,
            store,
            policy: PolicySettings::default(),
            source: None,
            targets: HashMap::new(),
            seed: rand::random(),
            quarantine_time: DEFAULT_QUARANTINE_TIME,
        }
    }
}

impl DispatcherBuilder {
    /// Sets the clock of the instance.
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the channel from which the dispatcher reads the fleet's members and targets.
    pub fn fleet(mut self, fleet: watch::Receiver<Arc<Fleet>>) -> Self {
        self.fleet = fleet;
        self
    }

    /// Sets the channel from which the dispatcher reads the configuration, and the function that
    /// returns the age of the configuration.
    pub fn snapshot(
        mut self,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        config_age: ConfigAge,
    ) -> Self {
        self.snapshot = snapshot;
        self.config_age = config_age;
        self
    }

    /// Sets the channel from which the dispatcher reads how far the instance is in leaving.
    pub fn departure(mut self, departure: watch::Receiver<Departure>) -> Self {
        self.departure = departure;
        self
    }

    /// Sets the route policy and the attempt policy.
    pub fn policy(mut self, policy: &PolicySettings) -> Self {
        self.policy = policy.clone();
        self
    }

    /// Sets the source address of connections to targets.
    pub fn source(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Replaces the target plug-in of the given name by `target`.
    pub fn target(mut self, plugin: &str, target: Arc<dyn Target>) -> Self {
        self.targets.insert(plugin.into(), target);
        self
    }

    /// Sets the seed of the random number generator.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the duration of a quarantine.
    pub fn quarantine_time(mut self, time: Duration) -> Self {
        self.quarantine_time = time;
        self
    }

    /// Starts the dispatcher and its background tasks; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the route policy or the attempt policy does not exist.
    pub fn start(mut self) -> Result<Arc<Dispatcher>, BuildError> {
        let scorer = scorer(&self.policy.route)
            .ok_or_else(|| BuildError::UnknownRoutePolicy(self.policy.route.clone()))?;
        let reckless = match self.policy.attempt.as_str() {
            CAREFUL_POLICY => false,
            RECKLESS_POLICY => true,
            _ => return Err(BuildError::UnknownAttemptPolicy(self.policy.attempt)),
        };
        for plugin in inventory::iter::<TargetPlugin> {
            let source = self.source;
            self.targets
                .entry(plugin.name.into())
                .or_insert_with(|| (plugin.make)(source));
        }
        let mut routing_state = RoutingStateBuilder::new(self.region.clone(), scorer)
            .instance(self.instance.clone())
            .build();
        routing_state.update_fleet(self.clock.now(), &self.fleet.borrow_and_update());
        let core = Arc::new(Core {
            claims: ClaimStore::new(self.store, self.instance.clone(), self.clock),
            scheduler: Scheduler::new(self.clock, routing_state, self.seed),
            instance: self.instance,
            region: self.region,
            clock: self.clock,
            fleet: self.fleet,
            snapshot: self.snapshot,
            config_age: self.config_age,
            departure: self.departure,
            peers: self.peers,
            targets: self.targets,
            quarantine: Mutex::new(Quarantine::new(self.quarantine_time)),
            retries: Mutex::default(),
            reckless,
            in_flight: InFlight::default(),
        });
        let (stop, stopped) = watch::channel(());
        background::start(&core, &stopped);
        Ok(Arc::new(Dispatcher { core, _stop: stop }))
    }
}
