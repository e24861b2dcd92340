//! Server-sent events, split where one ends and the next begins.

use bytes::{Bytes, BytesMut};

/// The most bytes one event may take.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The data of the event that ends an OpenAI stream.
const DONE: &[u8] = b"[DONE]";

/// An event is larger than any that a target may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("event larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream of bytes into whole events, each with the blank line that ends it.
///
/// Lines end in LF or CRLF.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
    line_start: usize,
}

impl EventSplitter {
    /// Adds bytes as they came, once [`Self::next_event`] has nothing left to give.
    ///
    /// # Errors
    ///
    /// If the unfinished event before them is too long already.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event, if there is one.
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

    /// Returns whether bytes of an unfinished event are left.
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Takes the bytes of an unfinished event.
    pub fn take_rest(&mut self) -> Bytes {
        self.take(self.buf.len())
    }

    fn take(&mut self, end: usize) -> Bytes {
        self.scanned = 0;
        self.line_start = 0;
        self.buf.split_to(end).freeze()
    }
}

/// Returns the data lines of an event, joined by LF; empty for a comment.
pub fn data_of(event: &[u8]) -> Vec<u8> {
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

/// Returns the identity of an event, if it has one.
pub fn id_of(event: &[u8]) -> Option<&str> {
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

/// Returns whether an event ends an OpenAI stream.
pub fn is_done(event: &[u8]) -> bool {
    data_of(event) == DONE
}
