//! A region is cut off while workers of a new version replace old ones elsewhere; clients with open
//! streams move to that region and take their streams up again. The check is the rule ORDER: no
//! stream that is answered is joined from two versions.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{self, DataCentres, Instance, resolve, wait_until_up};
use crate::http;
use crate::net::Net;
use crate::store::Store;
use crate::worker::{Kind, Runs, Worker};
use crate::{Outcome, is_troubled};

const NORTH: (&str, &str) = ("recife-a", "recife");
const SOUTH: (&str, &str) = ("fortaleza-a", "fortaleza");

/// How long the region is cut off.
const CUT: Duration = Duration::from_millis(6_000);

/// Time of silence after which the store removes the entry of a worker: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_600);

const CLIENTS: usize = 8;

/// The share of the clients that moves.
const MOVING: usize = CLIENTS / 2;

const EVENTS: u32 = 30;

/// The client's deadline.
const DEADLINE: Duration = Duration::from_secs(15);

fn config() -> String {
    r#"{"version":1,"routes":[{"name":"r1","host":"ficu95.example","prefix":"/pufi791/",
    "routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,
    "service":"modelo","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,
    "resumable":true,"gapAimMs":600,"homeRegions":["recife","fortaleza"]}],
    "services":[{"name":"modelo","healthPath":"/healthz","maxConnections":370,
    "warmupS":0.0,"warmupPerS":0.0}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
    "idleTimeoutMs":15000},
    "tenants":[{"name":"huka270","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1,
    "unit":"tokens","uncachedTokens":200,"ratePerS":287229,"burst":287229,"homeRegions":[]}]}"#
        .to_owned()
}

fn kind(version: &'static str) -> Kind {
    Kind {
        version,
        prefill: Duration::from_millis(20),
        events: EVENTS,
        event_pause: Duration::from_millis(200),
    }
}

/// What a client has received.
#[derive(Debug, Default, Clone)]
struct Received {
    statuses: Vec<u16>,
    text: String,
    complete: bool,
}

impl Received {
    fn last_event(&self) -> u32 {
        let mut ids = self.text.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.next_back().and_then(|id| id.parse().ok()).unwrap_or(0)
    }

    /// The versions that wrote the events, in order.
    fn versions(&self) -> Vec<&str> {
        let data = self.text.lines().filter_map(|l| l.strip_prefix("data: "));
        let mut versions: Vec<&str> = data.filter_map(|d| d.split(' ').next()).collect();
        versions.dedup();
        versions
    }
}

/// Sends the request to an instance, and reads events until the stream ends or the client moves.
fn read_stream(to: SocketAddr, id: &str, began: Instant, moves: &AtomicBool, got: &mut Received) {
    let left = DEADLINE.saturating_sub(began.elapsed());
    let resume = match got.last_event() {
        0 => String::new(),
        last => format!("last-event-id: {last}\r\n"),
    };
    let request = format!(
        "POST /pufi791/2f HTTP/1.1\r\nhost: ficu95.example\r\nrequest-id: {id}\r\nmodel: m\r\n\
         token-usage: 826,146\r\nprompt-prefix: 5c1e07a2:119,91bd3f06:79,{id}:628\r\n\
         request-deadline: {}\r\ncredential: i9n73hh2b9wu3fexd9dn\r\n{resume}\
         content-length: 2\r\n\r\nhi",
        left.as_millis()
    );
    let Ok((head, mut body)) = http::send(to, request.as_bytes(), left) else {
        got.statuses.push(0);
        return;
    };
    got.statuses.push(head.status());
    if head.status() != 200 {
        return;
    }
    while !moves.load(Ordering::Relaxed) {
        match body.next() {
            Ok(Some(part)) => got.text += &String::from_utf8_lossy(&part),
            Ok(None) => {
                got.complete = true;
                return;
            }
            Err(_) => return,
        }
    }
}

fn address_in(directories: &[SocketAddr], region: &str, n: usize) -> Option<SocketAddr> {
    let answers = directories.iter().map(|d| resolve(*d, region));
    let addresses = answers.into_iter().find(|a| !a.is_empty())?;
    Some(addresses[n % addresses.len()])
}

