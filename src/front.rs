//! The HTTP interface for callers.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Query, Request, State};
use axum::response::Response;
use axum::routing::{any, get, post};
use bytes::Bytes;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::call::{Call, Dispatch, Operation};
use crate::config::{ConfigAge, Snapshot};
use crate::departure::{Departure, given_up};
use crate::entries;
use crate::front::admission::Admission;
use crate::front::headers::RequestOptions;
use crate::front::outcome::OutcomeRecorder;
use crate::front::relay::Relay;
use crate::front::reply::ResponseContext;
use crate::id::{InstanceId, ModelId, RegionId, RequestId};
use crate::in_flight::{InFlight, InFlightGuard};
use crate::limit::{Hold, Limiter};
use crate::member::{Fleet, Health};
use crate::refusal::{Code, Ran, Refusal};
use crate::report::Recorder;
use crate::request_body::read_bounded;
use crate::settings::FrontSettings;

pub mod admission;
pub mod body;
pub mod headers;
mod outcome;
mod relay;
pub mod reply;
pub mod serve;
pub mod usage;

/// Retry delay sent by an instance that is shutting down; the caller retries on another instance.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry delay sent when the instance is at its limit of requests in flight.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The dependencies and settings of a [`Front`].
pub struct FrontParts {
    /// This instance.
    pub instance: InstanceId,
    /// The region of this instance.
    pub region: RegionId,
    /// Limits and defaults for requests.
    pub settings: FrontSettings,
    /// The configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The age of the configuration in force.
    pub config_age: ConfigAge,
    /// How far the instance is in leaving; new requests are refused once it has begun.
    pub departure: watch::Receiver<Departure>,
    /// The fleet as this instance knows it.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// The rate limiter of the organisations.
    pub limiter: Arc<dyn Limiter>,
    /// Runs admitted requests on targets.
    pub dispatch: Arc<dyn Dispatch>,
    /// Records the outcome of each request for the report.
    pub recorder: Arc<Recorder>,
}

/// The HTTP interface of one instance for callers.
pub struct Front {
    parts: FrontParts,
    in_flight: InFlight,
}

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Debug, Serialize)]
struct ModelItem {
    id: ModelId,
    object: &'static str,
    owned_by: &'static str,
}

impl Front {
    /// Creates the interface without serving it; see [`Self::router`].
    pub fn new(parts: FrontParts) -> Arc<Self> {
        Arc::new(Self {
            parts,
            in_flight: InFlight::default(),
        })
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.count()
    }

