//! Routing state: the local region's targets, summaries of the other regions, and the decisions
//! based on them.

mod decide;
mod entry;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use self::entry::{LoadReport, TargetEntry};
use super::RouteRequest;
use super::cost::Scorer;
use super::health::{Failure, Health};
use super::key::{PoolName, RegionKey, TargetKey};
use super::pool::Pools;
use super::prefix::PrefixIndex;
use super::remote::{PoolSummary, Region, RegionSummary, RemotePool};
use crate::id::{InstanceId, RegionId, TargetId};
use crate::member::{Fleet, Health as MemberHealth};
use crate::platform::{ListedTarget, ServiceState};
use crate::target::{CacheEvents, Load, TargetAddress};

/// Upper bound of the result of [`RoutingState::expected_time`].
const MAX_EXPECTED_DURATION: Duration = Duration::from_secs(300);

/// Maximum number of targets that `RoutingState::find_free_target` checks.
const FIND_FREE_SCAN_LIMIT: usize = 512;

/// Builds a [`RoutingState`].
pub struct RoutingStateBuilder {
    instance: Option<InstanceId>,
    region: RegionId,
    scorer: Arc<dyn Scorer>,
}

impl RoutingStateBuilder {
    /// Creates a builder for an instance in `region` that routes with the policy `scorer`.
    pub fn new(region: RegionId, scorer: Arc<dyn Scorer>) -> Self {
        Self {
            instance: None,
            region,
            scorer,
        }
    }

    /// Sets the local instance's name, which determines its share of the targets for suspect
    /// requests.
    pub fn instance(mut self, instance: InstanceId) -> Self {
        self.instance = Some(instance);
        self
    }

    /// Builds a routing state without targets.
    pub fn build(self) -> RoutingState {
        RoutingState {
            instance: self.instance,
            region: self.region,
            scorer: self.scorer,
            entries: Vec::new(),
            unused_keys: Vec::new(),
            by_address: HashMap::new(),
            pools: Pools::default(),
            region_names: Vec::new(),
            regions: Vec::new(),
            prefixes: PrefixIndex::default(),
            live_instances: 1.0,
            local_instances: 1.0,
            rank: 0,
            initialized: false,
        }
    }
}

/// The targets of the local region and summaries of the other regions.
pub struct RoutingState {
    instance: Option<InstanceId>,
    region: RegionId,
    scorer: Arc<dyn Scorer>,
    entries: Vec<TargetEntry>,
    unused_keys: Vec<TargetKey>,
    by_address: HashMap<(TargetId, SocketAddr), TargetKey>,
    pools: Pools,
    region_names: Vec<RegionId>,
    regions: Vec<Region>,
    prefixes: PrefixIndex,
    /// Number of live instances of all regions, which act on the same summaries.
    live_instances: f64,
    /// Number of live instances of the local region.
    local_instances: f64,
    /// Position of this instance among the live instances of the local region, ordered by name.
    rank: usize,
    initialized: bool,
}

impl RoutingState {
    /// Returns the local region.
    pub fn region(&self) -> &RegionId {
        &self.region
    }

    /// Returns whether requests are queued while all local targets are busy.
    pub fn queues_when_busy(&self) -> bool {
        self.scorer.queues_when_busy()
    }

    /// Applies a new view of the fleet.
    pub fn update_fleet(&mut self, now: Duration, fleet: &Fleet) {
        for entry in &mut self.entries {
            entry.listed = false;
            entry.pools.clear();
        }
        let mut previous_pools = std::mem::take(&mut self.pools);
        // Sort so that all instances order the targets alike, whatever the order of the list.
        let mut targets: Vec<&ListedTarget> = fleet.targets.iter().collect();
        targets.sort_unstable_by(|a, b| (&a.id, a.address).cmp(&(&b.id, b.address)));
        for listed in targets {
            if listed.region == self.region {
                self.add_local(now, listed);
            } else {
                self.add_remote(now, listed, &mut previous_pools);
            }
        }
        self.count_instances(fleet);
        self.release_unlisted();
        self.initialized = true;
    }

