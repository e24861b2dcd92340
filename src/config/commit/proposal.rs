//! The changes that operators propose, and the outcomes of the proposals.

use std::sync::Arc;

use crate::config::Revision;
use crate::config::fault::Fault;
use crate::config::head::{BlobId, Change, ChangeId};
use crate::config::operator::Operator;
use crate::config::path::DocumentPath;

/// The edit of the configuration that a proposal requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentOperation {
    /// Create or replace a document.
    Put(DocumentPath, Arc<str>),
    /// Delete a document.
    Delete(DocumentPath),
    /// Restore all documents in the operator's subtree to an earlier revision.
    Rollback(Revision),
}

impl DocumentOperation {
    pub(super) fn rollback_to(&self) -> Option<Revision> {
        match self {
            Self::Rollback(to) => Some(*to),
            _ => None,
        }
    }
}

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    pub(super) operator: Operator,
    pub(super) id: ChangeId,
    pub(super) operation: DocumentOperation,
    pub(super) if_match: Option<Revision>,
    pub(super) dry_run: bool,
}

impl Proposal {
    /// Creates a proposal; `id` is unique to the change, and repeated requests for the same change
    /// carry the same `id`.
    pub fn new(operator: Operator, id: ChangeId, operation: DocumentOperation) -> Self {
        Self {
            operator,
            id,
            operation,
            if_match: None,
            dry_run: false,
        }
    }

    /// Returns the id of the change.
    pub fn id(&self) -> &ChangeId {
        &self.id
    }

    /// Restricts the proposal: the change is committed only if no other change modified the
    /// document after `revision`.
    #[must_use]
    pub fn if_match(mut self, revision: Option<Revision>) -> Self {
        self.if_match = revision;
        self
    }

    /// If `dry_run` is true, the change is checked and not committed.
    #[must_use]
    pub fn dry_run(mut self, dry_run: bool) -> Self {
        self.dry_run = dry_run;
        self
    }
}

/// The stored and the proposed version of a document that another change modified first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The document.
    pub path: DocumentPath,
    /// The revision of the change that was committed first.
    pub revision: Revision,
    /// The stored text; `None` if the document was deleted.
    pub theirs: Option<Arc<str>>,
    /// The proposed text; `None` for a deletion.
    pub yours: Option<Arc<str>>,
}

/// The outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in the store as this revision; a dry run returns the revision that the change
    /// would get.
    Accepted(Revision),
    /// The change is invalid; the change has not taken effect and will not.
    Refused(Vec<Fault>),
    /// The change has not taken effect: the operator is not allowed to make it.
    Forbidden(String),
    /// The change has not taken effect: another change modified the document first.
    Conflict(Box<Conflict>),
    /// The change has not taken effect: the store could not be reached.
    Unreachable(String),
    /// The change may have taken effect, but the store has not confirmed the change.
    Unknown(String),
}

/// Returns whether `change`, which has the id of the proposal, is the change that the proposal
/// requests.
pub(super) fn is_change_of(proposal: &Proposal, change: &Change) -> bool {
    if change.author != *proposal.operator.name() {
        return false;
    }
    let (path, after) = match &proposal.operation {
        DocumentOperation::Put(path, text) => (path, Some(BlobId::of(text))),
        DocumentOperation::Delete(path) => (path, None),
        DocumentOperation::Rollback(to) => return change.rollback_to == Some(*to),
    };
    match change.edits.as_slice() {
        [edit] => edit.path == *path && edit.after == after,
        _ => false,
    }
}
