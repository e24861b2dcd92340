//! Parses the fields of a model request's body that the gateway needs.

use serde::Deserialize;
use serde_json::Value;

use crate::id::ModelId;
use crate::refusal::{Code, Refusal};

/// Upper bound for `max_tokens` in a request.
const MAX_TOKENS: u64 = 10_000_000;

/// The fields of a chat or completion request that determine its route and its cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelBody {
    /// The requested model.
    pub model: ModelId,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// Estimated tokens of the prompt: the number of its words.
    pub prompt_tokens: u64,
    /// The limit on generated tokens, if the request sets one.
    pub max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct RawBody {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    messages: Option<Vec<RawMessage>>,
    prompt: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct RawMessage {
    #[serde(default)]
    content: Value,
}

impl ModelBody {
    /// Parses the body of a chat request, or of a completion request if `chat` is false.
    ///
    /// # Errors
    ///
    /// A refusal `bad_request` if the body is not valid JSON for such a request.
    pub fn parse(body: &[u8], chat: bool) -> Result<Self, Refusal> {
        let raw: RawBody =
            serde_json::from_slice(body).map_err(|e| bad_request(format!("body: {e}")))?;
        if raw.model.is_empty() {
            return Err(bad_request("body: `model` is empty"));
        }
        let prompt_tokens = match (chat, &raw.messages, &raw.prompt) {
            (true, Some(messages), _) => count_message_words(messages),
            (true, None, _) => return Err(bad_request("body: `messages` is missing")),
            (false, _, Some(prompt)) => count_words(prompt),
            (false, _, None) => return Err(bad_request("body: `prompt` is missing")),
        };
        let choices = raw.n.unwrap_or(1);
        if choices != 1 {
            return Err(bad_request("body: only `n` = 1 is supported"));
        }
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens);
        if max_tokens.is_some_and(|n| n > MAX_TOKENS) {
            return Err(bad_request(format!(
                "body: `max_tokens` exceeds {MAX_TOKENS}"
            )));
        }
        Ok(Self {
            model: ModelId::from(raw.model),
            stream: raw.stream.unwrap_or(false),
            prompt_tokens,
            max_tokens,
        })
    }
}

fn count_message_words(messages: &[RawMessage]) -> u64 {
    messages.iter().map(|m| count_words(&m.content)).sum()
}

/// Counts the words of the text in a JSON value; a number counts as one word.
///
/// Of an object, only the field `text` is counted.
fn count_words(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.split_whitespace().count() as u64,
        Value::Array(items) => items.iter().map(count_words).sum(),
        Value::Object(fields) => fields.get("text").map_or(0, count_words),
        Value::Number(_) => 1,
        Value::Null | Value::Bool(_) => 0,
    }
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}
