//! Stand-ins for the cases of the second review: the platform's store, workers, clients, links
//! between machines, and the processes of the project. Standard library only.
//!
//! Each case includes this file with `#[path]`.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that the case has started.
pub fn signal(child: &Child, signal: i32) {
    // SAFETY: the child has not been waited for, so its id is its own.
    unsafe { kill(child.id() as i32, signal) };
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The processes that have been started and not waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the case, and the processes that it has started: it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for pid in STARTED.lock().unwrap().iter() {
        // SAFETY: nobody has waited for the process, so the id is its own.
        unsafe { kill(*pid, 9) };
    }
    std::process::exit(2);
}

/// Ends a process and waits for it.
fn end(mut child: Child) {
    let pid = child.id() as i32;
    STARTED.lock().unwrap().retain(|started| *started != pid);
    let _ = child.kill();
    let _ = child.wait();
}

// ---------------------------------------------------------------------------------------------
// The record.

/// The record of a case; lines begin with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>6} {}", self.now_ms(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:>6} {}", self.now_ms(), text.as_ref());
        self.line(text);
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(e) = std::fs::write(path, text) {
            eprintln!("cannot write {}: {e}", path.display());
        }
    }
}

// ---------------------------------------------------------------------------------------------
// JSON, as far as the store's calls need it.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        Self::value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(n) => *n,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn skip(b: &[u8], at: &mut usize) {
        while *at < b.len() && b[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(b, at);
                    if *b.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    let Json::Text(name) = Self::value(b, at)? else { return None };
                    Self::skip(b, at);
                    if *b.get(*at)? != b':' {
                        return None;
                    }
                    *at += 1;
                    fields.push((name, Self::value(b, at)?));
                    Self::skip(b, at);
                    if *b.get(*at)? == b',' {
                        *at += 1;
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(b, at);
                    if *b.get(*at)? == b']' {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    list.push(Self::value(b, at)?);
                    Self::skip(b, at);
                    if *b.get(*at)? == b',' {
                        *at += 1;
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    let c = *b.get(*at)?;
                    *at += 1;
                    match c {
                        b'"' => return Some(Json::Text(String::from_utf8_lossy(&out).into_owned())),
                        b'\\' => {
                            let e = *b.get(*at)?;
                            *at += 1;
                            match e {
                                b'n' => out.push(b'\n'),
                                b't' => out.push(b'\t'),
                                b'r' => out.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                    *at += 4;
                                    let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                    out.extend(c.to_string().bytes());
                                }
                                other => out.push(other),
                            }
                        }
                        other => out.push(other),
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while *at < b.len() && !matches!(b[*at], b',' | b'}' | b']') && !b[*at].is_ascii_whitespace() {
                    *at += 1;
                }
                std::str::from_utf8(&b[from..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }
}

fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(SET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0_u32, 0);
    for c in text.bytes() {
        let v = match c {
            b'A'..=b'Z' => c - b'A',
            b'a'..=b'z' => c - b'a' + 26,
            b'0'..=b'9' => c - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => continue,
        };
        n = (n << 6) | u32::from(v);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1.

/// A request as a server has read it, without its body.
#[derive(Debug, Clone)]
pub struct Head {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        for pair in query.split('&') {
            if let Some((n, v)) = pair.split_once('=') {
                if n == name {
                    return percent_decoded(v);
                }
            }
        }
        String::new()
    }
}

fn percent_decoded(text: &str) -> String {
    let b = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() + 0 && let Ok(n) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
            out.push(n);
            i += 3;
            continue;
        }
        out.push(if b[i] == b'+' { b' ' } else { b[i] });
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads lines until the empty one.
fn read_lines(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            return Some(lines);
        }
        lines.push(line);
    }
}

fn header_pairs(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|l| l.split_once(':'));
    pairs.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect()
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let lines = read_lines(reader)?;
    let mut words = lines[0].split(' ');
    Some(Head {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers: header_pairs(&lines[1..]),
    })
}

fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        return read_chunks(reader);
    }
    let mut body = vec![0; head.header("content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// An answer as a client has read it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer is whole by its framing.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
    }
}

