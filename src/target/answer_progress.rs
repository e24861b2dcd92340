//! Follows the body of an answer to tell whether the answer is complete where its bytes end.

use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};

use super::{EventBoundary, Framing};

/// The media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// The media type of JSON.
const JSON: &str = "application/json";

/// The end of media types that are based on JSON (RFC 6839, section 3.1).
const JSON_SUFFIX: &str = "+json";

/// Why an answer is incomplete although its connection was closed in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Incomplete {
    /// An event stream ended inside an event.
    #[error("the stream ended inside an event")]
    InsideEvent,
    /// An event stream ended with its connection, before its first event.
    #[error("the stream ended before its first event")]
    NoEvent,
    /// An event stream ended without the event that marks its end.
    #[error("the stream ended without its final event")]
    NoFinalEvent,
    /// A JSON text ended with its connection, inside a value.
    #[error("the answer ended inside a JSON value")]
    InsideJson,
}

/// What is known of the content of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    Events(EventBoundary),
    Json(JsonNesting),
    Opaque,
}

/// The position within a JSON text.
///
/// Numbers and names outside arrays and objects may be cut without notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct JsonNesting {
    begun: bool,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl JsonNesting {
    fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.in_string {
                self.in_string = self.escaped || *byte != b'"';
                self.escaped = !self.escaped && *byte == b'\\';
                continue;
            }
            match byte {
                b'"' => self.in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            self.begun |= !byte.is_ascii_whitespace();
        }
    }

    fn is_whole(self) -> bool {
        self.begun && self.depth == 0 && !self.in_string
    }
}

/// Follows the body of one answer.
#[derive(Debug)]
pub struct AnswerProgress {
    framing: Framing,
    received: u64,
    content: Content,
}

impl AnswerProgress {
    /// Creates the progress of an answer; `stream` says whether the request asks for an event
    /// stream.
    pub fn new(framing: Framing, stream: bool, status: StatusCode, headers: &HeaderMap) -> Self {
        let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let content = match content_type {
            _ if !status.is_success() => Content::Opaque,
            Some(content_type) => content_of(content_type, framing),
            None if stream && framing == Framing::ConnectionEnd => {
                Content::Events(EventBoundary::default())
            }
            None => Content::Opaque,
        };
        Self {
            framing,
            received: 0,
            content,
        }
    }

    /// Tells whether the body is an event stream.
    pub fn is_event_stream(&self) -> bool {
        matches!(self.content, Content::Events(_))
    }

    /// Records bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.received += data.len() as u64;
        match &mut self.content {
            Content::Events(boundary) => boundary.push(data),
            Content::Json(nesting) => nesting.push(data),
            Content::Opaque => {}
        }
    }

    /// Checks, where the source of the body reports its end, that the answer is complete.
    ///
    /// # Errors
    ///
    /// If the recorded bytes show that the answer was broken off.
    pub fn check_end(&self) -> Result<(), Incomplete> {
        let ends_with_connection = self.framing == Framing::ConnectionEnd;
        match self.content {
            Content::Events(boundary) if !boundary.is_between_events() => {
                Err(Incomplete::InsideEvent)
            }
            Content::Events(_) if ends_with_connection && self.received == 0 => {
                Err(Incomplete::NoEvent)
            }
            Content::Json(nesting) if !nesting.is_whole() => Err(Incomplete::InsideJson),
            _ => Ok(()),
        }
    }

    /// Tells whether all bytes of a body of known length have been recorded.
    pub fn has_whole_length(&self) -> bool {
        self.framing == Framing::Length(self.received)
    }

    /// Tells whether the recorded bytes end inside an event of an event stream.
    pub fn is_inside_event(&self) -> bool {
        matches!(self.content, Content::Events(boundary) if !boundary.is_between_events())
    }
}

/// Returns the media type of a content type, in lower case and without parameters.
pub(super) fn media_type(content_type: &str) -> String {
    let name = content_type.split(';').next().unwrap_or_default();
    name.trim().to_ascii_lowercase()
}

/// Returns what to follow of a body. The content of a JSON text matters only if its framing does not
/// tell its end.
fn content_of(content_type: &str, framing: Framing) -> Content {
    match media_type(content_type).as_str() {
        EVENT_STREAM => Content::Events(EventBoundary::default()),
        _ if framing != Framing::ConnectionEnd => Content::Opaque,
        JSON => Content::Json(JsonNesting::default()),
        name if name.ends_with(JSON_SUFFIX) => Content::Json(JsonNesting::default()),
        _ => Content::Opaque,
    }
}
