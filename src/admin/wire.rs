//! The JSON types of the operators' interface, written by an instance and read by the command
//! `limpetstand`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::commit::{Conflict, Outcome};
use crate::config::fault::Fault;
use crate::config::head::Change;
use crate::store::rate_limit::Usage;

/// The header with the id of a change.
pub const CHANGE_ID: &str = "limpetstand-change-id";

/// The header with the revision of the tree that a response was read from.
pub const REVISION: &str = "limpetstand-revision";

/// The header with the revision that last changed the document.
pub const DOCUMENT_REVISION: &str = "limpetstand-document-revision";

/// The outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is in the store or, for a dry run, would be accepted.
    Accepted,
    /// The change has not taken effect and will not.
    Refused,
    /// The change has not taken effect, because another change to the document came first.
    Conflict,
    /// The change may have taken effect; the caller can send the change again with the same change
    /// id to learn the outcome.
    Unknown,
}

/// The answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The outcome of the change.
    pub outcome: ChangeOutcome,
    /// The id of the change, to be repeated when the change is sent again.
    pub change_id: SmolStr,
    /// The revision that the change made, or would make if the request is a dry run. For a
    /// conflict, the revision of the change that was committed first.
    pub revision: Option<u64>,
    /// The reasons why the change was not accepted.
    pub faults: Vec<Fault>,
    /// Both versions of the document, if the outcome is a conflict.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub conflict: Option<ConflictAnswer>,
}

/// Both versions of a document that was changed concurrently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictAnswer {
    /// The path of the document.
    pub path: String,
    /// The current text; `None` if the document was deleted.
    pub theirs: Option<String>,
    /// The proposed text; `None` for a deletion.
    pub yours: Option<String>,
}

impl From<Conflict> for ConflictAnswer {
    fn from(conflict: Conflict) -> Self {
        Self {
            path: conflict.path.to_string(),
            theirs: conflict.theirs.map(|t| t.as_ref().to_owned()),
            yours: conflict.yours.map(|t| t.as_ref().to_owned()),
        }
    }
}

impl ChangeAnswer {
    /// Creates the answer to the change `id`.
    pub fn of(id: &str, outcome: Outcome) -> Self {
        let without_revision = |outcome, faults| Self {
            outcome,
            change_id: id.into(),
            revision: None,
            faults,
            conflict: None,
        };
        let single_fault = |message: String| vec![Fault::whole("", message)];
        match outcome {
            Outcome::Accepted(revision) => Self {
                revision: Some(revision.0),
                ..without_revision(ChangeOutcome::Accepted, Vec::new())
            },
            Outcome::Refused(faults) => without_revision(ChangeOutcome::Refused, faults),
            Outcome::Forbidden(message) => {
                without_revision(ChangeOutcome::Refused, single_fault(message))
            }
            Outcome::Unreachable(why) => {
                let message = format!("nothing was changed: {why}");
                without_revision(ChangeOutcome::Refused, single_fault(message))
            }
            Outcome::Unknown(why) => without_revision(ChangeOutcome::Unknown, single_fault(why)),
            Outcome::Conflict(conflict) => Self {
                revision: Some(conflict.revision.0),
                conflict: Some((*conflict).into()),
                ..without_revision(ChangeOutcome::Conflict, Vec::new())
            },
        }
    }
}

/// The answer to a request that failed and changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The error message.
    pub error: String,
}

/// The head of the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadAnswer {
    /// The revision of the tree.
    pub revision: u64,
    /// Whether the head was read from the store; if not, the answer has the head that is in force
    /// on the answering instance.
    pub from_store: bool,
    /// The documents of the tree.
    pub documents: Vec<DocumentAnswer>,
}

/// The path and revision of a document, without its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAnswer {
    /// The path of the document.
    pub path: String,
    /// The revision that last changed the document.
    pub revision: u64,
}

/// The latest changes, newest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogAnswer {
    /// The changes, newest first.
    pub changes: Vec<ChangeEntry>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// The revision that the change made.
    pub revision: u64,
    /// The id of the change.
    pub change_id: SmolStr,
    /// The team that made the change.
    pub author: SmolStr,
    /// The time of the change, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// The revision that the change restored, if the change is a rollback.
    pub rollback_to: Option<u64>,
    /// The paths of the documents that the change wrote.
    pub written: Vec<String>,
    /// The paths of the documents that the change deleted.
    pub deleted: Vec<String>,
}

impl From<&Change> for ChangeEntry {
    fn from(change: &Change) -> Self {
        let mut written = Vec::new();
        let mut deleted = Vec::new();
        for edit in &change.edits {
            let path = edit.path.to_string();
            match edit.after {
                Some(_) => written.push(path),
                None => deleted.push(path),
            }
        }
        Self {
            revision: change.revision.0,
            change_id: change.id.as_str().into(),
            author: change.author.clone(),
            unix_s: change.unix_s,
            rollback_to: change.rollback_to.map(|r| r.0),
            written,
            deleted,
        }
    }
}

/// The differences between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// The revision that the comparison starts from.
    pub from: u64,
    /// The revision that is compared with `from`.
    pub to: u64,
    /// The documents that differ.
    pub documents: Vec<DocumentDiff>,
}

/// The text of a document at two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDiff {
    /// The path of the document.
    pub path: String,
    /// The text at the revision `from`; `None` if the document did not exist.
    pub before: Option<String>,
    /// The text at the revision `to`; `None` if the document did not exist.
    pub after: Option<String>,
}

/// Whether a revision is in force on all instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitAnswer {
    /// The revision that was waited for.
    pub revision: u64,
    /// Whether each instance that is not dead has this revision or a newer revision in force.
    pub in_force: bool,
    /// The instances that are not dead and have only an older revision in force or did not answer.
    pub lagging: Vec<LaggingInstance>,
}

/// An instance that does not have a revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingInstance {
    /// The id of the instance.
    pub instance: SmolStr,
    /// The revision that the instance has in force; `None` if the instance did not answer.
    pub revision: Option<u64>,
}

/// The fleet in the view of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The id of the answering instance.
    pub instance: SmolStr,
    /// The revision that the answering instance has in force.
    pub revision: u64,
    /// The time since that revision was last known to be the newest, in milliseconds; `None` if the
    /// revision was never known to be the newest.
    pub config_age_ms: Option<u64>,
    /// All known instances.
    pub instances: Vec<InstanceAnswer>,
    /// The number of targets that the platform lists.
    pub targets: usize,
    /// The answering instance's use of the store.
    pub store: StoreAnswer,
}

/// The use that one instance has made of the store since the instance started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAnswer {
    /// Calls sent to the store.
    pub calls: u64,
    /// Calls that were not sent because the call budget was exhausted.
    pub refused: u64,
    /// Watches that are open now.
    pub watches: u64,
    /// The maximum number of calls a second; 0 for no limit.
    pub calls_per_second: u32,
}

impl From<Usage> for StoreAnswer {
    fn from(usage: Usage) -> Self {
        Self {
            calls: usage.calls,
            refused: usage.refused,
            watches: usage.watches,
            calls_per_second: usage.calls_per_second,
        }
    }
}

/// The status of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceAnswer {
    /// The id of the instance.
    pub instance: SmolStr,
    /// The region of the instance.
    pub region: SmolStr,
    /// The data centre of the instance.
    pub data_centre: SmolStr,
    /// The health in the view of the answering instance: `live`, `suspect`, `leaving` or `dead`.
    pub health: SmolStr,
    /// The revision that the instance has in force; `None` if the instance did not answer.
    pub revision: Option<u64>,
    /// The time since the instance last knew that revision to be the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
}
