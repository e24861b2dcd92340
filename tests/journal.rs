//! Tests of the decision journal's format and buffer limit.

use std::time::Duration;

use limpetstand::journal::Journal;
use serde_json::Value;

fn write_lines(journal: &Journal) -> Vec<Value> {
    let mut out = Vec::new();
    journal.write_to(&mut out);
    let text = String::from_utf8(out).expect("text");
    let lines = text.lines().map(serde_json::from_str);
    lines.collect::<Result<_, _>>().expect("JSON lines")
}

#[test]
fn lines_are_valid_json_whatever_text_they_contain() {
    let journal = Journal::new(&"i1".into());
    let hostile = "\"quoted\" \\ \n\r\t\u{7f}\u{1} \u{2028} end";
    journal
        .line("refused")
        .text("request", hostile)
        .value("attempts", 2)
        .ms("took_ms", Duration::from_millis(7));
    let lines = write_lines(&journal);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["event"], "refused");
    assert_eq!(lines[0]["instance"], "i1");
    assert_eq!(lines[0]["request"], hostile);
    assert_eq!(lines[0]["attempts"], 2);
    assert_eq!(lines[0]["took_ms"], 7);
    assert!(lines[0]["at_ms"].as_u64() > Some(0));
    assert!(
        write_lines(&journal).is_empty(),
        "a line was written a second time"
    );
}

#[test]
fn buffer_is_bounded_and_dropped_lines_are_counted() {
    const LINES: u64 = 50_000;
    let journal = Journal::new(&"i1".into());
    for i in 0..LINES {
        journal.line("admitted").text("request", &format!("r{i}"));
    }
    let mut out = Vec::new();
    journal.write_to(&mut out);
    assert!(out.len() < 600 * 1024, "{} bytes were buffered", out.len());
    let text = String::from_utf8(out).expect("text");
    let last: Value = serde_json::from_str(text.lines().last().expect("a line")).expect("JSON");
    assert_eq!(last["event"], "journal_dropped");
    let kept = text.lines().count() as u64 - 1;
    assert_eq!(last["lines"].as_u64(), Some(LINES - kept));
    journal.line("admitted").text("request", "later");
    assert_eq!(
        write_lines(&journal).len(),
        1,
        "after a write, the journal buffers new lines and the drop count restarts"
    );
}
