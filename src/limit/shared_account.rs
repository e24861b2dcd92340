//! One organisation's account behind its own lock, with what borrowing needs around it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::account::Account;

/// No peers are asked again this soon after none had anything to spare.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The pause doubles with each round in vain, up to this.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Which peers are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ring {
    /// Those of the own region.
    Near,
    /// Those of other regions.
    Far,
}

/// One organisation's account and its borrowing.
#[derive(Debug)]
pub(super) struct Cell {
    account: Mutex<Account>,
    /// Held by the one request that borrows; the others wait for its outcome.
    pub(super) turn: tokio::sync::Mutex<()>,
    pauses: Mutex<[Pause; 2]>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Pause {
    length: Duration,
    until: Duration,
}

impl Cell {
    pub(super) fn new(account: Account) -> Self {
        Self {
            account: Mutex::new(account),
            turn: tokio::sync::Mutex::new(()),
            pauses: Mutex::default(),
        }
    }

    /// Locks the account; never held over a wait.
    pub(super) fn account(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether peers of a ring may be asked now.
    pub(super) fn may_ask(&self, now: Duration, ring: Ring) -> bool {
        self.pauses()[index(ring)].until <= now
    }

    /// Notes whether a round brought anything.
    pub(super) fn asked(&self, now: Duration, ring: Ring, brought: bool) {
        let pause = &mut self.pauses()[index(ring)];
        if brought {
            *pause = Pause::default();
            return;
        }
        pause.length = (pause.length * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        pause.until = now + pause.length;
    }

    fn pauses(&self) -> MutexGuard<'_, [Pause; 2]> {
        self.pauses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn index(ring: Ring) -> usize {
    match ring {
        Ring::Near => 0,
        Ring::Far => 1,
    }
}
