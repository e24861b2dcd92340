//! Parsing of server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The data of the event that ends an OpenAI stream.
const DONE: &[u8] = b"[DONE]";

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("server-sent event larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream of bytes into complete events, each including the blank line that ends the
/// event.
///
/// Lines end in LF or CRLF.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
    line_start: usize,
}

impl EventSplitter {
    /// Adds bytes as received. Call [`Self::next_event`] until it returns `None` before adding
    /// more.
    ///
    /// # Errors
    ///
    /// If the buffered incomplete event already exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event, if any.
    pub fn next_event(&mut self) -> Option<Bytes> {
        while self.scanned < self.buf.len() {
            let at = self.scanned;
            self.scanned += 1;
            if self.buf[at] != b'\n' {
                continue;
            }
            let line = &self.buf[self.line_start..at];
            let blank = line.is_empty() || line == b"\r";
            self.line_start = self.scanned;
            if blank {
                return Some(self.take(self.scanned));
            }
        }
        None
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.take(self.buf.len())
    }

    fn take(&mut self, end: usize) -> Bytes {
        self.scanned = 0;
        self.line_start = 0;
        self.buf.split_to(end).freeze()
    }
}

/// Tells whether a stream of events has ended between two events.
///
/// Lines end in LF or CRLF.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EventBoundary {
    inside_event: bool,
    line: Line,
}

/// The bytes of the current line so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Line {
    #[default]
    Empty,
    CarriageReturn,
    Text,
}

impl EventBoundary {
    /// Adds bytes as received.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if *byte == b'\n' {
                self.inside_event = self.line == Line::Text;
                self.line = Line::Empty;
                continue;
            }
            self.inside_event = true;
            self.line = match (self.line, byte) {
                (Line::Empty, b'\r') => Line::CarriageReturn,
                _ => Line::Text,
            };
        }
    }

    /// Returns whether no event has begun, or the last event has ended with a blank line.
    pub fn is_between_events(self) -> bool {
        !self.inside_event
    }
}

/// Returns the data lines of an event, joined by LF; empty for a comment.
pub fn event_data(event: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    for line in event.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        if !data.is_empty() {
            data.push(b'\n');
        }
        data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }
    data
}

/// Returns the ID of an event, if any.
pub fn event_id(event: &[u8]) -> Option<&str> {
    for line in event.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        return std::str::from_utf8(value).ok();
    }
    None
}

/// Tells whether an event with the id `next` may follow one with the id `last`. Ids that are numbers
/// increase; other ids differ.
pub fn may_follow(last: &str, next: &str) -> bool {
    match (last.parse::<u64>(), next.parse::<u64>()) {
        (Ok(last), Ok(next)) => next > last,
        _ => next != last,
    }
}

/// Returns whether an event ends an OpenAI stream.
pub fn is_done_event(event: &[u8]) -> bool {
    event_data(event) == DONE
}
