//! Peer messages about region summaries and quarantined requests, which instances refuse for a
//! limited time because the requests have crashed targets.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::core::Core;
use crate::id::{InstanceId, RegionId};
use crate::member::Health;
use crate::peer::{PeerError, PeerHandler, decode, encode};
use crate::quarantine::Fingerprint;

/// Message kind of a summary request.
pub(super) const SUMMARY: &str = "summary";

/// Message kind of a quarantine update.
const QUARANTINE: &str = "quarantine";

/// Timeout for the delivery of a quarantine update to one instance.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of attempts to deliver one quarantine update.
const MAX_UPDATE_ATTEMPTS: u32 = 3;

/// Returns the peer message handlers of a dispatcher.
pub(super) fn all(core: &Arc<Core>) -> Vec<Arc<dyn PeerHandler>> {
    vec![
        Arc::new(SummaryHandler(Arc::clone(core))),
        Arc::new(QuarantineHandler(Arc::clone(core))),
    ]
}

/// Requests the summary of the receiver's region.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct SummaryRequest {}

struct SummaryHandler(Arc<Core>);

#[async_trait]
impl PeerHandler for SummaryHandler {
    fn kind(&self) -> &'static str {
        SUMMARY
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let SummaryRequest {} = decode(&body)?;
        let now = self.0.now();
        encode(&self.0.scheduler.lock().summary(now))
    }
}

/// A change of the quarantine status of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct QuarantineUpdate {
    request: u128,
    thought: QuarantineChange,
    /// Whether the receiver passes the update on to the instances of its own region.
    spread: bool,
}

/// The new quarantine status of a request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum QuarantineChange {
    /// The quarantine has ended.
    Released,
    /// A target crashed while running the request.
    Suspect,
    /// The request is quarantined: instances refuse the request for the given remaining time.
    Culprit { left_ms: u64 },
}

struct QuarantineHandler(Arc<Core>);

#[async_trait]
impl PeerHandler for QuarantineHandler {
    fn kind(&self) -> &'static str {
        QUARANTINE
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let update: QuarantineUpdate = decode(&body)?;
        let core = &self.0;
        core.apply_update(&update);
        if update.spread {
            core.send_to_own_region(&update);
        }
        encode(&())
    }
}

impl Core {
    /// Notifies all instances that a request is quarantined.
    pub(super) fn broadcast_quarantine(
        self: &Arc<Self>,
        request: Fingerprint,
        remaining: Duration,
    ) {
        let left_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        self.broadcast(request, QuarantineChange::Culprit { left_ms });
    }

    /// Notifies all instances that a request is a suspect.
    ///
    /// Without this update, a copy of the request that another caller sends could run on the same
    /// target as another suspect.
    pub(super) fn broadcast_suspect(self: &Arc<Self>, request: Fingerprint) {
        self.broadcast(request, QuarantineChange::Suspect);
    }

    /// Notifies all instances that the quarantine of a request has ended.
    pub(super) fn broadcast_release(self: &Arc<Self>, request: Fingerprint) {
        self.broadcast(request, QuarantineChange::Released);
    }

    /// Sends a quarantine update to the instances of this region and to one instance of each other
    /// region, which passes the update on within its region.
    fn broadcast(self: &Arc<Self>, request: Fingerprint, change: QuarantineChange) {
        let update = QuarantineUpdate {
            request: request.0,
            thought: change,
            spread: false,
        };
        self.send_to_own_region(&update);
        let regions = self.scheduler.lock().routing_state.other_regions().to_vec();
        for region in regions {
            let relayed = QuarantineUpdate {
                spread: true,
                ..update.clone()
            };
            tokio::spawn(Arc::clone(self).send_to_region(region, relayed));
        }
    }

    fn send_to_own_region(self: &Arc<Self>, update: &QuarantineUpdate) {
        let update = QuarantineUpdate {
            spread: false,
            ..update.clone()
        };
        let fleet = Arc::clone(&self.fleet.borrow());
        for member in &fleet.members {
            let is_other = member.id != self.instance && member.region == self.region;
            if !is_other || member.health == Health::Dead {
                continue;
            }
            let core = Arc::clone(self);
            let update = update.clone();
            let to = member.peer;
            tokio::spawn(async move {
                for _ in 0..MAX_UPDATE_ATTEMPTS {
                    if core.send_update(to, &update).await {
                        return;
                    }
                }
            });
        }
    }

    /// Sends a quarantine update to one instance of a region, and to another instance if the first
    /// instance does not answer.
    async fn send_to_region(self: Arc<Self>, region: RegionId, update: QuarantineUpdate) {
        let mut tried: Vec<InstanceId> = Vec::new();
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let live = self.instances_in(&region, &tried);
            let Some(instance) = live.choose(&mut rand::rng()) else {
                return;
            };
            if self.send_update(instance.peer, &update).await {
                return;
            }
            tried.push(instance.id.clone());
        }
    }

    async fn send_update(&self, to: std::net::SocketAddr, update: &QuarantineUpdate) -> bool {
        let Ok(body) = encode(update) else {
            return true;
        };
        let result = self.peers.ask(to, QUARANTINE, body, UPDATE_TIMEOUT).await;
        result.is_ok()
    }

    fn apply_update(&self, update: &QuarantineUpdate) {
        let request = Fingerprint(update.request);
        let now = self.now();
        let mut quarantine = self.quarantine();
        match update.thought {
            QuarantineChange::Released => {
                quarantine.release(request);
            }
            QuarantineChange::Suspect => {
                quarantine.record_crash(now, request, false);
            }
            QuarantineChange::Culprit { left_ms } => {
                quarantine.record_remote_quarantine(now, request, Duration::from_millis(left_ms));
            }
        }
    }
}

crate::wire_format!("quarantine-update", QuarantineUpdate);
crate::wire_format!("summary-request", SummaryRequest);
