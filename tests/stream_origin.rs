//! At which software version a stream goes on that its caller takes up, in virtual time and without
//! sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetstand::gateway::stream_origin::{Keepers, Origin, StreamOrigins, Testimony, find_origin};
use limpetstand::id::{InstanceId, RegionId};
use limpetstand::member::{Fleet, Health, Member};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

const MEMORY: Duration = Duration::from_secs(30);

const REGIONS: usize = 3;

static SERVICE: SmolStr = SmolStr::new_static("s");

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn origin(version: &str) -> Origin {
    Origin {
        service: SERVICE.clone(),
        software_version: version.into(),
    }
}

fn versions(versions: &[SmolStr]) -> impl Iterator<Item = (&SmolStr, &SmolStr)> {
    versions.iter().map(|version| (&SERVICE, version))
}

/// Returns the memory of an instance that has seen only these versions for as long as streams last.
fn remembers(names: &[&str]) -> StreamOrigins {
    let mut origins = StreamOrigins::new(Duration::ZERO, MEMORY, false);
    let names: Vec<SmolStr> = names.iter().map(|n| SmolStr::from(*n)).collect();
    origins.update_versions(ms(0), versions(&names));
    origins
}

fn testimony(origins: &StreamOrigins, now: Duration, stream: &str) -> Testimony {
    origins.testimony(now, &stream.into(), Some(&SERVICE))
}

fn fleet(instances: usize) -> Fleet {
    let mut members = Vec::new();
    for i in 0..instances {
        let region = RegionId::from(format!("r{}", i % REGIONS).as_str());
        let port = u16::try_from(i + 1).expect("a port");
        members.push(Member {
            id: InstanceId::from(format!("i{i}").as_str()),
            incarnation: 1,
            front: SocketAddr::from(([127, 0, 0, 1], port)),
            peer: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: SmolStr::from(region.as_str()),
            region,
            health: Health::Live,
        });
    }
    Fleet {
        members,
        targets: Vec::new(),
    }
}

/// Instances that pass on streams of two software versions.
struct Played {
    fleet: Fleet,
    memories: HashMap<InstanceId, StreamOrigins>,
    /// The streams, with the instance that passed each on and its version.
    streams: Vec<(SmolStr, usize, &'static str)>,
}

impl Played {
    fn new(instances: usize, streams: usize, rng: &mut SmallRng) -> Self {
        let fleet = fleet(instances);
        let members = fleet.members.iter();
        let memories = members.map(|m| (m.id.clone(), remembers(&["v1", "v2"])));
        let mut played = Self {
            memories: memories.collect(),
            fleet,
            streams: Vec::new(),
        };
        for n in 0..streams {
            let instance = rng.random_range(0..instances);
            let version = if rng.random() { "v1" } else { "v2" };
            played.begin(ms(60_000), &format!("stream-{n}"), instance, version);
        }
        played
    }

    fn begin(&mut self, now: Duration, stream: &str, instance: usize, version: &'static str) {
        let stream = SmolStr::from(stream);
        let own = &self.fleet.members[instance];
        let memory = self.memories.get_mut(&own.id).expect("an instance");
        assert!(memory.record(now, &stream, &origin(version)));
        let keepers = Keepers {
            stream: &stream,
            own_id: &own.id,
            own_region: &own.region,
            fleet: &self.fleet,
        };
        for keeper in keepers.to_tell() {
            let memory = self.memories.get_mut(&keeper.id).expect("an instance");
            memory.record_copy(now, &stream, &origin(version));
        }
        self.streams.push((stream, instance, version));
    }

    /// Ends instances, whose successors know nothing of before.
    fn restart(&mut self, now: Duration, instances: &[usize]) {
        for instance in instances {
            let id = self.fleet.members[*instance].id.clone();
            self.memories
                .insert(id, StreamOrigins::new(now, MEMORY, false));
        }
    }

    /// Takes a stream up at an instance; returns the version at which it goes on.
    fn take_up(&self, now: Duration, stream: &SmolStr, instance: usize) -> Option<Origin> {
        let own = &self.fleet.members[instance];
        let keepers = Keepers {
            stream,
            own_id: &own.id,
            own_region: &own.region,
            fleet: &self.fleet,
        };
        let mut asked = vec![own];
        asked.extend(keepers.near());
        asked.extend(keepers.far());
        let testimonies = asked.iter().map(|m| {
            let memory = &self.memories[&m.id];
            memory.testimony(now, stream, Some(&SERVICE))
        });
        find_origin(Some(&SERVICE), &testimonies.collect::<Vec<_>>())
    }
}

#[test]
fn streams_of_killed_instances_go_on_at_their_software_version_at_any_size() {
    for instances in [6, 9, 100, 300] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut played = Played::new(instances, 600, &mut rng);
        let mut killed: Vec<usize> = (0..instances).collect();
        killed.shuffle(&mut rng);
        killed.truncate(instances / 2);
        played.restart(ms(61_000), &killed);
        let (mut broken, mut gone_on) = (0, 0);
        for (stream, instance, version) in &played.streams {
            if !killed.contains(instance) {
                continue;
            }
            broken += 1;
            let at = rng.random_range(0..instances);
            if let Some(found) = played.take_up(ms(61_500), stream, at) {
                assert_eq!(found, origin(version));
                gone_on += 1;
            }
        }
        println!("{instances} instances: {gone_on} of {broken} streams go on");
        assert!(2 * gone_on >= broken, "{gone_on} of {broken}");
    }
}

