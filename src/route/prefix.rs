//! Index of the prompt prefixes expected in each target's cache.
//!
//! The index follows the targets' cache events, which arrive late and with gaps. After a gap, a
//! target's cache is assumed empty until further events arrive.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::Deserialize;
use serde::de::IgnoredAny;

use super::key::TargetKey;
use crate::target::{CacheChange, CacheEvents};

/// Words per block.
const BLOCK_WORDS: usize = 16;

/// Tokens per block, counting each word as one token.
const BLOCK_TOKENS: u64 = BLOCK_WORDS as u64;

/// Maximum number of blocks hashed per prompt.
const MAX_PROMPT_BLOCKS: usize = 256;

/// Time without an update after which a target's cache contents are no longer assumed.
const MAX_VIEW_AGE: Duration = Duration::from_secs(5);

/// Maximum number of blocks indexed per target.
const MAX_BLOCKS_PER_TARGET: usize = 65_536;

/// The hash of a block and of all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

/// Expected cache contents of the local region's targets, derived from their cache events.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    views: HashMap<TargetKey, CacheView>,
    holders: HashMap<BlockHash, Vec<TargetKey>>,
}

#[derive(Debug, Default)]
struct CacheView {
    last_event: u64,
    last_update: Duration,
    blocks: HashSet<BlockHash>,
}

impl PrefixIndex {
    /// Returns the sequence number of the last event applied for a target; 0 if none.
    pub fn last_event(&self, target: TargetKey) -> u64 {
        self.views.get(&target).map_or(0, |view| view.last_event)
    }

    /// Applies a target's cache events; events that were already applied are skipped.
    pub fn apply(&mut self, now: Duration, target: TargetKey, cache_events: &CacheEvents) {
        for event in &cache_events.events {
            let last_event = self.last_event(target);
            if event.sequence <= last_event {
                continue;
            }
            if event.sequence != last_event + 1 {
                self.remove_target(target);
            }
            self.apply_change(target, event.change);
            self.views.entry(target).or_default().last_event = event.sequence;
        }
        self.views.entry(target).or_default().last_update = now;
    }

    /// Removes a target's blocks from the index.
    pub fn remove_target(&mut self, target: TargetKey) {
        let Some(view) = self.views.remove(&target) else {
            return;
        };
        for block in view.blocks {
            self.remove_holder(block, target);
        }
    }

    /// Returns how many of the prompt's tokens are expected in a target's cache.
    pub fn cached_tokens(&self, now: Duration, target: TargetKey, blocks: &[BlockHash]) -> u64 {
        let Some(view) = self.views.get(&target) else {
            return 0;
        };
        if now.saturating_sub(view.last_update) > MAX_VIEW_AGE {
            return 0;
        }
        let mut cached = 0;
        for block in blocks {
            if !view.blocks.contains(block) {
                break;
            }
            cached += BLOCK_TOKENS;
        }
        cached
    }

    /// Returns the targets expected to hold the longest known prefix of the prompt.
    pub fn holders(&self, blocks: &[BlockHash]) -> &[TargetKey] {
        for block in blocks.iter().rev() {
            let Some(holders) = self.holders.get(block) else {
                continue;
            };
            return holders;
        }
        &[]
    }

    fn apply_change(&mut self, target: TargetKey, change: CacheChange) {
        match change {
            CacheChange::Stored(hash) => self.add_block(target, BlockHash(hash)),
            CacheChange::Removed(hash) => {
                let block = BlockHash(hash);
                let view = self.views.get_mut(&target);
                if view.is_some_and(|view| view.blocks.remove(&block)) {
                    self.remove_holder(block, target);
                }
            }
            CacheChange::Cleared => self.remove_target(target),
        }
    }

    fn add_block(&mut self, target: TargetKey, block: BlockHash) {
        let view = self.views.entry(target).or_default();
        if view.blocks.len() >= MAX_BLOCKS_PER_TARGET {
            self.remove_target(target);
        }
        let view = self.views.entry(target).or_default();
        if view.blocks.insert(block) {
            self.holders.entry(block).or_default().push(target);
        }
    }

    fn remove_holder(&mut self, block: BlockHash, target: TargetKey) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        holders.retain(|holder| *holder != target);
        if holders.is_empty() {
            self.holders.remove(&block);
        }
    }
}

/// Returns the hashes of the prompt's complete blocks, computed as the engines compute them.
///
/// Words are separated by white space. A block's hash is the 64-bit FNV-1a hash of the previous
/// block's hash (eight little-endian bytes), followed by each of the block's words and a space. The
/// first block uses the FNV offset basis as the previous hash. A body that cannot be parsed as a
/// prompt has no blocks.
pub fn prompt_blocks(body: &[u8]) -> Vec<BlockHash> {
    let Ok(prompt) = serde_json::from_slice::<Prompt<'_>>(body) else {
        return Vec::new();
    };
    let mut hasher = BlockHasher::new();
    if let Some(text) = &prompt.prompt {
        hasher.add_text(text);
    }
    for message in &prompt.messages {
        if let Content::Text(text) = &message.content {
            hasher.add_text(text);
        }
    }
    hasher.blocks
}

/// The fields of a request body that form the prompt in an engine's prefix cache.
#[derive(Deserialize)]
struct Prompt<'a> {
    #[serde(borrow)]
    prompt: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    messages: Vec<Message<'a>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow, default)]
    content: Content<'a>,
}

#[derive(Default, Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Other(IgnoredAny),
    #[default]
    Missing,
}

struct BlockHasher {
    blocks: Vec<BlockHash>,
    words: usize,
    state: u64,
}

impl BlockHasher {
    fn new() -> Self {
        Self {
            blocks: Vec::new(),
            words: 0,
            state: fnv1a(FNV_OFFSET, &FNV_OFFSET.to_le_bytes()),
        }
    }

    /// Adds a text to the hash; words do not span texts.
    fn add_text(&mut self, text: &str) {
        for word in text.split_whitespace() {
            if self.blocks.len() == MAX_PROMPT_BLOCKS {
                return;
            }
            self.state = fnv1a(fnv1a(self.state, word.as_bytes()), b" ");
            self.words += 1;
            if self.words.is_multiple_of(BLOCK_WORDS) {
                self.blocks.push(BlockHash(self.state));
                self.state = fnv1a(FNV_OFFSET, &self.state.to_le_bytes());
            }
        }
    }
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    let mut hash = state;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}
