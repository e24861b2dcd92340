//! Another writer leaves an entry with a field missing at the key of a worker that leaves.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::has_trouble;
use crate::store::Store;
use crate::world::{
    CONTACT_MS, DRAIN_MS, Deed, Record, Worker, ask, config, request, start_instances,
};

/// How long the worker serves beyond `drainMs`: "a little longer (at times many seconds)".
const LONGER_MS: u64 = 4_000;

const WORK: Duration = Duration::from_millis(150);

pub fn run(record: &Path, dir: &Path) -> Result<bool, String> {
    let record = Record::create(record);
    let store = Store::start();
    store.put("op/config", &config(1));
    let workers: Vec<Arc<Worker>> = (1..=3)
        .map(|n| {
            Worker::start(&format!("w{n}"), "app", "north", &record, |_| {
                Deed::Serve(WORK, vec![b'x'; 800])
            })
        })
        .collect();
    for worker in &workers {
        store.put(&worker.key(), &worker.entry("ready"));
    }
    let names = [("i1", "north"), ("i2", "north"), ("i3", "north")];
    let instances = Arc::new(start_instances(&names, &store, dir)?);
    record.say("all instances are ready");
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..12)
        .map(|_| {
            let (stop, next, lost, served) =
                (stop.clone(), next.clone(), lost.clone(), served.clone());
            let (record, instances) = (record.clone(), instances.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("r{n}");
                    let text = request("POST", "/once/x", &id, 5_000, "", b"body");
                    let at = n as usize % instances.len();
                    match ask(&instances[at], &record, &text, &id, Duration::from_secs(6)) {
                        Ok(a) if a.status == 200 && a.whole => {
                            served.fetch_add(1, Ordering::Relaxed);
                        }
                        other => lost.lock().unwrap().push((id, other.map(|a| a.status))),
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let leaving = &workers[0];
    store.put(&leaving.key(), &leaving.entry("draining"));
    let told_ms = record.now_ms();
    record.say(format!(
        "the store has accepted that {} is draining at {told_ms} ms",
        leaving.id
    ));
    thread::sleep(Duration::from_secs(1));
    if has_trouble() {
        let born = format!(",\"born\":{}", leaving.born);
        let odd = leaving.entry("ready").replace(&born, "");
        record.say(format!("another writer leaves at {}: {odd}", leaving.key()));
        store.put(&leaving.key(), &odd);
    }
    thread::sleep(Duration::from_millis(DRAIN_MS + LONGER_MS - 1_000));
    leaving.exit();
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let bound = told_ms + DRAIN_MS;
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<_> = runs.iter().filter(|r| r.at_ms > bound).collect();
    let last = runs.last().map_or(0, |r| r.at_ms.saturating_sub(told_ms));
    let cut = leaving.cut_at_end.lock().unwrap().clone();
    let lost = lost.lock().unwrap();
    record.say(format!(
        "requests served: {}",
        served.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "requests that reached {} later than drainMs ({DRAIN_MS} ms) after that: {}; the last one after {last} ms",
        leaving.id,
        late.len()
    ));
    record.say(format!(
        "requests that {} had begun to run when it exited: {cut:?}; not served: {lost:?}",
        leaving.id
    ));
    if served.load(Ordering::Relaxed) < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(late.is_empty())
}
