//! Data of the stand-in store: keys, revisions, leases and the history of changes.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::watch;

use super::wire::{base64, bytes, field, int};

#[derive(Debug, Clone)]
pub(super) struct Kv {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

#[derive(Debug)]
pub(super) struct Change {
    pub(super) revision: i64,
    pub(super) key: Vec<u8>,
    /// New value and metadata; `None` if the key was deleted.
    pub(super) kv: Option<Kv>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Reason why the store rejects a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreError {
    LeaseNotFound,
    Compacted,
    Malformed,
}

impl StoreError {
    pub(super) fn code(self) -> u16 {
        match self {
            Self::LeaseNotFound => 5,
            Self::Compacted => 11,
            Self::Malformed => 3,
        }
    }

    pub(super) fn message(self) -> &'static str {
        match self {
            Self::LeaseNotFound => "etcdserver: requested lease not found",
            Self::Compacted => "etcdserver: mvcc: required revision has been compacted",
            Self::Malformed => "etcdserver: malformed request",
        }
    }
}

type CallResult = Result<Value, StoreError>;

/// All data of the store.
#[derive(Debug)]
pub(super) struct Data {
    kvs: BTreeMap<Vec<u8>, Kv>,
    pub(super) revision: i64,
    pub(super) history: Vec<Change>,
    pub(super) compacted: i64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    changed: watch::Sender<i64>,
}

impl Data {
    pub(super) fn new() -> Self {
        Self {
            kvs: BTreeMap::new(),
            revision: 1,
            history: Vec::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease: 7_587_000_000_000_001,
            changed: watch::Sender::new(1),
        }
    }

    pub(super) fn header(&self) -> Value {
        json!({
            "cluster_id": "1",
            "member_id": "1",
            "revision": self.revision.to_string(),
            "raft_term": "1",
        })
    }

    pub(super) fn changed(&self) -> watch::Receiver<i64> {
        self.changed.subscribe()
    }

    pub(super) fn value(&self, key: &[u8]) -> Option<Vec<u8>> {
        self.kvs.get(key).map(|kv| kv.value.clone())
    }

    pub(super) fn keys(&self) -> Vec<String> {
        let as_text = |k: &Vec<u8>| String::from_utf8_lossy(k).into_owned();
        self.kvs.keys().map(as_text).collect()
    }

    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    pub(super) fn expire_leases(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (id, lease) in &self.leases {
            if lease.expires_at <= now {
                expired.push(*id);
            }
        }
        for id in expired {
            self.remove_lease(id);
        }
    }

    pub(super) fn range(&mut self, req: &Value) -> CallResult {
        self.expire_leases(Instant::now());
        let revision = int(req, "revision");
        if revision > 0 && revision < self.compacted {
            return Err(StoreError::Compacted);
        }
        Ok(self.read_range(req))
    }

    pub(super) fn put(&mut self, req: &Value) -> CallResult {
        self.expire_leases(Instant::now());
        self.check_lease(req)?;
        self.revision += 1;
        let answer = self.apply_put(req);
        self.notify_watches();
        Ok(answer)
    }

    pub(super) fn delete_range(&mut self, req: &Value) -> CallResult {
        self.expire_leases(Instant::now());
        if !self.keys_in(req).is_empty() {
            self.revision += 1;
        }
        let answer = self.apply_delete(req);
        self.notify_watches();
        Ok(answer)
    }

    pub(super) fn txn(&mut self, req: &Value) -> CallResult {
        self.expire_leases(Instant::now());
        let mut succeeded = true;
        for compare in field(req, "compare").as_array().into_iter().flatten() {
            succeeded &= self.evaluate(compare)?;
        }
        let branch = if succeeded { "success" } else { "failure" };
        let ops = field(req, branch).as_array().cloned().unwrap_or_default();
        let mut writes = false;
        for op in &ops {
            let put = field(op, "request_put");
            if !put.is_null() {
                self.check_lease(put)?;
                writes = true;
            }
            let delete = field(op, "request_delete_range");
            writes |= !delete.is_null() && !self.keys_in(delete).is_empty();
        }
        self.revision += i64::from(writes);
        let mut responses = Vec::with_capacity(ops.len());
        for op in &ops {
            responses.push(self.run_op(op)?);
        }
        self.notify_watches();
        let mut answer = json!({ "header": self.header() });
        if succeeded {
            answer["succeeded"] = json!(true);
        }
        if !responses.is_empty() {
            answer["responses"] = Value::Array(responses);
        }
        Ok(answer)
    }

    pub(super) fn grant(&mut self, req: &Value) -> CallResult {
        let ttl = int(req, "TTL").max(1);
        let mut id = int(req, "ID");
        if id == 0 {
            id = self.next_lease;
            self.next_lease += 1;
        }
        let ttl_duration = Duration::from_secs(ttl.unsigned_abs());
        let expires_at = Instant::now() + ttl_duration;
        self.leases.insert(
            id,
            Lease {
                ttl: ttl_duration,
                expires_at,
            },
        );
        Ok(json!({ "header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string() }))
    }

    pub(super) fn keep_alive(&mut self, req: &Value) -> CallResult {
        let now = Instant::now();
        self.expire_leases(now);
        let id = int(req, "ID");
        let mut result = json!({ "header": self.header(), "ID": id.to_string() });
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires_at = now + lease.ttl;
            result["TTL"] = json!(lease.ttl.as_secs().to_string());
        }
        Ok(json!({ "result": result }))
    }

    pub(super) fn revoke(&mut self, req: &Value) -> CallResult {
        self.expire_leases(Instant::now());
        let id = int(req, "ID");
        if !self.leases.contains_key(&id) {
            return Err(StoreError::LeaseNotFound);
        }
        self.remove_lease(id);
        Ok(json!({ "header": self.header() }))
    }

    fn remove_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let mut keys = Vec::new();
        for (key, kv) in &self.kvs {
            if kv.lease == id {
                keys.push(key.clone());
            }
        }
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(key);
        }
        self.notify_watches();
    }

