//! All organisations' accounts together: floors and terms that change for all at once.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLockReadGuard};
use std::time::Duration;

use super::amount::Part;
use super::cell::Cell;
use super::shares::{Book, Shares};
use crate::id::OrganisationId;
use crate::journal;

impl Shares {
    /// Returns all organisations' cells.
    pub(super) fn all_cells(&self) -> Vec<(OrganisationId, Arc<Cell>)> {
        let book = self.read_book();
        let cells = book.cells.iter();
        cells.map(|(o, c)| (o.clone(), Arc::clone(c))).collect()
    }

    /// Returns the addresses of all other instances.
    pub(super) fn all_peers(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for member in &self.parts.fleet.borrow().members {
            if member.id != self.parts.id {
                addresses.push(member.peer);
            }
        }
        addresses
    }

    /// Opens and changes accounts as the configuration in force has them.
    ///
    /// The account of a deleted organisation stays, without a rate: made again, the organisation
    /// has no more than it had.
    pub(super) fn sync_terms(&self) {
        let snapshot = self.parts.snapshot.borrow().clone();
        for organisation in snapshot.merged.organisations.keys() {
            self.cell(organisation);
        }
        let now = self.now();
        for (organisation, cell) in self.all_cells() {
            let terms = self.terms(&organisation).unwrap_or_default();
            let mut account = cell.account();
            if account.terms() != terms {
                account.set_terms(now, terms);
            }
        }
    }

    /// Returns the least floor that has room for what is lent and held of any organisation.
    pub(super) fn required_floor(&self) -> Part {
        let now = self.now();
        let mut required = Part::ZERO;
        for cell in self.read_book().cells.values() {
            let mut account = cell.account();
            account.advance(now);
            required = required.max(account.required_floor());
        }
        required
    }

    /// Raises all floors to what the ledger gives; nobody has used the part added since `since`.
    pub(super) fn raise_floor(&self, floor: Part, since: Duration) {
        let now = self.now();
        let mut book = self.book.write().unwrap_or_else(PoisonError::into_inner);
        if floor <= book.floor {
            return;
        }
        book.floor_since = if book.floor.is_zero() { since } else { now };
        book.floor = floor;
        tell_share(floor, now.saturating_sub(since));
        for cell in book.cells.values() {
            cell.account().raise_unused_floor(now, floor, since);
        }
    }

    /// Lowers all floors, if what is lent and held still has room; `false` if not.
    pub(super) fn lower_floor(&self, floor: Part) -> bool {
        let now = self.now();
        let mut book = self.book.write().unwrap_or_else(PoisonError::into_inner);
        if floor >= book.floor {
            return true;
        }
        let old = book.floor;
        for cell in book.cells.values() {
            if cell.account().lower_floor(now, floor) {
                continue;
            }
            for cell in book.cells.values() {
                cell.account().raise_floor(now, old);
            }
            return false;
        }
        book.floor = floor;
        tell_share(floor, Duration::ZERO);
        true
    }

    /// Takes all floors away down to `floor`, whatever is lent and held.
    pub(super) fn drop_floor(&self, floor: Part) {
        let now = self.now();
        let mut book = self.book.write().unwrap_or_else(PoisonError::into_inner);
        if floor >= book.floor {
            return;
        }
        book.floor = floor;
        tell_share(floor, Duration::ZERO);
        for cell in book.cells.values() {
            cell.account().drop_floor(now, floor);
        }
    }

    fn read_book(&self) -> RwLockReadGuard<'_, Book> {
        self.book.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells the journal which part of each limit is used from now on.
fn tell_share(floor: Part, unused_for: Duration) {
    journal::line("share")
        .value("part", floor.ratio())
        .ms("unused_for_ms", unused_for);
}
