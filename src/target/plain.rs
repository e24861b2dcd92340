//! Client for plain HTTP services.

use std::net::IpAddr;
use std::sync::Arc;

use async_trait::async_trait;
use reqwest::{Method, StatusCode};

use super::answer_match::MissingId;
use super::connections::Connections;
use super::{Load, Target, TargetAddress, TargetError, TargetPlugin, http};
use crate::call::{Answer, Call, Operation};
use crate::id::RequestId;

/// Maximum number of chunks of one response buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 8;

inventory::submit!(TargetPlugin {
    name: "plain",
    make: |source| Arc::new(Plain::from_source(source)),
});

/// Client for plain HTTP services.
#[derive(Debug)]
struct Plain {
    connections: Connections,
}

impl Plain {
    fn from_source(source: Option<IpAddr>) -> Self {
        Self {
            connections: Connections::from_source(source),
        }
    }
}

#[async_trait]
impl Target for Plain {
    async fn send(
        &self,
        to: &TargetAddress,
        attempt: RequestId,
        call: &Call,
    ) -> Result<Answer, TargetError> {
        let Operation::Service {
            method,
            path,
            content_type,
        } = &call.operation
        else {
            return Err(TargetError::NotSent(
                "a plain service cannot run a model request".to_owned(),
            ));
        };
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let url = http::url(to, path)?;
        let mut req = self
            .connections
            .for_call(to, call)
            .request(method, url)
            .headers(http::headers(attempt, call))
            .body(call.body.clone());
        if let Some(content_type) = content_type {
            req = req.header("content-type", content_type);
        }
        let res = req.send().await.map_err(|e| http::classify_error(&e))?;
        http::check_request_id(&res, attempt, MissingId::Accept)?;
        check_available(res.status(), call.repeatable)?;
        http::check_framing(&res)?;
        let head = http::head(&res, to);
        Ok(http::answer(head, MAX_BUFFERED_CHUNKS, |tx| {
            http::forward_body(res, tx)
        }))
    }

    async fn load(&self, _to: &TargetAddress) -> Option<Load> {
        None
    }

    async fn probe(&self, to: &TargetAddress) -> bool {
        http::accepts_connections(self.connections.source(), to).await
    }

    fn close_idle(&self, to: &TargetAddress) {
        self.connections.close_idle(to.address);
    }
}

/// Returns an error if a repeatable request received status 503, so that another target is tried.
///
/// Any other response comes from the service and is passed to the caller.
fn check_available(status: StatusCode, repeatable: bool) -> Result<(), TargetError> {
    if repeatable && status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(TargetError::Failed(status.as_u16()));
    }
    Ok(())
}
