//! The operators' HTTP interface.
//!
//! Reading or changing the configuration tree requires an operator's token. The fleet status, the
//! wait for a revision and the metrics are open to every client that reaches the address.

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware;
use axum::routing::{get, post, put};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::config::commit::Committer;
use crate::config::distribution::ConfigDistribution;
use crate::config::tree::MAX_DOCUMENT_BYTES;
use crate::id::InstanceId;
use crate::member::Fleet;
use crate::request_body;
use crate::store::Store;

mod answer;
mod documents;
mod fleet;
mod history;
mod token;
pub mod wire;

/// Renders the metrics in the text format of `/metrics`.
pub type RenderMetrics = Arc<dyn Fn() -> String + Send + Sync>;

/// The dependencies of the operators' interface.
pub struct AdminParts {
    store: Arc<dyn Store>,
    distribution: ConfigDistribution,
    fleet: watch::Receiver<Arc<Fleet>>,
    me: InstanceId,
    root_hash: Option<SmolStr>,
    metrics: RenderMetrics,
}

impl AdminParts {
    /// Creates the parts for the instance `me`, without a root token and without metrics.
    pub fn new(
        me: InstanceId,
        store: Arc<dyn Store>,
        distribution: ConfigDistribution,
        fleet: watch::Receiver<Arc<Fleet>>,
    ) -> Self {
        Self {
            store,
            distribution,
            fleet,
            me,
            root_hash: None,
            metrics: Arc::new(String::new),
        }
    }

    /// Sets the SHA-256 hash, in hexadecimal, of the root token, which may change the whole tree.
    #[must_use]
    pub fn root_hash(mut self, hash: Option<SmolStr>) -> Self {
        self.root_hash = hash;
        self
    }

    /// Sets the function that renders the metrics.
    #[must_use]
    pub fn metrics(mut self, render: RenderMetrics) -> Self {
        self.metrics = render;
        self
    }
}

/// The state shared by all handlers.
struct AdminState {
    store: Arc<dyn Store>,
    committer: Committer,
    distribution: ConfigDistribution,
    fleet: watch::Receiver<Arc<Fleet>>,
    me: InstanceId,
    root_hash: Option<SmolStr>,
    metrics: RenderMetrics,
}

/// Creates the router of the operators' interface.
pub fn router(parts: AdminParts) -> Router {
    let state = Arc::new(AdminState {
        committer: Committer::new(
            Arc::clone(&parts.store),
            parts.distribution.loaded(),
            rand::random(),
        ),
        store: parts.store,
        distribution: parts.distribution,
        fleet: parts.fleet,
        me: parts.me,
        root_hash: parts.root_hash,
        metrics: parts.metrics,
    });
    let document = put(documents::put)
        .get(documents::get)
        .delete(documents::delete);
    Router::new()
        .route("/v1/config/documents/{*path}", document)
        .route("/v1/config", get(history::head))
        .route("/v1/config/log", get(history::log))
        .route("/v1/config/diff", get(history::diff))
        .route("/v1/config/rollback", post(history::rollback))
        .route("/v1/config/wait", get(fleet::wait))
        .route("/v1/status", get(fleet::status))
        .route("/metrics", get(fleet::metrics))
        .layer(DefaultBodyLimit::max(MAX_DOCUMENT_BYTES))
        .layer(middleware::from_fn(|req, next| {
            request_body::limit_body(MAX_DOCUMENT_BYTES, req, next)
        }))
        .with_state(state)
}
