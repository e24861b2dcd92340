//! The routes of the report on the operators' HTTP interface.

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};

use super::{BurnReport, Reporter};

/// Creates the routes `/v1/report/burn` (JSON) and, with the feature `plots`,
/// `/v1/report/burn.html`.
pub fn router(reporter: Reporter) -> Router {
    let router = Router::new().route("/v1/report/burn", get(burn));
    #[cfg(feature = "plots")]
    let router = router.route("/v1/report/burn.html", get(page));
    router.with_state(reporter)
}

async fn burn(State(reporter): State<Reporter>) -> Json<BurnReport> {
    Json(reporter.burn().await)
}

#[cfg(feature = "plots")]
async fn page(State(reporter): State<Reporter>) -> axum::response::Html<String> {
    axum::response::Html(super::page::render(&reporter).await)
}
