//! Tells the listeners of the region which targets have withdrawn or named a limit, and passes on
//! what they tell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::{Follower, State, millis, whole_millis};
use crate::gateway::target_limits::{ProcessKey, TargetLimit, WireLimit};
use crate::gateway::withdrawal_news::{Position, WithdrawalReport};
use crate::id::{InstanceId, TargetId};
use crate::journal;
use crate::member::Fleet;
use crate::peer::{PeerError, PeerHandler, Peers, decode, encode};

/// How long reports are collected before the listeners are told.
const TELL_DELAY: Duration = Duration::from_millis(25);

/// Timeout of a message to a listener; covers a round trip within a region.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before listeners that have not answered are told again.
const TELL_PAUSE: Duration = Duration::from_millis(300);

/// How often a report is told before it is given up. By then another instance has heard of the
/// withdrawal, or nobody sends requests to the target.
const MAX_TELL_ATTEMPTS: usize = 10;

/// Shortest time between two passings on. Reports that come in quick succession are passed on
/// together.
const PASS_ON_PERIOD: Duration = Duration::from_millis(150);

/// The kind of peer messages that tell a listener of withdrawals.
const WITHDRAWAL_KIND: &str = "withdrawn";

/// The withdrawal of a target's process, as encoded between instances.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireWithdrawal {
    target: TargetId,
    started_unix_ms: u64,
    leaving: bool,
    quiet_left_ms: u32,
    limit: Option<WireLimit>,
    reporter: InstanceId,
    number: u64,
}

impl WireWithdrawal {
    fn new(now: Duration, report: WithdrawalReport) -> Self {
        Self {
            target: report.target,
            started_unix_ms: report.started_unix_ms,
            leaving: report.leaving,
            quiet_left_ms: whole_millis(report.quiet_left),
            limit: report.limit.map(|limit| WireLimit::new(now, limit)),
            reporter: report.reporter,
            number: report.number,
        }
    }

    /// Returns the report on the clock of the receiver.
    fn report(self, now: Duration) -> WithdrawalReport {
        WithdrawalReport {
            target: self.target,
            started_unix_ms: self.started_unix_ms,
            leaving: self.leaving,
            quiet_left: millis(self.quiet_left_ms),
            limit: self.limit.map(|wire| wire.limit(now)),
            reporter: self.reporter,
            number: self.number,
        }
    }
}

/// A [`Position`], as encoded between instances.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct WirePosition {
    process: u64,
    change: u64,
}

impl From<Position> for WirePosition {
    fn from(position: Position) -> Self {
        Self {
            process: position.process,
            change: position.change,
        }
    }
}

impl From<WirePosition> for Position {
    fn from(wire: WirePosition) -> Self {
        Self {
            process: wire.process,
            change: wire.change,
        }
    }
}

/// The withdrawals that an instance passes on.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireWithdrawals {
    pub(super) position: WirePosition,
    reports: Vec<WireWithdrawal>,
}

impl Follower {
    /// Records that a target has told this instance that it leaves or wants no requests for a time,
    /// and lets the region know. Nothing happens if the registry has another process of the target.
    pub fn report_withdrawal(
        &self,
        target: &TargetId,
        started_unix_ms: u64,
        leaving: bool,
        quiet: Duration,
    ) {
        self.report(WithdrawalReport {
            target: target.clone(),
            started_unix_ms,
            leaving,
            quiet_left: quiet,
            limit: None,
            reporter: self.deps.id.clone(),
            number: 0,
        });
    }

    /// Records that a target has told this instance that it takes another number of requests than
    /// before, and lets the region know.
    pub fn report_limit(&self, process: &ProcessKey, limit: TargetLimit) {
        self.report(WithdrawalReport {
            target: process.0.clone(),
            started_unix_ms: process.1,
            leaving: false,
            quiet_left: Duration::ZERO,
            limit: Some(limit),
            reporter: self.deps.id.clone(),
            number: 0,
        });
    }

