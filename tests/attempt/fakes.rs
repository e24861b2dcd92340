//! In-memory fakes of targets and of another region, with faults set by a scenario.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use limpetstand::call::{Answer, AnswerHead, Call, Chunk, Operation};
use limpetstand::id::{RegionId, RequestId, TargetId};
use limpetstand::peer::{PeerError, Peers};
use limpetstand::refusal::{Code, Refusal};
use limpetstand::target::{Load, Target, TargetAddress, TargetError};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Number of tokens in each streamed answer.
const ANSWER_TOKENS: usize = 6;

/// How long a paused target is silent; longer than an answer may stall before it is resumed.
const PAUSE: Duration = Duration::from_millis(2_500);

/// The behaviour of a target for all later requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    Answer,
    Refuse,
    Fail,
    Unreachable,
    Reset,
    Crash,
    Silent,
    Crossed,
    CutAfter(usize),
    StallAfter(usize),
    /// The target is silent for [`PAUSE`] after so many tokens, and goes on.
    PauseAfter(usize),
    Slow(Duration),
    /// The target answers with this status and an error as an event.
    Status(u16),
    /// The target answers with an error as an event, under another media type.
    OtherMedia,
    /// The target answers with a stream without events.
    Empty,
    /// The connection breaks, the other region is unreachable for the given time, and later
    /// requests are answered.
    CutOff(Duration),
}

impl Behaviour {
    pub(crate) fn parse(text: &str) -> Self {
        let (word, n) = text.split_once('=').unwrap_or((text, "0"));
        let n: usize = n.parse().expect("integer parameter");
        match word {
            "answer" => Self::Answer,
            "refuse" => Self::Refuse,
            "fail" => Self::Fail,
            "unreached" => Self::Unreachable,
            "reset" => Self::Reset,
            "crash" => Self::Crash,
            "silent" => Self::Silent,
            "crossed" => Self::Crossed,
            "cut" => Self::CutAfter(n),
            "stall" => Self::StallAfter(n),
            "pause" => Self::PauseAfter(n),
            "cut-off" => Self::CutOff(Duration::from_millis(n as u64)),
            "status" => Self::Status(n as u16),
            "other-media" => Self::OtherMedia,
            "empty" => Self::Empty,
            "slow" => Self::Slow(Duration::from_millis(n as u64)),
            _ => panic!("no such behaviour: {text}"),
        }
    }
}

#[derive(Default)]
struct State {
    behaviours: HashMap<String, Behaviour>,
    down: HashMap<String, bool>,
    runs: BTreeMap<String, Vec<String>>,
    resets: BTreeMap<String, u32>,
    cancelled: u32,
    messages: Vec<&'static str>,
    region_down: bool,
    peers_leaving: Vec<SocketAddr>,
}

/// The fake targets and the fake region of one scenario.
#[derive(Default)]
pub(crate) struct FakeCluster {
    state: Mutex<State>,
}

