//! Asks a target something about itself, beside the requests that it runs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::Gateway;
use super::dialect::TargetHeaders;
use super::upstream::Connection;
use crate::id::TargetId;

/// Timeout of a question, with the body of the answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the body of an answer, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 64 * 1024;

impl Gateway {
    /// Sends a question to a target, and reads the answer by `read`.
    ///
    /// # Errors
    ///
    /// If the target cannot be asked, does not answer in time, or `read` fails.
    pub(super) async fn ask_target<T>(
        &self,
        target: &TargetId,
        address: SocketAddr,
        path: &str,
        read: impl AsyncFnOnce(Connection, Response<Incoming>) -> Result<T, String>,
    ) -> Result<T, String> {
        let asked = async {
            let mut req = Request::new(Full::new(Bytes::new()));
            *req.uri_mut() = path.parse().map_err(|_| "the path is malformed")?;
            self.dialect.add_target_headers(
                req.headers_mut(),
                &TargetHeaders {
                    target,
                    organisation: None,
                    time_left: TIMEOUT,
                    priority: 0,
                    resume_after: None,
                },
            );
            // The answer has no id, so on a kept connection it might be that to an earlier request.
            let connection = self.upstream().connection(address, true).await;
            let mut connection = connection.map_err(|e| e.to_string())?;
            let response = connection.send(req).await.map_err(|e| e.to_string())?;
            if !response.status().is_success() {
                return Err(format!("status {}", response.status()));
            }
            read(connection, response).await
        };
        let answer = timeout(TIMEOUT, asked).await;
        answer.unwrap_or_else(|_| Err("timed out".to_owned()))
    }
}
