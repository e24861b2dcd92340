//! Fetching the texts that a new head refers to.

use std::net::SocketAddr;

use super::Cx;
use super::wire::{Ask, Reply};
use crate::config::blob;
use crate::config::head::{BlobId, Head};
use crate::config::loaded::Texts;

/// Up to this many texts are read from the store before peers are asked.
const FEW: usize = 8;

/// How many peers are asked for texts in one go.
const PEERS_ASKED: usize = 3;

/// Gathers all texts of `head` that are not held; `None` if some cannot be had now.
pub(super) async fn texts(cx: &Cx, head: &Head, from: Option<SocketAddr>) -> Option<Texts> {
    let mut missing = cx.state.current().missing(head);
    let mut texts = Texts::new();
    if from.is_none() && missing.len() <= FEW {
        from_store(cx, &mut missing, &mut texts).await;
    }
    let peers = cx.pick(&cx.others(), PEERS_ASKED);
    for peer in from.into_iter().chain(peers) {
        if missing.is_empty() {
            break;
        }
        from_peer(cx, peer, &mut missing, &mut texts).await;
    }
    from_store(cx, &mut missing, &mut texts).await;
    missing.is_empty().then_some(texts)
}

async fn from_peer(cx: &Cx, peer: SocketAddr, missing: &mut Vec<BlobId>, texts: &mut Texts) {
    while !missing.is_empty() {
        let ask = Ask::Blobs(missing.clone());
        let Some(Reply::Blobs(found)) = cx.ask(peer, &ask).await else {
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

async fn from_store(cx: &Cx, missing: &mut Vec<BlobId>, texts: &mut Texts) {
    while let Some(id) = missing.last() {
        let Ok(text) = blob::read(cx.store.as_ref(), id).await else {
            return;
        };
        texts.insert(id.clone(), text);
        missing.pop();
    }
}