pub fn run(dir: &Path, record: &mut String) -> Outcome {
    let net = Arc::new(Net::default());
    let store = Store::start(fleet::address(250), Arc::clone(&net));
    store.put("op/config", &config());
    let runs = Runs::default();
    let worker = |id, zone, n, version| {
        Worker::start(id, zone, fleet::address(n), kind(version), &store, &runs)
    };
    let old = worker("i-north1", NORTH.0, 200, "v1");
    let south = worker("i-south1", SOUTH.0, 201, "v1");
    let centres: &DataCentres = &[NORTH, SOUTH];
    let mut instances = Vec::new();
    for (n, place) in [(1, NORTH), (2, NORTH), (3, SOUTH), (4, SOUTH)] {
        let id = format!("front-{}-{n}", place.0);
        instances.push(Instance::new(
            n,
            &id,
            place,
            centres,
            store.address,
            dir,
            Some(&net),
        ));
    }
    for instance in &mut instances {
        instance.start();
    }
    if !wait_until_up(&instances) {
        return Outcome::CouldNotRun("the instances are not up within 20 s".to_owned());
    }
    sleep(Duration::from_secs(5));
    let began = Instant::now();
    let mut events = Vec::new();
    let mut note = |what: &str| events.push((began.elapsed(), what.to_owned()));
    let set_south = |island| {
        for instance in instances.iter().filter(|i| i.region == SOUTH.1) {
            net.set_island(instance.ip, island);
        }
    };
    if is_troubled() {
        note("the region fortaleza is cut off");
        set_south(1);
    }
    sleep(Duration::from_millis(300));
    note("a worker of version v2 starts in recife");
    let _new = worker("i-north2", NORTH.0, 202, "v2");
    sleep(Duration::from_millis(300));
    note("the worker of version v1 in recife drains");
    old.leave(&store);
    sleep(Duration::from_millis(900));
    let of = |region: &str| -> Vec<SocketAddr> {
        let there = instances.iter().filter(|i| i.region == region);
        there.map(Instance::directory).collect()
    };
    let (near, far) = (of(NORTH.1), of(SOUTH.1));
    let moves = Arc::new(AtomicBool::new(false));
    note("clients in recife begin their streams");
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (near, far) = (near.clone(), far.clone());
        let moves = match n < MOVING {
            true => Arc::clone(&moves),
            false => Arc::new(AtomicBool::new(false)),
        };
        clients.push(std::thread::spawn(move || {
            let began = Instant::now();
            let mut got = Received::default();
            let Some(to) = address_in(&near, NORTH.1, n) else {
                return got;
            };
            read_stream(to, &format!("{:016x}", n + 1), began, &moves, &mut got);
            if got.complete || !moves.load(Ordering::Relaxed) {
                return got;
            }
            let stay = AtomicBool::new(false);
            if let Some(to) = address_in(&far, SOUTH.1, n) {
                read_stream(to, &format!("{:016x}", n + 101), began, &stay, &mut got);
            }
            got
        }));
    }
    sleep(Duration::from_millis(1_500));
    note("half of the clients move to fortaleza and take their streams up again");
    moves.store(true, Ordering::Relaxed);
    if is_troubled() {
        sleep(LAPSE.saturating_sub(began.elapsed()));
        south.lapse(&store);
        sleep(CUT.saturating_sub(began.elapsed()));
        note("the cut heals");
        set_south(0);
        sleep(Duration::from_millis(500));
        south.register(&store);
    }
    let mut joined = 0;
    for (n, client) in clients.into_iter().enumerate() {
        let got = client.join().unwrap_or_default();
        let versions = got.versions();
        let _ = writeln!(
            record,
            "client {n}: statuses {:?}, last event {}, complete {}, versions {versions:?}",
            got.statuses,
            got.last_event(),
            got.complete
        );
        joined += u32::from(versions.len() > 1);
    }
    for (at, what) in events {
        let _ = writeln!(record, "{:7.3} s  {what}", at.as_secs_f64());
    }
    for run in runs.lock().expect("unpoisoned").iter() {
        let at = run.at.saturating_duration_since(began).as_secs_f64();
        let _ = writeln!(
            record,
            "{at:7.3} s  {} runs {} for {}",
            run.worker, run.id, run.tenant
        );
    }
    if joined > 0 {
        return Outcome::Broken(format!(
            "ORDER: {joined} of {MOVING} streams that are taken up are joined from two versions"
        ));
    }
    Outcome::Held
}
