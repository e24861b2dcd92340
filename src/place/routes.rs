//! The progress of placements on the admin API.

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use tokio::sync::watch;

use super::Status;

/// Answers `GET /v1/placement` with the placement status of this instance. The fencing token is
/// present only if this instance holds the lease on its region's targets.
pub fn router(status: watch::Receiver<Status>) -> Router {
    Router::new()
        .route("/v1/placement", get(placement))
        .with_state(status)
}

async fn placement(State(status): State<watch::Receiver<Status>>) -> Json<Status> {
    Json(status.borrow().clone())
}
