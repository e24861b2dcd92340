//! Decides whether an answer belongs to the request that was sent on its connection.
//!
//! A faulty target may write an answer once more, on a connection that is in use again. Only the id
//! tells the copy from the answer, so no other part of an answer may be used before its id has been
//! compared. If the answer is another's, the outcome of the request is unknown, and the connection is
//! not used any more, as the request's own answer may still follow.

/// How an answer without an id is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingId {
    /// The answer belongs to the request; only the connection tells so.
    Accept,
    /// The answer belongs to another request.
    Reject,
}

impl MissingId {
    /// Returns how an answer of a target that echoes ids is treated. Targets turn requests away without
    /// an id, but on a connection that has carried another request, that may be the refusal of it.
    pub fn of_answer(is_refusal: bool, is_success: bool, connection_reused: bool) -> Self {
        match (is_refusal, is_success) {
            (false, true) => Self::Reject,
            (true, _) if connection_reused => Self::Reject,
            _ => Self::Accept,
        }
    }
}

/// Tells whether an answer that states the id `stated`, if any, belongs to the request `sent`.
pub fn belongs(sent: &[u8], stated: Option<&[u8]>, missing: MissingId) -> bool {
    match stated {
        Some(stated) => stated == sent,
        None => missing == MissingId::Accept,
    }
}