impl FakeCluster {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock not poisoned")
    }

    pub(crate) fn set_behaviour(&self, target: &str, behaviour: Behaviour) {
        self.lock().behaviours.insert(target.to_owned(), behaviour);
    }

    /// Sets whether a target refuses connections.
    pub(crate) fn set_down(&self, target: &str, down: bool) {
        self.lock().down.insert(target.to_owned(), down);
    }

    pub(crate) fn set_region_down(&self, down: bool) {
        self.lock().region_down = down;
    }

    /// Sets the instances of the other region that refuse requests because they leave.
    pub(crate) fn set_peers_leaving(&self, peers: Vec<SocketAddr>) {
        self.lock().peers_leaving = peers;
    }

    /// Returns the requests that each target ran since the last call, one line per target.
    pub(crate) fn take_runs(&self) -> String {
        let mut lines = String::new();
        for (target, bodies) in std::mem::take(&mut self.lock().runs) {
            lines.push_str(&format!("{target}: {}\n", bodies.join(", ")));
        }
        lines
    }

    pub(crate) fn take_resets(&self) -> String {
        let mut lines = String::new();
        for (target, n) in std::mem::take(&mut self.lock().resets) {
            lines.push_str(&format!("{target}: {n}\n"));
        }
        lines
    }

    pub(crate) fn take_cancelled(&self) -> u32 {
        std::mem::take(&mut self.lock().cancelled)
    }

    /// Returns the kinds of messages sent to other instances, except summary requests.
    pub(crate) fn take_messages(&self) -> Vec<&'static str> {
        std::mem::take(&mut self.lock().messages)
    }

    fn is_down(&self, target: &str) -> bool {
        self.lock().down.get(target).copied().unwrap_or(false)
    }

    fn behaviour(&self, target: &str, prompt: &str) -> Behaviour {
        if prompt.contains("poison") {
            return Behaviour::Crash;
        }
        let state = self.lock();
        state
            .behaviours
            .get(target)
            .copied()
            .unwrap_or(Behaviour::Answer)
    }

    async fn run(
        self: &Arc<Self>,
        target: &str,
        region: &RegionId,
        call: &Call,
    ) -> Result<Answer, TargetError> {
        let request = FakeRequest::read(call);
        if self.is_down(target) {
            return Err(TargetError::NotSent("connection refused".into()));
        }
        let behaviour = self.behaviour(target, &request.prompt);
        if behaviour == Behaviour::Unreachable {
            return Err(TargetError::NotSent("connection refused".into()));
        }
        let run = request.describe();
        self.lock()
            .runs
            .entry(target.to_owned())
            .or_default()
            .push(run);
        match behaviour {
            Behaviour::Refuse => return Err(TargetError::Rejected(503)),
            Behaviour::Fail => return Err(TargetError::Failed(500)),
            Behaviour::Reset => return Err(TargetError::Incomplete("reset".into())),
            Behaviour::Crossed => return Err(TargetError::WrongRequest),
            Behaviour::Crash => {
                sleep(Duration::from_millis(20)).await;
                self.set_down(target, true);
                return Err(TargetError::Incomplete("reset".into()));
            }
            Behaviour::Silent => std::future::pending().await,
            Behaviour::CutOff(time) => {
                self.set_region_down(true);
                self.set_behaviour(target, Behaviour::Answer);
                let cluster = Arc::clone(self);
                tokio::spawn(async move {
                    sleep(time).await;
                    cluster.set_region_down(false);
                });
                return Err(TargetError::Incomplete("cut off".into()));
            }
            _ => {}
        }
        let status = match behaviour {
            Behaviour::Status(status) => status,
            _ => 200,
        };
        let content_type = match behaviour {
            Behaviour::OtherMedia => "text/other",
            _ => "test",
        };
        let head = AnswerHead {
            status,
            content_type: content_type.into(),
            target: target.into(),
            region: region.clone(),
        };
        let (tx, body) = mpsc::channel(4);
        let cluster = Arc::clone(self);
        let name = target.to_owned();
        tokio::spawn(async move {
            if cluster
                .generate(&name, behaviour, &request, &tx)
                .await
                .is_err()
            {
                cluster.lock().cancelled += 1;
            }
        });
        Ok(Answer { head, body })
    }

    /// Sends the answer; returns an error if the receiver has been dropped.
    async fn generate(
        &self,
        target: &str,
        behaviour: Behaviour,
        request: &FakeRequest,
        tx: &mpsc::Sender<Chunk>,
    ) -> Result<(), ()> {
        if let Behaviour::Slow(time) = behaviour {
            tokio::select! {
                () = sleep(time) => {}
                () = tx.closed() => return Err(()),
            }
        }
        if let Behaviour::Status(_) | Behaviour::OtherMedia = behaviour {
            let event = json!({ "choices": [{ "text": " error" }] });
            let event = format!("data: {event}\n\n");
            return tx.send(Ok(event.into())).await.map_err(drop);
        }
        if behaviour == Behaviour::Empty {
            return Ok(());
        }
        if !request.stream {
            let body = format!("whole {}", request.prompt);
            return tx.send(Ok(body.into())).await.map_err(drop);
        }
        for (sent, i) in (request.resume_from..ANSWER_TOKENS).enumerate() {
            if behaviour == Behaviour::CutAfter(sent) || self.is_down(target) {
                let refusal = Refusal::unknown(Code::TargetFailed, "connection broke");
                return tx.send(Err(refusal)).await.map_err(drop);
            }
            if behaviour == Behaviour::StallAfter(sent) {
                tx.closed().await;
                return Err(());
            }
            if behaviour == Behaviour::PauseAfter(sent) {
                tokio::select! {
                    () = sleep(PAUSE) => {}
                    () = tx.closed() => return Err(()),
                }
            }
            sleep(Duration::from_millis(10)).await;
            let event = json!({
                "id": format!("of-{target}"),
                "choices": [{ "index": 0, "text": format!(" {i}"), "finish_reason": null }],
            });
            tx.send(Ok(format!("data: {event}\n\n").into()))
                .await
                .map_err(drop)?;
        }
        let last = json!({
            "id": format!("of-{target}"),
            "choices": [{ "index": 0, "text": "", "finish_reason": "length" }],
            "usage": {
                "prompt_tokens": 2 + request.resume_from,
                "completion_tokens": ANSWER_TOKENS - request.resume_from,
            },
        });
        tx.send(Ok(format!("data: {last}\n\n").into()))
            .await
            .map_err(drop)?;
        tx.send(Ok("data: [DONE]\n\n".into())).await.map_err(drop)
    }
}

