//! Acquires the lease on a region's targets and carries out the actions of the controller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::controller::{Action, desired_models};
use super::lease::{LEASE_TTL, LeaseTerm};
use super::record::Record;
use super::{Controller, EngineClient, LeaseCheck, OrderError, Status};
use crate::clock::Clock;
use crate::config::Snapshot;
use crate::entries::is_task_holder;
use crate::id::{InstanceId, ModelId, RegionId, TargetId};
use crate::member::Fleet;
use crate::platform::{LoadResponse, WeightStore};
use crate::store::{LeaseId, Precondition, Store, StoreError, StoreRevision, SwapResult};

/// How often the holder asks the controller for actions.
const TICK_PERIOD: Duration = Duration::from_secs(1);

/// How often the holder renews the lease, and how often other candidates try to acquire it.
const LEASE_CALL_PERIOD: Duration = Duration::from_secs(5);

/// The number of instances in a region that try to acquire its lease.
const LEASE_CANDIDATES: usize = 2;

/// The dependencies of the holder.
pub struct HolderDeps {
    /// This instance.
    pub id: InstanceId,
    /// The region of this instance, whose targets the lease covers.
    pub region: RegionId,
    /// The instance's clock.
    pub clock: Clock,
    /// The configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The fleet.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The weight store. Without one, loads need no permission.
    pub weights: Option<Arc<dyn WeightStore>>,
    /// The client that sends orders to targets.
    pub engine: Arc<dyn EngineClient>,
}

/// Starts a task that tries to acquire the lease. The task ends when the fleet's channel closes.
pub fn spawn_holder(deps: HolderDeps) -> watch::Receiver<Status> {
    let (status, status_rx) = watch::channel(Status::default());
    let (outcome_tx, outcomes) = mpsc::channel(64);
    let holder = Holder {
        held: None,
        last_lease_call: None,
        status,
        outcome_tx,
        deps,
    };
    tokio::spawn(holder.run(outcomes));
    status_rx
}

/// The outcome of an action.
enum ActionOutcome {
    Permission(ModelId, SmolStr, Option<LoadResponse>),
    Order(TargetId, Result<(), OrderError>),
    Poll(TargetId, Option<Vec<SmolStr>>),
}

/// A lease that this instance holds. Dropping it aborts the tasks of its actions.
struct HeldLease {
    id: LeaseId,
    controller: Controller,
    term_tx: watch::Sender<LeaseTerm>,
    saved_record: Record,
    record_revision: Option<StoreRevision>,
    tasks: JoinSet<()>,
}

struct Holder {
    deps: HolderDeps,
    held: Option<HeldLease>,
    last_lease_call: Option<Duration>,
    status: watch::Sender<Status>,
    outcome_tx: mpsc::Sender<(u64, ActionOutcome)>,
}

