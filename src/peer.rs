//! The protocol between instances: HTTP/2 streams with `bincode` messages.
//!
//! Other modules send messages through [`Peers`] and answer them through [`PeerHandler`]. They
//! define their own wire types. Those that [`encode`] and [`decode`] convert have fixed layouts; see
//! [`WireFormat`]. New messages use [`encode_named`] and [`decode_named`], so that later builds can
//! add fields.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call::{Answer, Call};
use crate::refusal::Refusal;

pub(crate) use self::client::connect_from;
pub use self::client::{PeerClient, Relayed, RelayedBody};
pub use self::format::{WireFormat, decode_named, encode_named, recode};
pub use self::server::PeerServer;
pub use self::unknown_kinds::UnknownKinds;

mod client;
mod format;
mod frame;
mod server;
mod unknown_kinds;
pub mod wire;

/// The path prefix of control messages, followed by their kind; it contains the protocol version.
const ASK_PATH: &str = "/v1/ask/";

/// The path of forwarded requests.
const FORWARD_PATH: &str = "/v1/forward";

/// The path of relayed messages.
const RELAY_PATH: &str = "/v1/relay";

/// Flow-control window of a stream.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Why a peer did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No byte of the message can have reached the peer's handler.
    #[error("peer not reached: {0}")]
    NotReached(Unreached),
    /// The stream failed or timed out; the message may have been handled.
    #[error("peer answer lost: {0}")]
    ResponseLost(String),
    /// The peer rejected the message, or cannot answer the message now.
    #[error("peer refused: {0}")]
    Refused(String),
    /// The peer's build does not know messages of this kind.
    #[error("the peer does not know the message kind {0}")]
    UnknownKind(&'static str),
    /// The bytes are not a valid message.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Why a peer was not reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreached {
    why: String,
    nothing_listens: bool,
}

impl Unreached {
    /// Creates the reason for a connection that was refused.
    pub fn refused(why: String) -> Self {
        Self {
            why,
            nothing_listens: true,
        }
    }

    /// Tells whether the connection was refused, as nothing listens at the peer's address. A peer
    /// that is silent or closes may still run.
    pub fn nothing_listens(&self) -> bool {
        self.nothing_listens
    }
}

impl fmt::Display for Unreached {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.why)
    }
}

impl From<String> for Unreached {
    fn from(why: String) -> Self {
        Self {
            why,
            nothing_listens: false,
        }
    }
}

impl From<&str> for Unreached {
    fn from(why: &str) -> Self {
        why.to_owned().into()
    }
}

/// Sends messages to other instances.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Sends a control message of a kind and waits up to `timeout` for the answer.
    async fn ask(
        &self,
        to: SocketAddr,
        kind: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError>;

    /// Forwards a request to an instance of another region.
    async fn forward(&self, to: SocketAddr, call: &Call) -> Result<Answer, Refusal>;

    /// Sends a message that is answered by a head and a stream of bytes; waits up to `timeout` for
    /// the head.
    async fn relay(
        &self,
        to: SocketAddr,
        _message: Bytes,
        _timeout: Duration,
    ) -> Result<Relayed, PeerError> {
        let why = format!("{to}: this connection does not support relayed messages");
        Err(PeerError::NotReached(why.into()))
    }
}

/// The bytes that follow the head of a relayed answer.
#[async_trait]
pub trait RelaySource: Send {
    /// Returns the next bytes; `None` if the answer is complete.
    ///
    /// # Errors
    ///
    /// If the answer breaks off, so that the rest of the answer is missing.
    async fn next(&mut self) -> Option<Result<Bytes, String>>;
}

/// The answer to a relayed message: a head, and bytes that may follow the head.
pub struct RelayAnswer {
    /// The encoded head of the answer.
    pub head: Bytes,
    /// The bytes that follow the head, if any.
    pub body: Option<Box<dyn RelaySource>>,
}

/// Answers relayed messages.
#[async_trait]
pub trait RelayHandler: Send + Sync {
    /// Answers one relayed message. The future is dropped if the sender cancels the stream or
    /// disconnects.
    async fn run(&self, message: Bytes) -> RelayAnswer;
}

/// Answers control messages of one kind.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// The kind of message, such as `limit`.
    fn kind(&self) -> &'static str;

    /// Answers one control message.
    async fn answer(&self, body: Bytes) -> Result<Bytes, PeerError>;
}

/// Handles requests forwarded by instances of other regions.
#[async_trait]
pub trait ForwardHandler: Send + Sync {
    /// Runs a forwarded request in this region.
    async fn run(&self, call: Call) -> Result<Answer, Refusal>;
}

/// Maximum size of an encoded message or frame.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Encodes a wire type.
///
/// # Errors
///
/// [`PeerError::Malformed`] if the value cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, PeerError> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|e| PeerError::Malformed(e.to_string()))
}

/// Decodes a wire type from `bytes`, all of which must be consumed.
///
/// # Errors
///
/// [`PeerError::Malformed`] if the bytes are too many, too few or not an encoded `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, consumed) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| PeerError::Malformed(e.to_string()))?;
    if consumed != bytes.len() {
        return Err(PeerError::Malformed(format!(
            "{} bytes after the end of the message",
            bytes.len() - consumed
        )));
    }
    Ok(message)
}
