//! A request that a target has received and not yet answered completely.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use smol_str::SmolStr;

use super::Gateway;
use super::crashes::Process;
use super::dialect::PromptPart;
use super::job::Job;
use super::pool::Choice;
use crate::journal;
use crate::quarantine::Suspect;
use crate::target::Framing;

/// Time from the head of an answer to a later part of it from which the target is taken to run the
/// request well so far; harmful requests crash targets that begin to run them.
const MIN_RUN_TIME: Duration = Duration::from_secs(1);

/// A request in flight at a target's process.
pub(super) struct RunningRequest {
    gateway: Arc<Gateway>,
    request: SmolStr,
    process: Process,
    prompt: Vec<PromptPart>,
    suspects: Arc<[Suspect]>,
    began: Duration,
    /// When the head of a good answer arrived, until it is known that the answer has gone on.
    good_since: Option<Duration>,
    /// Whether a complete answer shows that the target can run the request.
    clears: bool,
}

impl RunningRequest {
    /// Creates the record of a request that is sent to a target.
    pub(super) fn new(gateway: Arc<Gateway>, job: &Job, choice: &Choice) -> Self {
        let began = gateway.clock.now();
        Self {
            gateway,
            request: job.id.clone(),
            process: Process {
                target: choice.id.clone(),
                started_unix_ms: choice.known.entry.started_unix_ms,
                address: choice.known.entry.address,
            },
            prompt: job.prompt.clone(),
            suspects: Arc::clone(&job.suspects),
            began,
            good_since: None,
            clears: false,
        }
    }

    /// Returns when the request was sent.
    pub(super) fn began(&self) -> Duration {
        self.began
    }

    /// Records the head of the answer. The end of an answer that ends with its connection may be a
    /// crash.
    pub(super) fn record_head(&mut self, status: StatusCode, framing: Framing) {
        self.clears = status.is_success() && framing != Framing::ConnectionEnd;
        self.good_since = status.is_success().then(|| self.gateway.clock.now());
    }

    /// Records that a part of the answer has arrived.
    pub(super) fn record_progress(&mut self) {
        let now = self.gateway.clock.now();
        if self
            .good_since
            .take_if(|at| now >= *at + MIN_RUN_TIME)
            .is_some()
        {
            self.gateway
                .quarantine
                .record_running(self.began, &self.suspects);
        }
    }

    /// Records that the answer is complete.
    pub(super) fn record_complete(&mut self) {
        if std::mem::take(&mut self.clears) {
            self.gateway
                .quarantine
                .record_complete(self.began, &self.suspects);
        }
    }

    /// Records that the connection ended before the answer was complete; `begun` tells whether the
    /// head of the answer had arrived.
    pub(super) fn record_cut(&self, begun: bool, why: &str) {
        metrics::counter!("limpetstand_answers_cut_total").increment(1);
        journal::line("answer_cut")
            .text("request", &self.request)
            .text("target", self.process.target.as_str())
            .value("born", self.process.started_unix_ms)
            .value("begun", begun)
            .text("parts", &shared_parts(&self.prompt))
            .text("error", why);
        self.gateway.record_cut(&self.process, &self.suspects);
    }
}

/// Lists the parts of a prompt that other requests may share: all but the last.
fn shared_parts(prompt: &[PromptPart]) -> String {
    let mut text = String::new();
    let Some((_, shared)) = prompt.split_last() else {
        return text;
    };
    for part in shared {
        if !text.is_empty() {
            text.push(',');
        }
        let _ = write!(text, "{:x}", part.id);
    }
    text
}
