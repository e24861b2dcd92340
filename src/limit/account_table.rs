//! Changes of floors and rate limits that apply to the accounts of all organisations.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLockReadGuard};
use std::time::Duration;

use super::amount::Part;
use super::shared_account::SharedAccount;
use super::shares::{AccountTable, Shares};
use crate::id::OrganisationId;
use crate::journal;

impl Shares {
    /// Returns the accounts of all organisations.
    pub(super) fn all_accounts(&self) -> Vec<(OrganisationId, Arc<SharedAccount>)> {
        let table = self.read_table();
        let accounts = table.accounts.iter();
        accounts.map(|(o, c)| (o.clone(), Arc::clone(c))).collect()
    }

    /// Returns the addresses of all other instances.
    pub(super) fn all_peers(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for member in &self.deps.fleet.borrow().members {
            if member.id != self.deps.id {
                addresses.push(member.peer);
            }
        }
        addresses
    }

    /// Opens and updates accounts to match the configuration in force.
    ///
    /// The account of a deleted organisation is kept with a rate and burst of zero, so that an
    /// organisation that is deleted and created again does not get a new burst.
    pub(super) fn sync_limits(&self) {
        let snapshot = self.deps.snapshot.borrow().clone();
        for organisation in snapshot.merged.organisations.keys() {
            self.account(organisation);
        }
        let now = self.now();
        for (organisation, shared_account) in self.all_accounts() {
            let limit = self.rate_limit(&organisation).unwrap_or_default();
            let mut account = shared_account.lock();
            if account.limit() != limit {
                account.set_limit(now, limit);
            }
        }
    }

    /// Returns the minimum floor that covers the lent loans and held tokens of every organisation.
    pub(super) fn required_floor(&self) -> Part {
        let now = self.now();
        let mut required = Part::ZERO;
        for shared_account in self.read_table().accounts.values() {
            let mut account = shared_account.lock();
            account.advance(now);
            required = required.max(account.required_floor());
        }
        required
    }

    /// Raises the floors of all accounts to the part that the ledger assigns to this instance.
    ///
    /// The caller ensures that no instance has used the added part since `since`.
    pub(super) fn raise_floor(&self, floor: Part, since: Duration) {
        let now = self.now();
        let mut table = self
            .account_table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if floor <= table.floor {
            return;
        }
        table.floor_since = if table.floor.is_zero() { since } else { now };
        table.floor = floor;
        journal_share(floor, now.saturating_sub(since));
        for shared_account in table.accounts.values() {
            shared_account
                .lock()
                .raise_floor_with_refill(now, floor, since);
        }
    }

    /// Lowers the floors of all accounts if the new floor covers the lent loans and held tokens of
    /// every organisation; otherwise restores the floors and returns `false`.
    pub(super) fn lower_floor(&self, floor: Part) -> bool {
        let now = self.now();
        let mut table = self
            .account_table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if floor >= table.floor {
            return true;
        }
        let old_floor = table.floor;
        for shared_account in table.accounts.values() {
            if shared_account.lock().lower_floor(now, floor) {
                continue;
            }
            for shared_account in table.accounts.values() {
                shared_account.lock().raise_floor(now, old_floor);
            }
            return false;
        }
        table.floor = floor;
        journal_share(floor, Duration::ZERO);
        true
    }

    /// Lowers the floors of all accounts to `floor` regardless of lent loans and held tokens.
    pub(super) fn revoke_floor(&self, floor: Part) {
        let now = self.now();
        let mut table = self
            .account_table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if floor >= table.floor {
            return;
        }
        table.floor = floor;
        journal_share(floor, Duration::ZERO);
        for shared_account in table.accounts.values() {
            shared_account.lock().revoke_floor(now, floor);
        }
    }

    fn read_table(&self) -> RwLockReadGuard<'_, AccountTable> {
        self.account_table
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes to the journal which part of each limit this instance uses from now on.
fn journal_share(floor: Part, unused_for: Duration) {
    journal::line("share")
        .value("part", floor.ratio())
        .ms("unused_for_ms", unused_for);
}
