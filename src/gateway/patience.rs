//! How long one attempt may take before the request is given to another target.
//!
//! Answers targets that take a request and stay silent: a request that may be repeated is given
//! to another target while there is time for its answer.

use std::time::Duration;

use super::routes::RouteKind;

/// Part of the objective after which an unanswered plain request is sent again.
const PLAIN_PART: f64 = 0.8;

/// Multiple of the expected time after which an unanswered stream is begun elsewhere; engines
/// with a long queue answer later than plain services.
const STREAM_PART: f64 = 2.5;

/// Silence in the middle of a stream after which another target goes on with it; callers leave
/// after two seconds.
const STREAM_SILENCE: Duration = Duration::from_millis(1_400);

/// Returns how long to wait for the head of an answer that is expected after `objective`.
pub fn for_head(
    kind: RouteKind,
    objective: Duration,
    time_left: Duration,
    attempts_left: u32,
) -> Duration {
    if !kind.may_repeat() || attempts_left == 0 {
        return time_left;
    }
    let part = if kind.is_stream() {
        STREAM_PART
    } else {
        PLAIN_PART
    };
    objective.mul_f64(part).min(time_left)
}

/// Returns how long to wait for the next bytes of an answer; `None` if until the deadline.
pub fn for_bytes(kind: RouteKind, attempts_left: u32) -> Option<Duration> {
    let resumes = kind == RouteKind::ResumableStream && attempts_left > 0;
    resumes.then_some(STREAM_SILENCE)
}
