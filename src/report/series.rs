//! Counts by minute for an hour and by hour for three days.

use std::collections::VecDeque;

use super::Minute;

const MINUTES_KEPT: u64 = 60;
const HOURS_KEPT: u64 = 72;
const MINUTES_PER_HOUR: u64 = 60;

/// The counts of a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that count for the objective.
    pub total: u64,
    /// Requests among `total` that missed the objective.
    pub bad: u64,
    /// Requests refused because their organisation exceeded its rate. These refusals count as bad
    /// if the organisation was served fewer tokens than its rate allows.
    pub rate_refused: u64,
    /// Tokens served.
    pub tokens: u64,
}

impl Counts {
    /// Adds `other` to these counts, saturating.
    pub fn add(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
        self.rate_refused = self.rate_refused.saturating_add(other.rate_refused);
        self.tokens = self.tokens.saturating_add(other.tokens);
    }
}

/// A period that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Window {
    /// The last 5 minutes, by minute.
    FiveMinutes,
    /// The last hour, by minute.
    OneHour,
    /// The last 6 hours, by hour.
    SixHours,
    /// The last 3 days, by hour.
    ThreeDays,
}

impl Window {
    /// Returns the window's length in minutes.
    pub fn minutes(self) -> u64 {
        match self {
            Self::FiveMinutes => 5,
            Self::OneHour => MINUTES_KEPT,
            Self::SixHours => 6 * MINUTES_PER_HOUR,
            Self::ThreeDays => HOURS_KEPT * MINUTES_PER_HOUR,
        }
    }

    fn is_by_minutes(self) -> bool {
        self.minutes() <= MINUTES_KEPT
    }
}

/// The counts of one objective.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Series {
    minutes: Steps,
    hours: Steps,
}

impl Series {
    /// Adds counts of a minute. Counts by minute are kept for an hour and counts by hour for
    /// three days; older counts are not added.
    pub fn add(&mut self, minute: Minute, counts: Counts) {
        self.minutes.add(minute, counts, MINUTES_KEPT);
        self.hours
            .add(minute / MINUTES_PER_HOUR, counts, HOURS_KEPT);
    }

    /// Adds the counts of another series.
    pub fn merge(&mut self, other: &Self) {
        for (step, counts) in other.minutes.iter() {
            self.minutes.add(step, counts, MINUTES_KEPT);
        }
        for (step, counts) in other.hours.iter() {
            self.hours.add(step, counts, HOURS_KEPT);
        }
    }

    /// Returns the sum of the counts in a window that ends with the minute `now`.
    pub fn sum(&self, now: Minute, window: Window) -> Counts {
        let mut sum = Counts::default();
        for (_, counts) in self.steps(now, window) {
            sum.add(counts);
        }
        sum
    }

    /// Returns the steps of a window that ends with the minute `now`, with the counts of each step,
    /// oldest first. Steps without counts are left out.
    ///
    /// A step is a minute since the Unix epoch for windows of up to an hour, and an hour since the
    /// Unix epoch for longer windows.
    pub fn steps(&self, now: Minute, window: Window) -> Vec<(u64, Counts)> {
        let (steps, last, length) = if window.is_by_minutes() {
            (&self.minutes, now, window.minutes())
        } else {
            (
                &self.hours,
                now / MINUTES_PER_HOUR,
                window.minutes() / MINUTES_PER_HOUR,
            )
        };
        let mut found = Vec::new();
        for (step, counts) in steps.iter() {
            if step > last || step + length <= last {
                continue;
            }
            found.push((step, counts));
        }
        found
    }

    /// Returns the counts by minute.
    pub(super) fn by_minute(&self) -> impl Iterator<Item = (u64, Counts)> {
        self.minutes.iter()
    }

    /// Returns the counts by hour.
    pub(super) fn by_hour(&self) -> impl Iterator<Item = (u64, Counts)> {
        self.hours.iter()
    }

    /// Creates a series from counts by minute and by hour.
    pub(super) fn from_steps(
        minutes: impl Iterator<Item = (u64, Counts)>,
        hours: impl Iterator<Item = (u64, Counts)>,
    ) -> Self {
        let mut series = Self::default();
        for (step, counts) in minutes {
            series.minutes.add(step, counts, MINUTES_KEPT);
        }
        for (step, counts) in hours {
            series.hours.add(step, counts, HOURS_KEPT);
        }
        series
    }
}

/// Counts by step, sorted oldest first, with at most one entry for each step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Steps(VecDeque<(u64, Counts)>);

impl Steps {
    fn add(&mut self, step: u64, counts: Counts, kept: u64) {
        let newest = self.0.back().map_or(step, |(newest, _)| *newest);
        if step + kept <= newest {
            return;
        }
        match self.0.binary_search_by_key(&step, |(step, _)| *step) {
            Ok(i) => self.0[i].1.add(counts),
            Err(i) => self.0.insert(i, (step, counts)),
        }
        let newest = newest.max(step);
        while self
            .0
            .front()
            .is_some_and(|(oldest, _)| oldest + kept <= newest)
        {
            self.0.pop_front();
        }
    }

    fn iter(&self) -> impl Iterator<Item = (u64, Counts)> {
        self.0.iter().copied()
    }
}
