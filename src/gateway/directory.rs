//! The directory, which tells clients which instances to use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::Gateway;
use super::callers::{ResponseBody, full_body};
use super::dialect::DirectoryQuery;
use super::listen::Handler;
use crate::id::RegionId;
use crate::member::{Fleet, Health, Member};

/// Maximum number of addresses in one response.
const MAX_ENTRIES: usize = 64;

/// How long a client may use instances of other regions that stand in for those of its own.
const STAND_IN_TTL: Duration = Duration::from_millis(500);

/// If a data centre has fewer instances than this, instances of its region are added, so that a
/// client has an alternative when one fails.
const MIN_ENTRIES: usize = 2;

/// Returns the addresses of the instances that a client should use, nearest first.
///
/// If the client's region has no live instance, instances in `home_regions` take precedence
/// over others, because requests of routes with home regions must not run elsewhere.
pub fn directory_entries(
    fleet: &Fleet,
    query: &DirectoryQuery,
    home_regions: &[RegionId],
) -> Vec<SocketAddr> {
    let mut entries: Vec<SocketAddr> = Vec::new();
    let in_data_centre = |m: &Member| m.data_centre == query.data_centre;
    let in_region = |m: &Member| m.region.as_str() == query.region;
    let in_homes = |m: &Member| home_regions.contains(&m.region);
    let anywhere = |_: &Member| true;
    let tiers: [&dyn Fn(&Member) -> bool; 4] = [&in_data_centre, &in_region, &in_homes, &anywhere];
    for (i, tier) in tiers.into_iter().enumerate() {
        // Instances of other regions are returned only if the client's region has none.
        let min_entries = if i >= 2 { 1 } else { MIN_ENTRIES };
        if entries.len() >= min_entries {
            break;
        }
        for member in &fleet.members {
            if member.health == Health::Live
                && tier(member)
                && !entries.contains(&member.front)
                && entries.len() < MAX_ENTRIES
            {
                entries.push(member.front);
            }
        }
    }
    entries
}

/// Returns how long a client may use a response of the directory.
///
/// Instances of other regions stand in while the client's region has none, for example in a rolling
/// restart; the client soon asks again, so that it returns as soon as its region has one.
pub fn directory_ttl(
    fleet: &Fleet,
    query: &DirectoryQuery,
    entries: &[SocketAddr],
    ttl: Duration,
) -> Duration {
    let is_local = |m: &Member| m.region.as_str() == query.region && entries.contains(&m.front);
    if fleet.members.iter().any(is_local) {
        return ttl;
    }
    ttl.min(STAND_IN_TTL)
}

/// Handles the platform's readiness probe and clients' directory queries.
pub(super) struct PlatformHandler(pub Arc<Gateway>);

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let gateway = &self.0;
        let path = req.uri().path();
        if path == gateway.dialect.ready_path() {
            let status = if gateway.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return text_response(status, "");
        }
        let query_string = req.uri().query().unwrap_or_default();
        let Some(query) = gateway.dialect.read_directory_query(path, query_string) else {
            return text_response(StatusCode::NOT_FOUND, "");
        };
        let Some(table) = gateway.view().route_table.clone() else {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
        };
        let entries = directory_entries(
            &gateway.fleet(),
            &query,
            &table.home_regions_of_host(&query.host),
        );
        if entries.is_empty() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let ttl = gateway.reloadable_settings().directory_ttl;
        let ttl = directory_ttl(&gateway.fleet(), &query, &entries, ttl);
        let mut response = Response::new(full_body(
            gateway.dialect.write_directory_response(&entries, ttl),
        ));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
