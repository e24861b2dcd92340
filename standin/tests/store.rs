//! Tests of the store stand-in against the documented behaviour of etcd's JSON gateway.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use limpetstand_standin::store::{Outage, Store};
use reqwest::{Client, Response};
use serde_json::{Value, json};

struct Fixture {
    store: Store,
    client: Client,
}

impl Fixture {
    async fn start() -> Self {
        let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        Self {
            store,
            client: Client::new(),
        }
    }

    async fn send(&self, path: &str, body: &Value) -> Result<Response, reqwest::Error> {
        let url = format!("http://{}/v3/{path}", self.store.address());
        self.client.post(url).json(body).send().await
    }

    async fn call(&self, path: &str, body: Value) -> Value {
        self.send(path, &body).await.unwrap().json().await.unwrap()
    }

    async fn put(&self, key: &str, value: &str) -> i64 {
        let body = json!({ "key": b64(key), "value": b64(value) });
        revision(&self.call("kv/put", body).await)
    }

    fn compare_and_swap_body(key: &str, mod_revision: i64, value: &str) -> Value {
        json!({
            "compare": [{
                "key": b64(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": mod_revision.to_string(),
            }],
            "success": [{ "request_put": { "key": b64(key), "value": b64(value) } }],
            "failure": [{ "request_range": { "key": b64(key) } }],
        })
    }

    async fn watch(&self, prefix: &str, end: &str, start: i64) -> Response {
        let create = json!({
            "key": b64(prefix),
            "range_end": b64(end),
            "start_revision": start.to_string(),
        });
        let body = json!({ "create_request": create });
        self.send("watch", &body).await.unwrap()
    }
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn revision(answer: &Value) -> i64 {
    answer["header"]["revision"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap()
}

async fn line(resp: &mut Response) -> Value {
    let chunk = resp.chunk().await.unwrap().unwrap();
    serde_json::from_slice(&chunk).unwrap()
}

#[tokio::test]
async fn compare_and_swap_succeeds_once() {
    let f = Fixture::start().await;
    let first = f
        .call("kv/txn", Fixture::compare_and_swap_body("head", 0, "a"))
        .await;
    assert_eq!(first["succeeded"], json!(true));
    let again = f
        .call("kv/txn", Fixture::compare_and_swap_body("head", 0, "b"))
        .await;
    assert_eq!(again.get("succeeded"), None);
    let kv = &again["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(kv["value"], json!(b64("a")));
    assert_eq!(kv["mod_revision"], json!(revision(&first).to_string()));
    let next = Fixture::compare_and_swap_body("head", revision(&first), "b");
    assert_eq!(f.call("kv/txn", next).await["succeeded"], json!(true));
    assert_eq!(f.store.value("head"), Some(b"b".to_vec()));
}

#[tokio::test]
async fn range_reads_a_prefix_in_order() {
    let f = Fixture::start().await;
    for key in ["a/2", "b/1", "a/1"] {
        f.put(key, key).await;
    }
    let body = json!({ "key": b64("a/"), "range_end": b64("a0") });
    let answer = f.call("kv/range", body).await;
    assert_eq!(answer["count"], json!("2"));
    assert_eq!(answer["kvs"][0]["key"], json!(b64("a/1")));
    assert_eq!(answer["kvs"][1]["key"], json!(b64("a/2")));
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let f = Fixture::start().await;
    let lease = f.call("lease/grant", json!({ "TTL": "1" })).await["ID"].clone();
    let body = json!({ "key": b64("k"), "value": b64("v"), "lease": lease });
    f.call("kv/put", body.clone()).await;
    let mut watch = f.watch("k", "", 0).await;
    line(&mut watch).await;
    let event = line(&mut watch).await;
    assert_eq!(event["result"]["events"][0]["type"], json!("DELETE"));
    assert_eq!(f.store.value("k"), None);
    let kept = f.call("lease/keepalive", json!({ "ID": lease })).await;
    assert_eq!(kept["result"].get("TTL"), None);
    assert_eq!(f.send("kv/put", &body).await.unwrap().status(), 404);
}

#[tokio::test]
async fn watch_delivers_changes_since_a_revision() {
    let f = Fixture::start().await;
    let first = f.put("p/1", "a").await;
    f.put("q/1", "other").await;
    f.put("p/2", "b").await;
    let mut watch = f.watch("p/", "p0", first).await;
    assert_eq!(line(&mut watch).await["result"]["created"], json!(true));
    let past = line(&mut watch).await;
    assert_eq!(past["result"]["events"].as_array().unwrap().len(), 2);
    assert_eq!(f.store.counts().open_watches, 1);
    f.put("p/3", "c").await;
    let live = line(&mut watch).await;
    assert_eq!(live["result"]["events"][0]["kv"]["key"], json!(b64("p/3")));
}

#[tokio::test]
async fn compaction_cancels_an_old_watch() {
    let f = Fixture::start().await;
    let first = f.put("p/1", "a").await;
    let last = f.put("p/1", "b").await;
    f.store.compact();
    let mut watch = f.watch("p/", "p0", first).await;
    line(&mut watch).await;
    let answer = line(&mut watch).await;
    assert_eq!(answer["result"]["canceled"], json!(true));
    assert_eq!(
        answer["result"]["compact_revision"],
        json!(last.to_string())
    );
}

#[tokio::test]
async fn write_with_a_lost_answer_takes_effect() {
    let f = Fixture::start().await;
    f.store.lose_next_answers(1);
    let body = json!({ "key": b64("k"), "value": b64("v") });
    assert!(f.send("kv/put", &body).await.is_err());
    assert_eq!(f.store.value("k"), Some(b"v".to_vec()));
    assert_eq!(f.store.counts().lost_answers, 1);
    assert!(f.send("kv/put", &body).await.is_ok());
}

#[tokio::test]
async fn outage_refuses_connections_until_it_ends() {
    let f = Fixture::start().await;
    f.put("k", "v").await;
    f.store.set_outage(Some(Outage::Refuse));
    let body = json!({ "key": b64("k") });
    while f.send("kv/range", &body).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    f.store.set_outage(None);
    while f.send("kv/range", &body).await.is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(f.store.value("k"), Some(b"v".to_vec()));
}

#[tokio::test]
async fn restart_closes_watches() {
    let f = Fixture::start().await;
    let mut watch = f.watch("p/", "p0", 0).await;
    line(&mut watch).await;
    f.store.restart();
    assert!(!matches!(watch.chunk().await, Ok(Some(_))));
}
