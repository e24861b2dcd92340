//! Clients read large answers of another region slowly, and share a link with the requests of others.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::has_trouble;
use crate::http;
use crate::store::Store;
use crate::world::{CONTACT_MS, Deed, Record, Worker, config, request, start_instances};

/// Clients that read slowly.
const READERS: usize = 48;

/// The size of the answers that they read.
const LARGE: usize = 8 << 20;

/// How long a client waits for the whole answer.
const DEADLINE: Duration = Duration::from_millis(15_000);

/// What a slow client reads, twenty times a second.
const SLOW_PART: usize = 4 * 1024;

/// How long the other clients send.
const TIME: Duration = Duration::from_secs(12);

/// Clients of each of the other kinds of request.
const OTHERS: usize = 8;

fn read_large(front: std::net::SocketAddr, stop: &AtomicBool, id: &str) {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return;
    };
    let text = request("POST", "/report/large", id, 15_000, "", b"body");
    if stream.write_all(&text).is_err() {
        return;
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(16_000)));
    let mut buf = vec![0; if has_trouble() { SLOW_PART } else { 1 << 20 }];
    let mut got = 0;
    let deadline = Instant::now() + DEADLINE;
    while !stop.load(Ordering::Relaxed) && got < LARGE && Instant::now() < deadline {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => got += n,
            _ => return,
        }
        if has_trouble() {
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// The requests of one kind.
#[derive(Default)]
struct Kind {
    sent: AtomicU64,
    served: AtomicU64,
    /// Requests without a successful answer, with the status; 0 if there is none.
    unserved: Mutex<Vec<(String, u16)>>,
}

pub fn run(record: &Path, dir: &Path) -> Result<bool, String> {
    let record = Record::create(record);
    let store = Store::start();
    store.put("op/config", &config(1));
    let mut workers = Vec::new();
    for (n, region) in [(1, "south"), (2, "south"), (3, "north"), (4, "north")] {
        let worker = Worker::start(&format!("w{n}"), "app", region, &record, |req| {
            let size = if req.target.contains("large") {
                LARGE
            } else {
                800
            };
            Deed::Serve(Duration::from_millis(30), vec![b'x'; size])
        });
        store.put(&worker.key(), &worker.entry("ready"));
        workers.push(worker);
    }
    let names = [
        ("n1", "north"),
        ("n2", "north"),
        ("s1", "south"),
        ("s2", "south"),
    ];
    let instances = start_instances(&names, &store, dir)?;
    record.say("all instances are ready");
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let front = instances[0].front;
    let stop = Arc::new(AtomicBool::new(false));
    let mut readers = Vec::new();
    for n in 0..READERS {
        let stop = Arc::clone(&stop);
        readers.push(thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                read_large(front, &stop, &format!("large{n}-{count}"));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    record.line("the other clients begin");
    let until = Instant::now() + TIME;
    let kinds: [Arc<Kind>; 2] = Default::default();
    let mut clients = Vec::new();
    for c in 0..2 * OTHERS {
        let route = ["once", "south"][c % 2];
        let kind = Arc::clone(&kinds[c % 2]);
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let mut n = 0;
            while Instant::now() < until {
                n += 1;
                let id = format!("{route}{c}-{n}");
                let text = request("POST", &format!("/{route}/x"), &id, 3_000, "", b"body");
                record.line(format!("client sends {id} to n1"));
                kind.sent.fetch_add(1, Ordering::Relaxed);
                let answer = http::ask(front, &text, Duration::from_secs(4));
                let status = answer.map_or(0, |a| if a.whole { a.status } else { 0 });
                record.line(format!("client gets {status} for {id}"));
                if status == 200 {
                    kind.served.fetch_add(1, Ordering::Relaxed);
                } else {
                    kind.unserved.lock().unwrap().push((id, status));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::Relaxed);
    let mut ran = BTreeSet::new();
    for worker in &workers {
        ran.extend(worker.runs.lock().unwrap().iter().map(|r| r.id.clone()));
    }
    let count = |c: &AtomicU64| c.load(Ordering::Relaxed) as f64;
    let share = |sent: f64, served: f64| if sent > 0.0 { served / sent } else { 1.0 };
    let sent: f64 = kinds.iter().map(|k| count(&k.sent)).sum();
    let served: f64 = kinds.iter().map(|k| count(&k.served)).sum();
    let all = share(sent, served);
    let mut holds = true;
    for (kind, name) in kinds.iter().zip(["here", "in the other region"]) {
        let own = share(count(&kind.sent), count(&kind.served));
        let unserved = kind.unserved.lock().unwrap();
        let had_run = unserved.iter().filter(|(id, _)| ran.contains(id)).count();
        record.say(format!(
            "unsafe requests that run {name}: {} sent, {:.0} of 100 served (all: {:.0} of 100); {} not served, of which a worker had run {had_run}",
            count(&kind.sent),
            own * 100.0,
            all * 100.0,
            unserved.len()
        ));
        holds &= own >= all / 4.0;
    }
    if count(&kinds[0].served) < 100.0 {
        return Err("too few requests were served".to_owned());
    }
    Ok(holds)
}
