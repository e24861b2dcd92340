//! Handlers that read, write and delete a single document.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{Path, Query, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::{HeaderName, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::Deserialize;

use super::AdminState;
use super::answer::{self, AdminError};
use super::token::{AuthenticatedOperator, ChangeHeaders};
use super::wire::{DOCUMENT_REVISION, REVISION};
use crate::config::commit::{DocumentOperation, Proposal};
use crate::config::path::DocumentPath;

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Options {
    #[serde(default)]
    dry_run: Option<u8>,
}

impl Options {
    fn is_dry_run(&self) -> bool {
        self.dry_run.is_some_and(|n| n != 0)
    }
}

pub(super) async fn put(
    State(state): State<Arc<AdminState>>,
    AuthenticatedOperator(operator): AuthenticatedOperator,
    headers: ChangeHeaders,
    Path(path): Path<String>,
    Query(options): Query<Options>,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let id = headers.id.as_str();
    let document = match DocumentPath::parse(&path) {
        Ok(document) => document,
        Err(e) => return answer::refused(StatusCode::BAD_REQUEST, id, "", e.to_string()),
    };
    let body = match body {
        Ok(body) => body,
        Err(e) => return answer::refused(e.status(), id, &path, e.body_text()),
    };
    let Ok(text) = std::str::from_utf8(&body) else {
        let why = "the document is not UTF-8".to_owned();
        return answer::refused(StatusCode::UNPROCESSABLE_ENTITY, id, &path, why);
    };
    let proposal = Proposal::new(
        operator,
        headers.id,
        DocumentOperation::Put(document, text.into()),
    )
    .if_match(headers.if_match)
    .dry_run(options.is_dry_run());
    commit(&state, &proposal).await
}

pub(super) async fn delete(
    State(state): State<Arc<AdminState>>,
    AuthenticatedOperator(operator): AuthenticatedOperator,
    headers: ChangeHeaders,
    Path(path): Path<String>,
    Query(options): Query<Options>,
) -> Response {
    let id = headers.id.as_str();
    let document = match DocumentPath::parse(&path) {
        Ok(document) => document,
        Err(e) => return answer::refused(StatusCode::BAD_REQUEST, id, "", e.to_string()),
    };
    let proposal = Proposal::new(operator, headers.id, DocumentOperation::Delete(document))
        .if_match(headers.if_match)
        .dry_run(options.is_dry_run());
    commit(&state, &proposal).await
}

pub(super) async fn commit(state: &AdminState, proposal: &Proposal) -> Response {
    let outcome = state.committer.commit(proposal).await;
    answer::change(proposal.id().as_str(), outcome)
}

pub(super) async fn get(
    State(state): State<Arc<AdminState>>,
    _: AuthenticatedOperator,
    Path(path): Path<String>,
) -> Result<Response, AdminError> {
    let path = DocumentPath::parse(&path).map_err(|e| AdminError::Request(e.to_string()))?;
    let (head, _) = state.newest_head().await;
    let Some(found) = head.documents.get(&path) else {
        return Err(AdminError::Missing(format!(
            "document `{path}` does not exist"
        )));
    };
    let text = state
        .committer
        .text(&found.blob)
        .await
        .map_err(|e| AdminError::Store(e.to_string()))?;
    let headers = [
        (CONTENT_TYPE, "application/toml".to_owned()),
        (
            HeaderName::from_static(REVISION),
            head.revision.0.to_string(),
        ),
        (
            HeaderName::from_static(DOCUMENT_REVISION),
            found.revision.0.to_string(),
        ),
    ];
    Ok((headers, text.as_ref().to_owned()).into_response())
}
