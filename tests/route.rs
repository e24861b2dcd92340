//! Checks routing decisions against a full scan and the prefix index against the caches' actual
//! contents.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetstand::id::RegionId;
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::platform::{ListedTarget, ServiceState};
use limpetstand::route::{
    BlockHash, Candidate, Decision, Failure, PoolName, PrefixIndex, RegionKey, RegionSelection,
    RouteRequest, RoutingState, RoutingStateBuilder, Scope, Scorer, ScorerPlugin, TargetKey,
    UnroutableReason, prompt_blocks, scorer,
};
use limpetstand::target::{CacheChange, CacheEvent, CacheEvents};
use limpetstand_standin::engine::block_hashes;
use proptest::collection::vec;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

const REGIONS: [&str; 3] = ["a", "b", "c"];
const MODELS: [&str; 2] = ["m", "n"];
const LOCAL_REGION: &str = "a";
const NOW: Duration = Duration::from_secs(100);

/// Scores all targets, so that its choice must equal the lowest cost of a full scan.
#[derive(Debug)]
struct Exhaustive;

impl Scorer for Exhaustive {
    fn cost(&self, c: &Candidate) -> f64 {
        1_000.0 * c.in_flight / c.slots + 7.0 * c.price + c.link_rtt_ms + c.wait_ms
    }

    fn samples(&self) -> usize {
        usize::MAX
    }

    fn region_selection(&self) -> RegionSelection {
        RegionSelection::ByCost
    }

    fn queues_when_busy(&self) -> bool {
        true
    }
}

inventory::submit!(ScorerPlugin {
    name: "exhaustive",
    make: || Arc::new(Exhaustive),
});

/// A listed target and its routing state.
#[derive(Debug, Clone)]
struct TargetSpec {
    region: usize,
    model: usize,
    slots: u32,
    price: u32,
    leaving: bool,
    in_flight: u32,
    ejected: bool,
    tried: bool,
}

fn spec() -> impl Strategy<Value = TargetSpec> {
    let listed = (
        0..3usize,
        0..2usize,
        1..4u32,
        0..5u32,
        prop::bool::weighted(0.2),
    );
    let state = (
        0..5u32,
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.2),
    );
    (listed, state).prop_map(
        |((region, model, slots, price, leaving), state)| TargetSpec {
            region,
            model,
            slots,
            price,
            leaving,
            in_flight: state.0,
            ejected: state.1,
            tried: state.2,
        },
    )
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + n as u16))
}

fn listed(n: usize, spec: &TargetSpec) -> ListedTarget {
    ListedTarget {
        id: format!("t{n}").into(),
        address: address(n),
        region: REGIONS[spec.region].into(),
        data_centre: "dc".into(),
        state: match spec.leaving {
            true => ServiceState::Leaving,
            false => ServiceState::Live,
        },
        plugin: "openai".into(),
        models: vec![MODELS[spec.model].into()],
        service: None,
        capacity: 100.0,
        slots: spec.slots,
        price: f64::from(spec.price),
    }
}

fn member() -> Member {
    Member {
        id: "i".into(),
        incarnation: 1,
        front: address(1),
        peer: address(2),
        region: LOCAL_REGION.into(),
        data_centre: "dc".into(),
        health: Health::Live,
    }
}

/// Returns the routing state that `specs` describe.
fn routing_state(policy: &str, specs: &[TargetSpec]) -> RoutingState {
    let mut fleet = Fleet::default();
    fleet.members.push(member());
    for (n, spec) in specs.iter().enumerate() {
        fleet.targets.push(listed(n, spec));
    }
    let mut routing_state = RoutingStateBuilder::new(
        LOCAL_REGION.into(),
        scorer(policy).expect("the policy is registered"),
    )
    .build();
    routing_state.update_fleet(NOW, &fleet);
    for (n, spec) in specs.iter().enumerate() {
        let Some(key) = target_key(&routing_state, n, specs) else {
            continue;
        };
        for _ in 0..spec.in_flight {
            routing_state.record_start(key, false);
        }
        if spec.ejected {
            routing_state.record_failure(NOW, NOW, key, Failure::ConnectFailed);
        }
    }
    routing_state
}

fn target_key(routing_state: &RoutingState, n: usize, specs: &[TargetSpec]) -> Option<TargetKey> {
    if REGIONS[specs[n].region] != LOCAL_REGION {
        return None;
    }
    routing_state.find_target(&format!("t{n}").into(), address(n))
}

