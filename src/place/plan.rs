//! Plans the orders that bring targets from the models and adapters they have to those they should
//! have.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::{DEFAULT_VERSION, Obstacle, Order, Progress};
use crate::id::{ModelId, TargetId};

/// The desired placement of one model in a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredModel {
    /// The model.
    pub model: ModelId,
    /// The number of targets that should have the model.
    pub count: u32,
    /// The desired version of the model; `None` if any version will do.
    pub version: Option<SmolStr>,
    /// The adapters that each of these targets should have.
    pub adapters: Vec<SmolStr>,
    /// Whether the model may be loaded now. False while the weight store is known not to have the
    /// version.
    pub version_available: bool,
}

/// The known state of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetState {
    /// The target.
    pub id: TargetId,
    /// The target's address.
    pub address: SocketAddr,
    /// Whether the target is live and not leaving.
    pub live: bool,
    /// The target's models, with their versions where known.
    pub models: BTreeMap<ModelId, Option<SmolStr>>,
    /// The target's adapters.
    pub adapters: BTreeSet<SmolStr>,
    /// The order that is in flight to the target.
    pub order_in_flight: Option<Order>,
    /// Whether the target gets no orders for a while because an order to the target has failed.
    pub backing_off: bool,
}

impl TargetState {
    fn is_idle(&self) -> bool {
        self.live && self.order_in_flight.is_none() && !self.backing_off
    }

    /// Returns whether the target serves a model. A target serves no model during a load.
    fn serves(&self, model: &ModelId) -> bool {
        let load_in_flight = matches!(self.order_in_flight, Some(Order::Load { .. }));
        self.live && !load_in_flight && self.models.contains_key(model)
    }

    fn satisfies(&self, desired: &DesiredModel) -> bool {
        match self.models.get(&desired.model) {
            None => false,
            Some(version) => desired.version.is_none() || *version == desired.version,
        }
    }

    fn is_loading(&self, model: &ModelId) -> bool {
        match &self.order_in_flight {
            Some(Order::Load { model: m, .. }) => self.live && m == model,
            _ => false,
        }
    }
}

/// The next orders, and the progress of the placements.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// The orders by target, at most one for each target.
    pub orders: Vec<(TargetId, Order)>,
    /// The progress of each model.
    pub progress: Vec<Progress>,
}

/// Plans the next orders for the targets of a region.
pub fn plan(desired_models: &[DesiredModel], targets: &[TargetState]) -> Plan {
    let mut planner = Planner {
        desired_models,
        targets: targets.to_vec(),
        plan: Plan::default(),
    };
    for desired in desired_models {
        let obstacle = planner.place_model(desired);
        let placed = planner.count_targets(|t| t.live && t.satisfies(desired));
        planner.plan.progress.push(Progress {
            model: desired.model.clone(),
            wanted: desired.count,
            placed,
            obstacle,
        });
    }
    for desired in desired_models {
        planner.add_adapters(desired);
    }
    planner.remove_adapters();
    planner.plan
}

struct Planner<'a> {
    desired_models: &'a [DesiredModel],
    targets: Vec<TargetState>,
    plan: Plan,
}

