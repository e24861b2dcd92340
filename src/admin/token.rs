//! Authentication of operators, and the headers of a change.

use std::sync::Arc;

use axum::extract::FromRequestParts;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use axum::http::request::Parts;

use super::AdminState;
use super::answer::AdminError;
use super::wire::CHANGE_ID;
use crate::config::Revision;
use crate::config::head::ChangeId;
use crate::config::operator::{Operator, authenticate};

/// The operator whose token a request carries.
pub(super) struct AuthenticatedOperator(pub(super) Operator);

impl FromRequestParts<Arc<AdminState>> for AuthenticatedOperator {
    type Rejection = AdminError;

    async fn from_request_parts(
        parts: &mut Parts,
        state: &Arc<AdminState>,
    ) -> Result<Self, AdminError> {
        let token = bearer_token(&parts.headers).ok_or(AdminError::Token)?;
        let snapshots = state.distribution.snapshots();
        let snapshot = Arc::clone(&snapshots.borrow());
        authenticate(token, state.root_hash.as_deref(), &snapshot.merged)
            .map(Self)
            .ok_or(AdminError::Token)
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = text.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case("bearer") && !token.is_empty();
    is_bearer.then_some(token)
}

/// The headers that a change may carry.
///
/// A change without an id gets a random one.
pub(super) struct ChangeHeaders {
    pub(super) id: ChangeId,
    pub(super) if_match: Option<Revision>,
}

impl<S: Sync> FromRequestParts<S> for ChangeHeaders {
    type Rejection = AdminError;

    async fn from_request_parts(parts: &mut Parts, _: &S) -> Result<Self, AdminError> {
        let id = match header_text(&parts.headers, CHANGE_ID)? {
            Some(text) => ChangeId::parse(text).ok_or_else(|| {
                AdminError::Request(format!(
                    "{CHANGE_ID} must be 1 to 100 visible ASCII characters"
                ))
            })?,
            None => ChangeId::random(),
        };
        let if_match = match header_text(&parts.headers, "if-match")? {
            Some(text) => Some(parse_revision(text)?),
            None => None,
        };
        Ok(Self { id, if_match })
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, AdminError> {
    let mut all = headers.get_all(name).iter();
    let Some(first) = all.next() else {
        return Ok(None);
    };
    if all.next().is_some() {
        return Err(AdminError::Request(format!(
            "the header {name} occurs more than once"
        )));
    }
    match first.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(AdminError::Request(format!(
            "the header {name} is not ASCII"
        ))),
    }
}

fn parse_revision(text: &str) -> Result<Revision, AdminError> {
    match text.trim_matches('"').parse() {
        Ok(n) => Ok(Revision(n)),
        Err(_) => Err(AdminError::Request(
            "if-match must be a revision number".into(),
        )),
    }
}
