//! Which targets have said that they take no more requests, and for how long.
//!
//! A target that leaves says so in its answers, and one that is full may ask for quiet. Both are
//! honoured at once, whatever the registry says: a target that leaves gets no request until another
//! process has taken its name, and one that asked for quiet gets none before the end of that time.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime};

use super::dialect::RetryAfter;
use crate::id::TargetId;

/// Longest time for which a target is left alone; a target that needs more asks again.
pub const MAX_QUIET: Duration = Duration::from_secs(60);

/// Quiet for a target that asks for a time that cannot be read.
const DEFAULT_QUIET: Duration = Duration::from_secs(1);

/// Part of the quiet by which instances return later at random, so that they do not all return at
/// once.
const RETURN_SPREAD: f64 = 0.25;

/// Longest time by which instances return later at random.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// How long a target that leaves is remembered after the registry has lost it.
pub const LEAVING_MEMORY: Duration = Duration::from_secs(300);

/// Returns for how long a target wants to be left alone; `unix_now` is the time of day.
pub fn quiet_time(retry_after: &RetryAfter, unix_now: SystemTime) -> Duration {
    let asked = match retry_after {
        RetryAfter::Time(time) => *time,
        RetryAfter::Date(date) => date.duration_since(unix_now).unwrap_or_default(),
        RetryAfter::Malformed(_) => DEFAULT_QUIET,
    };
    asked.min(MAX_QUIET)
}

/// A quiet that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuietEnd {
    /// The time until requests are taken again.
    pub left: Duration,
    /// How long the quiet lasts in all.
    pub length: Duration,
}

impl QuietEnd {
    /// Returns how long a request waits that may wait for `max_wait`; `None` if the quiet lasts
    /// longer. A request that came earlier has less time left and goes earlier, so that they do not
    /// all go at once; `draw` is a random number from 0 to 1.
    pub fn wait(&self, max_wait: Duration, draw: f64) -> Option<Duration> {
        let slack = max_wait.checked_sub(self.left)?;
        Some(self.left + slack.mul_f64((1.0 + draw.clamp(0.0, 1.0)) / 2.0))
    }

    /// Returns when a refused request should come back: after the end, later by a random part of the
    /// time that the quiet has lasted, as requests have been refused for all of it. What is left is
    /// spread like the `Retry-After` of any refusal. `draw` is a random number from 0 to 1.
    pub fn retry_after(&self, draw: f64) -> Duration {
        let lasted = self.length.saturating_sub(self.left);
        self.left + lasted.mul_f64(draw.clamp(0.0, 1.0))
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Withdrawal {
    /// When the process last said that it leaves, or was last listed since.
    leaving_seen: Option<Duration>,
    quiet_until: Duration,
    quiet_length: Duration,
}

/// The processes of targets that take no requests.
#[derive(Debug, Clone, Default)]
pub struct Withdrawals {
    /// By target and by the start time of its process. Late answers may be of a former process.
    targets: HashMap<TargetId, BTreeMap<u64, Withdrawal>>,
}

impl Withdrawals {
    /// Records that a target's process leaves; returns whether that is new.
    pub fn record_leaving(&mut self, now: Duration, id: &TargetId, started_unix_ms: u64) -> bool {
        let withdrawal = self.entry(id, started_unix_ms);
        withdrawal.leaving_seen.replace(now).is_none()
    }

    /// Records that a target wants no requests for a time; returns the end of that time, later by a
    /// random part for which `draw` is a random number from 0 to 1.
    pub fn record_quiet(
        &mut self,
        now: Duration,
        id: &TargetId,
        started_unix_ms: u64,
        quiet: Duration,
        draw: f64,
    ) -> Duration {
        let spread = quiet.mul_f64(RETURN_SPREAD).min(MAX_RETURN_SPREAD);
        let until = now + quiet + spread.mul_f64(draw.clamp(0.0, 1.0));
        let withdrawal = self.entry(id, started_unix_ms);
        if until > withdrawal.quiet_until {
            // A quiet that is asked for again goes on.
            let goes_on = withdrawal.quiet_until > now;
            let begins = withdrawal
                .quiet_until
                .saturating_sub(withdrawal.quiet_length);
            withdrawal.quiet_length = until - if goes_on { begins } else { now };
            withdrawal.quiet_until = until;
        }
        withdrawal.quiet_until
    }

    /// Returns whether a target's process takes requests now.
    pub fn takes_requests(&self, now: Duration, id: &TargetId, started_unix_ms: u64) -> bool {
        self.of(id, started_unix_ms)
            .is_none_or(|w| w.leaving_seen.is_none() && w.quiet_until <= now)
    }

    /// Returns whether a target's process has said that it leaves.
    pub fn is_leaving(&self, id: &TargetId, started_unix_ms: u64) -> bool {
        self.of(id, started_unix_ms)
            .is_some_and(|w| w.leaving_seen.is_some())
    }

    /// Returns how long a target's process stays quiet; `None` if the process leaves, or takes
    /// requests now.
    pub fn quiet_left(
        &self,
        now: Duration,
        id: &TargetId,
        started_unix_ms: u64,
    ) -> Option<QuietEnd> {
        let withdrawal = self.of(id, started_unix_ms)?;
        if withdrawal.leaving_seen.is_some() || withdrawal.quiet_until <= now {
            return None;
        }
        Some(QuietEnd {
            left: withdrawal.quiet_until - now,
            length: withdrawal.quiet_length,
        })
    }

    /// Forgets targets that take requests again, and those that left long ago. `listed` returns the
    /// start time of a target's process if the registry has the target.
    pub fn expire(&mut self, now: Duration, listed: impl Fn(&TargetId) -> Option<u64>) {
        self.targets.retain(|id, processes| {
            if let Some(process) = listed(id).and_then(|started| processes.get_mut(&started)) {
                process.leaving_seen = process.leaving_seen.map(|_| now);
            }
            processes.retain(|_, w| {
                w.quiet_until > now || w.leaving_seen.is_some_and(|at| now < at + LEAVING_MEMORY)
            });
            !processes.is_empty()
        });
    }

    fn of(&self, id: &TargetId, started_unix_ms: u64) -> Option<&Withdrawal> {
        self.targets.get(id)?.get(&started_unix_ms)
    }

    fn entry(&mut self, id: &TargetId, started_unix_ms: u64) -> &mut Withdrawal {
        let processes = self.targets.entry(id.clone()).or_default();
        processes.entry(started_unix_ms).or_default()
    }
}
