//! Asks brittle targets for their load where this instance has become their scheduler and does not
//! know it. A request sent to find out might be turned away.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::sleep;

use super::Gateway;
use super::registry::KnownTarget;
use super::target_query::MAX_ANSWER_BYTES;
use crate::id::TargetId;
use crate::journal;

/// Time between two looks for targets whose load is not known.
const PERIOD: Duration = Duration::from_millis(250);

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
        let load = self.query_load(&id, &known).await;
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
        let read = async |_, response: Response<Incoming>| {
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(|e| e.to_string())?;
            Ok(body.to_bytes())
        };
        let body = self.ask_target(id, known.entry.address, path, read).await?;
        let load = self.dialect.read_load_report(&body);
        load.ok_or_else(|| "the report is malformed".to_owned())
    }
}
