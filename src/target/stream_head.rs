//! Decides whether the answer of another target can go on with an event stream that broke off.
//!
//! The caller has got the head of the first answer and a part of its body. Any other kind of answer
//! would enter the stream as events, or end it as if it were complete.

use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderName};
use http::{HeaderMap, StatusCode};

use super::answer_progress::media_type;

/// Why an answer cannot go on with a stream.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NotContinued {
    /// The answer has another status than the stream.
    #[error("another target answered {0}")]
    Status(StatusCode),
    /// The answer has another media type than the stream, or one of them states none.
    #[error("another target answered with the media type `{0}`")]
    MediaType(String),
    /// The answer has another content coding than the stream.
    #[error("another target answered with the content coding `{0}`")]
    Coding(String),
    /// The answer has no body, so it does not tell how the stream goes on.
    #[error("another target answered without a body")]
    NoBody,
}

/// What the head of an answer tells about its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamHead {
    status: StatusCode,
    /// In lower case and without parameters; empty if there is none.
    media_type: String,
    coding: String,
    has_no_body: bool,
}

impl StreamHead {
    /// Creates the head of an answer that may have a body, which has no content coding.
    pub fn new(status: StatusCode, content_type: &str) -> Self {
        Self {
            status,
            media_type: media_type(content_type),
            coding: String::new(),
            has_no_body: false,
        }
    }

    /// Creates the head of an answer with these headers.
    pub fn with_headers(status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let coding = text(CONTENT_ENCODING).unwrap_or_default();
        Self {
            coding: coding.trim().to_ascii_lowercase(),
            has_no_body: text(CONTENT_LENGTH).is_some_and(|length| length.trim() == "0"),
            ..Self::new(status, text(CONTENT_TYPE).unwrap_or_default())
        }
    }

    /// Checks that the body of the answer `next` can go on with a stream that began with this head.
    ///
    /// # Errors
    ///
    /// If the answer is of another kind than the stream, or has no body.
    pub fn check_next(&self, next: &Self) -> Result<(), NotContinued> {
        if next.status != self.status {
            return Err(NotContinued::Status(next.status));
        }
        if next.media_type != self.media_type {
            return Err(NotContinued::MediaType(next.media_type.clone()));
        }
        if next.coding != self.coding {
            return Err(NotContinued::Coding(next.coding.clone()));
        }
        if next.has_no_body {
            return Err(NotContinued::NoBody);
        }
        Ok(())
    }
}
