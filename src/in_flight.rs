//! Counts of requests in flight, for which a leaving instance waits.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of requests in flight at one interface.
#[derive(Debug, Clone, Default)]
pub struct InFlight(Arc<AtomicUsize>);

/// Counts a request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(InFlight);

impl InFlight {
    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Counts a request as in flight.
    pub fn track(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.clone())
    }

    /// Counts a request as in flight, unless `limit` requests are in flight already.
    pub fn track_below(&self, limit: usize) -> Option<InFlightGuard> {
        let before = self.0.fetch_add(1, Ordering::AcqRel);
        let guard = InFlightGuard(self.clone());
        (before < limit).then_some(guard)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}
