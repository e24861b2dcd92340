//! A stand-in for the platform's key-value service.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::net::Net;

const POLL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Debug, Default)]
struct Data {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the event as JSON.
    history: Vec<(i64, String, String)>,
    leases: BTreeMap<i64, (Instant, Duration)>,
    last_lease: i64,
}

#[derive(Clone)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    net: Arc<Net>,
    pub address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let event = item_json(key, &item);
        self.history.push((revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end(id);
        }
    }

    fn end(&mut self, lease: i64) {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&lease);
    }
}

impl Store {
    pub fn start(ip: IpAddr, net: Arc<Net>) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Self {
            data: Arc::default(),
            net,
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        http::serve(listener, move |stream, from| {
            serving.connection(stream, from)
        });
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        self.data().put(key, base64(value.as_bytes()), 0);
    }

    pub fn remove(&self, key: &str) {
        self.data().remove(key);
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        let mut data = self.data.lock().expect("unpoisoned");
        data.expire();
        data
    }

    fn connection(&self, stream: TcpStream, from: IpAddr) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            self.net.wait(from, self.address.ip());
            let (status, body) = self.answer(&request);
            // The answer is held up while its way is cut.
            self.net.wait(from, self.address.ip());
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nstore-era: 0\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path();
        let body =
            Json::parse(std::str::from_utf8(&request.body).unwrap_or("")).unwrap_or(Json::Null);
        match (request.method(), path) {
            ("GET", "/api/kv-key") => self.key(&request.query("key").unwrap_or_default()),
            ("GET", "/api/kv-range") => {
                let after = request.query("after").unwrap_or_default();
                self.range(&request.query("prefix").unwrap_or_default(), &after)
            }
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.transact(&body),
            ("POST", "/api/kv-lease") => self.grant(body.get("ttlMs").int()),
            ("POST", _) if path.starts_with("/api/kv-keep/") => self.keep(path),
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                self.data().end(id.unwrap_or(0));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.data().items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let data = self.data();
        let items = data.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let at = data.revision;
        (
            200,
            format!(
                r#"{{"items":[{}],"hasMore":false,"at":{at}}}"#,
                items.join(",")
            ),
        )
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let number = |name| request.query(name).and_then(|n| n.parse::<i64>().ok());
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = u64::try_from(number("waitMs").unwrap_or(0)).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        loop {
            {
                let data = self.data();
                if after > data.revision {
                    return (410, "{}".to_owned());
                }
                let new = data.history.iter().rev().take_while(|(r, ..)| *r > after);
                let new = new.filter(|(_, key, _)| key.starts_with(&prefix));
                let mut events: Vec<&str> = new.map(|(.., event)| event.as_str()).collect();
                events.reverse();
                if !events.is_empty() || Instant::now() >= until {
                    let at = data.revision;
                    return (
                        200,
                        format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")),
                    );
                }
            }
            sleep(POLL);
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut data = self.data();
        let mut holds = true;
        let mut items = Vec::new();
        for row in body.get("precondition").list() {
            let key = row.get("key").text();
            let item = data.items.get(key);
            holds &= row.get("revision").int() == item.map_or(0, |i| i.revision);
            items.extend(item.map(|item| item_json(key, item)));
        }
        if !holds {
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        for write in body.get("writes").list() {
            let lease = write.get("lease").int();
            if lease != 0 && !data.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for write in body.get("writes").list() {
            let value = write.get("value").text().to_owned();
            data.put(write.get("key").text(), value, write.get("lease").int());
        }
        for key in body.get("remove").list() {
            data.remove(key.text());
        }
        (200, format!(r#"{{"revision":{}}}"#, data.revision))
    }

    fn grant(&self, ttl_ms: i64) -> (u16, String) {
        let mut data = self.data();
        let ttl = Duration::from_millis(u64::try_from(ttl_ms.max(1_000)).unwrap_or(1_000));
        data.last_lease += 1;
        let id = data.last_lease;
        data.leases.insert(id, (Instant::now() + ttl, ttl));
        (
            200,
            format!(r#"{{"lease":{id},"ttlMs":{}}}"#, ttl.as_millis()),
        )
    }

    fn keep(&self, path: &str) -> (u16, String) {
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<i64>().ok());
        match self.data().leases.get_mut(&id.unwrap_or(0)) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let byte = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= part.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
