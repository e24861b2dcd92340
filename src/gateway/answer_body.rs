//! Streams the body of an answer to the caller, and resumes a broken stream at another target.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, Stream};
use hyper::body::Frame;
use smol_str::SmolStr;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

use super::Gateway;
use super::attempt_timeout;
use super::job::{Failure, Job, Reply};
use super::routes::RouteKind;
use super::source::Source;
use crate::id::TargetId;
use crate::journal;
use crate::target::{
    AnswerProgress, EventSplitter, Framing, Incomplete, StreamHead, event_data, event_id,
    may_follow,
};

/// The error that ends an incomplete body; the caller's connection is then closed before the end of
/// the body.
pub(super) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Least time before the deadline for which a stream is resumed.
const MIN_RESUME_TIME: Duration = Duration::from_millis(50);

/// Reads the body of an answer, and resumes a resumable stream at another target if it breaks.
struct BodyReader {
    gateway: Arc<Gateway>,
    job: Job,
    source: Source,
    /// The target that answers.
    target: TargetId,
    /// The version of the target's software.
    software_version: SmolStr,
    /// The head that the caller has got.
    head: StreamHead,
    /// Whether an event of a stream has been passed on to the caller.
    begun: bool,
    /// Splits a resumable stream into events; `None` if bytes are forwarded as received.
    events: Option<EventReader>,
    progress: AnswerProgress,
    /// When the latest bytes arrived, or else the head of the answer.
    last_read: Instant,
    end_record: EndRecord,
    done: bool,
}

/// What reading an answer has shown.
enum Read {
    Data(Bytes),
    End,
    Broken(String),
    /// The source has sent nothing for so long that another target should be asked.
    Silent,
}

/// Splits a resumable stream into events and remembers the id of the last event.
#[derive(Default)]
struct EventReader {
    splitter: EventSplitter,
    last_id: Option<SmolStr>,
    /// Whether an event without an id has come since. A resumption would repeat it.
    ends_unnamed: bool,
    /// Whether the target that goes on with the stream has sent no event so far.
    awaits_event: bool,
}

/// Writes the journal line and the metrics of a request's end when dropped, so that both are
/// written however the request ends.
struct EndRecord {
    request: SmolStr,
    began: Instant,
    status: u16,
    outcome: &'static str,
    /// Whether the bytes sent to the caller end inside an event of an event stream.
    inside_event: bool,
}

impl Drop for EndRecord {
    fn drop(&mut self) {
        metrics::counter!("limpetstand_answers_total", "outcome" => self.outcome).increment(1);
        metrics::histogram!("limpetstand_answer_seconds").record(self.began.elapsed());
        journal::line("ended")
            .text("request", &self.request)
            .text("outcome", self.outcome)
            .value("status", self.status)
            .value("inside_event", self.inside_event)
            .ms("took_ms", self.began.elapsed());
    }
}

/// Tells whether another target may go on with the body of a reply. The length that the reply states
/// is then not that of the caller's body.
pub(super) fn is_resumable(job: &Job, reply: &Reply) -> bool {
    job.kind == RouteKind::ResumableStream
        && reply.status.is_success()
        && Framing::of_relayed(&job.method, reply.status, &reply.headers) != Framing::Length(0)
}

