//! The callers' side: admits requests and answers them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Incoming};
use smol_str::SmolStr;
use tokio::time::{Instant, timeout, timeout_at};

use super::Gateway;
use super::answer::{BodyError, frames};
use super::dialect::Asked;
use super::exchange::{STARTUP_WAIT, strip_hop_headers};
use super::job::Job;
use super::listen::Handler;
use super::quota::Charge;
use super::routes::{CallerLimits, Grant, Route, RouteTable, allows};
use crate::front::reply::refusal_json;
use crate::id::{OrganisationId, RegionId};
use crate::journal;
use crate::refusal::{Code, Ran, Refusal};

/// The body of an answer.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// Least time to come back after, where a limit is used up; a share comes in meanwhile.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A charge is made final as soon as a target answers, which takes no longer in ordinary load.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Callers who were refused together come back spread over this part more of their wait.
const RETRY_SPREAD: f64 = 0.5;

/// The last priority at targets.
const LAST_PRIORITY: u8 = 9;

/// Priorities of routes that are told apart within an organisation's.
const ROUTE_PRIORITIES: u8 = 3;

/// Counts a request in flight while it lives.
pub(super) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    pub(super) fn on(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Answers callers' requests.
pub(super) struct Callers(pub Arc<Gateway>);

#[async_trait]
impl Handler for Callers {
    async fn answer(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let guard = InFlight::on(&self.0.in_flight);
        let mut response = self.serve(req, guard).await;
        if self.0.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn limits(&self) -> CallerLimits {
        let world = self.0.world();
        world
            .table
            .as_ref()
            .map_or_else(CallerLimits::default, |t| t.limits)
    }
}

/// What the configuration says of a request.
struct Admitted<'a> {
    route: &'a Route,
    organisation: Option<(OrganisationId, &'a Grant)>,
    regions: Vec<RegionId>,
}

impl Callers {
    async fn serve(&self, req: Request<Incoming>, guard: InFlight) -> Response<AnswerBody> {
        let began = Instant::now();
        let (parts, body) = req.into_parts();
        let asked = self.0.dialect.read(&parts.headers);
        let Some(table) = self.table().await else {
            let refusal = Refusal::not_run(Code::NotReady, "no configuration is known yet");
            return self.refuse(&asked, &refusal, None, None);
        };
        let admitted = match self.admit(&table, &parts, &asked) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(&asked, &refusal, Some(table.version), None),
        };
        let mut deadline = began + admitted.route.timeout;
        if let Some(wait) = asked.deadline {
            deadline = deadline.min(began + wait);
        }
        let body = match read_body(body, &table.limits, deadline).await {
            Ok(body) => body,
            Err(refusal) => {
                return self.refuse(&asked, &refusal, Some(table.version), Some(&admitted));
            }
        };
        let service = admitted.route.service(rand::random());
        let Some(service) = service.cloned() else {
            let refusal = Refusal::not_run(Code::NoTarget, "the route has no service");
            return self.refuse(&asked, &refusal, Some(table.version), Some(&admitted));
        };
        let charge = match self.charge(&admitted, &asked, deadline).await {
            Ok(charge) => charge,
            Err(refusal) => {
                return self.refuse(&asked, &refusal, Some(table.version), Some(&admitted));
            }
        };
        journal::line("admitted")
            .text("request", &asked.id)
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
            .text("regions", &joined(&admitted.regions))
            .text("charged_to", charge.source());
        let mut job = self.job(parts, &asked, admitted, service, body, deadline);
        let outcome = timeout_at(deadline, self.0.dispatch(&mut job)).await;
        let reply = match outcome {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => {
                if failure.refusal.ran() == Ran::No {
                    charge.give_back();
                }
                return self.refuse(&asked, &failure.refusal, Some(table.version), None);
            }
            Err(_) => {
                let refusal = Refusal::unknown(Code::DeadlineExceeded, "the deadline passed");
                return self.refuse(&asked, &refusal, Some(table.version), None);
            }
        };
        charge.spend();
        journal::line("answered")
            .text("request", &asked.id)
            .text("target", reply.target.as_str())
            .value("status", reply.status.as_u16())
            .value("attempts", reply.attempts)
            .ms("took_ms", began.elapsed());
        let mut response = Response::new(());
        *response.status_mut() = reply.status;
        *response.headers_mut() = reply.headers.clone();
        let body = StreamBody::new(Box::pin(frames(Arc::clone(&self.0), job, reply, began)));
        response.map(|()| Guarded::new(guard, body).boxed_unsync())
    }

    fn job(
        &self,
        parts: http::request::Parts,
        asked: &Asked,
        admitted: Admitted<'_>,
        service: SmolStr,
        body: Bytes,
        deadline: Instant,
    ) -> Job {
        let route = admitted.route;
        let granted = admitted.organisation.as_ref().and_then(|(_, g)| g.priority);
        let mut headers = parts.headers;
        self.0.dialect.strip(&mut headers);
        strip_hop_headers(&mut headers);
        let path = parts.uri.path_and_query();
        Job {
            id: asked.id.clone(),
            route: route.name.clone(),
            kind: route.kind,
            service,
            organisation: admitted.organisation.map(|(o, _)| o),
            priority: combined_priority(granted, route.priority),
            max_attempts: route.max_attempts.max(1),
            attempts: 0,
            objective: route.objective,
            deadline,
            method: parts.method,
            path: path.map_or("/", |p| p.as_str()).to_owned(),
            headers,
            body,
            regions: admitted.regions,
            prompt: asked.prompt.clone(),
            resume_after: asked.resume_after.clone(),
            hops: 0,
        }
    }

    /// Returns the configuration in force; a starting instance waits for its first one and for
    /// the targets.
    async fn table(&self) -> Option<Arc<RouteTable>> {
        let mut world = self.0.world.clone();
        let known = world.wait_for(|world| world.table.is_some() && world.registry_loaded);
        // Without one the caller is refused, which says why.
        let _ = timeout(STARTUP_WAIT, known).await;
        self.0.world().table.clone()
    }

    /// Finds the route, the organisation and the regions that both allow.
    fn admit<'a>(
        &self,
        table: &'a RouteTable,
        parts: &http::request::Parts,
        asked: &Asked,
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
        let organisation = asked
            .key
            .as_ref()
            .and_then(|key| table.keys.get(key))
            .and_then(|name| Some((name.clone(), table.organisations.get(name)?)));
        if organisation.is_none() && table.keyed && !route.open {
            return Err(Refusal::not_run(Code::BadKey, "the key is unknown"));
        }
        let mut regions = Vec::new();
        for region in self.0.all_regions() {
            let homes = organisation.as_ref().map(|(_, grant)| &grant.homes);
            if allows(&route.homes, region) && homes.is_none_or(|homes| allows(homes, region)) {
                regions.push(region.clone());
            }
        }
        Ok(Admitted {
            route,
            organisation,
            regions,
        })
    }

    async fn charge(
        &self,
        admitted: &Admitted<'_>,
        asked: &Asked,
        deadline: Instant,
    ) -> Result<Charge, Refusal> {
        let Some((organisation, grant)) = &admitted.organisation else {
            return Ok(Charge::Free);
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left = time_left.min(HOLD_TIME);
        let bounds = self.0.bounds();
        self.0
            .quota
            .charge(
                organisation,
                grant,
                grant.cost(asked.usage),
                time_left,
                &bounds.tolerance,
                self.0.instances_everywhere(),
            )
            .await
    }

    fn refuse(
        &self,
        asked: &Asked,
        refusal: &Refusal,
        version: Option<u64>,
        admitted: Option<&Admitted<'_>>,
    ) -> Response<AnswerBody> {
        let mut line = journal::line("refused").text("request", &asked.id);
        if let Some(admitted) = admitted {
            line = line.text("route", admitted.route.name.as_str());
        }
        if let Some((organisation, grant)) = admitted.and_then(|a| a.organisation.as_ref()) {
            line = line
                .text("organisation", organisation.as_str())
                .value("cost", grant.cost(asked.usage));
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

/// Returns the priority at targets, from 0 to 9: the organisation's goes first, and the route's
/// decides among its requests.
pub fn combined_priority(organisation: Option<u8>, route: u8) -> u8 {
    let Some(organisation) = organisation else {
        return route.min(LAST_PRIORITY);
    };
    let first = organisation.saturating_mul(ROUTE_PRIORITIES);
    first
        .saturating_add(route.min(ROUTE_PRIORITIES - 1))
        .min(LAST_PRIORITY)
}

fn joined(regions: &[RegionId]) -> String {
    let names: Vec<&str> = regions.iter().map(RegionId::as_str).collect();
    names.join(",")
}

/// Returns the status of a refusal: a promise only if the request has not run.
pub fn status_of(refusal: &Refusal) -> u16 {
    match (refusal.code(), refusal.ran()) {
        (Code::DeadlineExceeded | Code::TargetFailed, Ran::No) => 503,
        (Code::Overloaded | Code::NoTarget, Ran::Unknown) => 502,
        (code, _) => code.status(),
    }
}

/// Returns when callers come back: not sooner than told, and spread.
pub fn come_back(wait: Duration, draw: f64) -> Duration {
    let wait = wait.max(MIN_RETRY_AFTER);
    wait + wait.mul_f64(draw * RETRY_SPREAD)
}

fn refusal_response(refusal: &Refusal, draw: f64) -> Response<AnswerBody> {
    let mut response = Response::new(whole(refusal_json(refusal)));
    let status = StatusCode::from_u16(status_of(refusal));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    put(headers, CONTENT_TYPE, "application/json");
    if refusal.ran() == Ran::No
        && let Some(wait) = refusal.retry_after_ms()
    {
        let wait = come_back(Duration::from_millis(wait), draw);
        put(headers, RETRY_AFTER, &format!("{:.2}", wait.as_secs_f64()));
    }
    if matches!(refusal.code(), Code::TooLarge | Code::BadRequest) {
        // What follows on the connection may be a part of the request.
        put(headers, CONNECTION, "close");
    }
    response
}

fn put(headers: &mut HeaderMap, name: http::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns a body of these bytes.
pub(super) fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that drops a guard when it ends.
pub(super) struct Guarded<G, B> {
    _guard: G,
    body: B,
}

impl<G, B> Guarded<G, B> {
    pub(super) fn new(guard: G, body: B) -> Self {
        Self {
            _guard: guard,
            body,
        }
    }
}

impl<G, B> hyper::body::Body for Guarded<G, B>
where
    G: Unpin,
    B: hyper::body::Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, BodyError>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
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
                    "the body did not come in time",
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
