//! Charges requests at the holder that comes first for their organisation.
//!
//! All requests of an organisation in a region are charged at one holder, so its tokens need not be
//! split any further. The holder keeps the hold of a delegated charge until the asking instance settles it. A hold that
//! is not settled in time counts as used, so an instance that is lost never makes tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use metrics::counter;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use super::baseline::rate_exceeded;
use super::holders;
use super::message::{Answer, Message};
use super::shares::{PART_WAIT, Shares, SharesLimiter};
use super::{Hold, Settle};
use crate::id::{InstanceId, OrganisationId};
use crate::journal;
use crate::member::{Health, Member};
use crate::refusal::Refusal;

/// Longest time in which a holder charges a request, loans from other regions included.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which the next holder is asked; a loan from another region takes less.
const FAILOVER_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a holder that has not answered is passed over.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Number of holders that are asked to charge a request if they do not answer.
const MAX_HOLDERS_ASKED: usize = 2;

/// Time after a request's deadline at which a hold that was not settled counts as used.
const HOLD_GRACE: Duration = Duration::from_secs(2);

/// How long settlements are collected before they are sent to a holder.
const SETTLE_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a message with settlements. Holds whose settlement is lost count as used.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` if no holder answers.
const NO_HOLDER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The settlement of one delegated charge: the hold's id and the tokens that were used.
pub(super) type Settlement = (u64, u64);

/// Delegated charges of other instances at this one, and of this instance at others.
pub(super) struct Delegation {
    held: Mutex<HashMap<u64, HeldForPeer>>,
    /// Begins at random, since charges of an earlier run of this instance may still be settled.
    next_id: AtomicU64,
    settlements: Mutex<HashMap<SocketAddr, Vec<Settlement>>>,
    settled: Arc<Notify>,
    avoided_until: Mutex<HashMap<InstanceId, Duration>>,
}

struct HeldForPeer {
    hold: Hold,
    expires_at: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Delegation {
    pub(super) fn new() -> Self {
        Self {
            held: Mutex::default(),
            next_id: AtomicU64::new(rand::random()),
            settlements: Mutex::default(),
            settled: Arc::default(),
            avoided_until: Mutex::default(),
        }
    }

    /// Keeps the hold of another instance's request; returns its id.
    pub(super) fn keep(&self, now: Duration, hold: Hold, time_left: Duration) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let held = HeldForPeer {
            hold,
            expires_at: now + time_left + HOLD_GRACE,
        };
        lock(&self.held).insert(id, held);
        id
    }

    /// Settles the holds of another instance's requests.
    pub(super) fn settle(&self, settlements: &[Settlement]) {
        for (id, used) in settlements {
            let held = lock(&self.held).remove(id);
            if let Some(held) = held {
                held.hold.settle(*used);
            }
        }
    }

    /// Counts the holds as used that were not settled in time.
    pub(super) fn expire(&self, now: Duration) {
        let expired: Vec<HeldForPeer> = {
            let mut held = lock(&self.held);
            let expired = held.extract_if(|_, h| h.expires_at < now);
            expired.map(|(_, held)| held).collect()
        };
        // Dropping a hold counts its tokens as used.
        drop(expired);
    }
}

/// Settles a delegated charge at its holder.
struct DelegatedSettle {
    shares: Arc<Shares>,
    holder: SocketAddr,
    id: u64,
}

impl Settle for DelegatedSettle {
    fn release(&self, _: &OrganisationId, _: u64, used: u64) {
        let delegation = &self.shares.delegation;
        lock(&delegation.settlements)
            .entry(self.holder)
            .or_default()
            .push((self.id, used));
        delegation.settled.notify_one();
    }
}

impl Drop for Delegation {
    fn drop(&mut self) {
        // The task that sends settlements finds that there is nothing left to settle, and ends.
        self.settled.notify_one();
    }
}

/// Charges a request at the holder that comes first for its organisation, which may be this
/// instance.
pub(super) async fn admit(
    limiter: &SharesLimiter,
    organisation: &OrganisationId,
    tokens: u64,
    time_left: Duration,
) -> Result<Hold, Refusal> {
    let shares = &limiter.0;
    let deadline = Instant::now() + time_left.min(CHARGE_TIMEOUT);
    let message = Message::Charge {
        organisation: organisation.clone(),
        tokens,
        time_left,
    };
    let candidates = candidates(shares, organisation);
    let last = candidates.len().saturating_sub(1);
    for (n, (id, address)) in candidates.into_iter().enumerate() {
        if id == shares.deps.id {
            let wait = PART_WAIT.min(time_left);
            return limiter
                .admit_here(organisation, tokens, time_left, wait)
                .await;
        }
        let mut until = deadline;
        if n < last {
            until = until.min(Instant::now() + FAILOVER_TIMEOUT);
        }
        let wait = until.saturating_duration_since(Instant::now());
        let call = shares.call_peer(address, &message, wait);
        match timeout_at(until, call).await {
            Ok(Ok(Answer::Charged(hold_id))) => {
                let settle = DelegatedSettle {
                    shares: Arc::clone(shares),
                    holder: address,
                    id: hold_id,
                };
                return Ok(Hold::new(organisation.clone(), tokens, Arc::new(settle)));
            }
            Ok(Ok(Answer::Refused(refusal))) => {
                let refusal = holders::refusal_for_caller(refusal);
                let hold = limiter.admit_beyond_share(organisation, tokens, time_left);
                return hold.await.ok_or(refusal);
            }
            outcome => {
                let why = match outcome {
                    Ok(Err(e)) => e.to_string(),
                    Ok(Ok(_)) => "the answer does not fit the message".to_owned(),
                    Err(_) => "timed out".to_owned(),
                };
                counter!("limpetstand_limit_holders_lost_total").increment(1);
                journal::line("holder_lost")
                    .text("peer", id.as_str())
                    .text("organisation", organisation.as_str())
                    .text("error", &why);
                let until = shares.now() + AVOID_TIME;
                lock(&shares.delegation.avoided_until).insert(id, until);
            }
        }
    }
    let hold = limiter.admit_beyond_share(organisation, tokens, time_left);
    hold.await
        .ok_or_else(|| rate_exceeded(Some(NO_HOLDER_RETRY_AFTER)))
}

/// Returns the holders of this region to ask, in order.
fn candidates(shares: &Shares, organisation: &OrganisationId) -> Vec<(InstanceId, SocketAddr)> {
    let now = shares.now();
    let fleet = shares.deps.fleet.borrow();
    let is_local = |m: &&Member| m.region == shares.deps.region && m.health != Health::Leaving;
    let local: Vec<_> = fleet.members.iter().filter(is_local).collect();
    let ids: Vec<&str> = local.iter().map(|m| m.id.as_str()).collect();
    let holders = holders::holders(shares.deps.region.as_str(), &ids);
    let avoided = lock(&shares.delegation.avoided_until);
    let mut candidates = Vec::new();
    for id in holders::in_order_for(organisation.as_str(), &holders) {
        let member = local.iter().find(|m| m.id.as_str() == id);
        let Some(member) = member.filter(|m| m.health != Health::Dead) else {
            continue;
        };
        if avoided.get(&member.id).is_some_and(|until| now < *until) {
            continue;
        }
        candidates.push((member.id.clone(), member.peer));
    }
    candidates.truncate(MAX_HOLDERS_ASKED);
    drop(fleet);
    if candidates.is_empty() && shares.is_last_holder() {
        let own = shares.deps.id.clone();
        let address = shares.peer_address(&own);
        candidates.extend(address.map(|address| (own, address)));
    }
    candidates
}

/// Sends settlements to the holders until the runtime ends.
pub(super) async fn send_settlements(shares: Weak<Shares>) {
    let settled = shares.upgrade().map(|s| Arc::clone(&s.delegation.settled));
    let Some(settled) = settled else {
        return;
    };
    loop {
        settled.notified().await;
        sleep(SETTLE_DELAY).await;
        let Some(strong) = shares.upgrade() else {
            return;
        };
        let pending = std::mem::take(&mut *lock(&strong.delegation.settlements));
        for (holder, settlements) in pending {
            let shares = Arc::clone(&strong);
            tokio::spawn(async move {
                let message = Message::Settle(settlements);
                if shares
                    .call_peer(holder, &message, SETTLE_TIMEOUT)
                    .await
                    .is_err()
                {
                    counter!("limpetstand_limit_settlements_lost_total").increment(1);
                }
            });
        }
    }
}
