//! Selects the instances that watch the store and the peers to request the configuration from.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::id::{InstanceId, RegionId};
use crate::member::{Fleet, Health, Member};

/// How many instances of each region watch the store.
pub const WATCHERS_PER_REGION: usize = 3;

/// Returns whether `me` is one of the watchers of its region.
///
/// Every instance ranks the live instances by a hash of their ids, so that instances with the same
/// view of the fleet select the same watchers and the loss of a watcher replaces only that watcher.
pub fn is_watcher(fleet: &Fleet, region: &RegionId, me: &InstanceId) -> bool {
    let own_rank = rank(me);
    let mut lower_ranked = 0;
    for member in fleet.live_members(region) {
        if member.id != *me && rank(&member.id) < own_rank {
            lower_ranked += 1;
        }
    }
    lower_ranked < WATCHERS_PER_REGION
}

/// Returns the addresses of the watchers of a region, without `me`.
pub fn watchers(fleet: &Fleet, region: &RegionId, me: &InstanceId) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Member> = fleet.live_members(region).collect();
    ranked.sort_by_key(|m| rank(&m.id));
    ranked.truncate(WATCHERS_PER_REGION);
    let mut found = Vec::with_capacity(ranked.len());
    for member in ranked {
        if member.id != *me {
            found.push(member.peer);
        }
    }
    found
}

/// Returns the addresses of the instances of a region that are not dead, without `me`.
pub fn region_peers(fleet: &Fleet, region: &RegionId, me: &InstanceId) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    for member in &fleet.members {
        if member.region == *region && member.id != *me && member.health != Health::Dead {
            found.push(member.peer);
        }
    }
    found
}

/// Returns the addresses of all instances that are not dead, without `me`.
pub fn all_peers(fleet: &Fleet, me: &InstanceId) -> Vec<SocketAddr> {
    let mut found = Vec::with_capacity(fleet.members.len());
    for member in &fleet.members {
        if member.id != *me && member.health != Health::Dead {
            found.push(member.peer);
        }
    }
    found
}

fn rank(id: &InstanceId) -> [u8; 32] {
    Sha256::digest(id.as_str()).into()
}
