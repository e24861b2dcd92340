//! Handles callers' requests: admission, dispatch and responses.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Incoming};
use smol_str::SmolStr;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout, timeout_at};

use super::answer_body::{BodyError, body_frames, is_resumable};
use super::attempts::{STARTUP_WAIT, strip_hop_by_hop_headers};
use super::dialect::RequestHead;
use super::give_up::unless_given_up;
use super::job::{Failure, Job, LEAVING_RETRY_AFTER, Reply, suspects};
use super::listen::Handler;
use super::load_shedding;
use super::pool;
use super::quota::Charge;
use super::routes::{CallerLimits, OrganisationPolicy, Route, RouteTable, allows_region};
use super::{Gateway, lock};
use crate::front::reply::refusal_json;
use crate::guarded_body::GuardedBody;
use crate::id::{OrganisationId, RegionId};
use crate::in_flight::InFlightGuard;
use crate::journal;
use crate::refusal::{Code, Ran, Refusal, spread_retry_after};

/// The body of a response.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// The time at which an answer ends as broken if it is not complete.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerDeadline(pub Instant);

/// Upper bound on the time until a request's deadline that is passed to the limiter. A charge
/// becomes final when a target responds, which takes no longer under ordinary load.
const MAX_CHARGE_TIME_LEFT: Duration = Duration::from_secs(2);

/// Time after which a stream may be taken up again that was refused while the store could not be
/// read.
const TAKE_UP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The least urgent priority at targets.
const LOWEST_PRIORITY: u8 = 9;

/// Number of route priorities that are distinguished within each organisation priority.
const ROUTE_PRIORITY_LEVELS: u8 = 3;

/// Handles callers' requests.
pub(super) struct CallerHandler(pub Arc<Gateway>);

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let guard = self.0.in_flight.track();
        let mut response = self.serve(req, guard).await;
        if self.0.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn limits(&self) -> CallerLimits {
        let view = self.0.view();
        view.route_table
            .as_ref()
            .map_or_else(CallerLimits::default, |t| t.limits)
    }
}

/// The configuration that applies to an admitted request.
struct Admitted<'a> {
    route: &'a Route,
    organisation: Option<(OrganisationId, &'a OrganisationPolicy)>,
    regions: Vec<RegionId>,
}

/// Where a request is to run.
struct Destination {
    service: SmolStr,
    /// The software version that began the stream that the caller takes up.
    software_version: Option<SmolStr>,
}

/// A request that is ready to be sent to a target.
struct Prepared {
    job: Job,
    charge: Charge,
    /// The version of the configuration under which the request was admitted.
    version: u64,
}

