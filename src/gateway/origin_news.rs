//! Tells other instances which software version began a stream, and asks them when a caller takes
//! one up.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep};

use super::attempts::STARTUP_WAIT;
use super::job::Job;
use super::outbox::{Delivery, Outbox};
use super::stream_origin::{History, Keepers, Origin, Testimony, find_origin};
use super::{Gateway, lock};
use crate::journal;
use crate::member::{Fleet, Health, Member};
use crate::peer::{PeerError, PeerHandler, decode, encode};

/// Timeout of a question within the region; covers a round trip and a busy instance.
const NEAR_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a question to another region.
const FAR_TIMEOUT: Duration = Duration::from_millis(500);

/// How records are sent. An instance that is killed takes with it the records that it has not sent.
const DELIVERY: Delivery = Delivery {
    kind: "origins",
    delay: Duration::from_millis(100),
    timeout: Duration::from_secs(1),
    lost_counter: "limpetstand_origins_lost_total",
};

/// The kind of peer messages that ask for a stream's origin.
const QUESTION_KIND: &str = "origin";

/// The kind of peer messages that ask which software versions services have lately had.
const HISTORY_KIND: &str = "versions";

/// Timeout of a question for the history.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two looks at the news of the registry, and between the first two questions for the
/// history while it is incomplete.
const HISTORY_PERIOD: Duration = Duration::from_millis(500);

/// Longest time between two questions for the history. Each may cost a call to the store, and after a
/// loss of all instances at once nobody can answer it.
const MAX_HISTORY_PAUSE: Duration = Duration::from_secs(8);

/// Time between two looks of a starting instance for others.
const STARTUP_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Longest time in a message, in milliseconds; longer ones could not be added to a time of the clock.
const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1000;

/// The history of software versions, as encoded between instances.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireHistory {
    complete_in_ms: u64,
    /// Service, version, and for how long it has been gone.
    versions: Vec<(SmolStr, SmolStr, Option<u64>)>,
}

impl From<History> for WireHistory {
    fn from(history: History) -> Self {
        let mut versions = Vec::with_capacity(history.versions.len());
        for (service, version, gone_for) in history.versions {
            versions.push((service, version, gone_for.map(whole_ms)));
        }
        Self {
            complete_in_ms: whole_ms(history.complete_in).saturating_add(1),
            versions,
        }
    }
}

impl From<WireHistory> for History {
    fn from(wire: WireHistory) -> Self {
        let mut versions = Vec::with_capacity(wire.versions.len());
        for (service, version, gone_ms) in wire.versions {
            versions.push((service, version, gone_ms.map(bounded)));
        }
        Self {
            complete_in: bounded(wire.complete_in_ms),
            versions,
        }
    }
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a time of another instance.
fn bounded(ms: u64) -> Duration {
    Duration::from_millis(ms.min(MAX_TIME_MS))
}

/// A record, as encoded between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct WireRecord {
    stream: SmolStr,
    service: SmolStr,
    software_version: SmolStr,
}

/// A question for the origin of a stream.
#[derive(Debug, Serialize, Deserialize)]
struct WireQuestion {
    stream: SmolStr,
    /// The service that would serve the stream; `None` if the route has several.
    service: Option<SmolStr>,
}

/// What an instance knows of a stream, as encoded between instances.
#[derive(Debug, Serialize, Deserialize)]
struct WireTestimony {
    /// Service and software version.
    origin: Option<(SmolStr, SmolStr)>,
    versions: Vec<SmolStr>,
    covers_memory: bool,
}

impl From<(SmolStr, Origin)> for WireRecord {
    fn from((stream, origin): (SmolStr, Origin)) -> Self {
        Self {
            stream,
            service: origin.service,
            software_version: origin.software_version,
        }
    }
}

impl From<Testimony> for WireTestimony {
    fn from(testimony: Testimony) -> Self {
        Self {
            origin: testimony.origin.map(|o| (o.service, o.software_version)),
            versions: testimony.versions,
            covers_memory: testimony.covers_memory,
        }
    }
}

