//! Decides at which software version a stream goes on that its caller takes up again.
//!
//! What two versions of the targets' software write does not fit together, and targets do not check
//! it. The instance that passes on a stream's first event records the version that wrote it. While
//! targets of several versions serve, a few other instances keep copies of the record, as callers
//! take up streams whose instance is gone. A stream without a record goes on only if the service has
//! had a single version for as long as a stream may last.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::id::{InstanceId, RegionId};
use crate::member::{Fleet, Member};
use crate::rendezvous::weight;

/// Maximum number of streams that are remembered; beyond it the oldest are forgotten.
const MAX_STREAMS: usize = 65_536;

/// Longest id of a stream that is remembered. Callers choose the ids, whose number is bounded too.
const MAX_ID_BYTES: usize = 256;

/// Number of instances of the own region that keep a copy of a record.
const KEEPERS_IN_REGION: usize = 2;

/// Number of instances of each other region that keep a copy, in case the own region is lost.
const KEEPERS_ELSEWHERE: usize = 1;

/// Number of further keepers in a region that are asked, as one of the first may have passed on the
/// stream itself, or may be gone.
const SPARE_KEEPERS: usize = 1;

/// What began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The service whose target wrote the first event.
    pub service: SmolStr,
    /// The version of that target's software.
    pub software_version: SmolStr,
}

/// What one instance knows of a stream that is taken up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Testimony {
    /// The stream's origin, if the instance has a record of it.
    pub origin: Option<Origin>,
    /// The software versions that the service has lately had.
    pub versions: Vec<SmolStr>,
    /// Whether `versions` covers all the time in which the stream may have begun.
    pub covers_memory: bool,
}

/// The software versions that services have lately had, as one instance has seen them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    /// The time until `versions` covers all the time in which a stream may have begun.
    pub complete_in: Duration,
    /// Service, version, and for how long the last target of the version has been gone; `None` while
    /// there is one.
    pub versions: Vec<(SmolStr, SmolStr, Option<Duration>)>,
}

#[derive(Debug, Clone)]
struct Record {
    origin: Origin,
    expires_at: Duration,
    /// Whether this instance has passed on the stream's first event.
    is_own: bool,
}

/// The origins of streams, and the software versions of services, as one instance knows them.
#[derive(Debug)]
pub struct StreamOrigins {
    memory: Duration,
    /// The time from which `versions` covers all the time in which a stream may have begun.
    covers_at: Duration,
    records: HashMap<SmolStr, Record>,
    /// The streams in the order in which their records expire.
    expiries: VecDeque<(Duration, SmolStr)>,
    /// When the last target of each version of a service went; `None` while there is one.
    versions: HashMap<SmolStr, BTreeMap<SmolStr, Option<Duration>>>,
    /// The services whose records other instances keep too.
    copied_services: BTreeSet<SmolStr>,
    is_first_start: bool,
    /// Since when the instance has followed the registry without a gap.
    followed_since: Option<Duration>,
    /// Whether the instance gets news of the registry.
    is_in_touch: bool,
}

impl StreamOrigins {
    /// Creates the memory of an instance that starts now. `memory` is the longest time for which
    /// callers take up a stream after its first event. `is_first_start` tells that the whole fleet
    /// starts for the first time, so that no stream has begun before.
    pub fn new(now: Duration, memory: Duration, is_first_start: bool) -> Self {
        let covers_at = if is_first_start { now } else { now + memory };
        Self {
            memory,
            covers_at,
            records: HashMap::new(),
            expiries: VecDeque::new(),
            versions: HashMap::new(),
            copied_services: BTreeSet::new(),
            is_first_start,
            followed_since: None,
            is_in_touch: true,
        }
    }

    /// Sets since when the instance has followed the registry without a gap, and whether it gets news
    /// of the registry now.
    ///
    /// A version may have come and left in a gap, and its streams may still be taken up.
    pub fn set_followed(&mut self, since: Option<Duration>, is_in_touch: bool) {
        self.is_in_touch = is_in_touch;
        let Some(since) = since.filter(|since| self.followed_since != Some(*since)) else {
            return;
        };
        let is_first = self.followed_since.replace(since).is_none();
        if !(is_first && self.is_first_start) {
            self.covers_at = self.covers_at.max(since + self.memory);
        }
    }

