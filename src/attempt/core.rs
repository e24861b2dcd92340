//! State shared by all requests of an instance.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;

use super::scheduler::{Scheduler, Slot};
use crate::call::{Call, Operation};
use crate::claim::ClaimStore;
use crate::clock::Clock;
use crate::config::{ConfigAge, Route, Snapshot};
use crate::departure::Departure;
use crate::id::{InstanceId, RegionId};
use crate::in_flight::InFlight;
use crate::key;
use crate::member::{Fleet, Health, Member};
use crate::peer::Peers;
use crate::quarantine::Quarantine;
use crate::refusal::{Code, Refusal};
use crate::retry_budget::RetryBudgets;
use crate::route::{PoolName, TargetKey};
use crate::target::Target;

/// The shared state of a dispatcher.
pub(super) struct Core {
    pub(super) instance: InstanceId,
    pub(super) region: RegionId,
    pub(super) clock: Clock,
    pub(super) fleet: watch::Receiver<Arc<Fleet>>,
    pub(super) snapshot: watch::Receiver<Arc<Snapshot>>,
    pub(super) config_age: ConfigAge,
    pub(super) departure: watch::Receiver<Departure>,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) claims: Arc<ClaimStore>,
    pub(super) scheduler: Arc<Scheduler>,
    pub(super) targets: HashMap<SmolStr, Arc<dyn Target>>,
    pub(super) quarantine: Mutex<Quarantine>,
    pub(super) retries: Mutex<RetryBudgets<PoolName>>,
    pub(super) reckless: bool,
    pub(super) in_flight: InFlight,
}

impl Core {
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(super) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn retries(&self) -> MutexGuard<'_, RetryBudgets<PoolName>> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the pool of targets that serves a call.
    pub(super) fn pool_of(&self, call: &Call) -> Result<PoolName, Refusal> {
        let model = match &call.operation {
            Operation::Model { model, .. } => model,
            Operation::Service { .. } => return self.service_pool_of(call),
        };
        Ok(PoolName::Model(model.clone()))
    }

    fn service_pool_of(&self, call: &Call) -> Result<PoolName, Refusal> {
        let snapshot = self.snapshot.borrow();
        let route = snapshot.merged.routes.get(&call.route);
        match route.and_then(|route| route.service.clone()) {
            Some(service) => Ok(PoolName::Service(service)),
            None => Err(Refusal::not_run(
                Code::NoSuchRoute,
                "the route has no service",
            )),
        }
    }

    /// Returns the scheduling weight of the call's organisation, or 1 if the call has no
    /// organisation.
    pub(super) fn weight_of(&self, call: &Call) -> f64 {
        let snapshot = self.snapshot.borrow();
        let organisations = &snapshot.merged.organisations;
        call.organisation
            .as_ref()
            .and_then(|name| organisations.get(name))
            .map_or(1.0, |organisation| organisation.weight)
    }

    /// Refuses a forwarded request that may not end before the instance does.
    pub(super) fn check_departure(&self, time_left: Duration) -> Result<(), Refusal> {
        if self.departure.borrow().outlasts(self.now(), time_left) {
            return Ok(());
        }
        metrics::counter!("limpetstand_forwards_refused_leaving_total").increment(1);
        Err(Refusal::not_run(
            Code::Leaving,
            "the instance is shutting down and may not finish the request",
        ))
    }

    /// Checks against this instance's own configuration that residency allows a forwarded call to
    /// run in this region.
    pub(super) fn check_residency(&self, call: &Call) -> Result<(), Refusal> {
        let snapshot = self.snapshot.borrow();
        let organisation = call
            .organisation
            .as_ref()
            .and_then(|name| snapshot.merged.organisations.get(name))
            .and_then(|organisation| organisation.regions.as_ref());
        let route: Option<&Route> = snapshot.merged.routes.get(&call.route);
        let route = route.and_then(|route| route.regions.as_ref());
        let rules = [Some(&call.regions), organisation, route];
        if rules
            .iter()
            .flatten()
            .all(|rule| rule.contains(&self.region))
        {
            return Ok(());
        }
        Err(Refusal::not_run(
            Code::NoAllowedRegion,
            "residency does not allow the request to run in this region",
        ))
    }

    /// Returns this region and all other regions that the routing state knows.
    pub(super) fn all_regions(&self) -> Vec<RegionId> {
        let mut regions = self.scheduler.lock().routing_state.other_regions().to_vec();
        regions.push(self.region.clone());
        regions
    }

    /// Checks that the API key of a call is still valid.
    ///
    /// The check is skipped for a forwarded call, whose key is checked by the forwarding instance.
    pub(super) fn check_key(&self, call: &Call) -> Result<(), Refusal> {
        if call.hops > 0 {
            return Ok(());
        }
        let (Some(organisation), Some(key)) = (&call.organisation, &call.key) else {
            return Ok(());
        };
        let snapshot = Arc::clone(&self.snapshot.borrow());
        key::recheck_key(&snapshot, (self.config_age)(), organisation, key)?;
        Ok(())
    }

    /// Returns the live instances of a region, except the instances in `tried`.
    pub(super) fn instances_in(&self, region: &RegionId, tried: &[InstanceId]) -> Vec<Member> {
        let fleet = Arc::clone(&self.fleet.borrow());
        let mut live = Vec::new();
        for member in &fleet.members {
            if member.region != *region || member.health != Health::Live {
                continue;
            }
            if tried.contains(&member.id) {
                continue;
            }
            live.push(member.clone());
        }
        live
    }

    /// Probes a target on a new connection and records the result; returns whether the target
    /// answered.
    pub(super) async fn probe(&self, key: TargetKey, slot: &Slot) -> bool {
        let Some(target) = self.targets.get(slot.plugin()) else {
            return false;
        };
        let answered = target.probe(slot.address()).await;
        let now = self.now();
        let mut state = self.scheduler.lock();
        state
            .routing_state
            .record_probe(now, key, slot.address(), answered);
        answered
    }
}
