//! Tries to connect to targets, to tell a target that has failed from lost links of this instance.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::reach::{Link, Reach};
use super::{Gateway, lock};
use crate::journal;

/// Number of targets that are tried before the instance takes itself for cut off.
const TARGETS_TRIED: usize = 3;

/// Time between two tries of an instance that is cut off.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

impl Gateway {
    pub(super) fn reach(&self) -> MutexGuard<'_, Reach> {
        lock(&self.reach)
    }

    /// Tells whether this instance is known to be cut off from the targets of its region.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach().is_cut_off()
    }

    /// Records that the machine of a target has accepted or refused a connection.
    pub(super) fn record_connected(&self) {
        let now = self.clock.now();
        if self.reach().record_connected(now) {
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
        let Some(answered) = self.try_targets_of_region().await else {
            return false;
        };
        if answered {
            self.record_connected();
            return false;
        }
        if self.reach().record_cut_off() {
            metrics::counter!("limpetstand_cut_off_total").increment(1);
            journal::line("targets_lost").value("tried", TARGETS_TRIED);
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

    /// Tries a few targets at once; returns whether the machine of one answers, and `None` if the
    /// region has no target.
    async fn try_targets_of_region(&self) -> Option<bool> {
        let addresses = self.some_targets();
        if addresses.is_empty() {
            return None;
        }
        let mut probes = FuturesUnordered::new();
        for address in addresses {
            probes.push(self.upstream().probe(address));
        }
        while let Some(probe) = probes.next().await {
            if probe.shows_link() {
                return Some(true);
            }
        }
        Some(false)
    }

    fn some_targets(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let entries = view.targets.values().map(|known| &known.entry);
        let own = entries
            .filter(|entry| view.region_of(&entry.data_centre) == Some(&self.region))
            .map(|entry| entry.address);
        own.choose_multiple(&mut rand::rng(), TARGETS_TRIED)
    }

    /// Tries targets until the machine of one answers.
    async fn wait_for_links(self: Arc<Self>) {
        while self.is_cut_off() {
            sleep(RETRY_PERIOD).await;
            if self.try_targets_of_region().await != Some(false) {
                self.record_connected();
            }
        }
    }
}
