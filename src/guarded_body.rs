//! A body that keeps a guard until the body is dropped.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

/// A body that keeps a guard until the body is dropped.
pub(crate) struct GuardedBody<G, B> {
    _guard: G,
    body: B,
}

impl<G, B> GuardedBody<G, B> {
    pub(crate) fn new(guard: G, body: B) -> Self {
        Self {
            _guard: guard,
            body,
        }
    }
}

impl<G, B> Body for GuardedBody<G, B>
where
    G: Unpin,
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
