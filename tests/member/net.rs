//! A simulated network of views in virtual time, with delays, loss, duplicates and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use limpetstand::id::InstanceId;
use limpetstand::member::indirect::ProbeResult;
use limpetstand::member::status::{Brief, Card, Difference, Heartbeat};
use limpetstand::member::table::MemberKey;
use limpetstand::member::view::{Action, HEARTBEAT_PERIOD, View};
use limpetstand::member::wire::{BriefWire, DifferenceWire, HeartbeatWire, Reply, Request};
use limpetstand::member::{Fleet, Health};
use limpetstand::peer::{decode, encode};
use limpetstand::platform::{ListedInstance, ListedTarget, Listing, ServiceState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Timeout of a prober for the instance that it probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of a heartbeat: one packet on Ethernet.
const MAX_BEAT_BYTES: usize = 1_400;

pub(crate) struct Node {
    pub(crate) view: View,
    rng: SmallRng,
    pub(crate) started_at: Duration,
    next_tick: Duration,
    next_list: Duration,
    pub(crate) running: bool,
    pub(crate) frozen: bool,
    seen_leaving: BTreeSet<(InstanceId, u64)>,
    seen: BTreeMap<InstanceId, u64>,
}

#[derive(Clone)]
struct Pending {
    asker: String,
    incarnation: u64,
    action: Action,
    sent: Duration,
}

enum Event {
    Arrives {
        request: Vec<u8>,
        to: String,
        from: String,
        call: u64,
    },
    Answers {
        reply: Vec<u8>,
        call: u64,
    },
    GivesUp {
        call: u64,
    },
}

/// A heartbeat sent by a prober; `outer` is the call of the instance that asked for the probe.
struct Probe {
    prober: String,
    to: MemberKey,
    outer: u64,
}

impl Node {
    fn next_timer(&self) -> Duration {
        self.next_tick.min(self.next_list)
    }

    fn is_due(&self, at: Duration) -> bool {
        self.running && !self.frozen && self.next_timer() == at
    }
}

pub(crate) struct Net {
    pub(crate) now: Duration,
    pub(crate) nodes: BTreeMap<String, Node>,
    names: BTreeMap<SocketAddr, String>,
    timer: Option<(Duration, String)>,
    pub(crate) listing: Listing,
    pub(crate) list_down: BTreeSet<String>,
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) blocked: BTreeSet<(String, String)>,
    pub(crate) cut: BTreeSet<String>,
    pub(crate) sent_bytes: u64,
    pub(crate) sent_messages: u64,
    events: BTreeMap<(Duration, u64), Event>,
    held: Vec<(String, Event)>,
    pending: BTreeMap<u64, Pending>,
    probes: BTreeMap<u64, Probe>,
    next: u64,
    rng: SmallRng,
    incarnations: u64,
}

