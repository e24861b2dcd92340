//! Tries to connect to targets, to tell a target that has failed from lost links of this instance.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

use super::reach::{Link, Reach};
use super::upstream::Probe;
use super::{Gateway, lock};
use crate::journal;

/// Time between two tries of an instance that is cut off.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// The outcome of tries to connect to targets of the region.
enum Tries {
    /// The region has no target.
    NoTarget,
    /// A target has accepted a connection.
    Accepted,
    /// None of so many targets has accepted one.
    NoneAccepted(usize),
}

impl Gateway {
    pub(super) fn reach(&self) -> MutexGuard<'_, Reach> {
        lock(&self.reach)
    }

    /// Tells whether this instance is known to be cut off from the targets of its region.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach().is_cut_off()
    }

    /// Records that a target has accepted a connection, or with `None` that the region has no target to
    /// try.
    pub(super) fn record_connected(&self, address: Option<SocketAddr>) {
        let now = self.clock.now();
        let mut reach = self.reach();
        if let Some(address) = address {
            reach.record_accepted(address);
        }
        if reach.record_connected(now) {
            journal::line("targets_back");
        }
    }

    /// Tells whether an attempt at a target that began at `began` failed since this instance is cut
    /// off from all targets of its region. Tries some of them if that is not known.
    pub(super) async fn was_cut_off(self: &Arc<Self>, began: Duration) -> bool {
        if let Some(is_cut_off) = self.known_cut_off(began) {
            return is_cut_off;
        }
        // Attempts that fail at the same time wait for the same try.
        let _checking = self.link_check.lock().await;
        if let Some(is_cut_off) = self.known_cut_off(began) {
            return is_cut_off;
        }
        let tried = match self.try_targets_of_region(0).await {
            Tries::NoTarget | Tries::Accepted => return false,
            Tries::NoneAccepted(tried) => tried,
        };
        if self.reach().record_cut_off() {
            metrics::counter!("limpetstand_cut_off_total").increment(1);
            journal::line("targets_lost").value("tried", tried);
            tokio::spawn(Arc::clone(self).wait_for_links());
        }
        true
    }

    fn known_cut_off(&self, began: Duration) -> Option<bool> {
        match self.reach().link_since(began) {
            Link::Connected => Some(false),
            Link::CutOff => Some(true),
            Link::Unknown => None,
        }
    }

    /// Tries targets until one accepts a connection.
    async fn try_targets_of_region(&self, round: u32) -> Tries {
        let addresses = self.addresses_of_region();
        if addresses.is_empty() {
            return Tries::NoTarget;
        }
        let mut tries = self.reach().link_tries(&addresses, round, &mut rand::rng());
        let mut tried = 0;
        loop {
            let batch = tries.next_batch();
            if batch.is_empty() {
                return Tries::NoneAccepted(tried);
            }
            tried += batch.len();
            let mut probes = FuturesUnordered::new();
            for address in batch {
                let probe = self.upstream().probe(address);
                probes.push(async move { (address, probe.await) });
            }
            while let Some((address, probe)) = probes.next().await {
                match probe {
                    Probe::Accepted => {
                        self.record_connected(Some(address));
                        return Tries::Accepted;
                    }
                    Probe::Refused => tries.record_refused(),
                    Probe::Unknown => {}
                }
            }
        }
    }

    fn addresses_of_region(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let entries = view.targets.values().map(|known| &known.entry);
        entries
            .filter(|entry| view.region_of(&entry.data_centre) == Some(&self.region))
            .map(|entry| entry.address)
            .collect()
    }

    /// Tries targets until one accepts a connection.
    async fn wait_for_links(self: Arc<Self>) {
        let mut round = 0;
        while self.is_cut_off() {
            sleep(RETRY_PERIOD).await;
            round += 1;
            if let Tries::NoTarget = self.try_targets_of_region(round).await {
                self.record_connected(None);
            }
        }
    }
}
