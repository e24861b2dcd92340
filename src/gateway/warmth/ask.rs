//! Asks targets whether they are cold, and tells schedulers which are.

use std::time::Duration;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{COLD_TIME, Warmth, hears_others};
use crate::gateway::Gateway;
use crate::gateway::pool::Choice;
use crate::gateway::registry::KnownTarget;
use crate::gateway::target_attempt::keep_alive_after;
use crate::gateway::target_query::MAX_ANSWER_BYTES;
use crate::id::TargetId;
use crate::journal;

/// A target that an instance knows as cold, as encoded between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(in crate::gateway) struct WireCold {
    pub(in crate::gateway) target: TargetId,
    /// When the target's process started, in milliseconds of Unix time.
    pub(in crate::gateway) started_unix_ms: u64,
    /// How much longer the target counts as cold.
    pub(in crate::gateway) left_ms: u32,
}

impl Gateway {
    /// Whether this instance hears at once when a target becomes cold.
    pub(in crate::gateway) fn has_current_news(&self) -> bool {
        hears_others(&self.fleet(), &self.id, &self.region) && self.follower.has_current_news()
    }

    /// Tells whether a request may be sent to a chosen target: the news of it is current, or it says
    /// that it is warm, or it is known to be cold, and the request has been counted as one to a cold
    /// target when the target was chosen.
    pub(in crate::gateway) async fn may_send(&self, request: &str, choice: &Choice) -> bool {
        let view = self.view();
        let service = &choice.known.entry.service;
        let now = self.clock.now();
        if view.warmup_per_s(service) <= 0.0
            || self.has_current_news()
            || self.pool().is_cold(now, &choice.id, &choice.known)
        {
            return true;
        }
        let table = view.route_table.as_ref();
        let service = table.and_then(|t| t.services.get(service));
        let health_path = service.and_then(|s| s.health_path.clone());
        let warmth = match health_path {
            None => Warmth::Unknown,
            Some(path) => {
                let asked = self.ask_for_warmth(choice, &path).await;
                asked.unwrap_or_else(|why| {
                    log::debug!("asking target {} for its health failed: {why}", choice.id);
                    Warmth::Unknown
                })
            }
        };
        journal::line("warmth_asked")
            .text("request", request)
            .text("target", choice.id.as_str())
            .text("warmth", warmth.as_str())
            .ms("took_ms", self.clock.now().saturating_sub(now));
        metrics::counter!("limpetstand_warmth_asked_total", "warmth" => warmth.as_str())
            .increment(1);
        if warmth == Warmth::Warm {
            return true;
        }
        let until = self.clock.now() + COLD_TIME;
        self.pool().record_cold(&choice.id, &choice.known, until);
        false
    }

    async fn ask_for_warmth(&self, choice: &Choice, path: &str) -> Result<Warmth, String> {
        let read = async |connection, response: Response<Incoming>| {
            if response.status() != StatusCode::OK {
                return Err(format!("status {}", response.status()));
            }
            let head = self
                .dialect
                .read_response(response.status(), response.headers());
            let keep_alive = keep_alive_after(response.headers(), &head);
            let warmth = self.dialect.read_warmth(response.headers(), &choice.id);
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            if let Some(time) = keep_alive
                && body.collect().await.is_ok()
            {
                self.upstream().keep_idle(connection, time);
            }
            Ok(warmth)
        };
        let address = choice.known.entry.address;
        self.ask_target(&choice.id, address, path, read).await
    }

    /// Returns the targets of a service that have said themselves that they are cold.
    pub(in crate::gateway) fn known_cold(&self, service: &SmolStr) -> Vec<WireCold> {
        let now = self.clock.now();
        let view = self.view();
        let mut cold = Vec::new();
        for (target, started_unix_ms, left) in self.pool().found_cold(now) {
            if view
                .targets
                .get(&target)
                .is_some_and(|k| k.entry.service == *service)
            {
                cold.push(WireCold {
                    target,
                    started_unix_ms,
                    left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
                });
            }
        }
        cold
    }

    /// Takes over which targets another instance has found to be cold.
    pub(in crate::gateway) fn hear_cold(&self, cold: &[WireCold]) {
        let now = self.clock.now();
        let view = self.view();
        let mut pool = self.pool();
        for said in cold {
            let known = view.targets.get(&said.target);
            let is_same = |k: &&KnownTarget| k.entry.started_unix_ms == said.started_unix_ms;
            if let Some(known) = known.filter(is_same) {
                let left = Duration::from_millis(said.left_ms.into()).min(COLD_TIME);
                pool.record_cold(&said.target, known, now + left);
            }
        }
    }
}
