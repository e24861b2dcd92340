//! Sends requests that the plain service forwards back to the gateway, to check loop detection.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::instance_table::InstanceTable;
use super::record::LOOP_RUN_ID_PREFIX;
use crate::workload::OPEN_ROUTE;

const SEND_INTERVAL: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Sends one such request per second until `until`; returns the number of attempts.
pub(super) async fn send_loop_requests(
    instance_table: Arc<InstanceTable>,
    regions: usize,
    until: Instant,
) -> u64 {
    let client = reqwest::Client::new();
    let mut sent = 0;
    while Instant::now() < until {
        let region = usize::try_from(sent).unwrap_or(0) % regions;
        let chosen = instance_table.pick(region, &[], &mut rand::rng());
        if let Some(front) = chosen {
            let url = format!("http://{front}/service/{OPEN_ROUTE}/run");
            let body =
                json!({ "x-run-id": format!("{LOOP_RUN_ID_PREFIX}{sent}"), "call-back": url });
            // The service records every run, so the answer itself is not checked.
            drop(
                client
                    .post(&url)
                    .json(&body)
                    .timeout(CALL_TIMEOUT)
                    .send()
                    .await,
            );
        }
        sent += 1;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    sent
}
