//! Tells clients which instances to use.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::Gateway;
use super::callers::{ResponseBody, full_body};
use super::dialect::WhichInstances;
use super::listen::Handler;
use crate::id::RegionId;
use crate::member::{Fleet, Health, Member};

/// The most addresses of one answer.
const MAX_ENTRIES: usize = 64;

/// Fewer instances than this in a data centre are joined by those of the region, so that a client
/// has another one to turn to.
const MIN_ENTRIES: usize = 2;

/// Returns the instances that a client should use, nearest first.
///
/// Where its region has none, those of the regions in `homes` go first, since requests of homed
/// routes must not be sent elsewhere.
pub fn entries(fleet: &Fleet, asked: &WhichInstances, homes: &[RegionId]) -> Vec<SocketAddr> {
    let mut entries: Vec<SocketAddr> = Vec::new();
    let near = |m: &Member| m.data_centre == asked.data_centre;
    let region = |m: &Member| m.region.as_str() == asked.region;
    let home = |m: &Member| homes.contains(&m.region);
    let anywhere = |_: &Member| true;
    let rings: [&dyn Fn(&Member) -> bool; 4] = [&near, &region, &home, &anywhere];
    for (i, ring) in rings.into_iter().enumerate() {
        // Other regions serve only a region without any instance.
        let enough = if i >= 2 { 1 } else { MIN_ENTRIES };
        if entries.len() >= enough {
            break;
        }
        for member in &fleet.members {
            if member.health == Health::Live
                && ring(member)
                && !entries.contains(&member.front)
                && entries.len() < MAX_ENTRIES
            {
                entries.push(member.front);
            }
        }
    }
    entries
}

/// Answers the platform's readiness probe and clients' questions.
pub(super) struct Platform(pub Arc<Gateway>);

#[async_trait]
impl Handler for Platform {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let gateway = &self.0;
        let path = req.uri().path();
        if path == gateway.dialect.ready_path() {
            let status = if gateway.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return plain(status, "");
        }
        let query = req.uri().query().unwrap_or_default();
        let Some(asked) = gateway.dialect.read_question(path, query) else {
            return plain(StatusCode::NOT_FOUND, "");
        };
        let Some(table) = gateway.world().table.clone() else {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "");
        };
        let entries = entries(&gateway.fleet(), &asked, &table.homes_of(&asked.host));
        if entries.is_empty() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let ttl = gateway.bounds().directory_ttl;
        let mut response = Response::new(full_body(gateway.dialect.write_entries(&entries, ttl)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