/// Reads one answer; `None` if its head does not come.
pub fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let lines = read_lines(reader)?;
    let status = lines[0].split(' ').nth(1)?.parse().ok()?;
    let headers = header_pairs(&lines[1..]);
    let mut answer = Answer { status, headers, body: Vec::new(), whole: true };
    if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 => {}
                _ => {
                    answer.whole = false;
                    return Some(answer);
                }
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                answer.whole = false;
                return Some(answer);
            }
            if size == 0 {
                return Some(answer);
            }
            answer.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Ok(length) = answer.header("content-length").parse::<usize>() {
        let mut body = vec![0; length];
        answer.whole = reader.read_exact(&mut body).is_ok();
        answer.body = body;
        return Some(answer);
    }
    answer.whole = reader.read_to_end(&mut answer.body).is_ok();
    Some(answer)
}

/// Sends a request on a new connection from `source` and reads the answer.
pub fn call(
    source: IpAddr,
    to: SocketAddr,
    head: &str,
    body: &[u8],
    wait: Duration,
) -> Option<Answer> {
    let _ = source;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_answer(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct StoreData {
    revision: i64,
    items: BTreeMap<String, Item>,
    history: Vec<(i64, String, String)>,
    leases: HashMap<i64, (Instant, u64)>,
    next_lease: i64,
}

/// The platform's store, as the page of the protocol describes it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<Mutex<StoreData>>,
    /// Machines whose calls are not answered, as their links are cut.
    pub cut: Arc<Mutex<Vec<IpAddr>>>,
    record: Record,
}

impl StoreData {
    fn event(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(item) => format!(
                "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
                quoted(key), item.value, item.revision, item.created, item.lease
            ),
            None => format!("{{\"key\":{},\"revision\":0}}", quoted(key)),
        }
    }

    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        let event = self.event(key);
        self.history.push((revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}", quoted(key), self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<i64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end(id);
        }
    }

    fn end(&mut self, id: i64) -> bool {
        let keys = self.items.iter().filter(|(_, i)| i.lease == id);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&id).is_some()
    }
}