/// The parts of a request that a fake target uses.
struct FakeRequest {
    prompt: String,
    resume_from: usize,
    stream: bool,
}

impl FakeRequest {
    fn read(call: &Call) -> Self {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let prompt = body["prompt"].as_str().unwrap_or("?").to_owned();
        let resume_from = body["limpetstand_resume_from"].as_u64().unwrap_or(0) as usize;
        Self {
            prompt,
            resume_from,
            stream: matches!(call.operation, Operation::Model { stream: true, .. }),
        }
    }

    fn describe(&self) -> String {
        if self.resume_from == 0 {
            return self.prompt.clone();
        }
        format!("{} resumed at {}", self.prompt, self.resume_from)
    }
}

/// The target plug-in that sends requests to the fake targets.
pub(crate) struct FakeTarget(pub(crate) Arc<FakeCluster>);

#[async_trait]
impl Target for FakeTarget {
    async fn send(
        &self,
        to: &TargetAddress,
        _attempt: RequestId,
        call: &Call,
    ) -> Result<Answer, TargetError> {
        self.0.run(to.id.as_str(), &to.region, call).await
    }

    async fn load(&self, _to: &TargetAddress) -> Option<Load> {
        None
    }

    async fn probe(&self, to: &TargetAddress) -> bool {
        sleep(Duration::from_millis(1)).await;
        !self.0.is_down(to.id.as_str())
    }

    fn close_idle(&self, to: &TargetAddress) {
        let id: &TargetId = &to.id;
        *self.0.lock().resets.entry(id.to_string()).or_default() += 1;
    }
}

/// The other region, whose instances answer as the target `remote`.
pub(crate) struct FakePeers(pub(crate) Arc<FakeCluster>);

#[async_trait]
impl Peers for FakePeers {
    async fn ask(
        &self,
        _to: SocketAddr,
        kind: &'static str,
        _body: Bytes,
        _wait: Duration,
    ) -> Result<Bytes, PeerError> {
        if self.0.lock().region_down {
            return Err(PeerError::NotReached("cut".into()));
        }
        if kind == "summary" {
            return Err(PeerError::Refused("no summaries here".into()));
        }
        self.0.lock().messages.push(kind);
        Ok(Bytes::new())
    }

    async fn forward(&self, to: SocketAddr, call: &Call) -> Result<Answer, Refusal> {
        if self.0.lock().region_down {
            return Err(Refusal::not_run(Code::NoTarget, "peer not reached"));
        }
        if self.0.lock().peers_leaving.contains(&to) {
            return Err(Refusal::not_run(Code::Leaving, "shutting down"));
        }
        assert_eq!(
            call.hops, 1,
            "a forwarded request must not be forwarded again"
        );
        let region = &call.regions[0];
        let answer = self.0.run("remote", region, call).await;
        answer.map_err(|e| match e {
            TargetError::NotSent(text) => Refusal::not_run(Code::NoTarget, text),
            e => Refusal::unknown(Code::TargetFailed, e.to_string()),
        })
    }
}