#[test]
fn streams_of_a_lost_region_go_on_in_another_one() {
    for instances in [6, 9, 100, 300] {
        let mut rng = SmallRng::seed_from_u64(8);
        let mut played = Played::new(instances, 300, &mut rng);
        let lost: Vec<usize> = (0..instances).step_by(REGIONS).collect();
        played.restart(ms(61_000), &lost);
        for (stream, instance, version) in &played.streams {
            if lost.contains(instance) {
                let found = played.take_up(ms(61_500), stream, 1);
                assert_eq!(found, Some(origin(version)), "{instances} instances");
            }
        }
    }
}

#[test]
fn a_stream_without_a_record_goes_on_only_if_a_single_version_has_served_all_the_time() {
    let single = remembers(&["v1"]);
    let early = testimony(&single, MEMORY - ms(1), "x");
    assert_eq!(find_origin(Some(&SERVICE), &[early]), None);
    let late = testimony(&single, MEMORY, "x");
    let found = find_origin(Some(&SERVICE), std::slice::from_ref(&late));
    assert_eq!(found, Some(origin("v1")));
    assert_eq!(find_origin(None, std::slice::from_ref(&late)), None);
    let other = testimony(&remembers(&["v1", "v2"]), MEMORY, "x");
    assert_eq!(find_origin(Some(&SERVICE), &[late, other]), None);
    assert_eq!(find_origin(Some(&SERVICE), &[]), None);
}

#[test]
fn no_stream_has_begun_before_the_first_start_of_the_fleet() {
    let mut origins = StreamOrigins::new(ms(0), MEMORY, true);
    origins.update_versions(ms(0), versions(&["v1".into()]));
    let first = testimony(&origins, ms(1), "x");
    assert_eq!(find_origin(Some(&SERVICE), &[first]), Some(origin("v1")));
}

#[test]
fn an_instance_inherits_what_others_have_seen_before_its_start() {
    let mut old = remembers(&["v1", "v2"]);
    old.update_versions(ms(50_000), versions(&["v2".into()]));
    let mut fresh = StreamOrigins::new(ms(31_000), MEMORY, false);
    // The clocks of the two instances differ by 30 s.
    fresh.inherit(ms(31_000), ms(31_000), &old.history(ms(61_000)));
    fresh.update_versions(ms(31_000), versions(&["v2".into()]));
    let early = testimony(&fresh, ms(31_000), "x");
    assert!(early.covers_memory);
    assert_eq!(early.versions, ["v1", "v2"]);
    let later = testimony(&fresh, ms(50_000), "x");
    assert_eq!(later.versions, ["v2"]);
    let mut third = StreamOrigins::new(ms(0), MEMORY, false);
    let young = StreamOrigins::new(ms(0), MEMORY, false);
    third.inherit(ms(0), ms(0), &young.history(ms(10_000)));
    assert!(!third.covers_memory(ms(19_999)));
    assert!(third.covers_memory(ms(20_000)));
}

#[test]
fn a_version_that_may_have_served_in_a_gap_of_the_news_counts() {
    let mut origins = remembers(&["v1"]);
    origins.set_followed(Some(ms(0)), true);
    let heard_again = ms(60_000);
    origins.set_followed(Some(heard_again), true);
    let before_end = heard_again + MEMORY - ms(1);
    assert!(!testimony(&origins, before_end, "x").covers_memory);
    assert!(testimony(&origins, heard_again + MEMORY, "x").covers_memory);
    // Another instance has followed the registry all the time, but its news ends in the gap.
    let other = remembers(&["v1"]);
    origins.inherit(before_end, heard_again - ms(1), &other.history(before_end));
    assert!(!origins.covers_memory(before_end));
    origins.inherit(before_end, heard_again, &other.history(before_end));
    assert!(origins.covers_memory(before_end));
}

#[test]
fn records_are_copied_while_the_registry_cannot_be_followed() {
    let mut origins = remembers(&["v1"]);
    let stream = SmolStr::from("x");
    assert!(!origins.record(MEMORY, &stream, &origin("v1")));
    origins.set_followed(None, false);
    assert_eq!(origins.take_uncopied(MEMORY), [(stream, origin("v1"))]);
    assert!(origins.record(MEMORY, &"y".into(), &origin("v1")));
    origins.set_followed(None, true);
    assert!(!origins.record(MEMORY, &"z".into(), &origin("v1")));
}

