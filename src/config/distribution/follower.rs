//! Requests newer revisions from other instances, which are watchers or got them from a watcher.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::Context;
use super::fetch::fetch_texts;
use super::wire::{ConfigRequest, ConfigResponse};
use crate::config::Revision;
use crate::config::head::Head;

/// The maximum time for which an instance that has no newer revision than the requesting instance
/// holds back its response.
pub(super) const MAX_RESPONSE_HOLD: Duration = Duration::from_secs(1);

/// The pause after a round without a response or without a peer to ask.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// The age of the last confirmation that the revision in force is the newest, after which instances
/// of all regions are asked.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// How many peers an instance without a configuration asks at once.
const INITIAL_PEERS: usize = 4;

/// Keeps requesting newer revisions from other instances until the channel of the fleet closes.
pub(super) async fn run(cx: Arc<Context>) {
    while cx.fleet.has_changed().is_ok() {
        let answered = match cx.state.revision() {
            Revision(0) => initial_round(&cx).await,
            _ => match select_peer(&cx) {
                Some(peer) => round(&cx, peer, MAX_RESPONSE_HOLD).await,
                None => false,
            },
        };
        if !answered {
            tokio::time::sleep(cx.jittered(IDLE_PAUSE)).await;
        }
    }
}

/// Asks several instances at once for a configuration, half of them in this region.
async fn initial_round(cx: &Context) -> bool {
    let mut candidates = cx.pick(&cx.region_peers(), INITIAL_PEERS / 2);
    candidates.extend(cx.pick(&cx.all_peers(), INITIAL_PEERS / 2));
    let mut rounds = FuturesUnordered::new();
    for peer in candidates {
        rounds.push(round(cx, peer, Duration::ZERO));
    }
    while let Some(answered) = rounds.next().await {
        if answered {
            return true;
        }
    }
    false
}

/// Selects a watcher of the region; returns `None` if this instance is a watcher itself.
///
/// If the last confirmation is stale, selects any instance instead, with equal probability from
/// this region or from all regions.
fn select_peer(cx: &Context) -> Option<SocketAddr> {
    let is_stale = cx
        .state
        .freshness()
        .age()
        .is_none_or(|age| age > STALE_AFTER);
    if cx.is_watcher() && !is_stale {
        return None;
    }
    let candidates = match is_stale {
        true if cx.random_bool() => cx.all_peers(),
        true => cx.region_peers(),
        false => cx.watchers(),
    };
    cx.pick(&candidates, 1).first().copied()
}

/// Requests the head from one instance; returns whether that instance has a configuration.
async fn round(cx: &Context, peer: SocketAddr, hold: Duration) -> bool {
    let requested_at = cx.state.now();
    let request = ConfigRequest::Head {
        have: cx.state.revision(),
        wait_ms: u32::try_from(hold.as_millis()).unwrap_or(u32::MAX),
    };
    let Some(ConfigResponse::Head {
        revision,
        age_ms,
        held_ms,
        head,
    }) = cx.request(peer, &request).await
    else {
        return false;
    };
    if let Some(bytes) = head
        && let Ok(head) = Head::try_from(bytes.as_ref())
        && head.revision > cx.state.revision()
        && let Some(texts) = fetch_texts(cx, &head, Some(peer)).await
    {
        cx.state.apply(head, texts).await;
    }
    if let Some(age) = age_ms.map(Duration::from_millis)
        && let Some(at) = (requested_at + hold_time(held_ms, hold)).checked_sub(age)
    {
        cx.state.confirm(revision, at);
    }
    revision > Revision(0)
}

/// Returns the least time between the request and the response, from the reported hold time.
fn hold_time(ms: u32, hold: Duration) -> Duration {
    Duration::from_millis(ms.into()).min(hold)
}
