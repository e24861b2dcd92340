//! Exchanges crashes and quarantines among the instances of the fleet.
//!
//! Each instance reports the crashes that it sees to a few judges in each region, so that a region
//! that is cut off goes on judging. A judge asks all instances for complete answers before it
//! condemns a suspect. Quarantines are broadcast, and instances compare theirs with another
//! instance from time to time, so that one that missed a broadcast or has just started learns them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::blame::{Answers, Blame, Condemned, Crash};
use super::completions::Completions;
use super::message::{Message, Reply, WireAnswers, WireCrash, WireQuarantine, to_ms};
use super::{Fingerprint, Quarantine, QuarantineStatus, Suspect};
use crate::clock::Clock;
use crate::id::{InstanceId, RegionId};
use crate::journal;
use crate::member::{Fleet, Health, Member};
use crate::peer::{PeerError, PeerHandler, Peers, decode, encode};
use crate::rendezvous::weight;

/// The kind of the messages.
const KIND: &str = "blame";

/// The number of instances in each region that judge crashes.
const JUDGES_PER_REGION: usize = 2;

/// Timeout of a report, a broadcast and a comparison.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of attempts to deliver a report or a broadcast.
const MAX_DELIVERY_ATTEMPTS: u32 = 3;

/// Timeout of a question for complete answers; an instance that does not answer is left out.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of suspects that a journal line names.
const MAX_NAMED_SUSPECTS: usize = 64;

/// Time from a report to the judgement, in which other instances report the same crash.
const REPORT_COLLECTION_TIME: Duration = Duration::from_millis(100);

/// Time between two comparisons of quarantines with another instance.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// One comparison in this many is with an instance of any region, the others are with one of the
/// own region.
const COMPARISONS_PER_DISTANT_ONE: u32 = 4;

/// Part of [`COMPARE_PERIOD`] by which comparisons are spread at random.
const COMPARE_SPREAD: f64 = 0.2;

/// Time until the first comparison of an instance that does not know another instance yet.
const STARTUP_POLL_PERIOD: Duration = Duration::from_millis(100);

/// The dependencies of a [`QuarantineService`].
pub struct QuarantineDeps {
    /// The instance's id.
    pub id: InstanceId,
    /// The instance's region.
    pub region: RegionId,
    /// The instance's clock.
    pub clock: Clock,
    /// The other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Sends messages to the other instances.
    pub peers: Arc<dyn Peers>,
    /// The duration of a quarantine.
    pub quarantine_time: Duration,
}

/// The quarantine of an instance of the gateway.
pub struct QuarantineService {
    deps: QuarantineDeps,
    quarantine: Mutex<Quarantine>,
    completions: Mutex<Completions>,
    blame: Mutex<Blame>,
    /// Wakes the task that judges.
    reported: mpsc::Sender<()>,
}

impl QuarantineService {
    /// Starts the tasks of the service, which end when the service is dropped.
    pub fn start(deps: QuarantineDeps) -> Arc<Self> {
        let (reported, reports) = mpsc::channel(1);
        let service = Arc::new(Self {
            quarantine: Mutex::new(Quarantine::new(deps.quarantine_time)),
            completions: Mutex::default(),
            blame: Mutex::default(),
            reported,
            deps,
        });
        tokio::spawn(judge_reports(Arc::downgrade(&service), reports));
        tokio::spawn(compare_quarantines(Arc::downgrade(&service)));
        service
    }

    /// Returns the first quarantined suspect of a request with the remaining time.
    pub fn find(&self, suspects: &[Suspect]) -> Option<(Fingerprint, Duration)> {
        let now = self.deps.clock.now();
        let quarantine = lock(&self.quarantine);
        for suspect in suspects {
            let status = quarantine.status(now, suspect.fingerprint);
            if let QuarantineStatus::Quarantined(left) = status {
                return Some((suspect.fingerprint, left));
            }
        }
        None
    }

    /// Records a complete answer to a request that was sent to its target at `began`.
    pub fn record_complete(&self, began: Duration, suspects: &[Suspect]) {
        let now = self.deps.clock.now();
        lock(&self.completions).record_complete(now, began, suspects);
    }

