//! The decision journal: JSON lines on standard output.
//!
//! Lines are collected in a bounded buffer that a dedicated thread writes out, so that a blocked
//! standard output does not block requests. Lines that do not fit into the buffer
//! are dropped, and a `journal_dropped` line reports the number of dropped lines.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol_str::SmolStr;

use crate::id::InstanceId;

/// The maximum size of the buffer, enough for about one second of lines of the busiest instance. A
/// line that does not fit is dropped and counted.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Time between two writes of the buffered lines to standard output.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    text: String,
    dropped: u64,
}

/// The journal of one instance.
#[derive(Debug, Clone)]
pub struct Journal {
    instance: SmolStr,
    buffer: Arc<Mutex<Buffer>>,
}

static JOURNAL: OnceLock<Journal> = OnceLock::new();

/// Starts the thread that writes the process's journal to standard output.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn start(instance: &InstanceId) -> std::io::Result<()> {
    let journal = JOURNAL.get_or_init(|| Journal::new(instance)).clone();
    std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || {
            loop {
                std::thread::sleep(WRITE_PERIOD);
                journal.write_to(&mut std::io::stdout());
            }
        })
        .map(drop)
}

/// Begins a line of the process's journal; the line is discarded if no journal was started.
pub fn line(event: &str) -> Line {
    Line::new(JOURNAL.get().cloned(), event)
}

/// Writes the buffered lines of the process's journal; called once at the end of the process.
pub fn flush() {
    if let Some(journal) = JOURNAL.get() {
        journal.write_to(&mut std::io::stdout());
    }
}

impl Journal {
    /// Creates an empty journal, whose lines are buffered until [`Self::write_to`] is called.
    pub fn new(instance: &InstanceId) -> Self {
        Self {
            instance: instance.as_str().into(),
            buffer: Arc::default(),
        }
    }

    /// Begins a line of this journal.
    pub fn line(&self, event: &str) -> Line {
        Line::new(Some(self.clone()), event)
    }

    /// Writes the buffered lines to `out` and empties the buffer.
    pub fn write_to(&self, out: &mut dyn std::io::Write) {
        let mut pending = {
            let mut buf = self.lock();
            std::mem::take(&mut *buf)
        };
        if pending.dropped > 0 {
            pending.text.push_str(&self.begin("journal_dropped"));
            // Writing to a `String` does not fail.
            let _ = writeln!(pending.text, r#","lines":{}}}"#, pending.dropped);
        }
        if pending.text.is_empty() {
            return;
        }
        // An error is ignored: with standard output closed, there is nowhere to report the error.
        let _ = out.write_all(pending.text.as_bytes());
        let _ = out.flush();
    }

    fn begin(&self, event: &str) -> String {
        format!(
            r#"{{"at_ms":{},"instance":"{}","event":"{event}""#,
            unix_ms(),
            self.instance
        )
    }

    fn push(&self, line: &str) {
        let mut buf = self.lock();
        if buf.text.len() + line.len() > MAX_BUFFERED_BYTES {
            buf.dropped += 1;
            metrics::counter!("limpetstand_journal_dropped_total").increment(1);
            return;
        }
        buf.text.push_str(line);
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A journal line under construction; when this value is dropped, the line is added to the journal.
#[derive(Debug)]
pub struct Line {
    journal: Option<Journal>,
    text: String,
}

impl Line {
    fn new(journal: Option<Journal>, event: &str) -> Self {
        let text = journal
            .as_ref()
            .map_or_else(String::new, |j| j.begin(event));
        Self { journal, text }
    }

    /// Adds a string field; `value` is escaped.
    pub fn text(self, name: &str, value: &str) -> Self {
        if self.journal.is_none() {
            return self;
        }
        self.value(name, serde_json::Value::from(value))
    }

    /// Adds a field whose value is valid JSON when displayed, such as a number or a Boolean.
    pub fn value(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        if self.journal.is_some() {
            let _ = write!(self.text, r#","{name}":{value}"#);
        }
        self
    }

    /// Adds a field with a duration in milliseconds.
    pub fn ms(self, name: &str, value: Duration) -> Self {
        self.value(name, value.as_millis())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if let Some(journal) = &self.journal {
            self.text.push_str("}\n");
            journal.push(&self.text);
        }
    }
}

fn unix_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis())
}
