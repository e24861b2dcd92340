//! Parsing of requests, generated tokens and hashes of prompt blocks.
//!
//! Token `i` of an answer depends only on the prompt and `i`, so that a reader can tell the right
//! answer from a truncated or wrong one and from the answer to another request.

use serde_json::Value;

/// Words in a block of the prefix cache.
pub const BLOCK_WORDS: usize = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of `bytes` with the initial value `state`.
fn fnv(state: u64, bytes: &[u8]) -> u64 {
    let mut h = state;
    for b in bytes {
        h ^= u64::from(*b);
        h = h.wrapping_mul(FNV_PRIME);
    }
    h
}

/// Returns the hash of a text, under which runs are recorded.
pub fn text_hash(text: &str) -> u64 {
    fnv(FNV_OFFSET, text.as_bytes())
}

/// Returns token `i` of the answer to the prompt with this hash: a space and a word.
pub fn token(prompt_hash: u64, i: usize) -> String {
    let h = fnv(prompt_hash, &(i as u64).to_le_bytes());
    format!(" w{:06x}", (h >> 20) & 0x00ff_ffff)
}

/// Returns `n` tokens of the answer to a prompt, starting at token `from`, as one text.
pub fn tokens(prompt_hash: u64, from: usize, n: usize) -> String {
    let mut text = String::new();
    for i in from..from + n {
        text.push_str(&token(prompt_hash, i));
    }
    text
}

/// Returns the hashes of the full blocks of a prompt; each hash covers all preceding blocks.
///
/// Words are separated by white space. The hash of a block is the 64-bit FNV-1a hash of the
/// preceding block's hash (eight bytes, little endian; the FNV offset for the first block)
/// followed by each word of the block and a space.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut previous = FNV_OFFSET;
    let mut h = fnv(FNV_OFFSET, &previous.to_le_bytes());
    for (i, word) in text.split_whitespace().enumerate() {
        h = fnv(fnv(h, word.as_bytes()), b" ");
        if (i + 1) % BLOCK_WORDS == 0 {
            hashes.push(h);
            previous = h;
            h = fnv(FNV_OFFSET, &previous.to_le_bytes());
        }
    }
    hashes
}

/// Counts the words of a text.
pub fn count_words(text: &str) -> usize {
    text.split_whitespace().count()
}

/// A parsed generation request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GenerationRequest {
    pub(super) model: String,
    /// Prompt without the resumed answer.
    pub(super) prompt: String,
    /// Index of the first token to generate.
    pub(super) resume_from: usize,
    pub(super) max_tokens: usize,
    pub(super) stream: bool,
    pub(super) priority: i64,
    /// Whether this engine would have generated the resumed answer.
    pub(super) resumes_own_answer: bool,
}

const DEFAULT_MAX_TOKENS: u64 = 16;

/// Parses the body of a chat or completion request; `None` if malformed.
pub(super) fn parse_request(chat: bool, body: &Value) -> Option<GenerationRequest> {
    let model = body.get("model")?.as_str()?.to_owned();
    let (prompt, earlier_answer) = if chat {
        parse_messages(body)?
    } else {
        parse_prompt(body)?
    };
    let resume_from = count_words(&earlier_answer);
    let max_tokens = body
        .get("max_tokens")
        .or_else(|| body.get("max_completion_tokens"))
        .and_then(Value::as_u64)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    let resumes_own_answer = earlier_answer == tokens(text_hash(&prompt), 0, resume_from);
    Some(GenerationRequest {
        model,
        prompt,
        resume_from,
        max_tokens: usize::try_from(max_tokens).ok()?,
        stream: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
        priority: body.get("priority").and_then(Value::as_i64).unwrap_or(0),
        resumes_own_answer,
    })
}

fn parse_messages(body: &Value) -> Option<(String, String)> {
    let messages = body.get("messages")?.as_array()?;
    let mut contents = Vec::with_capacity(messages.len());
    for message in messages {
        contents.push(message.get("content")?.as_str()?);
    }
    let mut earlier_answer = "";
    let resumes = body.get("continue_final_message") == Some(&Value::Bool(true));
    let last_role = messages.last().and_then(|m| m.get("role"));
    if resumes && last_role == Some(&Value::from("assistant")) {
        earlier_answer = contents.pop()?;
    }
    Some((contents.join("\n"), earlier_answer.to_owned()))
}

fn parse_prompt(body: &Value) -> Option<(String, String)> {
    let text = body.get("prompt")?.as_str()?;
    let resumed = body.get("limpetstand_resume_from").and_then(Value::as_u64);
    let answer_words = usize::try_from(resumed.unwrap_or(0)).ok()?;
    let mut cut = text.len();
    for _ in 0..answer_words {
        cut = text[..cut].rfind(' ')?;
    }
    let (prompt, earlier_answer) = text.split_at(cut);
    Some((prompt.to_owned(), earlier_answer.to_owned()))
}
