//! The messages about crashes and quarantines between instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::blame::{Answers, CompleteAnswer, Crash, MAX_SUSPECTS};
use super::{Fingerprint, Suspect};

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A process has crashed.
    Report(WireCrash),
    /// Asks for the latest answers to these.
    Check(Vec<u128>),
    /// These are quarantined.
    Quarantined {
        list: Vec<WireQuarantine>,
        /// Whether the receiver passes the message on within its region.
        spread: bool,
    },
    /// Asks for the quarantines.
    List,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    Done,
    Answers(Vec<WireAnswers>),
    List(Vec<WireQuarantine>),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct WireCrash {
    target: SmolStr,
    started_unix_ms: u64,
    /// How long ago the connections broke.
    pub(super) age_ms: u64,
    suspects: Vec<(u128, u64, bool)>,
}

/// The latest answers to a suspect.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct WireAnswers {
    pub(super) fingerprint: u128,
    /// How long ago the request of the complete one began, and how long it took.
    complete_ms: Option<(u64, u64)>,
    /// How long ago the request began whose answer has gone on for some time.
    running_ms: Option<u64>,
}

impl WireAnswers {
    pub(super) fn new(now: Duration, fingerprint: Fingerprint, answers: Answers) -> Self {
        let age = |began| to_ms(now.saturating_sub(began));
        Self {
            fingerprint: fingerprint.0,
            complete_ms: answers.complete.map(|a| (age(a.began), to_ms(a.took))),
            running_ms: answers.running.map(age),
        }
    }

    /// Returns the answers on the clock of the receiver.
    pub(super) fn answers(self, now: Duration) -> Answers {
        let began = |age| now.saturating_sub(Duration::from_millis(age));
        Answers {
            complete: self.complete_ms.map(|(age, took)| CompleteAnswer {
                began: began(age),
                took: Duration::from_millis(took),
            }),
            running: self.running_ms.map(began),
        }
    }
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct WireQuarantine {
    pub(super) fingerprint: u128,
    pub(super) left_ms: u64,
}

impl WireCrash {
    pub(super) fn new(crash: &Crash, age: Duration) -> Self {
        let suspects = crash.suspects.iter().take(MAX_SUSPECTS);
        Self {
            target: crash.target.as_str().into(),
            started_unix_ms: crash.started_unix_ms,
            age_ms: to_ms(age),
            suspects: suspects
                .map(|s| (s.fingerprint.0, s.request, s.is_part))
                .collect(),
        }
    }
}

impl From<WireCrash> for Crash {
    fn from(wire: WireCrash) -> Self {
        let mut suspects = Vec::with_capacity(wire.suspects.len());
        for (fingerprint, request, is_part) in wire.suspects {
            suspects.push(Suspect {
                fingerprint: Fingerprint(fingerprint),
                request,
                is_part,
            });
        }
        Self {
            target: wire.target.as_str().into(),
            started_unix_ms: wire.started_unix_ms,
            suspects,
        }
    }
}

pub(super) fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

crate::wire_format!("quarantine-message", Message);
crate::wire_format!("quarantine-reply", Reply);
