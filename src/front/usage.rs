//! Counts the tokens of an answer while its chunks are forwarded.

use serde::Deserialize;

/// Upper bound for the bytes of an answer buffered to parse its usage.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// Tokens that an engine may have generated, but not yet sent, when a request is cancelled.
const UNSENT_TOKENS: u64 = 16;

/// Counts the tokens that one request uses.
#[derive(Debug)]
pub struct UsageMeter {
    stream: bool,
    buf: Vec<u8>,
    prompt_tokens: u64,
    generated: u64,
    reported: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct RawEvent {
    usage: Option<RawUsage>,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct RawUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl UsageMeter {
    /// Creates a meter for the answer to a prompt of `prompt_tokens`.
    pub fn new(prompt_tokens: u64, stream: bool) -> Self {
        Self {
            stream,
            buf: Vec::new(),
            prompt_tokens,
            generated: 0,
            reported: None,
        }
    }

    /// Processes the next chunk of the answer.
    pub fn feed(&mut self, data: &[u8]) {
        if self.buf.len() + data.len() > MAX_BUFFERED_BYTES {
            return;
        }
        self.buf.extend_from_slice(data);
        if self.stream {
            self.parse_lines();
        }
    }

    /// Returns the tokens of a stream counted so far: 0 before the first generated token, then the
    /// tokens of the prompt and of the answer.
    pub fn counted(&self) -> u64 {
        match self.generated {
            0 => 0,
            generated => self.prompt_tokens + generated,
        }
    }

    /// Returns the tokens used by a complete answer; `None` for an answer that is neither streamed
    /// nor reports its usage.
    pub fn total_at_end(&mut self) -> Option<u64> {
        if !self.stream {
            let event: Option<RawEvent> = serde_json::from_slice(&self.buf).ok();
            self.reported = event.and_then(|e| e.usage).map(total);
        }
        match self.reported {
            Some(total) => Some(total),
            None if self.stream => Some(self.prompt_tokens + self.generated),
            None => None,
        }
    }

    /// Returns the tokens that a stream cancelled now may have used; `None` for other answers.
    pub fn total_if_cancelled(&self) -> Option<u64> {
        if !self.stream {
            return None;
        }
        let estimate = self.prompt_tokens + self.generated + UNSENT_TOKENS;
        Some(self.reported.unwrap_or(estimate))
    }

    fn parse_lines(&mut self) {
        let mut start = 0;
        while let Some(length) = self.buf[start..].iter().position(|b| *b == b'\n') {
            let line = &self.buf[start..start + length];
            start += length + 1;
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            let Ok(event) = serde_json::from_slice::<RawEvent>(data) else {
                continue;
            };
            self.generated += u64::from(!event.choices.is_empty());
            if let Some(usage) = event.usage {
                self.reported = Some(total(usage));
            }
        }
        self.buf.drain(..start);
    }
}

fn total(usage: RawUsage) -> u64 {
    usage.prompt_tokens.saturating_add(usage.completion_tokens)
}
