//! Relays an answer to its caller and resumes a stream on another target if the first target fails.

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::execution::{CHUNK_TIMEOUT, Execution, GIVEN_UP, StartedAnswer};
use super::failure::{AttemptFailure, FailureKind};
use super::transcript::{Continuation, Transcript};
use crate::call::{Answer, AnswerHead, Chunk, Operation};
use crate::claim::{Claim, MAX_STORED_BODY_BYTES};
use crate::departure::given_up;
use crate::in_flight::InFlightGuard;
use crate::refusal::{Code, Refusal};
use crate::target::{EventSplitter, StreamHead};

/// Maximum number of chunks buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// The relay of one answer.
pub(super) struct Relay {
    execution: Execution,
    head: AnswerHead,
    tx: mpsc::Sender<Chunk>,
    transcript: Option<Transcript>,
    original_body: Bytes,
    claimed: Option<ClaimedAnswer>,
    caller_disconnected: bool,
    /// Whether a silent target is waited for until the deadline, as no other target can go on.
    waits_for_silent: bool,
    _guard: InFlightGuard,
}

/// The claim of a request that runs at most once, and the answer that is stored as its outcome.
struct ClaimedAnswer {
    claim: Claim,
    body: BytesMut,
}

/// How an answer ended.
enum AnswerEnd {
    Complete,
    CallerDisconnected,
    Failed(Refusal),
}

/// How the chunks from one target ended.
enum RelayEnd {
    Complete,
    CallerDisconnected,
    /// The target has sent nothing for a while, and its connection is open.
    Silent,
    Failed(AttemptFailure),
}

impl Relay {
    /// Starts a task that relays an answer, and returns the caller's end of the answer.
    pub(super) fn start(
        execution: Execution,
        started: StartedAnswer,
        claim: Option<Claim>,
        guard: InFlightGuard,
    ) -> Answer {
        let (tx, body) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let head = started.head.clone();
        let transcript = execution
            .is_stream(&head)
            .then(|| Transcript::new(is_chat(&execution)));
        let relay = Self {
            original_body: execution.call.body.clone(),
            head: head.clone(),
            transcript,
            claimed: claim.map(|claim| ClaimedAnswer {
                claim,
                body: BytesMut::new(),
            }),
            execution,
            tx,
            caller_disconnected: false,
            waits_for_silent: false,
            _guard: guard,
        };
        tokio::spawn(relay.run(started));
        Answer { head, body }
    }

    async fn run(mut self, started: StartedAnswer) {
        let departure = self.execution.core.departure.clone();
        let end = tokio::select! {
            biased;
            end = self.relay_answer(started) => end,
            () = given_up(&departure) => {
                AnswerEnd::Failed(Refusal::unknown(Code::TargetFailed, GIVEN_UP))
            }
        };
        match end {
            AnswerEnd::Complete => self.finish().await,
            AnswerEnd::CallerDisconnected => {}
            AnswerEnd::Failed(refusal) => self.fail(refusal).await,
        }
    }

    /// Relays the chunks of an answer from one target after another.
    async fn relay_answer(&mut self, mut started: StartedAnswer) -> AnswerEnd {
        loop {
            let failure = match self.relay_chunks(&mut started).await {
                RelayEnd::Complete => {
                    self.execution.record_success(started.slot.as_ref());
                    return AnswerEnd::Complete;
                }
                RelayEnd::CallerDisconnected => return AnswerEnd::CallerDisconnected,
                RelayEnd::Silent if !self.may_resume() => {
                    self.waits_for_silent = true;
                    continue;
                }
                RelayEnd::Silent => AttemptFailure::new(
                    FailureKind::Silent,
                    "the target stopped sending in the middle of its answer",
                ),
                RelayEnd::Failed(failure) => failure,
            };
            started = match self.resume(started, failure).await {
                Ok(Some(started)) => started,
                Ok(None) => return AnswerEnd::Complete,
                Err(refusal) => return AnswerEnd::Failed(refusal),
            };
        }
    }

