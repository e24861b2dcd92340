//! A small deployment on loopback: instances as processes, workers and the record of what happens.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Answer, Request};
use crate::store::Store;

/// The program and its argument in `deploy/system.toml`.
const INSTANCE: &str = "target/release/limpetstand-hosted";

/// The bounds of the small sites that the cases use, in milliseconds.
pub const DRAIN_MS: u64 = 4_000;
pub const CONTACT_MS: u64 = 6_000;

pub const HOST: &str = "a.example";
pub const KEY: &str = "key-of-o1";

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Self {
            began: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let text = format!("{:>7} {}\n", self.now_ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }

    /// Writes a line also to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("a time")
        .as_millis() as u64
}

/// Returns a loopback address that no other run of a case uses. A free port on a shared address could
/// be taken by another process before the instance listens.
fn unique_address() -> IpAddr {
    static INSTANCES: AtomicU8 = AtomicU8::new(1);
    let n = INSTANCES.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, n).into()
}

pub struct Instance {
    pub name: String,
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Instance {
    /// Starts an instance with settings as `deploy/instance.toml.in` renders them.
    pub fn start(
        name: &str,
        region: &str,
        regions: &[&str],
        store: SocketAddr,
        dir: &Path,
    ) -> Self {
        let dir = dir.join(name);
        fs::create_dir_all(&dir).expect("a folder");
        let ip = unique_address();
        let [front, peer, admin, ready, directory] =
            [7_001, 7_002, 7_003, 7_004, 7_005].map(|port| SocketAddr::new(ip, port));
        let zones: Vec<String> = regions
            .iter()
            .map(|r| format!("\"{r}-a\" = \"{r}\""))
            .collect();
        let settings = format!(
            r#"[instance]
id = "{name}"
region = "{region}"
data_centre = "{region}-a"
front = "{front}"
peer = "{peer}"
admin = "{admin}"
source = "{ip}"

[store]
kind = "kv"
address = "http://{store}"
timeout_ms = 1000

[policy]
limit = "few-holders"

[log]
level = "warn"
json = true

[gateway]
platform = "kv"
ready = "{ready}"
directory = "{directory}"
first_start = true
grace_ms = 8000
retry_ratio = 0.2
retry_slack = 56
retry_window_s = 10
limit_overshoot = 0.1
limit_slack = 110000
limit_window_s = 8
warmup_overshoot = 1.5
warmup_slack = 3

[gateway.data_centres]
{}
"#,
            zones.join("\n")
        );
        fs::write(dir.join("local.conf"), settings).expect("settings");
        let out = File::create(dir.join("journal")).expect("a file");
        let err = File::create(dir.join("errors")).expect("a file");
        let child = Command::new(INSTANCE)
            .arg("--settings")
            .arg(dir.join("local.conf"))
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("the instance starts");
        Self {
            name: name.to_owned(),
            child,
            front,
            ready,
        }
    }

    pub fn is_ready(&self) -> bool {
        let req = format!(
            "GET /api/readyz HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n",
            self.ready
        );
        let answer = http::ask(self.ready, req.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|a| a.status == 200)
    }

    /// The most memory that the process has had, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.status("VmHWM:")
    }

    /// The memory that the process has now, in bytes.
    pub fn memory(&self) -> u64 {
        self.status("VmRSS:")
    }

