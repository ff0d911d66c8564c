//! The prefix cache of an engine: blocks by hash, the least recently used
//! evicted first, the end of a prompt before its beginning.

use std::collections::{BTreeMap, HashMap};

use jb_protocol::token::{BYTES_PER_BLOCK, TOKENS_PER_BLOCK};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Stamps given to the blocks of one prompt.
const STAMPS_PER_PROMPT: u64 = 1 << 20;

#[derive(Clone, Copy, Debug)]
struct Block {
    stamp: u64,
    owner: u64,
}

/// What a prompt found in the cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Tokens found.
    pub tokens: u32,
    /// Blocks among them that another owner had left.
    pub foreign: u64,
}

/// The cache.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    blocks: HashMap<u64, Block>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

/// Hashes of a prompt's whole blocks, seeded with the salt.
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
    /// A cache of `tokens` tokens.
    pub fn new(tokens: u32) -> Self {
        Self {
            capacity: (tokens / TOKENS_PER_BLOCK) as usize,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Length of the longest prefix that is cached.
    pub fn find(&self, hashes: &[u64], owner: u64) -> Found {
        let held = hashes.iter().map_while(|hash| self.blocks.get(hash));
        let mut found = Found::default();
        for block in held {
            found.tokens += TOKENS_PER_BLOCK;
            found.foreign += u64::from(block.owner != owner);
        }
        found
    }

    /// Puts a prompt's blocks, or refreshes them, and evicts what is too much.
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

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}
