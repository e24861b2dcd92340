//! Messages and stored values of earlier builds, which serve beside this one while a fleet is
//! replaced.

#[path = "common/mutation.rs"]
mod mutation;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use limpetstand::peer::{UnknownKinds, WireFormat, decode_named, encode_named};
use mutation::{corpus, fuzz};
use serde::{Deserialize, Serialize};

/// Messages that a build of commit a5f5040 has written, a file for each type and a line for each
/// message, in hexadecimal.
const CORPUS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus/wire");

fn messages_by_format() -> BTreeMap<String, Vec<Vec<u8>>> {
    let mut by_format = BTreeMap::new();
    for file in std::fs::read_dir(Path::new(CORPUS)).expect("a directory") {
        let path = file.expect("a file").path();
        let name = path.file_name().expect("a name").to_string_lossy();
        let text = std::fs::read_to_string(&path).expect("text");
        let messages = text.lines().map(|line| bytes(line.trim_matches('-')));
        by_format.insert(name.into_owned(), messages.collect());
    }
    by_format
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let bytes = digits.map(|d| u8::from_str_radix(std::str::from_utf8(d).expect("ASCII"), 16));
    bytes.collect::<Result<_, _>>().expect("hexadecimal")
}

#[test]
fn messages_of_earlier_builds_are_read_and_written_alike() {
    let corpus = messages_by_format();
    let mut registered: Vec<&str> = WireFormat::all().map(|f| f.name).collect();
    registered.sort_unstable();
    let kept: Vec<&str> = corpus.keys().map(String::as_str).collect();
    assert_eq!(registered, kept, "each format has its messages");
    for format in WireFormat::all() {
        for message in &corpus[format.name] {
            let again = (format.recode)(message);
            let again = again.unwrap_or_else(|e| panic!("{}: {e}", format.name));
            assert_eq!(again, message.as_slice(), "{}", format.name);
        }
    }
}

#[test]
fn no_message_makes_an_instance_panic() {
    for (name, messages) in messages_by_format() {
        let format = WireFormat::all().find(|f| f.name == name);
        let format = format.expect("a format");
        fuzz(&messages, |input, _| {
            // What can be read can be written.
            if let Ok(again) = (format.recode)(input) {
                assert!((format.recode)(&again).is_ok(), "{name}");
            }
        });
    }
    fuzz(&corpus(CORPUS), |input, _| {
        let _ = decode_named::<New>(input);
    });
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Old {
    name: String,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct New {
    name: String,
    #[serde(default)]
    priority: Option<u8>,
}

#[test]
fn named_messages_are_read_by_builds_with_more_and_with_fewer_fields() {
    let new = New {
        name: "n".to_owned(),
        priority: Some(3),
    };
    let old: Old = decode_named(&encode_named(&new).expect("encoded")).expect("read");
    assert_eq!(old.name, new.name);
    let read: New = decode_named(&encode_named(&old).expect("encoded")).expect("read");
    assert_eq!(read.priority, None);
}

#[test]
fn a_kind_that_an_older_build_turned_away_is_tried_again_after_a_while() {
    let to = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut unknown = UnknownKinds::default();
    assert!(unknown.may_know(Duration::ZERO, to, "new"));
    unknown.record(Duration::ZERO, to, "new");
    assert!(!unknown.may_know(Duration::from_secs(1), to, "new"));
    assert!(unknown.may_know(Duration::from_secs(1), to, "other"));
    assert!(unknown.may_know(Duration::from_secs(10), to, "new"));
}
