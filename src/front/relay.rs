//! Forwards an answer to the caller and reports the tokens that the request used to the limiter.

use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::call::{Answer, Call, Operation};
use crate::front::outcome::OutcomeRecorder;
use crate::front::reply::{self, ResponseContext};
use crate::front::usage::UsageMeter;
use crate::in_flight::InFlightGuard;
use crate::limit::Hold;
use crate::refusal::{Ran, Refusal};

/// How long a caller may read nothing before the caller's request is cancelled.
const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of chunks buffered for a slow caller.
const CALLER_QUEUE_CHUNKS: usize = 32;

/// Largest answer buffered until complete; longer answers are streamed.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// Reports the tokens of an answer to its hold as they arrive, and settles the hold at the end.
struct Settlement {
    hold: Option<Hold>,
    meter: UsageMeter,
    reported: u64,
}

impl Settlement {
    fn feed(&mut self, data: &[u8]) {
        self.meter.feed(data);
        let counted = self.meter.counted();
        if let Some(hold) = &mut self.hold {
            hold.served(counted.saturating_sub(self.reported));
        }
        self.reported = counted;
    }

    fn settle(&mut self, used: u64) {
        if let Some(hold) = self.hold.take() {
            hold.settle(used);
        }
    }

    /// Settles a complete answer: reports the used tokens to the limiter, and returns their number.
    ///
    /// An answer that does not report its usage is charged all the tokens of its hold.
    fn complete(&mut self) -> u64 {
        let held = self.hold.as_ref().map_or(0, |hold| hold.tokens);
        let used = self.meter.total_at_end().unwrap_or(held);
        self.settle(used);
        used
    }
}

impl Drop for Settlement {
    /// Settles a request that was cancelled or failed before its answer was complete: reports the
    /// tokens that a stream may have used to the limiter and frees the rest of the held tokens. For
    /// any other answer, all held tokens count as used.
    fn drop(&mut self) {
        if let Some(used) = self.meter.total_if_cancelled() {
            let held = self.hold.as_ref().map_or(0, |hold| hold.tokens);
            self.settle(used.min(held));
        }
    }
}

/// Forwards one answer to its caller.
pub(super) struct Relay {
    event_stream: bool,
    settlement: Settlement,
    outcome: OutcomeRecorder,
    guard: InFlightGuard,
}

impl Relay {
    pub(super) fn new(
        call: &Call,
        hold: Option<Hold>,
        outcome: OutcomeRecorder,
        guard: InFlightGuard,
    ) -> Self {
        let event_stream = matches!(call.operation, Operation::Model { stream: true, .. });
        let meter = UsageMeter::new(call.prompt_tokens, event_stream);
        Self {
            event_stream,
            settlement: Settlement {
                hold,
                meter,
                reported: 0,
            },
            outcome,
            guard,
        }
    }

    /// Settles a refused request: a request that cannot have run costs nothing, any other request
    /// costs all tokens of its hold.
    pub(super) fn refused(mut self, refusal: &Refusal) {
        self.outcome.refused(refusal.code());
        if refusal.ran() == Ran::No {
            self.settlement.settle(0);
        }
        self.settlement.hold = None;
    }

    /// Returns the response to the caller.
    ///
    /// A successful event stream is forwarded at once; any other answer is first buffered until
    /// complete, so that a failure can still be reported as a refusal.
    pub(super) async fn answer(
        mut self,
        answer: Answer,
        context: &ResponseContext,
    ) -> Result<Response, Refusal> {
        if self.event_stream && answer.head.status == 200 {
            return Ok(self.stream(answer, context));
        }
        self.event_stream = false;
        self.buffered(answer, context).await
    }

    fn stream(self, answer: Answer, context: &ResponseContext) -> Response {
        let (tx, rx) = mpsc::channel(CALLER_QUEUE_CHUNKS);
        let head = answer.head.clone();
        tokio::spawn(self.forward(answer, tx));
        reply::answer(&head, channel_body(rx), context)
    }

    async fn buffered(
        mut self,
        mut answer: Answer,
        context: &ResponseContext,
    ) -> Result<Response, Refusal> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = answer.body.recv().await {
            let data = chunk.inspect_err(|refusal| self.outcome.refused(refusal.code()))?;
            self.outcome.chunk();
            self.settlement.feed(&data);
            buf.extend_from_slice(&data);
            if buf.len() > MAX_BUFFERED_BYTES {
                return Ok(self.stream_rest(buf.freeze(), answer, context));
            }
        }
        let tokens = self.settlement.complete();
        self.outcome.answered(tokens);
        Ok(reply::answer(
            &answer.head,
            Body::from(buf.freeze()),
            context,
        ))
    }

    /// Streams an answer that is too long to be buffered, starting with the buffered bytes.
    fn stream_rest(self, buffered: Bytes, answer: Answer, context: &ResponseContext) -> Response {
        let (tx, rx) = mpsc::channel(CALLER_QUEUE_CHUNKS);
        let head = answer.head.clone();
        tokio::spawn(async move {
            if tx.send(Ok(buffered)).await.is_ok() {
                self.forward(answer, tx).await;
            }
        });
        reply::answer(&head, channel_body(rx), context)
    }

    /// Forwards chunks to `tx` until the answer ends or the caller stops reading.
    async fn forward(
        mut self,
        mut answer: Answer,
        tx: mpsc::Sender<Result<Bytes, std::io::Error>>,
    ) {
        loop {
            let chunk = tokio::select! {
                chunk = answer.body.recv() => chunk,
                () = tx.closed() => break,
            };
            let (item, last) = match chunk {
                None => {
                    let tokens = self.settlement.complete();
                    self.outcome.answered(tokens);
                    break;
                }
                Some(Ok(data)) => {
                    self.outcome.chunk();
                    self.settlement.feed(&data);
                    (Ok(data), false)
                }
                Some(Err(refusal)) => {
                    self.outcome.refused(refusal.code());
                    (self.failure(&refusal), true)
                }
            };
            let sent = timeout(CALLER_READ_TIMEOUT, tx.send(item)).await;
            if last || !matches!(sent, Ok(Ok(()))) {
                break;
            }
        }
        drop(self.guard);
    }

    /// Returns what the caller receives in place of the rest of an answer that failed.
    fn failure(&self, refusal: &Refusal) -> Result<Bytes, std::io::Error> {
        metrics::counter!("limpetstand_answers_broken_total").increment(1);
        if self.event_stream {
            return Ok(Bytes::from(reply::error_event(refusal)));
        }
        Err(std::io::Error::other(refusal.message().to_owned()))
    }
}

/// Returns a body that streams the chunks received on a channel.
fn channel_body(rx: mpsc::Receiver<Result<Bytes, std::io::Error>>) -> Body {
    let stream = futures_util::stream::unfold(rx, |mut rx| async move {
        let chunk = rx.recv().await?;
        Some((chunk, rx))
    });
    Body::from_stream(stream)
}
