//! The section `[gateway]` of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::id::RegionId;
use crate::limit::tolerance::Tolerance;
use crate::retry_budget::RetryBound;

/// The section `[gateway]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the platform plug-in.
    pub platform: SmolStr,
    /// Whether the decision journal is written to standard output; read only at startup.
    #[serde(default = "default_journal")]
    pub journal: bool,
    /// The address on which the instance answers the platform's readiness probe.
    pub ready: SocketAddr,
    /// The address of the directory, which tells clients which instances to use.
    pub directory: SocketAddr,
    /// The region of each data centre.
    pub data_centres: BTreeMap<SmolStr, RegionId>,
    /// How long a shutdown may take, in milliseconds.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// How long clients may cache a response of the directory, in milliseconds.
    #[serde(default = "default_directory_ttl_ms")]
    pub directory_ttl_ms: u64,
    /// Number of retries allowed for each request, over the whole fleet.
    #[serde(default)]
    pub retry_ratio: f64,
    /// Number of retries allowed in a window in addition to `retry_ratio`, over the whole fleet.
    #[serde(default)]
    pub retry_slack: f64,
    /// The window of the retry budget, in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Units that organisations may use beyond rate and burst, as a ratio of both; 0 unless set.
    #[serde(default)]
    pub limit_overshoot: f64,
    /// Units that organisations may use in addition to `limit_overshoot`; 0 unless set.
    #[serde(default)]
    pub limit_slack: f64,
    /// The window in which `limit_overshoot` and `limit_slack` are counted, in seconds.
    #[serde(default = "default_limit_window_s")]
    pub limit_window_s: f64,
    /// Requests per second that a cold target may get, as a multiple of its service's warm-up rate.
    #[serde(default = "default_warmup_overshoot")]
    pub warmup_overshoot: f64,
    /// Requests per second that a cold target may get in addition to `warmup_overshoot`.
    #[serde(default)]
    pub warmup_slack: f64,
    /// How long the platform keeps the entry of a silent target, in milliseconds; read only at
    /// startup.
    #[serde(default = "default_entry_lapse_ms")]
    pub entry_lapse_ms: u64,
    /// Whether the whole fleet starts for the first time; read only at startup.
    #[serde(default)]
    pub first_start: bool,
    /// Longest time for which callers take up a stream after its first event, in milliseconds; read
    /// only at startup.
    #[serde(default = "default_stream_memory_ms")]
    pub stream_memory_ms: u64,
    /// Round-trip time to another region, in milliseconds; read only at startup.
    #[serde(default = "default_region_round_trip_ms")]
    pub region_round_trip_ms: f64,
    /// Time that a target needs to prefill one prompt token, in milliseconds; read only at startup.
    #[serde(default = "default_prefill_ms_per_token")]
    pub prefill_ms_per_token: f64,
}

/// The settings that may change while an instance runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReloadableSettings {
    /// How long a shutdown may take.
    pub grace: Duration,
    /// How long clients may cache a response of the directory.
    pub directory_ttl: Duration,
    /// The fleet-wide limit on retries.
    pub retry: RetryBound,
    /// What organisations may use beyond their limits.
    pub tolerance: Tolerance,
    /// Requests per second that a cold target may get, as a multiple of its service's warm-up rate.
    pub warmup_overshoot: f64,
    /// Requests per second that a cold target may get in addition to `warmup_overshoot`.
    pub warmup_slack: f64,
}

impl From<&GatewaySettings> for ReloadableSettings {
    fn from(settings: &GatewaySettings) -> Self {
        Self {
            grace: Duration::from_millis(settings.grace_ms),
            directory_ttl: Duration::from_millis(settings.directory_ttl_ms),
            retry: RetryBound {
                ratio: settings.retry_ratio,
                slack: settings.retry_slack,
                window: Duration::from_secs_f64(settings.retry_window_s),
            },
            tolerance: Tolerance {
                overshoot: settings.limit_overshoot,
                slack: settings.limit_slack,
                window: Duration::from_secs_f64(settings.limit_window_s),
            },
            warmup_overshoot: settings.warmup_overshoot,
            warmup_slack: settings.warmup_slack,
        }
    }
}

impl GatewaySettings {
    /// Returns the key of the first invalid value and a description of the fault.
    pub fn validate(&self, data_centre: &str) -> Option<(&'static str, &'static str)> {
        if super::dialect::find_platform(&self.platform).is_none() {
            return Some(("platform", "there is no platform plug-in of this name"));
        }
        if !self.data_centres.contains_key(data_centre) {
            return Some(("data_centres", "the instance's own data centre is missing"));
        }
        let numbers = [
            ("retry_ratio", self.retry_ratio),
            ("retry_slack", self.retry_slack),
            ("limit_overshoot", self.limit_overshoot),
            ("limit_slack", self.limit_slack),
            ("warmup_overshoot", self.warmup_overshoot),
            ("warmup_slack", self.warmup_slack),
            ("region_round_trip_ms", self.region_round_trip_ms),
        ];
        for (key, value) in numbers {
            if !value.is_finite() || value < 0.0 {
                return Some((key, "it must not be less than 0"));
            }
        }
        let windows = [
            ("retry_window_s", self.retry_window_s),
            ("limit_window_s", self.limit_window_s),
        ];
        for (key, value) in windows {
            if !value.is_finite() || value <= 0.0 || value > MAX_WINDOW_S {
                return Some((key, "it must be greater than 0 and at most an hour"));
            }
        }
        if !self.prefill_ms_per_token.is_finite() || self.prefill_ms_per_token <= 0.0 {
            return Some(("prefill_ms_per_token", "it must be greater than 0"));
        }
        if !(1..=MAX_ENTRY_LAPSE_MS).contains(&self.entry_lapse_ms) {
            let why = "it must be greater than 0 and at most a minute";
            return Some(("entry_lapse_ms", why));
        }
        if !(1..=MAX_STREAM_MEMORY_MS).contains(&self.stream_memory_ms) {
            let why = "it must be greater than 0 and at most an hour";
            return Some(("stream_memory_ms", why));
        }
        None
    }
}

/// Maximum time for which the platform keeps the entry of a silent target, in milliseconds: as long
/// as deletions are remembered (see [`super::restored`]).
const MAX_ENTRY_LAPSE_MS: u64 = 60_000;

/// Maximum time for which the origins of streams are remembered, in milliseconds.
const MAX_STREAM_MEMORY_MS: u64 = 3_600_000;

/// Maximum length of a window, in seconds.
const MAX_WINDOW_S: f64 = 3_600.0;

fn default_journal() -> bool {
    true
}

fn default_grace_ms() -> u64 {
    8_000
}

fn default_directory_ttl_ms() -> u64 {
    2_000
}

fn default_retry_window_s() -> f64 {
    10.0
}

fn default_limit_window_s() -> f64 {
    8.0
}

fn default_entry_lapse_ms() -> u64 {
    6_000
}

fn default_stream_memory_ms() -> u64 {
    30_000
}

fn default_region_round_trip_ms() -> f64 {
    160.0
}

fn default_prefill_ms_per_token() -> f64 {
    0.032
}

fn default_warmup_overshoot() -> f64 {
    1.0
}