/// Reference implementation of routing: a full scan without indexes.
struct FullScan<'a> {
    specs: &'a [TargetSpec],
    regions: &'a [RegionId],
    model: usize,
    local_only: bool,
}

impl FullScan<'_> {
    fn allows(&self, region: usize) -> bool {
        self.regions.contains(&REGIONS[region].into())
    }

    fn in_pool(&self, region: usize) -> impl Iterator<Item = (usize, &TargetSpec)> {
        let all = self.specs.iter().enumerate();
        all.filter(move |(_, s)| s.region == region && s.model == self.model)
    }

    /// Returns the local targets that can accept the request now.
    fn free(&self) -> Vec<usize> {
        if !self.allows(0) {
            return Vec::new();
        }
        let free = self
            .in_pool(0)
            .filter(|(_, s)| !s.leaving && !s.ejected && !s.tried && s.in_flight < s.slots);
        free.map(|(n, _)| n).collect()
    }

    /// Returns whether a local target may become free for the request.
    fn has_busy_target(&self) -> bool {
        self.allows(0)
            && self
                .in_pool(0)
                .any(|(_, s)| !s.leaving && !s.ejected && !s.tried)
    }

    /// Returns the other regions to which the request may be forwarded.
    fn open_regions(&self) -> Vec<usize> {
        let open_regions = (1..3).filter(|r| {
            !self.local_only && self.allows(*r) && self.in_pool(*r).any(|(_, s)| !s.leaving)
        });
        open_regions.collect()
    }

    fn is_allowed_somewhere(&self) -> bool {
        (0..3).any(|r| self.allows(r) && self.in_pool(r).next().is_some())
    }

    fn has_pool(&self) -> bool {
        self.specs.iter().any(|s| s.model == self.model)
    }

    fn local_cost(&self, n: usize) -> f64 {
        let spec = &self.specs[n];
        1_000.0 * f64::from(spec.in_flight) / f64::from(spec.slots) + 7.0 * f64::from(spec.price)
    }

    /// Returns the cost of a region without a summary, which is assumed to be full.
    fn remote_cost(&self, region: usize) -> f64 {
        let live: Vec<&TargetSpec> = self
            .in_pool(region)
            .map(|(_, s)| s)
            .filter(|s| !s.leaving)
            .collect();
        let prices: f64 = live.iter().map(|s| f64::from(s.price)).sum();
        1_000.0 + 7.0 * prices / live.len() as f64 + 160.0 + 200.0
    }
}

fn pool(model: usize) -> PoolName {
    PoolName::Model(MODELS[model].into())
}

struct Decided {
    routing_state: RoutingState,
    decision: Decision,
}

fn decide(policy: &str, full_scan: &FullScan<'_>, seed: u64) -> Decided {
    let routing_state = routing_state(policy, full_scan.specs);
    let mut tried = Vec::new();
    for (n, spec) in full_scan.specs.iter().enumerate() {
        if spec.tried {
            tried.extend(target_key(&routing_state, n, full_scan.specs));
        }
    }
    let request = RouteRequest {
        pool: &pool(full_scan.model),
        regions: full_scan.regions,
        scope: match full_scan.local_only {
            true => Scope::LocalRegion,
            false => Scope::AnyRegion,
        },
        prompt_tokens: 0,
        output_tokens: 0,
        full_response: false,
        link_bytes: 100,
        blocks: &[],
        failed_targets: &tried,
        failed_regions: &[],
        hint: None,
        suspect: false,
        queue_wait: Duration::from_secs(3600),
    };
    let decision = routing_state.decide(NOW, &request, &mut SmallRng::seed_from_u64(seed));
    Decided {
        routing_state,
        decision,
    }
}

fn region_index(routing_state: &RoutingState, region: RegionKey) -> usize {
    let name = routing_state.region_name(region);
    REGIONS
        .iter()
        .position(|r| *r == name.as_str())
        .expect("the region is one of REGIONS")
}

fn regions() -> impl Strategy<Value = Vec<RegionId>> {
    proptest::sample::subsequence(REGIONS.to_vec(), 0..=3)
        .prop_map(|names| names.into_iter().map(RegionId::from).collect())
}

