//! A faulty worker answers some requests with bytes that are no response: the head of an answer to an
//! upgrade that nobody asked for.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::has_trouble;
use crate::store::Store;
use crate::world::{CONTACT_MS, Deed, Instance, Record, Worker, config, request, start_instances};

/// How long the worker is faulty (`for_s` 5.5 is the longest `garble` in the site file).
const FAULTY: Duration = Duration::from_millis(5_500);

/// One answer in so many is spoiled; `x` = .05, as the largest share of answers in the site file.
const SPOILED_ONE_IN: u64 = 20;

const PATIENCE: Duration = Duration::from_millis(3_000);

/// Sends a request and returns all that comes back on the connection, up to the end of a final answer.
fn exchange(instance: &Instance, text: &[u8]) -> std::io::Result<(Vec<u16>, bool)> {
    let mut stream = TcpStream::connect(instance.front)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(text)?;
    let mut reader = BufReader::new(stream);
    let mut statuses = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok((statuses, false));
        }
        let status: u16 = line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        statuses.push(status);
        let mut length = 0;
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok((statuses, false));
            }
            if line.trim_end().is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':')
                && name.eq_ignore_ascii_case("content-length")
            {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        if status >= 200 {
            let mut body = vec![0; length];
            return Ok((statuses, reader.read_exact(&mut body).is_ok()));
        }
    }
}

pub fn run(record: &Path, dir: &Path) -> Result<bool, String> {
    let record = Record::create(record);
    let store = Store::start();
    store.put("op/config", &config(1));
    let faulty = Arc::new(AtomicBool::new(false));
    let spoiled = Arc::new(AtomicU64::new(0));
    let workers: Vec<Arc<Worker>> = (1..=3)
        .map(|n| {
            let (faulty, spoiled) = (faulty.clone(), spoiled.clone());
            let answers = AtomicU64::new(0);
            Worker::start(&format!("w{n}"), "app", "north", &record, move |req| {
                let count = answers.fetch_add(1, Ordering::Relaxed);
                if n == 1 && faulty.load(Ordering::Relaxed) && count % SPOILED_ONE_IN == 0 {
                    spoiled.fetch_add(1, Ordering::Relaxed);
                    let id = req.header("request-id").unwrap_or_default();
                    return Deed::Raw(
                        format!("HTTP/1.1 101 Switching Protocols\r\nrequest-id: {id}\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n\u{1}\u{2}\u{3}")
                            .into_bytes(),
                    );
                }
                Deed::Serve(Duration::from_millis(30), vec![b'x'; 800])
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
    if has_trouble() {
        faulty.store(true, Ordering::Relaxed);
        record.line("w1 is faulty from now on");
    }
    let until = Instant::now() + FAULTY;
    let next = Arc::new(AtomicU64::new(0));
    let wrong = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..12)
        .map(|_| {
            let (next, wrong, served) = (next.clone(), wrong.clone(), served.clone());
            let (record, instances) = (record.clone(), instances.clone());
            thread::spawn(move || {
                while Instant::now() < until {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let route = ["safe", "once"][n as usize % 2];
                    let id = format!("{route}-{n}");
                    let text = request("POST", &format!("/{route}/x"), &id, 3_000, "", b"body");
                    let instance = &instances[(n / 2) as usize % instances.len()];
                    record.line(format!("client sends {id} to {}", instance.name));
                    match exchange(instance, &text) {
                        Ok((statuses, whole)) => {
                            record.line(format!(
                                "client gets {statuses:?} for {id}, final answer whole: {whole}"
                            ));
                            if statuses == [200] && whole {
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                            if statuses.iter().any(|s| *s < 200 && *s != 100) {
                                wrong.lock().unwrap().push((id, statuses));
                            }
                        }
                        Err(e) => record.line(format!("client gets no answer for {id}: {e}")),
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let wrong = wrong.lock().unwrap();
    record.say(format!(
        "answers spoiled by w1: {}",
        spoiled.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "requests served: {}",
        served.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "requests whose client got bytes that are no answer, and no other answer: {} {:?}",
        wrong.len(),
        wrong
    ));
    if served.load(Ordering::Relaxed) < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(wrong.is_empty())
}