    /// Takes over which software versions the targets of each service run now, given as pairs of
    /// service and version.
    pub fn update_versions<'a>(
        &mut self,
        now: Duration,
        running: impl IntoIterator<Item = (&'a SmolStr, &'a SmolStr)>,
    ) {
        let running: BTreeSet<(&SmolStr, &SmolStr)> = running.into_iter().collect();
        for (service, versions) in &mut self.versions {
            for (version, gone_at) in versions {
                if !running.contains(&(service, version)) {
                    gone_at.get_or_insert(now);
                }
            }
        }
        for (service, version) in running {
            let versions = self.versions.entry(service.clone()).or_default();
            versions.insert(version.clone(), None);
        }
    }

    /// Returns which software versions services have lately had.
    pub fn history(&self, now: Duration) -> History {
        let mut versions = Vec::new();
        for (service, seen) in &self.versions {
            for (version, gone_at) in seen {
                let gone_for = gone_at.map(|at| now.saturating_sub(at));
                if gone_for.is_none_or(|gone_for| gone_for < self.memory) {
                    versions.push((service.clone(), version.clone(), gone_for));
                }
            }
        }
        History {
            complete_in: self.covers_at.saturating_sub(now),
            versions,
        }
    }

    /// Adds the history of another instance, which had all news up to `as_of`.
    pub fn inherit(&mut self, now: Duration, as_of: Duration, history: &History) {
        for (service, version, gone_for) in &history.versions {
            let gone_at = now.saturating_sub(gone_for.unwrap_or_default());
            self.add_version(gone_at, service, version);
        }
        // What came and left between the other's news and the begin of the own news is known to neither.
        if self.followed_since.is_none_or(|since| as_of >= since) {
            self.covers_at = self.covers_at.min(now + history.complete_in);
        }
    }

    /// Adds a version that a target has, or has had shortly before.
    pub fn hear_version(&mut self, now: Duration, service: &SmolStr, version: &SmolStr) {
        self.add_version(now, service, version);
    }

    /// Adds a version that a target had at `seen_at`.
    fn add_version(&mut self, seen_at: Duration, service: &SmolStr, version: &SmolStr) {
        let versions = self.versions.entry(service.clone()).or_default();
        let gone_at = versions.entry(version.clone()).or_insert(Some(seen_at));
        if let Some(gone_at) = gone_at {
            *gone_at = seen_at.max(*gone_at);
        }
    }

    /// Records that the first event of a stream has been passed on. Returns whether other instances
    /// should keep a copy.
    pub fn record(&mut self, now: Duration, stream: &SmolStr, origin: &Origin) -> bool {
        self.insert(now, stream, origin, true);
        stream.len() <= MAX_ID_BYTES && self.is_copied(now, &origin.service)
    }

    /// Keeps a copy of another instance's record.
    pub fn record_copy(&mut self, now: Duration, stream: &SmolStr, origin: &Origin) {
        let is_own = self.records.get(stream).is_some_and(|r| r.is_own);
        self.insert(now, stream, origin, is_own);
    }

    fn insert(&mut self, now: Duration, stream: &SmolStr, origin: &Origin, is_own: bool) {
        if stream.len() > MAX_ID_BYTES {
            return;
        }
        // The registry may not have told this instance of the version yet.
        self.add_version(now, &origin.service, &origin.software_version);
        let expires_at = now + self.memory;
        let record = Record {
            origin: origin.clone(),
            expires_at,
            is_own,
        };
        self.records.insert(stream.clone(), record);
        self.expiries.push_back((expires_at, stream.clone()));
        while self.expiries.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((expires_at, stream)) = self.expiries.pop_front() else {
            return;
        };
        let is_latest = |record: &Record| record.expires_at == expires_at;
        if self.records.get(&stream).is_some_and(is_latest) {
            self.records.remove(&stream);
        }
    }

    /// Forgets the streams that callers do not take up any more, and versions that no such stream
    /// can have begun at.
    pub fn expire(&mut self, now: Duration) {
        while let Some((expires_at, _)) = self.expiries.front()
            && *expires_at <= now
        {
            self.forget_oldest();
        }
        for versions in self.versions.values_mut() {
            versions.retain(|_, gone_at| gone_at.is_none_or(|at| at + self.memory > now));
        }
        self.versions.retain(|_, versions| !versions.is_empty());
    }

    /// Returns what this instance knows of a stream, and of the versions of the service that would
    /// serve it.
    pub fn testimony(
        &self,
        now: Duration,
        stream: &SmolStr,
        service: Option<&SmolStr>,
    ) -> Testimony {
        let record = self.records.get(stream).filter(|r| r.expires_at > now);
        Testimony {
            origin: record.map(|r| r.origin.clone()),
            versions: service.map_or_else(Vec::new, |service| self.versions_of(now, service)),
            covers_memory: self.covers_memory(now),
        }
    }

    /// Returns the own records that other instances should have copies of and may not have had
    /// before, as a service has got a second version.
    pub fn take_uncopied(&mut self, now: Duration) -> Vec<(SmolStr, Origin)> {
        let services: Vec<SmolStr> = self.versions.keys().cloned().collect();
        let copied = services.into_iter().filter(|s| self.is_copied(now, s));
        let copied: BTreeSet<SmolStr> = copied.collect();
        let before = std::mem::replace(&mut self.copied_services, copied);
        self.own_records(now, |service| {
            self.copied_services.contains(service) && !before.contains(service)
        })
    }

    /// Returns the own records that other instances should have copies of.
    pub fn copied(&self, now: Duration) -> Vec<(SmolStr, Origin)> {
        self.own_records(now, |service| self.is_copied(now, service))
    }

    fn own_records(
        &self,
        now: Duration,
        of_service: impl Fn(&SmolStr) -> bool,
    ) -> Vec<(SmolStr, Origin)> {
        let mut own = Vec::new();
        for (stream, record) in &self.records {
            if record.is_own && record.expires_at > now && of_service(&record.origin.service) {
                own.push((stream.clone(), record.origin.clone()));
            }
        }
        own
    }

    /// Tells whether other instances may need the record of a stream of the service: it may have begun
    /// at one of several versions, or nobody may be able to tell that there is only one.
    fn is_copied(&self, now: Duration, service: &SmolStr) -> bool {
        !self.is_in_touch || !self.covers_memory(now) || self.versions_of(now, service).len() > 1
    }

    /// Tells whether all versions are known at which a stream may have begun.
    pub fn covers_memory(&self, now: Duration) -> bool {
        now >= self.covers_at
    }

    fn versions_of(&self, now: Duration, service: &SmolStr) -> Vec<SmolStr> {
        let mut recent = Vec::new();
        for (version, gone_at) in self.versions.get(service).into_iter().flatten() {
            if gone_at.is_none_or(|at| at + self.memory > now) {
                recent.push(version.clone());
            }
        }
        recent
    }
}

