//! HTTP client shared by the store plug-ins.

use std::net::IpAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use reqwest::{Client, Method, RequestBuilder, Response};

use super::{StoreError, StoreOptions};
use crate::bounded::{self, ReadError};

/// The connect time-out is the call time-out divided by this number.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// Maximum size of a response. The largest are lists of entries, of less than 1 MiB each.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// An HTTP client of one store address, which discards its connections after a time-out.
pub struct StoreClient {
    /// Replaced when a call times out after connecting, because every pooled connection of the old
    /// client may be dead too.
    client: Mutex<Client>,
    source: Option<IpAddr>,
    address: String,
    timeout: Duration,
    pool_idle_timeout: Duration,
}

impl StoreClient {
    /// Creates a client that closes a pooled connection after `pool_idle_timeout` without use.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] if the HTTP client cannot be built.
    pub fn new(options: &StoreOptions, pool_idle_timeout: Duration) -> Result<Self, StoreError> {
        Ok(Self {
            client: Mutex::new(client(options.timeout, options.source, pool_idle_timeout)?),
            source: options.source,
            address: options.address.trim_end_matches('/').to_owned(),
            timeout: options.timeout,
            pool_idle_timeout,
        })
    }

    /// Returns the time-out of one call.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Builds a request to a path with the configured time-out.
    pub fn call(&self, method: Method, path: &str) -> RequestBuilder {
        self.call_without_timeout(method, path)
            .timeout(self.timeout)
    }

    /// Builds a request to a path without a time-out; the caller must set one.
    pub fn call_without_timeout(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.address);
        self.client().request(method, url)
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// See [`StoreClient::transport_error`].
    pub async fn send(&self, req: RequestBuilder) -> Result<Response, StoreError> {
        req.send().await.map_err(|e| self.transport_error(&e))
    }

    /// Converts a transport error to a store error; discards all connections after a
    /// time-out on an open connection.
    pub fn transport_error(&self, e: &reqwest::Error) -> StoreError {
        if e.is_timeout()
            && !e.is_connect()
            && let Ok(new_client) = client(self.timeout, self.source, self.pool_idle_timeout)
        {
            *self.client() = new_client;
        }
        from_reqwest(e)
    }

    /// Reads the body of a response.
    ///
    /// # Errors
    ///
    /// [`StoreError::ResponseLost`] if the body exceeds 8 MiB or breaks off.
    pub async fn read_body(&self, response: Response) -> Result<Bytes, StoreError> {
        match bounded::read_body(response, MAX_RESPONSE_BYTES).await {
            Ok(body) => Ok(body),
            Err(ReadError::Transport(e)) => Err(self.transport_error(&e)),
            Err(e) => Err(StoreError::ResponseLost(e.to_string())),
        }
    }

    fn client(&self) -> MutexGuard<'_, Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts a transport error to a store error that tells whether the store may have received the
/// call.
pub fn from_reqwest(e: &reqwest::Error) -> StoreError {
    if e.is_connect() || e.is_builder() {
        return StoreError::Unreachable(e.to_string());
    }
    StoreError::ResponseLost(e.to_string())
}

fn client(
    timeout: Duration,
    source: Option<IpAddr>,
    pool_idle_timeout: Duration,
) -> Result<Client, StoreError> {
    Client::builder()
        .connect_timeout(timeout / CONNECT_TIMEOUT_DIVISOR)
        .pool_idle_timeout(pool_idle_timeout)
        .local_address(source)
        .no_proxy()
        .build()
        .map_err(|e| StoreError::Refused(e.to_string()))
}
