//! Paths of documents in the tree.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The maximum length of a path in bytes.
pub const MAX_PATH_BYTES: usize = 200;

/// The maximum number of segments in a path.
pub const MAX_SEGMENTS: usize = 12;

/// Why a text is not a valid document path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{path}` is not a document path: {reason}")]
pub struct PathError {
    path: SmolStr,
    reason: &'static str,
}

/// The path of a document, such as `bookings/keys`.
///
/// Segments consist of lower-case ASCII letters, digits, `-` and `_`, and are joined by single `/`.
/// Other forms are refused and not normalised, so each path has exactly one spelling.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct DocumentPath(SmolStr);

impl DocumentPath {
    /// Parses a path.
    ///
    /// # Errors
    ///
    /// If the text is not a valid path.
    pub fn parse(text: &str) -> Result<Self, PathError> {
        let error = |reason| PathError {
            path: truncated(text),
            reason,
        };
        if text.is_empty() {
            return Err(error("the path is empty"));
        }
        if text.len() > MAX_PATH_BYTES {
            return Err(error("the path is longer than 200 bytes"));
        }
        let mut segments = 0;
        for segment in text.split('/') {
            segments += 1;
            if segment.is_empty() {
                return Err(error("the path has an empty segment"));
            }
            if !segment.bytes().all(is_allowed) {
                return Err(error("only a-z, 0-9, `-`, `_` and `/` are allowed"));
            }
        }
        if segments > MAX_SEGMENTS {
            return Err(error("the path has more than 12 segments"));
        }
        Ok(Self(text.into()))
    }

    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the path is `root` or below `root`; an empty root contains every path.
    pub fn is_within(&self, root: &str) -> bool {
        if root.is_empty() {
            return true;
        }
        match self.0.strip_prefix(root) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

impl fmt::Display for DocumentPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<SmolStr> for DocumentPath {
    type Error = PathError;

    fn try_from(text: SmolStr) -> Result<Self, PathError> {
        Self::parse(&text)
    }
}

impl From<DocumentPath> for SmolStr {
    fn from(path: DocumentPath) -> Self {
        path.0
    }
}

fn is_allowed(b: u8) -> bool {
    b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_'
}

fn truncated(text: &str) -> SmolStr {
    text.chars().take(80).collect()
}
