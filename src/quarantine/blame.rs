//! Decides which requests and prompt parts crash targets, from the crashes of all instances.
//!
//! A suspect is condemned if several processes crashed one after the other while they ran it and no
//! request that began after the crashes has had a complete answer. A suspect with earlier answers
//! may have become harmful since, so it is judged like any other once answers to later requests
//! would have come. What other requests share with a harmful one is also in flight at its crashes;
//! complete answers and the crashes that the harmful suspect explains clear it.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::{Fingerprint, Suspect};
use crate::id::TargetId;

/// Number of crashes for which a suspect is condemned.
pub const CRASHES_TO_CONDEMN: usize = 3;

/// Number of crashes for which suspects are condemned that no crash tells apart.
pub const CRASHES_TO_CONDEMN_TIED: usize = 5;

/// Number of crashes from which instances are asked for complete answers.
const CRASHES_TO_CHECK: usize = 2;

/// Crashes within this time of each other have a common cause, such as the loss of a data centre,
/// and count once.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(250);

/// How long a crash is remembered.
const CRASH_MEMORY: Duration = Duration::from_secs(120);

/// Maximum number of remembered crashes; the oldest are dropped.
const MAX_CRASHES: usize = 256;

/// Maximum number of suspects of one crash.
pub const MAX_SUSPECTS: usize = 512;

/// Maximum number of suspects that instances are asked about at once.
const MAX_CHECKED: usize = 256;

/// Shortest time for which a suspect that had answers before its crashes is given to have another:
/// crashed targets come back within some seconds.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Longest time for which a suspect that had answers before its crashes is given to have another.
const MAX_PATIENCE: Duration = Duration::from_secs(4);

/// The same for a suspect to which a target has begun to answer well since its first crash: long
/// answers to sound suspects take their time.
const MAX_PATIENCE_RUNNING: Duration = Duration::from_secs(20);

/// How long a suspect whose quarantine has ended is condemned again for its first crash.
const PROBATION_TIME: Duration = Duration::from_secs(3_600);

/// A condemned suspect needs to have been in flight at one of this many crashes since its first.
const MIN_SHARE_OF_CRASHES: usize = 4;

/// A process that ended while requests were in flight there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The target.
    pub target: TargetId,
    /// Start time of the target's process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// What was in flight.
    pub suspects: Vec<Suspect>,
}

/// A suspect that is found to crash targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Condemned {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// The number of crashes that it explains.
    pub crashes: usize,
}

/// A complete answer to a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// When the request was sent to its target.
    pub began: Duration,
    /// How long the target took for the answer.
    pub took: Duration,
}

/// The answers to a suspect whose requests began last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Answers {
    /// The complete one.
    pub complete: Option<CompleteAnswer>,
    /// When the request began whose answer has gone on for some time, complete or not.
    pub running: Option<Duration>,
}

impl Answers {
    /// Keeps of both what began last.
    pub fn merge(&mut self, other: Self) {
        if self.complete.map(|a| a.began) < other.complete.map(|a| a.began) {
            self.complete = other.complete;
        }
        self.running = self.running.max(other.running);
    }

    /// Tells whether a request that began at `crash` or later has had a complete answer.
    fn clears(self, crash: Duration) -> bool {
        self.complete.is_some_and(|a| a.began >= crash)
    }

    /// Returns how long a suspect whose first crash was at `crash` is given to have another answer.
    fn patience(self, crash: Duration) -> Duration {
        let Some(complete) = self.complete else {
            return Duration::ZERO;
        };
        let is_running = self.running.is_some_and(|began| began >= crash);
        let max = if is_running {
            MAX_PATIENCE_RUNNING
        } else {
            MAX_PATIENCE
        };
        (complete.took * 2).clamp(MIN_PATIENCE, max)
    }

    /// Tells whether a request began at `time` or later.
    fn are_since(self, time: Duration) -> bool {
        self.complete.map(|a| a.began).max(self.running) >= Some(time)
    }
}

#[derive(Debug)]
struct KnownCrash {
    at: Duration,
    crash: Crash,
}

/// The crashes in which a suspect was in flight.
#[derive(Debug, Default)]
struct Evidence {
    crashes: HashSet<usize>,
    requests: HashSet<u64>,
    is_part: bool,
    /// Crashes that have no common cause.
    separate: usize,
    first_at: Duration,
    last_at: Option<Duration>,
    /// When the lack of an answer that began after the first crash begins to count.
    due_at: Duration,
}

impl Evidence {
    /// Returns the number of crashes that count: a part that one request brings to several targets
    /// is no more suspect than that request.
    fn count(&self) -> usize {
        if self.is_part {
            self.separate.min(self.requests.len())
        } else {
            self.separate
        }
    }

