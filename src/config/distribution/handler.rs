//! Responds to configuration requests of other instances.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use super::follower::MAX_RESPONSE_HOLD;
use super::state::State;
use super::wire::{ConfigRequest, ConfigResponse, KIND};
use crate::config::Revision;
use crate::config::head::BlobId;
use crate::peer::{PeerError, PeerHandler, decode, encode};

/// The maximum total size of the texts in one response; a single larger text is still sent.
const MAX_RESPONSE_TEXT_BYTES: usize = 1024 * 1024;

/// Handles peer messages of the kind `config`.
pub(super) struct ConfigHandler {
    state: Arc<State>,
}

impl ConfigHandler {
    pub(super) fn new(state: Arc<State>) -> Self {
        Self { state }
    }

    async fn head(&self, have: Revision, wait: Duration) -> ConfigResponse {
        let received_at = self.state.now();
        let mut loaded = self.state.loaded();
        let newer_config = loaded.wait_for(|config| config.revision() > have);
        let newer_config = match tokio::time::timeout(wait, newer_config).await {
            Ok(Ok(loaded)) => Some(Arc::clone(&loaded)),
            _ => None,
        };
        ConfigResponse::Head {
            revision: self.state.revision(),
            age_ms: self.age_ms(),
            held_ms: millis(self.state.now().saturating_sub(received_at)),
            head: newer_config.and_then(|config| Bytes::try_from(config.head()).ok()),
        }
    }

    fn blobs(&self, wanted: &[BlobId]) -> ConfigResponse {
        let loaded = self.state.current();
        let mut texts = Vec::new();
        let mut total = 0;
        for blob in wanted {
            let Some(text) = loaded.text(blob) else {
                continue;
            };
            total += text.len();
            if total > MAX_RESPONSE_TEXT_BYTES && !texts.is_empty() {
                break;
            }
            texts.push(text.as_ref().to_owned());
        }
        ConfigResponse::Blobs(texts)
    }

    fn age_ms(&self) -> Option<u64> {
        let age = self.state.freshness().age()?;
        u64::try_from(age.as_millis()).ok()
    }
}

#[async_trait]
impl PeerHandler for ConfigHandler {
    fn kind(&self) -> &'static str {
        KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let reply = match decode(&body)? {
            ConfigRequest::Head { have, wait_ms } => {
                let wait = Duration::from_millis(wait_ms.into()).min(MAX_RESPONSE_HOLD);
                self.head(have, wait).await
            }
            ConfigRequest::Blobs(wanted) => self.blobs(&wanted),
            ConfigRequest::InForce => ConfigResponse::InForce {
                revision: self.state.revision(),
                age_ms: self.age_ms(),
            },
        };
        encode(&reply)
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
