//! The layouts of messages between builds.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{MAX_MESSAGE_BYTES, PeerError, decode, encode};

/// A wire type whose layout is fixed, registered with [`wire_format!`](crate::wire_format).
///
/// [`encode`] writes fields by position, so a build that adds, removes or reorders one cannot read
/// what other builds write. Instances of several builds serve side by side while a fleet is
/// replaced; tests therefore read bytes that earlier builds wrote.
#[derive(Debug, Clone, Copy)]
pub struct WireFormat {
    /// The name of the type.
    pub name: &'static str,
    /// Decodes bytes as the type and encodes the value again.
    pub recode: fn(&[u8]) -> Result<Bytes, PeerError>,
}

inventory::collect!(WireFormat);

impl WireFormat {
    /// Returns the registered formats.
    pub fn all() -> impl Iterator<Item = &'static Self> {
        inventory::iter::<Self>.into_iter()
    }
}

/// Decodes bytes as a wire type and encodes the value again.
///
/// # Errors
///
/// [`PeerError::Malformed`] if the bytes are not an encoded `T`.
pub fn recode<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Result<Bytes, PeerError> {
    encode(&decode::<T>(bytes)?)
}

/// Registers a wire type with a fixed layout under a name.
#[macro_export]
macro_rules! wire_format {
    ($name:literal, $type:ty) => {
        inventory::submit! {
            $crate::peer::WireFormat {
                name: $name,
                recode: $crate::peer::recode::<$type>,
            }
        }
    };
}

/// Encodes a wire type with the names of its fields. Later builds may add fields: those that a build
/// does not know are skipped, and those that are missing take their default.
///
/// # Errors
///
/// [`PeerError::Malformed`] if the value cannot be encoded.
pub fn encode_named<T: Serialize>(message: &T) -> Result<Bytes, PeerError> {
    rmp_serde::to_vec_named(message)
        .map(Bytes::from)
        .map_err(|e| PeerError::Malformed(e.to_string()))
}

/// Decodes a wire type that [`encode_named`] encoded.
///
/// # Errors
///
/// [`PeerError::Malformed`] if the bytes are too many, or not an encoded `T`.
pub fn decode_named<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(PeerError::Malformed(
            "message exceeds the maximum size".to_owned(),
        ));
    }
    rmp_serde::from_slice(bytes).map_err(|e| PeerError::Malformed(e.to_string()))
}
