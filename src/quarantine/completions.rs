//! What this instance has lately received answers to.

use std::collections::HashMap;
use std::time::Duration;

use super::blame::{Answers, CompleteAnswer};
use super::{Fingerprint, Suspect};

/// How long an answer is remembered, at least; at most twice as long.
const MEMORY: Duration = Duration::from_secs(30);

/// Maximum number of requests, and of prompt parts, that are remembered before older ones are
/// dropped early.
const MAX_REMEMBERED: usize = 10_000;

/// Two maps: a new one is begun when the present one is old or full, and the one before is dropped.
#[derive(Debug, Default)]
struct Recent {
    present: HashMap<Fingerprint, Answers>,
    before: HashMap<Fingerprint, Answers>,
    began: Duration,
}

impl Recent {
    fn insert(&mut self, now: Duration, fingerprint: Fingerprint, answers: Answers) {
        self.turn(now);
        if self.present.len() >= MAX_REMEMBERED {
            self.before = std::mem::take(&mut self.present);
            self.began = now;
        }
        self.present.entry(fingerprint).or_default().merge(answers);
    }

    fn get(&mut self, now: Duration, fingerprint: Fingerprint) -> Answers {
        self.turn(now);
        let mut answers = Answers::default();
        for known in [&self.before, &self.present] {
            answers.merge(known.get(&fingerprint).copied().unwrap_or_default());
        }
        answers
    }

    fn turn(&mut self, now: Duration) {
        if now < self.began + MEMORY {
            return;
        }
        let present = std::mem::take(&mut self.present);
        let is_recent = now < self.began + 2 * MEMORY;
        self.before = if is_recent { present } else { HashMap::new() };
        self.began = now;
    }
}

/// The requests and prompt parts with answers. Requests are rarely sent twice, so they are kept
/// apart, lest they displace the parts.
#[derive(Debug, Default)]
pub struct Completions {
    requests: Recent,
    parts: Recent,
}

impl Completions {
    /// Records a complete answer to a request that was sent to its target at `began`.
    pub fn record_complete(&mut self, now: Duration, began: Duration, suspects: &[Suspect]) {
        let answers = Answers {
            complete: Some(CompleteAnswer {
                began,
                took: now.saturating_sub(began),
            }),
            running: None,
        };
        self.record(now, suspects, answers);
    }

    /// Records that the answer to a request that was sent to its target at `began` has gone on for
    /// some time.
    pub fn record_running(&mut self, now: Duration, began: Duration, suspects: &[Suspect]) {
        let answers = Answers {
            complete: None,
            running: Some(began),
        };
        self.record(now, suspects, answers);
    }

    /// Returns the answers received lately whose requests began last.
    pub fn get(&mut self, now: Duration, fingerprint: Fingerprint) -> Answers {
        let mut answers = self.parts.get(now, fingerprint);
        answers.merge(self.requests.get(now, fingerprint));
        answers
    }

    fn record(&mut self, now: Duration, suspects: &[Suspect], answers: Answers) {
        for suspect in suspects {
            let recent = match suspect.is_part {
                true => &mut self.parts,
                false => &mut self.requests,
            };
            recent.insert(now, suspect.fingerprint, answers);
        }
    }
}