impl Holder {
    async fn run(mut self, mut outcomes: mpsc::Receiver<(u64, ActionOutcome)>) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.deps.fleet.has_changed().is_ok() {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                Some((fencing, outcome)) = outcomes.recv() => self.handle_outcome(fencing, outcome),
            }
            self.publish_status();
        }
        self.release().await;
    }

    async fn tick(&mut self) {
        let desired_models = desired_models(&self.deps.snapshot.borrow(), &self.deps.region);
        let fleet = Arc::clone(&self.deps.fleet.borrow());
        let lease_task = format!("place/{}", self.deps.region);
        if desired_models.is_empty()
            || !is_task_holder(&fleet, &self.deps.id, &lease_task, LEASE_CANDIDATES)
        {
            self.release().await;
            return;
        }
        self.maintain_lease().await;
        let now = self.deps.clock.now();
        let Some(held) = &mut self.held else {
            return;
        };
        held.controller.set_desired_models(desired_models);
        let is_own_engine = |t: &&_| is_engine(t, &self.deps.region);
        held.controller
            .update_targets(fleet.targets.iter().filter(is_own_engine));
        let actions = held.controller.tick(now);
        self.spawn_actions(actions);
        if self.save_record().await
            && let Some(held) = &mut self.held
        {
            let loads = held.controller.take_recorded_loads();
            self.spawn_actions(loads);
        }
    }

    fn spawn_actions(&mut self, actions: Vec<Action>) {
        let Some(held) = &mut self.held else {
            return;
        };
        for action in actions {
            held.tasks.spawn(run_action(
                action,
                Arc::clone(&self.deps.engine),
                self.deps.weights.clone(),
                lease_check(self.deps.clock, held.term_tx.subscribe()),
                held.controller.term().fencing(),
                self.outcome_tx.clone(),
            ));
        }
        while held.tasks.try_join_next().is_some() {}
    }

    fn handle_outcome(&mut self, fencing: u64, outcome: ActionOutcome) {
        let now = self.deps.clock.now();
        let Some(held) = &mut self.held else {
            return;
        };
        if held.controller.term().fencing() != fencing {
            return;
        }
        match outcome {
            ActionOutcome::Permission(model, version, answer) => {
                held.controller
                    .on_permission_answer(now, &model, &version, answer);
            }
            ActionOutcome::Order(target, result) => {
                let label = match &result {
                    Ok(()) => "done",
                    Err(e) => error_label(e),
                };
                metrics::counter!("limpetstand_placement_orders_total", "end" => label)
                    .increment(1);
                let fenced = result == Err(OrderError::Fenced);
                held.controller.on_order_done(now, &target, result);
                if fenced {
                    log::warn!(
                        "target {target} has seen a higher fencing token; dropping the placement lease"
                    );
                    self.held = None;
                }
            }
            ActionOutcome::Poll(target, names) => held.controller.on_poll_done(now, &target, names),
        }
    }

    /// Renews the lease if this instance holds the lease, and tries to acquire the lease otherwise.
    async fn maintain_lease(&mut self) {
        let now = self.deps.clock.now();
        if let Some(held) = &self.held
            && held.controller.term().is_expired(now)
        {
            log::warn!("placement lease of region {} expired", self.deps.region);
            self.held = None;
        }
        if self
            .last_lease_call
            .is_some_and(|at| now.saturating_sub(at) < LEASE_CALL_PERIOD)
        {
            return;
        }
        self.last_lease_call = Some(now);
        let Some(held) = &mut self.held else {
            if let Ok(Some(held)) = self.acquire().await {
                log::info!(
                    "acquired the placement lease of region {}",
                    self.deps.region
                );
                self.held = Some(held);
            }
            return;
        };
        match self.deps.store.keep_alive(held.id).await {
            Ok(ttl) => {
                held.controller.on_lease_renewed(now, ttl.min(LEASE_TTL));
                held.term_tx.send_replace(held.controller.term());
            }
            Err(StoreError::LeaseExpired) => self.held = None,
            Err(_) => {}
        }
    }

    /// Tries to acquire the lease: reads its key and, if the key is absent, grants a store lease
    /// and creates the key by compare-and-swap.
    async fn acquire(&self) -> Result<Option<HeldLease>, StoreError> {
        let store = &self.deps.store;
        let key = self.store_key("lease");
        if store.get(&key).await?.is_some() {
            return Ok(None);
        }
        let requested_at = self.deps.clock.now();
        let lease = store.grant(LEASE_TTL).await?;
        let value = format!("{}/{}", self.deps.id, lease.number);
        let acquired_revision = match store
            .swap(
                &key,
                Precondition::Absent,
                value.clone().into(),
                Some(lease),
            )
            .await
        {
            Ok(SwapResult::Done(revision)) => Some(revision),
            Ok(SwapResult::Conflict(_)) => None,
            Err(StoreError::ResponseLost(_)) => {
                let found = store.get(&key).await?;
                found
                    .filter(|e| e.value == value.as_bytes())
                    .map(|e| e.mod_revision)
            }
            Err(e) => return Err(e),
        };
        let Some(fencing) = acquired_revision.and_then(|r| u64::try_from(r.number).ok()) else {
            // If this call fails, the store lease expires.
            let _ = store.revoke(lease).await;
            return Ok(None);
        };
        let acquired_at = self.deps.clock.now();
        let entry = store.get(&self.store_key("record")).await?;
        let record_revision = entry.as_ref().map(|e| e.mod_revision);
        let saved_record: Record = entry
            .and_then(|e| serde_json::from_slice(&e.value).ok())
            .unwrap_or_default();
        let term = LeaseTerm::acquired(requested_at, acquired_at, LEASE_TTL, fencing);
        Ok(Some(HeldLease {
            id: lease,
            controller: Controller::new(term, saved_record.clone()),
            term_tx: watch::channel(term).0,
            saved_record,
            record_revision,
            tasks: JoinSet::new(),
        }))
    }

    /// Revokes the lease if no order is in flight. Otherwise the lease is left to expire.
    async fn release(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        if held.controller.orders_in_flight() == 0 {
            let _ = self.deps.store.revoke(held.id).await;
        }
    }

    /// Saves the record if the record has changed, and returns whether the store has the current
    /// record.
    ///
    /// If a write is lost, the next holder may repeat an order.
    async fn save_record(&mut self) -> bool {
        let key = self.store_key("record");
        let Some(held) = &mut self.held else {
            return false;
        };
        let record = held.controller.record();
        if record == held.saved_record {
            return true;
        }
        if !held.controller.term().can_send_order(self.deps.clock.now()) {
            return false;
        }
        let Ok(value) = serde_json::to_vec(&record) else {
            return false;
        };
        let expect = held
            .record_revision
            .map_or(Precondition::Absent, Precondition::Revision);
        match self
            .deps
            .store
            .swap(&key, expect, Bytes::from(value), None)
            .await
        {
            Ok(SwapResult::Done(revision)) => {
                held.record_revision = Some(revision);
                held.saved_record = record;
                return true;
            }
            Ok(SwapResult::Conflict(found)) => held.record_revision = found.map(|e| e.mod_revision),
            Err(_) => {}
        }
        false
    }

    fn store_key(&self, name: &str) -> String {
        format!("/limpetstand/place/{name}/{}", self.deps.region)
    }

    fn publish_status(&self) {
        let status = match &self.held {
            Some(held) => held.controller.status().clone(),
            None => Status::default(),
        };
        for progress in &status.models {
            let model = progress.model.to_string();
            metrics::gauge!("limpetstand_placement_wanted", "model" => model.clone())
                .set(progress.wanted);
            metrics::gauge!("limpetstand_placement_placed", "model" => model).set(progress.placed);
        }
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }
}