impl From<WireTestimony> for Testimony {
    fn from(wire: WireTestimony) -> Self {
        Self {
            origin: wire.origin.map(|(service, software_version)| Origin {
                service,
                software_version,
            }),
            versions: wire.versions,
            // Says how far back the other instance has seen, but not up to when.
            covers_memory: false,
        }
    }
}

impl Gateway {
    /// Records that the first event of a stream is passed on, and tells the keepers if the service
    /// may have several software versions.
    pub(super) fn record_stream_begin(&self, job: &Job, software_version: &SmolStr) {
        let origin = Origin {
            service: job.service.clone(),
            software_version: software_version.clone(),
        };
        let is_copied = lock(&self.origins).record(self.clock.now(), &job.stream, &origin);
        if is_copied {
            self.send_copies(vec![(job.stream.clone(), origin)]);
        }
    }

    fn send_copies(&self, records: Vec<(SmolStr, Origin)>) {
        let fleet = self.fleet();
        for (stream, origin) in records {
            let record = WireRecord::from((stream.clone(), origin));
            for keeper in self.keepers(&stream, &fleet).to_tell() {
                self.origin_records.push(keeper.peer, record.clone());
            }
        }
    }

    fn keepers<'a>(&'a self, stream: &'a str, fleet: &'a Fleet) -> Keepers<'a> {
        Keepers {
            stream,
            own_id: &self.id,
            own_region: &self.region,
            fleet,
        }
    }

    /// Finds which service and software version began a stream that its caller takes up. `service`
    /// is the only service of the route, if there is only one. A starting instance waits for up to
    /// [`STARTUP_WAIT`] until it knows the others.
    pub(super) async fn find_stream_origin(
        &self,
        stream: &SmolStr,
        service: Option<&SmolStr>,
    ) -> Option<Origin> {
        let started = Instant::now();
        loop {
            let origin = self.ask_for_origin(stream, service).await;
            let may_learn_more = self.is_starting() && started.elapsed() < STARTUP_WAIT;
            if origin.is_some() || !may_learn_more {
                return origin;
            }
            sleep(STARTUP_POLL_PERIOD).await;
        }
    }

    async fn ask_for_origin(&self, stream: &SmolStr, service: Option<&SmolStr>) -> Option<Origin> {
        let own = lock(&self.origins).testimony(self.clock.now(), stream, service);
        if own.origin.is_some() {
            return own.origin;
        }
        let fleet = self.fleet();
        let keepers = self.keepers(stream, &fleet);
        let near = keepers.near();
        let told = self.ask_keepers(near, stream, service, NEAR_TIMEOUT).await;
        let recorded = told.iter().find_map(|t| t.origin.clone());
        if recorded.is_some() {
            return recorded;
        }
        let recorded = async {
            let far = keepers.far();
            let told = self.ask_keepers(far, stream, service, FAR_TIMEOUT).await;
            told.into_iter().find_map(|t| t.origin)
        };
        tokio::select! {
            Some(origin) = self.infer_origin(stream, service, told) => Some(origin),
            Some(origin) = recorded => Some(origin),
            else => None,
        }
    }

    /// Finds the origin of a stream without a record: the only version that has served for as long as
    /// streams may be taken up, until now.
    ///
    /// The news of this instance and of others may be old without their knowing it, and a version that
    /// has begun to serve since may have begun the stream. So the registry is read again.
    async fn infer_origin(
        &self,
        stream: &SmolStr,
        service: Option<&SmolStr>,
        mut testimonies: Vec<Testimony>,
    ) -> Option<Origin> {
        let own = || {
            self.update_software_versions();
            lock(&self.origins).testimony(self.clock.now(), stream, service)
        };
        testimonies.push(own());
        let may_be_inferred = find_origin(service, &testimonies).is_some();
        if !may_be_inferred || !self.confirm_registry().await {
            return None;
        }
        testimonies.push(own());
        find_origin(service, &testimonies)
    }

    /// Asks instances what they know of a stream, until one has a record.
    async fn ask_keepers(
        &self,
        keepers: Vec<&Member>,
        stream: &SmolStr,
        service: Option<&SmolStr>,
        timeout: Duration,
    ) -> Vec<Testimony> {
        let question = WireQuestion {
            stream: stream.clone(),
            service: service.cloned(),
        };
        let Ok(body) = encode(&question) else {
            return Vec::new();
        };
        let mut questions = FuturesUnordered::new();
        for keeper in keepers {
            questions.push(
                self.peers
                    .ask(keeper.peer, QUESTION_KIND, body.clone(), timeout),
            );
        }
        let mut testimonies = Vec::new();
        while let Some(answer) = questions.next().await {
            let answer = answer.and_then(|a| decode::<WireTestimony>(&a));
            let testimony = match answer {
                Ok(wire) => Testimony::from(wire),
                Err(e) => {
                    journal::line("keeper_lost")
                        .text("stream", stream)
                        .text("error", &e.to_string());
                    continue;
                }
            };
            let is_known = testimony.origin.is_some();
            testimonies.push(testimony);
            if is_known {
                break;
            }
        }
        testimonies
    }

    /// Asks an instance of an older build for the history of software versions.
    async fn ask_for_history(&self, peer: SocketAddr) -> Result<(), PeerError> {
        let news_time = self.follower.ask_for_news_time(&*self.peers, peer).await;
        let Some(as_of) = news_time else {
            return Ok(());
        };
        let question = self
            .peers
            .ask(peer, HISTORY_KIND, Bytes::new(), HISTORY_TIMEOUT);
        let history = decode::<WireHistory>(&question.await?)?;
        self.inherit_history(as_of, history);
        Ok(())
    }

    /// Adds the history of another instance, which had all news up to `as_of`.
    pub(super) fn inherit_history(&self, as_of: Duration, history: WireHistory) {
        self.update_software_versions();
        let now = self.clock.now();
        lock(&self.origins).inherit(now, as_of, &history.into());
    }

    /// Forgets the streams that callers do not take up any more.
    pub(super) fn expire_origins(&self) {
        lock(&self.origins).expire(self.clock.now());
    }

    /// Takes over the software versions of the targets in the current view.
    pub(super) fn update_software_versions(&self) {
        let view = self.view();
        let entries = view.targets.values().map(|known| &known.entry);
        let running = entries.map(|entry| (&entry.service, &entry.software_version));
        let uncopied = {
            let now = self.clock.now();
            let is_in_touch = self.follower.has_recent_news();
            let followed_since = self.follower.registry_followed_since();
            let heard = self.follower.take_heard_versions();
            let mut origins = lock(&self.origins);
            for (service, version) in &heard {
                origins.hear_version(now, service, version);
            }
            origins.set_followed(followed_since, is_in_touch);
            origins.update_versions(now, running);
            origins.take_uncopied(now)
        };
        self.send_copies(uncopied);
    }
}

