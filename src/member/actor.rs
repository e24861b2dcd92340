//! The actor that owns the membership view.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kameo::Reply;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::prelude::Actor;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use super::handler::{send_heartbeat, send_request};
use super::indirect::ProbeResult;
use super::status::{Brief, Difference, Heartbeat};
use super::table::MemberKey;
use super::view::{Action, View};
use super::wire::{BriefWire, Reply as ReplyWire, Request};
use super::{Fleet, Health};
use crate::clock::Clock;
use crate::id::InstanceId;
use crate::journal;
use crate::peer::Peers;
use crate::platform::Listing;

/// The arguments of the actor.
pub struct ActorArgs {
    /// The initial view.
    pub view: View,
    /// The instance's clock.
    pub clock: Clock,
    /// The connections to other instances; `None` if the list is the only source of the fleet.
    pub peers: Option<Arc<dyn Peers>>,
    /// The random number generator that chooses receivers.
    pub rng: SmallRng,
    /// The channel on which the fleet is published.
    pub fleet: watch::Sender<Arc<Fleet>>,
}

/// Owns the view, publishes the fleet, and carries out the actions of the view.
pub struct MembershipActor {
    args: ActorArgs,
    own: ActorRef<MembershipActor>,
}

/// A periodic message: sends heartbeats and publishes the fleet.
pub struct Tick {
    /// Whether heartbeats are sent.
    pub sends_heartbeats: bool,
}

/// This instance has read the list.
pub struct ListRead(pub Listing);

/// Another instance has sent the list that it read; the duration is the list's age.
pub struct ListFetched(pub Listing, pub Duration);

/// This instance begins to leave.
pub struct Leave;

/// A heartbeat has been received.
pub struct HeartbeatReceived(pub Heartbeat);

/// A heartbeat was answered.
pub struct HeartbeatAnswered(pub MemberKey, pub Heartbeat);

/// A heartbeat was not answered; the duration is the time at which the heartbeat was sent.
pub struct HeartbeatFailed(pub MemberKey, pub Duration);

/// A probe through another instance has completed.
pub struct ProbeCompleted(pub MemberKey, pub ProbeResult);

/// Another instance asks this instance to probe the instance of this name.
pub struct ProbeRequested(pub InstanceId);

/// An instance that was probed on behalf of another instance did not answer.
pub struct ProbeFailed(pub MemberKey);

/// Another instance has sent its table for comparison.
pub struct TableReceived(pub Vec<Brief>);

/// A table comparison was answered, or failed if there is no difference.
pub struct TableCompared(pub MemberKey, pub Option<Difference>);

/// Another instance requests the list.
pub struct ListRequested;

/// The answer to [`HeartbeatReceived`]: the heartbeat to send back.
#[derive(Debug, Reply)]
pub struct HeartbeatReply(pub Heartbeat);

/// The answer to [`ProbeRequested`]: the heartbeat that probes the instance; `None` if the instance
/// is unknown.
#[derive(Debug, Reply)]
pub struct ProbeReply(pub Option<Action>);

/// The answer to [`TableReceived`]: the difference between the two tables.
#[derive(Debug, Reply)]
pub struct TableReply(pub Difference);

/// The answer to [`ListRequested`]: the list and its age.
#[derive(Debug, Reply)]
pub struct ListReply(pub Option<(Listing, Duration)>);

impl Actor for MembershipActor {
    type Args = ActorArgs;
    type Error = std::convert::Infallible;

    async fn on_start(args: ActorArgs, own: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self { args, own })
    }
}

impl MembershipActor {
    fn now(&self) -> Duration {
        self.args.clock.now()
    }

    /// Publishes the fleet if it has changed.
    fn publish(&mut self) {
        if !self.args.view.take_changed() {
            return;
        }
        let fleet = self.args.view.fleet(self.now());
        record_changes(&self.args.fleet.borrow(), &fleet);
        self.args.fleet.send_if_modified(|old| {
            if **old == fleet {
                return false;
            }
            *old = Arc::new(fleet);
            true
        });
    }