    fn add_local(&mut self, now: Duration, listed: &ListedTarget) {
        let key = self.target_key(now, listed);
        let leaving = listed.state == ServiceState::Leaving;
        for name in PoolName::of_target(listed) {
            let pool = self.pools.get_or_add(name);
            pool.listed_locally = true;
            if !leaving {
                pool.add_local(key, listed.capacity);
                self.entries[key.index()].pools.push(pool.key());
            }
        }
    }

    fn target_key(&mut self, now: Duration, listed: &ListedTarget) -> TargetKey {
        let name = (listed.id.clone(), listed.address);
        if let Some(key) = self.by_address.get(&name) {
            self.entries[key.index()].update(listed);
            return *key;
        }
        let health = if self.initialized {
            Health::cold(now)
        } else {
            Health::up()
        };
        let entry = TargetEntry::new(listed, health);
        let key = match self.unused_keys.pop() {
            Some(key) => {
                self.entries[key.index()] = entry;
                key
            }
            None => {
                self.entries.push(entry);
                TargetKey(self.entries.len() as u32 - 1)
            }
        };
        self.by_address.insert(name, key);
        key
    }

    fn add_remote(&mut self, now: Duration, listed: &ListedTarget, previous_pools: &mut Pools) {
        let region = self.region_key(now, &listed.region);
        let leaving = listed.state == ServiceState::Leaving;
        for name in PoolName::of_target(listed) {
            let previous_pool = previous_pools.get_mut(&name);
            let pool = self.pools.get_or_add(name);
            if pool.remote.len() <= region.index() {
                pool.remote
                    .resize_with(region.index() + 1, RemotePool::default);
            }
            let remote = &mut pool.remote[region.index()];
            if remote.targets == 0 {
                let previous = previous_pool.and_then(|p| p.remote.get_mut(region.index()));
                remote.keep_summary(previous);
            }
            remote.listed = true;
            if !leaving {
                remote.add(listed.capacity, f64::from(listed.slots), listed.price);
            }
        }
    }

    fn region_key(&mut self, now: Duration, region: &RegionId) -> RegionKey {
        if let Some(key) = self.find_region(region) {
            return key;
        }
        self.region_names.push(region.clone());
        self.regions.push(Region::new(now));
        RegionKey(self.regions.len() as u16 - 1)
    }

    fn count_instances(&mut self, fleet: &Fleet) {
        let mut local_count = 0;
        let mut remote_count = 0;
        let mut rank = 0;
        for member in &fleet.members {
            if member.health != MemberHealth::Live {
                continue;
            }
            if member.region == self.region {
                local_count += 1;
                rank += usize::from(Some(&member.id) < self.instance.as_ref());
            } else {
                remote_count += 1;
            }
        }
        for region in &mut self.regions {
            region.set_local_instances(local_count);
        }
        self.live_instances = (local_count + remote_count).max(1) as f64;
        self.local_instances = local_count.max(1) as f64;
        self.rank = rank;
    }

    /// Returns the number of live instances that share the local region's targets.
    pub fn local_instances(&self) -> f64 {
        self.local_instances
    }

    /// Returns a local target of the pool that can accept a request now: `hint` if it is free,
    /// otherwise the first free target of a bounded search that starts at index `start`.
    pub fn find_free_target(
        &self,
        now: Duration,
        name: &PoolName,
        hint: Option<TargetKey>,
        start: usize,
    ) -> Option<TargetKey> {
        let pool = self.pools.get(name)?;
        let is_free = |key: &TargetKey| {
            let entry = &self.entries[key.index()];
            entry.accepts_requests()
                && entry.free_slots(now) >= 1.0
                && entry.pools.contains(&pool.key())
        };
        if hint.as_ref().is_some_and(is_free) {
            return hint;
        }
        let (before, from) = pool.local.split_at(start % pool.local.len().max(1));
        let all = from.iter().chain(before);
        all.take(FIND_FREE_SCAN_LIMIT).copied().find(is_free)
    }