    /// Returns the HTTP routes of the interface.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(model))
            .route("/v1/completions", post(model))
            .route("/v1/models", get(models))
            .route("/v1/entries", get(list_entries))
            .route("/healthz", get(health))
            .route("/service/{route}", any(service))
            .route("/service/{route}/{*rest}", any(service))
            .fallback(not_found)
            .method_not_allowed_fallback(not_found)
            .with_state(Arc::clone(self))
    }

    /// Counts a new request as in flight, or refuses the request if the instance is leaving or has
    /// reached the limit of requests in flight.
    fn begin_request(self: &Arc<Self>) -> Result<InFlightGuard, Refusal> {
        if self.parts.departure.borrow().is_leaving() {
            return Err(self.leaving_refusal("this instance is shutting down"));
        }
        let guard = self
            .in_flight
            .track_below(self.parts.settings.max_in_flight);
        guard.ok_or_else(|| {
            let refusal = Refusal::not_run(
                Code::Overloaded,
                "this instance has reached its limit of requests in flight",
            );
            self.suggest_instance(refusal.retry_after(OVERLOADED_RETRY_AFTER))
        })
    }

    /// Returns the refusal of a request that has not run because the instance leaves.
    fn leaving_refusal(&self, message: &str) -> Refusal {
        let refusal = Refusal::not_run(Code::Leaving, message);
        self.suggest_instance(refusal.retry_after(LEAVING_RETRY_AFTER))
    }

    /// Waits for a step that precedes all attempts, unless the instance gives up before.
    async fn unless_given_up<T>(
        &self,
        step: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            outcome = step => outcome,
            () = given_up(&self.parts.departure) => {
                Err(self.leaving_refusal("this instance shut down before the request was sent"))
            }
        }
    }

    /// Adds the address of another live instance to a refusal, preferably one of this region.
    fn suggest_instance(&self, refusal: Refusal) -> Refusal {
        let fleet = self.parts.fleet.borrow();
        let mut other = None;
        for member in &fleet.members {
            if member.id == self.parts.instance || member.health != Health::Live {
                continue;
            }
            if other.is_none() || member.region == self.parts.region {
                other = Some(member.front);
            }
        }
        match other {
            Some(front) => refusal.use_instance(front.to_string()),
            None => refusal,
        }
    }

    fn response_context(&self) -> ResponseContext {
        ResponseContext {
            request: RequestId::random(),
            instance: self.parts.instance.clone(),
        }
    }

    /// Calls `check` with an [`Admission`] of the current configuration and fleet.
    fn admit<T>(&self, check: impl FnOnce(&Admission<'_>) -> T) -> T {
        let snapshot = Arc::clone(&self.parts.snapshot.borrow());
        let fleet = Arc::clone(&self.parts.fleet.borrow());
        check(&Admission {
            snapshot: &snapshot,
            fleet: &fleet,
            config_age: (self.parts.config_age)(),
            settings: &self.parts.settings,
        })
    }

    async fn read_body(&self, body: Body) -> Result<Bytes, Refusal> {
        let max_bytes = self.parts.settings.max_body_bytes;
        let read_timeout = Duration::from_millis(self.parts.settings.read_timeout_ms);
        let read = timeout(read_timeout, read_bounded(body, max_bytes))
            .await
            .map_err(|_| {
                Refusal::not_run(Code::BadRequest, "timed out reading the request body")
            })?;
        let body = read.map_err(|e| {
            Refusal::not_run(
                Code::BadRequest,
                format!("failed to read the request body: {e}"),
            )
        })?;
        if body.len() > max_bytes {
            return Err(Refusal::not_run(
                Code::TooLarge,
                format!("request body exceeds {max_bytes} bytes"),
            ));
        }
        Ok(body)
    }

    /// Reserves the request's tokens with the limiter; requests without an organisation are free.
    async fn charge(&self, call: &Call) -> Result<Option<Hold>, Refusal> {
        let Some(organisation) = &call.organisation else {
            return Ok(None);
        };
        let limiter = &self.parts.limiter;
        limiter
            .admit(organisation, call.tokens, call.time_left)
            .await
            .map(Some)
    }

    /// Charges an admitted request to its organisation, runs it and returns its response.
    async fn run(
        self: &Arc<Self>,
        call: Call,
        guard: InFlightGuard,
        context: &ResponseContext,
    ) -> Result<Response, Refusal> {
        let outcome = OutcomeRecorder::new(&call, Arc::clone(&self.parts.recorder));
        let hold = match self.unless_given_up(self.charge(&call)).await {
            Ok(hold) => hold,
            Err(refusal) => {
                outcome.refused(refusal.code());
                return Err(refusal);
            }
        };
        let relay = Relay::new(&call, hold, outcome, guard);
        match self.parts.dispatch.dispatch(call).await {
            Ok(answer) => relay.answer(answer, context).await,
            Err(refusal) => {
                relay.refused(&refusal);
                if refusal.code() == Code::Leaving && refusal.ran() == Ran::No {
                    return Err(self.leaving_refusal(refusal.message()));
                }
                Err(refusal)
            }
        }
    }

    async fn handle_model(
        self: &Arc<Self>,
        req: Request,
        context: &ResponseContext,
    ) -> Result<Response, Refusal> {
        let guard = self.begin_request()?;
        let path = req.uri().path().to_owned();
        let options = RequestOptions::parse(req.headers())?;
        let body = self
            .unless_given_up(self.read_body(req.into_body()))
            .await?;
        let call = self.admit(|a| a.model(context.request, &path, &options, body))?;
        self.run(call, guard, context).await
    }

    async fn handle_service(
        self: &Arc<Self>,
        req: Request,
        context: &ResponseContext,
    ) -> Result<Response, Refusal> {
        let guard = self.begin_request()?;
        let options = RequestOptions::parse(req.headers())?;
        let (route, operation) = service_operation(&req)?;
        let body = self
            .unless_given_up(self.read_body(req.into_body()))
            .await?;
        let call = self.admit(|a| a.service(context.request, &route, operation, &options, body))?;
        self.run(call, guard, context).await
    }
}