impl Store {
    pub fn start(ip: IpAddr, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let store = Self {
            address: listener.local_addr().unwrap(),
            data: Arc::default(),
            cut: Arc::default(),
            record: record.clone(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key, as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.lock().unwrap();
        data.put(key, base64(value.as_bytes()), 0);
        self.record.line(format!("store: {key} acknowledged at revision {}", data.revision));
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.remove(key);
        self.record.line(format!("store: removal of {key} acknowledged at revision {}", data.revision));
    }

    /// Returns the text of a key's value.
    pub fn value(&self, key: &str) -> Option<String> {
        let data = self.data.lock().unwrap();
        data.items.get(key).map(|i| String::from_utf8_lossy(&unbase64(&i.value)).into_owned())
    }

    fn is_cut(&self, ip: IpAddr) -> bool {
        self.cut.lock().unwrap().contains(&ip)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&mut reader, &head) else { return };
            if self.is_cut(peer.ip()) {
                // A link that is cut carries nothing; the connection stays silent.
                sleep_ms(60_000);
                return;
            }
            sleep_ms(4);
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            if self.is_cut(peer.ip()) {
                sleep_ms(60_000);
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let path = head.path().to_owned();
        match (head.method.as_str(), path.as_str()) {
            ("GET", "/api/kv-watch") => return self.watch(head),
            ("GET", "/api/kv-key") => {
                let mut data = self.data.lock().unwrap();
                data.expire();
                let key = head.query("key");
                if !data.items.contains_key(&key) {
                    return (404, "{}".to_owned());
                }
                let mut text = data.event(&key);
                text.truncate(text.len() - 1);
                return (200, format!("{text},\"at\":{}}}", data.revision));
            }
            ("GET", "/api/kv-range") => {
                let mut data = self.data.lock().unwrap();
                data.expire();
                let (prefix, after) = (head.query("prefix"), head.query("after"));
                let keys: Vec<&String> =
                    data.items.keys().filter(|k| k.starts_with(&prefix) && **k > after).collect();
                let more = keys.len() > 500;
                let items: Vec<String> = keys.iter().take(500).map(|k| data.event(k)).collect();
                let at = data.revision;
                return (200, format!("{{\"items\":[{}],\"hasMore\":{more},\"at\":{at}}}", items.join(",")));
            }
            ("POST", "/api/kv-txn") => return self.transact(body),
            ("POST", "/api/kv-lease") => {
                let mut data = self.data.lock().unwrap();
                let ttl = Json::parse(body).and_then(|j| j.get("ttlMs").map(Json::number)).unwrap_or(1000.0);
                data.next_lease += 1;
                let id = 77_000 + data.next_lease;
                data.leases.insert(id, (Instant::now() + Duration::from_millis(ttl as u64), ttl as u64));
                return (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"));
            }
            _ => {}
        }
        if let Some(id) = path.strip_prefix("/api/kv-keep/") {
            let mut data = self.data.lock().unwrap();
            data.expire();
            let Some((until, ttl)) = data.leases.get_mut(&id.parse().unwrap_or(0)) else {
                return (404, "{}".to_owned());
            };
            *until = Instant::now() + Duration::from_millis(*ttl);
            return (200, format!("{{\"ttlMs\":{ttl}}}"));
        }
        if let Some(id) = path.strip_prefix("/api/kv-lease-end/") {
            let mut data = self.data.lock().unwrap();
            let ended = data.end(id.parse().unwrap_or(0));
            return (if ended { 200 } else { 404 }, "{}".to_owned());
        }
        (404, "{}".to_owned())
    }

    fn watch(&self, head: &Head) -> (u16, String) {
        let after: i64 = head.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(head.query("waitMs").parse().unwrap_or(0));
        let prefix = head.query("prefix");
        let until = Instant::now() + wait;
        loop {
            {
                let mut data = self.data.lock().unwrap();
                data.expire();
                let events: Vec<&str> = data
                    .history
                    .iter()
                    .filter(|(at, key, _)| *at > after && key.starts_with(&prefix))
                    .map(|(_, _, event)| event.as_str())
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let at = data.revision;
                    return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
                }
            }
            sleep_ms(10);
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(request) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let rows = |name: &str| request.get(name).map_or(Vec::new(), |l| l.list().to_vec());
        let field = |row: &Json, name: &str| row.get(name).cloned().unwrap_or(Json::Null);
        let mut data = self.data.lock().unwrap();
        data.expire();
        let (mut holds, mut items) = (true, Vec::new());
        for row in rows("precondition") {
            let key = field(&row, "key").text().to_owned();
            let revision = data.items.get(&key).map_or(0, |i| i.revision);
            holds &= revision == field(&row, "revision").number() as i64;
            items.push(data.event(&key));
        }
        if !holds {
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        for row in rows("writes") {
            let lease = field(&row, "lease").number() as i64;
            if lease != 0 && !data.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for row in rows("writes") {
            let key = field(&row, "key").text().to_owned();
            let lease = field(&row, "lease").number() as i64;
            data.put(&key, field(&row, "value").text().to_owned(), lease);
        }
        for key in rows("remove") {
            data.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", data.revision))
    }
}

// ---------------------------------------------------------------------------------------------
// Workers.

/// A run of a request at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_ms: u64,
    pub worker: String,
    pub id: String,
    pub tenant: String,
    pub tokens: u64,
    pub path: String,
}

/// What a worker does with a request whose expected worker it is; it returns whether the connection
/// stays open.
pub type Behaviour = dyn Fn(&Worker, &Head, &[u8], &mut TcpStream) -> bool + Send + Sync;

/// A worker of a service.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: u32,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    running: Arc<AtomicU64>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: IpAddr,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        behaviour: Arc<Behaviour>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms() - 60_000,
            slots: 64,
            record: record.clone(),
            runs: Arc::clone(runs),
            running: Arc::default(),
        };
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, behaviour) = (served.clone(), Arc::clone(&behaviour));
                thread::spawn(move || worker.serve(stream, &*behaviour));
            }
        });
        worker
    }

    /// The entry that the worker writes for itself.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    pub fn register(&self, store: &Store) {
        store.put(&format!("servers/{}", self.id), &self.entry("ready"));
    }

    pub fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::Relaxed), self.slots)
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) {
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&mut reader, &head) else { return };
            if head.path() == "/healthz" || head.path() == "/api/report" {
                let text = "{\"busy\":false,\"queued\":0,\"running\":0}";
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                    self.id, self.load(), text.len()
                );
                if out.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let expected = head.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id
                );
                let _ = out.write_all(answer.as_bytes());
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let stays = behaviour(self, &head, &body, &mut out);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if !stays {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Records that the worker begins to work on a request.
    pub fn run(&self, head: &Head) {
        let usage = head.header("token-usage");
        let tokens = usage.split(',').filter_map(|n| n.trim().parse::<u64>().ok()).sum();
        let run = Run {
            at_ms: self.record.now_ms(),
            worker: self.id.clone(),
            id: head.header("request-id").to_owned(),
            tenant: head.header("tenant").to_owned(),
            tokens,
            path: head.target.clone(),
        };
        self.record.line(format!("ran {} at {} ({} tokens)", run.id, run.worker, run.tokens));
        self.runs.lock().unwrap().push(run);
    }

    /// Answers a request with 200 and its id.
    pub fn reply(&self, head: &Head, out: &mut TcpStream) -> bool {
        let text = format!("answer to {}", head.header("request-id"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s-{}\r\nServer-Load: {}\r\nContent-Length: {}\r\n\r\n{text}",
            head.header("request-id"), head.header("request-id"), self.load(), text.len()
        );
        out.write_all(answer.as_bytes()).is_ok()
    }
}

/// A worker that works for some milliseconds on each request and then answers it.
pub fn sound(work_ms: u64) -> Arc<Behaviour> {
    Arc::new(move |worker, head, _, out| {
        worker.run(head);
        sleep_ms(work_ms);
        worker.reply(head, out)
    })
}

// ---------------------------------------------------------------------------------------------
// Links between machines: each is reached at a relay, which knows the other end by its address.

/// The links that carry nothing, as pairs of addresses.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<Vec<(IpAddr, IpAddr)>>>);

impl Links {
    pub fn cut(&self, a: IpAddr, b: IpAddr) {
        self.0.lock().unwrap().push((a, b));
    }

    pub fn heal(&self) {
        self.0.lock().unwrap().clear();
    }

    fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        self.0.lock().unwrap().iter().any(|(x, y)| (*x, *y) == (a, b) || (*x, *y) == (b, a))
    }

    /// Relays the connections that come to `listen` to `to`. While the link is cut, bytes wait, as
    /// in a silent partition.
    pub fn relay(&self, listen: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let links = self.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let links = links.clone();
                thread::spawn(move || {
                    let Ok(from) = inbound.peer_addr() else { return };
                    while links.is_cut(from.ip(), listen.ip()) {
                        sleep_ms(20);
                    }
                    let Ok(outbound) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                        return;
                    };
                    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
                    let (Ok(a), Ok(b)) = (inbound.try_clone(), outbound.try_clone()) else { return };
                    let (there, here) = (links.clone(), links);
                    let (from, own) = (from.ip(), listen.ip());
                    thread::spawn(move || pump(a, outbound, move || there.is_cut(from, own)));
                    pump(b, inbound, move || here.is_cut(from, own));
                });
            }
        });
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: impl Fn() -> bool) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let n = from.read(&mut buf).unwrap_or(0);
        while is_cut() {
            sleep_ms(20);
        }
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The project's processes.

