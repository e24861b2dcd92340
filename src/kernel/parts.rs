//! Constructors for the components of an instance.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::{KernelError, SharedServices};
use crate::admin::AdminParts;
use crate::attempt::{BuildError, Dispatcher};
use crate::config::ConfigAge;
use crate::config::distribution::{self, ConfigDistribution};
use crate::departure::Departure;
use crate::entries;
use crate::limit::{self, tolerance::Tolerance};
use crate::member::{self, Health, Member, Membership};
use crate::place;
use crate::place::engine::HttpEngineClient;
use crate::platform::WeightStore;
use crate::platform::http::{self, HttpDirectory, HttpList, HttpWeights};
use crate::report::Reporter;

/// Age reported for a configuration that has never been known to be the newest.
const AGE_IF_NEVER_CURRENT: Duration = Duration::MAX;

pub(super) fn membership(services: &SharedServices) -> Result<Membership, KernelError> {
    let list = HttpList::new(
        platform_client(services)?,
        services.settings.platform.list.clone(),
    );
    Ok(member::builder(own_member(services), Arc::new(list))
        .clock(services.clock)
        .peers(Arc::clone(&services.peers))
        .start())
}

pub(super) fn platform_client(services: &SharedServices) -> Result<reqwest::Client, KernelError> {
    http::new_client(services.settings.instance.source)
        .map_err(|e| KernelError::Other(e.to_string()))
}

/// Returns the membership entry of this instance, with the addresses that it advertises.
pub(crate) fn own_member(services: &SharedServices) -> Member {
    let instance = &services.settings.instance;
    Member {
        id: instance.id.clone(),
        incarnation: 0,
        front: instance.advertise_front.unwrap_or(instance.front),
        peer: instance.advertise_peer.unwrap_or(instance.peer),
        region: instance.region.clone(),
        data_centre: instance.data_centre.clone(),
        health: Health::Live,
    }
}

/// Starts placement: this instance competes for the lease on the region's targets.
pub(super) fn placement(
    services: &SharedServices,
    membership: &Membership,
    distribution: &ConfigDistribution,
) -> Result<watch::Receiver<place::Status>, KernelError> {
    let instance = &services.settings.instance;
    let engine =
        HttpEngineClient::new(instance.source).map_err(|e| KernelError::Other(e.to_string()))?;
    let client = platform_client(services)?;
    let weights = services.settings.platform.weights.clone();
    Ok(place::holder::spawn_holder(place::holder::HolderDeps {
        id: instance.id.clone(),
        region: instance.region.clone(),
        clock: services.clock,
        snapshot: distribution.snapshots(),
        fleet: membership.fleet(),
        store: Arc::clone(&services.store),
        weights: weights
            .map(|address| Arc::new(HttpWeights::new(client, address)) as Arc<dyn WeightStore>),
        engine: Arc::new(engine),
    }))
}

/// Starts publishing the region's entries to the client directory, if one is configured.
///
/// Publishing ends with the membership.
pub(super) fn directory(
    services: &SharedServices,
    membership: &Membership,
) -> Result<(), KernelError> {
    let Some(address) = &services.settings.platform.directory else {
        return Ok(());
    };
    let directory = HttpDirectory::new(platform_client(services)?, address.clone());
    tokio::spawn(entries::publish(
        own_member(services),
        membership.fleet(),
        Arc::new(directory),
        services.clock,
    ));
    Ok(())
}

pub(super) fn distribution(
    services: &SharedServices,
    membership: &Membership,
) -> ConfigDistribution {
    distribution::start(distribution::DistributionDeps {
        store: Arc::clone(&services.store),
        peers: Arc::clone(&services.peers),
        fleet: membership.fleet(),
        me: services.settings.instance.id.clone(),
        region: services.settings.instance.region.clone(),
        clock: services.clock,
        seed: rand::random(),
    })
}

pub(super) fn limits(
    services: &SharedServices,
    membership: &Membership,
    distribution: &ConfigDistribution,
) -> Result<limit::Started, KernelError> {
    let deps = limit::LimiterDeps {
        id: services.settings.instance.id.clone(),
        region: services.settings.instance.region.clone(),
        clock: services.clock,
        snapshot: distribution.snapshots(),
        fleet: membership.fleet(),
        peers: Arc::clone(&services.peers),
        store: Arc::clone(&services.store),
        tolerance: Arc::new(|| Tolerance::NONE),
    };
    limit::start(&services.settings.policy.limit, deps).map_err(|e| KernelError::UnknownPlugin {
        section: "policy",
        key: "limit",
        message: e.to_string(),
    })
}

pub(super) fn config_age(distribution: &ConfigDistribution) -> ConfigAge {
    let freshness = distribution.freshness();
    Arc::new(move || freshness.age().unwrap_or(AGE_IF_NEVER_CURRENT))
}

pub(super) fn dispatcher(
    services: &SharedServices,
    membership: &Membership,
    distribution: &ConfigDistribution,
    departure: &watch::Sender<Departure>,
) -> Result<Arc<Dispatcher>, KernelError> {
    let instance = &services.settings.instance;
    Dispatcher::builder(
        instance.id.clone(),
        instance.region.clone(),
        Arc::clone(&services.peers),
        Arc::clone(&services.store),
    )
    .clock(services.clock)
    .fleet(membership.fleet())
    .snapshot(distribution.snapshots(), config_age(distribution))
    .departure(departure.subscribe())
    .policy(&services.settings.policy)
    .source(instance.source)
    .quarantine_time(services.settings.policy.quarantine_time())
    .start()
    .map_err(|e| {
        let key = match e {
            BuildError::UnknownRoutePolicy(_) => "route",
            BuildError::UnknownAttemptPolicy(_) => "attempt",
        };
        KernelError::UnknownPlugin {
            section: "policy",
            key,
            message: e.to_string(),
        }
    })
}

pub(super) fn reporter(
    services: &SharedServices,
    membership: &Membership,
    distribution: &ConfigDistribution,
) -> Reporter {
    Reporter::start(
        services.settings.instance.id.clone(),
        distribution.snapshots(),
        membership.fleet(),
        Arc::clone(&services.peers),
    )
}

pub(super) fn admin_parts(
    services: &SharedServices,
    membership: &Membership,
    distribution: &ConfigDistribution,
) -> AdminParts {
    let metrics = services.metrics.clone();
    AdminParts::new(
        services.settings.instance.id.clone(),
        Arc::clone(&services.store),
        distribution.clone(),
        membership.fleet(),
    )
    .root_hash(services.settings.admin.root_hash.clone())
    .metrics(Arc::new(move || metrics.render()))
}
