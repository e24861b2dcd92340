//! The form in which the store keeps a claim on the right to run a request.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::new_attempt_id;
use crate::call::AnswerHead;
use crate::id::{InstanceId, RegionId, RequestId, TargetId};
use crate::peer::{PeerError, decode, encode};

/// The format version of records. Records of another version are not decoded.
const FORMAT_VERSION: u8 = 1;

/// A record cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("claim record: {0}")]
pub struct RecordError(String);

impl From<PeerError> for RecordError {
    fn from(e: PeerError) -> Self {
        Self(e.to_string())
    }
}

/// A claim as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    attempt: RequestId,
    instance: InstanceId,
    body_hash: [u8; 32],
    state: State,
}

/// The state of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// The request is running, or its instance ended before it stored a result.
    Running,
    /// The request may have run. Its outcome will not become known.
    Unknown,
    /// The request ran with this outcome.
    Done(Outcome),
}

/// The response to a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    head: AnswerHead,
    body: Bytes,
}

impl Outcome {
    /// Creates the outcome of a request whose response is complete.
    pub fn new(head: AnswerHead, body: Bytes) -> Self {
        Self { head, body }
    }

    /// Splits the outcome into head and body.
    pub fn into_parts(self) -> (AnswerHead, Bytes) {
        (self.head, self.body)
    }
}

impl Record {
    /// Creates the record of a new claim, for a request that `instance` is about to run.
    pub fn running(instance: InstanceId, body_hash: [u8; 32]) -> Self {
        Self {
            attempt: new_attempt_id(),
            instance,
            body_hash,
            state: State::Running,
        }
    }

    /// Returns the same record in another state.
    pub fn with_state(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns the ID of the attempt that created the claim.
    pub fn attempt(&self) -> RequestId {
        self.attempt
    }

    /// Returns the hash of the request's method, path and body.
    pub fn body_hash(&self) -> [u8; 32] {
        self.body_hash
    }

    /// Returns the state of the request.
    pub fn into_state(self) -> State {
        self.state
    }

    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// If the record cannot be encoded.
    pub fn encode(&self) -> Result<Bytes, RecordError> {
        Ok(encode(&WireRecord::from(self))?)
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// If the bytes are malformed or of another format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        Self::try_from(decode::<WireRecord>(bytes)?)
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRecord {
    version: u8,
    attempt: RequestId,
    instance: InstanceId,
    body_hash: [u8; 32],
    state: WireState,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireState {
    Running,
    Unknown,
    Done {
        status: u16,
        content_type: String,
        target: TargetId,
        region: RegionId,
        body: Bytes,
    },
}

impl From<&Record> for WireRecord {
    fn from(record: &Record) -> Self {
        let state = match &record.state {
            State::Running => WireState::Running,
            State::Unknown => WireState::Unknown,
            State::Done(outcome) => WireState::Done {
                status: outcome.head.status,
                content_type: outcome.head.content_type.clone(),
                target: outcome.head.target.clone(),
                region: outcome.head.region.clone(),
                body: outcome.body.clone(),
            },
        };
        Self {
            version: FORMAT_VERSION,
            attempt: record.attempt,
            instance: record.instance.clone(),
            body_hash: record.body_hash,
            state,
        }
    }
}

impl TryFrom<WireRecord> for Record {
    type Error = RecordError;

    fn try_from(wire: WireRecord) -> Result<Self, RecordError> {
        if wire.version != FORMAT_VERSION {
            return Err(RecordError(format!(
                "unsupported format version {}",
                wire.version
            )));
        }
        let state = match wire.state {
            WireState::Running => State::Running,
            WireState::Unknown => State::Unknown,
            WireState::Done {
                status,
                content_type,
                target,
                region,
                body,
            } => State::Done(Outcome {
                head: AnswerHead {
                    status,
                    content_type,
                    target,
                    region,
                },
                body,
            }),
        };
        Ok(Self {
            attempt: wire.attempt,
            instance: wire.instance,
            body_hash: wire.body_hash,
            state,
        })
    }
}

crate::wire_format!("claim", WireRecord);