    /// Publishes the fleet at once if an instance is no longer live; other changes wait for the next
    /// tick.
    fn publish_losses(&mut self) {
        if self.args.view.has_lost_live() {
            self.publish();
        }
    }

    fn run(&self, actions: Vec<Action>) {
        let Some(peers) = &self.args.peers else {
            return;
        };
        for action in actions {
            let sent = self.now();
            tokio::spawn(perform(peers.clone(), self.own.clone(), action, sent));
        }
    }
}

impl Message<Tick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, tick: Tick, _: &mut Context<Self, ()>) {
        if tick.sends_heartbeats {
            let now = self.now();
            let actions = self.args.view.tick(now, &mut self.args.rng);
            self.run(actions);
        }
        self.publish();
    }
}

impl Message<ListRead> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, read: ListRead, _: &mut Context<Self, ()>) {
        let now = self.now();
        let view = &mut self.args.view;
        let is_first = view.listing().1.is_none();
        view.apply_list(now, &mut self.args.rng, read.0, Duration::ZERO);
        if is_first {
            self.publish();
        }
    }
}

impl Message<ListFetched> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: ListFetched, _: &mut Context<Self, ()>) {
        let now = self.now();
        let ActorArgs { view, rng, .. } = &mut self.args;
        view.apply_list(now, rng, msg.0, msg.1);
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let now = self.now();
        let actions = self.args.view.leave(now, &mut self.args.rng);
        self.run(actions);
        self.publish();
    }
}

impl Message<HeartbeatReceived> for MembershipActor {
    type Reply = HeartbeatReply;

    async fn handle(
        &mut self,
        msg: HeartbeatReceived,
        _: &mut Context<Self, HeartbeatReply>,
    ) -> HeartbeatReply {
        let now = self.now();
        let ActorArgs { view, rng, .. } = &mut self.args;
        let answer = view.on_heartbeat(now, rng, &msg.0);
        self.publish_losses();
        HeartbeatReply(answer)
    }
}

impl Message<HeartbeatAnswered> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: HeartbeatAnswered, _: &mut Context<Self, ()>) {
        let now = self.now();
        let ActorArgs { view, rng, .. } = &mut self.args;
        let actions = view.on_answer(now, rng, msg.0, &msg.1);
        self.run(actions);
        self.publish_losses();
    }
}

impl Message<HeartbeatFailed> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: HeartbeatFailed, _: &mut Context<Self, ()>) {
        let now = self.now();
        let ActorArgs { view, rng, .. } = &mut self.args;
        let actions = view.on_no_answer(now, rng, msg.0, msg.1);
        self.run(actions);
        self.publish_losses();
    }
}

impl Message<ProbeCompleted> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: ProbeCompleted, _: &mut Context<Self, ()>) {
        let now = self.now();
        self.args.view.on_probe_result(now, msg.0, msg.1);
        self.publish_losses();
    }
}

impl Message<ProbeRequested> for MembershipActor {
    type Reply = ProbeReply;

    async fn handle(
        &mut self,
        msg: ProbeRequested,
        _: &mut Context<Self, ProbeReply>,
    ) -> ProbeReply {
        let now = self.now();
        ProbeReply(self.args.view.probe_for_peer(now, &msg.0))
    }
}

impl Message<ProbeFailed> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: ProbeFailed, _: &mut Context<Self, ()>) {
        let now = self.now();
        self.args.view.on_probe_failure(now, msg.0);
    }
}

impl Message<TableReceived> for MembershipActor {
    type Reply = TableReply;

    async fn handle(
        &mut self,
        msg: TableReceived,
        _: &mut Context<Self, TableReply>,
    ) -> TableReply {
        TableReply(self.args.view.difference(&msg.0))
    }
}

impl Message<TableCompared> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: TableCompared, _: &mut Context<Self, ()>) {
        let now = self.now();
        let ActorArgs { view, rng, .. } = &mut self.args;
        match msg.1 {
            Some(difference) => view.on_difference(now, rng, msg.0, &difference),
            None => view.on_compare_failure(now, msg.0),
        }
        self.publish_losses();
    }
}

