//! A caller's connection: time limits on heads, answers and idle times, and a reset of a connection
//! whose caller does not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use futures_util::task::AtomicWaker;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::routes::CallerLimits;
use crate::closing_stream::ClosingStream;

/// Factor by which connections stay open beyond the idle timeout. Callers reuse connections up to
/// the idle timeout, so a later close does not collide with a request.
const IDLE_TIMEOUT_FACTOR: f64 = 1.25;

/// Returns the limits that are in force now.
pub(super) type LimitsInForce = Box<dyn Fn() -> CallerLimits + Send + Sync>;

/// A connection whose reads fail if the head of a request is not complete within a time limit, or if
/// none begins before the idle timeout.
///
/// The time of a head starts with its first byte. The limits are those in force when the head or the
/// idle time begins; an idle time that is raised meanwhile lasts longer.
///
/// Writes fail if the caller does not read an answer until its deadline.
///
/// The connection is reset when dropped if its caller did not read in time.
pub(super) struct CallerStream {
    stream: ClosingStream,
    limits: LimitsInForce,
    tracker: Arc<RequestTracker>,
    /// Number of complete heads at the latest read.
    seen_heads: u64,
    head_timer: Option<Pin<Box<Sleep>>>,
    idle: Option<Idle>,
    /// Ends a write that waits for the caller; `None` if none waits.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the caller did not read an answer in time.
    stalled: bool,
}

/// A time in which no request has begun.
struct Idle {
    since: Instant,
    timer: Pin<Box<Sleep>>,
}

/// The progress of the requests on one connection.
#[derive(Debug, Default)]
pub(super) struct RequestTracker {
    complete_heads: AtomicU64,
    serving: AtomicBool,
    /// The task that reads from the connection, which waits for the end of the response.
    reader: AtomicWaker,
    /// The deadline of the answer that is being sent.
    deadline: Mutex<Option<Instant>>,
}

impl RequestTracker {
    /// Sets the time at which a write fails that waits for the caller to read.
    pub(super) fn set_deadline(&self, deadline: Option<Instant>) {
        *self.deadline.lock().unwrap_or_else(PoisonError::into_inner) = deadline;
    }

    fn deadline(&self) -> Option<Instant> {
        *self.deadline.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerStream {
    pub(super) fn new(stream: ClosingStream, limits: LimitsInForce) -> Self {
        Self {
            stream,
            limits,
            tracker: Arc::default(),
            seen_heads: 0,
            head_timer: None,
            idle: None,
            write_timer: None,
            stalled: false,
        }
    }

    /// Returns the tracker to which [`ServingGuard`] reports requests.
    pub(super) fn tracker(&self) -> Arc<RequestTracker> {
        Arc::clone(&self.tracker)
    }

    /// Waits for the end of the time in which no request has begun.
    fn poll_idle_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let idle_timeout = || (self.limits)().idle_timeout.mul_f64(IDLE_TIMEOUT_FACTOR);
        let idle = self.idle.get_or_insert_with(|| Idle {
            since: Instant::now(),
            timer: Box::pin(sleep(idle_timeout())),
        });
        loop {
            ready!(idle.timer.as_mut().poll(cx));
            let end = idle.since + idle_timeout();
            if Instant::now() >= end {
                return Poll::Ready(());
            }
            idle.timer.as_mut().reset(end);
        }
    }

    /// Replaces a write that waits by an error once the deadline of the answer has passed.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let deadline = self.tracker.deadline();
        let Some(deadline) = deadline.filter(|_| polled.is_pending()) else {
            self.write_timer = None;
            return polled;
        };
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        metrics::counter!("limpetstand_callers_stalled_total").increment(1);
        self.stalled = true;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.stalled {
            return;
        }
        if let Err(e) = self.stream.set_zero_linger() {
            log::warn!("cannot reset a connection whose caller does not read: {e}");
        }
    }
}

/// Suspends the time limit of a connection from the end of a head to the end of the response.
pub(super) struct ServingGuard(Arc<RequestTracker>);

impl ServingGuard {
    /// Records that a head is complete.
    pub(super) fn new(tracker: &Arc<RequestTracker>) -> Self {
        tracker.complete_heads.fetch_add(1, Ordering::AcqRel);
        tracker.serving.store(true, Ordering::Release);
        Self(Arc::clone(tracker))
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.store(false, Ordering::Release);
        self.0.set_deadline(None);
        self.0.reader.wake();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let complete_heads = self.tracker.complete_heads.load(Ordering::Acquire);
        if complete_heads != self.seen_heads {
            self.seen_heads = complete_heads;
            self.head_timer = None;
        }
        self.tracker.reader.register(cx.waker());
        if self.tracker.serving.load(Ordering::Acquire) {
            self.idle = None;
            return polled;
        }
        if buf.filled().len() > before {
            self.idle = None;
            if self.head_timer.is_none() {
                let time = (self.limits)().header_timeout;
                self.head_timer = Some(Box::pin(sleep(time)));
            }
        }
        let is_over = match &mut self.head_timer {
            Some(timer) => timer.as_mut().poll(cx).is_ready(),
            None => polled.is_pending() && self.poll_idle_timeout(cx).is_ready(),
        };
        if is_over {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit_write(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit_write(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
