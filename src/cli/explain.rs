//! The command `explain`, which prints the events of a request from the journals of instances.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use super::{CliError, Exit};

/// Events of the request's targets are included from this long before the request's first event.
const TARGET_EVENTS_BEFORE_MS: u64 = 5_000;

/// The start of each journal line.
const LINE_START: &str = "{\"at_ms\":";

/// Fields that are not printed as `name=value`.
const FIXED_FIELDS: [&str; 4] = ["at_ms", "instance", "event", "request"];

/// A journal line.
struct JournalLine {
    at_ms: u64,
    fields: Map<String, Value>,
}

impl JournalLine {
    /// Parses all journal lines in a line of text. Each journal line may follow a prefix, such as a
    /// process name or a time.
    ///
    /// One line of text can hold several journal lines, because log collectors that read in chunks
    /// may join lines.
    fn parse(text: &str) -> Vec<Self> {
        let mut lines = Vec::new();
        for (start, _) in text.match_indices(LINE_START) {
            let json = &text[start..];
            let mut values = serde_json::Deserializer::from_str(json).into_iter();
            let Some(Ok(Value::Object(fields))) = values.next() else {
                continue;
            };
            if let Some(at_ms) = fields.get("at_ms").and_then(Value::as_u64) {
                lines.push(Self { at_ms, fields });
            }
        }
        lines
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn format_after(&self, from_ms: u64) -> String {
        let after = i128::from(self.at_ms) - i128::from(from_ms);
        let mut formatted = format!(
            "{after:>+7} ms  {:<12} {}{}",
            self.text("instance").unwrap_or("?"),
            if self.text("request").is_some() {
                ""
            } else {
                "- "
            },
            self.text("event").unwrap_or("?"),
        );
        for (name, value) in &self.fields {
            if FIXED_FIELDS.contains(&name.as_str()) {
                continue;
            }
            match value {
                Value::String(text) if text.contains(' ') || text.is_empty() => {
                    formatted += &format!(" {name}={text:?}");
                }
                Value::String(text) => formatted += &format!(" {name}={text}"),
                value => formatted += &format!(" {name}={value}"),
            }
        }
        formatted
    }
}

/// Prints the events of a request from the journals in `files`, or from standard input if `files`
/// is empty.
pub(super) fn explain(id: &str, files: &[PathBuf], json: bool) -> Result<Exit, CliError> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read_journal(Path::new("-"), &mut lines)?;
    }
    for file in files {
        read_journal(file, &mut lines)?;
    }
    let selected = select_lines(id, lines);
    let Some(first) = selected.iter().find(|line| line.text("request").is_some()) else {
        eprintln!("no journal line mentions the request {id}");
        return Ok(Exit::Refused);
    };
    for line in &selected {
        match json {
            true => println!("{}", Value::Object(line.fields.clone())),
            false => println!("{}", line.format_after(first.at_ms)),
        }
    }
    Ok(Exit::Done)
}

fn read_journal(file: &Path, lines: &mut Vec<JournalLine>) -> Result<(), CliError> {
    let failed = |e: std::io::Error| CliError::File(file.display().to_string(), e.to_string());
    let source: Box<dyn Read> = if file == Path::new("-") {
        Box::new(std::io::stdin())
    } else {
        Box::new(std::fs::File::open(file).map_err(failed)?)
    };
    for line in BufReader::new(source).split(b'\n') {
        let bytes = line.map_err(failed)?;
        lines.extend(JournalLine::parse(&String::from_utf8_lossy(&bytes)));
    }
    Ok(())
}

/// Returns the journal lines of a request, sorted by time, together with the lines that name one of
/// the request's targets but no request, from shortly before the request's first line to the
/// request's last line.
fn select_lines(id: &str, mut lines: Vec<JournalLine>) -> Vec<JournalLine> {
    lines.sort_by_key(|line| line.at_ms);
    let is_own = |line: &JournalLine| line.text("request") == Some(id);
    let mut targets = BTreeSet::new();
    let mut times = None;
    for line in lines.iter().filter(|line| is_own(line)) {
        let (from, _) = times.unwrap_or((line.at_ms.saturating_sub(TARGET_EVENTS_BEFORE_MS), 0));
        times = Some((from, line.at_ms));
        targets.extend(line.text("target").map(str::to_owned));
    }
    let Some((from, until)) = times else {
        return Vec::new();
    };
    lines.retain(|line| {
        let on_target = line.text("target").is_some_and(|t| targets.contains(t));
        let is_during = (from..=until).contains(&line.at_ms) && line.text("request").is_none();
        is_own(line) || (on_target && is_during)
    });
    lines
}
