//! Handlers for the head of the tree, the change log, diffs between revisions, and rollback.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::response::Response;
use serde::Deserialize;

use super::AdminState;
use super::answer::AdminError;
use super::documents::commit;
use super::token::{AuthenticatedOperator, ChangeHeaders};
use super::wire::{ChangeEntry, DiffAnswer, DocumentAnswer, DocumentDiff, HeadAnswer, LogAnswer};
use crate::config::Revision;
use crate::config::commit::{DocumentOperation, Proposal};
use crate::config::head::{BlobId, Head};

/// The number of changes in the log when the request sets no limit.
const DEFAULT_LOG_LIMIT: usize = 50;

impl AdminState {
    /// Returns the head read from the store and `true`. If the read fails or gives an older
    /// revision than the one in force on this instance, returns the head in force and `false`.
    pub(super) async fn newest_head(&self) -> (Head, bool) {
        let in_force = Arc::clone(&self.distribution.loaded().borrow());
        match self.committer.head().await {
            Ok(head) if head.revision >= in_force.revision() => (head, true),
            _ => (in_force.head().clone(), false),
        }
    }
}

pub(super) async fn head(
    State(state): State<Arc<AdminState>>,
    _: AuthenticatedOperator,
) -> Json<HeadAnswer> {
    let (head, from_store) = state.newest_head().await;
    let mut documents = Vec::with_capacity(head.documents.len());
    for (path, found) in &head.documents {
        documents.push(DocumentAnswer {
            path: path.to_string(),
            revision: found.revision.0,
        });
    }
    Json(HeadAnswer {
        revision: head.revision.0,
        from_store,
        documents,
    })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LogOptions {
    limit: Option<usize>,
}

pub(super) async fn log(
    State(state): State<Arc<AdminState>>,
    _: AuthenticatedOperator,
    Query(options): Query<LogOptions>,
) -> Json<LogAnswer> {
    let (head, _) = state.newest_head().await;
    let mut changes = Vec::new();
    let limit = options.limit.unwrap_or(DEFAULT_LOG_LIMIT);
    for change in head.changes.iter().rev().take(limit) {
        changes.push(ChangeEntry::from(change));
    }
    Json(LogAnswer { changes })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DiffOptions {
    from: u64,
    to: Option<u64>,
}

pub(super) async fn diff(
    State(state): State<Arc<AdminState>>,
    _: AuthenticatedOperator,
    Query(options): Query<DiffOptions>,
) -> Result<Json<DiffAnswer>, AdminError> {
    let (head, _) = state.newest_head().await;
    let from = Revision(options.from);
    let to = options.to.map_or(head.revision, Revision);
    let documents_at = |revision: Revision| {
        head.documents_at(revision).ok_or_else(|| {
            AdminError::Missing(format!(
                "revision {} is not in the kept history",
                revision.0
            ))
        })
    };
    let before = documents_at(from)?;
    let after = documents_at(to)?;
    let mut documents = Vec::new();
    let mut paths: Vec<_> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    for path in paths {
        let (was, is) = (before.get(path), after.get(path));
        if was == is {
            continue;
        }
        documents.push(DocumentDiff {
            path: path.to_string(),
            before: state.owned_text(was).await?,
            after: state.owned_text(is).await?,
        });
    }
    Ok(Json(DiffAnswer {
        from: from.0,
        to: to.0,
        documents,
    }))
}

impl AdminState {
    async fn owned_text(&self, blob: Option<&BlobId>) -> Result<Option<String>, AdminError> {
        let Some(blob) = blob else {
            return Ok(None);
        };
        match self.committer.text(blob).await {
            Ok(text) => Ok(Some(text.as_ref().to_owned())),
            Err(e) => Err(AdminError::Store(e.to_string())),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RollbackOptions {
    to: u64,
}

pub(super) async fn rollback(
    State(state): State<Arc<AdminState>>,
    AuthenticatedOperator(operator): AuthenticatedOperator,
    headers: ChangeHeaders,
    Query(options): Query<RollbackOptions>,
) -> Response {
    let operation = DocumentOperation::Rollback(Revision(options.to));
    let proposal = Proposal::new(operator, headers.id, operation).if_match(headers.if_match);
    commit(&state, &proposal).await
}
