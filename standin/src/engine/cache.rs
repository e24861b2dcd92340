//! The engine's prefix cache and the events it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Most events that are kept for readers.
const MAX_EVENTS: usize = 4096;

#[derive(Debug)]
struct Event {
    seq: u64,
    at: Instant,
    kind: &'static str,
    block: u64,
}

/// Prefix cache that evicts the least recently used block.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    /// Last use of each block, as a value of `clock`.
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<Event>,
    seq: u64,
    drop_events: u32,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            seq: 0,
            drop_events: 0,
        }
    }

    /// Returns how many leading blocks are cached, and inserts or refreshes all blocks.
    pub(super) fn touch(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|b| self.last_use.contains_key(b))
            .count();
        for block in blocks {
            self.use_block(*block);
        }
        cached
    }

    /// Returns the occupied share of the cache, from 0 to 1.
    pub(super) fn usage(&self) -> f64 {
        self.last_use.len() as f64 / self.capacity.max(1) as f64
    }

    /// Removes all blocks and events, as a crash does, and skips a sequence number.
    pub(super) fn clear(&mut self) {
        self.last_use.clear();
        self.by_last_use.clear();
        self.events.clear();
        self.seq += 1;
    }

    /// Drops the next `n` events, which leaves a gap in the sequence numbers.
    pub(super) fn drop_events(&mut self, n: u32) {
        self.drop_events = n;
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    pub(super) fn events_after(&self, after: u64, lag: Duration) -> Value {
        let now = Instant::now();
        let mut events = Vec::new();
        for event in &self.events {
            if event.seq <= after || now.duration_since(event.at) < lag {
                continue;
            }
            events.push(json!({
                "seq": event.seq,
                "kind": event.kind,
                "block": format!("{:016x}", event.block),
            }));
        }
        json!({ "events": events })
    }

    fn use_block(&mut self, block: u64) {
        self.clock += 1;
        match self.last_use.insert(block, self.clock) {
            Some(previous_use) => {
                self.by_last_use.remove(&previous_use);
            }
            None => self.record_event("added", block),
        }
        self.by_last_use.insert(self.clock, block);
        if self.last_use.len() <= self.capacity {
            return;
        }
        if let Some((_, oldest)) = self.by_last_use.pop_first() {
            self.last_use.remove(&oldest);
            self.record_event("evicted", oldest);
        }
    }

    fn record_event(&mut self, kind: &'static str, block: u64) {
        self.seq += 1;
        if self.drop_events > 0 {
            self.drop_events -= 1;
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            seq: self.seq,
            at: Instant::now(),
            kind,
            block,
        });
    }
}
