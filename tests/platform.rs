//! Parsing of the platform's list of instances and targets.

use limpetstand::platform::{ServiceState, wire};

const LIST: &str = r#"[
  {"targets": ["127.0.1.1:8080"], "labels": {"kind": "instance", "id": "recife-1",
   "region": "recife", "data_centre": "recife-a", "state": "live", "peer": "127.0.1.1:8081"}},
  {"targets": ["127.0.2.1:9000"], "labels": {"kind": "target", "id": "t1", "region": "recife",
   "data_centre": "recife-a", "state": "leaving", "plugin": "openai", "models": "a, b,",
   "service": "", "capacity": "120.5", "slots": "8", "price": "0.2"}}
]"#;

#[test]
fn a_valid_list_is_parsed_completely() {
    let (listing, skipped) = wire::parse_list(LIST.as_bytes()).expect("present");
    assert_eq!(skipped, 0);
    assert_eq!(listing.instances[0].id.as_str(), "recife-1");
    assert_eq!(
        listing.instances[0].peer,
        "127.0.1.1:8081".parse().expect("present")
    );
    let target = &listing.targets[0];
    assert_eq!(target.state, ServiceState::Leaving);
    assert_eq!(target.models, ["a".into(), "b".into()]);
    assert_eq!(target.service, None);
    assert_eq!(target.slots, 8);
}

/// Each replacement makes one group malformed; the other group must be kept.
#[test]
fn a_malformed_group_is_skipped_and_the_others_are_kept() {
    let replacements = [
        ("\"live\"", "\"asleep\""),
        ("\"kind\": \"target\"", "\"kind\": \"router\""),
        ("\"slots\": \"8\"", "\"slots\": \"-8\""),
        ("\"capacity\": \"120.5\"", "\"capacity\": \"NaN\""),
        ("\"price\": \"0.2\"", "\"price\": \"-1\""),
        ("127.0.2.1:9000", "t1.example:9000"),
        ("[\"127.0.2.1:9000\"]", "[]"),
        ("[\"127.0.2.1:9000\"]", "7"),
        (
            "\"peer\": \"127.0.1.1:8081\"",
            "\"pear\": \"127.0.1.1:8081\"",
        ),
    ];
    for (from, to) in replacements {
        let text = LIST.replacen(from, to, 1);
        assert_ne!(text, LIST);
        let (listing, skipped) = wire::parse_list(text.as_bytes()).expect("present");
        assert_eq!(skipped, 1, "{to}");
        assert_eq!(listing.instances.len() + listing.targets.len(), 1, "{to}");
    }
}

#[test]
fn a_duplicate_identifier_is_skipped() {
    let text = LIST.replace(
        "\"kind\": \"target\", \"id\": \"t1\"",
        "\"kind\": \"target\"",
    );
    assert_eq!(wire::parse_list(text.as_bytes()).expect("present").1, 1);
    let groups: Vec<serde_json::Value> = serde_json::from_str(LIST).expect("present");
    let twice = serde_json::to_vec(&[&groups[..], &groups[..]].concat()).expect("present");
    let (listing, skipped) = wire::parse_list(&twice).expect("present");
    assert_eq!(skipped, 2);
    assert_eq!((listing.instances.len(), listing.targets.len()), (1, 1));
}

#[test]
fn text_other_than_an_array_is_an_error() {
    for text in ["", "{}", "[", "null"] {
        assert!(wire::parse_list(text.as_bytes()).is_err());
    }
}
