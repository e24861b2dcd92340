//! The platform's key-value store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, quote};

/// Largest number of items on a page of a list.
const PAGE: usize = 500;

/// How long a watch waits before the store cuts it, while the store cuts watches.
pub const CUT_AFTER: Duration = Duration::from_millis(2_000);

struct Item {
    /// In base64, as it was written.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Change {
    revision: i64,
    key: String,
    /// The item as it was written; `None` for a deletion.
    value: Option<(String, i64, i64)>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Default)]
struct Data {
    revision: i64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

pub struct Store {
    pub address: SocketAddr,
    data: Mutex<Data>,
    changed: Condvar,
    /// Whether watches that wait are cut.
    pub cuts_watches: AtomicBool,
    pub watches_cut: AtomicUsize,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let revision = self.revision;
        let item = Item {
            value: value.clone(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push(Change {
            revision,
            key: key.to_owned(),
            value: Some((value, created, lease)),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change {
                revision,
                key: key.to_owned(),
                value: None,
            });
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let due: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in &due {
            self.end_lease(*lease);
        }
        !due.is_empty()
    }
}

fn item_json(key: &str, value: &str, revision: i64, created: i64, lease: i64) -> String {
    format!(
        r#"{{"key":{},"value":{},"revision":{revision},"created":{created},"lease":{lease}}}"#,
        quote(key),
        quote(value)
    )
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            data: Mutex::default(),
            changed: Condvar::new(),
            cuts_watches: AtomicBool::new(false),
            watches_cut: AtomicUsize::new(0),
        });
        store.data.lock().unwrap().revision = 100;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    http::serve(stream, |req| store.answer(req));
                });
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                if expiring.data.lock().unwrap().expire() {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator or a worker; its return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.data
            .lock()
            .unwrap()
            .put(key, http::base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key as the platform or the operator.
    pub fn remove(&self, key: &str) {
        self.data.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Answers a call; `None` closes the connection without an answer.
    fn answer(&self, req: Request) -> io::Result<Option<(u16, String)>> {
        let (path, query) = req.split();
        let param = |name: &str| {
            query
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v.as_str())
                .unwrap_or("")
        };
        let mut data = self.data.lock().unwrap();
        let body = match (req.method.as_str(), path.as_str()) {
            ("GET", "/api/kv-key") => match data.items.get(param("key")) {
                Some(i) => item_json(param("key"), &i.value, i.revision, i.created, i.lease),
                None => return Ok(Some((404, "{}".to_owned()))),
            },
            ("GET", "/api/kv-range") => {
                let after = param("after").to_owned();
                let prefix = param("prefix").to_owned();
                let mut found = data
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && (after.is_empty() || **k > after));
                let page: Vec<String> = found
                    .by_ref()
                    .take(PAGE)
                    .map(|(k, i)| item_json(k, &i.value, i.revision, i.created, i.lease))
                    .collect();
                let more = found.next().is_some();
                format!(
                    r#"{{"items":[{}],"hasMore":{more},"at":{}}}"#,
                    page.join(","),
                    data.revision
                )
            }
            ("GET", "/api/kv-watch") => {
                let prefix = param("prefix").to_owned();
                let after: i64 = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
                let began = Instant::now();
                loop {
                    let events: Vec<String> = data
                        .history
                        .iter()
                        .filter(|c| c.revision > after && c.key.starts_with(&prefix))
                        .map(|c| match &c.value {
                            Some((v, created, lease)) => {
                                item_json(&c.key, v, c.revision, *created, *lease)
                            }
                            None => format!(
                                r#"{{"key":{},"revision":{},"deleted":true}}"#,
                                quote(&c.key),
                                c.revision
                            ),
                        })
                        .collect();
                    if !events.is_empty() || began.elapsed() >= wait {
                        break format!(
                            r#"{{"events":[{}],"at":{}}}"#,
                            events.join(","),
                            data.revision
                        );
                    }
                    if self.cuts_watches.load(Ordering::Relaxed) && began.elapsed() >= CUT_AFTER {
                        self.watches_cut.fetch_add(1, Ordering::Relaxed);
                        return Ok(None);
                    }
                    let next = wait
                        .saturating_sub(began.elapsed())
                        .min(Duration::from_millis(20));
                    data = self.changed.wait_timeout(data, next).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let json = Json::parse(&req.body)?;
                let mut conflict = false;
                let mut items = Vec::new();
                for row in json.get("precondition").items() {
                    let key = row.get("key").text();
                    let current = data.items.get(&key);
                    conflict |= current.map_or(0, |i| i.revision) != row.get("revision").int();
                    items.push(match current {
                        Some(i) => item_json(&key, &i.value, i.revision, i.created, i.lease),
                        None => format!(r#"{{"key":{},"revision":0}}"#, quote(&key)),
                    });
                }
                if conflict {
                    return Ok(Some((412, format!(r#"{{"items":[{}]}}"#, items.join(",")))));
                }
                for write in json.get("writes").items() {
                    let lease = write.get("lease").int();
                    if lease != 0 && !data.leases.contains_key(&lease) {
                        return Ok(Some((404, "{}".to_owned())));
                    }
                }
                for write in json.get("writes").items() {
                    data.put(
                        &write.get("key").text(),
                        write.get("value").text(),
                        write.get("lease").int(),
                    );
                }
                for key in json.get("remove").items() {
                    data.remove(&key.text());
                }
                self.changed.notify_all();
                format!(r#"{{"revision":{}}}"#, data.revision)
            }
            ("POST", "/api/kv-lease") => {
                let ttl_ms = Json::parse(&req.body)?
                    .get("ttlMs")
                    .int()
                    .clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms as u64);
                data.next_lease += 1;
                let lease = data.next_lease;
                data.leases.insert(
                    lease,
                    Lease {
                        ttl,
                        expires: Instant::now() + ttl,
                    },
                );
                format!(r#"{{"lease":{lease},"ttlMs":{ttl_ms}}}"#)
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease: i64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match data.leases.get_mut(&lease) {
                    Some(l) => {
                        l.expires = Instant::now() + l.ttl;
                        format!(r#"{{"ttlMs":{}}}"#, l.ttl.as_millis())
                    }
                    None => return Ok(Some((404, "{}".to_owned()))),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease: i64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                data.end_lease(lease);
                self.changed.notify_all();
                "{}".to_owned()
            }
            _ => return Ok(Some((404, "{}".to_owned()))),
        };
        Ok(Some((200, body)))
    }
}
