//! Answers that are ready when an instance gives up.

use std::future::{pending, ready};

use limpetstand::gateway::give_up::unless_given_up;

#[tokio::test]
async fn an_answer_that_is_ready_when_the_instance_gives_up_is_delivered() {
    let mut delivered = 0;
    for n in 0..100 {
        delivered += usize::from(unless_given_up(ready(n), ready(())).await == Some(n));
    }
    assert_eq!(delivered, 100);
}

#[tokio::test]
async fn a_request_without_an_answer_is_given_up() {
    assert_eq!(unless_given_up(pending::<u8>(), ready(())).await, None);
    assert_eq!(unless_given_up(ready(1), pending()).await, Some(1));
}
