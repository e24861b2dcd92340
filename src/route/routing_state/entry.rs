//! Routing state of a target of the local region.

use std::time::Duration;

use smol_str::SmolStr;

use crate::platform::{ListedTarget, ServiceState};
use crate::route::health::Health;
use crate::route::pool::PoolKey;
use crate::target::TargetAddress;

/// Age after which a target's load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// A target of the local region.
#[derive(Debug)]
pub(super) struct TargetEntry {
    pub(super) address: TargetAddress,
    pub(super) plugin: SmolStr,
    pub(super) listed: bool,
    pub(super) leaving: bool,
    pub(super) capacity: f64,
    pub(super) slots: f64,
    pub(super) price: f64,
    pub(super) health: Health,
    pub(super) in_flight: u32,
    pub(super) suspect_requests: u32,
    pub(super) report: Option<LoadReport>,
    /// Pools to which the target belongs; empty while the target is leaving.
    pub(super) pools: Vec<PoolKey>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct LoadReport {
    pub(super) received: Duration,
    /// Requests at the target that this instance did not send.
    pub(super) other_requests: u32,
}

impl TargetEntry {
    pub(super) fn new(listed: &ListedTarget, health: Health) -> Self {
        let mut entry = Self {
            address: TargetAddress {
                id: listed.id.clone(),
                region: listed.region.clone(),
                address: listed.address,
            },
            plugin: listed.plugin.clone(),
            listed: true,
            leaving: false,
            capacity: 0.0,
            slots: 0.0,
            price: 0.0,
            health,
            in_flight: 0,
            suspect_requests: 0,
            report: None,
            pools: Vec::new(),
        };
        entry.update(listed);
        entry
    }

    pub(super) fn update(&mut self, listed: &ListedTarget) {
        self.listed = true;
        self.leaving = listed.state == ServiceState::Leaving;
        self.plugin = listed.plugin.clone();
        self.capacity = listed.capacity.max(0.0);
        self.slots = f64::from(listed.slots.max(1));
        self.price = listed.price;
    }

    pub(super) fn accepts_requests(&self) -> bool {
        self.listed && !self.leaving && self.health.is_up()
    }

    pub(super) fn estimated_in_flight(&self, now: Duration) -> f64 {
        let other_requests = match self.report {
            Some(report) if now.saturating_sub(report.received) <= MAX_REPORT_AGE => {
                report.other_requests
            }
            _ => 0,
        };
        f64::from(other_requests) + f64::from(self.in_flight)
    }

    pub(super) fn free_slots(&self, now: Duration) -> f64 {
        let usable = (self.slots * self.health.usable_fraction(now)).max(1.0);
        usable - self.estimated_in_flight(now)
    }
}