impl Net {
    pub(crate) fn of(seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            names: BTreeMap::new(),
            timer: None,
            listing: Listing::default(),
            list_down: BTreeSet::new(),
            loss: 0.0,
            duplicates: 0.0,
            blocked: BTreeSet::new(),
            cut: BTreeSet::new(),
            sent_bytes: 0,
            sent_messages: 0,
            events: BTreeMap::new(),
            held: Vec::new(),
            pending: BTreeMap::new(),
            probes: BTreeMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
            incarnations: 1_000,
        }
    }

    /// Starts an instance; its region is its name without the trailing digits.
    pub(crate) fn start(&mut self, name: &str) {
        self.incarnations += 1;
        let view = View::of(name.into(), card(name), self.incarnations);
        let phase = HEARTBEAT_PERIOD.mul_f64(self.rng.random());
        let node = Node {
            view,
            rng: SmallRng::seed_from_u64(self.rng.random()),
            started_at: self.now,
            next_tick: self.now + phase,
            next_list: self.now,
            running: true,
            frozen: false,
            seen_leaving: BTreeSet::new(),
            seen: BTreeMap::new(),
        };
        self.timer = None;
        let address = card(name).peer;
        let other = self.names.insert(address, name.to_owned());
        assert!(other.is_none_or(|other| other == name), "{address} twice");
        self.nodes.insert(name.to_owned(), node);
    }

    pub(crate) fn list(&mut self, name: &str, state: ServiceState) {
        self.unlist(name);
        let card = card(name);
        self.listing.instances.push(ListedInstance {
            id: name.into(),
            front: card.front,
            peer: card.peer,
            region: card.region,
            data_centre: card.data_centre,
            state,
        });
    }

    pub(crate) fn unlist(&mut self, name: &str) {
        self.listing.instances.retain(|i| i.id.as_str() != name);
    }

    pub(crate) fn list_target(&mut self, name: &str, state: ServiceState) {
        self.listing.targets.retain(|t| t.id.as_str() != name);
        self.listing.targets.push(target(name, state));
    }

    pub(crate) fn crash(&mut self, name: &str) {
        self.nodes.get_mut(name).expect("present").running = false;
    }

    pub(crate) fn freeze(&mut self, name: &str) {
        self.nodes.get_mut(name).expect("present").frozen = true;
    }

    pub(crate) fn thaw(&mut self, name: &str) {
        self.timer = None;
        self.nodes.get_mut(name).expect("present").frozen = false;
        let (freed, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(of, _)| of == name);
        self.held = held;
        for (_, event) in freed {
            self.at(self.now, event);
        }
    }

    pub(crate) fn leave(&mut self, name: &str) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("present");
        let actions = node.view.leave(now - node.started_at, &mut node.rng);
        self.perform(name, actions);
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = (&String, &Node)> {
        self.nodes.iter().filter(|(_, n)| n.running && !n.frozen)
    }

    pub(crate) fn fleet(&self, name: &str) -> Fleet {
        let node = &self.nodes[name];
        node.view.fleet(self.now - node.started_at)
    }

    pub(crate) fn run(&mut self, time: Duration) {
        self.advance(time);
        self.check();
    }

    /// Lets time pass without checking the invariants.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    fn step(&mut self, end: Duration) -> bool {
        let event = self.events.keys().next().map(|k| k.0);
        let due = self.next_timer();
        let event_first = event.is_some_and(|e| due.as_ref().is_none_or(|(t, _)| e <= *t));
        let at = if event_first {
            event
        } else {
            due.as_ref().map(|d| d.0)
        };
        if at.is_none_or(|at| at > end) {
            return false;
        }
        self.now = self.now.max(at.expect("present"));
        if event_first {
            let (_, event) = self.events.pop_first().expect("present");
            self.handle(event);
        } else {
            self.run_timers(&due.expect("present").1);
        }
        true
    }

    /// Returns the instance whose timer is due next. Only timers, starts and stops change it, so
    /// that messages need not look at all instances.
    fn next_timer(&mut self) -> Option<(Duration, String)> {
        if let Some((at, name)) = &self.timer
            && self.nodes[name].is_due(*at)
        {
            return self.timer.clone();
        }
        let due = self.running().map(|(name, n)| (n.next_timer(), name));
        self.timer = due.min().map(|(at, name)| (at, name.clone()));
        self.timer.clone()
    }

    fn run_timers(&mut self, name: &str) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("present");
        let local = now - node.started_at;
        if node.next_list <= now {
            node.next_list = now + Duration::from_secs(1);
            if !self.list_down.contains(name) {
                let listing = self.listing.clone();
                node.view
                    .apply_list(local, &mut node.rng, listing, Duration::ZERO);
            }
            return;
        }
        node.next_tick = now + HEARTBEAT_PERIOD;
        let actions = node.view.tick(local, &mut node.rng);
        self.perform(name, actions);
    }

    fn perform(&mut self, name: &str, actions: Vec<Action>) {
        for action in actions {
            let node = &self.nodes[name];
            let pending = Pending {
                asker: name.to_owned(),
                incarnation: incarnation(&node.view),
                sent: self.now - node.started_at,
                action: action.clone(),
            };
            let (to, request, timeout) = self.message(action);
            let call = self.call(name, &to, &request, timeout);
            self.pending.insert(call, pending);
        }
    }

    fn message(&self, action: Action) -> (String, Request, Duration) {
        match action {
            Action::SendHeartbeat {
                address,
                heartbeat,
                timeout,
                ..
            } => (
                self.name_at(address),
                Request::Beat(Box::new(HeartbeatWire::from(&*heartbeat))),
                timeout,
            ),
            Action::ProbeVia {
                prober,
                id,
                timeout,
                ..
            } => (
                self.name_at(prober),
                Request::Try(id.as_str().into()),
                timeout,
            ),
            Action::CompareTables {
                address,
                briefs,
                timeout,
                ..
            } => {
                let briefs = briefs.iter().map(BriefWire::from).collect();
                (self.name_at(address), Request::Compare(briefs), timeout)
            }
            Action::FetchList { address, timeout } => {
                (self.name_at(address), Request::List, timeout)
            }
        }
    }

    fn name_at(&self, at: SocketAddr) -> String {
        self.names.get(&at).cloned().unwrap_or_default()
    }

    fn call(&mut self, from: &str, to: &str, request: &Request, timeout: Duration) -> u64 {
        let call = self.seq();
        let bytes = encode(request).expect("present").to_vec();
        if matches!(request, Request::Beat(_)) {
            assert!(bytes.len() <= MAX_BEAT_BYTES, "{} bytes", bytes.len());
        }
        self.at(self.now + timeout, Event::GivesUp { call });
        let copies = 1 + u8::from(self.rng.random_bool(self.duplicates));
        for _ in 0..copies {
            let event = Event::Arrives {
                request: bytes.clone(),
                to: to.to_owned(),
                from: from.to_owned(),
                call,
            };
            self.send(from, to, bytes.len(), event);
        }
        call
    }

    fn send(&mut self, from: &str, to: &str, bytes: usize, event: Event) {
        self.sent_bytes += bytes as u64;
        self.sent_messages += 1;
        let apart = region(from) != region(to);
        let cut = apart && (self.cut.contains(region(from)) || self.cut.contains(region(to)));
        let blocked = self.blocked.contains(&(from.to_owned(), to.to_owned()));
        if cut || blocked || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = if apart { 80 } else { 1 };
        let jitter = self.rng.random_range(0..=delay / 2);
        self.at(self.now + Duration::from_millis(delay + jitter), event);
    }

    fn handle(&mut self, event: Event) {
        let owner = match &event {
            Event::Arrives { to, .. } => to.clone(),
            Event::Answers { call, .. } | Event::GivesUp { call } => {
                let probe = self.probes.get(call).map(|t| t.prober.clone());
                let asker = self.pending.get(call).map(|p| p.asker.clone());
                match probe.or(asker) {
                    Some(owner) => owner,
                    None => return,
                }
            }
        };
        let Some(node) = self.nodes.get(&owner) else {
            return;
        };
        if !node.running {
            return;
        }
        if node.frozen {
            self.held.push((owner, event));
            return;
        }
        match event {
            Event::Arrives {
                request,
                to,
                from,
                call,
            } => self.arrives(&request, &to, &from, call),
            Event::Answers { reply, call } => {
                self.ends(call, Some(decode(&reply).expect("present")));
            }
            Event::GivesUp { call } => self.ends(call, None),
        }
    }

    fn arrives(&mut self, request: &[u8], to: &str, from: &str, call: u64) {
        let now = self.now;
        let node = self.nodes.get_mut(to).expect("present");
        let local = now - node.started_at;
        let reply = match decode::<Request>(request).expect("present") {
            Request::Beat(wire) => {
                let heartbeat = Heartbeat::try_from(*wire).expect("present");
                let answer = node.view.on_heartbeat(local, &mut node.rng, &heartbeat);
                Reply::Beat(Box::new(HeartbeatWire::from(&answer)))
            }
            Request::Compare(briefs) => {
                let mut all: Vec<Brief> = Vec::new();
                for brief in briefs {
                    all.push(brief.try_into().expect("present"));
                }
                Reply::Difference(DifferenceWire::from(&node.view.difference(&all)))
            }
            Request::List => {
                let (listing, read) = node.view.listing();
                let age = read.map(|r| u64::try_from((local - r).as_millis()).expect("present"));
                Reply::List(age.map(|age| (listing.into(), age)))
            }
            Request::Try(id) => {
                let probe = node.view.probe_for_peer(local, &id.as_str().into());
                let Some(action) = probe else {
                    return;
                };
                let Action::SendHeartbeat { to: key, .. } = &action else {
                    return;
                };
                let key = *key;
                let (at, request, timeout) = self.message(action);
                let inner = self.call(to, &at, &request, timeout.min(PROBE_TIMEOUT));
                let prober = to.to_owned();
                self.probes.insert(
                    inner,
                    Probe {
                        prober,
                        to: key,
                        outer: call,
                    },
                );
                return;
            }
        };
        self.reply(to, from, &reply, call);
    }

    fn reply(&mut self, from: &str, to: &str, reply: &Reply, call: u64) {
        let reply = encode(reply).expect("present").to_vec();
        self.send(from, to, reply.len(), Event::Answers { reply, call });
    }

    fn ends(&mut self, call: u64, reply: Option<Reply>) {
        if let Some(probe) = self.probes.remove(&call) {
            self.probe_ends(probe, reply);
            return;
        }
        let Some(pending) = self.pending.remove(&call) else {
            return;
        };
        let now = self.now;
        let node = self.nodes.get_mut(&pending.asker).expect("present");
        if incarnation(&node.view) != pending.incarnation {
            return;
        }
        let (view, rng) = (&mut node.view, &mut node.rng);
        let local = now - node.started_at;
        let actions = match (pending.action, reply) {
            (Action::SendHeartbeat { to, .. }, Some(Reply::Beat(wire))) => {
                view.on_answer(local, rng, to, &(*wire).try_into().expect("present"))
            }
            (Action::SendHeartbeat { to, .. }, _) => {
                view.on_no_answer(local, rng, to, pending.sent)
            }
            (Action::ProbeVia { subject, .. }, reply) => {
                let result = match reply {
                    Some(Reply::Tried(true)) => ProbeResult::Reached,
                    Some(Reply::Tried(false)) => ProbeResult::NotReached,
                    _ => ProbeResult::ProberFailed,
                };
                view.on_probe_result(local, subject, result);
                Vec::new()
            }
            (Action::CompareTables { with, .. }, Some(Reply::Difference(wire))) => {
                let difference: Difference = wire.try_into().expect("present");
                view.on_difference(local, rng, with, &difference);
                Vec::new()
            }
            (Action::CompareTables { with, .. }, _) => {
                view.on_compare_failure(local, with);
                Vec::new()
            }
            (Action::FetchList { .. }, Some(Reply::List(Some((wire, age))))) => {
                let age = Duration::from_millis(age);
                view.apply_list(local, rng, wire.try_into().expect("present"), age);
                Vec::new()
            }
            (Action::FetchList { .. }, _) => Vec::new(),
        };
        self.perform(&pending.asker, actions);
    }

    fn probe_ends(&mut self, probe: Probe, reply: Option<Reply>) {
        let now = self.now;
        let node = self.nodes.get_mut(&probe.prober).expect("present");
        let local = now - node.started_at;
        let reached = match reply {
            Some(Reply::Beat(wire)) => {
                let heartbeat = (*wire).try_into().expect("present");
                let actions = node
                    .view
                    .on_answer(local, &mut node.rng, probe.to, &heartbeat);
                self.perform(&probe.prober, actions);
                true
            }
            _ => {
                node.view.on_probe_failure(local, probe.to);
                false
            }
        };
        let Some(asker) = self.pending.get(&probe.outer).map(|p| p.asker.clone()) else {
            return;
        };
        self.reply(&probe.prober, &asker, &Reply::Tried(reached), probe.outer);
    }

    fn at(&mut self, at: Duration, event: Event) {
        let seq = self.seq();
        self.events.insert((at, seq), event);
    }

    fn seq(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Checks the invariants of the fleet of each running instance.
    fn check(&mut self) {
        let names: Vec<String> = self.running().map(|(name, _)| name.clone()).collect();
        for name in names {
            let fleet = self.fleet(&name);
            let node = self.nodes.get_mut(&name).expect("present");
            assert_eq!(
                fleet.members[0].id.as_str(),
                name,
                "the first member is not the instance itself"
            );
            assert!(
                matches!(fleet.members[0].health, Health::Live | Health::Leaving),
                "{name} reports itself as {:?}",
                fleet.members[0].health
            );
            for member in &fleet.members {
                let known = node.seen.entry(member.id.clone()).or_insert(0);
                assert!(member.incarnation >= *known, "an incarnation decreased");
                *known = member.incarnation;
                let life = (member.id.clone(), member.incarnation);
                if member.health == Health::Leaving && member.incarnation > 0 {
                    node.seen_leaving.insert(life);
                } else if node.seen_leaving.contains(&life) {
                    assert_ne!(
                        member.health,
                        Health::Live,
                        "{} is live again after leaving, in the same incarnation",
                        member.id
                    );
                }
            }
            let ids: BTreeSet<_> = fleet.members.iter().map(|m| &m.id).collect();
            node.seen.retain(|id, _| ids.contains(id));
        }
    }
}

pub(crate) fn incarnation(view: &View) -> u64 {
    view.table().own_row().status.announcement.incarnation
}

pub(crate) fn region(name: &str) -> &str {
    name.trim_end_matches(|c: char| c.is_ascii_digit())
}

pub(crate) fn card(name: &str) -> Card {
    let mut port = 0_u16;
    for byte in name.bytes() {
        port = port.wrapping_mul(31).wrapping_add(u16::from(byte));
    }
    Card {
        front: ([127, 0, 0, 1], port).into(),
        peer: ([127, 0, 0, 2], port).into(),
        region: region(name).into(),
        data_centre: format!("{}-1", region(name)).into(),
    }
}

pub(crate) fn target(name: &str, state: ServiceState) -> ListedTarget {
    ListedTarget {
        id: name.into(),
        address: ([127, 0, 0, 3], 9_000).into(),
        region: region(name).into(),
        data_centre: format!("{}-1", region(name)).into(),
        state,
        plugin: "openai".into(),
        models: vec!["m".into()],
        service: None,
        capacity: 100.0,
        slots: 8,
        price: 1.0,
    }
}