    /// Relays all chunks from one target.
    async fn relay_chunks(&mut self, started: &mut StartedAnswer) -> RelayEnd {
        if let Some(chunk) = started.first_chunk.take()
            && !self.relay_chunk(chunk).await
        {
            return RelayEnd::CallerDisconnected;
        }
        loop {
            let limit = if self.waits_for_silent {
                self.execution.time_left()
            } else {
                CHUNK_TIMEOUT
            };
            let next = tokio::select! {
                next = timeout(limit, started.remaining_chunks.recv()) => next,
                () = self.tx.closed(), if self.may_cancel() => return RelayEnd::CallerDisconnected,
            };
            let chunk = match next {
                Ok(None) => return RelayEnd::Complete,
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(e))) => return RelayEnd::Failed(AttemptFailure::broken(&e)),
                Err(_) if self.waits_for_silent => {
                    let message = "the deadline passed in the middle of the answer of a target";
                    let refusal = Refusal::unknown(Code::DeadlineExceeded, message);
                    return RelayEnd::Failed(AttemptFailure::without_retry(refusal));
                }
                Err(_) => return RelayEnd::Silent,
            };
            if !self.relay_chunk(chunk).await {
                return RelayEnd::CallerDisconnected;
            }
        }
    }

    /// Returns whether another target may go on with the answer.
    fn may_resume(&mut self) -> bool {
        let Some(transcript) = &mut self.transcript else {
            return false;
        };
        self.execution.may_repeat()
            && !matches!(
                transcript.continuation(&self.original_body),
                Continuation::Impossible
            )
    }

    /// Returns whether the request may be cancelled when its caller disconnects.
    ///
    /// A non-repeatable request runs to its end, so that its outcome is known.
    fn may_cancel(&self) -> bool {
        self.execution.call.repeatable
    }

    /// Relays one chunk; returns `false` if the request should be cancelled.
    async fn relay_chunk(&mut self, chunk: Bytes) -> bool {
        let chunk = match &mut self.transcript {
            None => chunk,
            Some(transcript) => match transcript.push(chunk) {
                Some(chunk) => chunk,
                None => return true,
            },
        };
        if let Some(claimed) = &mut self.claimed
            && claimed.body.len() <= MAX_STORED_BODY_BYTES
        {
            claimed.body.extend_from_slice(&chunk);
        }
        if !self.caller_disconnected && self.tx.send(Ok(chunk)).await.is_err() {
            self.caller_disconnected = true;
        }
        !(self.caller_disconnected && self.may_cancel())
    }

    /// Resumes a broken stream on another target; returns `None` if the stream is already complete.
    async fn resume(
        &mut self,
        started: StartedAnswer,
        failure: AttemptFailure,
    ) -> Result<Option<StartedAnswer>, Refusal> {
        let StartedAnswer { slot, .. } = started;
        if let Some(slot) = slot {
            self.execution.requirements.tried_targets.push(slot.key());
            self.execution.record_failure(slot, failure.kind()).await;
        }
        let refusal = failure.refusal();
        self.execution.prepare_retry(failure)?;
        let Some(transcript) = &mut self.transcript else {
            return Err(refusal);
        };
        match transcript.continuation(&self.original_body) {
            Continuation::Impossible => Err(refusal),
            Continuation::Finish(events) => {
                for event in events {
                    self.relay_chunk(event).await;
                }
                Ok(None)
            }
            Continuation::Request { body, tokens } => {
                metrics::counter!("limpetstand_resumes_total").increment(1);
                self.execution.resume(body, tokens);
                let started = self.execution.start_answer().await?;
                if !continues(&self.head, &started.head) || started.first_chunk.is_none() {
                    return Err(refusal);
                }
                Ok(Some(started))
            }
        }
    }

    /// Ends the answer at its caller, and stores the outcome of a claimed request.
    async fn finish(self) {
        drop(self.tx);
        if let Some(ClaimedAnswer { claim, body }) = self.claimed {
            claim.store_outcome(self.head, body.freeze()).await;
        }
    }

    async fn fail(self, refusal: Refusal) {
        let refusal = Refusal::unknown(
            match refusal.code() {
                Code::Quarantined => Code::Quarantined,
                Code::DeadlineExceeded => Code::DeadlineExceeded,
                _ => Code::TargetFailed,
            },
            refusal.message(),
        );
        // The send fails only if the caller has disconnected.
        let _ = self.tx.send(Err(refusal)).await;
        drop(self.tx);
        if let Some(claimed) = self.claimed {
            claimed.claim.store_unknown_outcome().await;
        }
    }
}

/// Returns whether the answer `next` can go on with a stream that has begun.
fn continues(begun: &AnswerHead, next: &AnswerHead) -> bool {
    let head = |head: &AnswerHead| {
        let status = StatusCode::from_u16(head.status).ok()?;
        Some(StreamHead::new(status, &head.content_type))
    };
    match (head(begun), head(next)) {
        (Some(begun), Some(next)) => begun.check_next(&next).is_ok(),
        _ => false,
    }
}

fn is_chat(execution: &Execution) -> bool {
    matches!(&execution.call.operation, Operation::Model { path, .. } if path.ends_with("/chat/completions"))
}

/// Creates an answer from a complete body, split into events if the body is an event stream.
pub(super) fn complete_answer(head: AnswerHead, bytes: Bytes, stream: bool) -> Answer {
    let mut chunks = Vec::new();
    if stream {
        chunks = split_events(&bytes);
    }
    if chunks.is_empty() {
        chunks.push(bytes);
    }
    let (tx, body) = mpsc::channel(chunks.len());
    for chunk in chunks {
        // Cannot fail: the capacity of the new channel is the number of chunks.
        let _ = tx.try_send(Ok(chunk));
    }
    Answer { head, body }
}

fn split_events(bytes: &[u8]) -> Vec<Bytes> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    if splitter.push(bytes).is_err() {
        return events;
    }
    while let Some(event) = splitter.next_event() {
        events.push(event);
    }
    events
}