    /// Records that the answer to a request that was sent to its target at `began` has gone on for
    /// some time.
    pub fn record_running(&self, began: Duration, suspects: &[Suspect]) {
        let now = self.deps.clock.now();
        lock(&self.completions).record_running(now, began, suspects);
    }

    /// Reports to the judges that a process crashed at `at`.
    pub fn report(self: &Arc<Self>, at: Duration, crash: Crash) {
        let now = self.deps.clock.now();
        metrics::counter!("limpetstand_target_crashes_total").increment(1);
        journal::line("blamed")
            .text("target", crash.target.as_str())
            .value("born", crash.started_unix_ms)
            .value("in_flight", crash.suspects.len())
            .text("suspects", &names(&crash.suspects));
        if crash.suspects.is_empty() {
            return;
        }
        let judges = self.judges();
        if judges.iter().any(|judge| judge.id == self.deps.id) {
            self.record(now, at, crash.clone());
        }
        for judge in judges {
            if judge.id == self.deps.id {
                continue;
            }
            let service = Arc::clone(self);
            let crash = crash.clone();
            tokio::spawn(async move {
                for _ in 0..MAX_DELIVERY_ATTEMPTS {
                    let age = service.deps.clock.now().saturating_sub(at);
                    let message = Message::Report(WireCrash::new(&crash, age));
                    if service.ask(judge.peer, &message).await.is_some() {
                        return;
                    }
                }
                journal::line("report_lost").text("peer", judge.id.as_str());
            });
        }
    }

    /// Returns the judges of each region, the same ones at all instances with the same view.
    fn judges(&self) -> Vec<Member> {
        let fleet = Arc::clone(&self.deps.fleet.borrow());
        let mut live: Vec<&Member> = fleet
            .members
            .iter()
            .filter(|m| m.health == Health::Live || m.id == self.deps.id)
            .collect();
        live.sort_by_cached_key(|m| {
            let rank = std::cmp::Reverse(weight(KIND.as_bytes(), m.id.as_str().as_bytes()));
            (m.region.clone(), rank)
        });
        let mut judges: Vec<Member> = Vec::new();
        for member in live {
            let in_region = judges.iter().filter(|j| j.region == member.region).count();
            if in_region < JUDGES_PER_REGION {
                judges.push(member.clone());
            }
        }
        judges
    }

    fn record(&self, now: Duration, at: Duration, crash: Crash) {
        lock(&self.blame).record(now, at, crash);
        // If the channel is full, the task is about to judge anyway.
        let _ = self.reported.try_send(());
    }

    /// Condemns suspects, after asking all instances for complete answers. Returns the time until
    /// others are to be judged, if no crash is reported before.
    async fn judge(self: &Arc<Self>) -> Option<Duration> {
        let checked = {
            let now = self.deps.clock.now();
            let mut checked = lock(&self.blame).to_check(now);
            let quarantine = lock(&self.quarantine);
            checked.retain(|suspect| {
                !matches!(
                    quarantine.status(now, *suspect),
                    QuarantineStatus::Quarantined(_)
                )
            });
            checked
        };
        if checked.is_empty() {
            return None;
        }
        let answered = self.find_answers(&checked).await;
        let now = self.deps.clock.now();
        let (condemned, next_due) = {
            let mut blame = lock(&self.blame);
            for (suspect, answers) in &answered {
                blame.record_answers(*suspect, *answers);
            }
            (blame.condemn(now, &checked), blame.next_due(now))
        };
        let next = next_due.map(|due| due.saturating_sub(now));
        journal::line("judged")
            .value("suspects", checked.len())
            .value("answered", answered.len())
            .value("condemned", condemned.len())
            .value(
                "again_in_ms",
                next.map_or("null".to_owned(), |n| to_ms(n).to_string()),
            );
        if !condemned.is_empty() {
            self.quarantine(now, &condemned);
        }
        next
    }