    fn status(&self, name: &str) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with(name))
            .unwrap_or_default();
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse::<u64>().ok())
            .unwrap_or(0)
            * 1024
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts instances and waits until all are ready.
pub fn start_instances(
    names: &[(&str, &str)],
    store: &Store,
    dir: &Path,
) -> Result<Vec<Instance>, String> {
    let mut regions: Vec<&str> = names.iter().map(|(_, r)| *r).collect();
    regions.dedup();
    let instances: Vec<Instance> = names
        .iter()
        .map(|(name, region)| Instance::start(name, region, &regions, store.address, dir))
        .collect();
    let until = Instant::now() + Duration::from_secs(15);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > until {
            return Err("not all instances became ready".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(instances)
}

/// What a worker does with a request that names it.
pub enum Deed {
    /// Works for a time and answers with this body.
    Serve(Duration, Vec<u8>),
    /// Writes these bytes and closes the connection.
    Raw(Vec<u8>),
}

/// One run of a request at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at_ms: u64,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    record: Arc<Record>,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
    pub cut_at_end: Mutex<Vec<String>>,
    working: Mutex<Vec<String>>,
    pub answers: AtomicU64,
    act: Box<dyn Fn(&Request) -> Deed + Send + Sync>,
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        region: &str,
        record: &Arc<Record>,
        act: impl Fn(&Request) -> Deed + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a listener");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: format!("{region}-a"),
            address: listener.local_addr().expect("an address"),
            born: unix_ms(),
            record: Arc::clone(record),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            runs: Mutex::default(),
            cut_at_end: Mutex::default(),
            working: Mutex::default(),
            answers: AtomicU64::new(0),
            act: Box::new(act),
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            while !serving.ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                serving.streams.lock().unwrap().extend(stream.try_clone());
                let worker = Arc::clone(&serving);
                thread::spawn(move || {
                    let closing = stream.try_clone();
                    worker.serve(stream);
                    if let Ok(closing) = closing {
                        let _ = closing.shutdown(Shutdown::Both);
                    }
                });
            }
        });
        worker
    }

    /// The worker's entry in the registry.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"{state}","warmupLeftMs":0,"sequence":1,"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Ends the worker's process: its connections close, whatever it is working on.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let working = self.working.lock().unwrap().clone();
        self.record.line(format!(
            "worker {} exits while it works on {working:?}",
            self.id
        ));
        *self.cut_at_end.lock().unwrap() = working;
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let Ok(Some(req)) = http::read_request(&mut reader) else {
                return;
            };
            let id = req.header("request-id").unwrap_or_default().to_owned();
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            if req.header("expect-instance").is_some_and(|i| i != self.id) {
                self.record
                    .line(format!("worker {} rejects {id} with 421", self.id));
                let text = format!(
                    "HTTP/1.1 421 X\r\nrequest-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.line(format!(
                "worker {} runs {id} {} {}",
                self.id, req.method, req.target
            ));
            self.runs.lock().unwrap().push(Run {
                id: id.clone(),
                at_ms: self.record.now_ms(),
            });
            self.working.lock().unwrap().push(id.clone());
            let (bytes, keeps) = match (self.act)(&req) {
                Deed::Serve(work, body) => {
                    thread::sleep(work);
                    let mut text = format!(
                        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: signed by {}\r\nserver-load: 1,0,64\r\ncontent-length: {}\r\n\r\n",
                        self.id,
                        body.len()
                    )
                    .into_bytes();
                    text.extend_from_slice(&body);
                    (text, true)
                }
                Deed::Raw(bytes) => (bytes, false),
            };
            self.working.lock().unwrap().retain(|w| *w != id);
            if writer.write_all(&bytes).is_err() || !keeps {
                return;
            }
            self.answers.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The head of a request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ncredential: {KEY}\r\nrequest-deadline: {deadline_ms}\r\n{more}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

pub fn ask(
    instance: &Instance,
    record: &Record,
    text: &[u8],
    id: &str,
    patience: Duration,
) -> Result<Answer, String> {
    record.line(format!("client sends {id} to {}", instance.name));
    let answer = http::ask(instance.front, text, patience).map_err(|e| e.to_string());
    match &answer {
        Ok(a) => record.line(format!(
            "client gets {} for {id}, whole {}, {} bytes",
            a.status,
            a.whole,
            a.body.len()
        )),
        Err(e) => record.line(format!("client gets no answer for {id}: {e}")),
    }
    answer
}

/// A configuration with one unsafe, one safe and one streaming route to the service `app`.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","routeType":"{kind}","timeoutMs":5000,"targetLatencyMs":500,"priority":0,"service":"app"{more}}}"#
        )
    };
    let routes = [
        route("once", "unsafe", r#","maxAttempts":2"#),
        route("safe", "safe", r#","maxAttempts":2"#),
        route(
            "go",
            "streaming",
            r#","maxAttempts":2,"resumable":true,"gapAimMs":600"#,
        ),
        route("long", "streaming", r#","maxAttempts":1,"gapAimMs":600"#),
        route(
            "south",
            "unsafe",
            r#","maxAttempts":2,"homeRegions":["south"]"#,
        ),
        route(
            "report",
            "unsafe",
            r#","maxAttempts":2,"homeRegions":["south"]"#,
        )
        .replace("5000", "15000"),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app","healthPath":"/healthz"}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000}},"tenants":[{{"name":"o1","apiKeys":["{KEY}"],"unit":"tokens","uncachedTokens":1,"ratePerS":100000,"burst":100000}}]}}"#,
        routes.join(",")
    )
}
