//! Decides what the holder of a region's lease does next. The controller is a state machine that is
//! given the time and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use super::lease::LeaseTerm;
use super::plan::{DesiredModel, TargetState, plan};
use super::record::Record;
use super::{DEFAULT_VERSION, Obstacle, Order, OrderError, Status};
use crate::config::Snapshot;
use crate::id::{ModelId, RegionId, TargetId};
use crate::platform::{ListedTarget, LoadResponse, ServiceState};

/// How often each target is polled for its models and adapters.
const POLL_PERIOD: Duration = Duration::from_secs(15);

/// The maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 8;

/// The maximum number of concurrent orders.
const MAX_CONCURRENT_ORDERS: usize = 8;

/// How long a target gets no orders after an order has failed. The time doubles with each
/// consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);

/// The longest pause after failed orders, and the longest pause that the weight store can ask for.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// How long a version that the weight store does not have is not requested again.
const UNKNOWN_VERSION_TTL: Duration = Duration::from_secs(60);

/// How long the weight store is not called after a failed call.
const WEIGHT_STORE_BACKOFF: Duration = Duration::from_secs(5);

/// How long a permission to load is valid.
const PERMISSION_TTL: Duration = Duration::from_secs(10);

/// An action for the holder to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Asks the weight store for permission to load a model. The answer goes to
    /// [`Controller::on_permission_answer`].
    RequestPermission {
        /// The model.
        model: ModelId,
        /// The version.
        version: SmolStr,
    },
    /// Sends an order. The result goes to [`Controller::on_order_done`].
    SendOrder {
        /// The target.
        target: TargetId,
        /// The target's address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// The fencing token to send with the order.
        fencing: u64,
    },
    /// Polls a target for its models and adapters. The result goes to
    /// [`Controller::on_poll_done`].
    Poll {
        /// The target.
        target: TargetId,
        /// The target's address.
        address: SocketAddr,
    },
}

/// The weight store's permission for the next load.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
enum LoadPermission {
    #[default]
    NotRequested,
    Requested,
    Granted(ModelId, SmolStr, Duration),
}

/// Bookkeeping on a target that is not part of its [`TargetState`].
#[derive(Debug, Clone, Default)]
struct TargetTracking {
    /// The versions that were last ordered.
    ordered_versions: BTreeMap<ModelId, SmolStr>,
    /// Whether a load has ended and the target has not been polled since then.
    unpolled_since_load: bool,
    failures: u32,
    backoff_until: Duration,
    next_poll: Duration,
    poll_in_flight: bool,
}

/// Decides on the orders of one lease holder.
#[derive(Debug, Clone)]
pub struct Controller {
    term: LeaseTerm,
    inherited: Record,
    desired_models: Vec<DesiredModel>,
    targets: BTreeMap<TargetId, TargetState>,
    tracking: BTreeMap<TargetId, TargetTracking>,
    /// Loads that may start only once the saved record no longer lists the models they replace.
    unrecorded_loads: Vec<Action>,
    permission: LoadPermission,
    permission_retry_at: Duration,
    unknown_versions: BTreeMap<(ModelId, SmolStr), Duration>,
    status: Status,
}

impl Controller {
    /// Creates the controller for a lease just acquired and the record of the former holder.
    pub fn new(term: LeaseTerm, inherited: Record) -> Self {
        Self {
            term,
            inherited,
            desired_models: Vec::new(),
            targets: BTreeMap::new(),
            tracking: BTreeMap::new(),
            unrecorded_loads: Vec::new(),
            permission: LoadPermission::default(),
            permission_retry_at: Duration::ZERO,
            unknown_versions: BTreeMap::new(),
            status: Status::default(),
        }
    }

    /// Returns the term of the lease.
    pub fn term(&self) -> LeaseTerm {
        self.term
    }

    /// Extends the lease after a renewal call made at `requested_at`.
    pub fn on_lease_renewed(&mut self, requested_at: Duration, ttl: Duration) {
        self.term.renew(requested_at, ttl);
    }

