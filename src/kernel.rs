//! Starts the components of an instance, runs them and shuts them down.

mod parts;

pub(crate) use self::parts::own_member;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::admin;
use crate::attempt::Dispatcher;
use crate::clock::Clock;
use crate::config::distribution::ConfigDistribution;
use crate::departure::Departure;
use crate::front::{Front, FrontParts, serve};
use crate::in_flight::InFlight;
use crate::limit;
use crate::member::Membership;
use crate::peer::{PeerClient, PeerServer, Peers};
use crate::place;
use crate::report::{self, Reporter};
use crate::settings::Settings;
use crate::store::{self, Store, StoreOptions};

/// How long a starting instance waits for a configuration before startup fails.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);

/// Minimum time between announcing that the instance leaves and closing its listeners.
const LEAVE_NOTICE: Duration = Duration::from_secs(2);

/// Polling interval while waiting for a configuration or for requests in flight to end.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// How long each step of closing may take after the requests in flight have ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which the metrics exporter aggregates histogram samples and the report's gauges are
/// updated.
const METRICS_UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// The reason why an instance failed to start or to continue.
#[derive(Debug, thiserror::Error)]
pub enum KernelError {
    /// Listening on an address of the instance failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The setting under `[instance]`.
        key: &'static str,
        /// The address to listen on.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Neither the store nor another instance provided a configuration.
    #[error("the store at {0} cannot be reached and no other instance has a configuration")]
    NoConfiguration(String),
    /// The settings name a plug-in that does not exist.
    #[error("{message}")]
    UnknownPlugin {
        /// The section of the settings file.
        section: &'static str,
        /// The key in that section.
        key: &'static str,
        /// The error message.
        message: String,
    },
    /// A failure that no setting caused.
    #[error("{0}")]
    Other(String),
}

impl KernelError {
    /// Returns the section and the key of the setting to show with the error.
    pub fn setting(&self) -> (&'static str, &'static str) {
        match self {
            Self::Listen { key, .. } => ("instance", key),
            Self::NoConfiguration(_) => ("store", "address"),
            Self::UnknownPlugin { section, key, .. } => (section, key),
            Self::Other(_) => ("instance", "id"),
        }
    }
}

/// The bound listeners of one instance.
struct Listeners {
    front: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// Settings, clock and clients shared by the components of an instance.
pub(crate) struct SharedServices {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) metrics: PrometheusHandle,
}

/// A running instance.
pub struct Kernel {
    services: SharedServices,
    membership: Membership,
    distribution: ConfigDistribution,
    front: Arc<Front>,
    limiter: Arc<dyn limit::Limiter>,
    dispatcher: Arc<Dispatcher>,
    forwards: InFlight,
    departure: watch::Sender<Departure>,
    reporter: Reporter,
    stop: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
}

impl Kernel {
    /// Runs an instance until `stop` completes, then shuts it down gracefully.
    ///
    /// Requests in flight may finish within the settings' drain time. During startup, `stop` ends
    /// the instance at once.
    ///
    /// # Errors
    ///
    /// If listening on an address fails, a plug-in is unknown, or no configuration is found.
    pub async fn run(
        settings: Settings,
        stop: impl Future<Output = ()>,
    ) -> Result<(), KernelError> {
        let listeners = Listeners::bind(&settings).await?;
        let services = SharedServices::new(settings)?;
        let mut stop = std::pin::pin!(stop);
        let kernel = tokio::select! {
            kernel = Self::start(services, listeners) => kernel?,
            () = &mut stop => return Ok(()),
        };
        log::info!(
            "instance {} serves requests",
            kernel.services.settings.instance.id
        );
        stop.await;
        kernel.shut_down().await;
        Ok(())
    }

    async fn start(services: SharedServices, listeners: Listeners) -> Result<Self, KernelError> {
        let membership = parts::membership(&services)?;
        let distribution = parts::distribution(&services, &membership);
        let limits = parts::limits(&services, &membership, &distribution)?;
        let departure = watch::Sender::new(Departure::default());
        let dispatcher = parts::dispatcher(&services, &membership, &distribution, &departure)?;
        let reporter = parts::reporter(&services, &membership, &distribution);
        let (stop, stopped) = watch::channel(false);
        let mut server = PeerServer::new(Arc::clone(&dispatcher) as _)
            .with_handler(membership.handler())
            .with_handler(distribution.handler())
            .with_handler(reporter.handler());
        for handler in limits.handler.into_iter().chain(dispatcher.handlers()) {
            server = server.with_handler(handler);
        }
        let forwards = server.forwards();
        let front = Front::new(FrontParts {
            instance: services.settings.instance.id.clone(),
            region: services.settings.instance.region.clone(),
            settings: services.settings.front.clone(),
            snapshot: distribution.snapshots(),
            config_age: parts::config_age(&distribution),
            departure: departure.subscribe(),
            fleet: membership.fleet(),
            limiter: Arc::clone(&limits.limiter),
            dispatch: Arc::clone(&dispatcher) as _,
            recorder: reporter.recorder(),
        });
        let mut servers = vec![tokio::spawn(server.serve(listeners.peer, stopped.clone()))];
        wait_for_configuration(&services, &distribution).await?;
        let router = admin::router(parts::admin_parts(&services, &membership, &distribution))
            .merge(report::router(reporter.clone()))
            .merge(place::routes::router(parts::placement(
                &services,
                &membership,
                &distribution,
            )?));
        let read_timeout = Duration::from_millis(services.settings.front.read_timeout_ms);
        let admin = serve::serve(listeners.admin, router, read_timeout, stopped.clone());
        servers.push(tokio::spawn(admin));
        let callers = serve::serve(listeners.front, front.router(), read_timeout, stopped);
        servers.push(tokio::spawn(callers));
        parts::directory(&services, &membership)?;
        tokio::spawn(update_metrics(services.metrics.clone(), reporter.clone()));
        Ok(Self {
            services,
            membership,
            distribution,
            front,
            limiter: limits.limiter,
            dispatcher,
            forwards,
            departure,
            reporter,
            stop,
            servers,
        })
    }