    fn release_unlisted(&mut self) {
        for (i, entry) in self.entries.iter().enumerate() {
            if entry.listed || entry.in_flight > 0 {
                continue;
            }
            let key = TargetKey(i as u32);
            let name = (entry.address.id.clone(), entry.address.address);
            if self.by_address.get(&name) != Some(&key) {
                continue;
            }
            self.by_address.remove(&name);
            self.prefixes.remove_target(key);
            self.unused_keys.push(key);
        }
    }

    /// Returns the key of a region other than the local region.
    pub fn find_region(&self, region: &RegionId) -> Option<RegionKey> {
        let index = self.region_names.iter().position(|name| name == region)?;
        Some(RegionKey(index as u16))
    }

    /// Returns the name of a region.
    pub fn region_name(&self, key: RegionKey) -> &RegionId {
        &self.region_names[key.index()]
    }

    /// Returns the names of all other regions.
    pub fn other_regions(&self) -> &[RegionId] {
        &self.region_names
    }

    /// Returns the key of a target of the local region.
    pub fn find_target(&self, id: &TargetId, address: SocketAddr) -> Option<TargetKey> {
        self.by_address.get(&(id.clone(), address)).copied()
    }

    /// Returns a target's address and the name of its target plug-in.
    pub fn target(&self, key: TargetKey) -> (&TargetAddress, &SmolStr) {
        let entry = &self.entries[key.index()];
        (&entry.address, &entry.plugin)
    }

    /// Records that a request was sent to a target.
    pub fn record_start(&mut self, key: TargetKey, suspect: bool) {
        let entry = &mut self.entries[key.index()];
        entry.in_flight += 1;
        if suspect {
            entry.suspect_requests += 1;
        }
    }

    /// Records that a request has ended at a target.
    pub fn record_end(&mut self, key: TargetKey, suspect: bool) {
        let entry = &mut self.entries[key.index()];
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if suspect {
            entry.suspect_requests = entry.suspect_requests.saturating_sub(1);
        }
    }

    /// Records that an attempt received its complete response.
    pub fn record_success(&mut self, key: TargetKey) {
        self.entries[key.index()].health.record_success();
    }

    /// Records the failure of an attempt that started at `started`.
    pub fn record_failure(
        &mut self,
        now: Duration,
        started: Duration,
        key: TargetKey,
        failure: Failure,
    ) {
        let entry = &mut self.entries[key.index()];
        entry.health.record_failure(now, started, failure);
        if entry.health.is_ejected() {
            self.prefixes.remove_target(key);
        }
    }

    /// Records that a request was forwarded to a region.
    pub fn record_forward(
        &mut self,
        now: Duration,
        region: RegionKey,
        pool: &PoolName,
        bytes: u64,
    ) {
        self.regions[region.index()].charge_link(now, bytes);
        let pool = self.pools.get_mut(pool);
        if let Some(remote) = pool.and_then(|p| p.remote.get_mut(region.index())) {
            remote.record_forward();
        }
    }

    /// Records a target's load report.
    pub fn record_load(
        &mut self,
        now: Duration,
        key: TargetKey,
        address: &TargetAddress,
        load: Load,
    ) {
        let Some(entry) = self.entry_at(key, address) else {
            return;
        };
        let all = load.running.saturating_add(load.waiting);
        entry.report = Some(LoadReport {
            received: now,
            other_requests: all.saturating_sub(entry.in_flight),
        });
    }

    /// Records a target's cache events.
    pub fn record_cache_events(
        &mut self,
        now: Duration,
        key: TargetKey,
        address: &TargetAddress,
        events: &CacheEvents,
    ) {
        if self.entry_at(key, address).is_some() {
            self.prefixes.apply(now, key, events);
        }
    }

    /// Returns a target's entry; `None` if the key has been reused for another target.
    fn entry_at(&mut self, key: TargetKey, address: &TargetAddress) -> Option<&mut TargetEntry> {
        let entry = self.entries.get_mut(key.index())?;
        (entry.address == *address).then_some(entry)
    }

    /// Returns the sequence number of the last cache event recorded for a target.
    pub fn last_cache_event(&self, key: TargetKey) -> u64 {
        self.prefixes.last_event(key)
    }