    /// Returns the progress of the placements.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// Returns the record of what targets have, to be saved for the next holder.
    pub fn record(&self) -> Record {
        Record::from_states(self.targets.values())
    }

    /// Returns the loads that may start now that the store has the [record](Self::record).
    ///
    /// If a load started before the record was saved, the next holder would read from the record a
    /// version that the load has replaced.
    pub fn take_recorded_loads(&mut self) -> Vec<Action> {
        let mut loads = std::mem::take(&mut self.unrecorded_loads);
        loads.retain(|load| match load {
            Action::SendOrder { target, .. } => self.targets.contains_key(target),
            Action::RequestPermission { .. } | Action::Poll { .. } => false,
        });
        loads
    }

    /// Returns the number of orders in flight.
    pub fn orders_in_flight(&self) -> usize {
        let busy = |s: &&TargetState| s.order_in_flight.is_some();
        self.targets.values().filter(busy).count()
    }

    /// Sets the models that the configuration places in the region.
    pub fn set_desired_models(&mut self, desired_models: Vec<DesiredModel>) {
        self.desired_models = desired_models;
    }

    /// Updates the region's targets from the fleet.
    pub fn update_targets<'a>(&mut self, listed: impl IntoIterator<Item = &'a ListedTarget>) {
        let mut listed_ids = BTreeSet::new();
        for target in listed {
            listed_ids.insert(target.id.clone());
            let live = target.state == ServiceState::Live;
            if let Some(state) = self.targets.get_mut(&target.id) {
                state.address = target.address;
                state.live = live;
                continue;
            }
            let state = self.initial_state(target, live);
            let tracking = self.tracking.entry(target.id.clone()).or_default();
            for (model, version) in &state.models {
                let Some(version) = version else {
                    continue;
                };
                tracking
                    .ordered_versions
                    .insert(model.clone(), version.clone());
            }
            self.targets.insert(target.id.clone(), state);
        }
        self.targets.retain(|id, _| listed_ids.contains(id));
        self.tracking.retain(|id, _| listed_ids.contains(id));
    }

    fn initial_state(&self, target: &ListedTarget, live: bool) -> TargetState {
        let inherited = self
            .inherited
            .target(&target.id)
            .cloned()
            .unwrap_or_default();
        let mut models = inherited.models;
        for model in &target.models {
            models.entry(model.clone()).or_insert(None);
        }
        TargetState {
            id: target.id.clone(),
            address: target.address,
            live,
            models,
            adapters: inherited.adapters,
            order_in_flight: None,
            backing_off: false,
        }
    }

    /// Returns the actions to start now. Returns none while the remaining lease time is too short
    /// to send an order.
    ///
    /// Loads are returned by [`Self::take_recorded_loads`].
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        for state in self.targets.values_mut() {
            let tracking = self.tracking.entry(state.id.clone()).or_default();
            state.backing_off = now < tracking.backoff_until;
        }
        self.unknown_versions.retain(|_, until| now < *until);
        for desired in &mut self.desired_models {
            let version = desired.version.clone().unwrap_or(DEFAULT_VERSION.into());
            desired.version_available = !self
                .unknown_versions
                .contains_key(&(desired.model.clone(), version));
        }
        let targets: Vec<TargetState> = self.targets.values().cloned().collect();
        let plan = plan(&self.desired_models, &targets);
        self.status.fencing = Some(self.term.fencing());
        self.status.models = plan.progress;
        self.report_unknown_versions();
        let mut actions = Vec::new();
        if self.term.can_send_order(now) {
            let has_unpolled_load = self.has_unpolled_load();
            for (target, order) in plan.orders {
                if self.orders_in_flight() >= MAX_CONCURRENT_ORDERS {
                    break;
                }
                if has_unpolled_load && matches!(order, Order::Load { .. }) {
                    continue;
                }
                actions.extend(self.start_order(now, target, order));
            }
            self.add_polls(now, &mut actions);
        }
        self.status.orders = u32::try_from(self.orders_in_flight()).unwrap_or(u32::MAX);
        actions
    }

    /// Returns whether a load has ended on a live target that has not been polled since then.
    fn has_unpolled_load(&self) -> bool {
        let mut tracking = self.tracking.iter();
        tracking
            .any(|(id, t)| t.unpolled_since_load && self.targets.get(id).is_some_and(|s| s.live))
    }

    fn start_order(&mut self, now: Duration, target: TargetId, order: Order) -> Option<Action> {
        if let Order::Load { model, version } = &order
            && !self.consume_permission(now, model, version)
        {
            return self.request_permission(now, model, version);
        }
        let state = self.targets.get_mut(&target)?;
        state.order_in_flight = Some(order.clone());
        let is_load = matches!(order, Order::Load { .. });
        let send = Action::SendOrder {
            address: state.address,
            target,
            order,
            fencing: self.term.fencing(),
        };
        if is_load {
            self.unrecorded_loads.push(send);
            return None;
        }
        Some(send)
    }

    /// Returns whether the weight store has permitted the load of this version of the model. The
    /// permission is then used up, as is a permission that has expired.
    fn consume_permission(&mut self, now: Duration, model: &ModelId, version: &SmolStr) -> bool {
        let LoadPermission::Granted(m, v, until) = &self.permission else {
            return false;
        };
        let is_permitted = m == model && v == version && now < *until;
        if is_permitted || now >= *until {
            self.permission = LoadPermission::NotRequested;
        }
        is_permitted
    }

    fn request_permission(
        &mut self,
        now: Duration,
        model: &ModelId,
        version: &SmolStr,
    ) -> Option<Action> {
        let model_version = (model.clone(), version.clone());
        if self.permission != LoadPermission::NotRequested || now < self.permission_retry_at {
            return None;
        }
        self.permission = LoadPermission::Requested;
        let (model, version) = model_version;
        Some(Action::RequestPermission { model, version })
    }

    fn add_polls(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut polls_in_flight = self.tracking.values().filter(|t| t.poll_in_flight).count();
        for state in self.targets.values() {
            let Some(tracking) = self.tracking.get_mut(&state.id) else {
                continue;
            };
            let due = !tracking.poll_in_flight
                && now >= tracking.next_poll
                && state.order_in_flight.is_none();
            if !due || !state.live || polls_in_flight >= MAX_CONCURRENT_POLLS {
                continue;
            }
            polls_in_flight += 1;
            tracking.poll_in_flight = true;
            actions.push(Action::Poll {
                target: state.id.clone(),
                address: state.address,
            });
        }
    }

    fn report_unknown_versions(&mut self) {
        for progress in &mut self.status.models {
            let mut versions = self
                .unknown_versions
                .keys()
                .filter(|(m, _)| *m == progress.model);
            if let Some((_, version)) = versions.next() {
                progress.obstacle = Some(Obstacle::NoSuchVersion(version.clone()));
            }
        }
    }

    /// Handles the weight store's answer to a permission request; `None` if the call failed.
    pub fn on_permission_answer(
        &mut self,
        now: Duration,
        model: &ModelId,
        version: &SmolStr,
        answer: Option<LoadResponse>,
    ) {
        self.permission = LoadPermission::NotRequested;
        match answer {
            Some(LoadResponse::Ready) => {
                self.permission =
                    LoadPermission::Granted(model.clone(), version.clone(), now + PERMISSION_TTL);
            }
            Some(LoadResponse::RateLimited(wait)) => {
                self.permission_retry_at = now + wait.min(MAX_BACKOFF);
            }
            Some(LoadResponse::Unknown) => {
                let model_version = (model.clone(), version.clone());
                self.unknown_versions
                    .insert(model_version, now + UNKNOWN_VERSION_TTL);
            }
            None => self.permission_retry_at = now + WEIGHT_STORE_BACKOFF,
        }
    }

    /// Handles the result of an order.
    pub fn on_order_done(
        &mut self,
        now: Duration,
        target: &TargetId,
        result: Result<(), OrderError>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let Some(order) = state.order_in_flight.take() else {
            return;
        };
        let tracking = self.tracking.entry(target.clone()).or_default();
        tracking.next_poll = now;
        match result {
            Ok(()) => {
                tracking.failures = 0;
                apply_order(state, tracking, order);
            }
            Err(e) => {
                tracking.backoff_until = now + backoff(tracking.failures);
                tracking.failures += 1;
                state.backing_off = true;
                if !leaves_target_unchanged(&e) {
                    apply_uncertain_order(state, tracking, &order);
                }
            }
        }
    }

    /// Handles the names that a polled target has loaded; `None` if the poll failed.
    pub fn on_poll_done(&mut self, now: Duration, target: &TargetId, names: Option<Vec<SmolStr>>) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let tracking = self.tracking.entry(target.clone()).or_default();
        tracking.poll_in_flight = false;
        tracking.next_poll = now + POLL_PERIOD;
        if state.order_in_flight.is_some() {
            return;
        }
        tracking.unpolled_since_load = false;
        let Some(names) = names else {
            return;
        };
        state.models.clear();
        let mut adapters = BTreeSet::new();
        for name in names {
            if state.adapters.contains(&name) || is_adapter(&self.desired_models, &name) {
                adapters.insert(name);
                continue;
            }
            let model = ModelId::from(name.as_str());
            let version = tracking.ordered_versions.get(&model).cloned();
            state.models.insert(model, version);
        }
        state.adapters = adapters;
        let models = &state.models;
        tracking
            .ordered_versions
            .retain(|m, _| models.contains_key(m));
    }
}

