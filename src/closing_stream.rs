//! A connection that ends at shutdown once nothing of a request has arrived, and that is reset if it
//! ends within an answer whose end only the end of the connection tells.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Sleep, sleep};

/// Time after its opening for which a connection waits for its first request at shutdown. Callers open
/// a connection when they have a request to send.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// A connection whose reads return its end, once `stop` is set, where no request has begun and the
/// system holds no bytes. A request that has arrived is thus read, however late.
pub(crate) struct ClosingStream {
    stream: TcpStream,
    stop: watch::Receiver<bool>,
    request: Arc<OpenRequest>,
    /// Ends the wait for the first request; `None` once a byte of it has been read.
    first_request: Option<Pin<Box<Sleep>>>,
    /// Whether the system resets the connection when it is closed, also if the process is killed.
    resets: bool,
}

/// How far the current request of a connection is.
#[derive(Debug, Default)]
pub(crate) struct OpenRequest {
    progress: AtomicU8,
    /// Whether the end of the connection would now pass for the end of an answer that is not whole.
    must_reset: AtomicBool,
}

impl OpenRequest {
    /// No byte of a request has been read.
    const NONE: u8 = 0;
    /// A request has been read in part, or has no complete answer.
    const OPEN: u8 = 1;
    /// The answer is complete, but may not have been written whole.
    const ANSWERED: u8 = 2;

    fn begin(&self) {
        self.progress.store(Self::OPEN, Ordering::Release);
    }

    fn is_none(&self) -> bool {
        self.progress.load(Ordering::Acquire) == Self::NONE
    }

    fn must_reset(&self) -> bool {
        self.must_reset.load(Ordering::Acquire)
    }

    /// Records that all is written; returns whether that ends a request.
    fn end_if_answered(&self) -> bool {
        let (answered, none) = (Self::ANSWERED, Self::NONE);
        let ended =
            self.progress
                .compare_exchange(answered, none, Ordering::AcqRel, Ordering::Acquire);
        ended.is_ok()
    }
}

/// Records that a request is answered when dropped.
pub(crate) struct AnswerGuard(Arc<OpenRequest>);

/// The body of an answer, which records how far the answer is.
pub(crate) struct AnswerBody<B> {
    guard: AnswerGuard,
    body: B,
    /// Whether only the end of the connection tells that of the body.
    ends_with_connection: bool,
}

impl AnswerGuard {
    /// Creates the guard of the request that has been read.
    pub(crate) fn new(request: &Arc<OpenRequest>) -> Self {
        request.begin();
        Self(Arc::clone(request))
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        let progress = &self.0.progress;
        progress.store(OpenRequest::ANSWERED, Ordering::Release);
    }
}

impl<B> AnswerBody<B> {
    pub(crate) fn new(guard: AnswerGuard, body: B, ends_with_connection: bool) -> Self {
        Self {
            guard,
            body,
            ends_with_connection,
        }
    }
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    /// The server asks only for a body that the caller gets, and asks for its end unless the length
    /// is known.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let ended = matches!(polled, Poll::Ready(None));
        let must_reset = &self.guard.0.must_reset;
        must_reset.store(self.ends_with_connection && !ended, Ordering::Release);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl ClosingStream {
    pub(crate) fn new(stream: TcpStream, stop: watch::Receiver<bool>) -> Self {
        Self {
            stream,
            stop,
            request: Arc::default(),
            first_request: Some(Box::pin(sleep(FIRST_REQUEST_TIME))),
            resets: false,
        }
    }

    /// Returns the state of the current request, which an [`AnswerGuard`] changes.
    pub(crate) fn request(&self) -> Arc<OpenRequest> {
        Arc::clone(&self.request)
    }

    /// Makes the connection reset when it is dropped.
    pub(crate) fn set_zero_linger(&self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }

    /// Makes the connection reset if it ends before the answer is whole.
    fn guard_answer(&mut self) -> io::Result<()> {
        if !self.resets && self.request.must_reset() {
            self.set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }

    /// Makes the connection end in order once the system holds a whole answer.
    fn release_answer(&mut self) -> io::Result<()> {
        if self.resets && !self.request.must_reset() {
            SockRef::from(&self.stream).set_linger(None)?;
            self.resets = false;
        }
        Ok(())
    }

    /// Tells whether the first request may still be on its way.
    fn awaits_first_request(&mut self, cx: &mut Context<'_>) -> bool {
        let timer = self.first_request.as_mut();
        timer.is_some_and(|timer| timer.as_mut().poll(cx).is_pending())
    }

    /// Asks the system, since the runtime may not know yet of bytes that arrived while the process
    /// stood still.
    fn is_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Tells whether `stop` is set or its sender dropped.
pub(crate) fn is_stopped(stop: &watch::Receiver<bool>) -> bool {
    *stop.borrow() || stop.has_changed().is_err()
}

impl AsyncRead for ClosingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.request.begin();
            self.first_request = None;
        }
        let ends = polled.is_pending()
            && self.request.is_none()
            && is_stopped(&self.stop)
            && !self.awaits_first_request(cx)
            && self.is_empty();
        if ends { Poll::Ready(Ok(())) } else { polled }
    }
}

impl AsyncWrite for ClosingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.guard_answer()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    /// The server flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.release_answer()?;
        }
        if polled.is_ready() && self.request.end_if_answered() && is_stopped(&self.stop) {
            // The server reads again, and so learns whether there is another request.
            cx.waker().wake_by_ref();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guard_answer()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
