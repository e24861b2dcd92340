//! The daemon's settings file.
//!
//! ```
//! use limpetstand::settings::Settings;
//!
//! let text = r#"
//! [instance]
//! id = "recife-1"
//! region = "recife"
//! data_centre = "recife-a"
//! front = "127.0.0.1:8080"
//! peer = "127.0.0.1:8081"
//! admin = "127.0.0.1:8082"
//!
//! [store]
//! kind = "etcd"
//! address = "http://127.0.0.1:2379"
//!
//! [platform]
//! list = "http://127.0.0.1:7000/instances"
//! directory = "http://127.0.0.1:7000/directory"
//! "#;
//! let settings = Settings::parse(text)?;
//! assert_eq!(settings.instance.region.as_str(), "recife");
//! # Ok::<(), limpetstand::settings::SettingsError>(())
//! ```

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::attempt;
use crate::gateway::settings::GatewaySettings;
use crate::id::{InstanceId, RegionId};
use crate::limit;
use crate::route::scorer;
use crate::store;

/// The settings of one instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity, location and addresses of the instance.
    pub instance: InstanceSettings,
    /// The coordination store.
    pub store: StoreSettings,
    /// The other services of the platform; not needed with `gateway`.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Settings of the gateway for general routes, which replaces the OpenAI interface.
    pub gateway: Option<GatewaySettings>,
    /// The operators' interface.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on requests and the time they take.
    #[serde(default)]
    pub front: FrontSettings,
    /// The policies of the request path; the defaults are those for production.
    #[serde(default)]
    pub policy: PolicySettings,
}

/// Identity, location and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// The name of the instance, unique among running instances.
    pub id: InstanceId,
    /// The region of the instance.
    pub region: RegionId,
    /// The data centre of the instance.
    pub data_centre: SmolStr,
    /// The address that the instance listens on for callers.
    pub front: SocketAddr,
    /// The address that the instance listens on for other instances.
    pub peer: SocketAddr,
    /// The address that the instance listens on for operators.
    pub admin: SocketAddr,
    /// The address at which other instances reach this one, if it differs from `peer`.
    pub advertise_peer: Option<SocketAddr>,
    /// The address at which callers reach the instance, if it differs from `front`.
    pub advertise_front: Option<SocketAddr>,
    /// The local address for outgoing connections.
    pub source: Option<IpAddr>,
}

/// The store's address and the instance's limits on its use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The store plug-in, such as `etcd`.
    pub kind: SmolStr,
    /// The store's address.
    pub address: String,
    /// Upper bound for this instance's calls per second to the store, including waiting watches.
    #[serde(default = "default_store_calls")]
    pub calls_per_second: u32,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

impl StoreSettings {
    /// Returns the timeout of one call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Addresses of the platform's other services.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the instance list.
    pub list: String,
    /// The address of the client directory.
    pub directory: Option<String>,
    /// The address of the weight store.
    pub weights: Option<String>,
}

/// The operators' interface.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Hexadecimal SHA-256 hash of the token that may change the whole configuration tree.
    pub root_hash: Option<SmolStr>,
}

/// Where log lines go.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The log file; defaults to standard error.
    pub file: Option<PathBuf>,
    /// The minimum level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub level: SmolStr,
    /// Whether log lines are written as JSON objects.
    #[serde(default)]
    pub json: bool,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            file: None,
            level: default_log_level(),
            json: false,
        }
    }
}

/// Limits on requests and the time they take.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontSettings {
    /// Upper bound for a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request's head, and again for its body, in milliseconds.
    pub read_timeout_ms: u64,
    /// The deadline of a request that sets none, in milliseconds.
    pub default_deadline_ms: u64,
    /// How long a shutdown waits for requests in flight before it refuses them, in milliseconds.
    pub drain_ms: u64,
    /// `max_tokens` of a model request that sets none.
    pub default_max_tokens: u64,
    /// Upper bound for the requests in flight at this instance.
    pub max_in_flight: usize,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            read_timeout_ms: 10_000,
            default_deadline_ms: 60_000,
            drain_ms: 120_000,
            default_max_tokens: 256,
            max_in_flight: 4096,
        }
    }
}

/// Names of the policies of the request path; policies other than the defaults are baselines for
/// benchmarks.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// The limiter: `shares`, or a baseline such as `static-split` or `local-whole`.
    pub limit: SmolStr,
    /// The route scorer: `cost`, or a baseline such as `random` or `nearest-only`.
    pub route: SmolStr,
    /// `careful`, or the baseline `reckless`, which ignores residency and retries everything.
    pub attempt: SmolStr,
    /// How long a request that crashes targets is refused, in seconds.
    pub quarantine_s: u64,
}

