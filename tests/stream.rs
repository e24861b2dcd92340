//! Tests of event stream parsing and stream resumption with malformed and interrupted streams.

use bytes::Bytes;
use limpetstand::attempt::{Continuation, Transcript};
use limpetstand::target::{EventSplitter, event_data, is_done_event};
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

/// Reference implementation that splits the complete input at blank lines.
fn naive_events(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut events = Vec::new();
    let mut event = Vec::new();
    for line in bytes.split_inclusive(|b| *b == b'\n') {
        event.extend_from_slice(line);
        if line == b"\n" || line == b"\r\n" {
            events.push(std::mem::take(&mut event));
        }
    }
    events
}

fn split(chunks: &[&[u8]]) -> (Vec<Vec<u8>>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).expect("event within the size limit");
        while let Some(event) = splitter.next_event() {
            events.push(event.to_vec());
        }
    }
    (events, splitter.has_partial_event())
}

/// Generates bytes that resemble an event stream.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        Just(b"data: ".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b"[DONE]".to_vec()),
        Just(b": keep-alive\n\n".to_vec()),
        vec(any::<u8>(), 0..6),
    ];
    vec(part, 0..30).prop_map(|parts| parts.concat())
}

proptest! {
    /// The parsed events do not depend on how the input is split into chunks.
    #[test]
    fn events_do_not_depend_on_chunks(bytes in bytes(), cuts in vec(any::<prop::sample::Index>(), 0..6)) {
        let mut at: Vec<usize> = cuts.iter().map(|c| c.index(bytes.len() + 1)).collect();
        at.extend([0, bytes.len()]);
        at.sort_unstable();
        let chunks: Vec<&[u8]> = at.windows(2).map(|w| &bytes[w[0]..w[1]]).collect();
        let (events, has_partial_event) = split(&chunks);
        let expected = naive_events(&bytes);
        prop_assert_eq!(has_partial_event, expected.concat().len() < bytes.len());
        prop_assert_eq!(&events, &expected);
        for event in &events {
            prop_assert_eq!(is_done_event(event), event_data(event) == b"[DONE]");
        }
    }

    /// A transcript accepts any event and any request body without a panic.
    #[test]
    fn transcript_accepts_any_input(events in vec(bytes(), 0..6), body in vec(any::<u8>(), 0..60), chat in any::<bool>()) {
        let mut transcript = Transcript::new(chat);
        for event in events {
            transcript.push(Bytes::from(event));
        }
        transcript.continuation(&body);
        transcript.push(Bytes::from_static(b"data: {\"choices\": 3}\n\n"));
        transcript.continuation(br#"{"prompt": "a", "messages": []}"#);
    }
}

#[test]
fn endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'a'; 64 * 1024];
    let accepted = (0..1_000)
        .take_while(|_| splitter.push(&chunk).is_ok())
        .count();
    assert!(accepted < 20, "{accepted} chunks of 64 KiB were accepted");
    assert!(splitter.next_event().is_none());
}

/// Returns the events of an engine that continues the given request and stops after `cut` events.
fn engine(chat: bool, name: &str, body: &Value, cut: usize) -> Vec<Bytes> {
    let generated = if chat {
        let last = body["messages"]
            .as_array()
            .expect("messages array")
            .last()
            .expect("non-empty messages");
        match body["continue_final_message"] == true {
            true => last["content"]
                .as_str()
                .expect("string content")
                .split_whitespace()
                .count(),
            false => 0,
        }
    } else {
        body["limpetstand_resume_from"].as_u64().unwrap_or(0) as usize
    };
    let total = generated + body["max_tokens"].as_u64().expect("integer max_tokens") as usize;
    let choice = |text: &str, finish: Value| match chat {
        true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
        false => json!({ "index": 0, "text": text, "finish_reason": finish }),
    };
    let event = |choices: Value, usage: Value| {
        let event = json!({ "id": name, "created": 1, "choices": choices, "usage": usage });
        Bytes::from(format!("data: {event}\n\n"))
    };
    let mut events = Vec::new();
    if chat {
        let opening = json!({ "index": 0, "delta": { "role": "assistant", "content": "" } });
        events.push(event(json!([opening]), Value::Null));
    }
    for i in generated..total {
        events.push(event(
            json!([choice(&format!(" w{i}"), Value::Null)]),
            Value::Null,
        ));
    }
    let usage = json!({ "prompt_tokens": 3 + generated, "completion_tokens": total - generated });
    events.push(event(json!([choice("", json!("length"))]), usage));
    events.push(Bytes::from_static(b"data: [DONE]\n\n"));
    events.truncate(cut);
    events
}

