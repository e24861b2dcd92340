//! Answers of targets that were silent for so long that another target has been asked.
//!
//! A silent target may be sound, so its answer is taken if it comes before that of the other target,
//! or if no other target answers.

use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::Response;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::Gateway;
use super::job::{Failure, Job, Reply};
use super::pool::{Choice, TargetEvent};
use super::running::RunningRequest;
use super::source::TargetRequestGuard;
use super::upstream::{Connection, SendError};
use crate::journal;

/// A connection on which a request has been sent, and the head of the answer once it arrives.
pub(super) type PendingHead =
    BoxFuture<'static, (Connection, Result<Response<Incoming>, SendError>)>;

/// An attempt whose target was silent for too long.
pub(super) struct LateAttempt {
    pub job: Job,
    pub choice: Choice,
    pub head: PendingHead,
    pub running: RunningRequest,
    pub request_guard: TargetRequestGuard,
    pub sent_at: Instant,
}

impl LateAttempt {
    /// Waits for the answer; `None` if there is no usable one.
    async fn answer(mut self, gateway: Arc<Gateway>) -> Option<Reply> {
        let (connection, head) = self.head.await;
        self.request_guard.prefill_done();
        let head = match head {
            Ok(head) => head,
            Err(e) => {
                self.running.record_cut(false, &e.to_string());
                if !gateway.was_cut_off(self.running.began()).await {
                    self.request_guard.report(TargetEvent::Unreachable);
                    gateway.eject_target(&self.job, &self.choice, &e.to_string());
                }
                return None;
            }
        };
        journal::line("late_answer")
            .text("request", &self.job.id)
            .text("target", self.choice.id.as_str())
            .ms("waited_ms", self.sent_at.elapsed());
        let reply = gateway.read_answer_head(
            &self.job,
            &self.choice,
            head,
            connection,
            self.running,
            self.request_guard,
        );
        reply.ok()
    }
}

/// The late attempts of one request. Dropping them cancels them.
#[derive(Default)]
pub(super) struct LateAnswers {
    answers: FuturesUnordered<BoxFuture<'static, Option<Reply>>>,
}

impl LateAnswers {
    pub(super) fn push(&mut self, gateway: &Arc<Gateway>, attempt: LateAttempt) {
        let answer = attempt.answer(Arc::clone(gateway));
        self.answers.push(Box::pin(answer));
    }

    /// Waits for `attempt` and for the late answers.
    ///
    /// # Errors
    ///
    /// The late answer that came first.
    pub(super) async fn race<T>(&mut self, attempt: impl Future<Output = T>) -> Result<T, Reply> {
        let mut attempt = std::pin::pin!(attempt);
        loop {
            tokio::select! {
                biased;
                Some(answer) = self.answers.next() => {
                    if let Some(reply) = answer {
                        return Err(reply);
                    }
                }
                outcome = &mut attempt => return Ok(outcome),
            }
        }
    }

    /// Waits for a late answer to a request that no other target has answered, until the deadline.
    ///
    /// # Errors
    ///
    /// The failure of the request, if no late answer comes in time.
    pub(super) async fn answer_or(
        mut self,
        failure: Failure,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        while let Ok(Some(answer)) = timeout_at(deadline, self.answers.next()).await {
            if let Some(mut reply) = answer {
                reply.attempts = failure.attempts;
                return Ok(reply);
            }
        }
        Err(failure)
    }
}
