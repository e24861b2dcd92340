//! The store plug-in for etcd's JSON interface, tested against the etcd stand-in.

#![allow(missing_docs, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use limpetstand::store::{
    Precondition, Store, StoreError, StoreOptions, SwapResult, WatchEvent, connect,
};
use limpetstand_standin::store::{Outage, Store as StandIn};

const TIMEOUT: Duration = Duration::from_millis(300);

async fn start_store() -> (StandIn, Arc<dyn Store>) {
    let stand_in = StandIn::start("127.0.0.1:0".parse().expect("present"))
        .await
        .expect("present");
    let options = StoreOptions::new(format!("http://{}", stand_in.address())).timeout(TIMEOUT);
    let store = connect("etcd", &options).expect("present");
    (stand_in, store)
}

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test]
async fn compare_and_swap() {
    let (_stand_in, store) = start_store().await;
    assert_eq!(store.get("a/1").await.expect("present"), None);
    let swap = store
        .swap("a/1", Precondition::Absent, bytes("x"), None)
        .await;
    let SwapResult::Done(first) = swap.expect("present") else {
        panic!("the swap must succeed: the key is absent");
    };
    let swap = store
        .swap("a/1", Precondition::Absent, bytes("y"), None)
        .await;
    let SwapResult::Conflict(Some(found)) = swap.expect("present") else {
        panic!("the swap must fail: the key exists");
    };
    assert_eq!((found.mod_revision, found.value), (first, bytes("x")));
    let expect = Precondition::Revision(first);
    let swap = store
        .swap("a/1", expect, bytes("z"), None)
        .await
        .expect("present");
    let SwapResult::Done(second) = swap else {
        panic!("the swap must succeed: the revision matches");
    };
    assert!(second > first);
    assert_eq!(store.revision("a/1").await.expect("present"), Some(second));
    assert_eq!(
        store
            .get("a/1")
            .await
            .expect("present")
            .expect("present")
            .value,
        bytes("z")
    );
    assert!(!store.delete("a/1", first).await.expect("present"));
    assert!(store.delete("a/1", second).await.expect("present"));
    let swap = store
        .swap("a/1", expect, bytes("z"), None)
        .await
        .expect("present");
    assert_eq!(swap, SwapResult::Conflict(None));
}

#[tokio::test]
async fn list_returns_only_keys_with_the_prefix() {
    let (_stand_in, store) = start_store().await;
    for key in ["a/2", "a/1", "b", "a"] {
        let swap = store
            .swap(key, Precondition::Absent, bytes("x"), None)
            .await;
        assert!(matches!(swap, Ok(SwapResult::Done(_))));
    }
    let found = store.list("a/").await.expect("present");
    let keys: Vec<&str> = found.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
}

#[tokio::test]
async fn a_revoked_lease_deletes_its_keys_and_is_reported_as_lapsed() {
    let (_stand_in, store) = start_store().await;
    let lease = store
        .grant(Duration::from_millis(500))
        .await
        .expect("present");
    let swap = store
        .swap("l", Precondition::Absent, bytes("x"), Some(lease))
        .await;
    assert!(matches!(swap, Ok(SwapResult::Done(_))));
    let ttl = store.keep_alive(lease).await.expect("present");
    assert_eq!(ttl, Duration::from_secs(1));
    store.revoke(lease).await.expect("present");
    assert_eq!(store.get("l").await.expect("present"), None);
    assert_eq!(store.keep_alive(lease).await, Err(StoreError::LeaseExpired));
    let swap = store
        .swap("l", Precondition::Absent, bytes("x"), Some(lease))
        .await;
    assert_eq!(swap, Err(StoreError::LeaseExpired));
}

#[tokio::test]
async fn a_watch_reports_every_change_after_it_opens() {
    let (_stand_in, store) = start_store().await;
    let mut events = store.watch("w/").await.expect("present");
    let swap = store
        .swap("w/1", Precondition::Absent, bytes("x"), None)
        .await;
    let SwapResult::Done(first) = swap.expect("present") else {
        panic!("the swap must succeed: the key is absent");
    };
    store.delete("w/1", first).await.expect("present");
    let Some(WatchEvent::Put(entry)) = events.recv().await else {
        panic!("the first event must be the put");
    };
    assert_eq!((entry.key.as_str(), entry.mod_revision), ("w/1", first));
    let Some(WatchEvent::Delete(key, _)) = events.recv().await else {
        panic!("the second event must be the delete");
    };
    assert_eq!(key, "w/1");
}

#[tokio::test]
async fn a_refused_connection_and_a_lost_response_give_different_errors() {
    let (stand_in, store) = start_store().await;
    stand_in.lose_next_answers(1);
    let swap = store
        .swap("k", Precondition::Absent, bytes("x"), None)
        .await;
    assert!(matches!(swap, Err(StoreError::ResponseLost(_))), "{swap:?}");
    assert_eq!(
        store
            .get("k")
            .await
            .expect("present")
            .expect("present")
            .value,
        bytes("x")
    );
    stand_in.set_outage(Some(Outage::Hang));
    let swap = store
        .swap("k", Precondition::Absent, bytes("x"), None)
        .await;
    assert!(matches!(swap, Err(StoreError::ResponseLost(_))), "{swap:?}");
    stand_in.set_outage(Some(Outage::Refuse));
    let swap = store
        .swap("k", Precondition::Absent, bytes("x"), None)
        .await;
    assert!(matches!(swap, Err(StoreError::Unreachable(_))), "{swap:?}");
    stand_in.set_outage(None);
    while matches!(store.get("k").await, Err(StoreError::Unreachable(_))) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        store
            .get("k")
            .await
            .expect("present")
            .expect("present")
            .value,
        bytes("x")
    );
}
