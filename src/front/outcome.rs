//! Records the outcome of a request for the report.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::call::Call;
use crate::id::{OrganisationId, RouteId};
use crate::refusal::Code;
use crate::report::{Event, Outcome, Recorder, current_minute};

/// Records the outcome of one request; nothing is recorded if the caller disconnects.
pub(super) struct OutcomeRecorder {
    recorder: Arc<Recorder>,
    organisation: Option<OrganisationId>,
    route: RouteId,
    started_at: Instant,
    first_token: Option<Duration>,
}

impl OutcomeRecorder {
    pub(super) fn new(call: &Call, recorder: Arc<Recorder>) -> Self {
        Self {
            recorder,
            organisation: call.organisation.clone(),
            route: call.route.clone(),
            started_at: Instant::now(),
            first_token: None,
        }
    }

    /// Notes a chunk of the answer; the first chunk sets the time to first token.
    pub(super) fn chunk(&mut self) {
        if self.first_token.is_none() {
            self.first_token = Some(self.started_at.elapsed());
        }
    }

    /// Records a complete answer and the tokens that the request used.
    pub(super) fn answered(&self, tokens: u64) {
        let first_token = self
            .first_token
            .unwrap_or_else(|| self.started_at.elapsed());
        metrics::histogram!("limpetstand_first_token_seconds").record(first_token.as_secs_f64());
        self.record(Outcome::Answered {
            first_token,
            tokens,
        });
    }

    /// Records a refusal.
    pub(super) fn refused(&self, code: Code) {
        self.record(Outcome::Refused(code));
    }

    fn record(&self, outcome: Outcome) {
        let event = Event {
            organisation: self.organisation.as_ref(),
            route: &self.route,
            outcome,
        };
        self.recorder.record(current_minute(), &event);
    }
}