    fn check_lease(&self, put: &Value) -> Result<(), StoreError> {
        let lease = int(put, "lease");
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }

    fn run_op(&mut self, op: &Value) -> CallResult {
        let put = field(op, "request_put");
        if !put.is_null() {
            return Ok(json!({ "response_put": self.apply_put(put) }));
        }
        let range = field(op, "request_range");
        if !range.is_null() {
            return Ok(json!({ "response_range": self.read_range(range) }));
        }
        let delete = field(op, "request_delete_range");
        if !delete.is_null() {
            return Ok(json!({ "response_delete_range": self.apply_delete(delete) }));
        }
        Err(StoreError::Malformed)
    }

    fn evaluate(&self, compare: &Value) -> Result<bool, StoreError> {
        let kv = self.kvs.get(&bytes(compare, "key"));
        let order = match field(compare, "target").as_str().unwrap_or("VERSION") {
            "MOD" => kv
                .map_or(0, |kv| kv.mod_revision)
                .cmp(&int(compare, "mod_revision")),
            "CREATE" => kv
                .map_or(0, |kv| kv.create_revision)
                .cmp(&int(compare, "create_revision")),
            "VERSION" => kv.map_or(0, |kv| kv.version).cmp(&int(compare, "version")),
            "LEASE" => kv.map_or(0, |kv| kv.lease).cmp(&int(compare, "lease")),
            "VALUE" => match kv {
                Some(kv) => kv.value.cmp(&bytes(compare, "value")),
                None => return Ok(false),
            },
            _ => return Err(StoreError::Malformed),
        };
        match field(compare, "result").as_str().unwrap_or("EQUAL") {
            "EQUAL" => Ok(order.is_eq()),
            "NOT_EQUAL" => Ok(order.is_ne()),
            "GREATER" => Ok(order.is_gt()),
            "LESS" => Ok(order.is_lt()),
            _ => Err(StoreError::Malformed),
        }
    }

    fn read_range(&self, req: &Value) -> Value {
        let keys = self.keys_in(req);
        let count = keys.len();
        let limit = usize::try_from(int(req, "limit")).unwrap_or(0);
        let mut kvs = Vec::new();
        for key in keys {
            if limit > 0 && kvs.len() == limit {
                break;
            }
            kvs.push(kv_json(&key, &self.kvs[&key]));
        }
        let mut answer = json!({ "header": self.header() });
        if count > 0 {
            answer["count"] = json!(count.to_string());
        }
        if kvs.len() < count {
            answer["more"] = json!(true);
        }
        if count > 0 && field(req, "count_only") != &json!(true) {
            answer["kvs"] = Value::Array(kvs);
        }
        answer
    }

    fn apply_put(&mut self, req: &Value) -> Value {
        let key = bytes(req, "key");
        let old = self.kvs.get(&key).cloned();
        let kv = Kv {
            value: bytes(req, "value"),
            create_revision: old.as_ref().map_or(self.revision, |kv| kv.create_revision),
            mod_revision: self.revision,
            version: old.as_ref().map_or(0, |kv| kv.version) + 1,
            lease: int(req, "lease"),
        };
        self.kvs.insert(key.clone(), kv.clone());
        self.history.push(Change {
            revision: self.revision,
            key: key.clone(),
            kv: Some(kv),
        });
        let mut answer = json!({ "header": self.header() });
        if let Some(old) = old
            && field(req, "prev_kv") == &json!(true)
        {
            answer["prev_kv"] = kv_json(&key, &old);
        }
        answer
    }

    fn apply_delete(&mut self, req: &Value) -> Value {
        let keys = self.keys_in(req);
        let deleted = keys.len();
        for key in keys {
            self.remove(key);
        }
        let mut answer = json!({ "header": self.header() });
        if deleted > 0 {
            answer["deleted"] = json!(deleted.to_string());
        }
        answer
    }

    fn remove(&mut self, key: Vec<u8>) {
        self.kvs.remove(&key);
        self.history.push(Change {
            revision: self.revision,
            key,
            kv: None,
        });
    }

    fn keys_in(&self, req: &Value) -> Vec<Vec<u8>> {
        let key = bytes(req, "key");
        let end = bytes(req, "range_end");
        if end.is_empty() {
            return self
                .kvs
                .contains_key(&key)
                .then_some(key)
                .into_iter()
                .collect();
        }
        let upper = if end == [0] {
            Bound::Unbounded
        } else if end <= key {
            return Vec::new();
        } else {
            Bound::Excluded(end)
        };
        let range = self.kvs.range((Bound::Included(key), upper));
        range.map(|(k, _)| k.clone()).collect()
    }

    fn notify_watches(&self) {
        self.changed.send_replace(self.revision);
    }
}

pub(super) fn kv_json(key: &[u8], kv: &Kv) -> Value {
    let mut v = json!({
        "key": base64(key),
        "create_revision": kv.create_revision.to_string(),
        "mod_revision": kv.mod_revision.to_string(),
        "version": kv.version.to_string(),
    });
    if !kv.value.is_empty() {
        v["value"] = json!(base64(&kv.value));
    }
    if kv.lease != 0 {
        v["lease"] = json!(kv.lease.to_string());
    }
    v
}
