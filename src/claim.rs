//! At-most-once execution of requests by claims in the store.
//!
//! Before a request with an idempotency key is sent to a target, the instance creates a claim for
//! the key in the store, unless the key has a claim already. An instance that finds a claim of
//! another attempt does not run the request: it returns the stored outcome, or reports that the
//! request may have run.

mod record;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::time::sleep;

use crate::call::{AnswerHead, Call, Operation};
use crate::clock::Clock;
use crate::id::{InstanceId, RequestId};
use crate::store::{Entry, LeaseId, Precondition, Store, StoreError, StoreRevision, SwapResult};

pub use record::{Outcome, Record, RecordError, State};

/// How long the outcome of a claimed request is kept at least.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// How long new claims are attached to the same lease.
const LEASE_SHARING_PERIOD: Duration = Duration::from_secs(60 * 60);

/// The largest response body that is stored. For a larger body, the claim records only that the
/// request may have run.
pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// The number of tries at a store call whose answer is lost.
const MAX_STORE_TRIES: u32 = 3;

/// The delay between tries at a store call.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The number of background tries to write an outcome or delete a claim.
const MAX_BACKGROUND_TRIES: u32 = 8;

/// The initial delay between background tries. The delay doubles after each try.
const BACKGROUND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a claim could not be created.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The store did not create the claim.
    #[error("the claim of the idempotency key could not be created: {0}")]
    NotCreated(StoreError),
    /// It is unknown whether the store created the claim.
    #[error("the request did not run, but the claim of its idempotency key may exist: {0}")]
    MayExist(StoreError),
    /// A claim record cannot be encoded or decoded.
    #[error(transparent)]
    Unreadable(#[from] RecordError),
}

/// The result of an attempt to claim a request.
#[derive(Debug)]
pub enum ClaimResult {
    /// This instance created the claim and must run the request.
    Acquired(Claim),
    /// The request has run with this outcome.
    Completed(Outcome),
    /// The request is running or may have run.
    Unresolved,
    /// The idempotency key was used for a different request.
    RequestMismatch,
}

/// Creates the claims of one instance, which let a request run at most once.
pub struct ClaimStore {
    store: Arc<dyn Store>,
    instance: InstanceId,
    clock: Clock,
    lease: tokio::sync::Mutex<Option<SharedLease>>,
}

#[derive(Debug, Clone, Copy)]
struct SharedLease {
    id: LeaseId,
    granted_at: Duration,
}

/// A claim that this instance holds, and so the right to run the claimed request.
pub struct Claim {
    claims: Arc<ClaimStore>,
    key: String,
    revision: StoreRevision,
    lease: LeaseId,
    record: Record,
}

impl std::fmt::Debug for Claim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claim")
            .field("key", &self.key)
            .field("revision", &self.revision)
            .finish()
    }
}

