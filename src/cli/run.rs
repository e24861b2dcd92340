//! Execution of a command against an instance.

use std::io::Read;
use std::path::Path;
use std::time::Duration;

use reqwest::{Method, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::client::{Client, Reply, send};
use super::command::{ChangeOptions, Command, Invocation};
use super::{CliError, Exit, show};
use crate::admin::wire::{CHANGE_ID, ChangeAnswer, ChangeOutcome, WaitAnswer};
use crate::config::head::ChangeId;
use crate::config::path::DocumentPath;

/// The maximum number of times that a change is sent until its outcome is known.
const MAX_SEND_ATTEMPTS: u32 = 3;

/// The pause before a change is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a change with `--wait` waits until its revision is in force on all instances.
const CHANGE_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The HTTP timeout of a wait request is the timeout of the wait itself plus this margin, so that
/// the instance's answer arrives before the HTTP timeout.
const WAIT_MARGIN: Duration = Duration::from_secs(10);

pub(super) async fn run(client: &Client, invocation: &Invocation) -> Result<Exit, CliError> {
    let json = invocation.json;
    match &invocation.command {
        Command::List => fetch(client, "/v1/config", json, show::head).await,
        Command::Get { path } => get(client, path, json).await,
        Command::Put {
            path,
            file,
            options,
        } => {
            let url_path = document_url_path(path, options)?;
            let text = read_file(file)?;
            let req = || client.admin(Method::PUT, &url_path).body(text.clone());
            change(client, req, options, json).await
        }
        Command::Delete { path, options } => {
            let url_path = document_url_path(path, options)?;
            let req = || client.admin(Method::DELETE, &url_path);
            change(client, req, options, json).await
        }
        Command::Log { limit } => {
            let url_path = match limit {
                Some(n) => format!("/v1/config/log?limit={n}"),
                None => "/v1/config/log".to_owned(),
            };
            fetch(client, &url_path, json, show::log).await
        }
        Command::Diff { from, to } => {
            let url_path = match to {
                Some(to) => format!("/v1/config/diff?from={from}&to={to}"),
                None => format!("/v1/config/diff?from={from}"),
            };
            fetch(client, &url_path, json, show::diff).await
        }
        Command::Rollback { to, options } => {
            let url_path = format!("/v1/config/rollback?to={to}");
            let req = || client.admin(Method::POST, &url_path);
            change(client, req, options, json).await
        }
        Command::Wait { revision, timeout } => wait(client, *revision, *timeout, json).await,
        Command::Status => fetch(client, "/v1/status", json, show::status).await,
        Command::Entries => entries(client).await,
        Command::Burn { html: None } => fetch(client, "/v1/report/burn", json, show::burn).await,
        Command::Burn { html: Some(file) } => save_burn_page(client, file).await,
        Command::Check { .. } | Command::Explain { .. } => Ok(Exit::Done),
    }
}

async fn save_burn_page(client: &Client, file: &Path) -> Result<Exit, CliError> {
    let reply = send_read_only(client.admin(Method::GET, "/v1/report/burn.html"))
        .await?
        .ok()?;
    std::fs::write(file, reply.body)
        .map_err(|e| CliError::File(file.display().to_string(), e.to_string()))?;
    println!("report written to {}", file.display());
    Ok(Exit::Done)
}

/// Returns the URL path and query of a change to the document at `path`.
fn document_url_path(path: &str, options: &ChangeOptions) -> Result<String, CliError> {
    let path = DocumentPath::parse(path).map_err(|e| CliError::Usage(e.to_string()))?;
    let query = if options.dry_run { "?dry_run=1" } else { "" };
    Ok(format!("/v1/config/documents/{path}{query}"))
}

fn read_file(file: &Path) -> Result<String, CliError> {
    let mut text = String::new();
    let done = match file == Path::new("-") {
        true => std::io::stdin().read_to_string(&mut text).map(|_| ()),
        false => std::fs::read_to_string(file).map(|t| text = t),
    };
    match done {
        Ok(()) => Ok(text),
        Err(e) => Err(CliError::File(file.display().to_string(), e.to_string())),
    }
}

async fn fetch<T>(
    client: &Client,
    url_path: &str,
    json: bool,
    show: fn(&T),
) -> Result<Exit, CliError>
where
    T: DeserializeOwned + Serialize,
{
    let reply = send_read_only(client.admin(Method::GET, url_path))
        .await?
        .ok()?;
    print(&reply, json, show)?;
    Ok(Exit::Done)
}

fn print<T>(reply: &Reply, json: bool, show: fn(&T)) -> Result<T, CliError>
where
    T: DeserializeOwned + Serialize,
{
    let answer: T = reply.json()?;
    match json {
        true => println!("{}", reply.body),
        false => show(&answer),
    }
    Ok(answer)
}

/// Sends a request that changes nothing. A lost response is returned as [`CliError::NotReached`]
/// instead of [`CliError::Unknown`], since no change is in doubt.
async fn send_read_only(req: RequestBuilder) -> Result<Reply, CliError> {
    match send(req).await {
        Err(CliError::Unknown(why)) => Err(CliError::NotReached(why)),
        other => other,
    }
}

async fn get(client: &Client, path: &str, json: bool) -> Result<Exit, CliError> {
    let path = DocumentPath::parse(path).map_err(|e| CliError::Usage(e.to_string()))?;
    let url_path = format!("/v1/config/documents/{path}");
    let reply = send_read_only(client.admin(Method::GET, &url_path))
        .await?
        .ok()?;
    match json {
        true => println!(
            "{}",
            serde_json::json!({ "path": path.as_str(), "text": reply.body })
        ),
        false => print!("{}", reply.body),
    }
    Ok(Exit::Done)
}

/// Sends a change, prints its outcome, and waits until the change is in force if `options.wait`
/// is set.
///
/// All attempts carry the same change id, so that the change is made at most once.
async fn change(
    client: &Client,
    req: impl Fn() -> RequestBuilder,
    options: &ChangeOptions,
    json: bool,
) -> Result<Exit, CliError> {
    let id = match &options.change_id {
        Some(id) => id.clone(),
        None => ChangeId::random().as_str().to_owned(),
    };
    let reply = send_until_known(&id, req, options).await?;
    let Ok(answer) = reply.json::<ChangeAnswer>() else {
        return reply.ok().map(|_| Exit::Unknown);
    };
    match json {
        true => println!("{}", reply.body),
        false => show::change(&answer),
    }
    match answer.outcome {
        ChangeOutcome::Refused if reply.status == 503 => return Ok(Exit::NotReached),
        ChangeOutcome::Refused => return Ok(Exit::Refused),
        ChangeOutcome::Conflict => return Ok(Exit::Conflict),
        ChangeOutcome::Unknown => return Ok(Exit::Unknown),
        ChangeOutcome::Accepted => {}
    }
    match answer.revision {
        Some(revision) if options.wait && !options.dry_run => {
            wait(client, revision, CHANGE_WAIT_TIMEOUT, json).await
        }
        _ => Ok(Exit::Done),
    }
}

/// Sends a change until its outcome is known or all attempts are used.
///
/// Once an attempt may have taken effect, a later attempt that fails to connect or gets status 503
/// does not tell the outcome of the change.
async fn send_until_known(
    id: &str,
    req: impl Fn() -> RequestBuilder,
    options: &ChangeOptions,
) -> Result<Reply, CliError> {
    let mut may_have_applied = false;
    let mut send_attempts = 0;
    loop {
        let mut req = req().header(CHANGE_ID, id);
        if let Some(revision) = options.if_match {
            req = req.header("if-match", revision);
        }
        send_attempts += 1;
        let sent = send(req).await;
        let is_final = match &sent {
            Ok(reply) if may_have_applied => !matches!(reply.status, 503 | 504),
            Ok(reply) => reply.status != 504,
            Err(CliError::Unknown(_)) => false,
            Err(_) => !may_have_applied,
        };
        if is_final {
            return sent;
        }
        may_have_applied = true;
        if send_attempts == MAX_SEND_ATTEMPTS {
            return sent.map_err(|e| {
                CliError::Unknown(format!(
                    "{e}; send the change again with --change-id {id} to learn its outcome"
                ))
            });
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn wait(
    client: &Client,
    revision: u64,
    timeout: Duration,
    json: bool,
) -> Result<Exit, CliError> {
    let ms = timeout.as_millis();
    let url_path = format!("/v1/config/wait?revision={revision}&timeout_ms={ms}");
    let req = client
        .admin(Method::GET, &url_path)
        .timeout(timeout + WAIT_MARGIN);
    let reply = send_read_only(req).await?;
    let answer: WaitAnswer = print(&reply, json, show::wait)?;
    match answer.in_force {
        true => Ok(Exit::Done),
        false => Ok(Exit::NotInForce),
    }
}

async fn entries(client: &Client) -> Result<Exit, CliError> {
    let reply = send_read_only(client.front("/v1/entries")).await?.ok()?;
    println!("{}", reply.body);
    Ok(Exit::Done)
}
