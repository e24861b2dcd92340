//! JSON encoding of etcd's gateway: base64, integers as strings, errors and stream lines.

use axum::Json;
use axum::body::Bytes;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

static NULL: Value = Value::Null;

/// Returns a field by its protobuf name or by that name in camel case; null if absent.
pub(super) fn field<'a>(v: &'a Value, name: &str) -> &'a Value {
    if let Some(found) = v.get(name) {
        return found;
    }
    let mut camel = String::new();
    let mut upper = false;
    for c in name.chars() {
        if c == '_' {
            upper = true;
            continue;
        }
        camel.push(if upper { c.to_ascii_uppercase() } else { c });
        upper = false;
    }
    v.get(&camel).unwrap_or(&NULL)
}

/// Reads an integer, encoded as a number or a string; 0 if absent or malformed.
pub(super) fn int(v: &Value, name: &str) -> i64 {
    let v = field(v, name);
    v.as_i64()
        .or_else(|| v.as_str().and_then(|s| s.parse().ok()))
        .unwrap_or(0)
}

/// Decodes a base64 field; empty if absent or malformed.
pub(super) fn bytes(v: &Value, name: &str) -> Vec<u8> {
    let text = field(v, name).as_str().unwrap_or("");
    STANDARD.decode(text).unwrap_or_default()
}

/// Encodes bytes as base64.
pub(super) fn base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Encodes one line of a stream.
pub(super) fn line(result: &Value) -> Bytes {
    let mut text = json!({ "result": result }).to_string();
    text.push('\n');
    Bytes::from(text)
}

/// Builds the gateway's error response for a gRPC status code.
pub(super) fn error(code: u16, message: &str) -> Response {
    let status = match code {
        3 | 9 | 11 => StatusCode::BAD_REQUEST,
        5 => StatusCode::NOT_FOUND,
        14 => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let body = json!({ "error": message, "code": code, "message": message });
    (status, Json(body)).into_response()
}