    /// Returns the weight of the evidence, by which suspects of the same crashes are compared.
    fn weight(&self) -> (usize, usize) {
        (self.count(), self.crashes.len())
    }

    /// Tells whether `other` is another explanation of this suspect's crashes. An answer may still
    /// clear one that is not due, unless both are whole requests.
    fn has_rival(&self, now: Duration, other: &Self) -> bool {
        let counts = other.due_at <= now || !(self.is_part || other.is_part);
        counts && !self.crashes.is_disjoint(&other.crashes)
    }

    /// Tells whether this suspect explains the same crashes by fewer requests than `other`.
    fn is_narrower(&self, other: &Self) -> bool {
        self.requests.len() < other.requests.len()
    }
}

/// The crashes of the fleet, as far as this instance has been told.
#[derive(Debug, Default)]
pub struct Blame {
    crashes: VecDeque<KnownCrash>,
    answers: HashMap<Fingerprint, Answers>,
    /// Condemned suspects, until the crashes of requests that were already in flight are over.
    condemned_until: HashMap<Fingerprint, Duration>,
    /// When the quarantine of suspects has ended.
    released_at: HashMap<Fingerprint, Duration>,
}

impl Blame {
    /// Records a crash that happened at `at`; several instances may report the same crash.
    pub fn record(&mut self, now: Duration, at: Duration, crash: Crash) {
        self.expire(now);
        let known = self.crashes.iter_mut().find(|known| {
            known.crash.target == crash.target
                && known.crash.started_unix_ms == crash.started_unix_ms
        });
        if let Some(known) = known {
            known.at = known.at.min(at);
            for suspect in crash.suspects {
                let suspects = &mut known.crash.suspects;
                if suspects.len() < MAX_SUSPECTS && !suspects.contains(&suspect) {
                    suspects.push(suspect);
                }
            }
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let mut crash = crash;
        crash.suspects.truncate(MAX_SUSPECTS);
        self.crashes.push_back(KnownCrash { at, crash });
    }

    /// Records the answers that an instance has received to a suspect.
    pub fn record_answers(&mut self, suspect: Fingerprint, answers: Answers) {
        self.answers.entry(suspect).or_default().merge(answers);
    }

    /// Records that a suspect has been condemned here or elsewhere.
    pub fn record_condemned(&mut self, now: Duration, suspect: Fingerprint) {
        self.condemned_until.insert(suspect, now + CRASH_MEMORY);
    }

    /// Records that the quarantine of a suspect has ended. It is condemned again for one crash, unless
    /// a request that began since has lately had a complete answer.
    pub fn record_released(&mut self, now: Duration, suspect: Fingerprint) {
        self.condemned_until.remove(&suspect);
        self.released_at.insert(suspect, now);
    }

    /// Returns the suspects about which instances are to be asked before one is condemned, those
    /// with most crashes first; empty if none is near.
    pub fn to_check(&mut self, now: Duration) -> Vec<Fingerprint> {
        self.expire(now);
        let evidence = self.evidence();
        let mut suspects: Vec<(usize, Fingerprint)> = evidence
            .iter()
            .map(|(fingerprint, evidence)| (evidence.count(), *fingerprint))
            .filter(|(count, suspect)| *count >= CRASHES_TO_CHECK || self.is_on_probation(*suspect))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        let is_near = |(count, suspect): &(usize, Fingerprint)| {
            *count >= CRASHES_TO_CONDEMN || self.is_on_probation(*suspect)
        };
        if !suspects.iter().any(is_near) {
            return Vec::new();
        }
        suspects.truncate(MAX_CHECKED);
        suspects.into_iter().map(|(_, suspect)| suspect).collect()
    }

    /// Returns when suspects are to be judged again, if some with enough crashes are not due yet.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let evidence = self.evidence();
        let pending = evidence
            .values()
            .filter(|own| own.due_at > now && own.count() >= CRASHES_TO_CONDEMN);
        pending.map(|own| own.due_at).min()
    }

    /// Condemns suspects among those that `checked` lists: the answers that instances have lately
    /// received to them are known from [`Blame::record_answers`].
    pub fn condemn(&mut self, now: Duration, checked: &[Fingerprint]) -> Vec<Condemned> {
        self.expire(now);
        let mut condemned = Vec::new();
        loop {
            let evidence = self.evidence();
            let found = self.find_culprits(now, &evidence, checked);
            if found.is_empty() {
                return condemned;
            }
            for culprit in found {
                self.record_condemned(now, culprit.fingerprint);
                condemned.push(culprit);
            }
        }
    }

