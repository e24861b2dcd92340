//! Routing decisions.

use std::time::Duration;

use rand::{Rng, RngCore};

use super::entry::TargetEntry;
use super::{RoutingState, as_millis_f64};
use crate::route::cost::{Candidate, RegionSelection};
use crate::route::key::{RegionKey, TargetKey};
use crate::route::pool::Pool;
use crate::route::remote::{Region, RemotePool};
use crate::route::{Decision, RouteRequest, Scope, UnroutableReason};

/// Pools with at most this many local targets are sampled without replacement.
const SMALL_POOL_TARGETS: usize = 32;

/// Maximum number of targets scanned for a free target when no sampled target is free.
const DECIDE_SCAN_LIMIT: usize = 512;

/// Maximum number of targets with a cached prompt prefix that are scored besides the sampled
/// targets.
const MAX_PREFIX_HOLDERS: usize = 8;

/// The best local destination for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LocalChoice {
    /// This target, with this cost, can accept the request now.
    Free(TargetKey, f64),
    /// Suitable targets exist, but none is free.
    Busy,
    /// No local target can run the request.
    None,
}

impl RoutingState {
    /// Decides where to send a request now.
    pub fn decide(
        &self,
        now: Duration,
        request: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> Decision {
        let Some(pool) = self.pools.get(request.pool) else {
            return Decision::Unroutable(UnroutableReason::NoTarget);
        };
        let local_allowed = pool.listed_locally && request.regions.contains(&self.region);
        if !local_allowed && !self.any_region_allowed(pool, request) {
            return Decision::Unroutable(UnroutableReason::NoAllowedRegion);
        }
        let local_choice = if local_allowed {
            self.best_local(now, pool, request, rng)
        } else {
            LocalChoice::None
        };
        match self.scorer.region_selection() {
            RegionSelection::LocalOnly => local_decision(local_choice),
            RegionSelection::Random => self.decide_randomly(pool, request, local_choice, rng),
            RegionSelection::ByCost => self.decide_by_cost(now, pool, request, local_choice),
        }
    }

    fn any_region_allowed(&self, pool: &Pool, request: &RouteRequest<'_>) -> bool {
        for (i, remote) in pool.remote.iter().enumerate() {
            if remote.listed && request.regions.contains(&self.region_names[i]) {
                return true;
            }
        }
        false
    }

    /// Returns the regions to which the request may be forwarded.
    fn eligible_regions<'a>(
        &'a self,
        pool: &'a Pool,
        request: &'a RouteRequest<'_>,
    ) -> impl Iterator<Item = (RegionKey, &'a RemotePool)> + 'a {
        pool.remote
            .iter()
            .enumerate()
            .filter_map(move |(i, remote)| {
                let key = RegionKey(i as u16);
                let eligible = request.scope == Scope::AnyRegion
                    && remote.targets > 0
                    && self.regions[i].is_reachable()
                    && request.regions.contains(&self.region_names[i])
                    && !request.failed_regions.contains(&key);
                eligible.then_some((key, remote))
            })
    }

    fn decide_randomly(
        &self,
        pool: &Pool,
        request: &RouteRequest<'_>,
        local_choice: LocalChoice,
        rng: &mut dyn RngCore,
    ) -> Decision {
        let local_targets = match local_choice {
            LocalChoice::None => 0,
            _ => pool.local.len() as u32,
        };
        let mut targets = local_targets;
        for (_, remote) in self.eligible_regions(pool, request) {
            targets += remote.targets;
        }
        if targets == 0 {
            return local_decision(local_choice);
        }
        let mut index = rng.random_range(0..targets);
        if index < local_targets {
            return local_decision(local_choice);
        }
        index -= local_targets;
        for (key, remote) in self.eligible_regions(pool, request) {
            if index < remote.targets {
                return Decision::Forward(key);
            }
            index -= remote.targets;
        }
        local_decision(local_choice)
    }

    fn decide_by_cost(
        &self,
        now: Duration,
        pool: &Pool,
        request: &RouteRequest<'_>,
        local_choice: LocalChoice,
    ) -> Decision {
        let mut lowest_cost = match local_choice {
            LocalChoice::Free(_, cost) => cost,
            LocalChoice::Busy => self.queueing_cost(pool, request),
            LocalChoice::None => f64::INFINITY,
        };
        let mut decision = local_decision(local_choice);
        for (key, remote) in self.eligible_regions(pool, request) {
            let region = &self.regions[key.index()];
            let has_capacity =
                remote.available_slots(self.live_instances, region.usable_fraction(now)) > 0.0
                    && region.available_link_bytes(now) >= request.link_bytes as f64;
            if local_choice != LocalChoice::None && (request.suspect || !has_capacity) {
                continue;
            }
            let cost = self
                .scorer
                .cost(&remote_candidate(now, remote, region, request));
            if cost < lowest_cost {
                lowest_cost = cost;
                decision = Decision::Forward(key);
            }
        }
        decision
    }

    /// Returns the cost of queueing the request until a local target is free.
    fn queueing_cost(&self, pool: &Pool, request: &RouteRequest<'_>) -> f64 {
        let targets = pool.local.len().max(1) as f64;
        let first = pool.local.first().map(|key| &self.entries[key.index()]);
        let slots = first.map_or(1.0, |entry| entry.slots);
        self.scorer.cost(&Candidate {
            in_flight: slots,
            slots,
            wait_ms: as_millis_f64(request.queue_wait),
            capacity: pool.capacity() / targets,
            price: first.map_or(0.0, |entry| entry.price),
            prompt_tokens: request.prompt_tokens as f64,
            cached_tokens: 0.0,
            output_tokens: request.output_tokens as f64,
            full_response: request.full_response,
            link_rtt_ms: 0.0,
            link_utilization: 0.0,
        })
    }

    fn best_local(
        &self,
        now: Duration,
        pool: &Pool,
        request: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> LocalChoice {
        if request.suspect {
            return self.best_for_suspect(now, pool, request);
        }
        let mut best = LocalChoice::None;
        if let Some(key) = request.hint
            && self.entries[key.index()].pools.contains(&pool.key())
        {
            best = self.better_of(now, request, best, key);
        }
        for key in self
            .prefixes
            .holders(request.blocks)
            .iter()
            .take(MAX_PREFIX_HOLDERS)
        {
            if self.entries[key.index()].pools.contains(&pool.key()) {
                best = self.better_of(now, request, best, *key);
            }
        }
        let samples = self.scorer.samples().max(1);
        if pool.local.len() <= SMALL_POOL_TARGETS {
            best = self.sample_small_pool(now, pool, request, best, samples, rng);
        } else {
            for _ in 0..samples {
                if let Some(key) = pool.sample(rng) {
                    best = self.better_of(now, request, best, key);
                }
            }
        }
        if let LocalChoice::Free(..) = best {
            return best;
        }
        self.scan(now, pool, request, best, rng)
    }

    /// Returns the best target for a suspect request among the targets assigned to this instance,
    /// so that two instances do not run suspects on the same target. If none of these targets is
    /// free or worth waiting for, considers all targets.
    fn best_for_suspect(
        &self,
        now: Duration,
        pool: &Pool,
        request: &RouteRequest<'_>,
    ) -> LocalChoice {
        let local_instances = self.local_instances as usize;
        let mut best = LocalChoice::None;
        for key in pool.local.iter().skip(self.rank).step_by(local_instances) {
            best = self.better_of(now, request, best, *key);
        }
        if best != LocalChoice::None {
            return best;
        }
        for key in &pool.local {
            best = self.better_of(now, request, best, *key);
        }
        best
    }

    /// Scores `samples` random targets of a small pool, without replacement.
    fn sample_small_pool(
        &self,
        now: Duration,
        pool: &Pool,
        request: &RouteRequest<'_>,
        mut best: LocalChoice,
        samples: usize,
        rng: &mut dyn RngCore,
    ) -> LocalChoice {
        let mut remaining = pool.local.len();
        let mut samples = samples.min(remaining);
        for key in &pool.local {
            if rng.random_range(0..remaining) < samples {
                best = self.better_of(now, request, best, *key);
                samples -= 1;
            }
            remaining -= 1;
        }
        best
    }

    /// Scans at most `DECIDE_SCAN_LIMIT` targets from a random position on until a free target is
    /// found.
    fn scan(
        &self,
        now: Duration,
        pool: &Pool,
        request: &RouteRequest<'_>,
        mut best: LocalChoice,
        rng: &mut dyn RngCore,
    ) -> LocalChoice {
        if pool.local.is_empty() {
            return best;
        }
        let start = rng.random_range(0..pool.local.len());
        let (before, from) = pool.local.split_at(start);
        for key in from.iter().chain(before).take(DECIDE_SCAN_LIMIT) {
            best = self.better_of(now, request, best, *key);
            if let LocalChoice::Free(..) = best {
                return best;
            }
        }
        best
    }

    /// Returns the better of the best choice so far and one more target.
    fn better_of(
        &self,
        now: Duration,
        request: &RouteRequest<'_>,
        best: LocalChoice,
        key: TargetKey,
    ) -> LocalChoice {
        let entry = &self.entries[key.index()];
        if request.failed_targets.contains(&key) || !entry.listed || entry.leaving {
            return best;
        }
        if !entry.accepts_requests() {
            // A suspended target may recover soon; waiting for an ejected target is not worthwhile.
            return match best {
                LocalChoice::None if !entry.health.is_ejected() => LocalChoice::Busy,
                _ => best,
            };
        }
        let blocked = request.suspect && entry.suspect_requests > 0;
        let full = self.scorer.queues_when_busy() && entry.free_slots(now) < 1.0;
        if blocked || full {
            return match best {
                LocalChoice::None => LocalChoice::Busy,
                _ => best,
            };
        }
        let cost = self.scorer.cost(&self.candidate(now, entry, key, request));
        match best {
            LocalChoice::Free(_, best_cost) if best_cost <= cost => best,
            _ => LocalChoice::Free(key, cost),
        }
    }

    fn candidate(
        &self,
        now: Duration,
        entry: &TargetEntry,
        key: TargetKey,
        request: &RouteRequest<'_>,
    ) -> Candidate {
        let in_flight = entry.estimated_in_flight(now);
        let slots = (entry.slots * entry.health.usable_fraction(now)).max(1.0);
        let excess = (in_flight + 1.0 - slots).max(0.0);
        let service_ms = 1_000.0 * request.output_tokens as f64 * slots / entry.capacity.max(1.0);
        let cached = self.prefixes.cached_tokens(now, key, request.blocks);
        Candidate {
            in_flight,
            slots,
            wait_ms: excess * service_ms / slots,
            capacity: entry.capacity,
            price: entry.price,
            prompt_tokens: request.prompt_tokens as f64,
            cached_tokens: cached.min(request.prompt_tokens) as f64,
            output_tokens: request.output_tokens as f64,
            full_response: request.full_response,
            link_rtt_ms: 0.0,
            link_utilization: 0.0,
        }
    }
}

fn local_decision(local_choice: LocalChoice) -> Decision {
    match local_choice {
        LocalChoice::Free(key, _) => Decision::Local(key),
        LocalChoice::Busy => Decision::Queue,
        LocalChoice::None => Decision::Unroutable(UnroutableReason::NoTarget),
    }
}

fn remote_candidate(
    now: Duration,
    remote: &RemotePool,
    region: &Region,
    request: &RouteRequest<'_>,
) -> Candidate {
    let targets = f64::from(remote.targets.max(1));
    Candidate {
        in_flight: remote.in_flight() / targets,
        slots: remote.slots / targets,
        wait_ms: remote.wait_ms(),
        capacity: remote.capacity / targets,
        price: remote.price,
        prompt_tokens: request.prompt_tokens as f64,
        cached_tokens: 0.0,
        output_tokens: request.output_tokens as f64,
        full_response: request.full_response,
        link_rtt_ms: region.link_rtt_ms,
        link_utilization: region.link_utilization(now),
    }
}
