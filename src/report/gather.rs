//! Collects the counts of all instances and adds them up.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

use super::wire::{ReportRequest, WireSeries};
use super::{BurnLine, Minute, Recorder, Series, burn_line, current_minute};
use crate::config::{Objective, Snapshot};
use crate::id::InstanceId;
use crate::member::{Fleet, Health};
use crate::peer::{PeerError, PeerHandler, Peers, decode, encode};

/// The kind of the peer messages of this module.
const MESSAGE_KIND: &str = "report";

/// The timeout for one instance to answer a message.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of instances queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// The burn of all objectives over the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The number of instances whose counts are in the report.
    pub instances: usize,
    /// The instances that did not answer; the report lacks their counts.
    pub missing: Vec<InstanceId>,
    /// The objectives, sorted by name.
    pub lines: Vec<BurnLine>,
}

/// Creates reports over the whole fleet.
#[derive(Clone)]
pub struct Reporter {
    me: InstanceId,
    recorder: Arc<Recorder>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    fleet: watch::Receiver<Arc<Fleet>>,
    peers: Arc<dyn Peers>,
}

/// The counts of this instance and of all others that answered, added up.
pub(super) struct Gathered {
    pub(super) series: BTreeMap<SmolStr, Series>,
    pub(super) instances: usize,
    pub(super) missing: Vec<InstanceId>,
}

impl Reporter {
    /// Creates the reporter of the instance `me`, and starts a task that updates the recorder
    /// when the objectives change.
    pub fn start(
        me: InstanceId,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        fleet: watch::Receiver<Arc<Fleet>>,
        peers: Arc<dyn Peers>,
    ) -> Self {
        let recorder = Arc::new(Recorder::default());
        tokio::spawn(follow_objectives(Arc::clone(&recorder), snapshot.clone()));
        Self {
            me,
            recorder,
            snapshot,
            fleet,
            peers,
        }
    }

    /// Returns the recorder that counts the requests of this instance.
    pub fn recorder(&self) -> Arc<Recorder> {
        Arc::clone(&self.recorder)
    }

    /// Returns the handler of report messages from other instances.
    pub fn handler(&self) -> Arc<dyn PeerHandler> {
        Arc::new(ReportHandler(Arc::clone(&self.recorder)))
    }

    /// Returns a report over all instances that answer.
    pub async fn burn(&self) -> BurnReport {
        let gathered = self.gather().await;
        let now = current_minute();
        let lines = self.lines(&gathered.series, now);
        BurnReport {
            instances: gathered.instances,
            missing: gathered.missing,
            lines,
        }
    }

    /// Sends the counts of this instance, which is leaving, to a live instance of the same region.
    ///
    /// If the region has no other live instance, the counts are lost.
    pub async fn hand_over(&self) {
        let Some(successor) = self.successor() else {
            return;
        };
        let request = ReportRequest::Handover(WireSeries::from(&self.recorder.series()));
        let Ok(body) = encode(&request) else {
            return;
        };
        if self
            .peers
            .ask(successor, MESSAGE_KIND, body, PEER_TIMEOUT)
            .await
            .is_err()
        {
            metrics::counter!("limpetstand_report_handovers_lost_total").increment(1);
        }
    }

    /// Sets the burn-rate gauges from the counts of this instance alone.
    pub fn update_burn_gauges(&self) {
        for line in self.lines(&self.recorder.series(), current_minute()) {
            let name = line.objective.to_string();
            let gauge = |window| {
                metrics::gauge!(
                    "limpetstand_burn_rate", "objective" => name.clone(), "window" => window
                )
            };
            gauge("5m").set(line.burn_5m);
            gauge("1h").set(line.burn_1h);
            gauge("6h").set(line.burn_6h);
            gauge("3d").set(line.burn_3d);
        }
    }

    /// Returns the objectives in force by name, each with the rate, in tokens a second, of the
    /// organisation that the objective is restricted to.
    pub(super) fn objectives(&self) -> Vec<(SmolStr, Objective, Option<u64>)> {
        let snapshot = Arc::clone(&self.snapshot.borrow());
        let mut all = Vec::new();
        for (name, objective) in &snapshot.merged.objectives {
            let organisation = objective.organisation.as_ref();
            let terms = organisation.and_then(|o| snapshot.merged.organisations.get(o));
            all.push((name.clone(), objective.clone(), terms.map(|t| t.rate)));
        }
        all
    }

    fn lines(&self, series: &BTreeMap<SmolStr, Series>, now: Minute) -> Vec<BurnLine> {
        let none = Series::default();
        let mut lines = Vec::new();
        for (name, objective, rate) in self.objectives() {
            let series = series.get(&name).unwrap_or(&none);
            lines.push(burn_line(&name, &objective, rate, series, now));
        }
        lines
    }

    pub(super) async fn gather(&self) -> Gathered {
        let mut gathered = Gathered {
            series: self.recorder.series(),
            instances: 1,
            missing: Vec::new(),
        };
        let others = self.others();
        let mut answers = stream::iter(others)
            .map(|(id, peer)| async move { (id, self.counts_of(peer).await) })
            .buffer_unordered(MAX_CONCURRENT_QUERIES);
        while let Some((id, series)) = answers.next().await {
            let Ok(series) = series else {
                gathered.missing.push(id);
                continue;
            };
            gathered.instances += 1;
            for (name, series) in series {
                gathered.series.entry(name).or_default().merge(&series);
            }
        }
        gathered.missing.sort();
        gathered
    }

    async fn counts_of(&self, peer: SocketAddr) -> Result<BTreeMap<SmolStr, Series>, PeerError> {
        let body = encode(&ReportRequest::Counts)?;
        let answer = self
            .peers
            .ask(peer, MESSAGE_KIND, body, PEER_TIMEOUT)
            .await?;
        decode::<WireSeries>(&answer)?.try_into()
    }

    fn others(&self) -> Vec<(InstanceId, SocketAddr)> {
        let fleet = self.fleet.borrow();
        let mut others = Vec::new();
        for member in &fleet.members {
            if member.id == self.me || member.health == Health::Dead {
                continue;
            }
            others.push((member.id.clone(), member.peer));
        }
        others
    }

    /// Returns the peer address of the instance that receives this instance's counts when this
    /// instance leaves: the first other live instance of the region in the fleet's member list,
    /// which is in no particular order.
    fn successor(&self) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        let me = fleet.members.iter().find(|m| m.id == self.me)?;
        let successor = fleet.live_members(&me.region).find(|m| m.id != self.me)?;
        Some(successor.peer)
    }
}

/// Applies each new configuration to the recorder until the configuration's channel closes.
async fn follow_objectives(recorder: Arc<Recorder>, mut snapshot: watch::Receiver<Arc<Snapshot>>) {
    loop {
        let current = Arc::clone(&snapshot.borrow_and_update());
        recorder.set_objectives(&current);
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}

struct ReportHandler(Arc<Recorder>);

#[async_trait]
impl PeerHandler for ReportHandler {
    fn kind(&self) -> &'static str {
        MESSAGE_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        match decode::<ReportRequest>(&body)? {
            ReportRequest::Counts => encode(&WireSeries::from(&self.0.series())),
            ReportRequest::Handover(series) => {
                self.0.merge(&series.try_into()?);
                Ok(Bytes::new())
            }
        }
    }
}
