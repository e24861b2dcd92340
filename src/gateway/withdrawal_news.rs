//! What the instances of a region tell each other of targets that leave, have asked for quiet or
//! have named a limit.
//!
//! The instance whose request was answered so tells the listeners of its region (see
//! [`super::listeners`]), and these tell the others in answers to their polls. A quiet passes on as
//! the time left and carries the number of its report, so that an old or repeated message does not
//! prolong it. A limit carries the age of the answer that named or ended it; the latest one holds.
//! Only the process meant is affected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::registry::KnownTarget;
use super::target_limits::TargetLimit;
use super::withdrawal::{LEAVING_MEMORY, MAX_QUIET};
use crate::id::{InstanceId, TargetId};

/// Least time by which a report must prolong a target's quiet to be passed on. The requests under
/// way when a target becomes full are turned away within about this time, and each of their answers
/// asks for quiet.
const MIN_EXTENSION: Duration = Duration::from_millis(250);

/// How long a report is remembered after the end of its quiet, so that the same report does nothing
/// if it comes again.
const REPORT_MEMORY: Duration = MAX_QUIET;

/// The state of the news that an instance has from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// A random number of the process that gave the news.
    pub process: u64,
    /// How many changes the news includes.
    pub change: u64,
}

/// The withdrawal or limit of a target's process, as instances tell it each other.
#[derive(Debug, Clone, PartialEq)]
pub struct WithdrawalReport {
    /// The target.
    pub target: TargetId,
    /// When the target's process started.
    pub started_unix_ms: u64,
    /// Whether the process leaves.
    pub leaving: bool,
    /// How long the process still wants no requests; zero if it takes requests.
    pub quiet_left: Duration,
    /// What the process has said last of the requests that it takes, if it has ever named a limit.
    pub limit: Option<TargetLimit>,
    /// The instance whose request was answered so.
    pub reporter: InstanceId,
    /// The number of the report; later reports of an instance have greater ones.
    pub number: u64,
}

#[derive(Debug, Clone)]
struct Known {
    started_unix_ms: u64,
    leaving: bool,
    quiet_until: Duration,
    limit: Option<TargetLimit>,
    /// The reporter and the number of the report that the state is from.
    reporter: InstanceId,
    number: u64,
    /// The number of the last report of each instance.
    heard: BTreeMap<InstanceId, u64>,
    changed_at: u64,
    /// When the registry last had the process.
    listed_at: Duration,
}

/// The withdrawals that an instance knows and passes on.
#[derive(Debug, Clone)]
pub struct WithdrawalNews {
    process: u64,
    last_number: u64,
    changes: u64,
    published: u64,
    targets: BTreeMap<TargetId, Known>,
    /// The targets of which the listeners have not been told yet.
    untold: BTreeSet<TargetId>,
}

