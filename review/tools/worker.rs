//! Stand-ins for model workers: they answer with a short stream of events.

use std::io::{self, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store::Store;

/// What a worker serves, and how long that takes.
#[derive(Debug, Clone)]
pub struct Kind {
    pub version: &'static str,
    /// Time to read a prompt.
    pub prefill: Duration,
    pub events: u32,
    pub event_pause: Duration,
}

const SLOTS: u32 = 64;

/// A request that a worker has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub worker: String,
    pub tenant: String,
}

/// The runs at all workers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Worker {
    id: String,
    zone: String,
    kind: Kind,
    is_leaving: AtomicBool,
    address: SocketAddr,
    born: u128,
    running: AtomicU32,
    runs: Runs,
}

impl Worker {
    /// Starts a worker of the service `modelo` and registers it.
    pub fn start(
        id: &str,
        zone: &str,
        ip: IpAddr,
        kind: Kind,
        store: &Store,
        runs: &Runs,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            kind,
            is_leaving: AtomicBool::new(false),
            address: listener.local_addr().expect("an address"),
            born: now.map_or(0, |t| t.as_millis()),
            running: AtomicU32::new(0),
            runs: Arc::clone(runs),
        });
        let serving = Arc::clone(&worker);
        http::serve(listener, move |stream, _| serving.connection(stream));
        worker.register(store);
        worker
    }

    /// Writes the worker's entry.
    pub fn register(&self, store: &Store) {
        store.put(&format!("servers/{}", self.id), &self.entry());
    }

    /// Removes the entry, as the store does after three silent heartbeats.
    pub fn lapse(&self, store: &Store) {
        store.remove(&format!("servers/{}", self.id));
    }

    /// Reports that the worker drains.
    pub fn leave(&self, store: &Store) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.register(store);
    }

    fn entry(&self) -> String {
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let state = if is_leaving { "draining" } else { "ready" };
        let version = self.kind.version;
        format!(
            r#"{{"service":"modelo","address":"{}","zone":"{}","version":"{version}","slots":{SLOTS},
            "state":"{state}","warmupLeftMs":0,"sequence":1,"born":{}}}"#,
            self.address, self.zone, self.born
        )
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            self.running.fetch_add(1, Ordering::Relaxed);
            let answered = self.answer(&request, &mut writer);
            self.running.fetch_sub(1, Ordering::Relaxed);
            answered?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let mut load = format!(
            "server-load: {},0,{SLOTS}",
            self.running.load(Ordering::Relaxed)
        );
        if self.is_leaving.load(Ordering::Relaxed) {
            load.push_str("\r\nserver-leaving: 1");
        }
        if request.method() == "GET" {
            let body = match request.path() {
                "/api/report" => format!(
                    r#"{{"running":{},"queued":0,"born":{}}}"#,
                    self.running.load(Ordering::Relaxed),
                    self.born
                ),
                _ => String::new(),
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\ninstance-id: {}\r\n{load}\r\ncontent-length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            return out.write_all(head.as_bytes());
        }
        let id = request.header("request-id").unwrap_or_default();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let head = "HTTP/1.1 421 Misdirected\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
            return out.write_all(head.as_bytes());
        }
        self.runs.lock().expect("unpoisoned").push(Run {
            at: Instant::now(),
            id: id.to_owned(),
            worker: self.id.clone(),
            tenant: request.header("tenant").unwrap_or_default().to_owned(),
        });
        sleep(self.kind.prefill);
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: {}.{id}\r\n{load}\r\n\
             keep-alive: timeout=10\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
            self.id
        );
        out.write_all(head.as_bytes())?;
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        for n in after.unwrap_or(0) + 1..=self.kind.events {
            let event = format!("id: {n}\ndata: {} piece {n}\n\n", self.kind.version);
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            sleep(self.kind.event_pause);
        }
        out.write_all(b"0\r\n\r\n")
    }
}
