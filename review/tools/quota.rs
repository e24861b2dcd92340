//! A tenant asks for several times its quota, two of three instances are killed at the same moment,
//! and one of them comes back later than the other. The check is the rule
//! QUOTA: in no window of 8 s do more tokens of a tenant both get sent and run than the quota, the
//! overshoot and the slack allow.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{self, DataCentres, Instance, resolve, wait_until_up};
use crate::http;
use crate::net::Net;
use crate::store::Store;
use crate::worker::{Kind, Runs, Worker};
use crate::{Outcome, is_troubled};

/// The tenant's quota, as in the examples of the users' bench.
const RATE: u64 = 287_229;
const BURST: u64 = 287_229;
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 110_000.0;

/// The prompt and the most generated tokens of a request.
const PROMPT: u64 = 9_190;
const GENERATED: u64 = 60;

/// How many times its usual the hot tenant sends; its usual is the quota by `QUOTA_FACTOR`.
const HEAT: f64 = 6.0;

/// When the tenant is hot for the first time, for how long, and how often that begins again.
const HOT_FROM: Duration = Duration::from_secs(2);
const HOT_FOR: Duration = Duration::from_secs(11);
const HOT_EACH: Duration = Duration::from_secs(12);
const QUOTA_FACTOR: f64 = 1.8;

const CLIENTS: u64 = 64;

const STEADY: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(14);

/// Times after which the two killed processes are started again.
const SHORT_DELAY: Duration = Duration::from_millis(500);
const LONG_DELAY: Duration = Duration::from_millis(3_500);

/// Time after which the instances have settled after the restarts.
const SETTLED: Duration = Duration::from_secs(6);

const ZONES: [(&str, &str); 1] = [("recife-a", "recife")];

struct Sent {
    at: Instant,
    status: u16,
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    ids: AtomicU64,
    addresses: Mutex<Vec<SocketAddr>>,
    sent: Mutex<HashMap<String, Sent>>,
}

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r1","host":"ficu95.example","prefix":"/lohu930/",
        "routeType":"streaming","timeoutMs":6000,"targetLatencyMs":1200,"priority":1,
        "service":"modelo","maxAttempts":1,"allowAnonymous":false,"sessionAffinity":true,
        "resumable":false,"gapAimMs":600,"homeRegions":[]}}],
        "services":[{{"name":"modelo","healthPath":"/healthz","maxConnections":370,
        "warmupS":0.0,"warmupPerS":0.0}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000}},
        "tenants":[{{"name":"huka270","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1,
        "unit":"tokens","uncachedTokens":200,"ratePerS":{RATE},"burst":{BURST},
        "homeRegions":[]}}]}}"#
    )
}

fn is_hot(since_start: Duration) -> bool {
    let since = since_start.checked_sub(HOT_FROM);
    since.is_some_and(|t| t.as_secs_f64() % HOT_EACH.as_secs_f64() < HOT_FOR.as_secs_f64())
}

/// Sends a request each `usual`, more often while the tenant is hot, whatever became of the one
/// before.
fn client(shared: &Shared, n: u64, usual: Duration, began: Instant) {
    let mut draw = n.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut next = began + usual.mul_f64(n as f64 / CLIENTS as f64);
    while !shared.stop.load(Ordering::Relaxed) {
        sleep(next.saturating_duration_since(Instant::now()));
        let heat = if is_hot(began.elapsed()) { HEAT } else { 1.0 };
        next = (next + usual.div_f64(heat)).max(Instant::now());
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        let addresses = shared.addresses.lock().expect("unpoisoned").clone();
        if addresses.is_empty() {
            continue;
        }
        let to = addresses[(draw % addresses.len() as u64) as usize];
        let id = format!("{:016x}", shared.ids.fetch_add(1, Ordering::Relaxed));
        let (shared_part, own) = (draw % 4, draw);
        let request = format!(
            "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nrequest-id: {id}\r\nmodel: m\r\n\
             token-usage: {PROMPT},{GENERATED}\r\n\
             prompt-prefix: a{shared_part}:2520,b{shared_part}:3780,{own:x}:2890\r\n\
             request-deadline: 6000\r\ncredential: i9n73hh2b9wu3fexd9dn\r\n\
             connection: close\r\ncontent-length: 2\r\n\r\nhi"
        );
        let at = Instant::now();
        let sent = Sent { at, status: 0 };
        shared
            .sent
            .lock()
            .expect("unpoisoned")
            .insert(id.clone(), sent);
        let answer = http::send(to, request.as_bytes(), Duration::from_secs(6));
        let Ok((head, body)) = answer else {
            continue;
        };
        let status = head.status();
        let complete = body.read_all().is_ok();
        if let Some(sent) = shared.sent.lock().expect("unpoisoned").get_mut(&id) {
            sent.status = if complete { status } else { 0 };
        }
    }
}

