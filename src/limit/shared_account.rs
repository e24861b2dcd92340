//! An organisation's account behind its own lock, with the state of borrowing from peers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::account::Account;

/// Backoff of a peer group after one round in which no peer had tokens to lend.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff, which doubles with each unsuccessful round.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Peers that are asked for loans in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerGroup {
    /// Peers in this instance's region.
    SameRegion,
    /// Peers in other regions.
    OtherRegions,
}

/// One organisation's account, its borrow lock and the backoff of each peer group.
#[derive(Debug)]
pub(super) struct SharedAccount {
    account: Mutex<Account>,
    /// Locked by the request that is borrowing; other requests wait until that request's round
    /// ends.
    pub(super) borrow_lock: tokio::sync::Mutex<()>,
    backoffs: Mutex<[Backoff; 2]>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    duration: Duration,
    until: Duration,
}

impl SharedAccount {
    pub(super) fn new(account: Account) -> Self {
        Self {
            account: Mutex::new(account),
            borrow_lock: tokio::sync::Mutex::new(()),
            backoffs: Mutex::default(),
        }
    }

    /// Locks the account; the guard must not be held across an `await`.
    pub(super) fn lock(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the backoff of the peer group has elapsed.
    pub(super) fn may_ask(&self, now: Duration, group: PeerGroup) -> bool {
        self.backoffs()[index(group)].until <= now
    }

    /// Resets the backoff of a peer group after a successful round, or else doubles it.
    pub(super) fn record_round(&self, now: Duration, group: PeerGroup, obtained: bool) {
        let backoff = &mut self.backoffs()[index(group)];
        if obtained {
            *backoff = Backoff::default();
            return;
        }
        backoff.duration = (backoff.duration * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        backoff.until = now + backoff.duration;
    }

    fn backoffs(&self) -> MutexGuard<'_, [Backoff; 2]> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn index(group: PeerGroup) -> usize {
    match group {
        PeerGroup::SameRegion => 0,
        PeerGroup::OtherRegions => 1,
    }
}