    /// Returns the answers that instances have lately received to suspects.
    async fn find_answers(&self, suspects: &[Fingerprint]) -> Vec<(Fingerprint, Answers)> {
        let mut found = self.answered(suspects.iter().copied());
        let message = Message::Check(suspects.iter().map(|s| s.0).collect());
        let Ok(body) = encode(&message) else {
            return found;
        };
        let fleet = Arc::clone(&self.deps.fleet.borrow());
        let mut questions = Vec::new();
        for member in &fleet.members {
            if member.health != Health::Live || member.id == self.deps.id {
                continue;
            }
            let peers = &self.deps.peers;
            questions.push(peers.ask(member.peer, KIND, body.clone(), CHECK_TIMEOUT));
        }
        for answer in join_all(questions).await {
            // Instances that do not answer are left out, so that a judge is not held up.
            let Some(Reply::Answers(list)) = answer.ok().and_then(|a| decode(&a).ok()) else {
                continue;
            };
            let now = self.deps.clock.now();
            let answers = list
                .iter()
                .map(|w| (Fingerprint(w.fingerprint), w.answers(now)));
            found.extend(answers);
        }
        found
    }

    fn answered(&self, suspects: impl Iterator<Item = Fingerprint>) -> Vec<(Fingerprint, Answers)> {
        let now = self.deps.clock.now();
        let mut completions = lock(&self.completions);
        let answered = suspects.map(|suspect| (suspect, completions.get(now, suspect)));
        answered.filter(|(_, a)| *a != Answers::default()).collect()
    }

    fn quarantine(self: &Arc<Self>, now: Duration, condemned: &[Condemned]) {
        let mut list = Vec::new();
        for culprit in condemned {
            metrics::counter!("limpetstand_condemned_total").increment(1);
            journal::line("condemned")
                .text("suspect", &culprit.fingerprint.to_string())
                .value("crashes", culprit.crashes);
            list.push(WireQuarantine {
                fingerprint: culprit.fingerprint.0,
                left_ms: to_ms(self.deps.quarantine_time),
            });
        }
        self.learn(now, &list);
        self.send_to_own_region(&list);
        let mut regions: Vec<RegionId> = Vec::new();
        for member in &self.deps.fleet.borrow().members {
            if member.region != self.deps.region && !regions.contains(&member.region) {
                regions.push(member.region.clone());
            }
        }
        for region in regions {
            tokio::spawn(Arc::clone(self).send_to_region(region, list.clone()));
        }
    }

    /// Adds quarantines that this instance does not know.
    fn learn(&self, now: Duration, list: &[WireQuarantine]) {
        let mut quarantine = lock(&self.quarantine);
        for wire in list {
            let fingerprint = Fingerprint(wire.fingerprint);
            let status = quarantine.status(now, fingerprint);
            if wire.left_ms == 0 || matches!(status, QuarantineStatus::Quarantined(_)) {
                continue;
            }
            let left = Duration::from_millis(wire.left_ms);
            quarantine.record_remote_quarantine(now, fingerprint, left);
            lock(&self.blame).record_condemned(now, fingerprint);
            metrics::counter!("limpetstand_quarantines_total").increment(1);
            journal::line("quarantined")
                .text("suspect", &fingerprint.to_string())
                .value("left_ms", wire.left_ms);
        }
    }

    fn list(&self) -> Vec<WireQuarantine> {
        let now = self.deps.clock.now();
        let quarantined = lock(&self.quarantine).quarantined_requests(now);
        let mut list = Vec::with_capacity(quarantined.len());
        for (fingerprint, left) in quarantined {
            list.push(WireQuarantine {
                fingerprint: fingerprint.0,
                left_ms: to_ms(left),
            });
        }
        list
    }

    fn send_to_own_region(self: &Arc<Self>, list: &[WireQuarantine]) {
        for member in self.others(|m| m.region == self.deps.region) {
            let service = Arc::clone(self);
            let message = Message::Quarantined {
                list: list.to_vec(),
                spread: false,
            };
            tokio::spawn(async move {
                for _ in 0..MAX_DELIVERY_ATTEMPTS {
                    if service.ask(member.peer, &message).await.is_some() {
                        return;
                    }
                }
            });
        }
    }

    /// Sends quarantines to an instance of a region, and to another if the first does not answer.
    async fn send_to_region(self: Arc<Self>, region: RegionId, list: Vec<WireQuarantine>) {
        let message = Message::Quarantined { list, spread: true };
        let mut live = self.others(|m| m.region == region);
        for _ in 0..MAX_DELIVERY_ATTEMPTS {
            if live.is_empty() {
                return;
            }
            let member = live.swap_remove(rand::random_range(0..live.len()));
            if self.ask(member.peer, &message).await.is_some() {
                return;
            }
        }
    }

