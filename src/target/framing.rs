//! How the end of an answer's body is recognised.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

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
