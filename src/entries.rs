//! The instances that callers should use: the answer to `GET /v1/entries`, and the entries of the
//! client directory.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::id::{InstanceId, RegionId};
use crate::member::{Fleet, Health, Member};
use crate::platform::{Directory, DirectoryEntry};

/// Time for which callers may use an answer to `GET /v1/entries` before they ask again.
const ANSWER_VALIDITY: Duration = Duration::from_secs(5);

/// The weight of a live instance of the caller's region.
const FULL_WEIGHT: u32 = 100;

/// Number of instances of a region that publish the region's entries in the client directory.
const PUBLISHERS_PER_REGION: usize = 2;

/// Interval at which a publisher checks whether the entries of its region have changed.
const PUBLISH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a publisher writes unchanged entries to the client directory again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// The answer to `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntriesAnswer {
    entries: Vec<Entry>,
    valid_ms: u64,
}

impl EntriesAnswer {
    /// Returns the instances that the caller should use, best first.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the time for which callers may use the listed instances before they ask again.
    pub fn valid_for(&self) -> Duration {
        Duration::from_millis(self.valid_ms)
    }
}

/// An instance that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The instance's address for callers, as `ip:port`.
    pub address: String,
    /// The instance's region.
    pub region: RegionId,
    /// The instance's share of the callers, relative to the other entries; 0 if callers should use
    /// the instance only when all other entries fail.
    pub weight: u32,
}

/// Returns the instances for a caller of `region` that asks instance `own`, best first.
///
/// Instances of the caller's region come before others, and within a region those of the data
/// centre of `own` come first. Leaving and dead instances are left out; suspect instances come
/// last, with weight 0. The order of equally ranked instances depends on `seed`, so that callers
/// are spread over them.
pub fn entries_for(fleet: &Fleet, own: &InstanceId, region: &RegionId, seed: u64) -> EntriesAnswer {
    let data_centre = fleet
        .members
        .iter()
        .find(|m| m.id == *own)
        .map(|m| &m.data_centre);
    let mut ranked = Vec::with_capacity(fleet.members.len());
    for member in &fleet.members {
        if !matches!(member.health, Health::Live | Health::Suspect) {
            continue;
        }
        let rank = (
            member.health != Health::Live,
            member.region != *region,
            Some(&member.data_centre) != data_centre,
            score(&seed.to_le_bytes(), &member.id),
        );
        ranked.push((rank, member));
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let mut entries = Vec::with_capacity(ranked.len());
    for ((suspect, other_region, ..), member) in ranked {
        entries.push(Entry {
            address: member.front.to_string(),
            region: member.region.clone(),
            weight: if suspect || other_region {
                0
            } else {
                FULL_WEIGHT
            },
        });
    }
    EntriesAnswer {
        entries,
        valid_ms: u64::try_from(ANSWER_VALIDITY.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the directory entries of a region: its live instances, or its suspect instances if none
/// is live.
pub fn directory_entries(fleet: &Fleet, region: &RegionId) -> Vec<DirectoryEntry> {
    for health in [Health::Live, Health::Suspect] {
        let mut entries = Vec::new();
        for member in &fleet.members {
            if member.region != *region || member.health != health {
                continue;
            }
            entries.push(DirectoryEntry {
                front: member.front,
                region: region.clone(),
                weight: FULL_WEIGHT,
            });
        }
        if !entries.is_empty() {
            entries.sort_by_key(|e| e.front);
            return entries;
        }
    }
    Vec::new()
}

/// Returns whether rendezvous hashing assigns `task` to instance `own`, among the `count` instances
/// chosen in its region.
///
/// Instances with different views of the fleet may choose more than `count` instances, so running
/// the task more than once must be harmless.
pub fn is_task_holder(fleet: &Fleet, own: &InstanceId, task: &str, count: usize) -> bool {
    let Some(own_member) = fleet.members.iter().find(|m| m.id == *own) else {
        return false;
    };
    if own_member.health != Health::Live {
        return false;
    }
    let own_score = score(task.as_bytes(), own);
    let mut higher = 0;
    for member in fleet.live_members(&own_member.region) {
        if score(task.as_bytes(), &member.id) > own_score {
            higher += 1;
        }
    }
    higher < count
}

/// Publishes the entries of the region of `own` in the client directory while `own` is one of the
/// chosen publishers.
///
/// Returns when the channel of the fleet is closed.
pub async fn publish(
    own: Member,
    fleet: watch::Receiver<Arc<Fleet>>,
    directory: Arc<dyn Directory>,
    clock: Clock,
) {
    let mut ticks = interval(PUBLISH_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last: Option<(Duration, Vec<DirectoryEntry>)> = None;
    while fleet.has_changed().is_ok() {
        ticks.tick().await;
        let current = Arc::clone(&fleet.borrow());
        if !is_task_holder(&current, &own.id, "directory", PUBLISHERS_PER_REGION) {
            last = None;
            continue;
        }
        let entries = directory_entries(&current, &own.region);
        let now = clock.now();
        let is_up_to_date = last.as_ref().is_some_and(|(at, published)| {
            *published == entries && now.saturating_sub(*at) < REFRESH_INTERVAL
        });
        if is_up_to_date || entries.is_empty() {
            continue;
        }
        match directory.publish(&own.region, &entries).await {
            Ok(()) => last = Some((now, entries)),
            Err(_) => metrics::counter!("limpetstand_directory_failures_total").increment(1),
        }
    }
}

fn score(salt: &[u8], id: &InstanceId) -> u64 {
    let mut hash = Sha256::new();
    hash.update(salt);
    hash.update([0]);
    hash.update(id.as_str().as_bytes());
    let digest = hash.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}
