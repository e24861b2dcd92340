//! Starts the gateway of one instance, and shuts it down gracefully.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::{Request, Response};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::callers::{CallerHandler, ResponseBody, full_body};
use super::dialect::find_platform;
use super::directory::PlatformHandler;
use super::follow::{Follower, FollowerDeps, WithdrawalHandler};
use super::instances::{StoreInstanceList, keep_registered};
use super::listen::{Handler, serve};
use super::load_query::ask_for_loads;
use super::origin_news::{
    HistoryHandler, OriginHandler, OriginRecordHandler, OriginRecords, keep_origins,
};
use super::placement::{PlaceHandler, RankedPlaceHandler, ReportHandler, Reports, send_reports};
use super::pool::{Pool, Prefill};
use super::quota::{Quota, follow_organisations};
use super::region_figures::{RoomHandler, WaitHandler};
use super::registry_news::RegistryHandler;
use super::send_time::SendTimeHandler;
use super::settings::{GatewaySettings, ReloadableSettings};
use super::stream_origin::StreamOrigins;
use super::upstream::TargetConnections;
use super::withdrawn::apply_withdrawals;
use super::{Gateway, RelayedRequests, lock};
use crate::departure::Departure;
use crate::in_flight::InFlight;
use crate::journal;
use crate::kernel::{KernelError, SharedServices, bind, own_member};
use crate::limit;
use crate::member::{self, Membership};
use crate::peer::PeerServer;
use crate::quarantine::service::{QuarantineDeps, QuarantineHandler, QuarantineService};
use crate::settings::Settings;

/// Time between the announcement that an instance leaves and the time at which it stops accepting
/// requests; clients cache a response of the directory for about this long.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace period at which the instance stops waiting for requests in
/// flight.
const DRAIN_MARGIN: Duration = Duration::from_millis(800);

/// Time for the connections to close after their last response.
const CONNECTION_CLOSE_TIME: Duration = Duration::from_millis(200);

/// Timeout for giving up the instance's shares of limits.
const LIMIT_RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a leaving instance checks whether its requests have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// How often idle connections are closed, the state of removed targets is dropped and the metrics
/// recorder runs its upkeep.
const UPKEEP_PERIOD: Duration = Duration::from_secs(1);

/// How often the settings file is checked for a change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(3);

/// Runs the gateway until `stop` completes.
///
/// # Errors
///
/// If the journal cannot be started, an address cannot be listened on or a plug-in is unknown.
pub async fn run(
    settings: Settings,
    gateway: GatewaySettings,
    path: Option<PathBuf>,
    stop: impl Future<Output = ()>,
) -> Result<(), KernelError> {
    if gateway.journal {
        journal::start(&settings.instance.id)
            .map_err(|e| KernelError::Other(format!("journal: {e}")))?;
    }
    let instance = settings.instance.clone();
    let front = bind("front", instance.front).await?;
    let peer = bind("peer", instance.peer).await?;
    let admin = bind("admin", instance.admin).await?;
    let ready = bind("ready", gateway.ready).await?;
    let directory = bind("directory", gateway.directory).await?;
    let services = SharedServices::new(settings)?;
    let running = start(services, &gateway, path, peer)?;
    journal::line("start")
        .text("region", instance.region.as_str())
        .text("front", &instance.front.to_string())
        .value("first_start", gateway.first_start);
    let (stop_tx, stopped) = watch::channel(false);
    let connections = InFlight::default();
    let platform: Arc<dyn Handler> = Arc::new(PlatformHandler(Arc::clone(&running.gateway)));
    let metrics: Arc<dyn Handler> = Arc::new(MetricsHandler(running.metrics.clone()));
    let callers: Arc<dyn Handler> = Arc::new(CallerHandler(Arc::clone(&running.gateway)));
    for (listener, handler) in [
        (ready, Arc::clone(&platform)),
        (directory, platform),
        (admin, metrics),
        (front, callers),
    ] {
        let (stopped, connections) = (stopped.clone(), connections.clone());
        tokio::spawn(serve(listener, handler, stopped, connections));
    }
    stop.await;
    let gateway = Arc::clone(&running.gateway);
    running.shut_down(stop_tx, &connections).await;
    journal::line("stop").value("in_flight", gateway.in_flight.count());
    journal::flush();
    Ok(())
}

struct Running {
    gateway: Arc<Gateway>,
    membership: Membership,
    limiter: Arc<dyn limit::Limiter>,
    metrics: PrometheusHandle,
    withdraw_tx: watch::Sender<bool>,
    stop_peers_tx: watch::Sender<bool>,
    peer_server: JoinHandle<()>,
}

