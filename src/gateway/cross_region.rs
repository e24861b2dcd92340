//! Relays requests to instances of other regions, and to others of the own region while this instance
//! is cut off from its targets.

use std::sync::Arc;

use super::attempts::{attempt_failed_line, format_ms, no_target_failure, to_millis};
use super::job::{Failure, Job, Reply};
use super::placement::Placement;
use super::pool;
use super::region::RegionStats;
use super::relay::{WireHead, WireJob, WireOutcome, headers_from_wire, status_from_wire};
use super::relay_tries::{NotTaken, PeerFilter, PeerMemory, RelayTries};
use super::source::Source;
use super::{Gateway, lock};
use crate::id::RegionId;
use crate::journal;
use crate::member::{Fleet, Member};
use crate::peer::{PeerError, decode, encode};
use crate::refusal::{Code, Refusal};

impl Gateway {
    /// Relays the request to another instance of a region and returns its answer.
    pub(super) async fn relay_to_region(
        &self,
        job: &mut Job,
        region: &RegionId,
        stats: &RegionStats,
    ) -> Result<Reply, Failure> {
        let fleet = self.fleet();
        let mut last_failure = no_target_failure(job);
        last_failure.try_other_region = true;
        let mut tries = RelayTries::new(&fleet, region);
        while !job.time_left().is_zero() {
            let chosen = self.filter_peers(|f| tries.choose_next(f, &mut rand::rng()));
            let Some(peer) = chosen else {
                return Err(last_failure);
            };
            let message = match encode(&WireJob::from(&*job)) {
                Ok(message) => message,
                Err(e) => {
                    let refusal = Refusal::not_run(Code::TooLarge, e.to_string());
                    return Err(self.failure(job, refusal));
                }
            };
            journal::line("relayed")
                .text("request", &job.id)
                .text("region", region.as_str())
                .text("peer", peer.id.as_str())
                .value(
                    "wait_here_ms",
                    format_ms(stats.wait_ms.get(&self.region).copied()),
                )
                .value(
                    "wait_there_ms",
                    format_ms(stats.wait_ms.get(region).copied()),
                )
                .ms("time_left_ms", job.time_left());
            job.sent = true;
            let relayed = self.peers.relay(peer.peer, message, job.time_left()).await;
            let relayed = match relayed {
                Ok(relayed) => relayed,
                Err(PeerError::NotReached(why)) => {
                    journal::line("instance_not_reached")
                        .text("request", &job.id)
                        .text("peer", peer.id.as_str())
                        .value("nothing_listens", why.nothing_listens())
                        .text("error", &why.to_string());
                    job.sent = false;
                    let why = if why.nothing_listens() {
                        NotTaken::Ended
                    } else {
                        NotTaken::NotReached
                    };
                    self.remember_peer(&fleet, peer, why);
                    tries.record(why);
                    continue;
                }
                Err(e) => {
                    job.attempts += 1;
                    let code = if job.time_left().is_zero() {
                        Code::DeadlineExceeded
                    } else {
                        Code::TargetFailed
                    };
                    return Err(self.relay_failure(
                        job,
                        region,
                        Refusal::unknown(code, e.to_string()),
                    ));
                }
            };
            let head = match decode::<WireHead>(&relayed.head) {
                Ok(head) => head,
                Err(e) => {
                    job.attempts += 1;
                    let refusal = Refusal::unknown(Code::TargetFailed, e.to_string());
                    return Err(self.relay_failure(job, region, refusal));
                }
            };
            self.record_remote_wait(region, &job.service, head.wait_ms);
            if head.is_leaving() {
                self.remember_peer(&fleet, peer, NotTaken::Leaving);
                if head.is_not_sent(job.attempts) {
                    journal::line("instance_leaving")
                        .text("request", &job.id)
                        .text("peer", peer.id.as_str());
                    job.sent = false;
                    tries.record(NotTaken::Leaving);
                    continue;
                }
            } else if head.cut_off {
                self.remember_peer(&fleet, peer, NotTaken::CutOff);
                if head.is_not_sent(job.attempts) {
                    journal::line("instance_cut_off")
                        .text("request", &job.id)
                        .text("peer", peer.id.as_str());
                    job.sent = false;
                    tries.record(NotTaken::CutOff);
                    continue;
                }
            }
            job.attempts = head.attempts;
            let (status, headers, (target, software_version)) = match head.outcome {
                WireOutcome::Refused(refusal) => {
                    return Err(self.relay_failure(job, region, refusal));
                }
                WireOutcome::Answer {
                    status,
                    headers,
                    target,
                    software_version,
                } => (status, headers, (target, software_version)),
            };
            let head = status_from_wire(status)
                .and_then(|status| headers_from_wire(headers).map(|headers| (status, headers)));
            let (status, headers) = match head {
                Ok(head) => head,
                Err(e) => {
                    let refusal = Refusal::unknown(Code::TargetFailed, e.to_string());
                    return Err(self.relay_failure(job, region, refusal));
                }
            };
            return Ok(Reply {
                status,
                headers,
                target,
                software_version,
                attempts: job.attempts,
                source: Source::Peer {
                    id: peer.id.clone(),
                    body: Box::new(relayed.body),
                },
            });
        }
        Err(last_failure)
    }

