//! The store cuts watches that wait; a worker leaves by the removal of its entry.

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
const LONGER_MS: u64 = 8_000;

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
    if has_trouble() {
        store.cuts_watches.store(true, Ordering::Relaxed);
    }
    let names = [("i1", "north"), ("i2", "north"), ("i3", "north")];
    let instances = Arc::new(start_instances(&names, &store, dir)?);
    record.say("all instances are ready");
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    // Unsafe requests, 30 a second, at all instances in turn.
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
    thread::sleep(Duration::from_secs(3));
    let leaving = &workers[0];
    store.remove(&leaving.key());
    let removed_ms = record.now_ms();
    record.say(format!(
        "the store has removed the entry of {} at {removed_ms} ms",
        leaving.id
    ));
    thread::sleep(Duration::from_millis(DRAIN_MS + LONGER_MS));
    leaving.exit();
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let bound = removed_ms + DRAIN_MS;
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<_> = runs.iter().filter(|r| r.at_ms > bound).collect();
    let last = runs
        .last()
        .map_or(0, |r| r.at_ms.saturating_sub(removed_ms));
    let cut = leaving.cut_at_end.lock().unwrap().clone();
    let lost = lost.lock().unwrap();
    record.say(format!(
        "watches cut by the store: {}",
        store.watches_cut.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "requests served: {}",
        served.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "requests that reached {} later than drainMs ({DRAIN_MS} ms) after the removal: {}; the last one after {last} ms",
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
