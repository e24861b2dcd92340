//! Asks brittle targets for their load where this instance has become their scheduler and does not
//! know it. A request sent to find out might be turned away.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::{sleep, timeout};

use super::Gateway;
use super::dialect::TargetHeaders;
use super::registry::KnownTarget;
use crate::id::TargetId;
use crate::journal;

/// Time between two looks for targets whose load is not known.
const PERIOD: Duration = Duration::from_millis(250);

/// Timeout of a question.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Asks for loads until the runtime ends.
pub(super) async fn ask_for_loads(gateway: Arc<Gateway>) {
    loop {
        sleep(PERIOD).await;
        for (id, known) in gateway.targets_of_unknown_load() {
            tokio::spawn(Arc::clone(&gateway).ask_for_load(id, known));
        }
    }
}

impl Gateway {
    async fn ask_for_load(self: Arc<Self>, id: TargetId, known: KnownTarget) {
        let asked = timeout(TIMEOUT, self.query_load(&id, &known)).await;
        let load = asked.unwrap_or_else(|_| Err("timed out".to_owned()));
        let line = journal::line("load_asked").text("target", id.as_str());
        match load {
            Ok((running, waiting)) => {
                let now = self.clock.now();
                self.pool().record_load_report(now, &id, running, waiting);
                line.value("running", running).value("waiting", waiting);
            }
            Err(why) => {
                line.text("error", &why);
            }
        }
    }

    async fn query_load(&self, id: &TargetId, known: &KnownTarget) -> Result<(u32, u32), String> {
        let path = self.dialect.load_report_path();
        let path = path.ok_or("targets report no load")?;
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.uri_mut() = path.parse().map_err(|_| "the path is malformed")?;
        self.dialect.add_target_headers(
            req.headers_mut(),
            &TargetHeaders {
                target: id,
                organisation: None,
                time_left: TIMEOUT,
                priority: 0,
                resume_after: None,
            },
        );
        let connection = self.upstream().connection(known.entry.address, true).await;
        let mut connection = connection.map_err(|e| e.to_string())?;
        let response = connection.send(req).await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        let load = self.dialect.read_load_report(&body);
        load.ok_or_else(|| "the report is malformed".to_owned())
    }
}
