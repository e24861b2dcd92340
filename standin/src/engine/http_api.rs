//! The engine's HTTP interface.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::body::{Body, Bytes};
use axum::extract::{Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures_util::stream;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::batch::Job;
use super::text::{GenerationRequest, count_words, parse_request, text_hash, token, tokens};
use super::{Order, Run, Shared, Silence};
use crate::server::no_answer;

/// Time between the arrival of a poisonous request and the crash of the engine.
const POISON_DELAY: Duration = Duration::from_millis(20);

pub(super) fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(completions))
        .route("/v1/models", get(models))
        .route("/metrics", get(metrics))
        .route("/cache_events", get(cache_events))
        .route("/load_model", post(load_model))
        .route("/v1/load_lora_adapter", post(load_adapter))
        .route("/v1/unload_lora_adapter", post(unload_adapter))
        .with_state(Arc::clone(shared))
}

async fn chat(state: State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    complete(state.0, true, &headers, body).await
}

async fn completions(state: State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    complete(state.0, false, &headers, body).await
}

async fn complete(shared: Arc<Shared>, chat: bool, headers: &HeaderMap, body: Bytes) -> Response {
    let parsed: Option<Value> = serde_json::from_slice(&body).ok();
    let Some(request) = parsed.and_then(|v| parse_request(chat, &v)) else {
        return error_response(StatusCode::BAD_REQUEST, "malformed request");
    };
    if !shared.lock().models.contains_key(&request.model) {
        return error_response(StatusCode::NOT_FOUND, "the model does not exist");
    }
    let generated = record_run(&shared, &request, headers, &body);
    if let Some(down) = poison_downtime(&shared, &body) {
        tokio::time::sleep(POISON_DELAY).await;
        shared.crash(down);
        return no_answer();
    }
    let (tx, rx) = mpsc::unbounded_channel();
    let request_id = header_text(headers, "x-request-id").unwrap_or_default();
    let (prompt_hash, request_id) = {
        let mut inner = shared.lock();
        inner.batch.add(Job::new(&request, tx, generated));
        let this_request = (text_hash(&request.prompt), request_id);
        if inner.misdirect_next > 0 {
            inner.misdirect_next -= 1;
            std::mem::replace(&mut inner.previous_request, this_request)
        } else {
            inner.previous_request = this_request.clone();
            this_request
        }
    };
    shared.wake.notify_one();
    let answer = Generation {
        prompt_tokens: count_words(&request.prompt) + request.resume_from,
        id: format!("cmpl-{request_id}"),
        shared,
        chat,
        request,
        prompt_hash,
        rx,
    };
    let mut resp = if answer.request.stream {
        answer.stream_response()
    } else {
        answer.complete_response().await
    };
    if let Ok(id) = header::HeaderValue::from_str(&request_id) {
        resp.headers_mut().insert("x-request-id", id);
    }
    resp
}

/// Adds a request to the runs, and returns the counter of its generated tokens.
fn record_run(
    shared: &Shared,
    request: &GenerationRequest,
    headers: &HeaderMap,
    body: &[u8],
) -> Arc<AtomicUsize> {
    let generated = Arc::new(AtomicUsize::new(0));
    let mut inner = shared.lock();
    let leaked_key = contains_secret(&inner.secrets, headers, body);
    inner.wrong_resumes += u64::from(!request.resumes_own_answer);
    inner.runs.push(Run {
        request_id: header_text(headers, "x-request-id"),
        organisation: header_text(headers, "limpetstand-organisation"),
        prompt_hash: text_hash(&request.prompt),
        at: Instant::now(),
        prompt_tokens: count_words(&request.prompt),
        resume_from: request.resume_from,
        generated: Arc::clone(&generated),
        leaked_key,
        region: shared.region.clone(),
    });
    generated
}

/// Returns whether a request has an `Authorization` header or contains one of the secrets.
pub(crate) fn contains_secret(secrets: &[String], headers: &HeaderMap, body: &[u8]) -> bool {
    if headers.contains_key(header::AUTHORIZATION) {
        return true;
    }
    let contains = |bytes: &[u8], secret: &str| {
        let secret = secret.as_bytes();
        bytes.windows(secret.len()).any(|w| w == secret)
    };
    for secret in secrets {
        if secret.is_empty() {
            continue;
        }
        if contains(body, secret) || headers.values().any(|v| contains(v.as_bytes(), secret)) {
            return true;
        }
    }
    false
}

fn poison_downtime(shared: &Shared, body: &[u8]) -> Option<Duration> {
    let inner = shared.lock();
    let (marker, down) = inner.poison.as_ref()?;
    let found = String::from_utf8_lossy(body).contains(marker.as_str());
    found.then_some(*down)
}

/// An answer that is being generated.
struct Generation {
    shared: Arc<Shared>,
    chat: bool,
    request: GenerationRequest,
    prompt_hash: u64,
    prompt_tokens: usize,
    id: String,
    rx: mpsc::UnboundedReceiver<usize>,
}

impl Generation {
    /// Waits while the engine is silent and returns the index of the next token; `None` at the end.
    async fn next(&mut self, sent: usize) -> Option<usize> {
        let silent = move |s: &Option<Silence>| match s {
            None => false,
            Some(Silence::Answers) => true,
            Some(Silence::AfterTokens(n)) => sent >= *n,
        };
        let mut silence = self.shared.silence.subscribe();
        silence.wait_for(|s| !silent(s)).await.ok()?;
        self.rx.recv().await
    }

