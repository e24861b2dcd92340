//! The cost of heartbeats per instance, by the size of the fleet.
//!
//! `cargo bench --bench member` prints one JSON object per line. Bytes are those of message bodies
//! in both directions, without HTTP/2 and TCP framing. The fleet runs in virtual time with seed 1.
//! Processor time is measured over calls of one instance's view, including the encoding and
//! decoding of its messages. Memory is the growth of the resident set by 20 tables and published
//! fleets, divided by 20.
#![allow(clippy::unwrap_used, reason = "a bench ends where its helpers do")]

#[path = "../tests/member/net.rs"]
#[allow(dead_code, reason = "the scenarios use the rest")]
mod net;

use std::hint::black_box;
use std::time::{Duration, Instant};

use limpetstand::member::status::Heartbeat;
use limpetstand::member::view::{Action, View};
use limpetstand::member::wire::{HeartbeatWire, Reply, Request};
use limpetstand::peer::{decode, encode};
use limpetstand::platform::ServiceState;
use net::Net;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

const SEED: u64 = 1;
const SIZES: [usize; 3] = [9, 100, 410];
const REGIONS: [&str; 3] = ["gauteng", "westerncape", "kwazulunatal"];
const WARM_UP: Duration = Duration::from_secs(60);
const MEASURED: Duration = Duration::from_secs(30);
const TARGETS: usize = 12_000;
const COPIES: usize = 20;
const TICKS: u32 = 2_000;

fn main() {
    memory();
    for size in SIZES {
        let mut net = fleet(size);
        net.run(WARM_UP);
        traffic(&mut net, size, "a minute after all started", |_| {});
        let (tick_us, heard_us) = processor(&net);
        println!(
            "{}",
            json!({"instances": size, "tick_us": tick_us, "heartbeat_answered_us": heard_us})
        );
        traffic(&mut net, size, "one replaced", |net| replace(net, 1));
        traffic(&mut net, size, "a tenth lost at once", |net| {
            replace(net, size / 10);
        });
    }
}

fn name(n: usize) -> String {
    format!("{}{n}", REGIONS[n % REGIONS.len()])
}

fn fleet(size: usize) -> Net {
    let mut net = Net::of(SEED);
    for n in 0..size {
        net.list(&name(n), ServiceState::Live);
        net.start(&name(n));
    }
    net
}

/// Stops `count` instances of one region, removes them from the list and starts as many new ones.
fn replace(net: &mut Net, count: usize) {
    let removed: Vec<String> = net
        .running()
        .map(|(name, _)| name.clone())
        .filter(|name| net::region(name) == REGIONS[0])
        .take(count)
        .collect();
    for old in removed {
        net.crash(&old);
        net.unlist(&old);
        let new = format!("{old}000");
        net.list(&new, ServiceState::Live);
        net.start(&new);
    }
}

fn traffic(net: &mut Net, size: usize, what: &str, disturb: impl Fn(&mut Net)) {
    let (bytes, messages) = (net.sent_bytes, net.sent_messages);
    disturb(net);
    net.run(MEASURED);
    let per = size as f64 * MEASURED.as_secs_f64();
    println!(
        "{}",
        json!({
            "instances": size,
            "case": what,
            "seed": SEED,
            "sent_bytes_per_instance_s": ((net.sent_bytes - bytes) as f64 / per).round(),
            "sent_messages_per_instance_s":
                ((net.sent_messages - messages) as f64 / per * 100.0).round() / 100.0,
        })
    );
}

/// Returns the time in microseconds of one tick with its messages, and of one answer to a
/// heartbeat.
fn processor(net: &Net) -> (f64, f64) {
    let (_, node) = net.running().next().unwrap();
    let mut view = node.view.clone();
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut now = WARM_UP + MEASURED;
    let mut heartbeats = Vec::new();
    let began = Instant::now();
    for _ in 0..TICKS {
        now += Duration::from_millis(500);
        for action in view.tick(now, &mut rng) {
            let Action::SendHeartbeat { to, heartbeat, .. } = action else {
                continue;
            };
            let bytes = encode(&Request::Beat(Box::new(HeartbeatWire::from(&*heartbeat)))).unwrap();
            view.on_probe_failure(now, to);
            heartbeats.push(bytes);
        }
    }
    let tick = began.elapsed() / TICKS;
    let began = Instant::now();
    for bytes in &heartbeats {
        let Request::Beat(wire) = decode(bytes).unwrap() else {
            continue;
        };
        let heartbeat = Heartbeat::try_from(*wire).unwrap();
        let answer = view.on_heartbeat(now, &mut rng, &heartbeat);
        let reply = Reply::Beat(Box::new(HeartbeatWire::from(&answer)));
        black_box(encode(&reply).unwrap());
    }
    let heard = began.elapsed() / u32::try_from(heartbeats.len()).unwrap();
    (tick.as_secs_f64() * 1e6, heard.as_secs_f64() * 1e6)
}

fn memory() {
    let mut net = Net::of(SEED);
    for n in 0..SIZES[2] {
        net.list(&name(n), ServiceState::Live);
    }
    for n in 0..TARGETS {
        net.listing
            .targets
            .push(net::target(&name(n), ServiceState::Live));
    }
    let before = resident_bytes();
    let mut kept = Vec::new();
    for _ in 0..COPIES {
        let mut view = View::of(name(0).as_str().into(), net::card(&name(0)), 1);
        let mut rng = SmallRng::seed_from_u64(SEED);
        view.apply_list(
            Duration::ZERO,
            &mut rng,
            net.listing.clone(),
            Duration::ZERO,
        );
        let fleet = view.fleet(Duration::ZERO);
        kept.push((view, fleet));
    }
    let grown = resident_bytes().saturating_sub(before) / COPIES as u64;
    println!(
        "{}",
        json!({"instances": SIZES[2], "targets": TARGETS, "table_and_fleet_bytes": grown})
    );
    drop(kept);
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * 4_096
}