    fn find_culprits(
        &self,
        now: Duration,
        evidence: &HashMap<Fingerprint, Evidence>,
        checked: &[Fingerprint],
    ) -> Vec<Condemned> {
        let mut found = Vec::new();
        for fingerprint in checked {
            let Some(own) = evidence.get(fingerprint) else {
                continue;
            };
            let count = own.count();
            if self.is_on_probation(*fingerprint) {
                found.push(Condemned {
                    fingerprint: *fingerprint,
                    crashes: count,
                });
                continue;
            }
            if count < CRASHES_TO_CONDEMN || own.due_at > now || !self.has_share_of_crashes(own) {
                continue;
            }
            let weight = own.weight();
            let mut rivals = evidence.iter().filter(|(rival, other)| {
                *rival != fingerprint && own.has_rival(now, other) && other.weight() >= weight
            });
            let is_ahead = if count >= CRASHES_TO_CONDEMN_TIED {
                rivals.all(|(_, rival)| rival.weight() == weight && !rival.is_narrower(own))
            } else {
                rivals.next().is_none()
            };
            if is_ahead {
                found.push(Condemned {
                    fingerprint: *fingerprint,
                    crashes: count,
                });
            }
        }
        found
    }

    /// Tells whether the quarantine of a suspect has ended, and no later request is known to have had
    /// a complete answer.
    fn is_on_probation(&self, suspect: Fingerprint) -> bool {
        let Some(released_at) = self.released_at.get(&suspect) else {
            return false;
        };
        let answers = self.answers.get(&suspect);
        !answers.is_some_and(|a| a.clears(*released_at))
    }

    /// Tells whether a suspect was in flight at a good part of the crashes since its first one.
    /// When many targets end for another reason, some of the ends meet every frequent suspect.
    fn has_share_of_crashes(&self, own: &Evidence) -> bool {
        let since = self
            .crashes
            .iter()
            .filter(|known| known.at >= own.first_at && !self.has_condemned(known));
        own.crashes.len() * MIN_SHARE_OF_CRASHES >= since.count()
    }

    /// Tells whether a condemned suspect explains a crash in which another was in flight. A
    /// condemned request may crash targets for one of its parts, so it does not clear them, unless
    /// they had answers.
    fn is_explained(&self, known: &KnownCrash, other: &Suspect, had_answers: bool) -> bool {
        let mut suspects = known.crash.suspects.iter();
        suspects.any(|s| {
            (s.is_part || s.request != other.request || had_answers)
                && self.condemned_until.contains_key(&s.fingerprint)
        })
    }

    /// Tells whether a condemned suspect was in flight at a crash.
    fn has_condemned(&self, known: &KnownCrash) -> bool {
        let mut suspects = known.crash.suspects.iter();
        suspects.any(|s| self.condemned_until.contains_key(&s.fingerprint))
    }

    fn evidence(&self) -> HashMap<Fingerprint, Evidence> {
        let mut in_order: Vec<(usize, &KnownCrash)> = self.crashes.iter().enumerate().collect();
        in_order.sort_by_key(|(_, known)| known.at);
        let mut evidence: HashMap<Fingerprint, Evidence> = HashMap::new();
        for (index, known) in in_order {
            for suspect in &known.crash.suspects {
                let answers = self.answers.get(&suspect.fingerprint);
                let answers = answers.copied().unwrap_or_default();
                if answers.clears(known.at)
                    || self.condemned_until.contains_key(&suspect.fingerprint)
                    || self.is_explained(known, suspect, answers.complete.is_some())
                {
                    continue;
                }
                let own = evidence.entry(suspect.fingerprint).or_default();
                if own.last_at.is_none() {
                    own.first_at = known.at;
                    own.is_part = suspect.is_part;
                    own.due_at = known.at + answers.patience(known.at);
                }
                own.requests.insert(suspect.request);
                if !own.crashes.insert(index) {
                    continue;
                }
                let has_common_cause = own
                    .last_at
                    .is_some_and(|last| known.at < last + COMMON_CAUSE_TIME);
                if !has_common_cause {
                    own.separate += 1;
                    own.last_at = Some(known.at);
                }
            }
        }
        evidence
    }

    fn expire(&mut self, now: Duration) {
        self.crashes.retain(|known| known.at + CRASH_MEMORY > now);
        let forgotten = now.saturating_sub(CRASH_MEMORY);
        self.answers.retain(|_, a| a.are_since(forgotten));
        self.condemned_until.retain(|_, until| *until > now);
        self.released_at.retain(|_, at| *at + PROBATION_TIME > now);
    }
}
