//! Rate limit and counters for an instance's calls to the store.

#![allow(missing_docs, clippy::unwrap_used)]

use std::time::Duration;

use limpetstand::store::rate_limit::{MAX_QUEUE_WAIT, RateLimitedStore, RateLimiter};
use limpetstand::store::{Store, StoreError};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[path = "common/memory_store.rs"]
mod memory_store;

use memory_store::MemoryStore;

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Any time window contains at most the calls of its length at the refill rate, plus one burst.
    #[test]
    fn calls_in_any_window_are_limited(
        rate in 1u32..40,
        watches in 0u64..4,
        gaps in prop::collection::vec(0u64..400, 1..300),
    ) {
        let mut limiter = RateLimiter::new(rate);
        let mut now = Duration::ZERO;
        let mut sent: Vec<f64> = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            if let Some(wait) = limiter.take(now, watches) {
                prop_assert!(wait <= MAX_QUEUE_WAIT);
                sent.push((now + wait).as_secs_f64());
            }
        }
        let refill_rate = (f64::from(rate) - watches as f64).max(0.0);
        sent.sort_by(f64::total_cmp);
        for (i, from) in sent.iter().enumerate() {
            for (j, to) in sent.iter().enumerate().skip(i) {
                let allowed = (to - from) * refill_rate + f64::from(rate) + 1.0;
                prop_assert!((j - i + 1) as f64 <= allowed + 1e-6);
            }
        }
    }

    /// A caller that does not exceed the rate is not delayed by 1 ms or more.
    #[test]
    fn a_caller_within_the_rate_is_not_delayed(rate in 1u32..40, calls in 1u64..200) {
        let mut limiter = RateLimiter::new(rate);
        for i in 0..calls {
            let now = Duration::from_secs_f64(i as f64 / f64::from(rate));
            prop_assert!(limiter.take(now, 0).is_some_and(|w| w < Duration::from_millis(1)));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn calls_and_open_watches_are_counted() {
    let inner = MemoryStore::new();
    let store = RateLimitedStore::new(inner.clone(), 4);
    let events = store.watch("k").await.unwrap();
    assert_eq!((store.usage().calls, store.usage().watches), (1, 1));
    let mut refused = 0;
    for _ in 0..20 {
        match store.get("k").await {
            Ok(_) => {}
            Err(e) => {
                assert_eq!(e, StoreError::RateLimited);
                refused += 1;
            }
        }
    }
    let usage = store.usage();
    assert!(refused > 0);
    assert_eq!((usage.refused, usage.calls), (refused, 21 - refused));
    assert_eq!(inner.calls(), usage.calls);
    drop(events);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(store.usage().watches, 0);
    assert!(store.get("k").await.is_ok());
}
