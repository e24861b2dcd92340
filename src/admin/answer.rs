//! HTTP responses of the operators' interface.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};

use super::wire::{ChangeAnswer, ErrorAnswer};
use crate::config::commit::Outcome;
use crate::config::fault::Fault;

/// The reason why a request failed, other than a change that the committer has tried.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum AdminError {
    /// The request has no token, or an unknown one.
    #[error("an operator's token is required: `Authorization: Bearer TOKEN`")]
    Token,
    /// The request is malformed.
    #[error("{0}")]
    Request(String),
    /// The requested document or revision does not exist.
    #[error("{0}")]
    Missing(String),
    /// The configuration store does not answer.
    #[error("{0}")]
    Store(String),
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        let status = match self {
            Self::Token => StatusCode::UNAUTHORIZED,
            Self::Request(_) => StatusCode::BAD_REQUEST,
            Self::Missing(_) => StatusCode::NOT_FOUND,
            Self::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let error = self.to_string();
        (status, Json(ErrorAnswer { error })).into_response()
    }
}

/// Returns the response to a change that the committer has tried.
pub(super) fn change(id: &str, outcome: Outcome) -> Response {
    let status = match outcome {
        Outcome::Accepted(_) => StatusCode::OK,
        Outcome::Refused(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Forbidden(_) => StatusCode::FORBIDDEN,
        Outcome::Conflict(_) => StatusCode::CONFLICT,
        Outcome::Unreachable(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
    };
    (status, Json(ChangeAnswer::of(id, outcome))).into_response()
}

/// Returns the response to a change that is refused before the committer tries it.
pub(super) fn refused(status: StatusCode, id: &str, path: &str, why: String) -> Response {
    let outcome = Outcome::Refused(vec![Fault::whole(path, why)]);
    (status, Json(ChangeAnswer::of(id, outcome))).into_response()
}
