//! Fetches the document texts that a new head refers to.

use std::net::SocketAddr;

use super::Context;
use super::wire::{ConfigRequest, ConfigResponse};
use crate::config::blob;
use crate::config::head::{BlobId, Head};
use crate::config::loaded::Texts;

/// If no peer sent the head, up to this many missing texts are read from the store before peers are
/// asked.
const MAX_STORE_FIRST_TEXTS: usize = 8;

/// How many random peers are asked for missing texts.
const PEERS_PER_FETCH: usize = 3;

/// Fetches the texts of all documents in the configuration head `head` that this instance has not
/// loaded yet; returns `None` if any text is unavailable.
pub(super) async fn fetch_texts(
    cx: &Context,
    head: &Head,
    from: Option<SocketAddr>,
) -> Option<Texts> {
    let mut missing = cx.state.current().missing(head);
    let mut texts = Texts::new();
    if from.is_none() && missing.len() <= MAX_STORE_FIRST_TEXTS {
        fetch_from_store(cx, &mut missing, &mut texts).await;
    }
    let peers = cx.pick(&cx.all_peers(), PEERS_PER_FETCH);
    for peer in from.into_iter().chain(peers) {
        if missing.is_empty() {
            break;
        }
        fetch_from_peer(cx, peer, &mut missing, &mut texts).await;
    }
    fetch_from_store(cx, &mut missing, &mut texts).await;
    missing.is_empty().then_some(texts)
}

async fn fetch_from_peer(
    cx: &Context,
    peer: SocketAddr,
    missing: &mut Vec<BlobId>,
    texts: &mut Texts,
) {
    while !missing.is_empty() {
        let request = ConfigRequest::Blobs(missing.clone());
        let Some(ConfigResponse::Blobs(found)) = cx.request(peer, &request).await else {
            return;
        };
        let before = missing.len();
        for text in found {
            let blob = BlobId::of(&text);
            let Some(at) = missing.iter().position(|m| *m == blob) else {
                continue;
            };
            missing.swap_remove(at);
            texts.insert(blob, text.into());
        }
        if missing.len() == before {
            return;
        }
    }
}

async fn fetch_from_store(cx: &Context, missing: &mut Vec<BlobId>, texts: &mut Texts) {
    while let Some(id) = missing.last() {
        let Ok(text) = blob::read(cx.store.as_ref(), id).await else {
            return;
        };
        texts.insert(id.clone(), text);
        missing.pop();
    }
}
