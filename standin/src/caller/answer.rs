//! Parsers for answers, event streams and refusals.

use serde_json::Value;

use super::Completion;

/// Returns the text at a JSON pointer.
pub(super) fn text_at<'a>(value: &'a Value, pointer: &str) -> Option<&'a str> {
    value.pointer(pointer)?.as_str()
}

/// Parses the body of a refusal; `code` is the code in the headers, used if the body has none.
pub(super) fn parse_refusal(text: &str, status: u16, code: Option<String>) -> Completion {
    let value: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    match parse_refusal_json(&value) {
        Some(refusal) => refusal,
        None => Completion::Refused {
            code: code.unwrap_or_else(|| format!("status {status}")),
            not_run: false,
            retry_after_ms: None,
            use_instance: None,
        },
    }
}

fn parse_refusal_json(value: &Value) -> Option<Completion> {
    let error = value.get("error")?;
    let text = |name: &str| error.get(name).and_then(Value::as_str).map(str::to_owned);
    Some(Completion::Refused {
        code: text("code")?,
        not_run: text("ran").as_deref() == Some("no"),
        retry_after_ms: error.get("retry_after_ms").and_then(Value::as_u64),
        use_instance: text("use_instance"),
    })
}

/// Joins the text of a stream of events.
#[derive(Debug, Default)]
pub(super) struct StreamReader {
    buf: Vec<u8>,
    text: String,
    done: bool,
    refusal: Option<Completion>,
}

impl StreamReader {
    pub(super) fn feed(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
        let mut start = 0;
        while let Some(n) = self.buf[start..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&self.buf[start..start + n]).into_owned();
            start += n + 1;
            self.parse_line(line.trim_end());
        }
        self.buf.drain(..start);
    }

    pub(super) fn text(&self) -> &str {
        &self.text
    }

    pub(super) fn is_done(&self) -> bool {
        self.done
    }

    pub(super) fn refusal(&self) -> Option<Completion> {
        self.refusal.clone()
    }

    fn parse_line(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data:") else {
            return;
        };
        let data = data.trim_start();
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if let Some(refusal) = parse_refusal_json(&value) {
            self.refusal = Some(refusal);
        }
        let content = text_at(&value, "/choices/0/delta/content");
        self.text.push_str(content.unwrap_or(""));
    }
}
