//! Commits to the configuration tree when the store loses answers, is slow or is down.

#![allow(missing_docs, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use limpetstand::config::Revision;
use limpetstand::config::commit::{Committer, DocumentOperation, Outcome, Proposal};
use limpetstand::config::head::{ChangeId, HEAD_KEY, KEPT_CHANGES};
use limpetstand::config::loaded::LoadedConfig;
use limpetstand::config::operator::Operator;
use limpetstand::config::path::DocumentPath;
use tokio::sync::watch;

#[path = "common/memory_store.rs"]
mod memory_store;

use memory_store::MemoryStore;

fn committer(store: &Arc<MemoryStore>) -> Committer {
    let store: Arc<MemoryStore> = Arc::clone(store);
    let (_, loaded) = watch::channel(Arc::<LoadedConfig>::default());
    Committer::new(store, loaded, 1)
}

fn put(operator: &Operator, id: &str, path: &str, text: &str) -> Proposal {
    let path = DocumentPath::parse(path).expect("present");
    let id = ChangeId::parse(id).expect("present");
    Proposal::new(
        operator.clone(),
        id,
        DocumentOperation::Put(path, text.into()),
    )
}

fn organisation(name: &str, rate: u64) -> String {
    format!("[organisations.{name}]\nrate = {rate}\nburst = 10\n")
}

#[tokio::test(start_paused = true)]
async fn a_change_whose_answer_is_lost_is_found_by_its_change_id() {
    let store = MemoryStore::new();
    let committer = committer(&store);
    // The answers to the write of the blob and to the swap of the head are lost.
    store.faults(|f| f.lose_answers = 2);
    let proposal = put(&Operator::root(), "c1", "acme", &organisation("acme", 5));
    assert_eq!(
        committer.commit(&proposal).await,
        Outcome::Accepted(Revision(1))
    );
    assert_eq!(
        committer.commit(&proposal).await,
        Outcome::Accepted(Revision(1))
    );
    assert_eq!(committer.head().await.expect("present").changes.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_swap_without_an_answer_is_unknown_and_a_repeated_request_is_accepted() {
    let store = MemoryStore::new();
    let committer = committer(&store);
    let proposal = put(&Operator::root(), "c1", "acme", &organisation("acme", 5));
    store.faults(|f| f.delay = Duration::from_secs(3));
    let outcome = committer.commit(&proposal).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    store.faults(|f| f.delay = Duration::ZERO);
    let outcome = committer.commit(&proposal).await;
    assert_eq!(outcome, Outcome::Accepted(Revision(1)));
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_changes_nothing() {
    let store = MemoryStore::new();
    let committer = committer(&store);
    store.faults(|f| f.down = true);
    let proposal = put(&Operator::root(), "c1", "acme", &organisation("acme", 5));
    let outcome = committer.commit(&proposal).await;
    assert!(matches!(outcome, Outcome::Unreachable(_)), "{outcome:?}");
    store.faults(|f| f.down = false);
    assert_eq!(
        committer.head().await.expect("present").revision,
        Revision(0)
    );
}

#[tokio::test(start_paused = true)]
async fn blobs_are_deleted_when_no_kept_change_refers_to_them() {
    let store = MemoryStore::new();
    let committer = committer(&store);
    let kept = KEPT_CHANGES as u64;
    for i in 0..kept + 8 {
        // The first text is written again by the commit that drops its first change from the
        // history.
        let rate = if i == kept { 0 } else { i };
        let text = organisation("acme", rate);
        let proposal = put(&Operator::root(), &i.to_string(), "acme", &text);
        let outcome = committer.commit(&proposal).await;
        assert_eq!(outcome, Outcome::Accepted(Revision(i + 1)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let head = committer.head().await.unwrap();
    let mut expected: Vec<String> = head.blobs().into_iter().map(|b| b.store_key()).collect();
    expected.push(HEAD_KEY.to_owned());
    expected.sort();
    let stored: Vec<String> = store.copy().into_keys().collect();
    assert_eq!(stored, expected);
    assert!(!head.covers(Revision(7)));
    assert!(head.covers(Revision(8)));
}
