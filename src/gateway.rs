//! The gateway for general routes: HTTP requests of any method, path, headers and body, routed by
//! host and path prefix.
//!
//! The gateway runs on platforms that keep the configuration, the targets and the list of instances
//! in a key-value service and use header names of their own. A platform plug-in decodes the entries
//! of the service and the headers; see [`dialect`]. The modules that make decisions ([`routes`],
//! [`registry`], [`mirror`], [`restored`], [`listeners`], [`pool`], [`withdrawal`],
//! [`withdrawal_news`], [`stream_origin`], [`reach`], [`ejection`], [`region`], [`warmup`],
//! [`urgency`], [`brittle`], [`give_up`], [`relay_tries`], [`attempt_timeout`]) use neither
//! sockets nor a clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::watch;

mod answer_body;
pub mod attempt_timeout;
mod attempts;
pub mod brittle;
mod caller_stream;
mod callers;
mod crashes;
mod cross_region;
pub mod dialect;
mod directory;
pub mod ejection;
mod follow;
pub mod give_up;
pub mod instances;
mod job;
mod late;
mod link_check;
mod listen;
pub mod listeners;
mod load_query;
pub mod load_shedding;
pub mod mirror;
mod origin_news;
mod outbox;
mod placement;
pub mod platform_view;
pub mod pool;
pub mod quota;
pub mod reach;
pub mod region;
mod region_figures;
pub mod registry;
mod registry_news;
mod relay;
pub mod relay_tries;
pub mod restored;
pub mod routes;
mod run;
mod running;
pub mod scheduler;
mod send_time;
pub mod settings;
mod source;
pub mod stream_origin;
mod target_attempt;
pub mod target_limits;
mod target_query;
mod target_stream;
pub mod target_tries;
mod upstream;
pub mod urgency;
pub mod warmth;
pub mod warmup;
pub mod withdrawal;
pub mod withdrawal_news;
mod withdrawn;

pub use self::callers::combined_priority;
pub use self::directory::{directory_entries, directory_ttl};
pub use self::follow::{Follower, FollowerDeps, WithdrawalHandler};
pub use self::run::run;

use self::crashes::ProbedProcesses;
use self::dialect::{Dialect, PromptPart};
use self::ejection::OwnEjections;
use self::give_up::unless_given_up;
use self::job::{Failure, Job};
use self::load_shedding::TypicalPrefill;
use self::origin_news::OriginRecords;
use self::placement::{Reports, Scheduling};
use self::platform_view::PlatformView;
use self::pool::{Pool, Prefill};
use self::quota::Quota;
use self::reach::Reach;
use self::region_figures::RegionFigures;
use self::relay::{WireHead, WireJob, WireOutcome, headers_to_wire};
use self::settings::ReloadableSettings;
use self::stream_origin::StreamOrigins;
use self::upstream::TargetConnections;
use self::urgency::ServedShares;
use crate::clock::Clock;
use crate::departure::{Departure, LeavingInstances, given_up};
use crate::id::{InstanceId, OrganisationId, RegionId, RouteId};
use crate::in_flight::InFlight;
use crate::journal;
use crate::member::Fleet;
use crate::peer::{Peers, RelayAnswer, RelayHandler, UnknownKinds, decode, encode};
use crate::quarantine::service::QuarantineService;
use crate::refusal::{Code, Refusal};
use crate::retry_budget::RetryBudgets;

/// The gateway of one instance.
pub struct Gateway {
    id: InstanceId,
    region: RegionId,
    clock: Clock,
    dialect: Arc<dyn Dialect>,
    view: watch::Receiver<Arc<PlatformView>>,
    follower: Arc<Follower>,
    fleet: watch::Receiver<Arc<Fleet>>,
    reloadable_settings: watch::Receiver<ReloadableSettings>,
    regions: Vec<RegionId>,
    region_round_trip_ms: f64,
    prefill: Prefill,
    peers: Arc<dyn Peers>,
    upstream: TargetConnections,
    quota: Quota,
    pool: Mutex<Pool>,
    retries: Mutex<RetryBudgets<SmolStr>>,
    region_figures: Mutex<RegionFigures>,
    scheduling: Mutex<Scheduling>,
    reports: Reports,
    origins: Mutex<StreamOrigins>,
    origin_records: OriginRecords,
    typical_prefill: Mutex<TypicalPrefill>,
    quarantine: Arc<QuarantineService>,
    unknown_kinds: Mutex<UnknownKinds>,
    served_by_route: Mutex<ServedShares<RouteId>>,
    served_by_organisation: Mutex<ServedShares<OrganisationId>>,
    probed: ProbedProcesses,
    reach: Mutex<Reach>,
    own_ejections: Mutex<OwnEjections>,
    /// Held while targets are tried to find out whether this instance is cut off from all.
    link_check: tokio::sync::Mutex<()>,
    departure: watch::Sender<Departure>,
    leaving_instances: Mutex<LeavingInstances>,
    in_flight: InFlight,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gateway {
    fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    fn upstream(&self) -> &TargetConnections {
        &self.upstream
    }

    fn view(&self) -> Arc<PlatformView> {
        Arc::clone(&self.view.borrow())
    }

    fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet.borrow())
    }

    fn reloadable_settings(&self) -> ReloadableSettings {
        *self.reloadable_settings.borrow()
    }

    fn all_regions(&self) -> &[RegionId] {
        &self.regions
    }

    fn is_leaving(&self) -> bool {
        self.departure.borrow().is_leaving()
    }

    /// Waits until this instance gives up the requests that have no answer.
    async fn gives_up(&self) {
        given_up(&self.departure.subscribe()).await;
    }

    /// Returns whether requests can be served: the instance is not leaving, has loaded the route
    /// table and the target registry, and does not wait for its share of the organisations' rates.
    fn is_ready(&self) -> bool {
        let is_loaded = {
            let view = self.view.borrow();
            view.route_table.is_some() && view.registry_loaded
        };
        !self.is_leaving() && is_loaded && !self.quota.is_starting()
    }

    /// Returns how many instances share the fleet-wide limits; at least 1.
    fn fleet_size(&self) -> usize {
        let fleet = self.fleet.borrow();
        let view = self.view.borrow();
        fleet.members.len().max(view.instances.len()).max(1)
    }

    /// Records the prompt of a route's request; returns the time that reading the route's prompts
    /// takes on average.
    fn record_prompt(&self, route: &RouteId, prompt: &[PromptPart]) -> Duration {
        let mut typical_prefill = lock(&self.typical_prefill);
        if let Some(own) = prompt.last() {
            typical_prefill.record(route, self.prefill.time(own.tokens.into()));
        }
        typical_prefill.of(route)
    }

    fn record_request(&self, job: &Job) {
        let retry_bound = self.reloadable_settings().retry;
        lock(&self.retries).record_request(self.clock.now(), &job.service, &retry_bound);
    }

    /// Takes a retry from the budget of the request's service, if the budget allows it.
    fn try_take_retry(&self, job: &Job) -> bool {
        let retry_bound = self.reloadable_settings().retry;
        let instances = self.fleet_size();
        lock(&self.retries).take(self.clock.now(), &job.service, &retry_bound, instances)
    }
}

