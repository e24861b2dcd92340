//! An HTTP client that checks each answer against the expected answer.

mod answer;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};

use crate::engine::{text_hash, tokens};
use answer::{StreamReader, parse_refusal, text_at};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The kind and content of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// A chat completion.
    Chat {
        /// The user's message.
        prompt: String,
        /// Number of tokens to generate.
        tokens: usize,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A completion that is not streamed.
    Completion {
        /// The prompt.
        prompt: String,
        /// Number of tokens to generate.
        tokens: usize,
    },
    /// A call to a plain service.
    Service {
        /// Unique name of the run.
        run_id: String,
    },
}

impl Payload {
    /// Returns whether the answer is streamed.
    pub fn is_stream(&self) -> bool {
        matches!(self, Self::Chat { stream: true, .. })
    }

    /// Returns the hash of the prompt, if the request has a prompt.
    pub fn prompt_hash(&self) -> Option<u64> {
        match self {
            Self::Chat { prompt, .. } | Self::Completion { prompt, .. } => Some(text_hash(prompt)),
            Self::Service { .. } => None,
        }
    }
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Kind and content of the request.
    pub payload: Payload,
    /// Name of the model, or of the route to the service.
    pub route: String,
    /// API key, if any.
    pub key: Option<String>,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// The complete expected answer arrived.
    Answered,
    /// A complete answer arrived that is not the expected one.
    Wrong(String),
    /// The gateway refused the request, in place of the answer or within a stream.
    Refused {
        /// Code of the refusal.
        code: String,
        /// Whether the refusal says that the request did not run.
        not_run: bool,
        /// Time after which a retry makes sense.
        retry_after_ms: Option<u64>,
        /// Instance to use instead.
        use_instance: Option<String>,
    },
    /// The connection failed before the request was sent.
    NotSent(String),
    /// The connection failed after the request was sent, or the answer timed out.
    Broken(String),
}

/// The outcome of one request, as seen by the caller.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// How the request ended.
    pub end: Completion,
    /// Time from the sending to the first text of a stream, or else to the response headers.
    pub time_to_first_text: Duration,
    /// Time from the sending to the end.
    pub total_time: Duration,
    /// Target that the response headers name.
    pub target: Option<String>,
    /// Region of the target that the response headers name.
    pub region: Option<String>,
    /// Instance that the response headers name.
    pub instance: Option<String>,
}

/// A client that sends requests to instances.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller that waits at most `timeout` for a complete answer.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(timeout: Duration) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .timeout(timeout)
            .connect_timeout(CONNECT_TIMEOUT)
            .build()?;
        Ok(Self { client })
    }

    /// Sends a request to an instance and reads the answer to its end.
    pub async fn send(&self, instance: SocketAddr, req: &Request) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome {
            end: Completion::Answered,
            time_to_first_text: Duration::ZERO,
            total_time: Duration::ZERO,
            target: None,
            region: None,
            instance: None,
        };
        match self.build(instance, req).send().await {
            Ok(resp) => {
                outcome.target = header(&resp, "limpetstand-target");
                outcome.region = header(&resp, "limpetstand-region");
                outcome.instance = header(&resp, "limpetstand-instance");
                outcome.time_to_first_text = started.elapsed();
                outcome.end =
                    read_answer(resp, req, started, &mut outcome.time_to_first_text).await;
            }
            Err(e) if e.is_connect() => outcome.end = Completion::NotSent(error_chain(&e)),
            Err(e) => outcome.end = Completion::Broken(error_chain(&e)),
        }
        outcome.total_time = started.elapsed();
        outcome
    }

    fn build(&self, instance: SocketAddr, req: &Request) -> RequestBuilder {
        let (path, body) = match &req.payload {
            Payload::Chat {
                prompt,
                tokens,
                stream,
            } => {
                let messages = json!([{ "role": "user", "content": prompt }]);
                let body = json!({
                    "model": req.route, "messages": messages, "max_tokens": tokens,
                    "stream": stream,
                });
                ("/v1/chat/completions".to_owned(), body)
            }
            Payload::Completion { prompt, tokens } => {
                let body = json!({ "model": req.route, "prompt": prompt, "max_tokens": tokens });
                ("/v1/completions".to_owned(), body)
            }
            Payload::Service { run_id } => {
                let path = format!("/service/{}/run", req.route);
                (path, json!({ "x-run-id": run_id }))
            }
        };
        let mut builder = self
            .client
            .post(format!("http://{instance}{path}"))
            .json(&body);
        if let Some(key) = &req.key {
            builder = builder.bearer_auth(key);
        }
        for (name, value) in &req.headers {
            builder = builder.header(*name, value);
        }
        builder
    }
}

fn header(resp: &Response, name: &str) -> Option<String> {
    Some(resp.headers().get(name)?.to_str().ok()?.to_owned())
}

fn error_chain(e: &reqwest::Error) -> String {
    let mut text = e.to_string();
    let mut source = std::error::Error::source(e);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

async fn read_answer(
    resp: Response,
    req: &Request,
    started: Instant,
    time_to_first_text: &mut Duration,
) -> Completion {
    let status = resp.status();
    if status != 200 {
        let code = header(&resp, "limpetstand-code");
        return match resp.text().await {
            Ok(text) => parse_refusal(&text, status.as_u16(), code),
            Err(e) => Completion::Broken(error_chain(&e)),
        };
    }
    match &req.payload {
        Payload::Chat {
            prompt,
            tokens: n,
            stream: true,
        } => {
            let expected = tokens(text_hash(prompt), 0, *n);
            read_stream(resp, &expected, started, time_to_first_text).await
        }
        Payload::Chat {
            prompt, tokens: n, ..
        } => {
            let expected = tokens(text_hash(prompt), 0, *n);
            read_complete(resp, "/choices/0/message/content", &expected).await
        }
        Payload::Completion { prompt, tokens: n } => {
            let expected = tokens(text_hash(prompt), 0, *n);
            read_complete(resp, "/choices/0/text", &expected).await
        }
        Payload::Service { run_id } => read_complete(resp, "/ran", run_id).await,
    }
}

async fn read_complete(resp: Response, pointer: &str, expected: &str) -> Completion {
    let text = match resp.text().await {
        Ok(text) => text,
        Err(e) => return Completion::Broken(error_chain(&e)),
    };
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    compare_text(text_at(&value, pointer), expected)
}

async fn read_stream(
    mut resp: Response,
    expected: &str,
    started: Instant,
    time_to_first_text: &mut Duration,
) -> Completion {
    let mut reader = StreamReader::default();
    loop {
        match resp.chunk().await {
            Ok(Some(chunk)) => {
                let no_text_yet = reader.text().is_empty();
                reader.feed(&chunk);
                if no_text_yet && !reader.text().is_empty() {
                    *time_to_first_text = started.elapsed();
                }
            }
            Ok(None) => break,
            Err(e) => return Completion::Broken(error_chain(&e)),
        }
    }
    if let Some(refusal) = reader.refusal() {
        return refusal;
    }
    if !reader.is_done() {
        return Completion::Broken("the stream ended without [DONE]".to_owned());
    }
    compare_text(Some(reader.text()), expected)
}

fn compare_text(got: Option<&str>, expected: &str) -> Completion {
    match got {
        Some(got) if got == expected => Completion::Answered,
        Some(got) => {
            let got_words = got.split_whitespace().count();
            let expected_words = expected.split_whitespace().count();
            Completion::Wrong(format!(
                "wrong text: {got_words} words, expected {expected_words}"
            ))
        }
        None => Completion::Wrong("the body contains no answer".to_owned()),
    }
}
