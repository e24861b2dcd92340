//! Parses and validates the request headers that callers may set.

use std::time::Duration;

use http::{HeaderMap, HeaderName};

use crate::id::RegionId;
use crate::key::BearerToken;
use crate::refusal::{Code, Refusal};

/// Upper bound for `limpetstand-deadline-ms`; longer deadlines are shortened to this bound.
const MAX_DEADLINE: Duration = Duration::from_secs(60 * 60);

/// Upper bound for the length of `idempotency-key`.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Upper bound for the number of regions in `limpetstand-residency`.
const MAX_REGIONS: usize = 64;

/// The name of this gateway in the `CDN-Loop` header (RFC 8586).
pub const CDN_LOOP_ID: &str = "limpetstand";

/// Options of a request, from its headers.
#[derive(Debug, Default)]
pub struct RequestOptions {
    /// The bearer credential, if any.
    pub bearer: Option<BearerToken>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the caller forbids running the request a second time.
    pub not_repeatable: bool,
    /// The only regions in which the caller allows the request to run.
    pub residency: Option<Vec<RegionId>>,
    /// The time after which the caller no longer needs an answer.
    pub deadline: Option<Duration>,
    /// The priority among the requests of the organisation; a greater value is more urgent.
    pub priority: Option<u8>,
}

impl RequestOptions {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// A refusal `bad_request` if a value is invalid, or `loop` if the request has already passed
    /// through this gateway.
    pub fn parse(headers: &HeaderMap) -> Result<Self, Refusal> {
        reject_loop(headers)?;
        Ok(Self {
            bearer: bearer(headers)?,
            idempotency_key: idempotency_key(headers)?,
            not_repeatable: not_repeatable(headers)?,
            residency: residency(headers)?,
            deadline: deadline(headers)?,
            priority: priority(headers)?,
        })
    }
}

fn reject_loop(headers: &HeaderMap) -> Result<(), Refusal> {
    for value in headers.get_all("cdn-loop") {
        let Ok(text) = value.to_str() else {
            return Err(invalid_header("cdn-loop", "visible ASCII text"));
        };
        for cdn in text.split(',') {
            let name = cdn.split(';').next().unwrap_or_default().trim();
            if name.eq_ignore_ascii_case(CDN_LOOP_ID) {
                return Err(Refusal::not_run(
                    Code::Loop,
                    "the request has already passed through this gateway",
                ));
            }
        }
    }
    Ok(())
}

fn bearer(headers: &HeaderMap) -> Result<Option<BearerToken>, Refusal> {
    let Some(text) = single(headers, &http::header::AUTHORIZATION)? else {
        return Ok(None);
    };
    match BearerToken::from_header(text) {
        Some(bearer) => Ok(Some(bearer)),
        None => Err(Refusal::not_run(
            Code::BadKey,
            "header `authorization` must contain a bearer key",
        )),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let name = HeaderName::from_static("idempotency-key");
    let Some(text) = single(headers, &name)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(invalid_header("idempotency-key", "1 to 255 characters"));
    }
    Ok(Some(text.to_owned()))
}

fn not_repeatable(headers: &HeaderMap) -> Result<bool, Refusal> {
    let name = HeaderName::from_static("limpetstand-repeatable");
    match single(headers, &name)? {
        None | Some("yes") => Ok(false),
        Some("no") => Ok(true),
        Some(_) => Err(invalid_header("limpetstand-repeatable", "`yes` or `no`")),
    }
}

fn residency(headers: &HeaderMap) -> Result<Option<Vec<RegionId>>, Refusal> {
    let name = HeaderName::from_static("limpetstand-residency");
    let Some(text) = single(headers, &name)? else {
        return Ok(None);
    };
    let mut regions = Vec::new();
    for region in text.split(',') {
        let region = region.trim();
        if region.is_empty() || regions.len() == MAX_REGIONS {
            return Err(invalid_header(
                "limpetstand-residency",
                "a comma-separated list of 1 to 64 regions",
            ));
        }
        regions.push(RegionId::from(region));
    }
    Ok(Some(regions))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let name = HeaderName::from_static("limpetstand-deadline-ms");
    let Some(text) = single(headers, &name)? else {
        return Ok(None);
    };
    let ms: u64 = text
        .parse()
        .map_err(|_| invalid_header("limpetstand-deadline-ms", "a number of milliseconds"))?;
    if ms == 0 {
        return Err(invalid_header(
            "limpetstand-deadline-ms",
            "a number greater than 0",
        ));
    }
    Ok(Some(Duration::from_millis(ms).min(MAX_DEADLINE)))
}

fn priority(headers: &HeaderMap) -> Result<Option<u8>, Refusal> {
    let name = HeaderName::from_static("limpetstand-priority");
    let Some(text) = single(headers, &name)? else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| invalid_header("limpetstand-priority", "a number from 0 to 255"))
}

/// Returns the value of a header that may occur only once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid_header(name.as_str(), "at most one value"));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| invalid_header(name.as_str(), "visible ASCII text"))
}

fn invalid_header(header: &str, expected: &str) -> Refusal {
    Refusal::not_run(
        Code::BadRequest,
        format!("invalid header `{header}`: expected {expected}"),
    )
}
