//! Charges organisations for requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::platform_view::PlatformView;
use super::routes::{OrganisationPolicy, RouteTable};
use crate::config::{Document, Organisation, Revision, Snapshot};
use crate::id::OrganisationId;
use crate::limit::{Hold, Limiter};
use crate::refusal::{Code, Refusal};

/// Time within which an instance gets its share of a newly configured organisation's rate.
const SHARE_SETUP_TIME: Duration = Duration::from_millis(200);

/// What a request was charged against.
#[derive(Debug)]
pub enum Charge {
    /// The organisation has no limit.
    Free,
    /// The request was charged against the instance's share of the rate, or a loan from another
    /// instance.
    Share(Hold),
    /// The request was charged against the tolerance, beyond the rate and burst.
    Tolerated,
}

impl Charge {
    /// Refunds the charge, for a request that has not run.
    pub fn refund(self) {
        if let Self::Share(hold) = self {
            hold.settle(0);
        }
    }

    /// Makes the charge final, for a request that a target has answered.
    pub fn settle(self) {
        if let Self::Share(hold) = self {
            let tokens = hold.tokens;
            hold.settle(tokens);
        }
    }

    /// Returns what the request was charged against, as written to the journal.
    pub fn source(&self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Share(_) => "share",
            Self::Tolerated => "tolerance",
        }
    }
}

/// Charges organisations for their requests.
pub struct Quota {
    limiter: Arc<dyn Limiter>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
}

impl Quota {
    /// Creates a quota that charges against the shares of `limiter`, which follows `snapshot`.
    pub fn new(limiter: Arc<dyn Limiter>, snapshot: watch::Receiver<Arc<Snapshot>>) -> Self {
        Self { limiter, snapshot }
    }

    /// Charges a request to the request's organisation.
    ///
    /// # Errors
    ///
    /// If neither the share, loans nor the tolerance have enough units left.
    pub async fn charge(
        &self,
        organisation: &OrganisationId,
        policy: &OrganisationPolicy,
        units: u64,
        time_left: Duration,
    ) -> Result<Charge, Refusal> {
        if policy.rate == 0 {
            return Ok(Charge::Free);
        }
        if !self.becomes_known(organisation, time_left).await {
            let refusal = Refusal::not_run(
                Code::RateExceeded,
                "this instance has no share of the organisation's rate yet",
            );
            return Err(refusal.retry_after(SHARE_SETUP_TIME));
        }
        let hold = self.limiter.admit(organisation, units, time_left).await?;
        if hold.is_tolerated() {
            return Ok(Charge::Tolerated);
        }
        Ok(Charge::Share(hold))
    }

    /// Tells whether the instance has just started and does not know its share of the rates yet.
    pub fn is_starting(&self) -> bool {
        self.limiter.is_starting()
    }

    /// Waits until the limiter's configuration has an organisation of the route table, which takes
    /// a moment after a change; returns whether it has.
    async fn becomes_known(&self, organisation: &OrganisationId, time_left: Duration) -> bool {
        let is_known = |s: &Arc<Snapshot>| s.merged.organisations.contains_key(organisation);
        if is_known(&self.snapshot.borrow()) {
            return true;
        }
        let mut snapshot = self.snapshot.clone();
        let known = timeout(SHARE_SETUP_TIME.min(time_left), snapshot.wait_for(is_known));
        matches!(known.await, Ok(Ok(_)))
    }
}

/// Converts the organisations of a route table to the limiter's configuration.
fn snapshot(table: &RouteTable) -> Snapshot {
    let mut merged = Document::default();
    for (name, policy) in &table.organisations {
        if policy.rate == 0 {
            continue;
        }
        let organisation = Organisation {
            rate: policy.rate,
            burst: policy.burst.max(1),
            weight: 1.0,
            regions: None,
            max_config_age_s: None,
        };
        merged.organisations.insert(name.clone(), organisation);
    }
    Snapshot {
        revision: Revision(table.version),
        merged,
    }
}

/// Starts a task that publishes the limiter's configuration for each new route table.
pub fn follow_organisations(
    mut view: watch::Receiver<Arc<PlatformView>>,
) -> watch::Receiver<Arc<Snapshot>> {
    let (tx, rx) = watch::channel(Arc::new(Snapshot::default()));
    tokio::spawn(async move {
        loop {
            let table = view.borrow_and_update().route_table.clone();
            if let Some(table) = table
                && tx.borrow().revision.0 < table.version
            {
                tx.send_replace(Arc::new(snapshot(&table)));
            }
            if view.changed().await.is_err() {
                return;
            }
        }
    });
    rx
}
