//! Operators and the documents that they may change.

use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use super::Document;
use super::head::hex_digest;
use super::path::DocumentPath;

/// The author name of changes made with the root token.
pub const ROOT_NAME: &str = "root";

/// An authenticated operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    name: SmolStr,
    root: SmolStr,
}

impl Operator {
    /// Returns the operator that may change the whole tree.
    pub fn root() -> Self {
        Self {
            name: ROOT_NAME.into(),
            root: SmolStr::default(),
        }
    }

    /// Returns an operator of a team, who may change only the team's subtree.
    pub fn of_team(name: impl Into<SmolStr>, root: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            root: root.into(),
        }
    }

    /// Returns the name of the team.
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Returns whether the operator may change the whole tree.
    pub fn owns_all(&self) -> bool {
        self.root.is_empty()
    }

    /// Returns whether a document lies in the operator's subtree.
    pub fn owns(&self, path: &DocumentPath) -> bool {
        path.is_within(&self.root)
    }

    /// Returns the path of the operator's subtree; empty for the whole tree.
    pub fn subtree(&self) -> &str {
        &self.root
    }
}

/// Finds the operator with a token, by the token's hash.
///
/// All hashes are compared, each in constant time, so that the time taken does not reveal a match.
pub fn authenticate(token: &str, root_hash: Option<&str>, document: &Document) -> Option<Operator> {
    let hash = hex_digest(token.as_bytes());
    let mut found = None;
    for (name, team) in &document.teams {
        if constant_time_eq(&hash, &team.hash) {
            found = Some(Operator::of_team(name.clone(), team.root.clone()));
        }
    }
    if root_hash.is_some_and(|root| constant_time_eq(&hash, root)) {
        found = Some(Operator::root());
    }
    found
}

fn constant_time_eq(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}
