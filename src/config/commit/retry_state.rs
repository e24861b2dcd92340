//! What a failed attempt to commit a proposal leaves for the next attempt to commit the same
//! proposal.

use super::proposal::{Outcome, Proposal, is_change_of};
use crate::config::Revision;
use crate::config::fault::Fault;
use crate::config::head::{BlobId, Head};
use crate::store::Entry;

/// What the earlier attempts to commit a proposal found out, for the next attempt.
#[derive(Default)]
pub(super) struct RetryState {
    /// The revision on which the first attempt was based.
    pub(super) first_base: Option<Revision>,
    /// The revision on which a swap with an unknown result was based.
    pub(super) in_doubt: Option<Revision>,
    /// The head that was in the store when a swap failed.
    pub(super) observed_head: Option<Entry>,
    /// The blobs that an earlier attempt wrote to the store, and the newest revision of the head
    /// before the attempt wrote them.
    pub(super) written: Option<(Revision, Vec<BlobId>)>,
}

impl RetryState {
    /// Returns whether the blobs that an earlier attempt wrote are certainly still in the store.
    ///
    /// A sweep deletes only blobs that an earlier head referred to. If neither this head nor any
    /// head since the write refers to the blobs, no sweep can have deleted them.
    pub(super) fn are_still_stored(&self, head: &Head, blobs: &[BlobId]) -> bool {
        let Some((since, written)) = &self.written else {
            return false;
        };
        let referenced = head.blobs();
        head.covers(*since)
            && blobs
                .iter()
                .all(|b| written.contains(b) && !referenced.contains(b))
    }

    /// Turns an outcome into `Unknown` while the result of an earlier swap is unknown.
    pub(super) fn final_outcome(&self, outcome: Outcome) -> Outcome {
        match self.in_doubt {
            Some(_) => Outcome::Unknown(format!(
                "result of an earlier attempt is unknown; the last attempt ended with {outcome:?}"
            )),
            None => outcome,
        }
    }
}

/// Returns the outcome if an earlier attempt or a repeated request has already decided the change.
pub(super) fn earlier_outcome(
    proposal: &Proposal,
    head: &Head,
    retry_state: &mut RetryState,
) -> Option<Outcome> {
    if let Some(change) = head.find_change(&proposal.id) {
        return Some(match is_change_of(proposal, change) {
            true => Outcome::Accepted(change.revision),
            false => Outcome::Refused(vec![Fault::whole(
                "",
                "the change id was already used for a different change",
            )]),
        });
    }
    let replaced = retry_state.in_doubt?;
    if head.revision == replaced {
        return None;
    }
    if !head.covers(replaced) {
        let reason = "the kept history is too short to tell whether the change took effect";
        return Some(Outcome::Unknown(reason.into()));
    }
    retry_state.in_doubt = None;
    None
}
