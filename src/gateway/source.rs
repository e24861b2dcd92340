//! Where the bytes of an answer come from.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Gateway;
use super::upstream::Connection;
use crate::id::TargetId;
use crate::peer::{RelaySource, RelayedBody};

/// The bytes of an answer; dropping them cancels the request.
pub(super) enum Source {
    /// From a target.
    Target(Box<TargetSource>),
    /// From an instance of another region.
    Peer(Box<RelayedBody>),
}

impl Source {
    /// Returns the next bytes; `None` if the answer is whole.
    ///
    /// # Errors
    ///
    /// If the rest is missing.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, String>> {
        match self {
            Self::Target(target) => target.next().await,
            Self::Peer(body) => Some(body.next().await?.map_err(|e| e.to_string())),
        }
    }
}

/// Counts a request at a target while it lives.
pub(super) struct SeatGuard {
    gateway: Arc<Gateway>,
    id: TargetId,
    unread: u64,
}

impl SeatGuard {
    /// Holds a seat for which the pool has counted `unread` prompt tokens.
    pub(super) fn new(gateway: Arc<Gateway>, id: TargetId, unread: u64) -> Self {
        Self {
            gateway,
            id,
            unread,
        }
    }

    /// Notes that the prompt has been read.
    pub(super) fn began(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.gateway.pool().record_prefill_done(&self.id, unread);
    }
}

impl Drop for SeatGuard {
    fn drop(&mut self) {
        let mut pool = self.gateway.pool();
        pool.record_prefill_done(&self.id, self.unread);
        pool.record_end(&self.id);
    }
}

/// The body of a target's answer.
pub(super) struct TargetSource {
    /// The body as it comes.
    pub body: Incoming,
    /// The connection, until the body is whole.
    pub connection: Option<Connection>,
    /// How long the target keeps unused connections; `None` if it closes this one.
    pub keep_alive: Option<Option<Duration>>,
    /// Counts the request at the target.
    pub request_guard: SeatGuard,
}

impl TargetSource {
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    return Some(Ok(data));
                }
                Some(Err(e)) => {
                    self.connection = None;
                    return Some(Err(e.to_string()));
                }
                None => {
                    if let (Some(connection), Some(time)) =
                        (self.connection.take(), self.keep_alive)
                    {
                        self.request_guard.gateway.upstream().keep(connection, time);
                    }
                    return None;
                }
            }
        }
    }
}

#[async_trait::async_trait]
impl RelaySource for Source {
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        Source::next(self).await
    }
}
