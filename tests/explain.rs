//! Tests of the command `explain` on the journals of several instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CLI: &str = env!("CARGO_BIN_EXE_limpetstand");

/// The journal of the instance that took the request.
const FRONT: &str = r#"
{"at_ms":990,"instance":"i1","event":"target","target":"t1","outcome":"failing"}
{"at_ms":991,"instance":"i1","event":"target","target":"t7","outcome":"failing"}
{"at_ms":1000,"instance":"i1","event":"admitted","request":"r1","organisation":"o1"}
{"at_ms":1001,"instance":"i1","event":"admitted","request":"r2","organisation":"o1"}
not a line of a journal
{"at_ms":1002,"instance":"i1","event":"relayed","request":"r1","peer":"i2"}
{"at_ms":1090,"instance":"i1","event":"refused","request":"r1","why":"the target failed"}
{"torn":
"#;

/// The journal of the instance that the request was relayed to, with a time before each line, and
/// two journal lines joined in one line of text.
const OTHER: &str = r#"
0.1 {"at_ms":1010,"instance":"i2","event":"sent","request":"r1","target":"t1","attempt":1}
0.2 {"at_ms":1080,"instance":"i2","event":"attempt_failed","request":"r1","target":"t1"} 0.3 {"at_ms":1200,"instance":"i2","event":"target_gone","target":"t1"}
"#;

fn explain(args: &[&str]) -> Command {
    let mut command = Command::new(CLI);
    command.arg("explain").args(args);
    command
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn events_of_all_instances_are_printed_in_order() {
    let dir = tempfile::tempdir().expect("a directory");
    let front = dir.path().join("front");
    let other = dir.path().join("other");
    std::fs::write(&front, FRONT).expect("written");
    std::fs::write(&other, OTHER).expect("written");
    // The order of the files does not matter.
    let files = [other.to_str(), front.to_str()].map(|f| f.expect("a name"));
    let output = explain(&["r1", files[0], files[1]]).output().expect("run");
    assert_eq!(output.status.code(), Some(0));
    let events = [
        "    -10 ms  i1           - target outcome=failing target=t1",
        "     +0 ms  i1           admitted organisation=o1",
        "     +2 ms  i1           relayed peer=i2",
        "    +10 ms  i2           sent attempt=1 target=t1",
        "    +80 ms  i2           attempt_failed target=t1",
        r#"    +90 ms  i1           refused why="the target failed""#,
    ];
    assert_eq!(stdout(&output), events.join("\n") + "\n");
    let output = explain(&["--json", "r2", files[1]]).output().expect("run");
    let line: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one line");
    assert_eq!(line["event"], "admitted");
}

#[test]
fn journal_lines_are_read_from_standard_input() {
    let mut command = explain(&["r2"]);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("run");
    let mut stdin = child.stdin.take().expect("a pipe");
    stdin.write_all(FRONT.as_bytes()).expect("written");
    drop(stdin);
    let output = child.wait_with_output().expect("ended");
    assert!(stdout(&output).contains("admitted"));
    assert!(!stdout(&output).contains("relayed"));
}

#[test]
fn unknown_requests_and_missing_files_are_reported() {
    let dir = tempfile::tempdir().expect("a directory");
    let front = dir.path().join("front");
    std::fs::write(&front, FRONT).expect("written");
    let none = explain(&["r9", front.to_str().expect("a name")]).output();
    let none = none.expect("run");
    assert_eq!(none.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&none.stderr).contains("r9"));
    let missing = explain(&["r1", "/no/such/file"]).output().expect("run");
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("/no/such/file"));
    let no_id = explain(&[]).output().expect("run");
    assert_eq!(no_id.status.code(), Some(2));
}
