//! Constructors for the components of an instance.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::{Base, KernelError};
use crate::admin::AdminParts;
use crate::attempt::{BuildError, Dispatcher};
use crate::config::spread::{self, Spread};
use crate::entries;
use crate::front::ConfigAge;
use crate::limit;
use crate::member::{self, Health, Member, Membership};
use crate::place;
use crate::place::engine::HttpEngineClient;
use crate::platform::WeightStore;
use crate::platform::http::{self, HttpDirectory, HttpList, HttpWeights};
use crate::report::Reporter;

/// Age reported for a configuration that has never been known to be the newest.
const AGE_IF_NEVER_CURRENT: Duration = Duration::MAX;

pub(super) fn membership(base: &Base) -> Result<Membership, KernelError> {
    let list = HttpList::at(platform_client(base)?, base.settings.platform.list.clone());
    Ok(member::builder(own_member(base), Arc::new(list))
        .clock(base.clock)
        .peers(Arc::clone(&base.peers))
        .start())
}

pub(super) fn platform_client(base: &Base) -> Result<reqwest::Client, KernelError> {
    http::client(base.settings.instance.source).map_err(|e| KernelError::Other(e.to_string()))
}

/// Returns the membership entry of this instance, with the addresses that it advertises.
pub(crate) fn own_member(base: &Base) -> Member {
    let instance = &base.settings.instance;
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
    base: &Base,
    membership: &Membership,
    spread: &Spread,
) -> Result<watch::Receiver<place::Status>, KernelError> {
    let instance = &base.settings.instance;
    let engine =
        HttpEngineClient::new(instance.source).map_err(|e| KernelError::Other(e.to_string()))?;
    let client = platform_client(base)?;
    let weights = base.settings.platform.weights.clone();
    Ok(place::holder::spawn_holder(place::holder::HolderDeps {
        id: instance.id.clone(),
        region: instance.region.clone(),
        clock: base.clock,
        snapshot: spread.snapshots(),
        fleet: membership.fleet(),
        store: Arc::clone(&base.store),
        weights: weights
            .map(|address| Arc::new(HttpWeights::at(client, address)) as Arc<dyn WeightStore>),
        engine: Arc::new(engine),
    }))
}

/// Starts publishing the region's entries to the client directory, if one is configured.
///
/// Publishing ends with the membership.
pub(super) fn directory(base: &Base, membership: &Membership) -> Result<(), KernelError> {
    let Some(address) = &base.settings.platform.directory else {
        return Ok(());
    };
    let directory = HttpDirectory::at(platform_client(base)?, address.clone());
    tokio::spawn(entries::publish(
        own_member(base),
        membership.fleet(),
        Arc::new(directory),
        base.clock,
    ));
    Ok(())
}

pub(super) fn spread(base: &Base, membership: &Membership) -> Spread {
    spread::start(spread::Parts {
        store: Arc::clone(&base.store),
        peers: Arc::clone(&base.peers),
        fleet: membership.fleet(),
        me: base.settings.instance.id.clone(),
        region: base.settings.instance.region.clone(),
        clock: base.clock,
        seed: rand::random(),
    })
}

pub(super) fn limits(
    base: &Base,
    membership: &Membership,
    spread: &Spread,
) -> Result<limit::Started, KernelError> {
    let deps = limit::LimiterDeps {
        id: base.settings.instance.id.clone(),
        region: base.settings.instance.region.clone(),
        clock: base.clock,
        snapshot: spread.snapshots(),
        fleet: membership.fleet(),
        peers: Arc::clone(&base.peers),
        store: Arc::clone(&base.store),
    };
    limit::start(&base.settings.policy.limit, deps).map_err(|e| KernelError::Unknown {
        section: "policy",
        key: "limit",
        message: e.to_string(),
    })
}

pub(super) fn config_age(spread: &Spread) -> ConfigAge {
    let freshness = spread.freshness();
    Arc::new(move || freshness.age().unwrap_or(AGE_IF_NEVER_CURRENT))
}

pub(super) fn dispatcher(
    base: &Base,
    membership: &Membership,
    spread: &Spread,
) -> Result<Arc<Dispatcher>, KernelError> {
    let instance = &base.settings.instance;
    Dispatcher::builder(
        instance.id.clone(),
        instance.region.clone(),
        Arc::clone(&base.peers),
        Arc::clone(&base.store),
    )
    .clock(base.clock)
    .fleet(membership.fleet())
    .snapshot(spread.snapshots(), config_age(spread))
    .policy(&base.settings.policy)
    .source(instance.source)
    .quarantine_time(base.settings.policy.quarantine_time())
    .start()
    .map_err(|e| {
        let key = match e {
            BuildError::UnknownRoutePolicy(_) => "route",
            BuildError::UnknownAttemptPolicy(_) => "attempt",
        };
        KernelError::Unknown {
            section: "policy",
            key,
            message: e.to_string(),
        }
    })
}

pub(super) fn reporter(base: &Base, membership: &Membership, spread: &Spread) -> Reporter {
    Reporter::start(
        base.settings.instance.id.clone(),
        spread.snapshots(),
        membership.fleet(),
        Arc::clone(&base.peers),
    )
}

pub(super) fn admin_parts(base: &Base, membership: &Membership, spread: &Spread) -> AdminParts {
    let metrics = base.metrics.clone();
    AdminParts::new(
        base.settings.instance.id.clone(),
        Arc::clone(&base.store),
        spread.clone(),
        membership.fleet(),
    )
    .root_hash(base.settings.admin.root_hash.clone())
    .metrics(Arc::new(move || metrics.render()))
}
