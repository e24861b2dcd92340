//! The HTTP client for the interfaces of an instance.

use std::time::Duration;

use reqwest::{Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use super::CliError;
use super::command::Invocation;
use crate::admin::wire::ErrorAnswer;

/// The timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The timeout for a whole request, from connecting to the end of the response. An instance stops
/// trying to commit a change after a shorter time (`COMMIT_TIMEOUT` in `config::commit`), so that
/// the answer with the outcome arrives before this timeout.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The client of one instance.
pub(super) struct Client {
    http: reqwest::Client,
    admin: String,
    front: String,
    token: Option<String>,
}

/// An HTTP status with its response body.
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) body: String,
}

impl Reply {
    /// Reads the body as JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, CliError> {
        serde_json::from_str(&self.body)
            .map_err(|e| CliError::Unknown(format!("the answer is not the expected JSON: {e}")))
    }

    /// Returns the reply if its status is 200, and otherwise the error that the status stands for.
    pub(super) fn ok(self) -> Result<Self, CliError> {
        if self.status == 200 {
            return Ok(self);
        }
        let message = match serde_json::from_str::<ErrorAnswer>(&self.body) {
            Ok(answer) => answer.error,
            Err(_) => format!("status {}", self.status),
        };
        match self.status {
            503 => Err(CliError::NotReached(message)),
            _ => Err(CliError::Refused(message)),
        }
    }
}

impl Client {
    pub(super) fn new(invocation: &Invocation) -> Result<Self, CliError> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|e| CliError::NotReached(e.to_string()))?;
        let token = match &invocation.token_file {
            Some(file) => Some(read_token(file)?),
            None => None,
        };
        Ok(Self {
            http,
            admin: invocation.admin.clone(),
            front: invocation.front.clone(),
            token,
        })
    }

    /// Starts a request to the operators' interface.
    pub(super) fn admin(&self, method: Method, path: &str) -> RequestBuilder {
        let req = self.http.request(method, format!("{}{path}", self.admin));
        match &self.token {
            Some(token) => req.bearer_auth(token),
            None => req,
        }
    }

    /// Starts a request to the callers' interface.
    pub(super) fn front(&self, path: &str) -> RequestBuilder {
        self.http.get(format!("{}{path}", self.front))
    }
}

/// Sends a request and reads the whole response.
pub(super) async fn send(req: RequestBuilder) -> Result<Reply, CliError> {
    let resp = req.send().await.map_err(|e| transport_error(&e))?;
    read_reply(resp).await
}

async fn read_reply(resp: Response) -> Result<Reply, CliError> {
    let status = resp.status().as_u16();
    let body = resp.text().await.map_err(|e| transport_error(&e))?;
    Ok(Reply { status, body })
}

fn transport_error(e: &reqwest::Error) -> CliError {
    if e.is_builder() {
        return CliError::Usage(e.to_string());
    }
    if e.is_connect() {
        return CliError::NotReached(e.to_string());
    }
    CliError::Unknown(e.to_string())
}

fn read_token(file: &std::path::Path) -> Result<String, CliError> {
    let name = || file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| CliError::File(name(), e.to_string()))?;
    let token = text.trim();
    if token.is_empty() || !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(CliError::File(
            name(),
            "contains no token of visible ASCII characters".into(),
        ));
    }
    Ok(token.to_owned())
}