    async fn complete_response(mut self) -> Response {
        let mut sent = 0;
        while self.next(sent).await.is_some() {
            sent += 1;
        }
        if sent < self.request.max_tokens {
            return no_answer();
        }
        let text = tokens(self.prompt_hash, self.request.resume_from, sent);
        let choice = if self.chat {
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "length",
            })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let mut v = self.envelope(if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        });
        v["choices"] = json!([choice]);
        v["usage"] = self.usage(sent);
        Json(v).into_response()
    }

    fn stream_response(self) -> Response {
        let events = stream::unfold(
            (self, 0, StreamState::Tokens),
            |(mut answer, sent, stage)| async move {
                match stage {
                    StreamState::Tokens => match answer.next(sent).await {
                        Some(i) => {
                            let event = answer.token_event(i);
                            Some((Ok(event), (answer, sent + 1, StreamState::Tokens)))
                        }
                        None if sent < answer.request.max_tokens => {
                            let aborted = io::Error::from(io::ErrorKind::ConnectionAborted);
                            Some((Err(aborted), (answer, sent, StreamState::Ended)))
                        }
                        None => {
                            let mut end = answer.end_event(sent);
                            end.push_str("data: [DONE]\n\n");
                            Some((Ok(end), (answer, sent, StreamState::Ended)))
                        }
                    },
                    StreamState::Ended => None,
                }
            },
        );
        let mut resp = Response::new(Body::from_stream(events));
        let event_stream = header::HeaderValue::from_static("text/event-stream");
        resp.headers_mut()
            .insert(header::CONTENT_TYPE, event_stream);
        resp
    }

    fn token_event(&self, i: usize) -> String {
        let text = token(self.prompt_hash, i);
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": null })
        };
        let mut v = self.envelope(self.chunk_kind());
        v["choices"] = json!([choice]);
        format!("data: {v}\n\n")
    }

    fn end_event(&self, sent: usize) -> String {
        let choice = if self.chat {
            json!({ "index": 0, "delta": {}, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": "length" })
        };
        let mut v = self.envelope(self.chunk_kind());
        v["choices"] = json!([choice]);
        v["usage"] = self.usage(sent);
        format!("data: {v}\n\n")
    }

    fn chunk_kind(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn envelope(&self, object: &str) -> Value {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        json!({
            "id": self.id,
            "object": object,
            "created": since.map_or(0, |d| d.as_secs()),
            "model": self.request.model,
        })
    }

    fn usage(&self, sent: usize) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": sent,
            "total_tokens": self.prompt_tokens + sent,
        })
    }
}

/// State of a streamed answer.
enum StreamState {
    Tokens,
    Ended,
}

async fn models(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let inner = shared.lock();
    let mut data = Vec::new();
    for name in inner.models.keys().chain(&inner.adapters) {
        data.push(json!({ "id": name, "object": "model", "created": 0, "owned_by": "stand-in" }));
    }
    Json(json!({ "object": "list", "data": data }))
}

async fn metrics(State(shared): State<Arc<Shared>>) -> Response {
    let mut silence = shared.silence.subscribe();
    let answering = silence.wait_for(|s| *s != Some(Silence::Answers)).await;
    if answering.is_err() {
        return no_answer();
    }
    let inner = shared.lock();
    let load = inner.batch.load(inner.report_lag);
    let mut text = String::new();
    let lines = [
        ("vllm:num_requests_running", load.running as f64),
        ("vllm:num_requests_waiting", load.waiting as f64),
        ("vllm:kv_cache_usage_perc", load.cache),
    ];
    for (name, value) in lines {
        text.push_str(&format!("# TYPE {name} gauge\n{name} {value}\n"));
    }
    text.into_response()
}

#[derive(Debug, Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(
    State(shared): State<Arc<Shared>>,
    query: Query<CacheEventsQuery>,
) -> Json<Value> {
    let inner = shared.lock();
    Json(
        inner
            .batch
            .cache
            .events_after(query.after, inner.events_lag),
    )
}

#[derive(Debug, Deserialize)]
struct LoadModel {
    model: String,
    version: String,
    fencing: u64,
}

async fn load_model(State(shared): State<Arc<Shared>>, Json(req): Json<LoadModel>) -> Response {
    let (load_time, followed) = {
        let mut inner = shared.lock();
        let stale = req.fencing < inner.greatest_fencing;
        let followed = !(stale && inner.refuses_stale_orders);
        inner.greatest_fencing = inner.greatest_fencing.max(req.fencing);
        inner.orders.push(Order {
            model: req.model.clone(),
            version: req.version.clone(),
            fencing: req.fencing,
            stale,
            followed,
        });
        (inner.load_time, followed)
    };
    if !followed {
        return error_response(StatusCode::CONFLICT, "the fencing number is old");
    }
    tokio::time::sleep(load_time).await;
    shared.lock().models.insert(req.model, req.version);
    Json(json!({})).into_response()
}

#[derive(Debug, Deserialize)]
struct Adapter {
    lora_name: String,
}

async fn load_adapter(State(shared): State<Arc<Shared>>, Json(req): Json<Adapter>) -> Response {
    let mut inner = shared.lock();
    if !inner.adapters.contains(&req.lora_name) {
        inner.adapters.push(req.lora_name);
    }
    Json(json!({})).into_response()
}

async fn unload_adapter(State(shared): State<Arc<Shared>>, Json(req): Json<Adapter>) -> Response {
    shared.lock().adapters.retain(|a| *a != req.lora_name);
    Json(json!({})).into_response()
}

pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn error_response(status: StatusCode, message: &str) -> Response {
    let error =
        json!({ "message": message, "type": "invalid_request_error", "code": status.as_u16() });
    (status, Json(json!({ "error": error }))).into_response()
}