impl CallerHandler {
    /// Serves a request, or refuses it once the instance gives up what has no answer.
    async fn serve(&self, req: Request<Incoming>, guard: InFlightGuard) -> Response<ResponseBody> {
        let began = Instant::now();
        let (parts, body) = req.into_parts();
        let head = self.0.dialect.read_request(&parts.headers);
        let preparing = self.prepare(parts, body, &head, began);
        let prepared = match unless_given_up(preparing, self.0.gives_up()).await {
            Some(prepared) => prepared,
            None => {
                given_up_line(&head, Ran::No);
                Err(self.refuse(&head, &leaving_refusal(), None, None))
            }
        };
        let Prepared {
            mut job,
            charge,
            version,
        } = match prepared {
            Ok(prepared) => prepared,
            Err(response) => return response,
        };
        let deadline = job.deadline;
        let dispatched = timeout_at(deadline, self.0.dispatch(&mut job));
        let outcome = match unless_given_up(dispatched, self.0.gives_up()).await {
            Some(outcome) => outcome,
            None => {
                let failure = job.given_up();
                given_up_line(&head, failure.refusal.ran()).ms("time_left_ms", job.time_left());
                Ok(Err(failure))
            }
        };
        self.record_outcome(&job, &outcome);
        let reply = match outcome {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => {
                if failure.refusal.ran() == Ran::No {
                    charge.refund();
                }
                return self.refuse(&head, &failure.refusal, Some(version), None);
            }
            Err(_) => {
                let refusal = Refusal::unknown(Code::DeadlineExceeded, "the deadline passed");
                return self.refuse(&head, &refusal, Some(version), None);
            }
        };
        charge.settle();
        journal::line("answered")
            .text("request", &head.id)
            .text("target", reply.target.as_str())
            .value("status", reply.status.as_u16())
            .value("attempts", reply.attempts)
            .ms("took_ms", began.elapsed());
        let mut response = Response::new(());
        *response.status_mut() = reply.status;
        *response.headers_mut() = reply.headers.clone();
        if is_resumable(&job, &reply) {
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        let body = StreamBody::new(Box::pin(body_frames(
            Arc::clone(&self.0),
            job,
            reply,
            began,
        )));
        response.extensions_mut().insert(AnswerDeadline(deadline));
        response.map(|()| GuardedBody::new(guard, body).boxed_unsync())
    }

    /// Reads a request, admits it and charges it to its organisation.
    ///
    /// # Errors
    ///
    /// The response to a request that is refused.
    async fn prepare(
        &self,
        parts: http::request::Parts,
        body: Incoming,
        head: &RequestHead,
        began: Instant,
    ) -> Result<Prepared, Response<ResponseBody>> {
        let Some(table) = self.table().await else {
            let refusal = Refusal::not_run(Code::NotReady, "no configuration is known yet");
            return Err(self.refuse(head, &refusal, None, None));
        };
        let admitted = match self.admit(&table, &parts, head) {
            Ok(admitted) => admitted,
            Err(refusal) => return Err(self.refuse(head, &refusal, Some(table.version), None)),
        };
        let refuse =
            |refusal: Refusal| self.refuse(head, &refusal, Some(table.version), Some(&admitted));
        let mut deadline = began + admitted.route.timeout;
        // A deadline later than any time that can be told is none.
        if let Some(own) = head.deadline.and_then(|wait| began.checked_add(wait)) {
            deadline = deadline.min(own);
        }
        let body = read_body(body, &table.limits, deadline)
            .await
            .map_err(refuse)?;
        if !self.takes(deadline) {
            return Err(refuse(leaving_refusal()));
        }
        let destination = self.destination(&admitted, head).await.map_err(refuse)?;
        let service = destination.service.clone();
        let path = path_of(&parts);
        let organisation = admitted.organisation.as_ref().map(|(o, _)| o);
        let suspects = suspects(
            organisation,
            &admitted.route.name,
            &service,
            &path,
            &body,
            &head.prompt,
        );
        if let Some(refusal) = self.0.quarantine_refusal(&suspects, 0) {
            return Err(refuse(refusal));
        }
        let charge = self
            .charge(&admitted, head, deadline)
            .await
            .map_err(refuse)?;
        journal::line("admitted")
            .text("request", &head.id)
            .text("route", admitted.route.name.as_str())
            .text("service", &service)
            .text(
                "organisation",
                admitted
                    .organisation
                    .as_ref()
                    .map_or("", |(o, _)| o.as_str()),
            )
            .value("version", table.version)
            .text("regions", &join_region_names(&admitted.regions))
            .text("charged_to", charge.source())
            .text("resumes", head.resumes.as_deref().unwrap_or(""))
            .text("resume_after", head.resume_after.as_deref().unwrap_or(""));
        let mut job = self.job(parts, head, admitted, destination, body, deadline);
        job.suspects = suspects;
        Ok(Prepared {
            job,
            charge,
            version: table.version,
        })
    }

    /// Tells whether the instance takes a request that has been read.
    fn takes(&self, deadline: Instant) -> bool {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let departure = *self.0.departure.borrow();
        departure.takes(self.0.clock.now(), time_left)
    }

    /// Records whether there was room for a request.
    fn record_outcome(&self, job: &Job, outcome: &Result<Result<Reply, Failure>, Elapsed>) {
        let served = match outcome {
            Ok(Ok(_)) => true,
            Ok(Err(failure)) if failure.refusal.code() == Code::Overloaded => false,
            _ => return,
        };
        lock(&self.0.served_by_route).record(&job.route, served);
        if let Some(organisation) = &job.organisation {
            lock(&self.0.served_by_organisation).record(organisation, served);
        }
    }

    fn job(
        &self,
        parts: http::request::Parts,
        head: &RequestHead,
        admitted: Admitted<'_>,
        destination: Destination,
        body: Bytes,
        deadline: Instant,
    ) -> Job {
        let route = admitted.route;
        let organisation_priority = admitted.organisation.as_ref().and_then(|(_, g)| g.priority);
        let path = path_of(&parts);
        let mut headers = parts.headers;
        self.0.dialect.strip_reserved(&mut headers);
        strip_hop_by_hop_headers(&mut headers);
        let priority = combined_priority(organisation_priority, route.priority);
        let typical_prefill = self.0.record_prompt(&route.name, &head.prompt);
        let mut max_wait = load_shedding::max_wait(route.objective, priority, typical_prefill);
        if destination.software_version.is_some() {
            let time_left = deadline.saturating_duration_since(Instant::now());
            max_wait = load_shedding::max_wait_of_taken_up(max_wait, time_left);
        }
        let organisation = admitted.organisation.as_ref().map(|(o, _)| o);
        let is_short = lock(&self.0.served_by_route).is_short(&route.name)
            || organisation.is_some_and(|o| lock(&self.0.served_by_organisation).is_short(o));
        Job {
            id: head.id.clone(),
            route: route.name.clone(),
            kind: route.kind,
            service: destination.service,
            organisation: admitted.organisation.map(|(o, _)| o),
            priority,
            yields: !is_short,
            max_attempts: route.max_attempts.max(1),
            attempts: 0,
            objective: route.objective,
            max_wait,
            deadline,
            method: parts.method,
            path,
            headers,
            body,
            regions: admitted.regions,
            prompt: head.prompt.clone(),
            silent_targets: Vec::new(),
            sent: false,
            may_have_run: false,
            suspects: Arc::default(),
            resume_after: head.resume_after.clone(),
            stream: stream_of(head).clone(),
            software_version: destination.software_version,
            hops: 0,
        }
    }

    /// Returns the configuration in force. In a starting instance, waits up to [`STARTUP_WAIT`] for
    /// the first configuration and the target registry.
    async fn table(&self) -> Option<Arc<RouteTable>> {
        let mut view = self.0.view.clone();
        let known = view.wait_for(|view| view.route_table.is_some() && view.registry_loaded);
        // After a timeout without a configuration, `serve` refuses the request.
        let _ = timeout(STARTUP_WAIT, known).await;
        self.0.view().route_table.clone()
    }

    /// Finds a request's route, its organisation and the regions that both allow.
    fn admit<'a>(
        &self,
        table: &'a RouteTable,
        parts: &http::request::Parts,
        head: &RequestHead,
    ) -> Result<Admitted<'a>, Refusal> {
        let host = parts
            .headers
            .get(HOST)
            .and_then(|h| h.to_str().ok())
            .or_else(|| parts.uri.authority().map(|a| a.as_str()))
            .unwrap_or_default();
        let key = table
            .find(host, parts.uri.path())
            .ok_or_else(|| Refusal::not_run(Code::NoSuchRoute, "no route matches"))?;
        let route = table.route(key);
        let organisation = head
            .key
            .as_ref()
            .and_then(|key| table.organisation_by_key.get(key))
            .and_then(|name| Some((name.clone(), table.organisations.get(name)?)));
        if organisation.is_none() && table.requires_api_key && !route.allow_anonymous {
            return Err(Refusal::not_run(Code::BadKey, "the key is unknown"));
        }
        let mut regions = Vec::new();
        for region in self.0.all_regions() {
            let home_regions = organisation
                .as_ref()
                .map(|(_, policy)| &policy.home_regions);
            if allows_region(&route.home_regions, region)
                && home_regions.is_none_or(|home_regions| allows_region(home_regions, region))
            {
                regions.push(region.clone());
            }
        }
        Ok(Admitted {
            route,
            organisation,
            regions,
        })
    }

    /// Chooses the service of a request. A stream that its caller takes up goes on at the service and
    /// the software version that began it.
    async fn destination(
        &self,
        admitted: &Admitted<'_>,
        head: &RequestHead,
    ) -> Result<Destination, Refusal> {
        let route = admitted.route;
        if !route.kind.is_stream() || head.resume_after.is_none() {
            let service = route.service(rand::random()).cloned();
            let no_service = || Refusal::not_run(Code::NoTarget, "the route has no service");
            return Ok(Destination {
                service: service.ok_or_else(no_service)?,
                software_version: None,
            });
        }
        let stream = stream_of(head);
        let origin = self
            .0
            .find_stream_origin(stream, route.only_service())
            .await;
        let version = origin.as_ref().map(|o| o.software_version.as_str());
        let refusal = match &origin {
            None => Some("it is not known which software version began the stream"),
            Some(origin) if !route.allows_service(&origin.service) => {
                Some("the route no longer leads to the service that began the stream")
            }
            Some(origin) => {
                let view = self.0.view();
                let capacity =
                    pool::capacity(&view, &origin.service, Some(&origin.software_version));
                let is_served = admitted.regions.iter().any(|r| capacity.contains_key(r));
                (!is_served).then_some("no target of the software version that began the stream")
            }
        };
        let outcome = if refusal.is_some() {
            "refused"
        } else {
            "goes_on"
        };
        metrics::counter!("limpetstand_streams_taken_up_total", "outcome" => outcome).increment(1);
        journal::line("taken_up")
            .text("request", &head.id)
            .text("stream", stream)
            .text("software_version", version.unwrap_or(""))
            .text("outcome", outcome);
        match (origin, refusal) {
            (Some(origin), None) => Ok(Destination {
                service: origin.service,
                software_version: Some(origin.software_version),
            }),
            (origin, why) => {
                let refusal = Refusal::not_run(Code::NoTarget, why.unwrap_or_default());
                // Only if the store could not be read may a later try succeed.
                let may_clear = origin.is_none() && self.0.follower.lacks_registry();
                Err(if may_clear {
                    refusal.retry_after(TAKE_UP_RETRY_AFTER)
                } else {
                    refusal
                })
            }
        }
    }

    async fn charge(
        &self,
        admitted: &Admitted<'_>,
        head: &RequestHead,
        deadline: Instant,
    ) -> Result<Charge, Refusal> {
        let Some((organisation, policy)) = &admitted.organisation else {
            return Ok(Charge::Free);
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left = time_left.min(MAX_CHARGE_TIME_LEFT);
        let cost = policy.cost(head.usage);
        let quota = &self.0.quota;
        quota.charge(organisation, policy, cost, time_left).await
    }

    fn refuse(
        &self,
        head: &RequestHead,
        refusal: &Refusal,
        version: Option<u64>,
        admitted: Option<&Admitted<'_>>,
    ) -> Response<ResponseBody> {
        let mut line = journal::line("refused").text("request", &head.id);
        if let Some(admitted) = admitted {
            line = line.text("route", admitted.route.name.as_str());
        }
        if let Some((organisation, policy)) = admitted.and_then(|a| a.organisation.as_ref()) {
            line = line
                .text("organisation", organisation.as_str())
                .value("cost", policy.cost(head.usage));
        }
        line.text("code", refusal.code().as_str())
            .text("ran", refusal.ran().as_str())
            .text("why", refusal.message())
            .value("version", version.unwrap_or(0))
            .value("retry_after_ms", refusal.retry_after_ms().unwrap_or(0));
        metrics::counter!("limpetstand_refusals_total", "code" => refusal.code().as_str())
            .increment(1);
        refusal_response(refusal, rand::random())
    }
}