/// Returns the models that the configuration places in a region.
pub fn desired_models(snapshot: &Snapshot, region: &RegionId) -> Vec<DesiredModel> {
    let mut desired_models = Vec::new();
    for (model, placement) in &snapshot.merged.placements {
        let Some(count) = placement.targets.get(region) else {
            continue;
        };
        desired_models.push(DesiredModel {
            model: model.clone(),
            count: *count,
            version: placement.version.clone(),
            adapters: placement.adapters.clone(),
            version_available: true,
        });
    }
    desired_models
}

fn is_adapter(desired_models: &[DesiredModel], name: &SmolStr) -> bool {
    desired_models.iter().any(|d| d.adapters.contains(name))
}

/// Updates the known state of a target on the assumption that the target has carried out an order.
/// An engine may have unloaded other models for a load, so the state has only the loaded model
/// until the next poll.
fn apply_order(state: &mut TargetState, tracking: &mut TargetTracking, order: Order) {
    match order {
        Order::Load { model, version } => {
            tracking
                .ordered_versions
                .insert(model.clone(), version.clone());
            tracking.unpolled_since_load = true;
            state.models.clear();
            state.models.insert(model, Some(version));
        }
        Order::AddAdapter(adapter) => drop(state.adapters.insert(adapter)),
        Order::RemoveAdapter(adapter) => drop(state.adapters.remove(&adapter)),
    }
}

/// Updates the known state of a target for an order that the target may have carried out. A load
/// that failed may have unloaded the target's models, so the state has no models until the next
/// poll.
fn apply_uncertain_order(state: &mut TargetState, tracking: &mut TargetTracking, order: &Order) {
    if let Order::Load { model, .. } = order {
        tracking.ordered_versions.remove(model);
        tracking.unpolled_since_load = true;
        state.models.clear();
    }
}

fn leaves_target_unchanged(e: &OrderError) -> bool {
    match e {
        OrderError::NotReached(_) | OrderError::LeaseTooShort | OrderError::Fenced => true,
        OrderError::Refused(status) => *status < 500,
        OrderError::Unknown(_) => false,
    }
}

fn backoff(failures: u32) -> Duration {
    let doubled = INITIAL_BACKOFF.saturating_mul(1 << failures.min(10));
    doubled.min(MAX_BACKOFF)
}
