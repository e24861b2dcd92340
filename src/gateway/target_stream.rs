//! A connection to a target that yields while bytes arrive faster than they are read, and that fails
//! if the head of an answer has no end.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Number of bytes after which reading yields to other tasks. The HTTP library reads on without a
/// pause while it finds no end of a head or of a chunk's size.
const MAX_BYTES_BEFORE_YIELD: usize = 64 * 1024;

/// Number of bytes after which reading fails if the head of an answer is still incomplete. The HTTP
/// library bounds each head, but skips any number of informational heads before the final one.
pub(super) const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// Stands for an unlimited number of bytes while no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// Limits the bytes that are read before the head of an answer is complete.
#[derive(Debug, Clone)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Begins to wait for a head.
    pub(super) fn start(&self) {
        self.0.store(MAX_ANSWER_HEAD_BYTES, Ordering::Release);
    }

    /// Ends the wait for a head; returns whether the head was too large.
    pub(super) fn stop(&self) -> bool {
        self.0.swap(UNLIMITED, Ordering::AcqRel) == 0
    }

    fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Acquire) == 0
    }

    fn record(&self, bytes: usize) {
        let left = self.0.load(Ordering::Acquire);
        if left != UNLIMITED {
            self.0.store(left.saturating_sub(bytes), Ordering::Release);
        }
    }
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

/// A connection to a target, whose reads yield after [`MAX_BYTES_BEFORE_YIELD`].
pub(super) struct TargetStream {
    stream: TcpStream,
    /// Number of bytes read since reading last had to wait.
    read_without_wait: usize,
    head_limit: HeadLimit,
}

impl TargetStream {
    pub(super) fn new(stream: TcpStream, head_limit: HeadLimit) -> Self {
        Self {
            stream,
            read_without_wait: 0,
            head_limit,
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head_limit.is_used_up() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if self.read_without_wait >= MAX_BYTES_BEFORE_YIELD {
            self.read_without_wait = 0;
            // Unlike a mere wake-up, this lets the runtime look for other input and timers first.
            if pin!(yield_now()).poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.head_limit.record(read);
        self.read_without_wait = match polled {
            Poll::Ready(_) => self.read_without_wait + read,
            Poll::Pending => 0,
        };
        polled
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
