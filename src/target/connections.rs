//! HTTP connections to targets, pooled per address so that the connections to one address can be
//! closed.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::Client;
use reqwest::redirect::Policy;

use super::TargetAddress;
use crate::call::Call;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Number of pooled clients at which all pooled clients are dropped before another address is
/// added.
const MAX_POOLED_CLIENTS: usize = 16_384;

/// HTTP clients, pooled by address.
#[derive(Debug)]
pub(crate) struct Connections {
    source: Option<IpAddr>,
    pooled: Mutex<HashMap<SocketAddr, Client>>,
    unpooled: Client,
}

impl Connections {
    /// Creates a pool whose connections are bound to the address `source`, if given.
    pub(crate) fn from_source(source: Option<IpAddr>) -> Self {
        Self {
            source,
            pooled: Mutex::new(HashMap::new()),
            unpooled: client(source, 0),
        }
    }

    /// Returns the source address to which connections are bound, if any.
    pub(crate) fn source(&self) -> Option<IpAddr> {
        self.source
    }

    /// Returns the client that reuses connections to the address.
    pub(crate) fn pooled(&self, to: SocketAddr) -> Client {
        let mut pooled = self.lock();
        if pooled.len() >= MAX_POOLED_CLIENTS && !pooled.contains_key(&to) {
            pooled.clear();
        }
        pooled
            .entry(to)
            .or_insert_with(|| client(self.source, MAX_IDLE_PER_ADDRESS))
            .clone()
    }

    /// Returns the client for a request; a request that must not be repeated gets a new connection.
    pub(crate) fn for_call(&self, to: &TargetAddress, call: &Call) -> Client {
        if call.repeatable {
            return self.pooled(to.address);
        }
        self.unpooled()
    }

    /// Returns the client that opens a new connection for each request.
    pub(crate) fn unpooled(&self) -> Client {
        self.unpooled.clone()
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Client>> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn client(source: Option<IpAddr>, max_idle: usize) -> Client {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .tcp_nodelay(true)
        .local_address(source)
        .build()
        .expect("building a client without TLS or proxies cannot fail")
}
