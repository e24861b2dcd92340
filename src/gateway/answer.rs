//! The body of an answer on its way to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, Stream};
use hyper::body::Frame;
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use super::Gateway;
use super::job::{Job, Reply};
use super::patience;
use super::source::Source;
use crate::journal;
use crate::target::{EventSplitter, id_of};

/// What ends a body that is not whole; the caller's connection is closed without its end.
pub(super) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Reads an answer to its end, and goes on with a resumable stream elsewhere if it breaks.
struct Pump {
    gateway: Arc<Gateway>,
    job: Job,
    source: Source,
    /// Whole events of a resumable stream; `None` if bytes pass as they come.
    events: Option<Events>,
    ending: Ending,
    done: bool,
}

/// The events of a stream that may be resumed.
#[derive(Default)]
struct Events {
    splitter: EventSplitter,
    last_id: Option<SmolStr>,
}

/// Writes the line about a request's end, whatever ends it.
struct Ending {
    request: SmolStr,
    began: Instant,
    status: u16,
    outcome: &'static str,
}

impl Drop for Ending {
    fn drop(&mut self) {
        metrics::counter!("limpetstand_answers_total", "outcome" => self.outcome).increment(1);
        metrics::histogram!("limpetstand_answer_seconds").record(self.began.elapsed());
        journal::line("ended")
            .text("request", &self.request)
            .text("outcome", self.outcome)
            .value("status", self.status)
            .ms("took_ms", self.began.elapsed());
    }
}

/// Returns the body of a reply as a stream of frames.
pub(super) fn frames(
    gateway: Arc<Gateway>,
    job: Job,
    reply: Reply,
    began: Instant,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send {
    let resumable = job.kind == super::routes::RouteKind::ResumableStream;
    let pump = Pump {
        gateway,
        events: (resumable && reply.status.is_success()).then(Events::default),
        ending: Ending {
            request: job.id.clone(),
            began,
            status: reply.status.as_u16(),
            outcome: "caller_left",
        },
        job,
        source: reply.source,
        done: false,
    };
    stream::unfold(pump, |mut pump| async move {
        if pump.done {
            return None;
        }
        let item = pump.next().await?;
        pump.done = item.is_err();
        Some((item.map(Frame::data), pump))
    })
}

impl Pump {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.read().await {
                Ok(Some(data)) => {
                    let Some(events) = &mut self.events else {
                        return Some(Ok(data));
                    };
                    match events.take(&data) {
                        Ok(whole) if whole.is_empty() => continue,
                        Ok(whole) => return Some(Ok(whole)),
                        Err(e) => return Some(Err(self.broken(&e))),
                    }
                }
                Ok(None) => {
                    self.ending.outcome = "complete";
                    self.done = true;
                    let rest = self.events.as_mut()?.splitter.take_rest();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Err(why) => {
                    if !self.resume(&why).await {
                        return Some(Err(self.broken(&why)));
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, String> {
        let mut until = self.job.deadline;
        if self.events.is_some()
            && let Some(silence) = patience::for_bytes(self.job.kind, self.job.attempts_left())
        {
            until = until.min(Instant::now() + silence);
        }
        match timeout_at(until, self.source.next()).await {
            Ok(Some(Ok(data))) => Ok(Some(data)),
            Ok(Some(Err(why))) => Err(why),
            Ok(None) => Ok(None),
            Err(_) => Err("silent".to_owned()),
        }
    }

    /// Goes on with a resumable stream at another target; returns whether that went well.
    async fn resume(&mut self, why: &str) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        // Without an event there is nothing to go on from but the caller's own start.
        let after = events
            .last_id
            .clone()
            .or_else(|| self.job.resume_after.clone());
        if self.job.attempts_left() == 0
            || self.job.time_left() < Duration::from_millis(50)
            || !self.gateway.take_retry(&self.job)
        {
            return false;
        }
        journal::line("resumed")
            .text("request", &self.job.id)
            .text("after", after.as_deref().unwrap_or(""))
            .text("error", why);
        self.job.resume_after = after;
        events.splitter = EventSplitter::default();
        let Ok(reply) = self.gateway.dispatch(&mut self.job).await else {
            return false;
        };
        if !reply.status.is_success() {
            return false;
        }
        self.source = reply.source;
        true
    }

    fn broken(&mut self, why: &str) -> BodyError {
        self.ending.outcome = "broken";
        journal::line("broken")
            .text("request", &self.job.id)
            .text("error", why)
            .ms("time_left_ms", self.job.time_left());
        why.into()
    }
}

impl Events {
    /// Returns the events that are whole by now.
    fn take(&mut self, data: &[u8]) -> Result<Bytes, String> {
        self.splitter.push(data).map_err(|e| e.to_string())?;
        let mut whole = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = id_of(&event) {
                self.last_id = Some(id.into());
            }
            whole.extend_from_slice(&event);
        }
        Ok(whole.freeze())
    }
}
