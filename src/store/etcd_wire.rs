//! The messages of etcd's JSON interface: bytes are base64, 64-bit integers are strings.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize};

use super::{Entry, LeaseId, Precondition, StoreError, StoreRevision, WatchEvent};

fn to_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the exclusive end of the range of all keys that start with `prefix`.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Deserializes an integer that is either a JSON string or a JSON number.
fn number<'de, D: Deserializer<'de>>(de: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Text(String),
        Plain(i64),
    }
    match Number::deserialize(de)? {
        Number::Text(s) => s.parse().map_err(serde::de::Error::custom),
        Number::Plain(n) => Ok(n),
    }
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    keys_only: Option<bool>,
}

impl RangeRequest {
    pub(super) fn key(key: &str) -> Self {
        Self {
            key: to_base64(key.as_bytes()),
            range_end: None,
            keys_only: None,
        }
    }

    pub(super) fn revision(key: &str) -> Self {
        Self {
            keys_only: Some(true),
            ..Self::key(key)
        }
    }

    pub(super) fn prefix(prefix: &str) -> Self {
        Self {
            range_end: Some(to_base64(&range_end(prefix))),
            ..Self::key(prefix)
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    #[serde(deserialize_with = "number")]
    pub(super) revision: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    key: String,
    value: String,
    #[serde(deserialize_with = "number")]
    pub(super) mod_revision: i64,
}

impl TryFrom<KeyValue> for Entry {
    type Error = StoreError;

    fn try_from(kv: KeyValue) -> Result<Self, StoreError> {
        let key = decode(&kv.key)?;
        Ok(Self {
            key: String::from_utf8(key).map_err(|e| StoreError::ResponseLost(e.to_string()))?,
            value: decode(&kv.value)?.into(),
            mod_revision: kv.mod_revision.into(),
        })
    }
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD
        .decode(text)
        .map_err(|e| StoreError::ResponseLost(e.to_string()))
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
struct Compare {
    key: String,
    result: &'static str,
    target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
}

impl Compare {
    fn expect(key: &str, expect: Precondition) -> Self {
        let (target, create_revision, mod_revision) = match expect {
            Precondition::Absent => ("CREATE", Some("0".to_owned()), None),
            Precondition::Revision(n) => ("MOD", None, Some(n.number.to_string())),
        };
        Self {
            key: to_base64(key.as_bytes()),
            result: "EQUAL",
            target,
            create_revision,
            mod_revision,
        }
    }
}

#[derive(Debug, Serialize)]
struct PutRequest {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

#[derive(Debug, Serialize)]
struct DeleteRequest {
    key: String,
}

#[derive(Debug, Serialize)]
enum Op {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<Op>,
    failure: Vec<Op>,
}

impl TxnRequest {
    pub(super) fn swap(
        key: &str,
        expect: Precondition,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Self {
        let put = PutRequest {
            key: to_base64(key.as_bytes()),
            value: to_base64(value),
            lease: lease.map(|l| l.number.to_string()),
        };
        Self {
            compare: vec![Compare::expect(key, expect)],
            success: vec![Op::Put(put)],
            failure: vec![Op::Range(RangeRequest::key(key))],
        }
    }

    pub(super) fn delete(key: &str, revision: StoreRevision) -> Self {
        let delete = DeleteRequest {
            key: to_base64(key.as_bytes()),
        };
        Self {
            compare: vec![Compare::expect(key, Precondition::Revision(revision))],
            success: vec![Op::Delete(delete)],
            failure: Vec::new(),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OpResponse {
    response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    responses: Vec<OpResponse>,
}

impl TxnResponse {
    /// Returns the current entry of the key after a failed precondition.
    pub(super) fn current_entry(self) -> Result<Option<Entry>, StoreError> {
        for resp in self.responses {
            let Some(range) = resp.response_range else {
                continue;
            };
            let first = range.kvs.into_iter().next();
            return first.map(Entry::try_from).transpose();
        }
        Ok(None)
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    ttl: String,
}

impl LeaseGrantRequest {
    pub(super) fn of(ttl: Duration) -> Self {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        Self {
            ttl: seconds.max(1).to_string(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    id: String,
}

impl LeaseRequest {
    pub(super) fn of(lease: LeaseId) -> Self {
        Self {
            id: lease.number.to_string(),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub(super) id: i64,
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub(super) ttl: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: Option<T>,
}

#[derive(Debug, Deserialize)]
pub(super) struct EmptyResponse {}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorBody {
    pub(super) message: String,
}

#[derive(Debug, Serialize)]
struct WatchCreateRequest {
    key: String,
    range_end: String,
    progress_notify: bool,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreateRequest,
}

impl WatchRequest {
    pub(super) fn prefix(prefix: &str) -> Self {
        Self {
            create_request: WatchCreateRequest {
                key: to_base64(prefix.as_bytes()),
                range_end: to_base64(&range_end(prefix)),
                progress_notify: true,
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Event {
    #[serde(rename = "type")]
    kind: String,
    kv: KeyValue,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) created: bool,
    pub(super) canceled: bool,
    #[serde(deserialize_with = "number")]
    pub(super) compact_revision: i64,
    events: Vec<Event>,
}

impl WatchResponse {
    /// Returns the changes in this message.
    pub(super) fn changes(self) -> Result<Vec<WatchEvent>, StoreError> {
        let mut changes = Vec::with_capacity(self.events.len());
        for event in self.events {
            let entry = Entry::try_from(event.kv)?;
            changes.push(match event.kind.as_str() {
                "DELETE" => WatchEvent::Delete(entry.key, entry.mod_revision),
                _ => WatchEvent::Put(entry),
            });
        }
        Ok(changes)
    }
}
