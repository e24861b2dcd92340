//! More clients than usual send bodies of the allowed size at once; the platform kills a process that
//! exceeds its memory, and starts it again.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::has_trouble;
use crate::http;
use crate::store::Store;
use crate::world::{CONTACT_MS, Deed, Record, Worker, config, request, start_instances};

/// `limits.memoryMb` of the small sites, read in the larger unit.
const MEMORY: u64 = 260 * 1024 * 1024;

/// A body that is a little smaller than `maxBodyBytes`.
const BODY: usize = 4_194_304 - 1_024;

/// Clients that upload at the same time, as a rule.
const USUAL: usize = 20;

/// The largest `burst` in the site file: 2.5 times the usual traffic, for 10 s.
const BURST: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_secs(10);

/// How long a client takes to send a body, in parts.
const PARTS: usize = 20;
const PART_PAUSE: Duration = Duration::from_millis(100);

/// Sends a body and returns the status of the answer; 0 if there is none.
fn upload(to: SocketAddr, id: &str) -> u16 {
    let text = request("POST", "/once/upload", id, 5_000, "", &vec![b'y'; BODY]);
    let Ok(mut stream) = TcpStream::connect(to) else {
        return 0;
    };
    for part in text.chunks(text.len() / PARTS + 1) {
        if stream.write_all(part).is_err() {
            return 0;
        }
        thread::sleep(PART_PAUSE);
    }
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    http::read_answer(&mut BufReader::new(stream)).map_or(0, |a| a.status)
}

pub fn run(record: &Path, dir: &Path) -> Result<bool, String> {
    let record = Record::create(record);
    let store = Store::start();
    store.put("op/config", &config(1));
    let workers: Vec<Arc<Worker>> = (1..=3)
        .map(|n| {
            Worker::start(&format!("w{n}"), "app", "north", &record, |req| {
                let work = if req.target.contains("upload") {
                    500
                } else {
                    300
                };
                Deed::Serve(Duration::from_millis(work), vec![b'x'; 800])
            })
        })
        .collect();
    for worker in &workers {
        store.put(&worker.key(), &worker.entry("ready"));
    }
    let names = [("i1", "north"), ("i2", "north")];
    let instances = start_instances(&names, &store, dir)?;
    record.say("all instances are ready");
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let front = instances[0].front;
    let stop = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(AtomicBool::new(false));
    let uploading = Arc::new(AtomicUsize::new(USUAL));
    let uploads: Arc<Mutex<Vec<u16>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    let most = (USUAL as f64 * BURST) as usize;
    let mut clients = Vec::new();
    for n in 0..most {
        let (stop, killed, uploading, uploads, next) = (
            stop.clone(),
            killed.clone(),
            uploading.clone(),
            uploads.clone(),
            next.clone(),
        );
        let record = record.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(50 * (n % USUAL) as u64));
            while !stop.load(Ordering::Relaxed) && !killed.load(Ordering::Relaxed) {
                if n >= uploading.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                }
                let id = format!("up{}", next.fetch_add(1, Ordering::Relaxed));
                record.line(format!("client begins to send {id}"));
                let status = upload(front, &id);
                record.line(format!("client gets {status} for {id}"));
                uploads.lock().unwrap().push(status);
            }
        }));
    }
    // Clients that keep their connections, with small requests.
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    for n in 0..8 {
        let (stop, killed, lost, served) =
            (stop.clone(), killed.clone(), lost.clone(), served.clone());
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(front) else {
                return;
            };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
            let Ok(reading) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(reading);
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) && !killed.load(Ordering::Relaxed) {
                let id = format!("kept{n}-{count}");
                record.line(format!("client sends {id} on its kept connection"));
                let text = request("POST", "/once/x", &id, 5_000, "", b"body");
                let answer = stream
                    .write_all(&text)
                    .and_then(|()| http::read_answer(&mut reader));
                match answer {
                    Ok(a) => {
                        record.line(format!("client gets {} for {id}", a.status));
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    Err(e) => {
                        record.line(format!(
                            "the connection ends without an answer to {id}: {e}"
                        ));
                        if count > 0 {
                            lost.lock().unwrap().push(id);
                        }
                        return;
                    }
                }
                count += 1;
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    // Warm-up with the usual number of clients.
    let began = Instant::now();
    let mut peak = 0;
    let mut watch = |time: Duration| {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let memory = instances[0].memory();
            peak = peak.max(memory);
            if memory > MEMORY {
                return Some(memory);
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    };
    if let Some(memory) = watch(Duration::from_secs(10)) {
        return Err(format!("the usual traffic alone takes {memory} bytes"));
    }
    record.say(format!(
        "most memory with the usual {USUAL} clients: {} MiB",
        instances[0].peak_memory() >> 20
    ));
    if has_trouble() {
        uploading.store(most, Ordering::Relaxed);
        record.say(format!("{most} clients send at the same time from now on"));
    }
    let exceeded = watch(BURST_TIME);
    if let Some(memory) = exceeded {
        record.say(format!(
            "i1 takes {} MiB of {} MiB after {} ms of the burst; the platform kills it",
            memory >> 20,
            MEMORY >> 20,
            began.elapsed().as_millis() - 10_000
        ));
        killed.store(true, Ordering::Relaxed);
        instances[0].signal("KILL");
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ran: Vec<String> = workers
        .iter()
        .flat_map(|w| {
            w.runs
                .lock()
                .unwrap()
                .iter()
                .map(|r| r.id.clone())
                .collect::<Vec<_>>()
        })
        .collect();
    let lost = lost.lock().unwrap();
    let passed_on: Vec<&String> = lost.iter().filter(|id| ran.contains(id)).collect();
    let uploads = uploads.lock().unwrap();
    record.say(format!("most memory of i1: {} MiB", peak >> 20));
    record.say(format!(
        "small requests served: {}; uploads that ended: {}, not with 200: {}",
        served.load(Ordering::Relaxed),
        uploads.len(),
        uploads.iter().filter(|s| **s != 200).count()
    ));
    record.say(format!("requests of kept connections that had been passed on to a worker and whose connection ended without an answer: {} {passed_on:?}", passed_on.len()));
    if served.load(Ordering::Relaxed) < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(exceeded.is_none() && passed_on.len() <= 3)
}