proptest! {
    /// A policy that scores all targets chooses the lowest cost of a full scan.
    #[test]
    fn exhaustive_policy_chooses_lowest_cost(
        specs in vec(spec(), 0..14),
        regions in regions(),
        model in 0..2usize,
        local_only in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let full_scan = FullScan { specs: &specs, regions: &regions, model, local_only };
        let Decided { routing_state, decision } = decide("exhaustive", &full_scan, seed);
        let mut lowest_cost = f64::INFINITY;
        for n in full_scan.free() {
            lowest_cost = lowest_cost.min(full_scan.local_cost(n));
        }
        let lowest_remote_cost = full_scan
            .open_regions()
            .into_iter()
            .map(|r| full_scan.remote_cost(r))
            .fold(f64::INFINITY, f64::min);
        match decision {
            Decision::Local(key) => {
                let chosen = full_scan
                    .free()
                    .into_iter()
                    .find(|n| target_key(&routing_state, *n, &specs) == Some(key));
                let chosen = chosen.expect("the chosen target is not free in the full scan");
                prop_assert_eq!(full_scan.local_cost(chosen), lowest_cost);
                prop_assert!(lowest_cost <= lowest_remote_cost);
            }
            Decision::Forward(key) => {
                let region = region_index(&routing_state, key);
                prop_assert!(full_scan.open_regions().contains(&region));
                prop_assert!((full_scan.remote_cost(region) - lowest_remote_cost).abs() < 1e-6);
                prop_assert!(lowest_remote_cost < lowest_cost);
            }
            Decision::Queue => {
                prop_assert!(full_scan.has_busy_target() && full_scan.free().is_empty());
                prop_assert!(full_scan.open_regions().is_empty());
            }
            Decision::Unroutable(UnroutableReason::NoAllowedRegion) => {
                prop_assert!(full_scan.has_pool() && !full_scan.is_allowed_somewhere());
            }
            Decision::Unroutable(UnroutableReason::NoTarget) => {
                prop_assert!(!full_scan.has_busy_target() && full_scan.open_regions().is_empty());
                prop_assert!(!full_scan.has_pool() || full_scan.is_allowed_somewhere());
            }
        }
    }

    /// Sampling policies choose a free target whenever a full scan finds one, and never any other
    /// target.
    #[test]
    fn sampling_policies_choose_free_targets(
        specs in vec(spec(), 0..60),
        regions in regions(),
        policy in prop::sample::select(vec!["cost", "nearest-only"]),
        seed in any::<u64>(),
    ) {
        let full_scan = FullScan { specs: &specs, regions: &regions, model: 0, local_only: true };
        let Decided { routing_state, decision } = decide(policy, &full_scan, seed);
        let free: Vec<TargetKey> = full_scan
            .free()
            .into_iter()
            .filter_map(|n| target_key(&routing_state, n, &specs))
            .collect();
        match decision {
            Decision::Local(key) => prop_assert!(free.contains(&key)),
            Decision::Forward(_) => prop_assert!(false, "forwarded although limited to the local region"),
            Decision::Queue => prop_assert!(free.is_empty() && full_scan.has_busy_target()),
            Decision::Unroutable(_) => prop_assert!(free.is_empty() && !full_scan.has_busy_target()),
        }
    }

    /// The random policy chooses only allowed regions.
    #[test]
    fn random_policy_respects_residency(
        specs in vec(spec(), 0..20),
        regions in regions(),
        seed in any::<u64>(),
    ) {
        let full_scan = FullScan { specs: &specs, regions: &regions, model: 0, local_only: false };
        let Decided { routing_state, decision } = decide("random", &full_scan, seed);
        match decision {
            Decision::Local(_) => prop_assert!(full_scan.allows(0)),
            Decision::Forward(key) => prop_assert!(full_scan.open_regions().contains(&region_index(&routing_state, key))),
            Decision::Queue | Decision::Unroutable(_) => {}
        }
    }
}

/// A change of a cache, and whether its event is lost.
#[derive(Debug, Clone)]
struct Step {
    block: u64,
    stored: bool,
    lost: bool,
}

fn step() -> impl Strategy<Value = Step> {
    (0..6u64, any::<bool>(), prop::bool::weighted(0.15)).prop_map(|(block, stored, lost)| Step {
        block,
        stored,
        lost,
    })
}