/// Returns the priority of a request at targets, from 0 to 9.
///
/// The organisation's priority takes precedence; the route's priority orders the requests of one
/// organisation priority.
pub fn combined_priority(organisation: Option<u8>, route: u8) -> u8 {
    let Some(organisation) = organisation else {
        return route.min(LOWEST_PRIORITY);
    };
    let base = organisation.saturating_mul(ROUTE_PRIORITY_LEVELS);
    base.saturating_add(route.min(ROUTE_PRIORITY_LEVELS - 1))
        .min(LOWEST_PRIORITY)
}

/// Returns the id under which the origin of a request's stream is recorded: that of the request that
/// brought its first event.
fn stream_of(head: &RequestHead) -> &SmolStr {
    let taken_up = head.resume_after.as_ref().and(head.resumes.as_ref());
    taken_up.unwrap_or(&head.id)
}

/// Returns the path and query of a request.
fn path_of(parts: &http::request::Parts) -> String {
    let path = parts.uri.path_and_query();
    path.map_or("/", |p| p.as_str()).to_owned()
}

/// Creates the refusal of a request that a leaving instance does not take.
fn leaving_refusal() -> Refusal {
    Refusal::not_run(Code::Leaving, "the instance leaves").retry_after(LEAVING_RETRY_AFTER)
}

