//! HTTP clients of the platform: instance list, client directory and weight store.

use std::net::IpAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use reqwest::StatusCode;
use reqwest::header::{ETAG, HeaderMap, HeaderValue, IF_NONE_MATCH, RETRY_AFTER};

use super::wire;
use super::{
    Directory, DirectoryEntry, InstanceList, Listing, LoadResponse, PlatformError, WeightStore,
};
use crate::id::{ModelId, RegionId};

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of the instance list.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Delay before a retry if the weight store sends no valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Creates an HTTP client for calls to the platform. If `source` is given, the client opens its
/// connections from this local IP address.
///
/// # Errors
///
/// If the HTTP client cannot be built.
pub fn new_client(source: Option<IpAddr>) -> Result<reqwest::Client, PlatformError> {
    reqwest::Client::builder()
        .no_proxy()
        .timeout(CALL_TIMEOUT)
        .local_address(source)
        .build()
        .map_err(PlatformError::from)
}

impl From<reqwest::Error> for PlatformError {
    fn from(e: reqwest::Error) -> Self {
        Self(e.to_string())
    }
}

/// The list of instances and targets, as Prometheus HTTP service discovery JSON.
#[derive(Debug)]
pub struct HttpList {
    client: reqwest::Client,
    address: String,
    cached: Mutex<Option<(HeaderValue, Listing)>>,
}

impl HttpList {
    /// Creates a client of the list at the URL `address`.
    pub fn new(client: reqwest::Client, address: impl Into<String>) -> Self {
        Self {
            client,
            address: address.into(),
            cached: Mutex::new(None),
        }
    }

    fn cached(&self) -> Option<(HeaderValue, Listing)> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.clone()
    }

    fn cache(&self, headers: &HeaderMap, listing: &Listing) {
        let new_entry = headers.get(ETAG).map(|tag| (tag.clone(), listing.clone()));
        *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = new_entry;
    }
}

#[async_trait]
impl InstanceList for HttpList {
    async fn read(&self) -> Result<Listing, PlatformError> {
        let cached = self.cached();
        let mut req = self.client.get(&self.address);
        if let Some((tag, _)) = &cached {
            req = req.header(IF_NONE_MATCH, tag);
        }
        metrics::counter!("limpetstand_list_reads_total").increment(1);
        let res = req.send().await?;
        if res.status() == StatusCode::NOT_MODIFIED {
            let listing = cached.map(|(_, listing)| listing);
            return listing.ok_or_else(|| {
                PlatformError("list: status 304 to an unconditional request".to_owned())
            });
        }
        if res.status() != StatusCode::OK {
            return Err(PlatformError(format!("list: status {}", res.status())));
        }
        let headers = res.headers().clone();
        let text = read_bounded(res).await?;
        let (listing, skipped) =
            wire::parse_list(&text).map_err(|e| PlatformError(format!("list: {e}")))?;
        metrics::gauge!("limpetstand_list_lines_passed_over").set(skipped as f64);
        self.cache(&headers, &listing);
        Ok(listing)
    }
}

async fn read_bounded(res: reqwest::Response) -> Result<Vec<u8>, PlatformError> {
    let mut text = Vec::new();
    let mut body = res.bytes_stream();
    while let Some(chunk) = body.next().await {
        let chunk = chunk?;
        if text.len() + chunk.len() > MAX_LIST_BYTES {
            return Err(PlatformError("list: longer than 16 MiB".to_owned()));
        }
        text.extend_from_slice(&chunk);
    }
    Ok(text)
}

/// The client directory: `PUT ADDRESS/REGION` replaces a region's entries.
#[derive(Debug)]
pub struct HttpDirectory {
    client: reqwest::Client,
    address: String,
}

impl HttpDirectory {
    /// Creates a client of the directory at the URL `address`.
    pub fn new(client: reqwest::Client, address: impl Into<String>) -> Self {
        Self {
            client,
            address: address.into(),
        }
    }
}

#[async_trait]
impl Directory for HttpDirectory {
    async fn publish(
        &self,
        region: &RegionId,
        entries: &[DirectoryEntry],
    ) -> Result<(), PlatformError> {
        let address = format!("{}/{region}", self.address);
        let groups = wire::directory_groups(region, entries);
        metrics::counter!("limpetstand_directory_writes_total").increment(1);
        let res = self.client.put(address).json(&groups).send().await?;
        if !res.status().is_success() {
            return Err(PlatformError(format!("directory: status {}", res.status())));
        }
        Ok(())
    }
}

/// The weight store: `GET ADDRESS/MODEL/VERSION`.
#[derive(Debug)]
pub struct HttpWeights {
    client: reqwest::Client,
    address: String,
}

impl HttpWeights {
    /// Creates a client of the weight store at the URL `address`.
    pub fn new(client: reqwest::Client, address: impl Into<String>) -> Self {
        Self {
            client,
            address: address.into(),
        }
    }
}

#[async_trait]
impl WeightStore for HttpWeights {
    async fn request_load(
        &self,
        model: &ModelId,
        version: &str,
    ) -> Result<LoadResponse, PlatformError> {
        let address = format!("{}/{model}/{version}", self.address);
        metrics::counter!("limpetstand_weight_reads_total").increment(1);
        let res = self.client.get(address).send().await?;
        match res.status() {
            StatusCode::OK => Ok(LoadResponse::Ready),
            StatusCode::NOT_FOUND => Ok(LoadResponse::Unknown),
            StatusCode::TOO_MANY_REQUESTS => {
                Ok(LoadResponse::RateLimited(retry_after(res.headers())))
            }
            status => Err(PlatformError(format!("weights: status {status}"))),
        }
    }
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers
        .get(RETRY_AFTER)
        .and_then(|v| v.to_str().ok())
        .and_then(|s| s.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
