//! Asks other instances for the registry as the store has it now, and answers such questions.
//!
//! An instance that the store turns away gets from one that the store serves what it could not read
//! itself. Instances that are cut off together cannot confirm each other's registry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::follow::WireChanges;
use super::origin_news::WireHistory;
use super::{Gateway, lock};
use crate::peer::{PeerError, PeerHandler, decode_named, encode_named};
use crate::store::StoreRevision;

/// The kind of peer messages that ask for the registry.
const REGISTRY_KIND: &str = "registry";

/// Timeout of a question; covers a round trip between regions and the other instance's own call.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Number of instances of the own region that are asked.
const ASKED_IN_REGION: usize = 2;

/// Number of instances of each other region that are asked.
const ASKED_ELSEWHERE: usize = 1;

#[derive(Debug, Serialize, Deserialize)]
struct WireQuestion {
    /// The revision that the asking instance has; `None` if it has not loaded the registry.
    #[serde(default)]
    revision: Option<StoreRevision>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct WireAnswer {
    /// Whether the answering instance has all that the store had when it was asked. Without that, the
    /// other fields are empty.
    #[serde(default)]
    is_complete: bool,
    /// What the asking instance lacks, if anything.
    #[serde(default)]
    changes: Option<WireChanges>,
    /// The software versions that services have lately had.
    #[serde(default)]
    history: Option<WireHistory>,
}

impl Gateway {
    /// Brings the registry up to what the store had when this was called: by a call to the store, or
    /// else by way of another instance. Returns whether that succeeded.
    pub(super) async fn confirm_registry(&self) -> bool {
        if !self.follower.is_registry_failing() && self.follower.read_registry().await {
            return true;
        }
        let mut questions = FuturesUnordered::new();
        for peer in self.registry_sources() {
            questions.push(self.ask_for_registry(peer));
        }
        while let Some(answer) = questions.next().await {
            if answer.is_ok_and(|is_complete| is_complete) {
                return true;
            }
        }
        false
    }

    fn registry_sources(&self) -> Vec<SocketAddr> {
        let fleet = self.fleet();
        let mut sources = Vec::new();
        for region in &self.regions {
            let count = if *region == self.region {
                ASKED_IN_REGION
            } else {
                ASKED_ELSEWHERE
            };
            let others = fleet.live_members(region).filter(|m| m.id != self.id);
            let drawn = others.choose_multiple(&mut rand::rng(), count);
            sources.extend(drawn.iter().map(|m| m.peer));
        }
        sources
    }

    /// Takes over the registry of another instance, and what it knows of software versions. Returns
    /// whether the other instance had all that the store had when it was asked.
    ///
    /// # Errors
    ///
    /// [`PeerError::UnknownKind`] from an instance of an older build.
    pub(super) async fn ask_for_registry(&self, peer: SocketAddr) -> Result<bool, PeerError> {
        let asked_at = self.clock.now();
        let body = encode_named(&WireQuestion {
            revision: self.follower.registry_revision(),
        })?;
        let answer = self.peers.ask(peer, REGISTRY_KIND, body, TIMEOUT).await?;
        let answer: WireAnswer = decode_named(&answer)?;
        if !answer.is_complete {
            return Ok(false);
        }
        self.follower.merge_registry(asked_at, answer.changes);
        if let Some(history) = answer.history {
            self.inherit_history(asked_at, history);
        }
        Ok(true)
    }
}

/// Answers questions for the registry.
pub(super) struct RegistryHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for RegistryHandler {
    fn kind(&self) -> &'static str {
        REGISTRY_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let question: WireQuestion = decode_named(&body)?;
        let gateway = &self.0;
        if !gateway.follower.read_registry().await {
            return encode_named(&WireAnswer::default());
        }
        gateway.update_software_versions();
        let history = lock(&gateway.origins).history(gateway.clock.now());
        encode_named(&WireAnswer {
            is_complete: true,
            changes: gateway.follower.registry_changes(question.revision),
            history: Some(history.into()),
        })
    }
}