fn start(
    services: SharedServices,
    settings: &GatewaySettings,
    path: Option<PathBuf>,
    listener: TcpListener,
) -> Result<Running, KernelError> {
    let plugin = find_platform(&settings.platform).ok_or_else(|| KernelError::UnknownPlugin {
        section: "gateway",
        key: "platform",
        message: "there is no platform plug-in of this name".to_owned(),
    })?;
    let own = own_member(&services);
    let follower = Follower::new(FollowerDeps {
        id: own.id.clone(),
        region: own.region.clone(),
        clock: services.clock,
        store: Arc::clone(&services.store),
        layout: (plugin.layout)(),
        regions: settings.data_centres.clone(),
        entry_lapse: Duration::from_millis(settings.entry_lapse_ms),
    });
    let view = follower.view();
    let membership = member::builder(own.clone(), Arc::new(StoreInstanceList(view.clone())))
        .clock(services.clock)
        .peers(Arc::clone(&services.peers))
        .start();
    follower.start(membership.fleet(), Arc::clone(&services.peers));
    let snapshot = follow_organisations(view.clone());
    let (reloadable_settings_tx, reloadable_settings) =
        watch::channel(ReloadableSettings::from(settings));
    if let Some(path) = path {
        tokio::spawn(watch_settings(path, reloadable_settings_tx));
    }
    let tolerance = {
        let reloadable_settings = reloadable_settings.clone();
        move || reloadable_settings.borrow().tolerance
    };
    let limits = limit::start(
        &services.settings.policy.limit,
        limit::LimiterDeps {
            id: own.id.clone(),
            region: own.region.clone(),
            clock: services.clock,
            snapshot: snapshot.clone(),
            fleet: membership.fleet(),
            peers: Arc::clone(&services.peers),
            store: Arc::clone(&services.store),
            tolerance: Arc::new(tolerance),
        },
    )
    .map_err(|e| KernelError::UnknownPlugin {
        section: "policy",
        key: "limit",
        message: e.to_string(),
    })?;
    let mut regions: Vec<_> = settings.data_centres.values().cloned().collect();
    regions.sort();
    regions.dedup();
    let quarantine = QuarantineService::start(QuarantineDeps {
        id: own.id.clone(),
        region: own.region.clone(),
        clock: services.clock,
        fleet: membership.fleet(),
        peers: Arc::clone(&services.peers),
        quarantine_time: services.settings.policy.quarantine_time(),
    });
    let prefill = Prefill {
        ms_per_token: settings.prefill_ms_per_token,
    };
    let gateway = Arc::new(Gateway {
        id: own.id.clone(),
        region: own.region.clone(),
        clock: services.clock,
        dialect: (plugin.dialect)(),
        view,
        follower: Arc::clone(&follower),
        fleet: membership.fleet(),
        reloadable_settings,
        regions,
        region_round_trip_ms: settings.region_round_trip_ms,
        prefill,
        peers: Arc::clone(&services.peers),
        upstream: TargetConnections::new(services.settings.instance.source),
        quota: Quota::new(Arc::clone(&limits.limiter), snapshot),
        pool: std::sync::Mutex::new(Pool::new(prefill)),
        retries: std::sync::Mutex::default(),
        region_figures: std::sync::Mutex::default(),
        scheduling: std::sync::Mutex::default(),
        reports: Reports::default(),
        origins: std::sync::Mutex::new(StreamOrigins::new(
            services.clock.now(),
            Duration::from_millis(settings.stream_memory_ms),
            settings.first_start,
        )),
        origin_records: OriginRecords::default(),
        typical_prefill: std::sync::Mutex::default(),
        quarantine: Arc::clone(&quarantine),
        unknown_kinds: std::sync::Mutex::default(),
        served_by_route: std::sync::Mutex::default(),
        served_by_organisation: std::sync::Mutex::default(),
        probed: std::sync::Mutex::default(),
        reach: std::sync::Mutex::default(),
        own_ejections: std::sync::Mutex::default(),
        link_check: tokio::sync::Mutex::default(),
        departure: watch::Sender::new(Departure::default()),
        leaving_instances: std::sync::Mutex::default(),
        in_flight: InFlight::default(),
    });
    let mut server = PeerServer::for_relays(Some(Arc::new(RelayedRequests(Arc::clone(&gateway)))))
        .with_handler(membership.handler())
        .with_handler(Arc::new(WithdrawalHandler(Arc::clone(&follower))))
        .with_handler(follower)
        .with_handler(Arc::new(QuarantineHandler(quarantine)))
        .with_handler(Arc::new(WaitHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(RoomHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(PlaceHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(RankedPlaceHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(ReportHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(SendTimeHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(HistoryHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(RegistryHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(OriginHandler(Arc::clone(&gateway))))
        .with_handler(Arc::new(OriginRecordHandler(Arc::clone(&gateway))));
    tokio::spawn(send_reports(Arc::clone(&gateway)));
    tokio::spawn(keep_origins(Arc::clone(&gateway)));
    tokio::spawn(apply_withdrawals(Arc::clone(&gateway)));
    if let Some(handler) = limits.handler {
        server = server.with_handler(handler);
    }
    let (stop_peers_tx, peers_stopped) = watch::channel(false);
    let peer_server = tokio::spawn(server.serve(listener, peers_stopped));
    let (withdraw_tx, withdrawn) = watch::channel(false);
    tokio::spawn(keep_registered(own, Arc::clone(&services.store), withdrawn));
    tokio::spawn(ask_for_loads(Arc::clone(&gateway)));
    tokio::spawn(upkeep(Arc::clone(&gateway), services.metrics.clone()));
    Ok(Running {
        gateway,
        membership,
        limiter: limits.limiter,
        metrics: services.metrics,
        withdraw_tx,
        stop_peers_tx,
        peer_server,
    })
}

impl Running {
    /// Announces that the instance leaves, waits for the requests in flight, and closes.
    async fn shut_down(self, stop_tx: watch::Sender<bool>, connections: &InFlight) {
        let gateway = &self.gateway;
        let drain_limit = gateway
            .reloadable_settings()
            .grace
            .saturating_sub(DRAIN_MARGIN);
        let now = gateway.clock.now();
        let drained_at = now + drain_limit;
        journal::line("leaving").value("in_flight", gateway.in_flight.count());
        // A short grace period leaves less time.
        let notice = LEAVE_NOTICE.min(drain_limit);
        gateway.departure.send_replace(Departure::Leaving {
            known_at: now + notice,
            drained_at,
        });
        self.withdraw_tx.send_replace(true);
        self.membership.leave().await;
        sleep(notice).await;
        stop_tx.send_replace(true);
        let is_busy = || gateway.in_flight.count() > 0 || connections.count() > 0;
        let waits = || gateway.clock.now() < drained_at && is_busy();
        let drain = async || {
            while waits() {
                sleep(DRAIN_POLL_PERIOD).await;
            }
        };
        drain().await;
        loop {
            let left = drained_at.saturating_sub(gateway.clock.now());
            sleep(CONNECTION_CLOSE_TIME.min(left)).await;
            // An open connection may have brought another request meanwhile.
            if !waits() {
                break;
            }
            drain().await;
        }
        let now = gateway.clock.now();
        gateway.departure.send_replace(Departure::Leaving {
            known_at: now,
            drained_at: now,
        });
        // Relayed requests may have arrived meanwhile.
        drain().await;
        gateway.departure.send_replace(Departure::GivesUp);
        let refused = async {
            while is_busy() {
                sleep(DRAIN_POLL_PERIOD).await;
            }
        };
        // What is still busy then is an answer that has begun.
        let _ = timeout(CONNECTION_CLOSE_TIME, refused).await;
        self.stop_peers_tx.send_replace(true);
        // Other instances reclaim shares that are not given up in time.
        let released = timeout(LIMIT_RELEASE_TIMEOUT, self.limiter.leave());
        // The server bounds the time in which it closes its connections.
        let _ = tokio::join!(released, self.peer_server);
    }
}

async fn upkeep(gateway: Arc<Gateway>, metrics: PrometheusHandle) {
    loop {
        sleep(UPKEEP_PERIOD).await;
        gateway.upstream.sweep();
        let view = gateway.view();
        gateway.pool().retain(gateway.clock.now(), &view);
        lock(&gateway.own_ejections).retain(|id| view.targets.contains_key(id));
        gateway.expire_reservations();
        gateway.expire_origins();
        metrics.run_upkeep();
    }
}

/// Applies changes of the settings file after SIGHUP, and polls for changes without a signal.
async fn watch_settings(path: PathBuf, tx: watch::Sender<ReloadableSettings>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("cannot handle SIGHUP; changes of the settings file will not be applied");
        return;
    };
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        tokio::select! {
            received = hangup.recv() => if received.is_none() { return },
            () = sleep(SETTINGS_POLL_PERIOD) => {}
        }
        if let Some(changed) = read_if_changed(&path, &text) {
            text = changed;
            apply_settings(&path, &text, &tx);
        }
    }
}

fn read_if_changed(path: &Path, previous: &str) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => (text != previous).then_some(text),
        Err(e) => {
            journal::line("reload_failed").text("error", &e.to_string());
            None
        }
    }
}

fn apply_settings(path: &Path, text: &str, tx: &watch::Sender<ReloadableSettings>) {
    match Settings::parse(text) {
        Ok(settings) => {
            let Some(gateway) = &settings.gateway else {
                journal::line("reload_failed")
                    .text("error", "the settings file has no section [gateway]");
                return;
            };
            tx.send_replace(ReloadableSettings::from(gateway));
            journal::line("reload").text("file", &path.display().to_string());
        }
        Err(e) => {
            journal::line("reload_failed").text("error", &e.to_string());
        }
    }
}

/// Serves the metrics in the Prometheus text format.
struct MetricsHandler(PrometheusHandle);

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, _: Request<Incoming>) -> Response<ResponseBody> {
        Response::new(full_body(self.0.render()))
    }
}