impl PolicySettings {
    /// Returns how long a request that crashes targets is refused.
    pub fn quarantine_time(&self) -> Duration {
        Duration::from_secs(self.quarantine_s)
    }
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            limit: "shares".into(),
            route: "cost".into(),
            attempt: "careful".into(),
            quarantine_s: 600,
        }
    }
}

/// An error in a settings file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}{line}:{column}: {message}")]
pub struct SettingsError {
    file: String,
    line: usize,
    column: usize,
    message: String,
}

impl SettingsError {
    /// Returns the 1-based line of the error, or 0 if the position is unknown.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the 1-based column of the error, or 0 if the position is unknown.
    pub fn column(&self) -> usize {
        self.column
    }

    fn in_file(self, path: &Path) -> Self {
        Self {
            file: format!("{}:", path.display()),
            ..self
        }
    }

    fn without_position(message: impl Into<String>) -> Self {
        Self {
            file: String::new(),
            line: 0,
            column: 0,
            message: message.into(),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not valid TOML, has an unknown or missing key, or an invalid
    /// value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::without_position(e.to_string()).in_file(path))?;
        Self::parse(&text).map_err(|e| e.in_file(path))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// As for [`Settings::read`], except for reading the file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| from_toml(text, &e))?;
        settings.check(text)?;
        Ok(settings)
    }

    fn check(&self, text: &str) -> Result<(), SettingsError> {
        let fail = |section, key, message| Err(error_at_key(text, section, key, message));
        let instance = &self.instance;
        if instance.id.as_str().is_empty() {
            return fail("instance", "id", "it must not be empty");
        }
        if instance.region.as_str().is_empty() {
            return fail("instance", "region", "it must not be empty");
        }
        if instance.front == instance.peer || instance.front == instance.admin {
            return fail("instance", "front", "front, peer and admin must differ");
        }
        if instance.peer == instance.admin {
            return fail("instance", "peer", "front, peer and admin must differ");
        }
        if !self.store.address.starts_with("http://") {
            return fail("store", "address", "it must start with http://");
        }
        if self.store.calls_per_second == 0 {
            return fail("store", "calls_per_second", "it must be greater than 0");
        }
        if self.store.timeout_ms == 0 {
            return fail("store", "timeout_ms", "it must be greater than 0");
        }
        if let Some(gateway) = &self.gateway {
            if let Some((key, message)) = gateway.validate(&instance.data_centre) {
                return fail("gateway", key, message);
            }
        } else if !self.platform.list.starts_with("http://") {
            return fail("platform", "list", "it must start with http://");
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            return fail(
                "log",
                "level",
                "it must be error, warn, info, debug or trace",
            );
        }
        if !store::is_known(&self.store.kind) {
            return fail("store", "kind", "there is no store plug-in of this name");
        }
        if !limit::is_known(&self.policy.limit) {
            return fail("policy", "limit", "there is no limiter of this name");
        }
        if scorer(&self.policy.route).is_none() {
            return fail("policy", "route", "there is no route scorer of this name");
        }
        if !attempt::is_known_policy(&self.policy.attempt) {
            return fail("policy", "attempt", "it must be careful or reckless");
        }
        if self.front.max_body_bytes == 0 {
            return fail("front", "max_body_bytes", "it must be greater than 0");
        }
        if self.front.max_in_flight == 0 {
            return fail("front", "max_in_flight", "it must be greater than 0");
        }
        Ok(())
    }
}

fn from_toml(text: &str, e: &toml::de::Error) -> SettingsError {
    let (line, column) = e.span().map_or((0, 0), |span| position(text, span.start));
    SettingsError {
        file: String::new(),
        line,
        column,
        message: e.message().to_owned(),
    }
}

/// Returns the 1-based line and column of a byte offset.
pub(crate) fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}

/// Returns the 1-based line and column of `key` in `[section]`, or zeros if the key is absent.
pub fn locate(text: &str, section: &str, key: &str) -> (usize, usize) {
    let header = format!("[{section}]");
    let mut in_section = false;
    for (i, line) in text.lines().enumerate() {
        let trimmed = line.trim_start();
        if trimmed.starts_with('[') {
            in_section = trimmed.trim_end() == header;
            continue;
        }
        let name = trimmed.split(['=', ' ', '\t']).next().unwrap_or_default();
        if !in_section || name != key {
            continue;
        }
        return (i + 1, line.len() - trimmed.len() + 1);
    }
    (0, 0)
}

fn error_at_key(text: &str, section: &str, key: &str, message: &str) -> SettingsError {
    let (line, column) = locate(text, section, key);
    let message = format!("`{section}.{key}`: {message}");
    SettingsError {
        file: String::new(),
        line,
        column,
        message,
    }
}

fn default_store_calls() -> u32 {
    50
}

fn default_store_timeout_ms() -> u64 {
    2_000
}

fn default_log_level() -> SmolStr {
    "info".into()
}
