//! Finds out whether a target's process has ended after a connection to it broke, and refuses
//! requests that are quarantined.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::sleep;

use super::job::{Failure, Job};
use super::upstream::Probe;
use super::{Gateway, lock};
use crate::id::TargetId;
use crate::journal;
use crate::quarantine::Suspect;
use crate::quarantine::blame::Crash;
use crate::refusal::{Code, Refusal};

/// Times between a broken connection and the probes of the target. A process that has ended refuses
/// connections until the next one listens; one that is about to end may still accept the first.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(400)];

/// A process of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Process {
    /// The target.
    pub target: TargetId,
    /// Start time of the process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// The address on which the process listened.
    pub address: SocketAddr,
}

/// What was in flight at processes that are being probed.
pub(super) type ProbedProcesses = Mutex<HashMap<Process, Vec<Suspect>>>;

impl Gateway {
    /// Refuses a request that is quarantined, or that has a quarantined prompt part.
    pub(super) fn refuse_if_quarantined(&self, job: &Job) -> Option<Failure> {
        let refusal = self.quarantine_refusal(&job.suspects, job.attempts)?;
        Some(Failure {
            try_other_region: false,
            ..self.failure(job, refusal)
        })
    }

    /// Returns the refusal of a request with a quarantined suspect that has been sent to `attempts`
    /// targets.
    pub(super) fn quarantine_refusal(
        &self,
        suspects: &[Suspect],
        attempts: u32,
    ) -> Option<Refusal> {
        let (suspect, left) = self.quarantine.find(suspects)?;
        let why = format!("targets crashed while running such requests; quarantined as {suspect}");
        let refusal = match attempts {
            0 => Refusal::not_run(Code::Quarantined, why),
            _ => Refusal::unknown(Code::Quarantined, why),
        };
        Some(refusal.retry_after(left))
    }

    /// Records that a connection to a process broke while a request was in flight there, and probes
    /// the target.
    pub(super) fn record_cut(self: &Arc<Self>, process: &Process, suspects: &[Suspect]) {
        let mut probed = lock(&self.probed);
        if let Some(known) = probed.get_mut(process) {
            known.extend_from_slice(suspects);
            return;
        }
        probed.insert(process.clone(), suspects.to_vec());
        drop(probed);
        let leaves = self.is_leaving_target(process);
        tokio::spawn(Arc::clone(self).probe(process.clone(), leaves));
    }

    /// Probes a process; `leaves` tells whether it had announced its end before connections broke.
    async fn probe(self: Arc<Self>, process: Process, leaves: bool) {
        let at = self.clock.now();
        let mut result = Probe::Unknown;
        for delay in PROBE_DELAYS {
            sleep((at + delay).saturating_sub(self.clock.now())).await;
            result = self.upstream().probe(process.address).await;
            if result == Probe::Refused {
                break;
            }
        }
        let suspects = lock(&self.probed).remove(&process).unwrap_or_default();
        if result != Probe::Refused || leaves {
            journal::line("not_blamed")
                .text("target", process.target.as_str())
                .value("born", process.started_unix_ms)
                .text("probe", result.as_str())
                .value("leaving", leaves);
            return;
        }
        let crash = Crash {
            target: process.target,
            started_unix_ms: process.started_unix_ms,
            suspects,
        };
        self.quarantine.report(at, crash);
    }

    /// Tells whether a process has announced its end: in an answer, in its entry, or by the removal
    /// of its entry.
    fn is_leaving_target(&self, process: &Process) -> bool {
        let view = self.view();
        let known = view.targets.get(&process.target);
        let has_left = known.is_none_or(|known| {
            known.entry.leaving && known.entry.started_unix_ms == process.started_unix_ms
        });
        has_left
            || self
                .pool()
                .withdrawals()
                .is_leaving(&process.target, process.started_unix_ms)
    }
}
