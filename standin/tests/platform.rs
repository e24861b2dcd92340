//! Tests of the platform and plain service stand-ins.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use limpetstand_standin::platform::{Group, Platform};
use limpetstand_standin::service::{Fault, Service};
use reqwest::{Client, StatusCode};
use serde_json::json;

async fn platform() -> Platform {
    Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

fn group(id: &str) -> Group {
    Group::new("127.0.0.1:80".parse().unwrap()).label("id", id)
}

async fn listed(platform: &Platform) -> Vec<Group> {
    let url = format!("http://{}/instances", platform.address());
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

#[tokio::test]
async fn list_shows_changes_after_the_lag() {
    let p = platform().await;
    p.add(group("a"));
    p.set_lag(Duration::from_secs(3_600));
    assert!(listed(&p).await.is_empty());
    p.set_lag(Duration::ZERO);
    p.set_label("a", "state", "leaving");
    let now = listed(&p).await;
    assert_eq!(now, [group("a").label("state", "leaving")]);
    p.remove("a");
    assert!(listed(&p).await.is_empty());
    assert_eq!(p.counts().list_reads, 3);
}

#[tokio::test]
async fn directory_keeps_the_entries_of_each_region() {
    let p = platform().await;
    for (region, id) in [("recife", "a"), ("salvador", "b"), ("recife", "c")] {
        let url = format!("http://{}/directory/{region}", p.address());
        let put = Client::new().put(url).json(&[group(id)]);
        assert!(put.send().await.unwrap().status().is_success());
    }
    assert_eq!(p.directory(), [group("c"), group("b")]);
}

#[tokio::test]
async fn weight_store_limits_the_download_rate() {
    let p = platform().await;
    p.set_downloads_per_second(0.001);
    let url = format!("http://{}/weights/m/1", p.address());
    let mut refused = 0;
    for _ in 0..4 {
        let resp = reqwest::get(&url).await.unwrap();
        if resp.status() == StatusCode::TOO_MANY_REQUESTS {
            assert!(resp.headers().contains_key("retry-after"));
            refused += 1;
        }
    }
    assert_eq!((refused, p.counts().refused_downloads), (2, 2));
}

#[tokio::test]
async fn service_records_the_requests_that_it_runs() {
    let at = "127.0.0.1:0".parse().unwrap();
    let service = Service::start(at, "recife", &[]).await.unwrap();
    let client = Client::new();
    let send = |id: &str| {
        let url = format!("http://{}/run", service.address());
        client.post(url).json(&json!({ "x-run-id": id })).send()
    };
    assert_eq!(send("a").await.unwrap().status(), 200);
    service.fail_next(Fault::CrashAfter, 1);
    assert!(send("b").await.is_err());
    service.fail_next(Fault::FailBefore, 1);
    assert_eq!(send("c").await.unwrap().status(), 500);
    let mut ran = Vec::new();
    for run in service.runs() {
        ran.push(run.run_id.unwrap());
    }
    assert_eq!(ran, ["a", "b"]);
    assert_eq!(service.received(), 3);
}