/// The text, identifiers, usage and number of opening and closing events that a caller receives.
#[derive(Debug, PartialEq)]
struct Received {
    text: String,
    openings: usize,
    ids: Vec<Value>,
    done: usize,
    finished: usize,
    usage: Option<(u64, u64)>,
}

fn received(events: &[Bytes]) -> Received {
    let mut received = Received {
        text: String::new(),
        openings: 0,
        ids: Vec::new(),
        done: 0,
        finished: 0,
        usage: None,
    };
    for event in events {
        if is_done_event(event) {
            received.done += 1;
            continue;
        }
        let value: Value = serde_json::from_slice(&event_data(event)).expect("JSON event");
        if !received.ids.contains(&value["id"]) {
            received.ids.push(value["id"].clone());
        }
        let choice = &value["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        received.text.push_str(text.unwrap_or_default());
        received.openings += usize::from(choice["delta"]["role"].is_string());
        received.finished += usize::from(choice["finish_reason"].is_string());
        if let Some(prompt) = value["usage"]["prompt_tokens"].as_u64() {
            let completion = value["usage"]["completion_tokens"]
                .as_u64()
                .expect("integer completion_tokens");
            received.usage = Some((prompt, completion));
        }
    }
    received
}

proptest! {
    /// A caller receives one complete stream without repetitions, wherever engines are interrupted.
    #[test]
    fn interrupted_streams_are_resumed_completely(chat in any::<bool>(), cuts in vec(0..9usize, 0..5), tokens in 1..6u64) {
        let body = match chat {
            true => json!({ "messages": [{ "role": "user", "content": "a b c" }], "max_tokens": tokens }),
            false => json!({ "prompt": "a b c", "max_tokens": tokens }),
        };
        let first = body.to_string();
        let mut request = body;
        let mut transcript = Transcript::new(chat);
        let mut events = Vec::new();
        for (n, cut) in cuts.iter().copied().chain([usize::MAX]).enumerate() {
            for event in engine(chat, &format!("engine-{n}"), &request, cut) {
                events.extend(transcript.push(event));
            }
            if transcript.is_done() {
                break;
            }
            match transcript.continuation(first.as_bytes()) {
                Continuation::Request { body, .. } => request = serde_json::from_slice(&body).expect("JSON request"),
                Continuation::Finish(closing_events) => {
                    for event in closing_events {
                        events.extend(transcript.push(event));
                    }
                    break;
                }
                Continuation::Impossible => prop_assert!(false, "the stream cannot be continued"),
            }
        }
        let expected: String = (0..tokens).map(|i| format!(" w{i}")).collect();
        let received = received(&events);
        prop_assert_eq!(&received.text, &expected);
        prop_assert_eq!((received.done, received.finished), (1, 1));
        prop_assert_eq!(received.openings, usize::from(chat));
        prop_assert_eq!(received.ids.len(), 1);
        if let Some(usage) = received.usage {
            prop_assert_eq!(usage, (3, tokens));
        }
    }
}

/// A stream with contents that cannot be resumed is reported as impossible to continue.
#[test]
fn streams_with_tool_calls_or_several_choices_cannot_resume() {
    let body = br#"{"messages": [], "max_tokens": 9}"#;
    let tool = json!({ "choices": [{ "index": 0, "delta": { "tool_calls": [{}] } }] });
    let second = json!({ "choices": [{ "index": 1, "delta": { "content": "a" } }] });
    for event in [tool, second] {
        let mut transcript = Transcript::new(true);
        transcript.push(Bytes::from(format!("data: {event}\n\n")));
        assert_eq!(transcript.continuation(body), Continuation::Impossible);
    }
}