/// A machine with one process of the project.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub child: Option<Child>,
    folder: PathBuf,
    zones: Vec<(String, String)>,
    store: SocketAddr,
    relayed: bool,
    bounds: BTreeMap<&'static str, String>,
    record: Record,
}

/// The root of the repository.
pub fn root() -> PathBuf {
    std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

/// Returns an address of this machine that is unlikely to be in use.
pub fn own_ip(n: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 20 + (id >> 8 & 63) as u8, (id & 255) as u8, n))
}

/// The bounds of a small site.
pub fn small_bounds() -> BTreeMap<&'static str, String> {
    let mut bounds = BTreeMap::new();
    for (name, value) in [
        ("graceS", "8"), ("retryBudgetRatio", "0.2"), ("budgetSlack", "56"), ("budgetWindowS", "10"),
        ("quotaOvershoot", "0.1"), ("quotaSlack", "110000"), ("quotaWindowS", "8"),
        ("warmupOvershoot", "1.5"), ("warmupSlack", "3"),
    ] {
        bounds.insert(name, value.to_owned());
    }
    bounds
}

impl Machine {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        name: &str,
        zone: &str,
        n: u8,
        zones: &[(&str, &str)],
        store: &Store,
        relayed: bool,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let ip = own_ip(n);
        let region = zones.iter().find(|(z, _)| *z == zone).map_or("", |(_, r)| r);
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            region: region.to_owned(),
            ip,
            front: SocketAddr::new(ip, 8221),
            ready: SocketAddr::new(ip, 8224),
            directory: SocketAddr::new(ip, 8220),
            child: None,
            folder: folder.to_owned(),
            zones: zones.iter().map(|(z, r)| ((*z).to_owned(), (*r).to_owned())).collect(),
            store: store.address,
            relayed,
            bounds: small_bounds(),
            record: record.clone(),
        }
    }

    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 7600)
    }

    /// The address at which other machines reach this one, if its links can be cut.
    pub fn relay(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 7602)
    }

    fn settings(&self, bootstrap: bool) -> String {
        let mut text = std::fs::read_to_string(root().join("deploy/instance.toml.in"))
            .unwrap_or_else(|e| cannot_run(&format!("deploy/instance.toml.in: {e}")));
        let mut fields: Vec<(String, String)> = vec![
            ("nodeName".into(), self.name.clone()),
            ("region".into(), self.region.clone()),
            ("zone".into(), self.zone.clone()),
            ("listen.front".into(), self.front.to_string()),
            ("listen.ready".into(), self.ready.to_string()),
            ("listen.directory".into(), self.directory.to_string()),
            ("ip".into(), self.ip.to_string()),
            ("internalPorts.0".into(), "7600".into()),
            ("platform.address".into(), self.store.to_string()),
            ("bootstrap".into(), bootstrap.to_string()),
        ];
        for (name, value) in &self.bounds {
            fields.push((format!("bounds.{name}"), value.clone()));
        }
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let zones: String = self.zones.iter().map(|(z, r)| format!("\"{z}\" = \"{r}\"\n")).collect();
        let from = text.find("{{#zones}}").unwrap_or_else(|| cannot_run("no zones in the template"));
        let until = text.find("{{/zones}}").map_or(text.len(), |i| i + "{{/zones}}".len());
        text.replace_range(from..until, &zones);
        if self.relayed {
            let own = format!("peer = \"{}\"\n", self.peer());
            let both = format!("{own}advertise_peer = \"{}\"\n", self.relay());
            text = text.replace(&own, &both);
        }
        if text.contains("{{") {
            cannot_run("a field of the template is not known here");
        }
        text
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, bootstrap: bool) {
        let path = self.folder.join(format!("{}.conf", self.name));
        std::fs::write(&path, self.settings(bootstrap)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = self.folder.join(format!("{}.log", self.name));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let errors = log.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let program = std::fs::canonicalize(root().join("target/release/limpetstand-hosted"));
        let program = program.unwrap_or_else(|e| cannot_run(&format!("limpetstand-hosted: {e}")));
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .env("LIMPETSTAND_BOOT", &path)
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&e.to_string()));
        self.record.say(format!("{} started, process {}", self.name, child.id()));
        STARTED.lock().unwrap().push(child.id() as i32);
        self.child = Some(child);
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            signal(child, number);
            self.record.say(format!("{} gets signal {number}", self.name));
        }
    }

    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            end(child);
            self.record.say(format!("{} killed", self.name));
        }
    }

    /// Returns how the process ended, if it has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(head.as_bytes());
        read_answer(&mut BufReader::new(stream)).is_some_and(|a| a.status == 200)
    }

    pub fn wait_until_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep_ms(50);
        }
        cannot_run(&format!("{} did not become ready", self.name));
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = self.child.take() {
            signal(&child, SIGCONT);
            end(child);
        }
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("limpetstand-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Clients.

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub fn new_request_id() -> String {
    let n = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{n:08x}", std::process::id())
}

/// A request that a client has sent, and what became of it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub at_ms: u64,
    pub done_ms: u64,
    pub answer: Option<Answer>,
}