proptest! {
    /// The index contains only blocks that the cache held at the last reported event, and all of
    /// these blocks if no event was lost.
    #[test]
    fn prefix_index_matches_cache_events(batches in vec(vec(step(), 0..8), 0..6)) {
        let specs = [TargetSpec {
            region: 0, model: 0, slots: 1, price: 0, leaving: false,
            in_flight: 0, ejected: false, tried: false,
        }];
        let key = target_key(&routing_state("cost", &specs), 0, &specs).expect("the target is listed");
        let mut index = PrefixIndex::default();
        let mut cached = BTreeSet::new();
        let mut cached_at_last_event = BTreeSet::new();
        let mut sequence = 0;
        let mut gap = false;
        for batch in &batches {
            let mut reported = CacheEvents::default();
            for step in batch {
                sequence += 1;
                let change = match step.stored {
                    true => { cached.insert(step.block); CacheChange::Stored(step.block) }
                    false => { cached.remove(&step.block); CacheChange::Removed(step.block) }
                };
                if step.lost {
                    gap = true;
                    continue;
                }
                reported.events.push(CacheEvent { sequence, change });
                cached_at_last_event = cached.clone();
            }
            index.apply(NOW, key, &reported);
            for block in 0..6 {
                let held = index.cached_tokens(NOW, key, &[BlockHash(block)]) > 0;
                prop_assert!(!held || cached_at_last_event.contains(&block), "block {block} is not in the cache");
                prop_assert!(gap || held == cached_at_last_event.contains(&block));
                let holders = index.holders(&[BlockHash(block)]);
                prop_assert_eq!(holders.contains(&key), held);
            }
        }
    }

    /// The gateway computes the same block hashes as the engines.
    #[test]
    fn block_hashes_match_the_engine(words in vec("[a-z\\\\\"é]{1,6}", 0..90)) {
        let text = words.join(" ");
        let expected: Vec<BlockHash> = block_hashes(&text).into_iter().map(BlockHash).collect();
        let whole = json!({ "model": "m", "prompt": text }).to_string();
        prop_assert_eq!(&prompt_blocks(whole.as_bytes()), &expected);
        let (first, rest) = words.split_at(words.len() / 2);
        let chat = json!({ "messages": [
            { "role": "system", "content": first.join(" ") },
            { "role": "user", "content": rest.join("\n") },
        ]});
        prop_assert_eq!(&prompt_blocks(chat.to_string().as_bytes()), &expected);
    }

    #[test]
    fn blocks_of_arbitrary_bytes_does_not_panic(body in vec(any::<u8>(), 0..200)) {
        prompt_blocks(&body);
    }
}

/// Targets with ten times the capacity receive most requests while slots are free, and in the end
/// all slots are in use.
#[test]
fn large_targets_receive_more_requests() {
    let mut specs = Vec::new();
    for n in 0..40 {
        specs.push(TargetSpec {
            region: 0,
            model: 0,
            slots: if n % 2 == 0 { 20 } else { 2 },
            price: 1,
            leaving: false,
            in_flight: 0,
            ejected: false,
            tried: false,
        });
    }
    let mut fleet = Fleet::default();
    fleet.members.push(member());
    for (n, spec) in specs.iter().enumerate() {
        let mut target = listed(n, spec);
        target.capacity = f64::from(spec.slots) * 10.0;
        fleet.targets.push(target);
    }
    let mut routing_state = RoutingStateBuilder::new(
        LOCAL_REGION.into(),
        scorer("cost").expect("the policy is registered"),
    )
    .build();
    routing_state.update_fleet(NOW, &fleet);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut request_counts: BTreeMap<TargetKey, u32> = BTreeMap::new();
    let regions = [RegionId::from(LOCAL_REGION)];
    let request = RouteRequest {
        pool: &pool(0),
        regions: &regions,
        scope: Scope::LocalRegion,
        prompt_tokens: 100,
        output_tokens: 100,
        full_response: false,
        link_bytes: 100,
        blocks: &[],
        failed_targets: &[],
        failed_regions: &[],
        hint: None,
        suspect: false,
        queue_wait: Duration::ZERO,
    };
    for sent in 0..440 {
        if sent == 110 {
            let large: u32 = request_counts
                .iter()
                .filter(|(key, _)| {
                    routing_state
                        .target(**key)
                        .0
                        .address
                        .port()
                        .is_multiple_of(2)
                })
                .map(|(_, n)| n)
                .sum();
            assert!(large > 90, "large targets got {large} of 110");
        }
        let Decision::Local(key) = routing_state.decide(NOW, &request, &mut rng) else {
            panic!("no local target was chosen although one is free");
        };
        routing_state.record_start(key, false);
        *request_counts.entry(key).or_default() += 1;
    }
    assert_eq!(
        request_counts.values().sum::<u32>(),
        440,
        "not all slots are in use"
    );
    assert_eq!(
        routing_state.decide(NOW, &request, &mut rng),
        Decision::Queue
    );
}