    fn others(&self, is_wanted: impl Fn(&Member) -> bool) -> Vec<Member> {
        let fleet = Arc::clone(&self.deps.fleet.borrow());
        let others = fleet
            .members
            .iter()
            .filter(|m| m.id != self.deps.id && m.health == Health::Live && is_wanted(m));
        others.cloned().collect()
    }

    /// Asks another instance for its quarantines; returns `false` if no instance answered.
    async fn compare(&self, any_region: bool) -> bool {
        let mut others = self.others(|m| any_region || m.region == self.deps.region);
        if others.is_empty() {
            others = self.others(|_| true);
        }
        let Some(member) = others.choose(&mut rand::rng()) else {
            return false;
        };
        let Some(Reply::List(list)) = self.ask(member.peer, &Message::List).await else {
            return false;
        };
        self.learn(self.deps.clock.now(), &list);
        true
    }

    async fn ask(&self, to: SocketAddr, message: &Message) -> Option<Reply> {
        let body = encode(message).ok()?;
        let answer = self.deps.peers.ask(to, KIND, body, MESSAGE_TIMEOUT).await;
        decode(&answer.ok()?).ok()
    }

    fn release_expired(&self) {
        let released = lock(&self.quarantine).remove_expired(self.deps.clock.now());
        for fingerprint in released {
            let now = self.deps.clock.now();
            lock(&self.blame).record_released(now, fingerprint);
            journal::line("released").text("suspect", &fingerprint.to_string());
        }
    }
}

async fn judge_reports(service: Weak<QuarantineService>, mut reports: mpsc::Receiver<()>) {
    let mut next: Option<Duration> = None;
    loop {
        let report = match next {
            Some(pause) => timeout(pause, reports.recv()).await.unwrap_or(Some(())),
            None => reports.recv().await,
        };
        if report.is_none() {
            return;
        }
        sleep(REPORT_COLLECTION_TIME).await;
        let Some(service) = service.upgrade() else {
            return;
        };
        next = service.judge().await;
    }
}

async fn compare_quarantines(service: Weak<QuarantineService>) {
    let mut knows_fleet = false;
    for n in 1_u32.. {
        let Some(service) = service.upgrade() else {
            return;
        };
        service.release_expired();
        let is_distant = n.is_multiple_of(COMPARISONS_PER_DISTANT_ONE);
        knows_fleet |= service.compare(is_distant).await;
        drop(service);
        if !knows_fleet {
            sleep(STARTUP_POLL_PERIOD).await;
            continue;
        }
        let spread = rand::random_range(1.0 - COMPARE_SPREAD..1.0 + COMPARE_SPREAD);
        sleep(COMPARE_PERIOD.mul_f64(spread)).await;
    }
}

/// Answers the messages of other instances.
pub struct QuarantineHandler(pub Arc<QuarantineService>);

#[async_trait]
impl PeerHandler for QuarantineHandler {
    fn kind(&self) -> &'static str {
        KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let service = &self.0;
        let now = service.deps.clock.now();
        let reply = match decode(&body)? {
            Message::Report(wire) => {
                let at = now.saturating_sub(Duration::from_millis(wire.age_ms));
                service.record(now, at, wire.into());
                Reply::Done
            }
            Message::Check(suspects) => {
                let found = service.answered(suspects.into_iter().map(Fingerprint));
                let wire = found.into_iter().map(|(s, a)| WireAnswers::new(now, s, a));
                Reply::Answers(wire.collect())
            }
            Message::Quarantined { list, spread } => {
                service.learn(now, &list);
                if spread {
                    service.send_to_own_region(&list);
                }
                Reply::Done
            }
            Message::List => Reply::List(service.list()),
        };
        encode(&reply)
    }
}

/// Lists the fingerprints of suspects, or of the first of many.
fn names(suspects: &[Suspect]) -> String {
    let first = suspects.iter().take(MAX_NAMED_SUSPECTS);
    let names: Vec<String> = first.map(|s| s.fingerprint.to_string()).collect();
    names.join(",")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