/// Returns the origin of a stream that goes on at `service`, from what instances know; `None` if the
/// stream may have begun at another version than any that could be named.
pub fn find_origin(service: Option<&SmolStr>, testimonies: &[Testimony]) -> Option<Origin> {
    if let Some(origin) = testimonies.iter().find_map(|t| t.origin.clone()) {
        return Some(origin);
    }
    let mut versions: Vec<&SmolStr> = testimonies.iter().flat_map(|t| &t.versions).collect();
    versions.sort_unstable();
    versions.dedup();
    let [version] = versions[..] else {
        return None;
    };
    if !testimonies.iter().any(|t| t.covers_memory) {
        return None;
    }
    Some(Origin {
        service: service?.clone(),
        software_version: version.clone(),
    })
}

/// Chooses the instances that keep copies of a stream's record.
///
/// All instances with the same view of the fleet choose alike, whichever of them passes on the
/// stream, so a record is found without asking all.
#[derive(Debug, Clone, Copy)]
pub struct Keepers<'a> {
    /// The id of the stream.
    pub stream: &'a str,
    /// The instance that chooses, which is none of its own keepers.
    pub own_id: &'a InstanceId,
    /// The region of that instance.
    pub own_region: &'a RegionId,
    /// The fleet as that instance sees it.
    pub fleet: &'a Fleet,
}

impl<'a> Keepers<'a> {
    /// Returns the instances that are told of a stream whose first event this instance passes on.
    pub fn to_tell(&self) -> Vec<&'a Member> {
        let mut told = self.first_of(self.own_region, KEEPERS_IN_REGION);
        for region in self.other_regions() {
            told.extend(self.first_of(region, KEEPERS_ELSEWHERE));
        }
        told
    }

    /// Returns the instances of the own region that are asked for a stream's origin.
    pub fn near(&self) -> Vec<&'a Member> {
        self.first_of(self.own_region, KEEPERS_IN_REGION + SPARE_KEEPERS)
    }

    /// Returns the instances of other regions that are asked for a stream's origin.
    pub fn far(&self) -> Vec<&'a Member> {
        let mut asked = Vec::new();
        for region in self.other_regions() {
            asked.extend(self.first_of(region, KEEPERS_ELSEWHERE + SPARE_KEEPERS));
        }
        asked
    }

    fn other_regions(&self) -> BTreeSet<&'a RegionId> {
        let regions = self.fleet.members.iter().map(|m| &m.region);
        regions
            .filter(|region| *region != self.own_region)
            .collect()
    }

    fn first_of(&self, region: &'a RegionId, count: usize) -> Vec<&'a Member> {
        let live = self.fleet.live_members(region);
        let mut others: Vec<&Member> = live.filter(|m| m.id != *self.own_id).collect();
        others.sort_by_cached_key(|member| {
            let rank = weight(self.stream.as_bytes(), member.id.as_str().as_bytes());
            std::cmp::Reverse(rank)
        });
        others.truncate(count);
        others
    }
}