impl Planner<'_> {
    /// Orders the loads that a model needs, and returns the obstacle if they cannot all be ordered.
    ///
    /// If a target cannot replace its version because no other target serves its models, the model
    /// is loaded on one more target, provided that another target is free.
    fn place_model(&mut self, desired: &DesiredModel) -> Option<Obstacle> {
        if !desired.version_available {
            return None;
        }
        let Some(obstacle) = self.replace_version(desired) else {
            return self.load_on_more(desired, desired.count);
        };
        let unmet = self.load_on_more(desired, desired.count.max(1) + 1);
        unmet.map(|_| obstacle)
    }

    /// Orders a load on a target that has another version than the desired one. Only one target at
    /// a time replaces its version.
    fn replace_version(&mut self, desired: &DesiredModel) -> Option<Obstacle> {
        if self.targets.iter().any(|t| t.is_loading(&desired.model)) {
            return None;
        }
        let mut obstacle = None;
        for i in 0..self.targets.len() {
            let target = &self.targets[i];
            let is_stale = target.models.contains_key(&desired.model) && !target.satisfies(desired);
            if !is_stale || !target.is_idle() {
                continue;
            }
            if !self.can_reload(i) {
                obstacle = Some(Obstacle::LastServing(target.id.clone()));
                continue;
            }
            self.add_order(i, load_order(desired));
            return None;
        }
        obstacle
    }

    /// Orders loads on more targets until `count` targets have the model.
    fn load_on_more(&mut self, desired: &DesiredModel, count: u32) -> Option<Obstacle> {
        loop {
            let target_count = self.count_targets(|t| {
                t.is_loading(&desired.model) || (t.live && t.models.contains_key(&desired.model))
            });
            if target_count >= count {
                return None;
            }
            let Some(i) = self.candidate(desired) else {
                return Some(Obstacle::NoFreeTarget);
            };
            self.add_order(i, load_order(desired));
        }
    }

    /// Returns the free target with the fewest models. Ties are broken by rendezvous hashing.
    fn candidate(&self, desired: &DesiredModel) -> Option<usize> {
        let mut best = None;
        for (i, target) in self.targets.iter().enumerate() {
            let has_model = target.models.contains_key(&desired.model);
            if has_model || !target.is_idle() || !self.is_surplus(i) {
                continue;
            }
            let rank = (
                target.models.len(),
                rendezvous_score(&desired.model, &target.id),
            );
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Returns whether a target can be reloaded, because another target serves each of its models.
    fn can_reload(&self, i: usize) -> bool {
        let mut models = self.targets[i].models.keys();
        models.all(|m| self.other_targets_serving(i, m) >= 1)
    }

    /// Returns whether the region has enough targets for each model without this target.
    fn is_surplus(&self, i: usize) -> bool {
        for model in self.targets[i].models.keys() {
            let desired = self.desired_models.iter().find(|d| d.model == *model);
            let needed = desired.map_or(1, |d| d.count.max(1));
            if self.other_targets_serving(i, model) < needed {
                return false;
            }
        }
        true
    }

    fn other_targets_serving(&self, i: usize, model: &ModelId) -> u32 {
        let mut serving = 0;
        for (other, target) in self.targets.iter().enumerate() {
            serving += u32::from(other != i && target.serves(model));
        }
        serving
    }

    fn add_adapters(&mut self, desired: &DesiredModel) {
        for i in 0..self.targets.len() {
            let target = &self.targets[i];
            if !target.is_idle() || !target.satisfies(desired) {
                continue;
            }
            let missing = desired
                .adapters
                .iter()
                .find(|a| !target.adapters.contains(*a));
            if let Some(adapter) = missing.cloned() {
                self.add_order(i, Order::AddAdapter(adapter));
            }
        }
    }

    fn remove_adapters(&mut self) {
        for i in 0..self.targets.len() {
            let target = &self.targets[i];
            if !target.is_idle() {
                continue;
            }
            let wanted = |adapter: &SmolStr| {
                self.desired_models
                    .iter()
                    .any(|d| target.models.contains_key(&d.model) && d.adapters.contains(adapter))
            };
            let surplus = target.adapters.iter().find(|a| !wanted(a)).cloned();
            if let Some(adapter) = surplus {
                self.add_order(i, Order::RemoveAdapter(adapter));
            }
        }
    }

    fn add_order(&mut self, i: usize, order: Order) {
        let target = &mut self.targets[i];
        target.order_in_flight = Some(order.clone());
        self.plan.orders.push((target.id.clone(), order));
    }

    fn count_targets(&self, predicate: impl Fn(&TargetState) -> bool) -> u32 {
        let mut count = 0;
        for target in &self.targets {
            count += u32::from(predicate(target));
        }
        count
    }
}

fn load_order(desired: &DesiredModel) -> Order {
    Order::Load {
        model: desired.model.clone(),
        version: desired.version.clone().unwrap_or(DEFAULT_VERSION.into()),
    }
}

fn rendezvous_score(model: &ModelId, target: &TargetId) -> u64 {
    let mut hash = Sha256::new();
    hash.update(model.as_str().as_bytes());
    hash.update([0]);
    hash.update(target.as_str().as_bytes());
    let digest = hash.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}
