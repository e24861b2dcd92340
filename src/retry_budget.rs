//! The retry budget of an instance, which keeps retries from amplifying an overload.
//!
//! In any window, the retries of a service are limited to a ratio of its requests plus a slack. If
//! the bound applies to several instances together, each instance keeps to the ratio of its own
//! requests plus an equal part of the slack, so the bound holds without exchanging messages.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

/// Fraction of the bound that an instance uses; the rest covers differences to counts that are
/// taken at another place and a little later.
const USABLE_FRACTION: f64 = 0.9;

/// The bound of a service's retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Allowed retries per window in addition to `ratio`.
    pub slack: f64,
    /// The window in which requests and retries are counted.
    pub window: Duration,
}

/// The retry budgets of one instance, one for each service `S`.
#[derive(Debug)]
pub struct RetryBudgets<S>(HashMap<S, Budget>);

/// The times of a service's requests and retries within the window.
#[derive(Debug, Default)]
struct Budget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl<S> Default for RetryBudgets<S> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<S: Clone + Eq + Hash> RetryBudgets<S> {
    /// Counts a request, which adds to the retries allowed in the window.
    pub fn record_request(&mut self, now: Duration, service: &S, bound: &RetryBound) {
        let budget = self.0.entry(service.clone()).or_default();
        remove_expired(&mut budget.requests, now, bound.window);
        budget.requests.push_back(now);
    }

    /// Takes one retry out of a service's budget, of which `instances` instances share the bound;
    /// returns `false` if the budget has no retry left.
    pub fn take(
        &mut self,
        now: Duration,
        service: &S,
        bound: &RetryBound,
        instances: usize,
    ) -> bool {
        let budget = self.0.entry(service.clone()).or_default();
        remove_expired(&mut budget.requests, now, bound.window);
        remove_expired(&mut budget.retries, now, bound.window);
        let earned = bound.ratio * to_f64(budget.requests.len());
        let slack = bound.slack / to_f64(instances.max(1));
        if to_f64(budget.retries.len()) + 1.0 > (earned + slack) * USABLE_FRACTION {
            metrics::counter!("limpetstand_retries_refused_total").increment(1);
            return false;
        }
        budget.retries.push_back(now);
        true
    }
}

fn remove_expired(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(n: usize) -> f64 {
    n as f64
}
