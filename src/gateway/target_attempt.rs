//! One attempt: sends a request to one target and checks the head of the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, Request};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout};

use super::attempt_timeout;
use super::attempts::{format_ms, from_millis, strip_hop_by_hop_headers, to_millis};
use super::dialect::{NamedRate, ResponseHead, RetryAfter, TargetHeaders};
use super::job::{Job, Reply};
use super::late::{LateAttempt, PendingHead};
use super::placement::Place;
use super::pool::{Choice, TargetEvent};
use super::running::RunningRequest;
use super::source::{Source, TargetRequestGuard, TargetSource};
use super::upstream::{Connection, SendError};
use super::withdrawal::quiet_time;
use super::{Gateway, lock};
use crate::journal;
use crate::refusal::{Code, Refusal};
use crate::target::answer_match::{self, MissingId};
use crate::target::{AnswerProgress, Framing};

/// Why an attempt at a target returned no usable answer.
pub(super) enum AttemptError {
    /// The target did not run the request.
    NotRun(String),
    /// No byte of the request reached the target.
    NotReached(String),
    /// No byte of the request reached the target, as this instance is cut off from all targets.
    CutOff(String),
    /// The request may have run.
    Unknown(Refusal),
    /// The target has not answered for so long that another target is asked.
    Silent(Box<LateAttempt>),
}

impl Gateway {
    /// Sends the request to one target and waits for the head of the answer. Sends the request
    /// again on a new connection if the target has closed the reused connection.
    pub(super) async fn attempt(
        self: &Arc<Self>,
        job: &mut Job,
        choice: &Choice,
        mut place: Option<Place>,
    ) -> Result<Reply, AttemptError> {
        if !self.may_send(&job.id, choice).await {
            return Err(AttemptError::NotRun("the target may be cold".to_owned()));
        }
        let address = choice.known.entry.address;
        // The copy of an answer to an earlier attempt would carry the id of this one.
        let force_new = !job.kind.may_repeat() || job.attempts > 0;
        let connection = match self.connect(address, force_new).await {
            Ok(connection) => connection,
            Err(e) => {
                if let (AttemptError::NotReached(_), Some(place)) = (&e, place) {
                    place.report(TargetEvent::Unreachable);
                }
                return Err(e);
            }
        };
        let reused = connection.is_reused();
        match self.send(job, choice, connection, place.take()).await {
            Err(AttemptError::NotReached(_)) if reused => {
                // The target had closed the reused connection.
                let connection = self.connect(address, true).await?;
                self.send(job, choice, connection, None).await
            }
            outcome => outcome,
        }
    }

