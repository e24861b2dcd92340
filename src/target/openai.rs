//! Client for model engines with the OpenAI HTTP API and vLLM's metrics.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use reqwest::{Response, StatusCode};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::answer_match::MissingId;
use super::connections::Connections;
use super::{
    CacheChange, CacheEvent, CacheEvents, EventSplitter, Incomplete, Load, Target, TargetAddress,
    TargetError, TargetPlugin, http, is_done_event,
};
use crate::call::{Answer, Call, Chunk, Operation};
use crate::id::RequestId;

/// Time limit for requesting a load report or cache events.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of events or chunks of one response buffered for a slow reader.
const MAX_BUFFERED_EVENTS: usize = 64;

inventory::submit!(TargetPlugin {
    name: "openai",
    make: |source| Arc::new(OpenAi::from_source(source)),
});

/// Client for model engines with the OpenAI HTTP API.
#[derive(Debug)]
struct OpenAi {
    connections: Connections,
}

impl OpenAi {
    fn from_source(source: Option<IpAddr>) -> Self {
        Self {
            connections: Connections::from_source(source),
        }
    }
}

#[async_trait]
impl Target for OpenAi {
    async fn send(
        &self,
        to: &TargetAddress,
        attempt: RequestId,
        call: &Call,
    ) -> Result<Answer, TargetError> {
        let Operation::Model { path, stream, .. } = &call.operation else {
            return Err(TargetError::NotSent(
                "a model engine cannot run a plain service request".to_owned(),
            ));
        };
        let url = http::url(to, path)?;
        let req = self
            .connections
            .for_call(to, call)
            .post(url)
            .header("content-type", "application/json")
            .headers(http::headers(attempt, call))
            .body(call.body.clone());
        let res = req.send().await.map_err(|e| http::classify_error(&e))?;
        check_status(res.status())?;
        http::check_request_id(&res, attempt, MissingId::Reject)?;
        let head = http::head(&res, to);
        if *stream && res.status().is_success() {
            return Ok(http::answer(head, MAX_BUFFERED_EVENTS, |tx| {
                forward_events(res, tx)
            }));
        }
        http::check_framing(&res)?;
        Ok(http::answer(head, MAX_BUFFERED_EVENTS, |tx| {
            http::forward_body(res, tx)
        }))
    }

    async fn load(&self, to: &TargetAddress) -> Option<Load> {
        let url = http::url(to, "/metrics").ok()?;
        let req = self.connections.pooled(to.address).get(url);
        let res = req.timeout(REPORT_TIMEOUT).send().await.ok()?;
        let text = res.error_for_status().ok()?.text().await.ok()?;
        Some(parse_load(&text))
    }

    async fn probe(&self, to: &TargetAddress) -> bool {
        http::probe(&self.connections.unpooled(), to, "/metrics").await
    }

    fn close_idle(&self, to: &TargetAddress) {
        self.connections.close_idle(to.address);
    }

    async fn cache_events(&self, to: &TargetAddress, after: u64) -> Option<CacheEvents> {
        let url = http::url(to, &format!("/cache_events?after={after}")).ok()?;
        let req = self.connections.pooled(to.address).get(url);
        let res = req.timeout(REPORT_TIMEOUT).send().await.ok()?;
        let wire: WireEvents = res.error_for_status().ok()?.json().await.ok()?;
        Some(wire.into())
    }
}

/// Returns an error for statuses that mean that the engine has rejected the request or failed.
fn check_status(status: StatusCode) -> Result<(), TargetError> {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(TargetError::Rejected(status.as_u16()))
        }
        s if s.is_server_error() => Err(TargetError::Failed(s.as_u16())),
        _ => Ok(()),
    }
}

/// Forwards complete events up to and including the event that ends the stream.
async fn forward_events(mut res: Response, tx: mpsc::Sender<Chunk>) {
    let mut splitter = EventSplitter::default();
    loop {
        let chunk = tokio::select! {
            chunk = res.chunk() => chunk,
            () = tx.closed() => return,
        };
        let bytes = match chunk {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return http::fail_body(&tx, &Incomplete::NoFinalEvent.to_string()).await,
            Err(e) => return http::fail_body(&tx, &e.to_string()).await,
        };
        if let Err(e) = splitter.push(&bytes) {
            return http::fail_body(&tx, &e.to_string()).await;
        }
        while let Some(event) = splitter.next_event() {
            let done = is_done_event(&event);
            if tx.send(Ok(event)).await.is_err() || done {
                return;
            }
        }
    }
}

/// Parses vLLM's load metrics from Prometheus text; missing metrics are 0.
pub(crate) fn parse_load(text: &str) -> Load {
    let mut load = Load::default();
    for line in text.lines() {
        let Some((name, value)) = parse_sample(line) else {
            continue;
        };
        match name {
            "vllm:num_requests_running" => load.running = to_count(value),
            "vllm:num_requests_waiting" => load.waiting = to_count(value),
            "vllm:kv_cache_usage_perc" => load.cache_usage = (value as f32).clamp(0.0, 1.0),
            _ => {}
        }
    }
    load
}

/// Parses a sample `name{labels} value` into name and value.
fn parse_sample(line: &str) -> Option<(&str, f64)> {
    if line.starts_with('#') {
        return None;
    }
    let (series, value) = line.trim().rsplit_once(' ')?;
    let name = series.split('{').next()?.trim();
    let value: f64 = value.parse().ok()?;
    value.is_finite().then_some((name, value))
}

fn to_count(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// The JSON of `GET /cache_events`.
#[derive(Debug, Deserialize)]
struct WireEvents {
    events: Vec<WireEvent>,
}

/// One event; `block` is a hash of 16 hexadecimal digits, absent if all blocks were removed.
#[derive(Debug, Deserialize)]
struct WireEvent {
    seq: u64,
    kind: WireKind,
    #[serde(default)]
    block: SmolStr,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireKind {
    Added,
    Evicted,
    Cleared,
}

impl From<WireEvents> for CacheEvents {
    /// Skips events with an invalid block hash, which leaves a gap in the sequence numbers.
    fn from(wire: WireEvents) -> Self {
        let mut events = Vec::with_capacity(wire.events.len());
        for event in wire.events {
            let block = u64::from_str_radix(&event.block, 16);
            let change = match (event.kind, block) {
                (WireKind::Added, Ok(hash)) => CacheChange::Stored(hash),
                (WireKind::Evicted, Ok(hash)) => CacheChange::Removed(hash),
                (WireKind::Cleared, _) => CacheChange::Cleared,
                (WireKind::Added | WireKind::Evicted, Err(_)) => continue,
            };
            events.push(CacheEvent {
                sequence: event.seq,
                change,
            });
        }
        Self { events }
    }
}
