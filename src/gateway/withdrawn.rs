//! Takes over what other instances have heard of targets: that they leave, want quiet or take a
//! limited number of requests.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::target_attempt::format_rate;
use super::withdrawal_news::WithdrawalReport;
use crate::id::{InstanceId, TargetId};
use crate::journal;

/// Applies the withdrawals that the follower hears of, until the follower ends.
pub(super) async fn apply_withdrawals(gateway: Arc<Gateway>) {
    let mut changes = gateway.follower.withdrawal_changes();
    let mut last_change = 0;
    while changes.changed().await.is_ok() {
        let (change, reports) = gateway.follower.withdrawals_after(last_change);
        last_change = change;
        for report in reports {
            gateway.apply_withdrawal(&report);
        }
    }
}

impl Gateway {
    /// Takes over that a target has told `reporter`, which holds a place there, that it leaves.
    pub(super) fn apply_leaving(&self, target: TargetId, reporter: InstanceId) {
        let view = self.view();
        let Some(known) = view.targets.get(&target) else {
            return;
        };
        self.apply_withdrawal(&WithdrawalReport {
            started_unix_ms: known.entry.started_unix_ms,
            target,
            leaving: true,
            quiet_left: Duration::ZERO,
            limit: None,
            reporter,
            number: 0,
        });
    }

    fn apply_withdrawal(&self, report: &WithdrawalReport) {
        let view = self.view();
        let (target, started) = (&report.target, report.started_unix_ms);
        let Some(known) = view.targets.get(target) else {
            return;
        };
        if known.entry.started_unix_ms != started {
            return;
        }
        if let Some(limit) = report.limit {
            let process = (target.clone(), started);
            if self.pool().limits().hear(&process, limit) {
                metrics::counter!("limpetstand_target_limits_heard_total").increment(1);
                journal::line("target_limit_heard")
                    .text("target", target.as_str())
                    .value("born", started)
                    .value("per_s", format_rate(limit.per_s))
                    .text("reporter", report.reporter.as_str());
            }
        }
        let now = self.clock.now();
        let (prolongs, leaves) = {
            let mut pool = self.pool();
            let withdrawals = pool.withdrawals();
            let known = withdrawals.quiet_left(now, target, started);
            let known = known.map_or(Duration::ZERO, |q| q.left);
            let prolongs = report.quiet_left > known;
            if prolongs {
                withdrawals.record_quiet(now, target, started, report.quiet_left, rand::random());
            }
            let leaves = report.leaving && withdrawals.record_leaving(now, target, started);
            (prolongs, leaves)
        };
        if !prolongs && !leaves {
            // The target has told this instance itself.
            return;
        }
        if leaves {
            self.upstream().close_idle(known.entry.address);
        }
        metrics::counter!("limpetstand_withdrawals_heard_total").increment(1);
        journal::line("withdrawal_heard")
            .text("target", target.as_str())
            .value("born", started)
            .value("leaving", report.leaving)
            .ms("quiet_ms", report.quiet_left)
            .text("reporter", report.reporter.as_str());
    }
}
