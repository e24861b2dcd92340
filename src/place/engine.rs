//! Sends orders to model engines over HTTP.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use reqwest::StatusCode;
use reqwest::header::CONTENT_TYPE;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::lease::DELIVERY_TIMEOUT;
use super::{EngineClient, LeaseCheck, Order, OrderError};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout for an order, of which a load takes the longest.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// The timeout for listing the models of an engine.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP client for model engines.
#[derive(Debug)]
pub struct HttpEngineClient {
    client: reqwest::Client,
}

#[derive(Debug, Serialize)]
struct LoadRequest<'a> {
    model: &'a str,
    version: &'a str,
    fencing: u64,
}

#[derive(Debug, Serialize)]
struct AdapterRequest<'a> {
    lora_name: &'a str,
    fencing: u64,
}

#[derive(Debug, Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Debug, Deserialize)]
struct ModelEntry {
    id: SmolStr,
}

impl HttpEngineClient {
    /// Creates a client that connects from the source address, if one is given.
    ///
    /// The kernel drops data that a target has not acknowledged within [`DELIVERY_TIMEOUT`], even
    /// while this process is paused.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(source: Option<IpAddr>) -> Result<Self, OrderError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(LOAD_TIMEOUT)
            .pool_max_idle_per_host(0)
            .tcp_user_timeout(DELIVERY_TIMEOUT)
            .local_address(source)
            .build()
            .map_err(|e| OrderError::NotReached(e.to_string()))?;
        Ok(Self { client })
    }
}

#[async_trait]
impl EngineClient for HttpEngineClient {
    async fn send_order(
        &self,
        address: SocketAddr,
        order: &Order,
        fencing: u64,
        lease_check: LeaseCheck,
    ) -> Result<(), OrderError> {
        let (path, body) = encode_order(order, fencing)?;
        // The body is requested once the connection is open, so the lease is checked immediately
        // before the order is sent.
        let body = futures_util::stream::once(async move {
            if lease_check() {
                return Ok(body);
            }
            Err(OrderError::LeaseTooShort)
        });
        let sent = self
            .client
            .post(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(reqwest::Body::wrap_stream(body))
            .send()
            .await;
        match sent {
            Ok(res) if res.status().is_success() => Ok(()),
            Ok(res) if res.status() == StatusCode::CONFLICT => Err(OrderError::Fenced),
            Ok(res) => Err(OrderError::Refused(res.status().as_u16())),
            Err(e) if e.is_connect() => Err(OrderError::NotReached(e.to_string())),
            Err(e) => Err(lease_check_error(&e).unwrap_or(OrderError::Unknown(e.to_string()))),
        }
    }

    async fn loaded_names(&self, address: SocketAddr) -> Result<Vec<SmolStr>, OrderError> {
        let res = self
            .client
            .get(format!("http://{address}/v1/models"))
            .timeout(LIST_TIMEOUT)
            .send()
            .await
            .map_err(|e| OrderError::Unknown(e.to_string()))?;
        if !res.status().is_success() {
            return Err(OrderError::Refused(res.status().as_u16()));
        }
        let list: ModelList = res
            .json()
            .await
            .map_err(|e| OrderError::Unknown(e.to_string()))?;
        Ok(list.data.into_iter().map(|n| n.id).collect())
    }
}

fn encode_order(order: &Order, fencing: u64) -> Result<(&'static str, Bytes), OrderError> {
    let (path, body) = match order {
        Order::Load { model, version } => {
            let model = model.as_str();
            let request = LoadRequest {
                model,
                version,
                fencing,
            };
            ("/load_model", serde_json::to_vec(&request))
        }
        Order::AddAdapter(lora_name) => {
            let request = AdapterRequest { lora_name, fencing };
            ("/v1/load_lora_adapter", serde_json::to_vec(&request))
        }
        Order::RemoveAdapter(lora_name) => {
            let request = AdapterRequest { lora_name, fencing };
            ("/v1/unload_lora_adapter", serde_json::to_vec(&request))
        }
    };
    let body = body.map_err(|e| OrderError::NotReached(e.to_string()))?;
    Ok((path, Bytes::from(body)))
}

/// Returns `LeaseTooShort` if the error was caused by the lease check of the request body.
fn lease_check_error(e: &reqwest::Error) -> Option<OrderError> {
    let mut cause = std::error::Error::source(e);
    while let Some(inner) = cause {
        if let Some(OrderError::LeaseTooShort) = inner.downcast_ref() {
            return Some(OrderError::LeaseTooShort);
        }
        cause = inner.source();
    }
    None
}
