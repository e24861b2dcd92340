//! Commits configuration changes: writes the blobs first, then the head in one compare-and-swap.
//!
//! If the swap fails because other documents changed, the change is rebased and retried; if the
//! same document changed, the outcome is a conflict. If the store's response to the swap is lost,
//! the committer reads the head again: a change that took effect is found there by its id, and a
//! change that did not is retried with the same expected revision, so that it takes effect at most
//! once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::Instant;

use self::edits::{TextEdit, check_conflict, check_edits};
use self::retry_state::{RetryState, earlier_outcome};
use super::Revision;
use super::blob::{self, ReadError};
use super::fault::Fault;
use super::head::{BlobId, Change, Edit, HEAD_KEY, Head, HeadError};
use super::loaded::LoadedConfig;
use super::tree::Tree;
use crate::store::{Entry, Precondition, Store, StoreError, SwapResult};

mod edits;
mod proposal;
mod retry_state;

pub use self::proposal::{Conflict, DocumentOperation, Outcome, Proposal};

/// How long a commit is retried before the caller gets the outcome.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// The pause before the first retry; the pause doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// The upper limit of the pause between retries.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Commits changes to the configuration tree in the store.
pub struct Committer {
    store: Arc<dyn Store>,
    loaded: watch::Receiver<Arc<LoadedConfig>>,
    rng: Mutex<SmallRng>,
}

/// A head and the store revision that a swap of the head expects.
struct VersionedHead {
    head: Head,
    expect: Precondition,
}

impl TryFrom<Entry> for VersionedHead {
    type Error = HeadError;

    fn try_from(entry: Entry) -> Result<Self, HeadError> {
        Ok(Self {
            head: Head::try_from(entry.value.as_ref())?,
            expect: Precondition::Revision(entry.mod_revision),
        })
    }
}

/// Why an attempt did not commit a proposal.
enum AttemptError {
    /// The attempt ended with this outcome.
    Final(Outcome),
    /// The head changed in the meantime or the store call failed; the attempt is retried.
    Retry(StoreError),
}

impl From<StoreError> for AttemptError {
    fn from(e: StoreError) -> Self {
        match e {
            StoreError::Refused(reason) => {
                Self::Final(Outcome::Refused(vec![Fault::whole("", reason)]))
            }
            e => Self::Retry(e),
        }
    }
}

impl From<HeadError> for AttemptError {
    fn from(e: HeadError) -> Self {
        Self::Final(Outcome::Refused(vec![Fault::whole("", e.to_string())]))
    }
}

