//! The interfaces to a platform: its keys in the store, and its HTTP headers and calls.
//!
//! A plug-in implements [`Layout`] and [`Dialect`] and registers a [`PlatformPlugin`] with
//! `inventory`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;

use super::routes::RouteTable;
use super::warmth::Warmth;
use crate::id::{OrganisationId, TargetId};

/// A target's entry in the platform's registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// The service that the target belongs to.
    pub service: SmolStr,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The target's data centre.
    pub data_centre: SmolStr,
    /// The version of the target's software. Targets of several versions may serve side by side.
    pub software_version: SmolStr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is about to leave.
    pub leaving: bool,
    /// How long the target stays cold, counted from the time at which the entry is received.
    pub cold_for: Duration,
    /// Start time of the target in Unix milliseconds; distinguishes restarts under the same name.
    pub started_unix_ms: u64,
}

/// A decoded entry of the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformEntry {
    /// The routing configuration.
    Routes(Box<RouteTable>),
    /// The data centre is evacuated: its targets get no new requests.
    Evacuation(SmolStr),
    /// A registered target.
    Target(TargetId, TargetEntry),
}

/// An entry that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct MalformedEntry {
    /// The entry's key.
    pub key: String,
    /// Why the entry cannot be decoded.
    pub reason: String,
}

/// The layout of the platform's keys in the store, and the encoding of the values.
pub trait Layout: Send + Sync {
    /// Returns the key prefix of the operators' settings: configuration and evacuations.
    fn settings_prefix(&self) -> &str;

    /// Returns the key prefix of the target registry.
    fn registry_prefix(&self) -> &str;

    /// Decodes an entry; returns `None` if the gateway does not use the key.
    ///
    /// # Errors
    ///
    /// If the value is malformed; other entries stay valid.
    fn decode(&self, key: &str, value: &[u8]) -> Result<Option<PlatformEntry>, MalformedEntry>;
}

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// The information in the headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestHead {
    /// The request's identifier, set by the caller.
    pub id: SmolStr,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The API key.
    pub key: Option<SmolStr>,
    /// Number of prompt tokens, and maximum number of tokens to generate.
    pub usage: Option<(u64, u64)>,
    /// The parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Identifier of the event after which a stream resumes.
    pub resume_after: Option<SmolStr>,
    /// Identifier of the request that brought the first event of the stream that the caller takes
    /// up.
    pub resumes: Option<SmolStr>,
}

/// The information that the gateway adds to a request for a target.
#[derive(Debug, Clone)]
pub struct TargetHeaders<'a> {
    /// The target that the request is for; any other target refuses the request.
    pub target: &'a TargetId,
    /// The organisation for which the request runs.
    pub organisation: Option<&'a OrganisationId>,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The priority, from 0, the most urgent, to 9.
    pub priority: u8,
    /// Identifier of the event after which a stream resumes.
    pub resume_after: Option<&'a str>,
}

/// When a target that turns a request away wants the next one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryAfter {
    /// After this time.
    Time(Duration),
    /// From this date on.
    Date(SystemTime),
    /// The header is malformed.
    Malformed(SmolStr),
}

/// The request rate that a target names in its answers.
#[derive(Debug, Clone, PartialEq)]
pub enum NamedRate {
    /// Requests per second that the target takes from all instances together.
    PerSecond(f64),
    /// The header is malformed.
    Malformed(SmolStr),
}

/// The information in the head of a target's response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseHead {
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether another target now listens on the address.
    pub wrong_target: bool,
    /// Identifier of the request that the response belongs to, if the target states it.
    pub id: Option<SmolStr>,
    /// The target's running requests, waiting requests and slots.
    pub load: Option<(u32, u32, u32)>,
    /// Whether the target says that it is about to leave.
    pub leaving: bool,
    /// When the target, which turns requests away for now, wants the next one.
    pub retry_after: Option<RetryAfter>,
    /// The request rate that the target, which is in need, names for now.
    pub rate: Option<NamedRate>,
    /// How many requests a second the target can turn away for want of room without falling over, if
    /// it says so.
    pub brittle: Option<NamedRate>,
    /// How long the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// A client's query for the instances to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The host that the client will call.
    pub host: SmolStr,
    /// The client's region.
    pub region: SmolStr,
    /// The client's data centre.
    pub data_centre: SmolStr,
}

/// The encoding of the platform's HTTP headers and calls.
pub trait Dialect: Send + Sync {
    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Removes the headers that only the gateway may set, and the API key.
    fn strip_reserved(&self, headers: &mut HeaderMap);

    /// Adds the headers that the gateway sets for a target.
    fn add_target_headers(&self, headers: &mut HeaderMap, target_headers: &TargetHeaders<'_>);

    /// Reads the head of a target's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Reads from the answer to a question for a target's health whether the target is cold;
    /// [`Warmth::Unknown`] if another target has answered.
    fn read_warmth(&self, _headers: &HeaderMap, _target: &TargetId) -> Warmth {
        Warmth::Unknown
    }

    /// Returns the path at which a target reports its load without taking a slot; `None` if targets do
    /// not offer it.
    fn load_report_path(&self) -> Option<&str> {
        None
    }

    /// Reads a target's load report: its running and its waiting requests; `None` if it is malformed.
    fn read_load_report(&self, _body: &[u8]) -> Option<(u32, u32)> {
        None
    }

    /// Returns the path of the readiness probe.
    fn ready_path(&self) -> &str;

    /// Reads a directory query; returns `None` if the path is not that of the directory.
    fn read_directory_query(&self, path: &str, query: &str) -> Option<DirectoryQuery>;

    /// Encodes the response to a directory query as JSON.
    fn write_directory_response(&self, entries: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// A platform plug-in, registered with `inventory::submit!`.
pub struct PlatformPlugin {
    /// The name of the plug-in in the settings.
    pub name: &'static str,
    /// Creates the decoder of the platform's keys.
    pub layout: fn() -> Arc<dyn Layout>,
    /// Creates the reader and writer of the platform's HTTP headers.
    pub dialect: fn() -> Arc<dyn Dialect>,
}

inventory::collect!(PlatformPlugin);

/// Finds the platform plug-in with the given name.
pub fn find_platform(name: &str) -> Option<&'static PlatformPlugin> {
    inventory::iter::<PlatformPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)
}