/// Sends requests at an even rate, each on a new connection, until it is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
}

impl Load {
    /// `per_s` returns the rate at a time, in seconds since the begin of the record.
    pub fn start(
        record: &Record,
        to: SocketAddr,
        per_s: impl Fn(f64) -> f64 + Send + 'static,
        request: impl Fn(&str) -> (String, Vec<u8>) + Send + Sync + 'static,
        sent: &Arc<Mutex<Vec<Sent>>>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, record, sent) = (Arc::clone(&stop), record.clone(), Arc::clone(sent));
        let request = Arc::new(request);
        thread::spawn(move || {
            let mut owed = 0.0;
            let mut last = Instant::now();
            while !stopped.load(Ordering::Relaxed) {
                sleep_ms(2);
                let now = Instant::now();
                owed += per_s(record.now_ms() as f64 / 1000.0) * (now - last).as_secs_f64();
                last = now;
                while owed >= 1.0 {
                    owed -= 1.0;
                    let (record, sent, request) =
                        (record.clone(), Arc::clone(&sent), Arc::clone(&request));
                    thread::spawn(move || {
                        let id = new_request_id();
                        let (head, body) = request(&id);
                        let at_ms = record.now_ms();
                        record.line(format!("sent {id} to {to}"));
                        let answer = call(to.ip(), to, &head, &body, Duration::from_millis(5_500));
                        let status = answer.as_ref().map_or(0, |a| a.status);
                        record.line(format!("answer {id} {status}"));
                        let done_ms = record.now_ms();
                        sent.lock().unwrap().push(Sent { id, at_ms, done_ms, answer });
                    });
                }
            }
        });
        Self { stop }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop();
    }
}
