//! Health of a target, derived from the outcomes of requests and probes.

use std::time::Duration;

/// Consecutive failures after which a target is ejected even though it answers probes.
const EJECTION_THRESHOLD: u32 = 3;

/// Delay before the first probe of an ejected target; doubles with each ejection until an attempt
/// succeeds.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay between probes of an ejected target.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Time over which the usable capacity of a new or recovered target grows to its full capacity.
const RAMP_DURATION: Duration = Duration::from_secs(5);

/// Fraction of the capacity that is usable when a target appears or recovers.
const RAMP_INITIAL_SHARE: f64 = 0.25;

/// How an attempt on a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke, or the target returned an error or an invalid response.
    Broken,
    /// The target sent no data for too long.
    TimedOut,
}

/// Health of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    state: State,
    consecutive_failures: u32,
    /// Time at which the last failure was counted.
    last_failure: Option<Duration>,
    /// Delay before the first probe after the next ejection.
    ejection_delay: Duration,
    ramp_started: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    /// An attempt failed; a probe on a new connection decides whether the target is ejected.
    Suspended {
        probing: bool,
    },
    /// The target is unreachable, or its attempts keep failing.
    Ejected {
        next_probe: Duration,
        probe_delay: Duration,
        probing: bool,
    },
}

impl Health {
    /// Returns the health of a target that is up and can be used at full capacity.
    pub fn up() -> Self {
        Self {
            state: State::Up,
            consecutive_failures: 0,
            last_failure: None,
            ejection_delay: MIN_PROBE_DELAY,
            ramp_started: None,
        }
    }

    /// Returns the health of a target that has just appeared and whose cache is cold.
    pub fn cold(now: Duration) -> Self {
        Self {
            ramp_started: Some(now),
            ..Self::up()
        }
    }

    /// Returns whether the target may receive requests.
    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Returns whether the target is ejected, that is, gets no requests until a probe succeeds.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Returns the fraction of the target's capacity that may be used now, from 0 to 1.
    pub fn usable_fraction(&self, now: Duration) -> f64 {
        if !self.is_up() {
            return 0.0;
        }
        let Some(started) = self.ramp_started else {
            return 1.0;
        };
        let progress = now.saturating_sub(started).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        (RAMP_INITIAL_SHARE + (1.0 - RAMP_INITIAL_SHARE) * progress).min(1.0)
    }

    /// Records the failure of an attempt that started at `started`.
    ///
    /// Attempts that were in flight when a failure was counted fail for the same cause, such as a
    /// crash or connections that stalled together. All of them count as one failure.
    pub fn record_failure(&mut self, now: Duration, started: Duration, failure: Failure) {
        if self.is_ejected() {
            return;
        }
        if failure == Failure::ConnectFailed {
            self.eject(now);
            return;
        }
        if self
            .last_failure
            .is_some_and(|last_failure| started <= last_failure)
        {
            return;
        }
        self.last_failure = Some(now);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            self.eject(now);
            return;
        }
        if self.is_up() {
            self.state = State::Suspended { probing: false };
        }
    }

    /// Records that an attempt received its complete response.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejection_delay = MIN_PROBE_DELAY;
        if let State::Suspended { .. } = self.state {
            self.state = State::Up;
        }
    }

    /// Returns whether a probe is due, and marks a due probe as started.
    pub fn start_probe(&mut self, now: Duration) -> bool {
        match &mut self.state {
            State::Up => false,
            State::Suspended { probing } => !std::mem::replace(probing, true),
            State::Ejected {
                next_probe,
                probing,
                ..
            } => {
                if now < *next_probe {
                    return false;
                }
                !std::mem::replace(probing, true)
            }
        }
    }

    /// Records the outcome of a probe.
    pub fn record_probe(&mut self, now: Duration, answered: bool) {
        match (self.state, answered) {
            (State::Up, _) => {}
            (State::Suspended { .. }, true) => self.state = State::Up,
            (State::Suspended { .. }, false) => self.eject(now),
            (State::Ejected { .. }, true) => {
                self.state = State::Up;
                // The next failure ejects the target again unless an attempt succeeds first.
                self.consecutive_failures = EJECTION_THRESHOLD - 1;
                self.ramp_started = Some(now);
            }
            (State::Ejected { probe_delay, .. }, false) => {
                let probe_delay = (probe_delay * 2).min(MAX_PROBE_DELAY);
                self.state = State::Ejected {
                    next_probe: now + probe_delay,
                    probe_delay,
                    probing: false,
                };
            }
        }
    }

    fn eject(&mut self, now: Duration) {
        self.state = State::Ejected {
            next_probe: now + self.ejection_delay,
            probe_delay: self.ejection_delay,
            probing: false,
        };
        self.ejection_delay = (self.ejection_delay * 2).min(MAX_PROBE_DELAY);
    }
}
