//! Computes the edits of a proposal and checks that they are allowed.

use std::sync::Arc;

use super::{
    AttemptError, Committer, Conflict, DocumentOperation, Outcome, Proposal, attempt_error, refused,
};
use crate::config::head::{BlobId, Edit, Head};
use crate::config::operator::Operator;
use crate::config::path::DocumentPath;
use crate::config::tree::{Tree, parse_document};
use crate::config::{Document, Revision};

/// An edit of one document, with the texts before and after.
#[derive(Debug, Clone)]
pub(super) struct TextEdit {
    pub(super) path: DocumentPath,
    pub(super) before: Option<Arc<str>>,
    pub(super) after: Option<Arc<str>>,
}

impl From<&TextEdit> for Edit {
    fn from(edit: &TextEdit) -> Self {
        Self {
            path: edit.path.clone(),
            before: edit.before.as_deref().map(BlobId::of),
            after: edit.after.as_deref().map(BlobId::of),
        }
    }
}

impl Committer {
    /// Computes the edits that a proposal makes to the tree of a head.
    pub(super) async fn edits(
        &self,
        proposal: &Proposal,
        head: &Head,
        tree: &Tree,
    ) -> Result<Vec<TextEdit>, AttemptError> {
        let (path, after) = match &proposal.operation {
            DocumentOperation::Put(path, text) => (path, Some(Arc::clone(text))),
            DocumentOperation::Delete(path) => (path, None),
            DocumentOperation::Rollback(to) => {
                return self.rollback_edits(proposal, head, tree, *to).await;
            }
        };
        if !proposal.operator.owns(path) {
            let message = format!("`{path}` is outside `{}`", proposal.operator.subtree());
            return Err(AttemptError::Final(Outcome::Forbidden(message)));
        }
        let before = tree.get(path).cloned();
        Ok(vec![TextEdit {
            path: path.clone(),
            before,
            after,
        }])
    }

    async fn rollback_edits(
        &self,
        proposal: &Proposal,
        head: &Head,
        tree: &Tree,
        to: Revision,
    ) -> Result<Vec<TextEdit>, AttemptError> {
        let Some(earlier) = head.documents_at(to) else {
            return Err(refused(
                "",
                format!("revision {} is not in the kept history", to.0),
            ));
        };
        let mut paths: Vec<&DocumentPath> = head.documents.keys().chain(earlier.keys()).collect();
        paths.sort();
        paths.dedup();
        let mut edits = Vec::new();
        for path in paths {
            let current = head.documents.get(path).map(|d| &d.blob);
            if !proposal.operator.owns(path) || current == earlier.get(path) {
                continue;
            }
            let after = match earlier.get(path) {
                Some(blob) => Some(self.text(blob).await.map_err(attempt_error)?),
                None => None,
            };
            edits.push(TextEdit {
                path: path.clone(),
                before: tree.get(path).cloned(),
                after,
            });
        }
        Ok(edits)
    }
}

/// Checks that no document was changed after the revision that the proposal is based on.
pub(super) fn check_conflict(
    proposal: &Proposal,
    head: &Head,
    edits: &[TextEdit],
    first_base: Revision,
) -> Result<(), AttemptError> {
    let base = proposal.if_match.unwrap_or(first_base);
    for edit in edits {
        if let Some(revision) = changed_after(head, &edit.path, base) {
            return Err(AttemptError::Final(Outcome::Conflict(Box::new(Conflict {
                path: edit.path.clone(),
                revision,
                theirs: edit.before.clone(),
                yours: edit.after.clone(),
            }))));
        }
        if edit.before.is_none() && edit.after.is_none() {
            return Err(refused(edit.path.as_str(), "the document does not exist"));
        }
    }
    if base > head.revision {
        let message = format!("revision {} does not exist yet", base.0);
        return Err(refused("", message));
    }
    Ok(())
}

/// Returns the revision of the last change to a document if it is greater than `base`.
fn changed_after(head: &Head, path: &DocumentPath, base: Revision) -> Option<Revision> {
    if let Some(found) = head.documents.get(path) {
        return (found.revision > base).then_some(found.revision);
    }
    let deleted = head
        .changes
        .iter()
        .rev()
        .find(|c| c.edits.iter().any(|e| e.path == *path))?;
    (deleted.revision > base).then_some(deleted.revision)
}

/// Checks that the operator may make the edits and that the resulting tree is valid.
pub(super) fn check_edits(
    operator: &Operator,
    mut tree: Tree,
    edits: &[TextEdit],
) -> Result<(), Outcome> {
    for edit in edits {
        match &edit.after {
            Some(text) => tree.put(edit.path.clone(), Arc::clone(text)),
            None => tree.delete(&edit.path),
        };
    }
    tree.check().map_err(Outcome::Refused)?;
    if operator.owns_all() {
        return Ok(());
    }
    let own = own_documents(operator, &tree);
    for edit in edits {
        check_team_edit(&own, edit)?;
    }
    Ok(())
}

/// Checks that a team's edit changes no operator tokens and defines no keys of organisations
/// outside the team's subtree.
fn check_team_edit(own_documents: &[Document], edit: &TextEdit) -> Result<(), Outcome> {
    for text in edit.before.iter().chain(edit.after.iter()) {
        let Ok(document) = parse_document(&edit.path, text) else {
            continue;
        };
        if !document.teams.is_empty() {
            let message = format!(
                "`{}` defines operator tokens, which a team may not change",
                edit.path
            );
            return Err(Outcome::Forbidden(message));
        }
    }
    let Some(text) = &edit.after else {
        return Ok(());
    };
    let Ok(document) = parse_document(&edit.path, text) else {
        return Ok(());
    };
    for (name, key) in &document.keys {
        let defines_organisation = |d: &Document| d.organisations.contains_key(&key.organisation);
        if own_documents.iter().any(defines_organisation) {
            continue;
        }
        let message = format!(
            "keys.{name}: organisation `{}` belongs to another team",
            key.organisation
        );
        return Err(Outcome::Forbidden(message));
    }
    Ok(())
}

/// Parses the documents of the operator's subtree.
fn own_documents(operator: &Operator, tree: &Tree) -> Vec<Document> {
    let mut documents = Vec::new();
    for (path, text) in tree.iter() {
        if !operator.owns(path) {
            continue;
        }
        documents.extend(parse_document(path, text));
    }
    documents
}
