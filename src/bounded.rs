//! Reading of HTTP responses of bounded size.

use bytes::{Bytes, BytesMut};
use reqwest::Response;

/// Why the body of a response could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// The body is larger than the limit, or has no end.
    #[error("response exceeds {0} bytes")]
    TooLarge(usize),
    /// The body broke off, or did not end in time.
    #[error(transparent)]
    Transport(#[from] reqwest::Error),
}

/// Reads the body of a response of at most `max_bytes`.
///
/// # Errors
///
/// If the body is larger or breaks off.
pub(crate) async fn read_body(mut res: Response, max_bytes: usize) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = res.chunk().await? {
        if body.len() + chunk.len() > max_bytes {
            return Err(ReadError::TooLarge(max_bytes));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