#[test]
fn a_version_that_has_gone_counts_for_as_long_as_its_streams_may_be_taken_up() {
    let mut origins = remembers(&["v1"]);
    origins.update_versions(ms(40_000), versions(&["v2".into()]));
    origins.expire(ms(69_999));
    let early = testimony(&origins, ms(69_999), "x");
    assert_eq!(find_origin(Some(&SERVICE), &[early]), None);
    origins.expire(ms(70_000));
    let late = testimony(&origins, ms(70_000), "x");
    assert_eq!(find_origin(Some(&SERVICE), &[late]), Some(origin("v2")));
}

#[test]
fn records_are_copied_only_while_several_versions_serve() {
    let mut origins = remembers(&["v1"]);
    let stream = SmolStr::from("x");
    assert!(!origins.record(MEMORY, &stream, &origin("v1")));
    assert!(origins.take_uncopied(MEMORY).is_empty());
    // The streams that run when a second version appears are told then.
    let now = MEMORY + ms(1_000);
    origins.update_versions(now, versions(&["v1".into(), "v2".into()]));
    let uncopied = origins.take_uncopied(now);
    assert_eq!(uncopied, [(stream.clone(), origin("v1"))]);
    assert!(origins.take_uncopied(now).is_empty());
    assert!(origins.record(now, &"y".into(), &origin("v2")));
    origins.update_versions(now, versions(&["v2".into()]));
    let later = now + MEMORY;
    assert!(!origins.record(later, &"z".into(), &origin("v2")));
}

#[test]
fn a_version_that_only_a_record_tells_of_counts() {
    let mut origins = remembers(&["v1"]);
    origins.record_copy(MEMORY, &"x".into(), &origin("v2"));
    let unknown = testimony(&origins, MEMORY, "y");
    assert_eq!(find_origin(Some(&SERVICE), &[unknown]), None);
    let known = testimony(&origins, MEMORY, "x");
    assert_eq!(find_origin(Some(&SERVICE), &[known]), Some(origin("v2")));
}

#[test]
fn records_end_with_the_memory_and_are_bounded() {
    let mut origins = remembers(&["v1", "v2"]);
    let stream = SmolStr::from("x");
    origins.record(ms(0), &stream, &origin("v1"));
    origins.record(ms(10_000), &stream, &origin("v1"));
    origins.expire(MEMORY);
    assert_eq!(testimony(&origins, MEMORY, "x").origin, Some(origin("v1")));
    let end = MEMORY + ms(10_000);
    assert_eq!(testimony(&origins, end, "x").origin, None);
    for n in 0..100_000 {
        origins.record(end, &format!("s{n}").into(), &origin("v1"));
    }
    assert_eq!(testimony(&origins, end, "s0").origin, None);
    assert_eq!(
        testimony(&origins, end, "s99999").origin,
        Some(origin("v1"))
    );
}

#[test]
fn streams_with_long_ids_are_not_remembered() {
    let mut origins = remembers(&["v1", "v2"]);
    let long = SmolStr::from("x".repeat(257));
    assert!(!origins.record(ms(0), &long, &origin("v1")));
    assert_eq!(testimony(&origins, ms(1), &long).origin, None);
}

proptest! {
    /// Instances begin, restart and take up streams while versions come and go; no stream goes on at
    /// another version than the one that began it.
    #[test]
    fn no_stream_goes_on_at_another_version(
        seed in any::<u64>(),
        instances in 2_usize..12,
        steps in 1_usize..120,
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut played = Played::new(instances, 0, &mut rng);
        let mut now = ms(60_000);
        for n in 0..steps {
            now += ms(rng.random_range(0..1_000));
            let instance = rng.random_range(0..instances);
            match rng.random_range(0..4) {
                0 => played.restart(now, &[instance]),
                1 => {
                    // A view that lags behind: this instance has heard of one version only.
                    let id = played.fleet.members[instance].id.clone();
                    let memory = played.memories.get_mut(&id).expect("an instance");
                    memory.update_versions(now, versions(&["v1".into()]));
                }
                _ => {
                    let id = played.fleet.members[instance].id.clone();
                    let memory = played.memories.get_mut(&id).expect("an instance");
                    memory.update_versions(now, versions(&["v1".into(), "v2".into()]));
                    let version = if rng.random() { "v1" } else { "v2" };
                    played.begin(now, &format!("s{n}"), instance, version);
                }
            }
            if let Some((stream, _, version)) = played.streams.last().cloned() {
                let found = played.take_up(now, &stream, rng.random_range(0..instances));
                if let Some(found) = found {
                    prop_assert_eq!(found, origin(version));
                }
            }
        }
    }
}