impl Message<ListRequested> for MembershipActor {
    type Reply = ListReply;

    async fn handle(&mut self, _: ListRequested, _: &mut Context<Self, ListReply>) -> ListReply {
        let (listing, read) = self.args.view.listing();
        let age = read.map(|at| self.now().saturating_sub(at));
        ListReply(age.map(|age| (listing.clone(), age)))
    }
}

/// Sends one message and reports the outcome to the actor.
async fn perform(
    peers: Arc<dyn Peers>,
    actor: ActorRef<MembershipActor>,
    action: Action,
    sent: Duration,
) {
    // Sending fails only if the actor has stopped; the outcome is then no longer needed.
    let _ = match action {
        Action::SendHeartbeat {
            to,
            address,
            heartbeat,
            timeout,
        } => match send_heartbeat(&*peers, address, &heartbeat, timeout).await {
            Ok(answer) => actor
                .tell(HeartbeatAnswered(to, answer))
                .send()
                .await
                .is_ok(),
            Err(_) => actor.tell(HeartbeatFailed(to, sent)).send().await.is_ok(),
        },
        Action::ProbeVia {
            prober,
            subject,
            id,
            timeout,
        } => {
            let reply =
                send_request(&*peers, prober, &Request::Try(id.as_str().into()), timeout).await;
            let result = match reply {
                Ok(ReplyWire::Tried(true)) => ProbeResult::Reached,
                Ok(ReplyWire::Tried(false)) => ProbeResult::NotReached,
                _ => ProbeResult::ProberFailed,
            };
            actor
                .tell(ProbeCompleted(subject, result))
                .send()
                .await
                .is_ok()
        }
        Action::CompareTables {
            with,
            address,
            briefs,
            timeout,
        } => {
            let briefs = briefs.iter().map(BriefWire::from).collect();
            let difference =
                match send_request(&*peers, address, &Request::Compare(briefs), timeout).await {
                    Ok(ReplyWire::Difference(wire)) => Difference::try_from(wire).ok(),
                    _ => None,
                };
            actor
                .tell(TableCompared(with, difference))
                .send()
                .await
                .is_ok()
        }
        Action::FetchList { address, timeout } => {
            let reply = send_request(&*peers, address, &Request::List, timeout).await;
            let Ok(ReplyWire::List(Some((wire, age_ms)))) = reply else {
                return;
            };
            let Ok(listing) = Listing::try_from(wire) else {
                return;
            };
            let age = Duration::from_millis(age_ms);
            actor.tell(ListFetched(listing, age)).send().await.is_ok()
        }
    };
}

/// Updates the gauge of instances by health, and logs each instance whose health has changed.
fn record_changes(old: &Fleet, new: &Fleet) {
    let mut previous = BTreeMap::new();
    for member in &old.members {
        previous.insert(&member.id, member.health);
    }
    let mut counts = [0_u32; 4];
    for member in &new.members {
        counts[member.health as usize] += 1;
        let previous_health = previous.remove(&member.id);
        if previous_health == Some(member.health) {
            continue;
        }
        log::info!("instance {} is {}", member.id, label(member.health));
        journal::line("instance")
            .text("peer", member.id.as_str())
            .text("region", member.region.as_str())
            .text("health", label(member.health));
    }
    for id in previous.keys() {
        log::info!("instance {id} removed from the fleet");
        journal::line("instance_gone").text("peer", id.as_str());
    }
    for health in [Health::Live, Health::Suspect, Health::Leaving, Health::Dead] {
        metrics::gauge!("limpetstand_members", "health" => label(health))
            .set(counts[health as usize]);
    }
}

fn label(health: Health) -> &'static str {
    match health {
        Health::Live => "live",
        Health::Suspect => "suspect",
        Health::Leaving => "leaving",
        Health::Dead => "dead",
    }
}
