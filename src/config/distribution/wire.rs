//! The messages with which instances request the configuration from each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::config::Revision;
use crate::config::head::BlobId;

/// The peer message kind of configuration messages.
pub(crate) const KIND: &str = "config";

/// A request to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ConfigRequest {
    /// Requests the head if its revision is greater than `have`; the peer may hold the response
    /// back for up to `wait_ms` until it has a greater revision.
    Head { have: Revision, wait_ms: u32 },
    /// Requests the texts of blobs; the response has as many as its size limit allows.
    Blobs(Vec<BlobId>),
    /// Requests the revision in force.
    InForce,
}

/// The response to a [`ConfigRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ConfigResponse {
    /// The revision in force, the time since its last confirmation as the newest, the time for
    /// which the response was held back, and the encoded head if its revision is greater than the
    /// requested one.
    Head {
        revision: Revision,
        age_ms: Option<u64>,
        held_ms: u32,
        head: Option<Bytes>,
    },
    /// Texts of blobs, in any order.
    Blobs(Vec<String>),
    /// The revision in force and the time since its last confirmation as the newest.
    InForce {
        revision: Revision,
        age_ms: Option<u64>,
    },
}

crate::wire_format!("config-request", ConfigRequest);
crate::wire_format!("config-response", ConfigResponse);