/// Returns the body of a reply as a stream of frames. Its length is not known if the reply
/// [is resumable](is_resumable).
pub(super) fn body_frames(
    gateway: Arc<Gateway>,
    job: Job,
    reply: Reply,
    began: Instant,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send {
    let resumable = is_resumable(&job, &reply);
    let framing = if resumable {
        Framing::Chunked
    } else {
        Framing::of_relayed(&job.method, reply.status, &reply.headers)
    };
    let stream = job.kind.is_stream();
    let progress = AnswerProgress::new(framing, stream, reply.status, &reply.headers);
    let mut reader = BodyReader {
        gateway,
        progress,
        events: resumable.then(EventReader::default),
        end_record: EndRecord {
            request: job.id.clone(),
            began,
            status: reply.status.as_u16(),
            outcome: "caller_left",
            inside_event: false,
        },
        job,
        source: reply.source,
        target: reply.target,
        software_version: reply.software_version,
        head: StreamHead::with_headers(reply.status, &reply.headers),
        begun: false,
        last_read: Instant::now(),
        done: false,
    };
    reader.record_whole_length();
    stream::unfold(reader, |mut reader| async move {
        if reader.done {
            return None;
        }
        let item = reader.next().await?;
        if let Ok(data) = &item {
            reader.progress.push(data);
            reader.end_record.inside_event = reader.progress.is_inside_event();
            reader.record_whole_length();
            reader.record_begin();
        }
        reader.done = item.is_err();
        Some((item.map(Frame::data), reader))
    })
}

impl BodyReader {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let mut read = Some(self.read().await);
            if let Some(Read::Silent) = read {
                read = self.replace_silent().await;
            }
            match read {
                Some(Read::Data(data)) => {
                    let Some(events) = &mut self.events else {
                        return Some(Ok(data));
                    };
                    match events.push(&data) {
                        Ok(complete) if complete.is_empty() => continue,
                        Ok(complete) => return Some(Ok(complete)),
                        Err(why) => {
                            self.source.record_failure();
                            if !self.resume(&why).await {
                                return Some(Err(self.fail(&why)));
                            }
                        }
                    }
                }
                Some(Read::End) => {
                    self.end_record.outcome = "complete";
                    self.done = true;
                    let rest = self.events.as_mut()?.splitter.take_partial_event();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Some(Read::Broken(why)) => {
                    if !self.resume(&why).await {
                        return Some(Err(self.fail(&why)));
                    }
                }
                Some(Read::Silent) | None => {}
            }
        }
    }

    /// Records at which software version the stream has begun once its first event is passed on.
    fn record_begin(&mut self) {
        if self.begun || !self.job.kind.is_stream() || self.end_record.status >= 300 {
            return;
        }
        self.begun = true;
        self.gateway
            .record_stream_begin(&self.job, &self.software_version);
    }

    /// Records that the answer is complete once all bytes of a body of known length are there. The
    /// HTTP server does not ask for the end of such a body.
    fn record_whole_length(&mut self) {
        if self.progress.has_whole_length() {
            self.end_record.outcome = "complete";
        }
    }

    /// Tells whether an event of an event stream has been received in part.
    fn holds_partial_event(&self) -> bool {
        let events = self.events.as_ref();
        self.progress.is_event_stream() && events.is_some_and(|e| e.splitter.has_partial_event())
    }

    /// Tells whether the target that goes on with a stream has sent nothing of it.
    fn awaits_event(&self) -> bool {
        let events = self.events.as_ref();
        events.is_some_and(|e| e.awaits_event && !e.splitter.has_partial_event())
    }

    /// Reads from the source until bytes arrive, the answer ends, or it is time to ask another
    /// target.
    async fn read(&mut self) -> Read {
        let deadline = self.job.deadline;
        let mut read_deadline = deadline;
        if self.events.is_some()
            && let Some(idle_timeout) =
                attempt_timeout::for_bytes(self.job.kind, self.job.attempts_left())
        {
            read_deadline = deadline.min(Instant::now() + idle_timeout);
        }
        match timeout_at(read_deadline, self.source.next()).await {
            Ok(item) => self.classify(item),
            Err(_) if read_deadline == deadline => Read::Broken("the deadline passed".to_owned()),
            Err(_) => Read::Silent,
        }
    }

    /// Classifies what the source has returned.
    fn classify(&mut self, item: Option<Result<Bytes, String>>) -> Read {
        match item {
            Some(Ok(data)) => {
                self.last_read = Instant::now();
                Read::Data(data)
            }
            Some(Err(why)) => Read::Broken(why),
            None if self.holds_partial_event() => Read::Broken(Incomplete::InsideEvent.to_string()),
            None if self.awaits_event() => Read::Broken(Incomplete::NoEvent.to_string()),
            None => Read::End,
        }
    }

    /// Asks another target to go on with a silent stream. Returns what the silent target sends
    /// meanwhile; `None` if the stream goes on with the current source.
    ///
    /// The silent target may be sound, so its answer is dropped only for that of another one.
    async fn replace_silent(&mut self) -> Option<Read> {
        journal::line("answer_silent")
            .text("request", &self.job.id)
            .ms("silent_ms", self.last_read.elapsed())
            .ms("time_left_ms", self.job.time_left());
        let mut job = match self.resumption("silent") {
            Ok(job) => job,
            Err(why) => {
                self.record_not_resumed("silent", &why);
                return None;
            }
        };
        job.silent_targets.push(self.target.clone());
        let gateway = Arc::clone(&self.gateway);
        let mut dispatch = Box::pin(timeout_at(job.deadline, gateway.dispatch(&mut job)));
        let (mut read, mut reply) = (None, None);
        tokio::select! {
            biased;
            item = self.source.next() => read = Some(self.classify(item)),
            outcome = &mut dispatch => reply = Some(outcome),
        }
        if let Some(Read::Broken(_)) = read {
            reply = Some(dispatch.as_mut().await);
        }
        drop(dispatch);
        let Some(reply) = reply else {
            // The other target may have begun to run the request.
            self.job.attempts = job.attempts + 1;
            return read;
        };
        if self.adopt(job, reply, "silent") {
            return None;
        }
        read
    }

    /// Resumes a broken stream at another target; returns whether the stream goes on.
    async fn resume(&mut self, error: &str) -> bool {
        if self.events.is_none() {
            return false;
        }
        let mut job = match self.resumption(error) {
            Ok(job) => job,
            Err(why) => {
                self.record_not_resumed(error, &why);
                return false;
            }
        };
        let reply = timeout_at(job.deadline, self.gateway.dispatch(&mut job)).await;
        self.adopt(job, reply, error)
    }

    /// Creates the request that resumes the stream after its last event, and takes it out of the
    /// retry budget.
    fn resumption(&self, error: &str) -> Result<Job, String> {
        let Some(events) = &self.events else {
            return Err("the request cannot be resumed".to_owned());
        };
        if events.ends_unnamed {
            return Err("the last event has no id".to_owned());
        }
        if self.job.attempts_left() == 0 {
            return Err("no attempts are left".to_owned());
        }
        if self.job.time_left() < MIN_RESUME_TIME {
            return Err("no time is left".to_owned());
        }
        if !self.gateway.try_take_retry(&self.job) {
            return Err("the retry budget is used up".to_owned());
        }
        let mut job = self.job.clone();
        // If no event has arrived, the stream resumes where the caller asked it to start.
        if let Some(last_id) = &events.last_id {
            job.resume_after = Some(last_id.clone());
        }
        if self.begun {
            job.software_version = Some(self.software_version.clone());
        }
        journal::line("resumed")
            .text("request", &job.id)
            .text(
                "software_version",
                job.software_version.as_deref().unwrap_or(""),
            )
            .text("after", job.resume_after.as_deref().unwrap_or(""))
            .text("error", error);
        Ok(job)
    }

    /// Goes on with the answer to a resumption, if it can go on with the stream; returns whether it
    /// can.
    fn adopt(
        &mut self,
        job: Job,
        reply: Result<Result<Reply, Failure>, Elapsed>,
        error: &str,
    ) -> bool {
        self.job.attempts = job.attempts;
        let why = match reply {
            Ok(Ok(reply)) => {
                let next = StreamHead::with_headers(reply.status, &reply.headers);
                match self.head.check_next(&next) {
                    Ok(()) => {
                        self.go_on(job, reply);
                        return true;
                    }
                    Err(e) => e.to_string(),
                }
            }
            Ok(Err(failure)) => failure.refusal.message().to_owned(),
            Err(_) => "the deadline passed".to_owned(),
        };
        self.record_not_resumed(error, &why);
        false
    }

    /// Goes on with the body of the answer to a resumption.
    fn go_on(&mut self, job: Job, reply: Reply) {
        self.job = job;
        self.source = reply.source;
        self.target = reply.target;
        self.software_version = reply.software_version;
        self.last_read = Instant::now();
        if let Some(events) = &mut self.events {
            events.splitter = EventSplitter::default();
            events.awaits_event = true;
        }
    }

    fn record_not_resumed(&self, error: &str, why: &str) {
        journal::line("not_resumed")
            .text("request", &self.job.id)
            .text("error", error)
            .text("why", why)
            .value("attempts_left", self.job.attempts_left())
            .ms("time_left_ms", self.job.time_left());
    }

    /// Records that the answer is incomplete and returns the error that ends the body.
    fn fail(&mut self, why: &str) -> BodyError {
        self.end_record.outcome = "broken";
        journal::line("broken")
            .text("request", &self.job.id)
            .text("peer", self.source.peer().map_or("", |p| p.as_str()))
            .text("error", why)
            .ms("silent_ms", self.last_read.elapsed())
            .ms("time_left_ms", self.job.time_left());
        why.into()
    }
}

impl EventReader {
    /// Adds received bytes and returns the events that are now complete.
    fn push(&mut self, data: &[u8]) -> Result<Bytes, String> {
        self.splitter.push(data).map_err(|e| e.to_string())?;
        let mut complete = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            let has_data = !event_data(&event).is_empty();
            let id = event_id(&event);
            if self.awaits_event
                && let (Some(last), Some(id)) = (&self.last_id, id)
                && !may_follow(last, id)
            {
                return Err(format!("another target sent event {id} after event {last}"));
            }
            self.awaits_event &= !has_data;
            self.ends_unnamed = id.is_none() && (self.ends_unnamed || has_data);
            self.last_id = id.map(SmolStr::from).or(self.last_id.take());
            complete.extend_from_slice(&event);
        }
        Ok(complete.freeze())
    }
}