/// Splits `/service/{route}/{rest}` into the route name and the request for the service.
fn service_operation(req: &Request) -> Result<(String, Operation), Refusal> {
    let path = req
        .uri()
        .path()
        .strip_prefix("/service/")
        .unwrap_or_default();
    let (route, rest) = path.split_once('/').unwrap_or((path, ""));
    let mut target_path = format!("/{rest}");
    if let Some(query) = req.uri().query() {
        target_path.push('?');
        target_path.push_str(query);
    }
    let content_type = match req.headers().get(http::header::CONTENT_TYPE) {
        None => None,
        Some(value) => {
            let text = value.to_str().map_err(|_| {
                Refusal::not_run(
                    Code::BadRequest,
                    "invalid header `content-type`: expected visible ASCII text",
                )
            })?;
            Some(text.to_owned())
        }
    };
    let operation = Operation::Service {
        method: req.method().as_str().to_owned(),
        path: target_path,
        content_type,
    };
    Ok((route.to_owned(), operation))
}

fn finish(outcome: Result<Response, Refusal>, context: &ResponseContext) -> Response {
    match outcome {
        Ok(response) => {
            metrics::counter!("limpetstand_requests_total", "outcome" => "answered").increment(1);
            response
        }
        Err(refusal) => {
            let code = refusal.code().as_str();
            metrics::counter!("limpetstand_requests_total", "outcome" => code).increment(1);
            reply::refuse(&refusal, context)
        }
    }
}

async fn model(State(front): State<Arc<Front>>, req: Request) -> Response {
    let context = front.response_context();
    let outcome = front.handle_model(req, &context).await;
    finish(outcome, &context)
}

async fn service(State(front): State<Arc<Front>>, req: Request) -> Response {
    let context = front.response_context();
    let outcome = front.handle_service(req, &context).await;
    finish(outcome, &context)
}

async fn models(State(front): State<Arc<Front>>, req: Request) -> Response {
    let context = front.response_context();
    let outcome = RequestOptions::parse(req.headers()).and_then(|o| front.admit(|a| a.models(&o)));
    match outcome {
        Ok(models) => json_response(&ModelList {
            object: "list",
            data: models
                .into_iter()
                .map(|id| ModelItem {
                    id,
                    object: "model",
                    owned_by: "limpetstand",
                })
                .collect(),
        }),
        Err(refusal) => finish(Err(refusal), &context),
    }
}

/// The query of `GET /v1/entries`; the region defaults to the region of this instance.
#[derive(Debug, serde::Deserialize)]
struct EntriesQuery {
    region: Option<RegionId>,
}

async fn list_entries(
    State(front): State<Arc<Front>>,
    Query(query): Query<EntriesQuery>,
) -> Response {
    let region = query.region.unwrap_or_else(|| front.parts.region.clone());
    let fleet = Arc::clone(&front.parts.fleet.borrow());
    let own = &front.parts.instance;
    json_response(&entries::entries_for(&fleet, own, &region, rand::random()))
}

async fn health(State(front): State<Arc<Front>>) -> Response {
    let context = front.response_context();
    let ready = front.parts.snapshot.borrow().revision.0 > 0;
    if front.parts.departure.borrow().is_leaving() {
        return reply::refuse(
            &Refusal::not_run(Code::Leaving, "this instance is shutting down"),
            &context,
        );
    }
    if !ready {
        return reply::refuse(
            &Refusal::not_run(Code::NotReady, "this instance has no configuration yet"),
            &context,
        );
    }
    Response::new(Body::from("ready\n"))
}

async fn not_found(State(front): State<Arc<Front>>) -> Response {
    let context = front.response_context();
    let refusal = Refusal::not_run(Code::NoSuchRoute, "no such path or method");
    reply::refuse(&refusal, &context)
}

fn json_response<T: Serialize>(value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
