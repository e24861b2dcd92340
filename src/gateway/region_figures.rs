//! Asks other regions how long requests wait there and what their prompts cost the streams that run
//! there, and answers such questions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::dialect::PromptPart;
use super::job::Job;
use super::pool::{self, Demand};
use super::{Gateway, lock};
use crate::id::RegionId;
use crate::peer::{PeerError, PeerHandler, decode, decode_named, encode, encode_named};

/// Maximum age of what another region has told.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Cost of a request in this region, in milliseconds, above which other regions are asked.
const ASK_THRESHOLD_MS: f64 = 150.0;

/// Minimum time between two questions about a service.
const ASK_PERIOD: Duration = Duration::from_millis(400);

/// Timeout of a question to an instance of another region.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// The kind of peer messages that ask for the expected wait alone, for instances of older builds.
const WAIT_KIND: &str = "wait";

/// The kind of peer messages that ask what a prompt costs.
const ROOM_KIND: &str = "room";

/// Asks what a prompt costs in another region.
#[derive(Debug, Serialize, Deserialize)]
struct WireRoomQuestion {
    service: SmolStr,
    /// Prompt tokens that a target of the region would read.
    tokens: u32,
}

/// What a prompt costs in a region.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct WireRoom {
    /// The shortest expected wait, in milliseconds; `None` if no target takes requests.
    #[serde(default)]
    wait_ms: Option<f64>,
    /// The delay of the streams that a target stalls while it reads, in milliseconds for each token.
    #[serde(default)]
    stall_ms_per_token: f64,
}

/// What another region has told of its targets of a service.
#[derive(Debug, Clone, Copy)]
struct Figure {
    at: Duration,
    wait_ms: f64,
    stall_ms_per_token: f64,
}

/// What other regions have told, and the time of the latest question about each service.
#[derive(Debug, Default)]
pub(super) struct RegionFigures {
    told: HashMap<(RegionId, SmolStr), Figure>,
    asked_at: HashMap<SmolStr, Duration>,
}

/// What is known of other regions for one request, in milliseconds by region.
#[derive(Debug, Default)]
pub(super) struct RegionCosts {
    /// The expected waits.
    pub wait_ms: HashMap<RegionId, f64>,
    /// What the request costs there beyond its wait.
    pub added_cost_ms: HashMap<RegionId, f64>,
}

impl Gateway {
    /// Records a wait that a scheduler of this region, or another region, has told with an answer.
    pub(super) fn record_remote_wait(
        &self,
        region: &RegionId,
        service: &SmolStr,
        wait_ms: Option<f64>,
    ) {
        let Some(wait_ms) = wait_ms else {
            return;
        };
        let key = (region.clone(), service.clone());
        let mut figures = lock(&self.region_figures);
        let known = figures.told.get(&key);
        let figure = Figure {
            at: self.clock.now(),
            wait_ms,
            stall_ms_per_token: known.map_or(0.0, |k| k.stall_ms_per_token),
        };
        figures.told.insert(key, figure);
    }

    /// Returns what a request costs in the regions that have told it within the last [`MAX_AGE`].
    pub(super) fn region_costs(&self, job: &Job) -> RegionCosts {
        let now = self.clock.now();
        let (own, shared) = tokens_to_read(&job.prompt);
        let shared_ms = self.prefill.time(shared.into()).as_secs_f64() * 1_000.0;
        let mut costs = RegionCosts::default();
        for ((region, service), figure) in &lock(&self.region_figures).told {
            if *service != job.service || figure.at + MAX_AGE <= now {
                continue;
            }
            let stall_ms = figure.stall_ms_per_token * f64::from(own.saturating_add(shared));
            costs.wait_ms.insert(region.clone(), figure.wait_ms);
            costs
                .added_cost_ms
                .insert(region.clone(), shared_ms + stall_ms);
        }
        costs
    }

    /// Asks a random scheduler of each other region what prompts cost there, if the request costs much
    /// in this region.
    pub(super) fn ask_regions(self: &Arc<Self>, job: &Job, own_cost_ms: f64) {
        if own_cost_ms < ASK_THRESHOLD_MS {
            return;
        }
        let now = self.clock.now();
        {
            let mut figures = lock(&self.region_figures);
            let asked_at = figures.asked_at.get(&job.service).copied();
            if asked_at.is_some_and(|at| at + ASK_PERIOD > now) {
                return;
            }
            figures.asked_at.insert(job.service.clone(), now);
        }
        let (own, shared) = tokens_to_read(&job.prompt);
        for region in &self.regions {
            if *region == self.region {
                continue;
            }
            let peers = self.schedulers_of(region);
            if peers.is_empty() {
                continue;
            }
            let peer = peers[rand::random_range(0..peers.len())];
            let question = WireRoomQuestion {
                service: job.service.clone(),
                tokens: own.saturating_add(shared),
            };
            let gateway = Arc::clone(self);
            tokio::spawn(gateway.ask_region(peer, region.clone(), question));
        }
    }

