//! Faults: errors in configuration documents, with their positions.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An error in a configuration document, with the document, line and column.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the document; empty if the fault belongs to no document.
    pub path: SmolStr,
    /// The line, counted from 1; 0 if the fault has no position.
    pub line: usize,
    /// The column in characters, counted from 1; 0 if the fault has no position.
    pub column: usize,
    /// The description of the fault.
    pub message: String,
}

impl Fault {
    /// Creates a fault without a position in a document.
    pub fn whole(path: &str, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            line: 0,
            column: 0,
            message: message.into(),
        }
    }

    /// Creates a fault at a byte offset in a document's text.
    pub fn at(path: &str, text: &str, offset: usize, message: impl Into<String>) -> Self {
        let (line, column) = crate::settings::position(text, offset);
        Self {
            path: path.into(),
            line,
            column,
            message: message.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.message);
        }
        if self.line == 0 {
            return write!(f, "{}: {}", self.path, self.message);
        }
        write!(
            f,
            "{}:{}:{}: {}",
            self.path, self.line, self.column, self.message
        )
    }
}