impl Committer {
    /// Creates a committer; document texts found in `loaded` are not read from the store.
    ///
    /// `seed` is the seed of the jitter of retry pauses.
    pub fn new(
        store: Arc<dyn Store>,
        loaded: watch::Receiver<Arc<LoadedConfig>>,
        seed: u64,
    ) -> Self {
        Self {
            store,
            loaded,
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Shortens a pause by up to half, so that committers do not retry at the same moment.
    fn jittered(&self, pause: Duration) -> Duration {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        pause.mul_f64(rng.random_range(0.5..1.0))
    }

    /// Reads the head from the store.
    ///
    /// # Errors
    ///
    /// If the store does not answer or the stored head cannot be decoded.
    pub async fn head(&self) -> Result<Head, ReadError> {
        Ok(self.versioned_head().await?.head)
    }

    /// Reads the text of a blob.
    ///
    /// # Errors
    ///
    /// If the store does not answer, or the blob is missing or damaged.
    pub async fn text(&self, blob: &BlobId) -> Result<Arc<str>, ReadError> {
        if let Some(text) = self.loaded.borrow().text(blob) {
            return Ok(Arc::clone(text));
        }
        blob::read(self.store.as_ref(), blob).await
    }

    /// Commits a proposal, with retries for at most [`COMMIT_TIMEOUT`].
    pub async fn commit(&self, proposal: &Proposal) -> Outcome {
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let mut retry_state = RetryState::default();
        let mut pause = INITIAL_BACKOFF;
        loop {
            let attempt =
                tokio::time::timeout_at(deadline, self.attempt(proposal, &mut retry_state));
            let reason = match attempt.await {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(AttemptError::Final(outcome))) => return retry_state.final_outcome(outcome),
                Ok(Err(AttemptError::Retry(e))) => e.to_string(),
                Err(_) => "the store did not answer before the commit timed out".to_owned(),
            };
            let next = Instant::now() + self.jittered(pause);
            if next >= deadline {
                return match retry_state.in_doubt {
                    Some(_) => Outcome::Unknown(reason),
                    None => Outcome::Unreachable(reason),
                };
            }
            tokio::time::sleep_until(next).await;
            pause = (pause * 2).min(MAX_BACKOFF);
        }
    }

    async fn attempt(
        &self,
        proposal: &Proposal,
        retry_state: &mut RetryState,
    ) -> Result<Outcome, AttemptError> {
        let base = match retry_state.observed_head.take() {
            Some(entry) => VersionedHead::try_from(entry)?,
            None => self.versioned_head().await.map_err(attempt_error)?,
        };
        if let Some(outcome) = earlier_outcome(proposal, &base.head, retry_state) {
            return Ok(outcome);
        }
        if base.head.revision < self.loaded.borrow().revision() {
            let reason =
                "the store holds an older revision than this instance and is being restored";
            return Err(AttemptError::Retry(StoreError::ResponseLost(reason.into())));
        }
        let first_base = *retry_state.first_base.get_or_insert(base.head.revision);
        let tree = self.tree(&base.head).await.map_err(attempt_error)?;
        let edits = self.edits(proposal, &base.head, &tree).await?;
        check_conflict(proposal, &base.head, &edits, first_base)?;
        self.check(proposal, tree, &edits).await?;
        let revision = Revision(base.head.revision.0 + 1);
        if proposal.dry_run {
            return Ok(Outcome::Accepted(revision));
        }
        let change = Change {
            revision,
            id: proposal.id.clone(),
            author: proposal.operator.name().clone(),
            rollback_to: proposal.operation.rollback_to(),
            unix_s: unix_seconds(),
            edits: edits.iter().map(Edit::from).collect(),
        };
        self.write_blobs(&base.head, &edits, retry_state).await?;
        self.swap(&base, change, retry_state).await
    }

    /// Checks the edited tree on the blocking thread pool, because the check of a large tree would
    /// delay the tasks that serve requests.
    async fn check(
        &self,
        proposal: &Proposal,
        tree: Tree,
        edits: &[TextEdit],
    ) -> Result<(), AttemptError> {
        let operator = proposal.operator.clone();
        let edits = edits.to_vec();
        let checked =
            tokio::task::spawn_blocking(move || check_edits(&operator, tree, &edits)).await;
        match checked {
            Ok(Ok(())) => Ok(()),
            Ok(Err(outcome)) => Err(AttemptError::Final(outcome)),
            Err(e) => Err(refused("", e.to_string())),
        }
    }

    async fn write_blobs(
        &self,
        head: &Head,
        edits: &[TextEdit],
        retry_state: &mut RetryState,
    ) -> Result<(), AttemptError> {
        let mut texts = BTreeMap::new();
        for edit in edits {
            if let Some(text) = &edit.after {
                texts.insert(BlobId::of(text), text);
            }
        }
        let blobs: Vec<BlobId> = texts.keys().cloned().collect();
        if retry_state.are_still_stored(head, &blobs) {
            return Ok(());
        }
        for text in texts.values() {
            blob::write(self.store.as_ref(), text).await?;
        }
        let referenced = head.blobs();
        let is_new = blobs.iter().all(|b| !referenced.contains(b));
        retry_state.written = is_new.then_some((head.revision, blobs));
        Ok(())
    }

    async fn swap(
        &self,
        base: &VersionedHead,
        change: Change,
        retry_state: &mut RetryState,
    ) -> Result<Outcome, AttemptError> {
        let revision = change.revision;
        let next = base.head.after(change);
        let value = Bytes::try_from(&next)?;
        let orphans = blob::unreferenced(self.store.as_ref(), &base.head, &next).await?;
        let previous_in_doubt = retry_state.in_doubt.replace(base.head.revision);
        let swapped = self.store.swap(HEAD_KEY, base.expect, value, None).await;
        match swapped {
            Ok(SwapResult::Done(_)) => {
                let store = Arc::clone(&self.store);
                tokio::spawn(async move { blob::sweep(store.as_ref(), orphans).await });
                Ok(Outcome::Accepted(revision))
            }
            Ok(SwapResult::Conflict(found)) => {
                retry_state.observed_head = found;
                Err(AttemptError::Retry(StoreError::ResponseLost(
                    "another change replaced the head".into(),
                )))
            }
            Err(e) => {
                if !matches!(e, StoreError::ResponseLost(_)) {
                    retry_state.in_doubt = previous_in_doubt;
                }
                Err(e.into())
            }
        }
    }

    async fn versioned_head(&self) -> Result<VersionedHead, ReadError> {
        let Some(entry) = self.store.get(HEAD_KEY).await? else {
            return Ok(VersionedHead {
                head: Head::default(),
                expect: Precondition::Absent,
            });
        };
        Ok(VersionedHead::try_from(entry)?)
    }

    /// Reads all documents of a head.
    ///
    /// # Errors
    ///
    /// If the store does not answer, or a document's blob is missing or damaged.
    pub async fn tree(&self, head: &Head) -> Result<Tree, ReadError> {
        let mut tree = Tree::default();
        for (path, found) in &head.documents {
            tree.put(path.clone(), self.text(&found.blob).await?);
        }
        Ok(tree)
    }
}

fn refused(path: &str, message: impl Into<String>) -> AttemptError {
    AttemptError::Final(Outcome::Refused(vec![Fault::whole(path, message)]))
}

fn attempt_error(e: ReadError) -> AttemptError {
    match e {
        ReadError::Store(e) => e.into(),
        ReadError::Head(e) => e.into(),
        ReadError::Blob(_) => AttemptError::Retry(StoreError::ResponseLost(e.to_string())),
    }
}

fn unix_seconds() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