/// Returns which part of the tenant's quota an instance says that it may use, from its metrics.
fn held_part(instance: &Instance) -> f64 {
    let text = instance.metrics();
    let mut lines = text.lines();
    let line = lines.find(|l| l.starts_with("limpetstand_limit_part_ratio"));
    let value = line.and_then(|l| l.rsplit(' ').next());
    value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

/// Returns the most tokens that were both sent and run within a window, and when it begins.
fn worst_window(runs: &[(Instant, Instant)], cost: u64) -> (u64, Option<Instant>) {
    let mut worst = (0, None);
    for (begin, _) in runs {
        let end = *begin + WINDOW;
        let within = runs
            .iter()
            .filter(|(sent, run)| sent >= begin && *run <= end);
        let tokens = within.count() as u64 * cost;
        if tokens > worst.0 {
            worst = (tokens, Some(*begin));
        }
    }
    worst
}

pub fn run(dir: &Path, record: &mut String) -> Outcome {
    let net = Arc::new(Net::default());
    let store = Store::start(fleet::address(250), Arc::clone(&net));
    store.put("op/config", &config());
    let runs = Runs::default();
    let mut workers = Vec::new();
    for n in 0..12_u8 {
        let id = format!("i-{n:08x}");
        let kind = Kind {
            version: "v1",
            prefill: Duration::from_millis(70),
            events: 3,
            event_pause: Duration::from_millis(15),
        };
        let ip = fleet::address(200 + n);
        workers.push(Worker::start(&id, ZONES[0].0, ip, kind, &store, &runs));
    }
    let centres: &DataCentres = &ZONES;
    let mut instances = Vec::new();
    for n in 1..=3 {
        let id = format!("front-{}-{n}", ZONES[0].0);
        instances.push(Instance::new(
            n,
            &id,
            ZONES[0],
            centres,
            store.address,
            dir,
            None,
        ));
    }
    for instance in &mut instances {
        instance.start();
    }
    if !wait_until_up(&instances) {
        return Outcome::CouldNotRun("the instances are not up within 20 s".to_owned());
    }
    let began = Instant::now();
    let shared = Arc::new(Shared::default());
    let cost = PROMPT + GENERATED;
    let per_s = RATE as f64 / QUOTA_FACTOR / cost as f64;
    let pause = Duration::from_secs_f64(CLIENTS as f64 / per_s);
    let directories: Vec<SocketAddr> = instances.iter().map(Instance::directory).collect();
    let asking = Arc::clone(&shared);
    std::thread::spawn(move || {
        while !asking.stop.load(Ordering::Relaxed) {
            let answers = directories.iter().map(|d| resolve(*d, ZONES[0].1));
            if let Some(addresses) = answers.into_iter().find(|a| !a.is_empty()) {
                *asking.addresses.lock().expect("unpoisoned") = addresses;
            }
            sleep(Duration::from_millis(500));
        }
    });
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let shared = Arc::clone(&shared);
        clients.push(std::thread::spawn(move || client(&shared, n, pause, began)));
    }
    sleep(STEADY);
    let mut events = Vec::new();
    let mut note = |what: String| events.push((began.elapsed(), what));
    let parts = |instances: &[Instance]| -> Vec<f64> { instances.iter().map(held_part).collect() };
    let held = parts(&instances);
    note(format!("parts held {held:?}"));
    if is_troubled() {
        let first = (0..held.len()).max_by(|a, b| held[*a].total_cmp(&held[*b]));
        let first = first.unwrap_or(0);
        let second = (first + 1) % instances.len();
        for n in [first, second] {
            note(format!("SIGKILL {}", instances[n].id));
            instances[n].kill();
        }
        for (n, delay) in [(first, SHORT_DELAY), (second, LONG_DELAY - SHORT_DELAY)] {
            sleep(delay);
            note(format!("start {}", instances[n].id));
            instances[n].start();
        }
        sleep(SETTLED);
        note(format!("parts held {:?}", parts(&instances)));
    }
    sleep(AFTER);
    shared.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = shared.sent.lock().expect("unpoisoned");
    let mut both = Vec::new();
    for run in runs.lock().expect("unpoisoned").iter() {
        if let Some(sent) = sent.get(&run.id) {
            both.push((sent.at, run.at));
        }
    }
    both.sort_unstable();
    let bound = (RATE as f64 * WINDOW.as_secs_f64() + BURST as f64) * (1.0 + OVERSHOOT) + SLACK;
    let (tokens, at) = worst_window(&both, cost);
    let mut statuses: HashMap<u16, u32> = HashMap::new();
    for sent in sent.values() {
        *statuses.entry(sent.status).or_default() += 1;
    }
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    let _ = writeln!(
        record,
        "requests sent {}, run {}, by status {statuses:?}",
        sent.len(),
        both.len()
    );
    for (at, what) in events {
        let _ = writeln!(record, "{:7.3} s  {what}", at.as_secs_f64());
    }
    let end = both.last().map_or(began, |(_, run)| *run);
    let mut second = began;
    while second < end {
        let next = second + Duration::from_secs(1);
        let ran = both
            .iter()
            .filter(|(_, run)| (second..next).contains(run))
            .count() as u64;
        let _ = writeln!(
            record,
            "{:3} s  {:9} tokens run, {:.2} of the rate",
            second.duration_since(began).as_secs(),
            ran * cost,
            (ran * cost) as f64 / RATE as f64
        );
        second = next;
    }
    let at = at.map_or(0.0, |at| at.duration_since(began).as_secs_f64());
    let _ = writeln!(
        record,
        "most tokens sent and run in {WINDOW:?}: {tokens} from {at:.3} s; the rule allows {bound:.0}"
    );
    if tokens as f64 > bound {
        return Outcome::Broken(format!(
            "QUOTA: {tokens} tokens in {WINDOW:?}, {bound:.0} allowed"
        ));
    }
    Outcome::Held
}
