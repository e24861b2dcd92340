//! The store plug-in for the JSON interface of etcd v3.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use reqwest::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::client::{StoreClient, from_reqwest};
use super::{
    Entry, LeaseId, Precondition, Store, StoreError, StoreOptions, StorePlugin, StoreRevision,
    SwapResult,
};
use super::{WatchEvent, etcd_watch, etcd_wire as wire};

/// Idle connections are closed after this time.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

inventory::submit! {
    StorePlugin {
        name: "etcd",
        connect,
    }
}

fn connect(options: &StoreOptions) -> Result<Arc<dyn Store>, StoreError> {
    Ok(Arc::new(Etcd(StoreClient::new(
        options,
        POOL_IDLE_TIMEOUT,
    )?)))
}

/// A client of one etcd address.
struct Etcd(StoreClient);

impl Etcd {
    async fn call<Q, A>(&self, path: &str, req: &Q) -> Result<A, StoreError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let req = self.0.call(Method::POST, path).json(req);
        let resp = self.0.send(req).await?;
        let status = resp.status();
        let body = self.0.read_body(resp).await?;
        if !status.is_success() {
            return Err(from_status(status.as_u16(), &body));
        }
        serde_json::from_slice(&body).map_err(|e| StoreError::ResponseLost(e.to_string()))
    }

    async fn range(&self, req: &wire::RangeRequest) -> Result<Vec<wire::KeyValue>, StoreError> {
        let resp: wire::RangeResponse = self.call("/v3/kv/range", req).await?;
        Ok(resp.kvs)
    }
}

#[async_trait]
impl Store for Etcd {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let found = self.range(&wire::RangeRequest::key(key)).await?;
        found.into_iter().next().map(Entry::try_from).transpose()
    }

    async fn revision(&self, key: &str) -> Result<Option<StoreRevision>, StoreError> {
        let found = self.range(&wire::RangeRequest::revision(key)).await?;
        Ok(found.first().map(|kv| kv.mod_revision.into()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let found = self.range(&wire::RangeRequest::prefix(prefix)).await?;
        let mut entries = Vec::with_capacity(found.len());
        for kv in found {
            entries.push(Entry::try_from(kv)?);
        }
        Ok(entries)
    }

    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        let req = wire::TxnRequest::swap(key, expect, &value, lease);
        let resp: wire::TxnResponse = self.call("/v3/kv/txn", &req).await?;
        if resp.succeeded {
            return Ok(SwapResult::Done(resp.header.revision.into()));
        }
        Ok(SwapResult::Conflict(resp.current_entry()?))
    }

    async fn delete(&self, key: &str, revision: StoreRevision) -> Result<bool, StoreError> {
        let req = wire::TxnRequest::delete(key, revision);
        let resp: wire::TxnResponse = self.call("/v3/kv/txn", &req).await?;
        Ok(resp.succeeded)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let req = wire::LeaseGrantRequest::of(ttl);
        let resp: wire::LeaseResponse = self.call("/v3/lease/grant", &req).await?;
        Ok(LeaseId::from(resp.id))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let req = wire::LeaseRequest::of(lease);
        let resp: wire::Streamed<wire::LeaseResponse> =
            self.call("/v3/lease/keepalive", &req).await?;
        let seconds = resp.result.map_or(0, |r| r.ttl);
        match u64::try_from(seconds) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(StoreError::LeaseExpired),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let req = wire::LeaseRequest::of(lease);
        let _: wire::EmptyResponse = self.call("/v3/lease/revoke", &req).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        let pending = self
            .0
            .call_without_timeout(Method::POST, "/v3/watch")
            .json(&wire::WatchRequest::prefix(prefix))
            .send();
        let resp = tokio::time::timeout(self.0.timeout(), pending)
            .await
            .map_err(|_| StoreError::ResponseLost("time-out while opening the watch".into()))?
            .map_err(|e| from_reqwest(&e))?;
        let status = resp.status().as_u16();
        if status != 200 {
            return Err(from_status(status, b""));
        }
        etcd_watch::open(resp, self.0.timeout()).await
    }
}

/// Converts a status other than success to an error.
///
/// After a 5xx status a write may or may not have taken effect.
fn from_status(status: u16, body: &[u8]) -> StoreError {
    let error: wire::ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    if error.message.contains("lease not found") {
        return StoreError::LeaseExpired;
    }
    let message = format!("status {status} {}", error.message);
    if (400..500).contains(&status) {
        return StoreError::Refused(message);
    }
    StoreError::ResponseLost(message)
}