    /// Records a summary that an instance of another region sent after `elapsed`.
    pub fn record_summary(
        &mut self,
        now: Duration,
        region: RegionKey,
        summary: &RegionSummary,
        elapsed: Duration,
    ) {
        self.regions[region.index()].record_response(now, elapsed);
        for pool_summary in &summary.pools {
            let pool = self.pools.get_mut(&pool_summary.name);
            if let Some(remote) = pool.and_then(|p| p.remote.get_mut(region.index())) {
                remote.record_summary(pool_summary);
            }
        }
    }

    /// Records that no instance of a region answered a summary request.
    pub fn record_missed_summary(&mut self, region: RegionKey) {
        self.regions[region.index()].record_miss();
    }

    /// Returns a summary of the local region for instances of other regions.
    pub fn summary(&self, now: Duration, wait_of: impl Fn(&PoolName) -> Duration) -> RegionSummary {
        let mut pools = Vec::new();
        for (name, pool) in self.pools.iter() {
            let mut free = 0.0;
            for key in &pool.local {
                let entry = &self.entries[key.index()];
                if entry.accepts_requests() {
                    free += entry.free_slots(now).max(0.0);
                }
            }
            pools.push(PoolSummary {
                name: name.clone(),
                free_slots: free as f32,
                wait_ms: as_millis_f64(wait_of(name)) as f32,
            });
        }
        RegionSummary { pools }
    }

    /// Returns the expected duration of a request at the pool's first local target: until the first
    /// token if `stream` is set, otherwise until the complete response.
    pub fn expected_time(
        &self,
        name: &PoolName,
        request: &RouteRequest<'_>,
        stream: bool,
    ) -> Duration {
        let first = self.pools.get(name).and_then(|pool| pool.local.first());
        let Some(entry) = first.map(|key| &self.entries[key.index()]) else {
            return Duration::ZERO;
        };
        let capacity = entry.capacity.max(f64::MIN_POSITIVE);
        let tokens = match name {
            PoolName::Service(_) => entry.slots,
            PoolName::Model(_) if stream => request.prompt_tokens as f64,
            PoolName::Model(_) => {
                request.prompt_tokens as f64 + entry.slots * request.output_tokens as f64
            }
        };
        let seconds = (tokens / capacity).min(MAX_EXPECTED_DURATION.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    /// Returns the total throughput, in tokens per second, of a pool's local targets that accept
    /// requests.
    pub fn capacity(&self, name: &PoolName) -> f64 {
        let Some(pool) = self.pools.get(name) else {
            return 0.0;
        };
        let mut capacity = 0.0;
        for key in &pool.local {
            let entry = &self.entries[key.index()];
            if entry.accepts_requests() {
                capacity += entry.capacity;
            }
        }
        capacity
    }

    /// Returns the targets whose probe is due, and marks these probes as started.
    pub fn start_due_probes(&mut self, now: Duration) -> Vec<TargetKey> {
        let mut due = Vec::new();
        for (i, entry) in self.entries.iter_mut().enumerate() {
            if entry.listed && entry.health.start_probe(now) {
                due.push(TargetKey(i as u32));
            }
        }
        due
    }

    /// Records the outcome of a probe.
    pub fn record_probe(
        &mut self,
        now: Duration,
        key: TargetKey,
        address: &TargetAddress,
        answered: bool,
    ) {
        let Some(entry) = self.entry_at(key, address) else {
            return;
        };
        entry.health.record_probe(now, answered);
        if entry.health.is_ejected() {
            entry.report = None;
            self.prefixes.remove_target(key);
        }
    }

    /// Returns all targets that accept requests, for polling.
    pub fn available_targets(&self) -> Vec<TargetKey> {
        let mut up = Vec::new();
        for (i, entry) in self.entries.iter().enumerate() {
            if entry.accepts_requests() {
                up.push(TargetKey(i as u32));
            }
        }
        up
    }
}

fn as_millis_f64(d: Duration) -> f64 {
    d.as_secs_f64() * 1_000.0
}