/// Runs requests that instances of other regions relay to this one.
struct RelayedRequests(Arc<Gateway>);

impl RelayedRequests {
    async fn run_relayed(&self, message: &[u8]) -> (WireHead, Option<source::Source>) {
        let job = decode::<WireJob>(message).and_then(Job::try_from);
        let mut job = match job {
            Ok(job) => job,
            Err(e) => {
                let refusal = Refusal::not_run(Code::BadRequest, e.to_string());
                return (refused_head(0, refusal), None);
            }
        };
        if job.hops > 1 || !job.regions.contains(&self.0.region) {
            let refusal = Refusal::not_run(
                Code::NoAllowedRegion,
                "the request may not run in this region",
            );
            return (refused_head(job.attempts, refusal), None);
        }
        let departure = *self.0.departure.borrow();
        if departure.is_leaving() {
            let takes = departure.outlasts(self.0.clock.now(), job.time_left());
            journal::line("relayed_to_leaving")
                .text("request", &job.id)
                .value("taken", takes)
                .ms("time_left_ms", job.time_left());
            if !takes {
                return (failed_head(job.given_up()), None);
            }
        }
        if self.0.is_cut_off() {
            let mut head = refused_head(job.attempts, cut_off_refusal());
            head.cut_off = true;
            return (head, None);
        }
        let service = job.service.clone();
        let answered = unless_given_up(self.0.run_local(&mut job), self.0.gives_up()).await;
        let outcome = match answered {
            Some(outcome) => outcome,
            None => {
                let failure = job.given_up();
                journal::line("given_up")
                    .text("request", &job.id)
                    .text("ran", failure.refusal.ran().as_str())
                    .ms("time_left_ms", job.time_left());
                Err(failure)
            }
        };
        let (mut head, source) = match outcome {
            Ok(reply) => {
                let outcome = WireOutcome::Answer {
                    status: reply.status.as_u16(),
                    headers: headers_to_wire(&reply.headers),
                    target: reply.target,
                    software_version: reply.software_version,
                };
                let head = WireHead {
                    cut_off: false,
                    attempts: reply.attempts,
                    outcome,
                    wait_ms: None,
                };
                (head, Some(reply.source))
            }
            Err(failure) => (failed_head(failure), None),
        };
        head.wait_ms = self.0.min_wait(&service);
        head.cut_off |= self.0.is_cut_off();
        (head, source)
    }
}

/// Creates the refusal of a request that reached an instance without links to targets.
fn cut_off_refusal() -> Refusal {
    Refusal::not_run(Code::NoTarget, "the instance is cut off from its targets")
}

/// Creates the head of a request without an answer. Builds that do not look for [`Code::Leaving`]
/// relay a request that was not sent to another instance if this one says that it is cut off.
fn failed_head(failure: Failure) -> WireHead {
    let is_leaving = failure.refusal.code() == Code::Leaving;
    WireHead {
        cut_off: is_leaving,
        ..refused_head(failure.attempts, failure.refusal)
    }
}

fn refused_head(attempts: u32, refusal: Refusal) -> WireHead {
    WireHead {
        cut_off: false,
        attempts,
        outcome: WireOutcome::Refused(refusal),
        wait_ms: None,
    }
}

#[async_trait]
impl RelayHandler for RelayedRequests {
    async fn run(&self, message: Bytes) -> RelayAnswer {
        let guard = self.0.in_flight.track();
        let (head, source) = self.run_relayed(&message).await;
        match encode(&head) {
            Ok(head) => RelayAnswer {
                head,
                body: source.map(|source| Box::new(source.guarded(guard)) as _),
            },
            Err(e) => {
                log::error!("cannot encode the head of a relayed response: {e}");
                RelayAnswer {
                    head: Bytes::new(),
                    body: None,
                }
            }
        }
    }
}
