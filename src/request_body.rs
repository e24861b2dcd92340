//! Reads request bodies with a size limit.

use axum::body::Body;
use axum::extract::Request;
use axum::middleware::Next;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

/// Bytes beyond the limit that are read and discarded.
///
/// A sender whose connection is closed while it is still sending may never receive the refusal.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// Reads a body and returns at most its first `limit + 1` bytes.
///
/// A result longer than `limit` means that the body is too long.
///
/// # Errors
///
/// If the body ends prematurely or cannot be read.
pub async fn read_bounded(body: Body, limit: usize) -> Result<Bytes, axum::Error> {
    let mut chunks = body.into_data_stream();
    let mut kept = BytesMut::new();
    let mut received = 0_usize;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        received = received.saturating_add(chunk.len());
        let room = (limit + 1).saturating_sub(kept.len());
        kept.extend_from_slice(&chunk[..chunk.len().min(room)]);
        if received > limit.saturating_add(MAX_DISCARDED_BYTES) {
            break;
        }
    }
    Ok(kept.freeze())
}

/// Middleware that reads the request body and truncates it after `limit + 1` bytes.
///
/// If the body cannot be read, the next handler receives a body that yields the error.
pub async fn limit_body(limit: usize, req: Request, next: Next) -> Response {
    let (parts, body) = req.into_parts();
    let body = match read_bounded(body, limit).await {
        Ok(bytes) => Body::from(bytes),
        Err(e) => Body::from_stream(futures_util::stream::iter([Err::<Bytes, _>(e)])),
    };
    next.run(Request::from_parts(parts, body)).await
}
