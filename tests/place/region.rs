//! A simulation in virtual time of a region's targets, a store with a lease, and holders that
//! compete for the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use limpetstand::id::TargetId;
use limpetstand::place::controller::Action;
use limpetstand::place::lease::{DELIVERY_TIMEOUT, LEASE_TTL, LeaseTerm};
use limpetstand::place::plan::DesiredModel;
use limpetstand::place::record::Record;
use limpetstand::place::{Controller, Order, OrderError};
use limpetstand::platform::{ListedTarget, LoadResponse, ServiceState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

const RENEWAL_PERIOD: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

/// The true state of a target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Engine {
    pub(crate) models: BTreeMap<SmolStr, SmolStr>,
    pub(crate) adapters: BTreeSet<SmolStr>,
    pub(crate) leaving: bool,
    pub(crate) ignores_fencing: bool,
    pub(crate) loses_answers: bool,
    pub(crate) fencing: u64,
    pub(crate) loading: bool,
}

pub(crate) struct Holder {
    pub(crate) paused: bool,
    controller: Option<Controller>,
    lease: u64,
    next_lease_call: Duration,
}

enum Event {
    OrderArrives {
        holder: String,
        target: String,
        order: Order,
        fencing: u64,
    },
    ActionEnds {
        holder: String,
        fencing: u64,
        outcome: Outcome,
    },
}

#[derive(Clone)]
enum Outcome {
    Order(TargetId, Result<(), OrderError>),
    Poll(TargetId, Option<Vec<SmolStr>>),
    Permission(String, SmolStr, Option<LoadResponse>),
}

pub(crate) struct Region {
    pub(crate) now: Duration,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) holders: BTreeMap<String, Holder>,
    pub(crate) desired_models: Vec<DesiredModel>,
    pub(crate) store_down: bool,
    pub(crate) download_interval: Duration,
    pub(crate) log: Vec<String>,
    pub(crate) downloads: u32,
    pub(crate) last_disturbance: Duration,
    next_download: Duration,
    lease: Option<(String, u64, Duration)>,
    record: Record,
    revision: u64,
    events: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    rng: SmallRng,
}

