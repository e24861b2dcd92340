//! The route table, which gives each request its route, service and allowed regions.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id::{OrganisationId, RegionId, RouteId};

/// How often a route's requests may run, and whether the responses are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Each request runs at most once.
    Once,
    /// Responses are streams of events; each request runs at most once.
    Stream,
    /// Responses are streams of events that another target can resume after the last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request of this kind may be sent again when the earlier attempt may have
    /// run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A route, selected by host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: RouteId,
    /// The host of the route's requests, without a port.
    pub host: SmolStr,
    /// The path prefix of the route's requests; begins and ends with a slash.
    pub prefix: SmolStr,
    /// How often requests may run, and whether responses are streams.
    pub kind: RouteKind,
    /// The services that the route's requests are split over, with their weights.
    pub services: Vec<(SmolStr, u32)>,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency objective: the time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub allow_anonymous: bool,
    /// The regions that may serve the route; empty means all regions.
    pub home_regions: Vec<RegionId>,
}

/// A service: a set of interchangeable targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// How long a target stays cold after its start.
    pub warmup: Duration,
    /// Requests per second that a cold target can take; 0 means that targets have no cold phase.
    pub warmup_per_s: f64,
    /// The path at which a target says whether it is sound and warm, if it does.
    pub health_path: Option<SmolStr>,
}

/// The unit in which requests count against an organisation's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Each request costs 1.
    Requests,
    /// A request costs its prompt tokens plus the maximum number of tokens that it may generate.
    Tokens {
        /// Cost of a request that states no token counts.
        default_cost: u64,
    },
}

/// The priority, limits and regions that operators assign to an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationPolicy {
    /// The organisation's priority, which takes precedence over the priority of the route.
    pub priority: Option<u8>,
    /// Units per second over the whole fleet; 0 means no limit.
    pub rate: u64,
    /// Units that may be used at once after an idle period.
    pub burst: u64,
    /// The unit in which the organisation's requests are counted.
    pub unit: Unit,
    /// The regions that may serve the organisation; empty means all regions.
    pub home_regions: Vec<RegionId>,
}

/// Size and time limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request's head to the last byte of the head.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection between requests, and maximum pause within a body.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Index of a route in a [`RouteTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteIndex(usize);

/// The routing configuration at one version.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteTable {
    /// The version that operators assign; a greater version is newer.
    pub version: u64,
    routes: Vec<Route>,
    by_host: HashMap<SmolStr, Vec<RouteIndex>>,
    /// Services by name.
    pub services: HashMap<SmolStr, Service>,
    /// Organisations by name.
    pub organisations: HashMap<OrganisationId, OrganisationPolicy>,
    /// The organisation of each API key.
    pub organisation_by_key: HashMap<SmolStr, OrganisationId>,
    /// Whether requests need API keys, except on routes that are open.
    pub requires_api_key: bool,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table of the given routes.
    pub fn new(version: u64, routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<RouteIndex>> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            let host = SmolStr::from(route.host.to_ascii_lowercase());
            by_host.entry(host).or_default().push(RouteIndex(i));
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[index.0].prefix.len()));
        }
        Self {
            version,
            routes,
            by_host,
            ..Self::default()
        }
    }

    /// Finds the route of `host`, which may include a port, with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indices = match self.by_host.get(host) {
            Some(indices) => indices,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        for index in indices {
            if path.starts_with(self.routes[index.0].prefix.as_str()) {
                return Some(*index);
            }
        }
        None
    }

    /// Returns the regions that the most routes of a host list as home regions.
    pub fn home_regions_of_host(&self, host: &str) -> Vec<RegionId> {
        let mut counts: HashMap<&RegionId, usize> = HashMap::new();
        for index in self.by_host.get(host).into_iter().flatten() {
            for region in &self.routes[index.0].home_regions {
                *counts.entry(region).or_default() += 1;
            }
        }
        let max_count = counts.values().copied().max().unwrap_or(0);
        let mut home_regions = Vec::new();
        for (region, count) in counts {
            if count == max_count {
                home_regions.push(region.clone());
            }
        }
        home_regions
    }

    /// Returns a route.
    pub fn route(&self, index: RouteIndex) -> &Route {
        &self.routes[index.0]
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number from 0 up to but not including 1.
    pub fn service(&self, draw: f64) -> Option<&SmolStr> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (name, weight) in &self.services {
            if remaining < f64::from(*weight) {
                return Some(name);
            }
            remaining -= f64::from(*weight);
        }
        None
    }

    /// Returns the route's service, if all its requests go to one.
    pub fn only_service(&self) -> Option<&SmolStr> {
        let mut weighted = self.services.iter().filter(|(_, weight)| *weight > 0);
        match (weighted.next(), weighted.next()) {
            (Some((name, _)), None) => Some(name),
            _ => None,
        }
    }

    /// Tells whether requests of the route may go to a service.
    pub fn allows_service(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|(name, weight)| name == service && *weight > 0)
    }
}

/// Returns whether a list of home regions allows a region; an empty list allows all regions.
pub fn allows_region(home_regions: &[RegionId], region: &RegionId) -> bool {
    home_regions.is_empty() || home_regions.contains(region)
}

impl OrganisationPolicy {
    /// Returns the cost of a request. `usage` holds the prompt tokens and the maximum number of
    /// tokens that the request may generate.
    pub fn cost(&self, usage: Option<(u64, u64)>) -> u64 {
        match (self.unit, usage) {
            (Unit::Requests, _) => 1,
            (Unit::Tokens { .. }, Some((prompt, max_generated))) => {
                prompt.saturating_add(max_generated)
            }
            (Unit::Tokens { default_cost }, None) => default_cost,
        }
    }
}