/// Follows the software versions of targets, and tells new keepers of the streams that they should
/// know, until the runtime ends.
pub(super) async fn keep_origins(gateway: Arc<Gateway>) {
    let sender = Arc::clone(&gateway);
    tokio::spawn(async move {
        let peers = Arc::clone(&sender.peers);
        sender.origin_records.send_all(peers, DELIVERY).await;
    });
    tokio::spawn(complete_history(Arc::clone(&gateway)));
    let (mut view, mut fleet) = (gateway.view.clone(), gateway.fleet.clone());
    let mut live = live_instances(&gateway);
    loop {
        gateway.update_software_versions();
        let changed = tokio::select! {
            changed = view.changed() => changed,
            changed = fleet.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let live_before = std::mem::replace(&mut live, live_instances(&gateway));
        if live.difference(&live_before).next().is_some() {
            let copied = lock(&gateway.origins).copied(gateway.clock.now());
            gateway.send_copies(copied);
        }
    }
}

/// Asks other instances which software versions services had before this instance started, or while
/// it got no news, whenever that is not known for as long as streams last.
async fn complete_history(gateway: Arc<Gateway>) {
    let mut was_complete = false;
    let mut pause = HISTORY_PERIOD;
    loop {
        gateway.update_software_versions();
        let is_complete = lock(&gateway.origins).covers_memory(gateway.clock.now());
        if is_complete != was_complete {
            was_complete = is_complete;
            let history = lock(&gateway.origins).history(gateway.clock.now());
            let versions = history.versions.iter();
            let seen: Vec<String> = versions.map(|(s, v, _)| format!("{s} {v}")).collect();
            journal::line("software_versions")
                .value("complete", is_complete)
                .text("seen", &seen.join(","));
        }
        if is_complete {
            pause = HISTORY_PERIOD;
            sleep(HISTORY_PERIOD).await;
            continue;
        }
        let fleet = gateway.fleet();
        let others = fleet.members.iter();
        let others = others.filter(|m| m.health == Health::Live && m.id != gateway.id);
        let Some(peer) = others.choose(&mut rand::rng()).map(|m| m.peer) else {
            sleep(STARTUP_POLL_PERIOD).await;
            continue;
        };
        let asked = match gateway.ask_for_registry(peer).await {
            Err(PeerError::UnknownKind(_)) => gateway.ask_for_history(peer).await,
            asked => asked.map(drop),
        };
        if let Err(e) = asked {
            journal::line("history_unknown").text("error", &e.to_string());
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_HISTORY_PAUSE);
    }
}

/// Returns the address and the incarnation of each live instance.
fn live_instances(gateway: &Gateway) -> BTreeSet<(SocketAddr, u64)> {
    let fleet = gateway.fleet();
    let mut live = BTreeSet::new();
    for region in &gateway.regions {
        live.extend(fleet.live_members(region).map(|m| (m.peer, m.incarnation)));
    }
    live
}

/// Answers questions for the origins of streams.
pub(super) struct OriginHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for OriginHandler {
    fn kind(&self) -> &'static str {
        QUESTION_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let question: WireQuestion = decode(&body)?;
        self.0.update_software_versions();
        let mut testimony = lock(&self.0.origins).testimony(
            self.0.clock.now(),
            &question.stream,
            question.service.as_ref(),
        );
        // Instances of older builds rely on it.
        testimony.covers_memory &= self.0.follower.has_recent_news();
        encode(&WireTestimony::from(testimony))
    }
}

