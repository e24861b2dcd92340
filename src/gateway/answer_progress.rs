//! Follows the body of an answer to tell whether the answer is complete where its bytes end.

use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

use super::routes::RouteKind;
use crate::target::EventBoundary;

/// The media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// How the end of an answer's body is recognised (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks, and the last chunk is marked.
    Chunked,
    /// The body ends when the connection is closed.
    ConnectionEnd,
}

impl Framing {
    /// Returns the framing of a target's answer; `length` is the exact length of its body, if
    /// known.
    pub fn of_target(length: Option<u64>, headers: &HeaderMap) -> Self {
        if let Some(length) = length {
            return Self::Length(length);
        }
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let codings = codings.and_then(|value| value.to_str().ok());
        let last_coding = codings.and_then(|codings| codings.rsplit(',').next());
        match last_coding {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Chunked,
            _ => Self::ConnectionEnd,
        }
    }

    /// Returns the framing of an answer between instances and towards the caller, where each body
    /// has an explicit end.
    pub fn of_relayed(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = *method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body {
            return Self::Length(0);
        }
        let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
        let length = length.and_then(|length| length.parse().ok());
        length.map_or(Self::Chunked, Self::Length)
    }
}

/// Why an answer is incomplete although its connection was closed in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Incomplete {
    /// An event stream ended inside an event.
    #[error("the stream ended inside an event")]
    InsideEvent,
}

/// Follows the body of one answer.
#[derive(Debug)]
pub struct AnswerProgress {
    framing: Framing,
    received: u64,
    /// The position within an event stream; `None` if the body is not an event stream.
    boundary: Option<EventBoundary>,
}

impl AnswerProgress {
    /// Creates the progress of an answer on a route of this kind.
    pub fn new(framing: Framing, kind: RouteKind, status: StatusCode, headers: &HeaderMap) -> Self {
        let media_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let is_event_stream = match media_type {
            Some(media_type) => is_event_stream(media_type),
            None => is_stream_route(kind) && framing == Framing::ConnectionEnd,
        };
        Self {
            framing,
            received: 0,
            boundary: (is_event_stream && status.is_success()).then(EventBoundary::default),
        }
    }

    /// Tells whether the body is an event stream.
    pub fn is_event_stream(&self) -> bool {
        self.boundary.is_some()
    }

    /// Records bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.received += data.len() as u64;
        if let Some(boundary) = &mut self.boundary {
            boundary.push(data);
        }
    }

    /// Checks, where the source of the body reports its end, that the answer is complete.
    ///
    /// # Errors
    ///
    /// If the recorded bytes show that the answer was broken off.
    pub fn check_end(&self) -> Result<(), Incomplete> {
        if self.is_inside_event() {
            return Err(Incomplete::InsideEvent);
        }
        Ok(())
    }

    /// Tells whether all bytes of a body of known length have been recorded.
    pub fn has_whole_length(&self) -> bool {
        self.framing == Framing::Length(self.received)
    }

    /// Tells whether the recorded bytes end inside an event of an event stream.
    pub fn is_inside_event(&self) -> bool {
        self.boundary.is_some_and(|b| !b.is_between_events())
    }
}

fn is_event_stream(media_type: &str) -> bool {
    let name = media_type.split(';').next().unwrap_or_default();
    name.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

fn is_stream_route(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Stream | RouteKind::ResumableStream)
}
