//! The events of a stream that its caller has received, and the continuation on another target.

use bytes::Bytes;
use serde_json::{Map, Value, json};

use crate::target::{event_data, is_done_event};

/// Maximum size of a stream that can be resumed on another target.
const MAX_TRANSCRIPT_BYTES: usize = 2 * 1024 * 1024;

/// The last event of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The events of one stream that its caller has received.
#[derive(Debug)]
pub struct Transcript {
    chat: bool,
    events: Vec<Bytes>,
    bytes: usize,
    resumption: Option<Resumption>,
}

/// The values for rewriting events of a later target to match the events of the first target.
#[derive(Debug)]
struct Resumption {
    id: Value,
    created: Value,
    tokens: u64,
    /// Whether the caller has received an event before the stream was resumed.
    has_events: bool,
}

/// How an interrupted stream is continued.
#[derive(Debug, PartialEq, Eq)]
pub enum Continuation {
    /// Another target is sent a new request body.
    Request {
        /// The request body, which contains the text generated so far.
        body: Bytes,
        /// Number of generated tokens that the caller has received.
        tokens: u64,
    },
    /// The text is complete; only these last events are missing.
    Finish(Vec<Bytes>),
    /// The stream cannot be continued.
    Impossible,
}

/// The contents of all received events.
#[derive(Debug, Default)]
struct StreamProgress {
    id: Value,
    created: Value,
    model: Value,
    object: Value,
    text: String,
    tokens: u64,
    finished: bool,
    has_usage: bool,
}

impl Transcript {
    /// Creates the empty transcript of a stream of chat events, or of completion events.
    pub fn new(chat: bool) -> Self {
        Self {
            chat,
            events: Vec::new(),
            bytes: 0,
            resumption: None,
        }
    }

    /// Adds the next event of the current target, and returns the event for the caller.
    ///
    /// Returns `None` if the caller must not get an event, for example a second opening event after
    /// a resumption.
    pub fn push(&mut self, event: Bytes) -> Option<Bytes> {
        let event = match &self.resumption {
            None => event,
            Some(resumption) => rewrite_event(&event, resumption, self.chat)?,
        };
        self.bytes += event.len();
        if self.bytes <= MAX_TRANSCRIPT_BYTES {
            self.events.push(event.clone());
        } else {
            self.events = Vec::new();
        }
        Some(event)
    }

    /// Returns whether the caller has received the last event of the stream.
    pub fn is_done(&self) -> bool {
        self.events.last().is_some_and(|event| is_done_event(event))
    }

    /// Returns the continuation of the stream, given the body of the original request.
    pub fn continuation(&mut self, body: &[u8]) -> Continuation {
        if self.bytes > MAX_TRANSCRIPT_BYTES {
            return Continuation::Impossible;
        }
        let Ok(Value::Object(mut request)) = serde_json::from_slice::<Value>(body) else {
            return Continuation::Impossible;
        };
        let Some(progress) = self.progress() else {
            return Continuation::Impossible;
        };
        let wants_usage = request
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            == Some(&Value::Bool(true));
        let limit_reached = reduce_token_limits(&mut request, progress.tokens);
        if progress.finished || limit_reached {
            if wants_usage && !progress.has_usage {
                return Continuation::Impossible;
            }
            return Continuation::Finish(self.closing_events(&progress));
        }
        if progress.tokens > 0 && !self.append_text(&mut request, &progress) {
            return Continuation::Impossible;
        }
        let tokens = progress.tokens;
        self.resumption = Some(Resumption {
            id: progress.id,
            created: progress.created,
            tokens,
            has_events: !self.events.is_empty(),
        });
        match serde_json::to_vec(&request) {
            Ok(body) => Continuation::Request {
                body: body.into(),
                tokens,
            },
            Err(_) => Continuation::Impossible,
        }
    }

    /// Parses all events; `None` if an event has contents that another target cannot continue.
    fn progress(&self) -> Option<StreamProgress> {
        let mut progress = StreamProgress::default();
        for event in &self.events {
            let data = event_data(event);
            if data.is_empty() {
                continue;
            }
            let value: Value = serde_json::from_slice(&data).ok()?;
            if progress.id.is_null() {
                progress.id = value.get("id").cloned().unwrap_or_default();
                progress.created = value.get("created").cloned().unwrap_or_default();
                progress.model = value.get("model").cloned().unwrap_or_default();
                progress.object = value.get("object").cloned().unwrap_or_default();
            }
            progress.has_usage |= value.get("usage").is_some_and(Value::is_object);
            let choices = value.get("choices").and_then(Value::as_array)?;
            for choice in choices {
                self.read_choice(choice, &mut progress)?;
            }
        }
        Some(progress)
    }