    /// Returns a connection to a target.
    async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
        force_new: bool,
    ) -> Result<Connection, AttemptError> {
        let began = self.clock.now();
        match self.upstream().connection(address, force_new).await {
            Ok(connection) => {
                if !connection.is_reused() {
                    self.record_connected(Some(address));
                }
                Ok(connection)
            }
            Err(e) if self.was_cut_off(began).await => Err(AttemptError::CutOff(e.to_string())),
            Err(e) => Err(AttemptError::NotReached(e.to_string())),
        }
    }

    async fn send(
        self: &Arc<Self>,
        job: &mut Job,
        choice: &Choice,
        mut connection: Connection,
        place: Option<Place>,
    ) -> Result<Reply, AttemptError> {
        let now = self.clock.now();
        if !self.pool().takes_requests(now, choice) {
            return Err(AttemptError::NotRun(
                "the target leaves or has asked for quiet".to_owned(),
            ));
        }
        let load_age = format_ms(self.pool().load_report_age(now, &choice.id).map(to_millis));
        let has_place = place.is_some();
        let mut request_guard = match place {
            Some(place) => TargetRequestGuard::Reserved(place),
            None => self.count_request(now, job, choice),
        };
        let req = self.build_request(job, choice)?;
        let running = RunningRequest::new(Arc::clone(self), job, choice);
        let sent_at = Instant::now();
        let attempts_left = job.attempts_left().saturating_sub(1);
        let expected_wait = from_millis(choice.wait_ms);
        let head_timeout = attempt_timeout::for_head(
            job.kind,
            job.objective + expected_wait,
            job.time_left(),
            attempts_left,
        );
        journal::line("sent")
            .text("request", &job.id)
            .text("target", choice.id.as_str())
            .text("software_version", &choice.known.entry.software_version)
            .value("attempt", job.attempts + 1)
            .value("expected_wait_ms", format_args!("{:.0}", choice.wait_ms))
            .ms("held_back_ms", choice.send_delay)
            .value("load_age_ms", load_age)
            .value("place_reserved", has_place)
            .value("kept_connection", connection.is_reused())
            .ms("time_left_ms", job.time_left());
        job.sent = true;
        let mut head: PendingHead = Box::pin(async move {
            let result = connection.send(req).await;
            (connection, result)
        });
        let result = match timeout(head_timeout, &mut head).await {
            Ok((_, Err(SendError::NotSent(why)))) => {
                job.sent = false;
                return Err(AttemptError::NotReached(why));
            }
            Ok(result) => Some(result),
            Err(_) => None,
        };
        job.attempts += 1;
        let (connection, response) = match result {
            Some((connection, Ok(response))) => (connection, response),
            Some((_, Err(e))) => {
                running.record_cut(false, &e.to_string());
                if !self.was_cut_off(now).await {
                    request_guard.report(TargetEvent::Unreachable);
                    self.eject_target(job, choice, &e.to_string());
                }
                let refusal = Refusal::unknown(Code::TargetFailed, e.to_string());
                return Err(AttemptError::Unknown(refusal));
            }
            None => {
                if !self.was_cut_off(now).await {
                    request_guard.report(TargetEvent::Failed);
                    self.pool().record_error(&choice.id);
                }
                journal::line("target_silent")
                    .text("request", &job.id)
                    .text("target", choice.id.as_str())
                    .ms("waited_ms", head_timeout);
                return Err(AttemptError::Silent(Box::new(LateAttempt {
                    job: job.clone(),
                    choice: choice.clone(),
                    head,
                    running,
                    request_guard,
                    sent_at,
                })));
            }
        };
        request_guard.prefill_done();
        metrics::histogram!("limpetstand_first_answer_seconds").record(sent_at.elapsed());
        self.read_answer_head(job, choice, response, connection, running, request_guard)
    }

    /// Counts a request that is sent without a place. The other instances of the region are assumed
    /// to send as much as this one.
    fn count_request(
        self: &Arc<Self>,
        now: Duration,
        job: &Job,
        choice: &Choice,
    ) -> TargetRequestGuard {
        let instances = self.fleet().live_members(&self.region).count();
        let prefill_tokens = self.pool().record_send(now, choice, &job.prompt, instances);
        TargetRequestGuard::counted(Arc::clone(self), choice.id.clone(), prefill_tokens)
    }

    /// Checks the head of a target's answer and decides whether to pass the answer on.
    pub(super) fn read_answer_head(
        self: &Arc<Self>,
        job: &Job,
        choice: &Choice,
        response: http::Response<Incoming>,
        connection: Connection,
        mut running: RunningRequest,
        request_guard: TargetRequestGuard,
    ) -> Result<Reply, AttemptError> {
        let (parts, body) = response.into_parts();
        let response_head = self.dialect.read_response(parts.status, &parts.headers);
        let now = self.clock.now();
        let refuses = response_head.not_run || response_head.wrong_target;
        let is_success = parts.status.is_success();
        let missing_id = MissingId::of_answer(refuses, is_success, connection.is_reused());
        let stated_id = response_head.id.as_ref().map(|id| id.as_bytes());
        if !answer_match::belongs(job.id.as_bytes(), stated_id, missing_id) {
            self.pool().record_error(&choice.id);
            request_guard.report(TargetEvent::Failed);
            metrics::counter!("limpetstand_foreign_answers_total").increment(1);
            let refusal = Refusal::unknown(
                Code::TargetFailed,
                "the answer does not carry the id of this request",
            );
            return Err(AttemptError::Unknown(refusal));
        }
        if let Some((running, waiting, _)) = response_head.load {
            self.pool()
                .record_load_report(now, &choice.id, running, waiting);
            request_guard.report(TargetEvent::Load { running, waiting });
        }
        if response_head.wrong_target {
            request_guard.report(TargetEvent::Unreachable);
            self.eject_target(job, choice, "another target has its address");
            return Err(AttemptError::NotRun("the target has gone".to_owned()));
        }
        self.record_withdrawal(job, choice, &response_head, &request_guard);
        self.record_rate(job, choice, response_head.rate.as_ref(), running.began());
        self.record_brittle(job, choice, response_head.brittle.as_ref(), running.began());
        if response_head.not_run {
            return Err(AttemptError::NotRun(format!(
                "the target is full: {}",
                parts.status
            )));
        }
        if implies_not_run(parts.status) {
            // Callers would take this status to mean that the request did not run, which the target
            // did not say.
            let refusal = Refusal::unknown(Code::TargetFailed, "the target failed");
            return Err(AttemptError::Unknown(refusal));
        }
        if parts.status.is_server_error() {
            self.pool().record_error(&choice.id);
            request_guard.report(TargetEvent::Failed);
            if job.kind.may_repeat() && job.attempts_left() > 0 {
                let refusal = Refusal::unknown(Code::TargetFailed, "the target failed");
                return Err(AttemptError::Unknown(refusal));
            }
        } else {
            self.pool().record_success(&choice.id);
            lock(&self.own_ejections).record_success(&choice.id);
            request_guard.report(TargetEvent::Succeeded);
        }
        let length = body.size_hint().exact();
        let framing = Framing::of_target(length, &parts.headers);
        if framing == Framing::ConnectionEnd {
            metrics::counter!("limpetstand_unframed_answers_total").increment(1);
            journal::line("unframed_answer")
                .text("request", &job.id)
                .text("target", choice.id.as_str())
                .value("status", parts.status.as_u16());
        }
        running.record_head(parts.status, framing);
        let progress =
            AnswerProgress::new(framing, job.kind.is_stream(), parts.status, &parts.headers);
        let keep_alive = keep_alive_after(&parts.headers, &response_head);
        let mut headers = parts.headers;
        strip_hop_by_hop_headers(&mut headers);
        Ok(Reply {
            status: parts.status,
            headers,
            target: choice.id.clone(),
            software_version: choice.known.entry.software_version.clone(),
            attempts: job.attempts,
            source: Source::Target(Box::new(TargetSource {
                body,
                progress,
                running,
                connection: Some(connection),
                keep_alive,
                request_guard,
                gateway: Arc::clone(self),
                target: choice.id.clone(),
                connections: self.upstream.clone(),
            })),
        })
    }

    /// Takes a target out of use that says that it leaves or wants no requests for a time.
    fn record_withdrawal(
        &self,
        job: &Job,
        choice: &Choice,
        head: &ResponseHead,
        request_guard: &TargetRequestGuard,
    ) {
        let now = self.clock.now();
        let started = choice.known.entry.started_unix_ms;
        let quiet = head.retry_after.as_ref();
        let quiet = quiet.map(|r| quiet_time(r, SystemTime::now()));
        if head.leaving || quiet.is_some() {
            let quiet = quiet.unwrap_or_default();
            self.follower
                .report_withdrawal(&choice.id, started, head.leaving, quiet);
        }
        if head.leaving {
            let is_new = self
                .pool()
                .withdrawals()
                .record_leaving(now, &choice.id, started);
            if is_new {
                self.upstream().close_idle(choice.known.entry.address);
                metrics::counter!("limpetstand_targets_leaving_total").increment(1);
                journal::line("target_leaving")
                    .text("request", &job.id)
                    .text("target", choice.id.as_str())
                    .value("born", started);
            }
            request_guard.report(TargetEvent::Leaving);
        }
        let (Some(retry_after), Some(quiet)) = (&head.retry_after, quiet) else {
            return;
        };
        request_guard.report(TargetEvent::Quiet(quiet));
        let until =
            self.pool()
                .withdrawals()
                .record_quiet(now, &choice.id, started, quiet, rand::random());
        metrics::counter!("limpetstand_targets_quiet_total").increment(1);
        let line = journal::line("target_quiet")
            .text("request", &job.id)
            .text("target", choice.id.as_str())
            .ms("quiet_ms", quiet)
            .ms("left_out_ms", until.saturating_sub(now));
        if let RetryAfter::Malformed(text) = retry_after {
            line.text("malformed", text);
        }
    }

    /// Records the rate that an answer names, to a request sent at `sent_at`.
    fn record_rate(&self, job: &Job, choice: &Choice, rate: Option<&NamedRate>, sent_at: Duration) {
        let now = self.clock.now();
        let process = choice.process();
        let named = match rate {
            Some(NamedRate::PerSecond(per_s)) => Some(*per_s),
            Some(NamedRate::Malformed(text)) => {
                journal::line("target_limit")
                    .text("request", &job.id)
                    .text("target", choice.id.as_str())
                    .value("born", process.1)
                    .text("malformed", text);
                return;
            }
            None => None,
        };
        let limit = self
            .pool()
            .limits()
            .record_answer(now, &process, named, sent_at);
        let Some(limit) = limit else {
            return;
        };
        self.follower.report_limit(&process, limit);
        metrics::counter!("limpetstand_target_limits_total").increment(1);
        journal::line("target_limit")
            .text("request", &job.id)
            .text("target", choice.id.as_str())
            .value("born", process.1)
            .value("per_s", format_rate(limit.per_s));
    }

    /// Records whether an answer says that its target is brittle, to a request sent at `sent_at`. A
    /// target that names no number is brittle too.
    fn record_brittle(
        &self,
        job: &Job,
        choice: &Choice,
        named: Option<&NamedRate>,
        sent_at: Duration,
    ) {
        let per_s = named.map(|rate| match rate {
            NamedRate::PerSecond(per_s) => *per_s,
            NamedRate::Malformed(_) => 0.0,
        });
        let process = choice.process();
        let now = self.clock.now();
        let changed =
            self.pool()
                .brittle()
                .record_answer(now, &process, &job.service, per_s, sent_at);
        if changed {
            metrics::counter!("limpetstand_targets_brittle_total").increment(1);
            journal::line("target_brittle")
                .text("request", &job.id)
                .text("target", choice.id.as_str())
                .value("born", process.1)
                .value("turns_away_per_s", format_rate(per_s));
        }
    }

    /// Builds the request to a target.
    fn build_request(
        &self,
        job: &Job,
        choice: &Choice,
    ) -> Result<Request<Full<Bytes>>, AttemptError> {
        let mut headers = job.headers.clone();
        self.dialect.add_target_headers(
            &mut headers,
            &TargetHeaders {
                target: &choice.id,
                organisation: job.organisation.as_ref(),
                time_left: job.time_left(),
                priority: job.priority,
                resume_after: job.resume_after.as_deref(),
            },
        );
        headers.remove(CONTENT_LENGTH);
        let mut req = Request::new(Full::new(job.body.clone()));
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = job.path.parse().map_err(|_| {
            AttemptError::Unknown(Refusal::not_run(Code::BadRequest, "the path is malformed"))
        })?;
        if job.body.is_empty() && job.method != http::Method::GET {
            headers.insert(CONTENT_LENGTH, http::HeaderValue::from_static("0"));
        }
        *req.headers_mut() = headers;
        Ok(req)
    }

    /// Ejects a target that failed and closes the unused connections to it.
    ///
    /// A target for whose places this instance is asked is ejected for all only by what all report.
    pub(super) fn eject_target(&self, job: &Job, choice: &Choice, why: &str) {
        let now = self.clock.now();
        let ejection = lock(&self.own_ejections).record_failure(now, &choice.id);
        if !self.is_scheduled(job) || !self.schedules(&choice.id) {
            self.pool().eject(now, &choice.id);
        }
        self.upstream().close_idle(choice.known.entry.address);
        metrics::counter!("limpetstand_target_failures_total").increment(1);
        journal::line("target_failed")
            .text("request", &job.id)
            .text("target", choice.id.as_str())
            .text("error", why)
            .ms("left_out_ms", ejection);
    }
}

/// Returns how long the target keeps the connection open while unused, if the target says;
/// `None` if the target closes the connection after the answer.
pub(super) fn keep_alive_after(
    headers: &HeaderMap,
    response_head: &ResponseHead,
) -> Option<Option<Duration>> {
    for value in headers.get_all(CONNECTION) {
        if value.as_bytes().eq_ignore_ascii_case(b"close") {
            return None;
        }
    }
    Some(response_head.keep_alive)
}

/// Formats a rate as a JSON number, or as `null` if there is no limit.
pub(super) fn format_rate(per_s: Option<f64>) -> String {
    per_s.map_or_else(|| "null".to_owned(), |per_s| per_s.to_string())
}

/// Tells whether callers take a status to mean that the request did not run.
fn implies_not_run(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
