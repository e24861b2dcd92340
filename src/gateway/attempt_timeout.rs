//! Timeouts of a single attempt, after which a request is sent to another target.
//!
//! A target may accept a request and never answer. A request that may be repeated is then sent to
//! another target while there is still time for an answer.

use std::time::Duration;

use super::routes::RouteKind;

/// Time after which a connection is given up that makes no progress in the kernel; sound targets are
/// silent for a second or so.
pub const MAX_TARGET_SILENCE: Duration = Duration::from_millis(2_500);

/// Timeout of the head of a plain answer, as a ratio of the expected time to the head.
const PLAIN_HEAD_TIMEOUT_RATIO: f64 = 0.8;

/// Timeout of the head of a stream, as a ratio of the expected time to the head. The ratio is
/// larger than for plain answers, since engines with a long queue answer later than plain services.
const STREAM_HEAD_TIMEOUT_RATIO: f64 = 2.5;

/// Time without data after which a resumable stream is continued at another target; callers give
/// up after two seconds.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Returns the timeout of an answer's head that is expected to arrive after `expected_time`.
pub fn for_head(
    kind: RouteKind,
    expected_time: Duration,
    time_left: Duration,
    attempts_left: u32,
) -> Duration {
    if !kind.may_repeat() || attempts_left == 0 {
        return time_left;
    }
    let ratio = if kind.is_stream() {
        STREAM_HEAD_TIMEOUT_RATIO
    } else {
        PLAIN_HEAD_TIMEOUT_RATIO
    };
    expected_time.mul_f64(ratio).min(time_left)
}

/// Returns the timeout of the next bytes of an answer; `None` if only the deadline applies.
pub fn for_bytes(kind: RouteKind, attempts_left: u32) -> Option<Duration> {
    let resumable = kind == RouteKind::ResumableStream && attempts_left > 0;
    resumable.then_some(STREAM_IDLE_TIMEOUT)
}