impl ClaimStore {
    /// Creates the claims of an instance, which are kept in the given store.
    pub fn new(store: Arc<dyn Store>, instance: InstanceId, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            store,
            instance,
            clock,
            lease: tokio::sync::Mutex::new(None),
        })
    }

    /// Creates the claim of a call under `idempotency_key`, or returns what the existing claim
    /// says.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its answers are lost. The request must not run in these
    /// cases.
    pub async fn claim(
        self: &Arc<Self>,
        call: &Call,
        idempotency_key: &str,
    ) -> Result<ClaimResult, ClaimError> {
        let key = store_key(call, idempotency_key);
        let lease = self.shared_lease().await.map_err(ClaimError::NotCreated)?;
        let record = Record::running(self.instance.clone(), body_hash(call));
        let value = record.encode()?;
        let mut unknown_result = None;
        for _ in 0..MAX_STORE_TRIES {
            let swap = self
                .store
                .swap(&key, Precondition::Absent, value.clone(), Some(lease));
            match swap.await {
                Ok(SwapResult::Done(revision)) => {
                    return Ok(ClaimResult::Acquired(
                        self.new_claim(key, revision, lease, record),
                    ));
                }
                Ok(SwapResult::Conflict(Some(entry))) => {
                    return self.resolve(key, entry, lease, record);
                }
                // The existing claim was deleted in the meantime; try again to create one.
                Ok(SwapResult::Conflict(None)) => {}
                Err(e @ StoreError::ResponseLost(_)) => {
                    unknown_result = Some(e);
                    sleep(STORE_RETRY_DELAY).await;
                }
                Err(e) => {
                    if e == StoreError::LeaseExpired {
                        *self.lease.lock().await = None;
                    }
                    return Err(self.creation_error(key, record, unknown_result, e));
                }
            }
        }
        let e = StoreError::ResponseLost("no answer from the store".to_owned());
        Err(self.creation_error(key, record, unknown_result, e))
    }

    /// Returns the error for a claim that was not created. If the answer to an earlier try was
    /// lost, the claim that it may have created is deleted in the background.
    fn creation_error(
        self: &Arc<Self>,
        key: String,
        record: Record,
        unknown_result: Option<StoreError>,
        last_error: StoreError,
    ) -> ClaimError {
        let Some(unknown_result) = unknown_result else {
            return ClaimError::NotCreated(last_error);
        };
        let claims = Arc::clone(self);
        tokio::spawn(async move { claims.delete_if_own(&key, &record).await });
        ClaimError::MayExist(unknown_result)
    }

    fn new_claim(
        self: &Arc<Self>,
        key: String,
        revision: StoreRevision,
        lease: LeaseId,
        record: Record,
    ) -> Claim {
        Claim {
            claims: Arc::clone(self),
            key,
            revision,
            lease,
            record,
        }
    }

    /// Resolves a claim by the existing entry. The entry may be of this attempt, if the answer to
    /// an earlier try was lost.
    fn resolve(
        self: &Arc<Self>,
        key: String,
        entry: Entry,
        lease: LeaseId,
        own: Record,
    ) -> Result<ClaimResult, ClaimError> {
        let record = Record::decode(&entry.value)?;
        if record.attempt() == own.attempt() {
            return Ok(ClaimResult::Acquired(self.new_claim(
                key,
                entry.mod_revision,
                lease,
                own,
            )));
        }
        if record.body_hash() != own.body_hash() {
            return Ok(ClaimResult::RequestMismatch);
        }
        match record.into_state() {
            State::Done(outcome) => Ok(ClaimResult::Completed(outcome)),
            State::Running | State::Unknown => Ok(ClaimResult::Unresolved),
        }
    }

    /// Returns the lease for new claims. The lease is never renewed; its time to live includes the
    /// period in which claims are attached to it, so each claim lasts at least `OUTCOME_RETENTION`.
    async fn shared_lease(&self) -> Result<LeaseId, StoreError> {
        let mut lease = self.lease.lock().await;
        let now = self.clock.now();
        if let Some(shared) = *lease
            && now.saturating_sub(shared.granted_at) < LEASE_SHARING_PERIOD
        {
            return Ok(shared.id);
        }
        let id = self
            .store
            .grant(OUTCOME_RETENTION + LEASE_SHARING_PERIOD)
            .await?;
        *lease = Some(SharedLease {
            id,
            granted_at: now,
        });
        Ok(id)
    }

    /// Deletes the claim of an attempt if the store has it.
    async fn delete_if_own(&self, key: &str, record: &Record) {
        let mut delay = BACKGROUND_RETRY_DELAY;
        for _ in 0..MAX_BACKGROUND_TRIES {
            sleep(delay).await;
            delay *= 2;
            let Ok(entry) = self.store.get(key).await else {
                continue;
            };
            // A write in flight may still arrive, so an absent claim is looked up again.
            let Some(entry) = entry else {
                continue;
            };
            let is_own =
                Record::decode(&entry.value).is_ok_and(|r| r.attempt() == record.attempt());
            if !is_own || self.store.delete(key, entry.mod_revision).await.is_ok() {
                return;
            }
        }
    }
}

impl Claim {
    /// Deletes the claim because the request has not run. Returns `false` if the claim may still
    /// exist.
    pub async fn release(self) -> bool {
        for _ in 0..MAX_STORE_TRIES {
            match self.claims.store.delete(&self.key, self.revision).await {
                Ok(_) => return true,
                Err(StoreError::ResponseLost(_)) => sleep(STORE_RETRY_DELAY).await,
                Err(_) => break,
            }
        }
        let claims = Arc::clone(&self.claims);
        tokio::spawn(async move { claims.delete_if_own(&self.key, &self.record).await });
        false
    }

    /// Stores the outcome of the request; failed tries are repeated for about two minutes.
    pub async fn store_outcome(self, head: AnswerHead, body: Bytes) {
        let state = if body.len() > MAX_STORED_BODY_BYTES {
            State::Unknown
        } else {
            State::Done(Outcome::new(head, body))
        };
        self.write_state(state).await;
    }

    /// Stores that the request may have run, with the same tries as [`Self::store_outcome`].
    pub async fn store_unknown_outcome(self) {
        self.write_state(State::Unknown).await;
    }

    async fn write_state(self, state: State) {
        let Ok(value) = self.record.with_state(state).encode() else {
            return;
        };
        let expect = Precondition::Revision(self.revision);
        let mut delay = BACKGROUND_RETRY_DELAY;
        for _ in 0..MAX_BACKGROUND_TRIES {
            let swap = self
                .claims
                .store
                .swap(&self.key, expect, value.clone(), Some(self.lease));
            // A swap whose expectation fails is final: an earlier try succeeded or the claim has
            // expired.
            if swap.await.is_ok() {
                return;
            }
            sleep(delay).await;
            delay *= 2;
        }
        metrics::counter!("limpetstand_outcomes_lost_total").increment(1);
    }
}

fn store_key(call: &Call, idempotency_key: &str) -> String {
    let organisation = call.organisation.as_ref().map_or("", |o| o.as_str());
    let mut hasher = Sha256::new();
    for part in [organisation, call.route.as_str(), idempotency_key] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut key = String::from("claims/");
    for byte in digest {
        key.push_str(&format!("{byte:02x}"));
    }
    key
}

/// Returns a hash of the call's method, path and body.
fn body_hash(call: &Call) -> [u8; 32] {
    let mut hasher = Sha256::new();
    let (method, path) = match &call.operation {
        Operation::Model { path, .. } => ("POST", path),
        Operation::Service { method, path, .. } => (method.as_str(), path),
    };
    for part in [method, path] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&call.body);
    hasher.finalize().into()
}

/// Returns a new random ID for one attempt to claim a request.
fn new_attempt_id() -> RequestId {
    RequestId::random()
}