    async fn ask_region(
        self: Arc<Self>,
        peer: SocketAddr,
        region: RegionId,
        question: WireRoomQuestion,
    ) {
        // If the region does not answer, what it has told before stays in use until it expires.
        let Ok(room) = self.exchange_room(peer, &question).await else {
            return;
        };
        let Some(wait_ms) = room.wait_ms else {
            return;
        };
        let figure = Figure {
            at: self.clock.now(),
            wait_ms,
            stall_ms_per_token: room.stall_ms_per_token,
        };
        let key = (region, question.service);
        lock(&self.region_figures).told.insert(key, figure);
    }

    /// Asks an instance of another region, in the way that its build knows.
    async fn exchange_room(
        &self,
        peer: SocketAddr,
        question: &WireRoomQuestion,
    ) -> Result<WireRoom, PeerError> {
        let now = self.clock.now();
        if lock(&self.unknown_kinds).may_know(now, peer, ROOM_KIND) {
            let body = encode_named(question)?;
            match self.peers.ask(peer, ROOM_KIND, body, ASK_TIMEOUT).await {
                Err(PeerError::UnknownKind(kind)) => {
                    lock(&self.unknown_kinds).record(now, peer, kind);
                }
                answer => return decode_named(&answer?),
            }
        }
        let body = encode(&question.service)?;
        let answer = self.peers.ask(peer, WAIT_KIND, body, ASK_TIMEOUT).await?;
        Ok(WireRoom {
            wait_ms: decode(&answer)?,
            stall_ms_per_token: 0.0,
        })
    }

    /// Returns the shortest expected wait of a request without a prompt in this region, in
    /// milliseconds: at the targets that this instance schedules, or else as a scheduler has lately
    /// told it.
    pub(super) fn min_wait(&self, service: &SmolStr) -> Option<f64> {
        if let Some(quote) = self.best_scheduled(service, &[]) {
            return Some(quote.wait_ms);
        }
        let now = self.clock.now();
        let key = (self.region.clone(), service.clone());
        let told = lock(&self.region_figures).told.get(&key).copied();
        if let Some(figure) = told.filter(|f| f.at + MAX_AGE > now) {
            return Some(figure.wait_ms);
        }
        self.query_pool(Demand::of_service(service), |pool, now, view, query| {
            pool.evaluate(now, view, &self.region, query, rand::random)
        })
        .map(|choice| choice.wait_ms)
    }

    /// Returns what a prompt costs at the targets that this instance schedules.
    fn room(&self, question: &WireRoomQuestion) -> WireRoom {
        let prompt = [PromptPart {
            id: rand::random(),
            tokens: question.tokens,
        }];
        let Some(quote) = self.best_scheduled(&question.service, &prompt) else {
            return WireRoom {
                wait_ms: self.min_wait(&question.service),
                ..WireRoom::default()
            };
        };
        WireRoom {
            wait_ms: Some(quote.wait_ms),
            stall_ms_per_token: quote.added_ms / f64::from(question.tokens.max(1)),
        }
    }
}

/// Returns the tokens of the request's own part, and those of shared parts that another region's
/// targets are assumed not to hold. So many requests share the first part that every target holds it.
fn tokens_to_read(prompt: &[PromptPart]) -> (u32, u32) {
    let own = prompt.last().map_or(0, |part| part.tokens);
    let mut shared = 0_u32;
    for part in pool::shared_parts(prompt).iter().skip(1) {
        shared = shared.saturating_add(part.tokens);
    }
    (own, shared)
}

/// Answers questions of older builds for the expected wait.
pub(super) struct WaitHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for WaitHandler {
    fn kind(&self) -> &'static str {
        WAIT_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let service: SmolStr = decode(&body)?;
        encode(&self.0.min_wait(&service))
    }
}

/// Answers questions for what a prompt costs in this region.
pub(super) struct RoomHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for RoomHandler {
    fn kind(&self) -> &'static str {
        ROOM_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let question: WireRoomQuestion = decode_named(&body)?;
        encode_named(&self.0.room(&question))
    }
}