impl WithdrawalNews {
    /// Creates empty news; `process` is a random number that tells it from the news of others.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            last_number: 0,
            changes: 0,
            published: 0,
            targets: BTreeMap::new(),
            untold: BTreeSet::new(),
        }
    }

    /// Returns the number of the next report of this instance. `unix_ms` is the time of day, which
    /// orders the reports of this process after those of former ones.
    pub fn next_number(&mut self, unix_ms: u64) -> u64 {
        self.last_number = unix_ms.max(self.last_number + 1);
        self.last_number
    }

    /// Records what a target has told this instance itself; returns whether the region has to be
    /// told. `listed` are the targets of the registry.
    pub fn report(
        &mut self,
        now: Duration,
        listed: &BTreeMap<TargetId, KnownTarget>,
        report: &WithdrawalReport,
    ) -> bool {
        let is_new = self.hear(now, listed, report);
        if is_new {
            self.untold.insert(report.target.clone());
        }
        is_new
    }

    /// Records a report; returns whether it says anything new. Reports about processes that are not
    /// `listed` in the registry are ignored.
    pub fn hear(
        &mut self,
        now: Duration,
        listed: &BTreeMap<TargetId, KnownTarget>,
        report: &WithdrawalReport,
    ) -> bool {
        let known = listed.get(&report.target);
        let is_listed = known.is_some_and(|k| k.entry.started_unix_ms == report.started_unix_ms);
        is_listed && self.record(now, report)
    }

    fn record(&mut self, now: Duration, report: &WithdrawalReport) -> bool {
        let known = self.targets.get(&report.target);
        if known.is_none_or(|k| k.started_unix_ms != report.started_unix_ms) {
            let known = Known {
                started_unix_ms: report.started_unix_ms,
                leaving: false,
                quiet_until: Duration::ZERO,
                limit: None,
                reporter: report.reporter.clone(),
                number: report.number,
                heard: BTreeMap::new(),
                changed_at: self.changes,
                listed_at: now,
            };
            self.targets.insert(report.target.clone(), known);
        }
        let Some(known) = self.targets.get_mut(&report.target) else {
            return false;
        };
        let heard = known.heard.entry(report.reporter.clone()).or_default();
        let is_later = report.number > *heard;
        *heard = report.number.max(*heard);
        let until = now + report.quiet_left.min(MAX_QUIET);
        let prolongs = is_later && until >= known.quiet_until.max(now) + MIN_EXTENSION;
        let leaves = report.leaving && !known.leaving;
        let limits = report.limit.is_some_and(|said| known.hear_limit(said));
        if !prolongs && !leaves && !limits {
            return false;
        }
        known.leaving |= report.leaving;
        if prolongs {
            known.quiet_until = until;
            known.reporter = report.reporter.clone();
            known.number = report.number;
        }
        self.changes += 1;
        known.changed_at = self.changes;
        true
    }

    /// Returns the targets of which the listeners have not been told, as reports.
    pub fn take_untold(&mut self, now: Duration) -> Vec<WithdrawalReport> {
        let untold = std::mem::take(&mut self.untold);
        let known = untold
            .iter()
            .filter_map(|id| self.targets.get_key_value(id));
        known.map(|(id, known)| known.to_report(now, id)).collect()
    }

    /// Records that the listeners could not be told of these targets.
    pub fn put_back(&mut self, reports: &[WithdrawalReport]) {
        let targets = reports.iter().map(|r| r.target.clone());
        self.untold.extend(targets);
    }

    /// Makes all changes so far visible to [`Self::changes_since`].
    pub fn publish(&mut self) {
        self.published = self.changes;
    }

    /// Returns what an instance that has the news up to `position` lacks.
    pub fn changes_since(
        &self,
        now: Duration,
        position: Option<Position>,
    ) -> Option<(Position, Vec<WithdrawalReport>)> {
        let seen = position.filter(|p| p.process == self.process);
        let seen = seen.map_or(0, |p| p.change);
        if seen >= self.published {
            return None;
        }
        let lacking = |known: &Known| {
            known.changed_at > seen && known.changed_at <= self.published && known.is_active(now)
        };
        let lacking = self.targets.iter().filter(|(_, known)| lacking(known));
        let reports = lacking
            .map(|(id, known)| known.to_report(now, id))
            .collect();
        let position = Position {
            process: self.process,
            change: self.published,
        };
        Some((position, reports))
    }

    /// Returns the withdrawals in force that changed after `change`, whether visible to others or
    /// not, and the last change.
    pub fn changes_after(&self, now: Duration, change: u64) -> (u64, Vec<WithdrawalReport>) {
        let changed = |known: &Known| known.changed_at > change && known.is_active(now);
        let changed = self.targets.iter().filter(|(_, known)| changed(known));
        let reports = changed
            .map(|(id, known)| known.to_report(now, id))
            .collect();
        (self.changes, reports)
    }

    /// Forgets targets that have another process, that left long ago, or that take requests again.
    pub fn expire(&mut self, now: Duration, listed: &BTreeMap<TargetId, KnownTarget>) {
        self.targets.retain(|id, known| {
            match listed.get(id) {
                Some(l) if l.entry.started_unix_ms == known.started_unix_ms => {
                    known.listed_at = now;
                }
                Some(_) => return false,
                None => {}
            }
            let leaves = known.leaving && now < known.listed_at + LEAVING_MEMORY;
            let is_limited = known.is_limited(now) && known.listed_at == now;
            leaves || is_limited || now < known.quiet_until + REPORT_MEMORY
        });
        self.untold.retain(|id| self.targets.contains_key(id));
    }
}

impl Known {
    fn is_active(&self, now: Duration) -> bool {
        self.leaving || now < self.quiet_until || self.is_limited(now)
    }

    /// Returns whether the process has a limit, or had one until lately.
    fn is_limited(&self, now: Duration) -> bool {
        self.limit
            .is_some_and(|l| l.per_s.is_some() || now < l.said_at + REPORT_MEMORY)
    }

    /// Records a limit, or its end; returns whether that changes anything.
    fn hear_limit(&mut self, said: TargetLimit) -> bool {
        let known = self.limit;
        if known.is_some_and(|k| said.said_at < k.said_at) {
            return false;
        }
        self.limit = Some(said);
        known.and_then(|k| k.per_s) != said.per_s
    }

    fn to_report(&self, now: Duration, target: &TargetId) -> WithdrawalReport {
        WithdrawalReport {
            target: target.clone(),
            started_unix_ms: self.started_unix_ms,
            leaving: self.leaving,
            quiet_left: self.quiet_until.saturating_sub(now),
            limit: self.limit,
            reporter: self.reporter.clone(),
            number: self.number,
        }
    }
}
