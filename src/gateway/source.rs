//! The sources of an answer's body: a target of this region or an instance of another region.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Gateway;
use super::placement::Place;
use super::pool::TargetEvent;
use super::running::RunningRequest;
use super::upstream::{Connection, TargetConnections};
use crate::id::{InstanceId, TargetId};
use crate::in_flight::InFlightGuard;
use crate::peer::{RelaySource, RelayedBody};
use crate::target::AnswerProgress;

/// The body of an answer; dropping it cancels the request.
pub(super) enum Source {
    /// The body comes from a target.
    Target(Box<TargetSource>),
    /// The body is relayed by another instance.
    Peer {
        /// The instance that relays the body.
        id: InstanceId,
        /// The body.
        body: Box<RelayedBody>,
    },
}

impl Source {
    /// Returns the next bytes; `None` if the answer is complete.
    ///
    /// # Errors
    ///
    /// If the body ends before the body is complete.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, String>> {
        match self {
            Self::Target(target) => target.next().await,
            Self::Peer { body, .. } => Some(body.next().await?.map_err(|e| e.to_string())),
        }
    }
}

impl Source {
    /// Returns the instance that relays the body, if one does.
    pub(super) fn peer(&self) -> Option<&InstanceId> {
        match self {
            Self::Target(_) => None,
            Self::Peer { id, .. } => Some(id),
        }
    }

    /// Records that the answer's target failed in the middle of the body. If the body is relayed,
    /// the relaying instance has found this out itself, or finds the request cancelled.
    pub(super) fn record_failure(&mut self) {
        if let Self::Target(target) = self {
            target.record_failure();
        }
    }
}

/// The body of an answer to a relayed request. The request counts as in flight until its body ends,
/// so that a leaving instance waits for it.
pub(super) struct GuardedSource {
    source: Source,
    _guard: InFlightGuard,
}

impl Source {
    /// Keeps the request in flight until the source is dropped.
    pub(super) fn guarded(self, guard: InFlightGuard) -> GuardedSource {
        GuardedSource {
            source: self,
            _guard: guard,
        }
    }
}

/// Counts a request as in flight at a target until the guard is dropped.
pub(super) enum TargetRequestGuard {
    /// The request holds a place that the target's scheduler has reserved.
    Reserved(Place),
    /// The request was sent without a place, so only this instance counts it.
    Counted(CountedRequest),
}

/// A request that only this instance's pool counts.
pub(super) struct CountedRequest {
    gateway: Arc<Gateway>,
    id: TargetId,
    prefill_tokens: u64,
}

impl TargetRequestGuard {
    /// Creates the guard of a request for which the pool has counted `prefill_tokens` prompt
    /// tokens.
    pub(super) fn counted(gateway: Arc<Gateway>, id: TargetId, prefill_tokens: u64) -> Self {
        Self::Counted(CountedRequest {
            gateway,
            id,
            prefill_tokens,
        })
    }

    /// Records that the target has prefilled the prompt.
    pub(super) fn prefill_done(&mut self) {
        match self {
            Self::Reserved(place) => place.report(TargetEvent::Prefilled),
            Self::Counted(counted) => {
                let prefill_tokens = std::mem::take(&mut counted.prefill_tokens);
                let mut pool = counted.gateway.pool();
                pool.record_prefill_done(&counted.id, prefill_tokens);
            }
        }
    }

    /// Reports an event at the target to its scheduler, if the request holds a place.
    pub(super) fn report(&self, event: TargetEvent) {
        if let Self::Reserved(place) = self {
            place.report(event);
        }
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let mut pool = self.gateway.pool();
        pool.record_unread(now, &self.id, self.prefill_tokens);
        pool.record_end(&self.id);
    }
}

/// The body of a target's answer.
pub(super) struct TargetSource {
    /// The body as received.
    pub body: Incoming,
    /// The progress of the body, which tells whether its end is that of the answer.
    pub progress: AnswerProgress,
    /// The request that the answer belongs to.
    pub running: RunningRequest,
    /// The connection to the target; `None` once the body is complete.
    pub connection: Option<Connection>,
    /// How long the target keeps unused connections open, if the target says; `None` if the target
    /// closes this connection.
    pub keep_alive: Option<Option<Duration>>,
    /// The guard that counts the request as in flight at the target.
    pub request_guard: TargetRequestGuard,
    /// The gateway, whose pool records failures.
    pub gateway: Arc<Gateway>,
    /// The target.
    pub target: TargetId,
    /// The connections to targets, which keep the connection after a complete body.
    pub connections: TargetConnections,
}

impl TargetSource {
    /// Closes the connection and records that the target failed.
    fn record_failure(&mut self) {
        self.connection = None;
        self.request_guard.report(TargetEvent::Failed);
        self.gateway.pool().record_error(&self.target);
        metrics::counter!("limpetstand_target_broken_bodies_total").increment(1);
    }

    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.progress.push(&data);
                    self.running.record_progress();
                    if self.progress.has_whole_length() {
                        self.running.record_complete();
                    }
                    return Some(Ok(data));
                }
                Some(Err(e)) => {
                    let why = e.to_string();
                    self.record_failure();
                    self.running.record_cut(true, &why);
                    return Some(Err(why));
                }
                None => {
                    if let Err(e) = self.progress.check_end() {
                        let why = e.to_string();
                        self.record_failure();
                        self.running.record_cut(true, &why);
                        return Some(Err(why));
                    }
                    self.running.record_complete();
                    if let (Some(connection), Some(time)) =
                        (self.connection.take(), self.keep_alive)
                    {
                        self.connections.keep_idle(connection, time);
                    }
                    return None;
                }
            }
        }
    }
}

#[async_trait::async_trait]
impl RelaySource for GuardedSource {
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        self.source.next().await
    }
}