    /// Passes to `f` which instances requests may be relayed to by what is known now.
    fn filter_peers<T>(&self, f: impl FnOnce(&PeerFilter<'_>) -> T) -> T {
        f(&PeerFilter {
            own: &self.id,
            now: self.clock.now(),
            reach: &self.reach(),
            leaving: &lock(&self.leaving_instances),
        })
    }

    /// Remembers for other requests why an instance did not take one.
    fn remember_peer(&self, fleet: &Fleet, peer: &Member, why: NotTaken) {
        let mut memory = PeerMemory {
            now: self.clock.now(),
            fleet,
            reach: &mut self.reach(),
            leaving: &mut lock(&self.leaving_instances),
        };
        memory.record(peer, why);
    }

    /// Creates the failure of a relayed request that returned no answer.
    fn relay_failure(&self, job: &Job, region: &RegionId, refusal: Refusal) -> Failure {
        let refusal = if job.may_have_run {
            Refusal::unknown(refusal.code(), refusal.message())
        } else {
            refusal
        };
        attempt_failed_line(job, &refusal).text("region", region.as_str());
        let is_quarantined = refusal.code() == Code::Quarantined;
        Failure {
            try_other_region: !is_quarantined,
            ..self.failure(job, refusal)
        }
    }

    /// Returns what the instance knows about the regions that have targets for a request.
    /// `placement` is the outcome of the request for a place in this region, if there was one.
    pub(super) fn region_stats(
        self: &Arc<Self>,
        job: &Job,
        placement: Option<&Placement>,
    ) -> RegionStats {
        let view = self.view();
        let costs = self.region_costs(job);
        let mut stats = RegionStats {
            capacity: pool::capacity(&view, &job.service, job.software_version.as_ref()),
            wait_ms: costs.wait_ms,
            added_cost_ms: costs.added_cost_ms,
            own_targets_ejected: false,
            max_wait_ms: None,
            round_trip_ms: self.region_round_trip_ms,
        };
        let fleet = self.fleet();
        let is_cut_off = self.is_cut_off();
        self.filter_peers(|filter| {
            stats.capacity.retain(|region, _| {
                let has_links = *region == self.region && !is_cut_off;
                let mut members = fleet.live_members(region);
                has_links || members.any(|member| filter.allows(member))
            });
        });
        if is_cut_off {
            // The waits of the own region are those that its other instances tell.
            return stats;
        }
        let (wait_ms, added_ms, ejected) = match placement {
            Some(Placement::Placed(placed)) => {
                let choice = &placed.choice;
                (Some(choice.wait_ms), choice.added_ms, choice.ejected)
            }
            Some(placement) => (placement.wait_ms(), 0.0, false),
            None => {
                let (wait_ms, ejected) = self.local_quote(job);
                (wait_ms, 0.0, ejected)
            }
        };
        stats.added_cost_ms.insert(self.region.clone(), added_ms);
        match wait_ms {
            Some(wait_ms) => {
                stats.own_targets_ejected = ejected;
                stats.wait_ms.insert(self.region.clone(), wait_ms);
                self.ask_regions(job, wait_ms + added_ms);
            }
            // No target of this region takes the request, for example because all targets are cold
            // and have reached their warm-up rate.
            None => {
                stats.capacity.remove(&self.region);
            }
        }
        stats
    }

    /// Returns the expected wait at the best target of this region, and whether that target is
    /// ejected. If all targets have asked for quiet, the wait lasts until the first one takes
    /// requests again.
    fn local_quote(&self, job: &Job) -> (Option<f64>, bool) {
        self.query_pool(job.demand(&[]), |pool, now, view, query| {
            match pool.evaluate(now, view, &self.region, query, rand::random) {
                Some(choice) => (Some(choice.wait_ms), choice.ejected),
                None => {
                    let quiet = pool.quiet_left(now, view, &self.region, query);
                    (quiet.map(|q| to_millis(q.left)), false)
                }
            }
        })
    }
}