    /// Numbers a report of this instance, and records it.
    fn report(&self, mut report: WithdrawalReport) {
        let now = self.now();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = unix_time.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX));
        let mut state = self.state();
        let State {
            withdrawals, view, ..
        } = &mut *state;
        report.number = withdrawals.next_number(unix_ms);
        if withdrawals.report(now, &view.targets, &report) {
            drop(state);
            self.withdrawals_tx.send_modify(|count| *count += 1);
        }
    }

    /// Returns a receiver that is notified when this instance learns of a withdrawal.
    pub fn withdrawal_changes(&self) -> watch::Receiver<u64> {
        self.withdrawals_tx.subscribe()
    }

    /// Returns the withdrawals in force that changed after a change, and the last change.
    pub fn withdrawals_after(&self, change: u64) -> (u64, Vec<WithdrawalReport>) {
        let now = self.now();
        self.state().withdrawals.changes_after(now, change)
    }

    /// Takes over what another instance passes on.
    pub(super) fn hear_withdrawals(&self, state: &mut State, wire: Option<WireWithdrawals>) {
        self.hear(state, wire.map(|w| w.reports).unwrap_or_default());
    }

    fn hear(&self, state: &mut State, reports: Vec<WireWithdrawal>) {
        let now = self.now();
        let mut is_new = false;
        for report in reports {
            let listed = &state.view.targets;
            is_new |= state.withdrawals.hear(now, listed, &report.report(now));
        }
        if is_new {
            self.withdrawals_tx.send_modify(|count| *count += 1);
        }
    }

    pub(super) fn withdrawals_since(
        &self,
        state: &State,
        position: Option<WirePosition>,
    ) -> Option<WireWithdrawals> {
        let position = position.map(Position::from);
        let now = self.now();
        let (position, reports) = state.withdrawals.changes_since(now, position)?;
        let reports = reports.into_iter().map(|r| WireWithdrawal::new(now, r));
        Some(WireWithdrawals {
            position: position.into(),
            reports: reports.collect(),
        })
    }

    /// Lets the polls of other instances see new withdrawals, until the runtime ends.
    pub(super) async fn pass_on_withdrawals(self: Arc<Self>) {
        let mut changes = self.withdrawals_tx.subscribe();
        while changes.changed().await.is_ok() {
            self.state().withdrawals.publish();
            self.changes_tx.send_modify(|count| *count += 1);
            sleep(PASS_ON_PERIOD).await;
        }
    }

    /// Tells the listeners of the withdrawals that this instance has heard of itself, until the
    /// runtime ends.
    pub(super) async fn tell_withdrawals(
        self: Arc<Self>,
        fleet: watch::Receiver<Arc<Fleet>>,
        peers: Arc<dyn Peers>,
    ) {
        let mut changes = self.withdrawals_tx.subscribe();
        let mut attempts = 0;
        loop {
            if attempts == 0 {
                if changes.changed().await.is_err() {
                    return;
                }
                sleep(TELL_DELAY).await;
            } else if let Ok(Err(_)) = timeout(TELL_PAUSE, changes.changed()).await {
                return;
            }
            let now = self.now();
            let reports = self.state().withdrawals.take_untold(now);
            if reports.is_empty() {
                attempts = 0;
                continue;
            }
            let listeners = self.plan_tx.borrow().tells.clone();
            if self.tell(&reports, &listeners, &fleet, &*peers).await {
                attempts = 0;
                continue;
            }
            attempts += 1;
            if attempts < MAX_TELL_ATTEMPTS {
                self.state().withdrawals.put_back(&reports);
            } else {
                attempts = 0;
            }
        }
    }

    /// Compares withdrawals with the other listeners whenever this instance becomes a listener or
    /// another listener takes the place of one, since listeners do not poll.
    pub(super) async fn compare_withdrawals(
        self: Arc<Self>,
        fleet: watch::Receiver<Arc<Fleet>>,
        peers: Arc<dyn Peers>,
    ) {
        let mut view = self.tx.subscribe();
        if view.wait_for(|view| view.registry_loaded).await.is_err() {
            return;
        }
        let mut plan = self.plan_tx.subscribe();
        let mut compared: Vec<InstanceId> = Vec::new();
        loop {
            let current = plan.borrow_and_update().clone();
            compared.retain(|id| current.listens && current.tells.contains(id));
            let mut failed = false;
            for id in current.tells.iter().filter(|_| current.listens) {
                if compared.contains(id) {
                    continue;
                }
                let (_, known) = self.withdrawals_after(0);
                if self
                    .tell(&known, std::slice::from_ref(id), &fleet, &*peers)
                    .await
                {
                    compared.push(id.clone());
                } else {
                    failed = true;
                }
            }
            let changed = if failed {
                let changed = timeout(TELL_PAUSE, plan.changed()).await;
                changed.unwrap_or(Ok(()))
            } else {
                plan.changed().await
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Tells listeners of withdrawals and hears those that they know; returns whether all have
    /// answered.
    async fn tell(
        &self,
        reports: &[WithdrawalReport],
        listeners: &[InstanceId],
        fleet: &watch::Receiver<Arc<Fleet>>,
        peers: &dyn Peers,
    ) -> bool {
        let mut addresses: Vec<SocketAddr> = Vec::with_capacity(listeners.len());
        for member in &fleet.borrow().members {
            if listeners.contains(&member.id) {
                addresses.push(member.peer);
            }
        }
        let now = self.now();
        let wire = reports.iter().cloned().map(|r| WireWithdrawal::new(now, r));
        let wire: Vec<WireWithdrawal> = wire.collect();
        let body = match encode(&wire) {
            Ok(body) => body,
            Err(e) => {
                // Another try would fail as well.
                log::error!("cannot encode withdrawals: {e}");
                return true;
            }
        };
        let calls = addresses
            .into_iter()
            .map(|address| peers.ask(address, WITHDRAWAL_KIND, body.clone(), TELL_TIMEOUT));
        let answers = futures_util::future::join_all(calls).await;
        let mut all_answered = true;
        for answer in answers {
            match answer.and_then(|a| decode::<Vec<WireWithdrawal>>(&a)) {
                Ok(known) => self.hear(&mut self.state(), known),
                Err(e) => {
                    metrics::counter!("limpetstand_withdrawals_untold_total").increment(1);
                    journal::line("withdrawals_untold")
                        .value("targets", reports.len())
                        .text("error", &e.to_string());
                    all_answered = false;
                }
            }
        }
        all_answered
    }
}

/// Hears what other instances tell of withdrawals, and answers with those that it knows.
pub struct WithdrawalHandler(pub Arc<Follower>);

#[async_trait]
impl PeerHandler for WithdrawalHandler {
    fn kind(&self) -> &'static str {
        WITHDRAWAL_KIND
    }

    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let reports = decode(&body)?;
        self.0.hear(&mut self.0.state(), reports);
        let (_, known) = self.0.withdrawals_after(0);
        let now = self.0.now();
        let known = known.into_iter().map(|r| WireWithdrawal::new(now, r));
        let known: Vec<WireWithdrawal> = known.collect();
        encode(&known)
    }
}

crate::wire_format!("withdrawals", Vec<WireWithdrawal>);