    /// Returns the number of requests in flight; a forwarded request counts twice while it runs.
    fn in_flight(&self) -> usize {
        self.front.in_flight() + self.forwards.count() + self.dispatcher.in_flight()
    }

    /// Announces that the instance leaves, waits for requests in flight, refuses those that have not
    /// ended when the drain time is over, and closes all listeners.
    async fn shut_down(self) {
        log::info!(
            "instance {} is shutting down",
            self.services.settings.instance.id
        );
        let clock = self.services.clock;
        let drained_at = clock.now() + Duration::from_millis(self.services.settings.front.drain_ms);
        self.departure.send_replace(Departure::Leaving {
            known_at: drained_at,
            drained_at,
        });
        self.membership.leave().await;
        let started_at = Instant::now();
        while clock.now() < drained_at {
            if self.in_flight() == 0 && started_at.elapsed() >= LEAVE_NOTICE {
                break;
            }
            sleep(POLL_PERIOD).await;
        }
        self.departure.send_replace(Departure::GivesUp);
        let all_refused = async {
            while self.in_flight() > 0 {
                sleep(POLL_PERIOD).await;
            }
        };
        if timeout(CLOSE_TIMEOUT, all_refused).await.is_err() {
            log::warn!(
                "{} requests had not ended when the instance closed",
                self.in_flight()
            );
        }
        let _ = timeout(CLOSE_TIMEOUT, self.limiter.leave()).await;
        self.reporter.hand_over().await;
        self.stop.send_replace(true);
        for server in self.servers {
            let _ = timeout(CLOSE_TIMEOUT, server).await;
        }
        drop(self.distribution);
        log::info!(
            "instance {} has stopped",
            self.services.settings.instance.id
        );
    }
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, KernelError> {
        let instance = &settings.instance;
        Ok(Self {
            front: bind("front", instance.front).await?,
            peer: bind("peer", instance.peer).await?,
            admin: bind("admin", instance.admin).await?,
        })
    }
}

/// Listens on an address from the settings; `key` is its key under `[instance]`.
pub(crate) async fn bind(
    key: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, KernelError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| KernelError::Listen {
            key,
            address,
            source,
        })
}

impl SharedServices {
    pub(crate) fn new(settings: Settings) -> Result<Self, KernelError> {
        let options = StoreOptions::new(settings.store.address.clone())
            .timeout(settings.store.timeout())
            .source(settings.instance.source)
            .calls_per_second(settings.store.calls_per_second);
        let store = store::connect(&settings.store.kind, &options).map_err(|e| {
            KernelError::UnknownPlugin {
                section: "store",
                key: "kind",
                message: e.to_string(),
            }
        })?;
        let metrics = metrics_exporter_prometheus::PrometheusBuilder::new()
            .install_recorder()
            .map_err(|e| KernelError::Other(format!("metrics: {e}")))?;
        let peers = Arc::new(PeerClient::new(settings.instance.source));
        Ok(Self {
            settings,
            clock: Clock::start(),
            store,
            peers,
            metrics,
        })
    }
}

/// Waits until the configuration has been read from the store or received from another instance.
async fn wait_for_configuration(
    services: &SharedServices,
    distribution: &ConfigDistribution,
) -> Result<(), KernelError> {
    let freshness = distribution.freshness();
    let snapshots = distribution.snapshots();
    let started_at = Instant::now();
    while started_at.elapsed() < STARTUP_TIMEOUT {
        if freshness.age().is_some() || snapshots.borrow().revision.0 > 0 {
            return Ok(());
        }
        sleep(POLL_PERIOD).await;
    }
    Err(KernelError::NoConfiguration(
        services.settings.store.address.clone(),
    ))
}

/// Runs the metrics exporter's upkeep and updates the report's gauges at regular intervals.
async fn update_metrics(metrics: PrometheusHandle, reporter: Reporter) {
    loop {
        sleep(METRICS_UPKEEP_PERIOD).await;
        metrics.run_upkeep();
        reporter.update_burn_gauges();
    }
}