/// Returns a check that succeeds while this instance may send an order: the lease, whose term the
/// channel `term` holds, lasts long enough. The check fails once the channel is closed.
fn lease_check(clock: Clock, term: watch::Receiver<LeaseTerm>) -> LeaseCheck {
    Arc::new(move || term.has_changed().is_ok() && term.borrow().can_send_order(clock.now()))
}

fn is_engine(target: &crate::platform::ListedTarget, region: &RegionId) -> bool {
    target.region == *region && target.service.is_none()
}

async fn run_action(
    action: Action,
    engine: Arc<dyn EngineClient>,
    weights: Option<Arc<dyn WeightStore>>,
    lease_check: LeaseCheck,
    fencing: u64,
    outcome_tx: mpsc::Sender<(u64, ActionOutcome)>,
) {
    let outcome = match action {
        Action::RequestPermission { model, version } => {
            let answer = match weights {
                Some(weights) => weights.request_load(&model, &version).await.ok(),
                None => Some(LoadResponse::Ready),
            };
            ActionOutcome::Permission(model, version, answer)
        }
        Action::SendOrder {
            target,
            address,
            order,
            fencing,
        } => ActionOutcome::Order(
            target,
            engine
                .send_order(address, &order, fencing, lease_check)
                .await,
        ),
        Action::Poll { target, address } => {
            ActionOutcome::Poll(target, engine.loaded_names(address).await.ok())
        }
    };
    // The holder's task may have ended, in which case the outcome is not needed.
    let _ = outcome_tx.send((fencing, outcome)).await;
}

fn error_label(e: &OrderError) -> &'static str {
    match e {
        OrderError::NotReached(_) => "not_reached",
        OrderError::LeaseTooShort => "lease_over",
        OrderError::Fenced => "fenced",
        OrderError::Refused(_) => "refused",
        OrderError::Unknown(_) => "unknown",
    }
}