    fn read_choice(&self, choice: &Value, progress: &mut StreamProgress) -> Option<()> {
        if choice.get("index").and_then(Value::as_u64).unwrap_or(0) != 0 {
            return None;
        }
        if choice.get("finish_reason").is_some_and(Value::is_string) {
            progress.finished = true;
        }
        let text = if self.chat {
            let delta = choice.get("delta").and_then(Value::as_object)?;
            if !is_text_only(delta) {
                return None;
            }
            delta.get("content")
        } else {
            choice.get("text")
        };
        let text = text.and_then(Value::as_str).unwrap_or_default();
        if !text.is_empty() {
            progress.text.push_str(text);
            progress.tokens += 1;
        }
        Some(())
    }

    /// Appends the generated text to the request; returns `false` if the request has no messages or
    /// prompt to append to.
    fn append_text(&self, request: &mut Map<String, Value>, progress: &StreamProgress) -> bool {
        if self.chat {
            let Some(Value::Array(messages)) = request.get_mut("messages") else {
                return false;
            };
            messages.push(json!({ "role": "assistant", "content": progress.text }));
            request.insert("continue_final_message".to_owned(), json!(true));
            request.insert("add_generation_prompt".to_owned(), json!(false));
            return true;
        }
        let Some(Value::String(prompt)) = request.get_mut("prompt") else {
            return false;
        };
        prompt.push_str(&progress.text);
        request.insert("limpetstand_resume_from".to_owned(), json!(progress.tokens));
        true
    }

    /// Returns the last events of a stream whose text is complete.
    fn closing_events(&self, progress: &StreamProgress) -> Vec<Bytes> {
        let mut closing_events = Vec::new();
        if !progress.finished {
            closing_events.push(self.finish_event(progress));
        }
        closing_events.push(Bytes::from_static(DONE_EVENT));
        closing_events
    }

    fn finish_event(&self, progress: &StreamProgress) -> Bytes {
        let choice = if self.chat {
            json!({ "index": 0, "delta": {}, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": "length" })
        };
        let event = json!({
            "id": progress.id,
            "object": progress.object,
            "created": progress.created,
            "model": progress.model,
            "choices": [choice],
        });
        Bytes::from(format!("data: {event}\n\n"))
    }
}

/// Returns whether a delta holds only a role and text content.
fn is_text_only(delta: &Map<String, Value>) -> bool {
    for (name, value) in delta {
        if name == "role" || name == "content" || value.is_null() {
            continue;
        }
        return false;
    }
    true
}

/// Subtracts tokens from the token limits of a request; returns whether a limit is used up.
fn reduce_token_limits(request: &mut Map<String, Value>, tokens: u64) -> bool {
    let mut limit_reached = false;
    for name in ["max_tokens", "max_completion_tokens"] {
        let Some(limit) = request.get(name).and_then(Value::as_u64) else {
            continue;
        };
        let remaining = limit.saturating_sub(tokens);
        limit_reached |= tokens > 0 && remaining == 0;
        request.insert(name.to_owned(), json!(remaining));
    }
    limit_reached
}

/// Rewrites an event of a later target to match the events of the first target.
///
/// Returns `None` if the caller must not get the event: a repeated opening event or an event that
/// is not a JSON object.
fn rewrite_event(event: &Bytes, resumption: &Resumption, chat: bool) -> Option<Bytes> {
    if is_done_event(event) {
        return Some(event.clone());
    }
    let Ok(Value::Object(mut value)) = serde_json::from_slice::<Value>(&event_data(event)) else {
        return None;
    };
    if chat && resumption.has_events && is_opening(&value) {
        return None;
    }
    if !resumption.id.is_null() {
        value.insert("id".to_owned(), resumption.id.clone());
        value.insert("created".to_owned(), resumption.created.clone());
    }
    if let Some(Value::Object(usage)) = value.get_mut("usage") {
        adjust_usage(usage, resumption.tokens);
    }
    let value = Value::Object(value);
    Some(Bytes::from(format!("data: {value}\n\n")))
}

/// Returns whether an event of a chat stream only states the role of the message, without any
/// content. A target sends such an event at the start of its stream.
fn is_opening(event: &Map<String, Value>) -> bool {
    let choice = event.get("choices").and_then(|choices| choices.get(0));
    let Some(choice) = choice else {
        return false;
    };
    let finished = choice.get("finish_reason").is_some_and(Value::is_string);
    let delta = choice.get("delta").and_then(Value::as_object);
    let content = delta
        .and_then(|delta| delta.get("content"))
        .and_then(Value::as_str);
    let has_role = delta.is_some_and(|delta| delta.contains_key("role"));
    has_role && !finished && content.unwrap_or_default().is_empty()
}

/// Moves tokens that an earlier target generated from the prompt count to the completion count.
fn adjust_usage(usage: &mut Map<String, Value>, tokens: u64) {
    let mut adjust = |name: &str, change: fn(u64, u64) -> u64| {
        let Some(count) = usage.get(name).and_then(Value::as_u64) else {
            return;
        };
        usage.insert(name.to_owned(), json!(change(count, tokens)));
    };
    adjust("prompt_tokens", u64::saturating_sub);
    adjust("completion_tokens", u64::saturating_add);
}
