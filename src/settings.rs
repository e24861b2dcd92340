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
    /// Who and where the instance is.
    pub instance: InstanceSettings,
    /// Where the store is.
    pub store: StoreSettings,
    /// Where the rest of the platform is; not needed with `gateway`.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// The gateway for general routes, in place of the OpenAI interface.
    pub gateway: Option<GatewaySettings>,
    /// The operators' interface.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
    /// Bounds on what callers may send and how long they wait.
    #[serde(default)]
    pub front: FrontSettings,
    /// The policies of the request path; the defaults are the product's.
    #[serde(default)]
    pub policy: PolicySettings,
}

/// Who and where an instance is.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Its name, which no other running instance has.
    pub id: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Where it listens to callers.
    pub front: SocketAddr,
    /// Where it listens to other instances.
    pub peer: SocketAddr,
    /// Where it listens to operators.
    pub admin: SocketAddr,
    /// Where other instances reach it, if not at `peer`.
    pub advertise_peer: Option<SocketAddr>,
    /// Where callers reach it, if not at `front`.
    pub advertise_front: Option<SocketAddr>,
    /// The address its outgoing connections come from.
    pub source: Option<IpAddr>,
}

/// Where the store is and how much of it the instance may use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The store plug-in, such as `etcd`.
    pub kind: SmolStr,
    /// The store's address.
    pub address: String,
    /// Calls a second that this instance may make, waiting watches included.
    #[serde(default = "default_store_calls")]
    pub calls_per_second: u32,
    /// How long one call may take, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

impl StoreSettings {
    /// Returns how long one call may take.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Where the rest of the platform is.
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
    /// SHA-256 of the token that may change the whole tree, as hexadecimal digits.
    pub root_hash: Option<SmolStr>,
}

/// Where log lines go.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The log file; standard error if absent.
    pub file: Option<PathBuf>,
    /// The least level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub level: SmolStr,
    /// Whether lines are JSON objects.
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

/// Bounds on what callers may send and how long they wait.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontSettings {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send its request, in milliseconds.
    pub read_timeout_ms: u64,
    /// The deadline of a request that names none, in milliseconds.
    pub default_deadline_ms: u64,
    /// How long a shutdown waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
    /// Tokens that a model request may generate if it names no limit.
    pub default_max_tokens: u64,
    /// The most requests in flight at this instance.
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

/// Which policy decides at each border; other names are baselines to measure against.
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

/// A fault in a settings file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}{line}:{column}: {message}")]
pub struct SettingsError {
    file: String,
    line: usize,
    column: usize,
    message: String,
}

impl SettingsError {
    /// Returns the line of the fault, counted from 1; 0 if it is in no line.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the column of the fault, counted from 1; 0 if it is in no line.
    pub fn column(&self) -> usize {
        self.column
    }

    fn in_file(self, path: &Path) -> Self {
        Self {
            file: format!("{}:", path.display()),
            ..self
        }
    }

    fn whole(message: impl Into<String>) -> Self {
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
    /// If the file cannot be read, is not TOML, has an unknown or missing key, or a value that
    /// cannot be.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::whole(e.to_string()).in_file(path))?;
        Self::parse(&text).map_err(|e| e.in_file(path))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// As for [`Settings::read`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| from_toml(text, &e))?;
        settings.check(text)?;
        Ok(settings)
    }

    fn check(&self, text: &str) -> Result<(), SettingsError> {
        let at = |section, key, message| Err(at_key(text, section, key, message));
        let i = &self.instance;
        if i.id.as_str().is_empty() {
            return at("instance", "id", "an instance needs a name");
        }
        if i.region.as_str().is_empty() {
            return at("instance", "region", "an instance needs a region");
        }
        if i.front == i.peer || i.front == i.admin {
            return at("instance", "front", "front, peer and admin must differ");
        }
        if i.peer == i.admin {
            return at("instance", "peer", "front, peer and admin must differ");
        }
        if !self.store.address.starts_with("http://") {
            return at("store", "address", "it must start with http://");
        }
        if self.store.calls_per_second == 0 {
            return at("store", "calls_per_second", "it must be greater than 0");
        }
        if self.store.timeout_ms == 0 {
            return at("store", "timeout_ms", "it must be greater than 0");
        }
        if let Some(gateway) = &self.gateway {
            if let Some((key, message)) = gateway.fault(&i.data_centre) {
                return at("gateway", key, message);
            }
        } else if !self.platform.list.starts_with("http://") {
            return at("platform", "list", "it must start with http://");
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            return at(
                "log",
                "level",
                "it must be error, warn, info, debug or trace",
            );
        }
        if !store::is_known(&self.store.kind) {
            return at("store", "kind", "there is no store plug-in of this name");
        }
        if !limit::is_known(&self.policy.limit) {
            return at("policy", "limit", "there is no limiter of this name");
        }
        if scorer(&self.policy.route).is_none() {
            return at("policy", "route", "there is no route scorer of this name");
        }
        if !attempt::is_known(&self.policy.attempt) {
            return at("policy", "attempt", "it must be careful or reckless");
        }
        if self.front.max_body_bytes == 0 {
            return at("front", "max_body_bytes", "it must be greater than 0");
        }
        if self.front.max_in_flight == 0 {
            return at("front", "max_in_flight", "it must be greater than 0");
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

/// Returns line and column, counted from 1, of a byte offset.
pub(crate) fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}

/// Returns line and column, counted from 1, of `key` in `[section]`; zeros if it is not there.
pub fn locate(text: &str, section: &str, key: &str) -> (usize, usize) {
    let header = format!("[{section}]");
    let mut inside = false;
    for (i, line) in text.lines().enumerate() {
        let trimmed = line.trim_start();
        if trimmed.starts_with('[') {
            inside = trimmed.trim_end() == header;
            continue;
        }
        let name = trimmed.split(['=', ' ', '\t']).next().unwrap_or_default();
        if !inside || name != key {
            continue;
        }
        return (i + 1, line.len() - trimmed.len() + 1);
    }
    (0, 0)
}

fn at_key(text: &str, section: &str, key: &str, message: &str) -> SettingsError {
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