/// Tells which software versions services have lately had.
pub(super) struct HistoryHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for HistoryHandler {
    fn kind(&self) -> &'static str {
        HISTORY_KIND
    }

    async fn answer(&self, _: Bytes) -> Result<Bytes, PeerError> {
        if !self.0.follower.has_recent_news() {
            return Err(PeerError::Refused("the news is out of date".to_owned()));
        }
        self.0.update_software_versions();
        let history = lock(&self.0.origins).history(self.0.clock.now());
        encode(&WireHistory::from(history))
    }
}

/// Keeps copies of other instances' records.
pub(super) struct OriginRecordHandler(pub Arc<Gateway>);

#[async_trait]
impl PeerHandler for OriginRecordHandler {
    fn kind(&self) -> &'static str {
        DELIVERY.kind
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let records: Vec<WireRecord> = decode(&body)?;
        let now = self.0.clock.now();
        let mut origins = lock(&self.0.origins);
        for record in records {
            let origin = Origin {
                service: record.service,
                software_version: record.software_version,
            };
            origins.record_copy(now, &record.stream, &origin);
        }
        Ok(Bytes::new())
    }
}

/// The records that wait to be sent to their keepers.
pub(super) type OriginRecords = Outbox<WireRecord>;

crate::wire_format!("stream-origins", Vec<WireRecord>);
crate::wire_format!("version-history", WireHistory);
crate::wire_format!("origin-question", WireQuestion);
crate::wire_format!("origin-testimony", WireTestimony);