impl Region {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            engines: BTreeMap::new(),
            holders: BTreeMap::new(),
            desired_models: Vec::new(),
            store_down: false,
            download_interval: Duration::ZERO,
            log: Vec::new(),
            downloads: 0,
            last_disturbance: Duration::ZERO,
            next_download: Duration::ZERO,
            lease: None,
            record: Record::default(),
            revision: 0,
            events: BTreeMap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn add_holder(&mut self, name: &str) {
        let holder = Holder {
            paused: false,
            controller: None,
            lease: 0,
            next_lease_call: self.now,
        };
        self.holders.insert(name.to_owned(), holder);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += SECOND;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            if self.lease.as_ref().is_some_and(|l| l.2 <= self.now) {
                self.lease = None;
            }
            let names: Vec<String> = self.holders.keys().cloned().collect();
            for name in names {
                if !self.holders[&name].paused {
                    self.tick_holder(&name);
                }
            }
        }
    }

    /// Runs one tick of a holder as the gateway does: maintains the lease, then starts actions.
    fn tick_holder(&mut self, name: &str) {
        self.maintain_lease(name);
        let listed = self.listed_targets();
        let now = self.now;
        let desired_models = self.desired_models.clone();
        let Some(controller) = self.controller(name) else {
            return;
        };
        controller.set_desired_models(desired_models);
        controller.update_targets(&listed);
        let mut actions = controller.tick(now);
        let fencing = controller.term().fencing();
        let record = controller.record();
        if !self.store_down {
            actions.extend(self.controller(name).unwrap().take_recorded_loads());
            self.record = record;
        }
        for action in actions {
            self.start_action(name, fencing, action);
        }
    }

    fn controller(&mut self, name: &str) -> Option<&mut Controller> {
        self.holders.get_mut(name)?.controller.as_mut()
    }

    fn maintain_lease(&mut self, name: &str) {
        let now = self.now;
        let holder = self.holders.get_mut(name).unwrap();
        if holder
            .controller
            .as_ref()
            .is_some_and(|c| c.term().is_expired(now))
        {
            holder.controller = None;
        }
        if now < holder.next_lease_call || self.store_down {
            return;
        }
        holder.next_lease_call = now + RENEWAL_PERIOD;
        if let Some(controller) = &mut holder.controller {
            match &mut self.lease {
                Some((_, fencing, until)) if *fencing == holder.lease => {
                    *until = now + LEASE_TTL;
                    controller.on_lease_renewed(now, LEASE_TTL);
                }
                _ => holder.controller = None,
            }
            return;
        }
        if self.lease.is_some() {
            return;
        }
        self.revision += 1;
        holder.lease = self.revision;
        self.lease = Some((name.to_owned(), self.revision, now + LEASE_TTL));
        let term = LeaseTerm::acquired(now, now, LEASE_TTL, self.revision);
        holder.controller = Some(Controller::new(term, self.record.clone()));
    }

    fn start_action(&mut self, name: &str, fencing: u64, action: Action) {
        let holder = name.to_owned();
        match action {
            Action::RequestPermission { model, version } => {
                let outcome = self.request_download(&version);
                let outcome = Outcome::Permission(model.to_string(), version, Some(outcome));
                self.schedule(
                    SECOND,
                    Event::ActionEnds {
                        holder,
                        fencing,
                        outcome,
                    },
                );
            }
            Action::Poll { target, .. } => {
                let outcome = Outcome::Poll(target.clone(), self.names(target.as_str()));
                self.schedule(
                    SECOND,
                    Event::ActionEnds {
                        holder,
                        fencing,
                        outcome,
                    },
                );
            }
            Action::SendOrder {
                target,
                order,
                fencing,
                ..
            } => {
                self.check_serving(target.as_str(), &order);
                let delay = self.rng.random_range(Duration::ZERO..DELIVERY_TIMEOUT);
                let target = target.as_str().to_owned();
                self.schedule(
                    delay,
                    Event::OrderArrives {
                        holder,
                        target,
                        order,
                        fencing,
                    },
                );
            }
        }
    }

    fn request_download(&mut self, version: &str) -> LoadResponse {
        if version.starts_with("bad") {
            return LoadResponse::Unknown;
        }
        if self.now < self.next_download {
            return LoadResponse::RateLimited(self.next_download - self.now);
        }
        self.next_download = self.now + self.download_interval;
        self.downloads += 1;
        LoadResponse::Ready
    }

    fn names(&self, target: &str) -> Option<Vec<SmolStr>> {
        let engine = self.engines.get(target)?;
        Some(
            engine
                .models
                .keys()
                .chain(&engine.adapters)
                .cloned()
                .collect(),
        )
    }

    /// Checks that every model of a target that gets a load is served by another target too.
    fn check_serving(&mut self, target: &str, order: &Order) {
        if !matches!(order, Order::Load { .. }) {
            return;
        }
        let settled = self.now >= self.last_disturbance + Duration::from_secs(60);
        for model in self.engines[target].models.keys() {
            let mut others = self.engines.iter();
            let served = others.any(|(name, e)| {
                name != target && !e.leaving && !e.loading && e.models.contains_key(model)
            });
            assert!(
                served || !settled,
                "{order:?} interrupts {target}, the last target that serves {model}"
            );
        }
        self.engines.get_mut(target).unwrap().loading = true;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::OrderArrives {
                holder,
                target,
                order,
                fencing,
            } => {
                let Some(result) = self.deliver_order(&holder, &target, &order, fencing) else {
                    return;
                };
                let outcome = Outcome::Order(target.as_str().into(), result);
                self.schedule(
                    SECOND,
                    Event::ActionEnds {
                        holder,
                        fencing,
                        outcome,
                    },
                );
            }
            Event::ActionEnds {
                holder,
                fencing,
                outcome,
            } => self.deliver_outcome(&holder, fencing, outcome),
        }
    }

    fn deliver_order(
        &mut self,
        holder: &str,
        target: &str,
        order: &Order,
        fencing: u64,
    ) -> Option<Result<(), OrderError>> {
        let engine = self.engines.get_mut(target)?;
        engine.loading = false;
        assert!(
            fencing >= engine.fencing,
            "an order with fencing token {fencing} reached {target} after one with token {}",
            engine.fencing
        );
        if fencing < engine.fencing && !engine.ignores_fencing {
            return Some(Err(OrderError::Fenced));
        }
        engine.fencing = fencing;
        self.log
            .push(format!("{holder} {target} {}", describe(order)));
        match order {
            Order::Load { model, version } => {
                engine.models.clear();
                engine.models.insert(model.as_str().into(), version.clone());
            }
            Order::AddAdapter(adapter) => drop(engine.adapters.insert(adapter.clone())),
            Order::RemoveAdapter(adapter) => drop(engine.adapters.remove(adapter)),
        }
        if engine.loses_answers {
            return Some(Err(OrderError::Unknown("lost".to_owned())));
        }
        Some(Ok(()))
    }

    fn deliver_outcome(&mut self, holder: &str, fencing: u64, outcome: Outcome) {
        let now = self.now;
        if self.holders[holder].paused {
            self.schedule(
                SECOND,
                Event::ActionEnds {
                    holder: holder.to_owned(),
                    fencing,
                    outcome,
                },
            );
            return;
        }
        let Some(controller) = self.controller(holder) else {
            return;
        };
        if controller.term().fencing() != fencing {
            return;
        }
        match outcome {
            Outcome::Order(target, result) => controller.on_order_done(now, &target, result),
            Outcome::Poll(target, names) => controller.on_poll_done(now, &target, names),
            Outcome::Permission(model, version, outcome) => {
                controller.on_permission_answer(now, &model.into(), &version, outcome);
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.seq += 1;
        self.events.insert((self.now + delay, self.seq), event);
    }

    fn listed_targets(&self) -> Vec<ListedTarget> {
        let mut listed = Vec::new();
        for (name, engine) in &self.engines {
            listed.push(ListedTarget {
                id: name.as_str().into(),
                address: ([127, 0, 0, 1], 9_000).into(),
                region: "a".into(),
                data_centre: "a-1".into(),
                state: if engine.leaving {
                    ServiceState::Leaving
                } else {
                    ServiceState::Live
                },
                plugin: "openai".into(),
                models: engine.models.keys().map(|m| m.as_str().into()).collect(),
                service: None,
                capacity: 100.0,
                slots: 8,
                price: 1.0,
            });
        }
        listed
    }

    /// Returns the progress of each holder that has a controller.
    pub(crate) fn status(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for (name, holder) in &self.holders {
            let Some(controller) = &holder.controller else {
                continue;
            };
            let mut line = format!("holder {name}");
            for progress in &controller.status().models {
                line += &format!(
                    " {} {}/{}",
                    progress.model, progress.placed, progress.wanted
                );
                if let Some(obstacle) = &progress.obstacle {
                    line += &format!(" {obstacle:?}");
                }
            }
            lines.push(line);
        }
        lines
    }
}

fn describe(order: &Order) -> String {
    match order {
        Order::Load { model, version } => format!("load {model}:{version}"),
        Order::AddAdapter(adapter) => format!("add {adapter}"),
        Order::RemoveAdapter(adapter) => format!("remove {adapter}"),
    }
}
