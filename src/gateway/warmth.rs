//! Asks a target whether it is cold, before a request is sent to it on old news.
//!
//! A target becomes cold when it starts, when its data centre has been evacuated, or by itself. The
//! registry and the scheduler tell an instance so, but not one that is cut off. Such an instance may
//! still reach the target, as may others that are cut off from it and from each other, and together
//! they must not send a cold target more than it takes. So an instance whose news may be old asks the
//! target itself. One that is cold, or does not say that it is warm, counts as cold for
//! [`COLD_TIME`].

use std::time::Duration;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::Gateway;
use super::pool::Choice;
use super::target_attempt::keep_alive_after;
use super::target_query::MAX_ANSWER_BYTES;
use crate::id::TargetId;
use crate::journal;
use crate::member::Health;

/// Time for which an answer other than that the target is warm counts.
pub const COLD_TIME: Duration = Duration::from_secs(1);

/// Whether a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// The target says that it is warm.
    Warm,
    /// The target says that it is cold.
    Cold,
    /// The target does not say.
    Unknown,
}

impl Warmth {
    fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Unknown => "unknown",
        }
    }
}

/// A target that an instance knows as cold, as encoded between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct WireCold {
    pub(super) target: TargetId,
    /// When the target's process started, in milliseconds of Unix time.
    pub(super) started_unix_ms: u64,
    /// How much longer the target counts as cold.
    pub(super) left_ms: u32,
}

impl Gateway {
    /// Whether this instance hears at once when a target becomes cold.
    pub(super) fn has_current_news(&self) -> bool {
        let fleet = self.fleet();
        let members = fleet.members.iter();
        let mut others = members
            .filter(|m| m.id != self.id && m.region == self.region)
            .peekable();
        let hears_nobody = others.peek().is_some() && others.all(|m| m.health != Health::Live);
        // Calls to the store fail later than instances fall silent.
        !hears_nobody && self.follower.has_current_news()
    }

    /// Tells whether a request may be sent to a chosen target: the news of it is current, or it says
    /// that it is warm, or it is known to be cold, and the request has been counted as one to a cold
    /// target when the target was chosen.
    pub(super) async fn may_send(&self, request: &str, choice: &Choice) -> bool {
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
}
