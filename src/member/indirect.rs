//! Indirect probes: other instances are asked to probe an instance that did not answer.

use super::status::Status;

/// The result of asking one instance to probe another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The prober reached the instance.
    Reached,
    /// The prober did not reach the instance.
    NotReached,
    /// The prober itself did not answer, or refused to probe.
    ProberFailed,
}

/// An indirect probe in progress, with the results received so far.
#[derive(Debug, Clone, Copy)]
pub struct IndirectProbe {
    status: Status,
    pending: usize,
    reached: bool,
    not_reached: bool,
}

impl IndirectProbe {
    /// Begins a probe through `asked` instances; `status` is the present status of the probed
    /// instance.
    pub fn of(status: Status, asked: usize) -> Self {
        Self {
            status,
            pending: asked,
            reached: false,
            not_reached: false,
        }
    }

    /// Records the result of one prober; returns whether all probers have now reported.
    pub fn record(&mut self, result: ProbeResult) -> bool {
        self.pending = self.pending.saturating_sub(1);
        self.reached |= result == ProbeResult::Reached;
        self.not_reached |= result == ProbeResult::NotReached;
        self.pending == 0
    }

    /// Returns the status that the probed instance had when the probe began.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Returns whether at least one prober answered and none reached the instance.
    pub fn is_not_reached(&self) -> bool {
        self.not_reached && !self.reached
    }

    /// Returns whether no prober answered.
    pub fn is_inconclusive(&self) -> bool {
        !self.not_reached && !self.reached
    }
}
