//! Prefix cache of an engine: blocks by hash, with LRU eviction. Within a
//! prompt, later blocks are evicted before earlier ones.

use std::collections::{BTreeMap, HashMap};

use jb_protocol::token::{BYTES_PER_BLOCK, TOKENS_PER_BLOCK};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Range of recency stamps reserved for the blocks of one prompt.
const STAMPS_PER_PROMPT: u64 = 1 << 20;

#[derive(Clone, Copy, Debug)]
struct Block {
    stamp: u64,
    owner: u64,
}

/// Result of looking up a prompt in the cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Number of cached tokens.
    pub tokens: u32,
    /// Number of these blocks that another owner stored.
    pub foreign: u64,
}

/// Prefix cache with a capacity in blocks.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    blocks: HashMap<u64, Block>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

/// Returns the chained hashes of a prompt's whole blocks, seeded with the salt.
pub fn hashes(salt: &str, prompt: &str) -> Vec<u64> {
    let seed = xxh3_64(salt.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(BYTES_PER_BLOCK)
        .scan(seed, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

impl Cache {
    /// Creates an empty cache with a capacity of `tokens` tokens.
    pub fn new(tokens: u32) -> Self {
        Self {
            capacity: (tokens / TOKENS_PER_BLOCK) as usize,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Returns the length of the longest cached prefix.
    pub fn find(&self, hashes: &[u64], owner: u64) -> Found {
        let held = hashes.iter().map_while(|hash| self.blocks.get(hash));
        let mut found = Found::default();
        for block in held {
            found.tokens += TOKENS_PER_BLOCK;
            found.foreign += u64::from(block.owner != owner);
        }
        found
    }

    /// Inserts or refreshes a prompt's blocks and evicts blocks beyond the capacity.
    pub fn put(&mut self, hashes: &[u64], owner: u64) {
        self.clock += STAMPS_PER_PROMPT;
        for (place, hash) in hashes.iter().enumerate() {
            let stamp = self.clock - place as u64;
            let before = self.blocks.insert(*hash, Block { stamp, owner });
            if let Some(before) = before {
                self.order.remove(&before.stamp);
            }
            self.order.insert(stamp, *hash);
        }
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.order.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}
