//! Checks API keys of callers against the configuration.
//!
//! A bearer token is `ID.SECRET`. The configuration has only the SHA-256 hash of the
//! token.
//!
//! ```
//! use limpetstand::config::Snapshot;
//! use limpetstand::key::{BearerToken, KeyError, check_key};
//! use std::time::Duration;
//!
//! let bearer = BearerToken::from("planner.s3cret");
//! let refused = check_key(&Snapshot::default(), Duration::ZERO, &bearer);
//! assert_eq!(refused, Err(KeyError::Unknown));
//! assert_eq!(format!("{bearer:?}"), "Bearer(planner.…)");
//! ```

use std::fmt;
use std::fmt::Write as _;
use std::time::Duration;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::config::{Key, Snapshot};
use crate::id::{KeyId, OrganisationId};
use crate::refusal::{Code, Refusal};

/// Hash that the token's hash is compared with if no key has the given ID, so that the check takes
/// as long as for a known key.
const DUMMY_HASH: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// A bearer token. Its `Debug` output hides the secret.
#[derive(Clone)]
pub struct BearerToken(String);

impl BearerToken {
    /// Takes the bearer token from the value of an `Authorization` header.
    ///
    /// Returns `None` if the scheme is not `Bearer`.
    pub fn from_header(value: &str) -> Option<Self> {
        let (scheme, token) = value.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        Some(Self(token.trim().to_owned()))
    }

    fn key_id(&self) -> Option<&str> {
        let (id, secret) = self.0.split_once('.')?;
        if id.is_empty() || secret.is_empty() {
            return None;
        }
        Some(id)
    }

    fn hash(&self) -> String {
        let mut hex = String::with_capacity(DUMMY_HASH.len());
        for byte in Sha256::digest(self.0.as_bytes()) {
            let _ = write!(hex, "{byte:02x}");
        }
        hex
    }
}

impl From<&str> for BearerToken {
    fn from(token: &str) -> Self {
        Self(token.to_owned())
    }
}

impl fmt::Debug for BearerToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Bearer({}.…)", self.key_id().unwrap_or(""))
    }
}

/// The identity of a valid key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyIdentity {
    /// The organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// The key's public ID.
    pub key: KeyId,
}

/// Why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The token is not of the form `ID.SECRET`.
    #[error("the key is not of the form ID.SECRET")]
    Malformed,
    /// The key ID is unknown, the key has been withdrawn, or the secret is wrong.
    #[error("the key is unknown or withdrawn")]
    Unknown,
    /// The configuration is older than the organisation allows for its keys.
    #[error("the configuration is too old to trust the key")]
    ConfigTooOld,
}

impl From<KeyError> for Refusal {
    fn from(e: KeyError) -> Self {
        let code = match e {
            KeyError::Malformed | KeyError::Unknown => Code::BadKey,
            KeyError::ConfigTooOld => Code::NotReady,
        };
        Self::not_run(code, e.to_string())
    }
}

/// Checks a bearer token. The hashes are compared in constant time.
///
/// `config_age` is the time since the configuration was last known to be the newest.
///
/// # Errors
///
/// If the token is malformed, the key ID is unknown, the key has been withdrawn, the secret is
/// wrong, or the configuration is older than the organisation allows.
pub fn check_key(
    snapshot: &Snapshot,
    config_age: Duration,
    bearer: &BearerToken,
) -> Result<KeyIdentity, KeyError> {
    let id = KeyId::from(bearer.key_id().ok_or(KeyError::Malformed)?);
    let known = snapshot.merged.keys.get(&id);
    let expected = known.map_or(DUMMY_HASH, |k| k.hash.as_str());
    let hash_matches = bool::from(bearer.hash().as_bytes().ct_eq(expected.as_bytes()));
    let key = known.filter(|_| hash_matches).ok_or(KeyError::Unknown)?;
    check_age(snapshot, config_age, key)?;
    Ok(KeyIdentity {
        organisation: key.organisation.clone(),
        key: id,
    })
}

/// Checks that the API key of an admitted request is still valid. A caller of this function checks,
/// for example, a request that has waited in a queue before the request is sent to a target.
///
/// # Errors
///
/// If the key has been withdrawn or given to another organisation, or the configuration is older
/// than the organisation allows.
pub fn recheck_key(
    snapshot: &Snapshot,
    config_age: Duration,
    organisation: &OrganisationId,
    key: &KeyId,
) -> Result<(), KeyError> {
    let known = snapshot.merged.keys.get(key).ok_or(KeyError::Unknown)?;
    if known.organisation != *organisation {
        return Err(KeyError::Unknown);
    }
    check_age(snapshot, config_age, known)
}

fn check_age(snapshot: &Snapshot, config_age: Duration, key: &Key) -> Result<(), KeyError> {
    let organisation = snapshot
        .merged
        .organisations
        .get(&key.organisation)
        .ok_or(KeyError::Unknown)?;
    match organisation.max_config_age() {
        Some(max_age) if config_age > max_age => Err(KeyError::ConfigTooOld),
        _ => Ok(()),
    }
}
