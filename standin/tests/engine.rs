//! Tests of the engine stand-in.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use limpetstand_standin::engine::{BLOCK_WORDS, Engine, Silence, block_hashes, text_hash, tokens};
use reqwest::{Client, Response};
use serde_json::{Value, json};

const MODEL: &str = "menu-8b";

async fn engine() -> Engine {
    let builder = Engine::builder("e1", "recife").model(MODEL, "1");
    let builder = builder.secrets(&["hush".to_owned()]);
    builder.start("127.0.0.1:0".parse().unwrap()).await.unwrap()
}

fn url(engine: &Engine, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

async fn post(engine: &Engine, path: &str, body: Value) -> Response {
    let req = Client::new().post(url(engine, path)).json(&body);
    req.header("x-request-id", "r1").send().await.unwrap()
}

async fn chat(engine: &Engine, messages: Value, n: u64, more: Value) -> Value {
    let mut body = json!({ "model": MODEL, "messages": messages, "max_tokens": n });
    for (k, v) in more.as_object().unwrap() {
        body[k] = v.clone();
    }
    post(engine, "/v1/chat/completions", body)
        .await
        .json()
        .await
        .unwrap()
}

/// Returns the joined text of a stream, whether the stream has its terminator, and the usage.
fn read_stream(text: &str) -> (String, bool, Value) {
    let mut joined = String::new();
    let mut usage = Value::Null;
    let mut done = false;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let v: Value = serde_json::from_str(data).unwrap();
        joined.push_str(v["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        usage = v["usage"].clone();
    }
    (joined, done, usage)
}

#[tokio::test]
async fn answer_depends_on_the_prompt() {
    let e = engine().await;
    let messages = json!([{ "role": "user", "content": "two words" }]);
    let v = chat(&e, messages.clone(), 5, json!({})).await;
    let expected = tokens(text_hash("two words"), 0, 5);
    assert_eq!(v["choices"][0]["message"]["content"], json!(expected));
    assert_eq!(v["usage"]["prompt_tokens"], json!(2));
    assert_eq!(v["usage"]["completion_tokens"], json!(5));
    let body = json!({ "model": MODEL, "messages": messages, "max_tokens": 5, "stream": true });
    let resp = post(&e, "/v1/chat/completions", body).await;
    assert_eq!(resp.headers()["x-request-id"], "r1");
    let (text, done, usage) = read_stream(&resp.text().await.unwrap());
    assert_eq!((text, done), (expected, true));
    assert_eq!(usage["completion_tokens"], json!(5));
    assert_eq!(e.runs().len(), 2);
    assert_eq!(e.runs()[1].generated(), 5);
    assert!(!e.runs()[1].leaked_key);
}

#[tokio::test]
async fn chat_resumes_an_earlier_answer() {
    let e = engine().await;
    let hash = text_hash("a plate of tarts");
    let earlier_answer = tokens(hash, 0, 3);
    let messages = json!([
        { "role": "user", "content": "a plate of tarts" },
        { "role": "assistant", "content": earlier_answer },
    ]);
    let v = chat(&e, messages, 4, json!({ "continue_final_message": true })).await;
    assert_eq!(
        v["choices"][0]["message"]["content"],
        json!(tokens(hash, 3, 4))
    );
    assert_eq!(e.wrong_resumes(), 0);
}

#[tokio::test]
async fn completion_resumes_an_earlier_answer() {
    let e = engine().await;
    let hash = text_hash("classify this firm");
    let prompt = format!("classify this firm{}", tokens(hash, 0, 2));
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": 2, "limpetstand_resume_from": 2,
    });
    let v: Value = post(&e, "/v1/completions", body)
        .await
        .json()
        .await
        .unwrap();
    assert_eq!(v["choices"][0]["text"], json!(tokens(hash, 2, 2)));
    let wrong = json!({
        "model": MODEL, "prompt": "x y z", "max_tokens": 2, "limpetstand_resume_from": 2,
    });
    post(&e, "/v1/completions", wrong).await;
    assert_eq!(e.wrong_resumes(), 1);
}

