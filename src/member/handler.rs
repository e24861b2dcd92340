//! Sends and answers messages of kind `member` between instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use kameo::actor::ActorRef;
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use super::actor::{
    HeartbeatAnswered, HeartbeatReceived, ListRequested, MembershipActor, ProbeFailed,
    ProbeRequested, TableReceived,
};
use super::status::{Brief, Heartbeat};
use super::view::Action;
use super::wire::{self, BriefWire, DifferenceWire, HeartbeatWire, ListingWire, Reply, Request};
use crate::peer::{PeerError, PeerHandler, Peers, decode, encode};

/// The kind of the messages between the memberships of instances.
const KIND: &str = "member";

/// Timeout of a probe that this instance makes on behalf of another instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of concurrent probes on behalf of other instances.
const MAX_CONCURRENT_PROBES: usize = 16;

/// Answers messages of kind `member` from other instances.
pub struct Handler {
    actor: ActorRef<MembershipActor>,
    peers: Option<Arc<dyn Peers>>,
    probe_permits: Semaphore,
}

impl Handler {
    /// Creates a handler that answers from the view of `actor`.
    pub fn of(actor: ActorRef<MembershipActor>, peers: Option<Arc<dyn Peers>>) -> Self {
        Self {
            actor,
            peers,
            probe_permits: Semaphore::new(MAX_CONCURRENT_PROBES),
        }
    }

    async fn answer_heartbeat(&self, wire: HeartbeatWire) -> Result<Reply, PeerError> {
        let heartbeat = Heartbeat::try_from(wire)?;
        let answer = self.actor.ask(HeartbeatReceived(heartbeat)).send().await;
        let answer = answer.map_err(|_| stopped())?;
        Ok(Reply::Beat(Box::new(HeartbeatWire::from(&answer.0))))
    }

    async fn probe(&self, id: &SmolStr) -> Result<Reply, PeerError> {
        let Some(peers) = &self.peers else {
            return Err(stopped());
        };
        let Ok(_permit) = self.probe_permits.try_acquire() else {
            return Err(PeerError::Refused("too many concurrent probes".to_owned()));
        };
        let action = self
            .actor
            .ask(ProbeRequested(id.as_str().into()))
            .send()
            .await;
        let Some(Action::SendHeartbeat {
            to,
            address,
            heartbeat,
            timeout,
        }) = action.map_err(|_| stopped())?.0
        else {
            return Err(PeerError::Refused(
                "the instance is unknown here, or too many messages are in flight".to_owned(),
            ));
        };
        match send_heartbeat(&**peers, address, &heartbeat, timeout.min(PROBE_TIMEOUT)).await {
            Ok(answer) => {
                let id_matches = answer.from.id.as_str() == id;
                let told = self.actor.tell(HeartbeatAnswered(to, answer)).send().await;
                told.map_err(|_| stopped())?;
                Ok(Reply::Tried(id_matches))
            }
            Err(_) => {
                let told = self.actor.tell(ProbeFailed(to)).send().await;
                told.map_err(|_| stopped())?;
                Ok(Reply::Tried(false))
            }
        }
    }

    async fn answer_compare(&self, briefs: Vec<BriefWire>) -> Result<Reply, PeerError> {
        let briefs: Vec<Brief> = wire::convert_all(briefs)?;
        let difference = self.actor.ask(TableReceived(briefs)).send().await;
        let difference = difference.map_err(|_| stopped())?;
        Ok(Reply::Difference(DifferenceWire::from(&difference.0)))
    }

    async fn answer_list(&self) -> Result<Reply, PeerError> {
        let own = self.actor.ask(ListRequested).send().await;
        let Some((listing, age)) = own.map_err(|_| stopped())?.0 else {
            return Ok(Reply::List(None));
        };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Ok(Reply::List(Some((ListingWire::from(&listing), age_ms))))
    }
}

#[async_trait]
impl PeerHandler for Handler {
    fn kind(&self) -> &'static str {
        KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        record_message("in", body.len());
        let reply = match decode(&body)? {
            Request::Beat(heartbeat) => self.answer_heartbeat(*heartbeat).await?,
            Request::Try(id) => self.probe(&id).await?,
            Request::Compare(briefs) => self.answer_compare(briefs).await?,
            Request::List => self.answer_list().await?,
        };
        let body = encode(&reply)?;
        record_message("out", body.len());
        Ok(body)
    }
}

/// Sends one request and waits for the answer.
///
/// # Errors
///
/// If there is no answer in time, or the answer cannot be decoded.
pub async fn send_request(
    peers: &dyn Peers,
    to: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Reply, PeerError> {
    let body = encode(request)?;
    record_message("out", body.len());
    let body = peers.ask(to, KIND, body, timeout).await?;
    record_message("in", body.len());
    decode(&body)
}

/// Sends a heartbeat and waits for the answer.
///
/// # Errors
///
/// As for [`send_request`], or if the answer is not a heartbeat.
pub async fn send_heartbeat(
    peers: &dyn Peers,
    to: SocketAddr,
    heartbeat: &Heartbeat,
    timeout: Duration,
) -> Result<Heartbeat, PeerError> {
    let heartbeat = Request::Beat(Box::new(HeartbeatWire::from(heartbeat)));
    match send_request(peers, to, &heartbeat, timeout).await? {
        Reply::Beat(wire) => Heartbeat::try_from(*wire),
        _ => Err(PeerError::Malformed(
            "the answer is not a heartbeat".to_owned(),
        )),
    }
}

fn record_message(direction: &'static str, bytes: usize) {
    metrics::counter!("limpetstand_member_messages_total", "direction" => direction).increment(1);
    metrics::counter!("limpetstand_member_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}

fn stopped() -> PeerError {
    PeerError::Refused("membership has stopped".to_owned())
}
