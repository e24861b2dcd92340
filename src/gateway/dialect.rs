//! The borders to a platform: its keys in the store, and its words on the wire.
//!
//! A plug-in implements [`Layout`] and [`Dialect`] and registers a [`PlatformPlugin`] with
//! `inventory`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;

use super::routes::RouteTable;
use crate::id::{OrganisationId, TargetId};

/// A target as the platform's registry has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registered {
    /// The service it belongs to.
    pub service: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Requests it runs side by side.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How long it stays cold, counted from the entry's arrival.
    pub cold_for: Duration,
    /// When it started, in Unix milliseconds; tells a restart under the same name.
    pub born: u64,
}

/// One of the platform's entries, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The newest configuration.
    Routes(Box<RouteTable>),
    /// Nothing more is to be sent to this data centre.
    Evacuation(SmolStr),
    /// A target.
    Target(TargetId, Registered),
}

/// An entry that names nothing to use.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct BadEntry {
    /// The entry's key.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// The platform's keys.
pub trait Layout: Send + Sync {
    /// The prefix of the operators' keys: configuration and evacuations.
    fn settings_prefix(&self) -> &str;

    /// The prefix of the target registry.
    fn registry_prefix(&self) -> &str;

    /// Decodes an entry; `None` if its key means nothing here.
    ///
    /// # Errors
    ///
    /// If a value cannot be read; the other entries still hold.
    fn decode(&self, key: &str, value: &[u8]) -> Result<Option<Item>, BadEntry>;
}

/// One part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What the part is.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a caller's head says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Asked {
    /// The caller's name of the request.
    pub id: SmolStr,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key.
    pub key: Option<SmolStr>,
    /// Prompt tokens and the most to generate.
    pub usage: Option<(u64, u64)>,
    /// The parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The event after which a stream is to go on.
    pub resume_after: Option<SmolStr>,
}

/// What the gateway tells a target beside the caller's request.
#[derive(Debug, Clone)]
pub struct Stamp<'a> {
    /// The target that is meant; any other one refuses.
    pub target: &'a TargetId,
    /// The organisation for which it runs.
    pub organisation: Option<&'a OrganisationId>,
    /// The time left.
    pub time_left: Duration,
    /// 0 goes first; 9 is the last.
    pub priority: u8,
    /// The event after which a stream is to go on.
    pub resume_after: Option<&'a str>,
}

/// What a target's head says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Replied {
    /// The request was not run.
    pub not_run: bool,
    /// Another target has the address.
    pub another_target: bool,
    /// The request that it answers, if it says.
    pub id: Option<SmolStr>,
    /// Running, waiting, slots.
    pub load: Option<(u32, u32, u32)>,
    /// How long an unused connection stays open.
    pub keep_alive: Option<Duration>,
}

/// A client's question which instances to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WhichInstances {
    /// The host that it will call.
    pub host: SmolStr,
    /// The client's region.
    pub region: SmolStr,
    /// The client's data centre.
    pub data_centre: SmolStr,
}

/// The platform's words on the wire.
pub trait Dialect: Send + Sync {
    /// Reads a caller's head.
    fn read(&self, headers: &HeaderMap) -> Asked;

    /// Removes what only the gateway may set, and the key.
    fn strip(&self, headers: &mut HeaderMap);

    /// Adds what the gateway tells the target.
    fn stamp(&self, headers: &mut HeaderMap, stamp: &Stamp<'_>);

    /// Reads a target's head.
    fn read_reply(&self, status: StatusCode, headers: &HeaderMap) -> Replied;

    /// The path of the readiness probe.
    fn ready_path(&self) -> &str;

    /// Reads a question to the directory; `None` if it is none.
    fn read_question(&self, path: &str, query: &str) -> Option<WhichInstances>;

    /// Writes the directory's answer as JSON.
    fn write_entries(&self, entries: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// A platform, registered with `inventory::submit!`.
pub struct PlatformPlugin {
    /// The name used in the settings.
    pub name: &'static str,
    /// Makes the reader of its keys.
    pub layout: fn() -> Arc<dyn Layout>,
    /// Makes the reader and writer of its heads.
    pub dialect: fn() -> Arc<dyn Dialect>,
}

inventory::collect!(PlatformPlugin);

/// Finds the platform of this name.
pub fn platform(name: &str) -> Option<&'static PlatformPlugin> {
    inventory::iter::<PlatformPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)
}
