//! An HTTP client for the admin interface.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use serde::Deserialize;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The answer to a configuration change.
#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    /// Outcome: `accepted`, `refused`, `conflict` or `unknown`.
    pub outcome: String,
    /// Revision that the change created.
    pub revision: Option<u64>,
    /// Reasons why the change was not accepted.
    #[serde(default)]
    pub faults: Vec<serde_json::Value>,
}

#[derive(Debug, Deserialize)]
struct WaitAnswer {
    in_force: bool,
}

/// An operator with an admin token.
#[derive(Debug, Clone)]
pub struct Operator {
    client: reqwest::Client,
    token: String,
}

impl Operator {
    /// Creates an operator with an admin token.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(token: &str) -> Result<Self> {
        let client = reqwest::Client::builder().timeout(CALL_TIMEOUT).build()?;
        Ok(Self {
            client,
            token: token.to_owned(),
        })
    }

    /// Writes a document through an instance; `change` is the change ID.
    ///
    /// # Errors
    ///
    /// If no valid answer arrives.
    pub async fn put(
        &self,
        at: SocketAddr,
        path: &str,
        text: &str,
        change: &str,
    ) -> Result<Change> {
        let url = format!("http://{at}/v1/config/documents/{path}");
        let resp = self
            .client
            .put(url)
            .bearer_auth(&self.token)
            .header("limpetstand-change-id", change)
            .body(text.to_owned())
            .send()
            .await?;
        let status = resp.status();
        let text = resp.text().await?;
        serde_json::from_str(&text)
            .wrap_err_with(|| format!("malformed answer, status {status}: {text}"))
    }

    /// Writes a document and returns the new revision.
    ///
    /// # Errors
    ///
    /// If the change is not accepted.
    pub async fn put_accepted(&self, at: SocketAddr, path: &str, text: &str) -> Result<u64> {
        let id = format!("{:016x}", rand::random::<u64>());
        let change = self.put(at, path, text, &id).await?;
        match (change.outcome.as_str(), change.revision) {
            ("accepted", Some(revision)) => Ok(revision),
            _ => bail!("change of `{path}` not accepted: {change:?}"),
        }
    }

    /// Waits until a revision is in force at all live instances.
    ///
    /// # Errors
    ///
    /// If the revision is not in force everywhere after `wait`.
    pub async fn wait(&self, at: SocketAddr, revision: u64, wait: Duration) -> Result<()> {
        let ms = wait.as_millis();
        let url = format!("http://{at}/v1/config/wait?revision={revision}&timeout_ms={ms}");
        let resp = self.client.get(url).bearer_auth(&self.token).send().await?;
        let text = resp.text().await?;
        let answer: WaitAnswer = serde_json::from_str(&text).wrap_err_with(|| text.clone())?;
        if !answer.in_force {
            bail!("revision {revision} is not in force at all instances: {text}");
        }
        Ok(())
    }
}
