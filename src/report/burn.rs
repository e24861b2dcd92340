//! Burn rates of objectives: the rate at which an error budget is used.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Counts, Minute, Series, Window};
use crate::config::{Objective, ObjectiveKind};

/// The burn rate over both short windows above which the alert is [`Alert::Fast`].
const FAST_BURN_RATE: f64 = 14.4;

/// The burn rate over both long windows above which the alert is [`Alert::Slow`].
const SLOW_BURN_RATE: f64 = 1.0;

const SECONDS_PER_MINUTE: u64 = 60;
const MINUTES_PER_HOUR: u64 = 60;

/// The alert level of an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// No alert.
    None,
    /// The error budget of 3 days is being used up in less than 3 days; operators should look soon.
    Slow,
    /// At the current burn rate, the error budget of 3 days lasts less than 5 hours; operators
    /// should look at once.
    Fast,
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "",
            Self::Slow => "slow",
            Self::Fast => "fast",
        })
    }
}

/// The burn rates, error budget and alert of one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// The objective's name.
    pub objective: SmolStr,
    /// The share of requests that must be good.
    pub target: f64,
    /// Requests of the last three days that count for the objective.
    pub total: u64,
    /// Requests among `total` that missed the objective.
    pub bad: u64,
    /// Burn rate over the last 5 minutes. A burn rate of 1 uses up the error budget of 3 days in
    /// exactly 3 days.
    pub burn_5m: f64,
    /// Burn rate over the last hour.
    pub burn_1h: f64,
    /// Burn rate over the last 6 hours.
    pub burn_6h: f64,
    /// Burn rate over the last 3 days.
    pub burn_3d: f64,
    /// Remaining share of the error budget of 3 days; negative when the budget is exceeded.
    pub budget_left: f64,
    /// The alert level.
    pub alert: Alert,
}

/// Computes an objective's burn from its counts over all instances.
///
/// `rate` is the organisation's rate in tokens a second, for objectives on wrongful refusals of
/// one organisation. Refusals for an exceeded rate count as bad in each minute or hour in which
/// the fleet served the organisation fewer tokens than its rate allows.
pub fn burn_line(
    name: &str,
    objective: &Objective,
    rate: Option<u64>,
    series: &Series,
    now: Minute,
) -> BurnLine {
    let burn = |window| burn_rate(objective, rate, series, now, window);
    let (burn_5m, burn_1h) = (burn(Window::FiveMinutes), burn(Window::OneHour));
    let (burn_6h, burn_3d) = (burn(Window::SixHours), burn(Window::ThreeDays));
    let three_days = judged_sum(objective, rate, series, now, Window::ThreeDays);
    BurnLine {
        objective: SmolStr::new(name),
        target: objective.target,
        total: three_days.total,
        bad: three_days.bad,
        burn_5m,
        burn_1h,
        burn_6h,
        burn_3d,
        budget_left: 1.0 - burn_3d,
        alert: alert(burn_5m.min(burn_1h), burn_6h.min(burn_3d)),
    }
}

fn alert(fast: f64, slow: f64) -> Alert {
    if fast > FAST_BURN_RATE {
        return Alert::Fast;
    }
    if slow > SLOW_BURN_RATE {
        return Alert::Slow;
    }
    Alert::None
}

fn burn_rate(
    objective: &Objective,
    rate: Option<u64>,
    series: &Series,
    now: Minute,
    window: Window,
) -> f64 {
    burn_rate_of(objective, judged_sum(objective, rate, series, now, window))
}

/// Computes the burn rate of counts in which [`judged_steps`] has already added the wrongful
/// refusals to `bad`.
pub(super) fn burn_rate_of(objective: &Objective, counts: Counts) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    let missed = counts.bad as f64 / counts.total as f64;
    missed / (1.0 - objective.target).max(f64::EPSILON)
}

/// Returns the sum of the counts that [`judged_steps`] returns.
fn judged_sum(
    objective: &Objective,
    rate: Option<u64>,
    series: &Series,
    now: Minute,
    window: Window,
) -> Counts {
    let mut sum = Counts::default();
    for (_, counts) in judged_steps(objective, rate, series, now, window) {
        sum.add(counts);
    }
    sum
}

/// Returns the steps (minutes or hours) of a window with their counts.
///
/// For an objective on wrongful refusals, a refusal for an exceeded rate is wrongful, and counts as
/// bad, if the organisation was served fewer tokens in that step than `rate`, the organisation's
/// rate in tokens a second, allows.
pub(super) fn judged_steps(
    objective: &Objective,
    rate: Option<u64>,
    series: &Series,
    now: Minute,
    window: Window,
) -> Vec<(u64, Counts)> {
    let mut steps = series.steps(now, window);
    if objective.kind != ObjectiveKind::WrongfulRefusals {
        return steps;
    }
    let step_minutes = if window.minutes() <= MINUTES_PER_HOUR {
        1
    } else {
        MINUTES_PER_HOUR
    };
    let entitled_tokens = rate.map(|r| r.saturating_mul(step_minutes * SECONDS_PER_MINUTE));
    for (_, counts) in &mut steps {
        if entitled_tokens.is_some_and(|entitled_tokens| counts.tokens < entitled_tokens) {
            counts.bad += counts.rate_refused;
        }
    }
    steps
}
