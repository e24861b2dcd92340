//! Watches of the stand-in store.

use serde_json::{Value, json};

use super::data::{Change, Data, kv_json};
use super::wire::{base64, bytes, int};

/// Key range and progress of one watch.
#[derive(Debug)]
pub(super) struct WatchState {
    key: Vec<u8>,
    end: Vec<u8>,
    next_revision: i64,
    canceled: bool,
}

impl WatchState {
    pub(super) fn new(create: &Value, data: &Data) -> Self {
        let start = int(create, "start_revision");
        Self {
            key: bytes(create, "key"),
            end: bytes(create, "range_end"),
            next_revision: if start > 0 { start } else { data.revision + 1 },
            canceled: false,
        }
    }

    pub(super) fn is_canceled(&self) -> bool {
        self.canceled
    }

    /// Returns the next message of the watch; `None` if there is no new change in its range.
    pub(super) fn next(&mut self, data: &Data) -> Option<Value> {
        if self.next_revision <= data.compacted {
            self.canceled = true;
            return Some(json!({
                "header": data.header(),
                "canceled": true,
                "compact_revision": data.compacted.to_string(),
            }));
        }
        let from = data
            .history
            .partition_point(|c| c.revision < self.next_revision);
        let mut events = Vec::new();
        for change in &data.history[from..] {
            if self.contains(&change.key) {
                events.push(event(change));
            }
        }
        self.next_revision = self.next_revision.max(data.revision + 1);
        if events.is_empty() {
            return None;
        }
        Some(json!({ "header": data.header(), "events": events }))
    }

    fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

fn event(change: &Change) -> Value {
    match &change.kv {
        Some(kv) => json!({ "kv": kv_json(&change.key, kv) }),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": base64(&change.key),
                "mod_revision": change.revision.to_string(),
            },
        }),
    }
}