/// Begins the journal line of a request that has no answer when the instance gives up.
fn given_up_line(head: &RequestHead, ran: Ran) -> journal::Line {
    journal::line("given_up")
        .text("request", &head.id)
        .text("ran", ran.as_str())
}

fn join_region_names(regions: &[RegionId]) -> String {
    let names: Vec<&str> = regions.iter().map(RegionId::as_str).collect();
    names.join(",")
}

fn refusal_response(refusal: &Refusal, draw: f64) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(refusal_json(refusal)));
    let status = StatusCode::from_u16(refusal.status_by_ran());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    insert_header(headers, CONTENT_TYPE, "application/json");
    if refusal.ran() == Ran::No
        && let Some(wait) = refusal.retry_after_ms()
    {
        let wait = spread_retry_after(Duration::from_millis(wait), draw);
        insert_header(headers, RETRY_AFTER, &format!("{:.2}", wait.as_secs_f64()));
    }
    if matches!(refusal.code(), Code::TooLarge | Code::BadRequest) {
        // Unread bytes of the refused request may follow on the connection.
        insert_header(headers, CONNECTION, "close");
    }
    response
}

fn insert_header(headers: &mut HeaderMap, name: http::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns a body that consists of the given bytes.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

async fn read_body(
    mut body: Incoming,
    limits: &CallerLimits,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::not_run(Code::TooLarge, "the body is too large");
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(too_large());
    }
    let mut buf = BytesMut::new();
    loop {
        let frame = timeout(limits.idle_timeout, body.frame());
        let frame = match timeout_at(deadline, frame).await {
            Ok(Ok(Some(Ok(frame)))) => frame,
            Ok(Ok(None)) => return Ok(buf.freeze()),
            Ok(Ok(Some(Err(e)))) => {
                return Err(Refusal::not_run(Code::BadRequest, e.to_string()));
            }
            _ => {
                return Err(Refusal::not_run(
                    Code::NotReady,
                    "the body was not received in time",
                ));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limits.max_body_bytes {
            return Err(too_large());
        }
        buf.extend_from_slice(&data);
    }
}
