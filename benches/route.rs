//! Duration of one routing decision with 12,000 targets.
//!
//! `cargo bench --bench route` prints, for each case, the median and the 99th percentile of single
//! decisions in nanoseconds. A decision takes the routing state by shared reference, returns a
//! `Copy` value and builds no collection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use limpetstand::id::RegionId;
use limpetstand::member::Fleet;
use limpetstand::platform::{ListedTarget, ServiceState};
use limpetstand::route::{
    BlockHash, Decision, PoolName, RouteRequest, RoutingState, RoutingStateBuilder, Scope,
    TargetKey, scorer,
};
use limpetstand::target::{CacheChange, CacheEvent, CacheEvents};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TARGETS: usize = 12_000;
const DECISIONS: usize = 20_000;
const SEED: u64 = 1;
const NOW: Duration = Duration::from_secs(10);
const BLOCKS: u64 = 32;

fn listed(n: usize, region: &str, large: bool) -> ListedTarget {
    ListedTarget {
        id: format!("t{n}").into(),
        address: SocketAddr::from(([127, (n >> 16) as u8, (n >> 8) as u8, n as u8], 8_000)),
        region: region.into(),
        data_centre: "dc".into(),
        state: ServiceState::Live,
        plugin: "openai".into(),
        models: vec!["m".into()],
        service: None,
        capacity: if large { 2_000.0 } else { 200.0 },
        slots: if large { 16 } else { 2 },
        price: 1.0,
    }
}

/// Returns a routing state with the policy `cost` and with the targets spread evenly over the given
/// regions.
fn routing_state(regions: &[&str]) -> (RoutingState, Vec<TargetKey>) {
    let mut fleet = Fleet::default();
    for n in 0..TARGETS {
        let region = regions[n % regions.len()];
        fleet.targets.push(listed(n, region, n % 7 == 0));
    }
    let scorer = scorer("cost").expect("registered by the library");
    let mut routing_state = RoutingStateBuilder::new("a".into(), scorer).build();
    routing_state.update_fleet(NOW, &fleet);
    let keys = routing_state.available_targets();
    (routing_state, keys)
}

fn target_number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    (address.ip().to_bits() & 0x00ff_ffff) as usize
}

fn target_slots(routing_state: &RoutingState, key: TargetKey) -> u32 {
    let number = target_number(routing_state.target(key).0.address);
    if number.is_multiple_of(7) { 16 } else { 2 }
}

/// Occupies a random fraction `share` of all slots.
fn occupy_slots(
    routing_state: &mut RoutingState,
    keys: &[TargetKey],
    share: f64,
    rng: &mut SmallRng,
) {
    for key in keys {
        for _ in 0..target_slots(routing_state, *key) {
            if rng.random::<f64>() < share {
                routing_state.record_start(*key, false);
            }
        }
    }
}

/// Records the prompt's blocks as cached at a few targets, and returns the blocks.
fn record_cached_blocks(routing_state: &mut RoutingState, keys: &[TargetKey]) -> Vec<BlockHash> {
    let blocks: Vec<BlockHash> = (1..=BLOCKS).map(BlockHash).collect();
    for key in keys.iter().step_by(keys.len() / 8) {
        let mut events = CacheEvents::default();
        for block in &blocks {
            events.events.push(CacheEvent {
                sequence: block.0,
                change: CacheChange::Stored(block.0),
            });
        }
        let address = routing_state.target(*key).0.clone();
        routing_state.record_cache_events(NOW, *key, &address, &events);
    }
    blocks
}

fn measure(name: &str, routing_state: &RoutingState, blocks: &[BlockHash], rng: &mut SmallRng) {
    let pool = PoolName::Model("m".into());
    let regions: Vec<RegionId> = vec!["a".into(), "b".into(), "c".into()];
    let request = RouteRequest {
        pool: &pool,
        regions: &regions,
        scope: Scope::AnyRegion,
        prompt_tokens: 600,
        output_tokens: 64,
        full_response: false,
        link_bytes: 20_000,
        blocks,
        failed_targets: &[],
        failed_regions: &[],
        hint: None,
        suspect: false,
        queue_wait: Duration::ZERO,
    };
    let mut nanos = Vec::with_capacity(DECISIONS);
    let mut local_decisions = 0;
    for _ in 0..DECISIONS {
        let started = Instant::now();
        let decision = std::hint::black_box(routing_state.decide(NOW, &request, rng));
        nanos.push(started.elapsed().as_nanos());
        local_decisions += usize::from(matches!(decision, Decision::Local(_)));
    }
    nanos.sort_unstable();
    let median = nanos[DECISIONS / 2];
    let p99 = nanos[DECISIONS * 99 / 100];
    println!("{name:32} median {median:>7} ns  p99 {p99:>7} ns  placed here {local_decisions}");
}

fn main() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    for (regions, label) in [(&["a"][..], "one region"), (&["a", "b", "c"][..], "three")] {
        let (mut routing_state, keys) = routing_state(regions);
        measure(&format!("{label}, idle"), &routing_state, &[], &mut rng);
        occupy_slots(&mut routing_state, &keys, 0.7, &mut rng);
        measure(&format!("{label}, 70% busy"), &routing_state, &[], &mut rng);
        let blocks = record_cached_blocks(&mut routing_state, &keys);
        measure(
            &format!("{label}, 70%, cached"),
            &routing_state,
            &blocks,
            &mut rng,
        );
        occupy_slots(&mut routing_state, &keys, 1.0, &mut rng);
        measure(&format!("{label}, all busy"), &routing_state, &[], &mut rng);
    }
}
