//! Asks the scheduler of a target that has named a limit when a request may be sent.
//!
//! Requests with prompts ask their scheduler for a place in any case (see [`super::placement`]);
//! this is for the others.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Gateway;
use super::job::Job;
use super::pool::Choice;
use super::scheduler::TAKEOVER_TIME;
use super::target_limits::{ProcessKey, WireLimit};
use crate::id::TargetId;
use crate::journal;
use crate::peer::{PeerError, PeerHandler, decode, encode};

/// Timeout of a question to a scheduler; covers a round trip within a region and a busy scheduler.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);

/// How long nothing is sent to a target whose scheduler has not answered.
const UNANSWERED_DELAY: Duration = Duration::from_millis(500);

/// How long nothing is sent to a target whose scheduler does not know that it is one, which lasts
/// until both instances see the same fleet.
const UNKNOWN_DELAY: Duration = Duration::from_millis(500);

/// The kind of peer messages that ask when a request may be sent.
const KIND: &str = "send-time";

/// Asks when a request may be sent to a target's process.
#[derive(Debug, Serialize, Deserialize)]
struct WireQuestion {
    target: TargetId,
    started_unix_ms: u64,
    /// What the process has said last, so that the scheduler knows it too.
    limit: WireLimit,
    max_delay_ms: u32,
}

/// When a request may be sent.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum WireSendTime {
    /// After this time, which no other request gets.
    In { ms: u32 },
    /// No request may be sent for this time.
    NotFor { ms: u32 },
}

impl Gateway {
    /// Asks for the time at which a request may be sent to a target with a limit. Returns how long
    /// the request has to be held back; `None` if that is longer than `max_delay`.
    pub(super) async fn ask_for_send_time(
        &self,
        job: &Job,
        choice: &Choice,
        max_delay: Duration,
    ) -> Option<Duration> {
        let process = choice.process();
        let (scheduler, _) = self.target_scheduler(&choice.id);
        let answer = match scheduler {
            Some((id, address)) if id != self.id => {
                let body = encode(&self.question(&process, max_delay)?).ok()?;
                let timeout = ASK_TIMEOUT.min(job.time_left());
                let answer = self.peers.ask(address, KIND, body, timeout).await;
                answer
                    .and_then(|a| decode(&a))
                    .unwrap_or_else(|e: PeerError| {
                        journal::line("scheduler_lost")
                            .text("request", &job.id)
                            .text("peer", id.as_str())
                            .text("error", &e.to_string());
                        not_for(UNANSWERED_DELAY)
                    })
            }
            _ => self.take_send_time(&process, max_delay),
        };
        let (delay, is_given) = match answer {
            WireSendTime::In { ms } => (from_ms(ms), true),
            WireSendTime::NotFor { ms } => (from_ms(ms), false),
        };
        let now = self.clock.now();
        self.pool().limits().record_delay(now, &process, delay);
        is_given.then_some(delay)
    }

    fn question(&self, process: &ProcessKey, max_delay: Duration) -> Option<WireQuestion> {
        let limit = self.pool().limits().get(process)?;
        Some(WireQuestion {
            target: process.0.clone(),
            started_unix_ms: process.1,
            limit: WireLimit::new(self.clock.now(), limit),
            max_delay_ms: to_ms(max_delay),
        })
    }

    /// Takes the next time at which a request may be sent to a process that this instance schedules,
    /// if that is at most `max_delay` from now.
    fn take_send_time(&self, process: &ProcessKey, max_delay: Duration) -> WireSendTime {
        let (_, owned_since) = self.target_scheduler(&process.0);
        let Some(owned_since) = owned_since else {
            return not_for(UNKNOWN_DELAY);
        };
        let now = self.clock.now();
        let takeover = (owned_since + TAKEOVER_TIME).saturating_sub(now);
        let mut pool = self.pool();
        let delay = pool.limits().delay(now, process).max(takeover);
        if delay > max_delay {
            return not_for(delay);
        }
        pool.limits().take(now, process);
        WireSendTime::In { ms: to_ms(delay) }
    }
}

/// Answers questions when requests may be sent.
pub(super) struct SendTimeHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for SendTimeHandler {
    fn kind(&self) -> &'static str {
        KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let question: WireQuestion = decode(&body)?;
        let process = (question.target, question.started_unix_ms);
        let now = self.0.clock.now();
        let said = question.limit.limit(now);
        self.0.pool().limits().hear(&process, said);
        let max_delay = from_ms(question.max_delay_ms);
        encode(&self.0.take_send_time(&process, max_delay))
    }
}

fn not_for(delay: Duration) -> WireSendTime {
    WireSendTime::NotFor { ms: to_ms(delay) }
}

fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

crate::wire_format!("send-time-question", WireQuestion);
crate::wire_format!("send-time", WireSendTime);