#[tokio::test]
async fn crossed_answer_is_that_of_the_previous_request() {
    let e = engine().await;
    let messages = |text: &str| json!([{ "role": "user", "content": text }]);
    chat(&e, messages("first"), 3, json!({})).await;
    e.misdirect_next_answers(1);
    let crossed = chat(&e, messages("second"), 3, json!({})).await;
    let expected = tokens(text_hash("first"), 0, 3);
    assert_eq!(crossed["choices"][0]["message"]["content"], json!(expected));
    let own = chat(&e, messages("third"), 3, json!({})).await;
    let expected = tokens(text_hash("third"), 0, 3);
    assert_eq!(own["choices"][0]["message"]["content"], json!(expected));
}

#[tokio::test]
async fn secret_in_a_request_is_recorded() {
    let e = engine().await;
    chat(
        &e,
        json!([{ "role": "user", "content": "say hush" }]),
        1,
        json!({}),
    )
    .await;
    assert!(e.runs()[0].leaked_key);
}

#[tokio::test]
async fn poisonous_request_crashes_the_engine() {
    let e = engine().await;
    e.set_poison(Some("POISON"), Duration::from_secs(60));
    let body = json!({
        "model": MODEL, "messages": [{ "role": "user", "content": "POISON" }],
    });
    let client = Client::new();
    let sent = client
        .post(url(&e, "/v1/chat/completions"))
        .json(&body)
        .send();
    assert!(sent.await.is_err());
    assert_eq!(e.crashes(), 1);
    assert!(client.get(url(&e, "/v1/models")).send().await.is_err());
}

#[tokio::test]
async fn silent_stream_stalls_until_the_silence_ends() {
    let e = engine().await;
    e.set_silence(Some(Silence::AfterTokens(2)));
    let body = json!({
        "model": MODEL, "max_tokens": 5, "stream": true,
        "messages": [{ "role": "user", "content": "hello" }],
    });
    let mut resp = post(&e, "/v1/chat/completions", body).await;
    let mut text = String::new();
    while read_stream(&text).0.split_whitespace().count() < 2 {
        let chunk = resp.chunk().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    let more = tokio::time::timeout(Duration::from_millis(300), resp.chunk()).await;
    assert!(more.is_err());
    e.set_silence(None);
    while let Some(chunk) = resp.chunk().await.unwrap() {
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    assert!(read_stream(&text).1);
}

#[tokio::test]
async fn stale_order_is_refused() {
    let e = engine().await;
    let order = |n: u64| json!({ "model": "m", "version": "2", "fencing": n });
    assert_eq!(post(&e, "/load_model", order(7)).await.status(), 200);
    assert_eq!(post(&e, "/load_model", order(6)).await.status(), 409);
    assert_eq!(e.models().get("m").map(String::as_str), Some("2"));
}

#[tokio::test]
async fn cache_events_contain_the_blocks_of_the_prompt() {
    let e = engine().await;
    e.set_events_lag(Duration::ZERO);
    let prompt = vec!["menu"; 2 * BLOCK_WORDS + 3].join(" ");
    chat(
        &e,
        json!([{ "role": "user", "content": prompt }]),
        1,
        json!({}),
    )
    .await;
    let get = Client::new().get(url(&e, "/cache_events?after=0"));
    let v: Value = get.send().await.unwrap().json().await.unwrap();
    let mut seen = Vec::new();
    for event in v["events"].as_array().unwrap() {
        assert_eq!(event["kind"], "added");
        seen.push(event["block"].as_str().unwrap().to_owned());
    }
    let expected: Vec<String> = block_hashes(&prompt)
        .iter()
        .map(|h| format!("{h:016x}"))
        .collect();
    assert_eq!(seen, expected);
}
