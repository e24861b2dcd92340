//! Decides how long a request is tried at further targets of a region after some were not reached.
//!
//! What was not reached has not run the request, and it is ejected, so that each request that finds
//! dead targets leaves fewer of them to the next one. A request therefore goes on to targets that
//! are not ejected for as long as it has time. Of the ejected ones it tries few: if all targets are
//! dead, no request tries them all.

use std::time::Duration;

/// Number of unreached targets after which a request is tried at no ejected target.
const MAX_UNREACHED_BEFORE_EJECTED: usize = 2;

/// Part of the time that a request has left after which it is tried at no further target of the
/// region. The rest is for another region.
const TRIED_PART: u32 = 2;

/// The targets of a region that did not take a request since they were not reached.
#[derive(Debug, Clone)]
pub struct TargetTries {
    unreached: usize,
    ends_at: Duration,
}

impl TargetTries {
    /// Begins the tries of a request that has `time_left` until its deadline.
    pub fn new(now: Duration, time_left: Duration) -> Self {
        Self {
            unreached: 0,
            ends_at: now + time_left / TRIED_PART,
        }
    }

    /// Records that a target was not reached.
    pub fn record_not_reached(&mut self) {
        self.unreached += 1;
    }

    /// Tells whether the request may be sent to a target, which may be ejected.
    pub fn may_try(&self, now: Duration, is_ejected: bool) -> bool {
        if self.unreached == 0 {
            return true;
        }
        now < self.ends_at && (!is_ejected || self.unreached < MAX_UNREACHED_BEFORE_EJECTED)
    }
}
