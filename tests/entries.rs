//! The instances that callers are told to use, and the publishers of the directory.
#![allow(clippy::unwrap_used, reason = "a test ends where its helpers do")]

use std::collections::BTreeMap;

use limpetstand::entries::{directory_entries, entries_for, is_task_holder};
use limpetstand::member::{Fleet, Health, Member};

fn member(name: &str, region: &str, data_centre: &str, health: Health) -> Member {
    let port = name.bytes().fold(0, |port, b| port * 31 + u16::from(b));
    Member {
        id: name.into(),
        incarnation: 1,
        front: ([127, 0, 0, 1], port).into(),
        peer: ([127, 0, 0, 2], port).into(),
        region: region.into(),
        data_centre: data_centre.into(),
        health,
    }
}

fn fleet() -> Fleet {
    Fleet {
        members: vec![
            member("a1", "a", "a-1", Health::Live),
            member("a2", "a", "a-2", Health::Live),
            member("a3", "a", "a-1", Health::Live),
            member("a4", "a", "a-1", Health::Suspect),
            member("a5", "a", "a-1", Health::Leaving),
            member("a6", "a", "a-1", Health::Dead),
            member("b1", "b", "b-1", Health::Live),
        ],
        targets: Vec::new(),
    }
}

fn names(fleet: &Fleet, region: &str, seed: u64) -> Vec<(String, u32)> {
    let mut names = Vec::new();
    for entry in entries_for(fleet, &"a1".into(), &region.into(), seed).entries() {
        let found = fleet
            .members
            .iter()
            .find(|m| m.front.to_string() == entry.address);
        names.push((found.unwrap().id.as_str().to_owned(), entry.weight));
    }
    names
}

#[test]
fn nearest_live_instances_come_first_and_leaving_and_dead_ones_are_left_out() {
    let fleet = fleet();
    for seed in 0..20 {
        let mut names = names(&fleet, "a", seed);
        names[..2].sort();
        let expected = [("a1", 100), ("a3", 100), ("a2", 100), ("b1", 0), ("a4", 0)];
        assert_eq!(
            names,
            expected.map(|(name, weight)| (name.to_owned(), weight))
        );
    }
}

#[test]
fn callers_of_another_region_are_sent_there() {
    assert_eq!(names(&fleet(), "b", 1)[0], ("b1".to_owned(), 100));
}

#[test]
fn equally_ranked_instances_share_the_first_place() {
    let fleet = fleet();
    let mut first = BTreeMap::new();
    for seed in 0..1_000 {
        *first
            .entry(names(&fleet, "a", seed)[0].0.clone())
            .or_insert(0) += 1;
    }
    assert_eq!(first.len(), 2);
    assert!(first.values().all(|n| (400..=600).contains(n)), "{first:?}");
}

#[test]
fn the_answer_is_json_with_its_validity() {
    let fleet = Fleet {
        members: vec![member("a1", "a", "a-1", Health::Live)],
        targets: Vec::new(),
    };
    let text = serde_json::to_string(&entries_for(&fleet, &"a1".into(), &"a".into(), 0)).unwrap();
    let expected =
        r#"{"entries":[{"address":"127.0.0.1:3056","region":"a","weight":100}],"valid_ms":5000}"#;
    assert_eq!(text, expected);
}

#[test]
fn the_directory_lists_live_instances_or_suspect_ones_if_none_is_live() {
    let mut fleet = fleet();
    assert_eq!(directory_entries(&fleet, &"a".into()).len(), 3);
    fleet.members.retain(|m| m.health != Health::Live);
    let entries = directory_entries(&fleet, &"a".into());
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].front, fleet.members[0].front);
    assert!(directory_entries(&fleet, &"c".into()).is_empty());
}

/// Exactly the wanted number of instances is chosen, and the loss of another instance changes none
/// of them.
#[test]
fn a_task_has_the_wanted_number_of_instances_and_keeps_them() {
    let mut fleet = fleet();
    let chosen = |fleet: &Fleet| {
        let mut chosen = Vec::new();
        for member in &fleet.members {
            if member.region.as_str() == "a" && is_task_holder(fleet, &member.id, "directory", 2) {
                chosen.push(member.id.clone());
            }
        }
        chosen
    };
    let before = chosen(&fleet);
    assert_eq!(before.len(), 2);
    fleet
        .members
        .retain(|m| m.health != Health::Live || before.contains(&m.id));
    assert_eq!(chosen(&fleet), before);
    fleet.members.retain(|m| m.id != before[0]);
    assert_eq!(chosen(&fleet), before[1..]);
}
