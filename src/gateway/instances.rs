//! Registration and discovery of instances through the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::sleep;

use super::platform_view::PlatformView;
use crate::id::RegionId;
use crate::journal;
use crate::member::Member;
use crate::platform::{InstanceList, ListedInstance, Listing, PlatformError, ServiceState};
use crate::store::{Entry, LeaseId, Precondition, Store, StoreError, StoreRevision, SwapResult};

/// Key prefix of the instances' entries.
pub const INSTANCES_PREFIX: &str = "limpetstand/instances/";

/// How long the entry of an instance that no longer renews its lease stays in the store. Heartbeats
/// find out earlier that an instance is dead, except for the instances of a region that is lost as a
/// whole.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// How often the lease is renewed: three times within [`LEASE_TTL`].
const RENEW_PERIOD: Duration = Duration::from_secs(2);

/// How long the entry of an instance is kept that a restored store lacks: instances notice the loss
/// when they renew their leases, and one renewal may fail.
pub const KEEP_TIME: Duration = RENEW_PERIOD.saturating_mul(2);

/// Pause after a failed store call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Consecutive attempts to replace an entry that an earlier process of the instance left.
const MAX_SWAP_ATTEMPTS: usize = 3;

#[derive(Debug, Serialize, Deserialize)]
struct WireInstance {
    front: SocketAddr,
    peer: SocketAddr,
    region: RegionId,
    data_centre: SmolStr,
}

/// Decodes an instance's entry; returns `None` if the entry is malformed.
pub fn decode_instance(entry: &Entry) -> Option<ListedInstance> {
    let id = entry.key.strip_prefix(INSTANCES_PREFIX)?;
    let wire: WireInstance = match serde_json::from_slice(&entry.value) {
        Ok(wire) => wire,
        Err(e) => {
            journal::line("entry_ignored")
                .text("key", &entry.key)
                .text("error", &e.to_string());
            return None;
        }
    };
    Some(ListedInstance {
        id: id.into(),
        front: wire.front,
        peer: wire.peer,
        region: wire.region,
        data_centre: wire.data_centre,
        state: ServiceState::Live,
    })
}

/// The list of instances, read from the instance's view of the platform.
pub struct StoreInstanceList(pub watch::Receiver<Arc<PlatformView>>);

#[async_trait]
impl InstanceList for StoreInstanceList {
    async fn read(&self) -> Result<Listing, PlatformError> {
        let instances = self.0.borrow().instances.clone();
        if instances.is_empty() {
            return Err(PlatformError("no instance is listed yet".to_owned()));
        }
        Ok(Listing {
            instances,
            targets: Vec::new(),
        })
    }

    async fn changed(&self) {
        let mut view = self.0.clone();
        let seen = view.borrow_and_update().instances.clone();
        // The sender lives until the process exits, so the wait does not fail.
        let _ = view.wait_for(|view| view.instances != seen).await;
    }
}

/// This instance's entry as it was written last.
#[derive(Debug, Clone, Copy)]
struct Registration {
    lease: LeaseId,
    revision: StoreRevision,
}

/// Registers this instance and renews its lease until `stop` changes, then removes the entry.
///
/// A lease of an earlier era of the store has expired: the store may lack the lease or the entry,
/// or have given the lease's number to another writer. Instances notice this when they renew their
/// leases, so they do not all write at once.
pub async fn keep_registered(
    member: Member,
    store: Arc<dyn Store>,
    mut stop: watch::Receiver<bool>,
) {
    let mut registration: Option<Registration> = None;
    loop {
        let result = match registration {
            Some(known) => store.keep_alive(known.lease).await.map(|_| known),
            None => register(&member, &*store).await,
        };
        let pause = match result {
            Ok(known) => {
                registration = Some(known);
                RENEW_PERIOD
            }
            Err(StoreError::LeaseExpired) => {
                registration = None;
                Duration::ZERO
            }
            Err(_) => RETRY_PAUSE,
        };
        tokio::select! {
            () = sleep(pause.mul_f64(rand::random_range(0.9..1.1))) => {}
            _ = stop.changed() => break,
        }
    }
    if let Some(known) = registration {
        // If the store does not answer, the lease expires without the call. The lease is not
        // revoked, since its number may be another writer's.
        let _ = store.delete(&entry_key(&member), known.revision).await;
    }
}

fn entry_key(member: &Member) -> String {
    format!("{INSTANCES_PREFIX}{}", member.id)
}

async fn register(member: &Member, store: &dyn Store) -> Result<Registration, StoreError> {
    let key = entry_key(member);
    let wire = WireInstance {
        front: member.front,
        peer: member.peer,
        region: member.region.clone(),
        data_centre: member.data_centre.clone(),
    };
    let value = serde_json::to_vec(&wire).map_err(|e| StoreError::Refused(e.to_string()))?;
    let value = bytes::Bytes::from(value);
    let lease = store.grant(LEASE_TTL).await?;
    let mut expect = Precondition::Absent;
    for _ in 0..MAX_SWAP_ATTEMPTS {
        let swapped = store.swap(&key, expect, value.clone(), Some(lease)).await?;
        match swapped {
            // In a new era the lease may be another writer's.
            SwapResult::Done(revision) if revision.era != lease.era => {
                return Err(StoreError::LeaseExpired);
            }
            SwapResult::Done(revision) => return Ok(Registration { lease, revision }),
            SwapResult::Conflict(Some(found)) => {
                expect = Precondition::Revision(found.mod_revision);
            }
            SwapResult::Conflict(None) => expect = Precondition::Absent,
        }
    }
    Err(StoreError::ResponseLost(
        "the instance's entry changed at each attempt to replace it".to_owned(),
    ))
}
