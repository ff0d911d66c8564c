//! What this box knows of the engines' caches.
//!
//! The index leads from a prefix to the engines that held it when last known
//! of. It is fed by the cached-token count of each answer, which costs no
//! message. Two generations bound its memory: when the young one is full it
//! becomes the old one, and what was not used since is forgotten. An engine's
//! epoch grows with each incarnation, so that facts of an earlier one are
//! void at once without being searched for.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use crate::prefix::{Chain, Hash};

/// Engines remembered for one prefix.
const HOLDERS: usize = 8;

/// EngineIndex of an engine within its service.
pub type EngineIndex = u32;
/// Count of an engine's incarnations as this box has seen them.
pub type Epoch = u32;
/// Blocks that have been put into an engine's cache so far; it wraps around.
pub type Fill = u32;

/// An engine that holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineIndex,
    /// Its epoch when the fact was learned.
    pub epoch: Epoch,
    /// Its fill when the fact was learned.
    pub fill: Fill,
}

/// A known length of a prompt at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Match {
    /// The engine.
    pub engine: EngineIndex,
    /// Tokens of the prompt that it held.
    pub tokens: u32,
}

/// The keys are hashes already; hashing them again would only cost time.
#[derive(Default)]
pub struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// Fixed room for the holders of one prefix, the newest last.
#[derive(Clone, Copy, Debug)]
struct Holders {
    count: u8,
    list: [Holder; HOLDERS],
}

impl Holders {
    const EMPTY: Self = Self {
        count: 0,
        list: [Holder {
            engine: 0,
            epoch: 0,
            fill: 0,
        }; HOLDERS],
    };

    fn as_slice(&self) -> &[Holder] {
        &self.list[..usize::from(self.count)]
    }

    fn remove(&mut self, engine: EngineIndex) {
        let Some(at) = self.as_slice().iter().position(|h| h.engine == engine) else {
            return;
        };
        self.list.copy_within(at + 1..usize::from(self.count), at);
        self.count -= 1;
    }

    fn insert(&mut self, holder: Holder) {
        self.remove(holder.engine);
        if usize::from(self.count) == HOLDERS {
            self.list.copy_within(1.., 0);
            self.count -= 1;
        }
        self.list[usize::from(self.count)] = holder;
        self.count += 1;
    }
}

type Generation = HashMap<Hash, Holders, BuildHasherDefault<IdentityHasher>>;

/// The index of one service's engines in one hall.
#[derive(Default)]
pub struct PrefixIndex {
    young: Generation,
    old: Generation,
    capacity: usize,
}

impl PrefixIndex {
    /// Makes an index of at most `capacity` prefixes in each generation.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            ..Self::default()
        }
    }

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The longest known prefix of a prompt at each engine that holds any;
    /// `is_valid` selects the facts that still hold.
    pub fn lookup(&self, chain: &Chain, is_valid: impl Fn(&Holder) -> bool) -> Vec<Match> {
        let mut found: Vec<Match> = Vec::with_capacity(HOLDERS);
        for mark in chain.prefixes.iter().rev() {
            let Some(holders) = self.get(mark.hash) else {
                continue;
            };
            for holder in holders.as_slice() {
                let seen = found.iter().any(|k| k.engine == holder.engine);
                if !seen && is_valid(holder) {
                    found.push(Match {
                        engine: holder.engine,
                        tokens: mark.tokens,
                    });
                }
            }
        }
        found
    }

    /// Learns that an engine holds a prompt up to `tokens`.
    pub fn insert(&mut self, chain: &Chain, holder: Holder, tokens: u32) {
        for mark in chain.prefixes.iter().take_while(|m| m.tokens <= tokens) {
            self.entry(mark.hash).insert(holder);
        }
    }

    /// Learns that an engine held no more than `tokens` of a prompt.
    pub fn remove_beyond(&mut self, chain: &Chain, engine: EngineIndex, tokens: u32) {
        for mark in chain.prefixes.iter().filter(|m| m.tokens > tokens) {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(holders) = generation.get_mut(&mark.hash) {
                    holders.remove(engine);
                }
            }
        }
    }

    fn get(&self, hash: Hash) -> Option<&Holders> {
        self.young.get(&hash).or_else(|| self.old.get(&hash))
    }

    /// The entry of a prefix in the young generation, moved there if need be.
    fn entry(&mut self, hash: Hash) -> &mut Holders {
        if !self.young.contains_key(&hash) && self.young.len() >= self.capacity {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        self.young
            .entry(hash)
            .or_insert_with(|| old.remove(&hash).unwrap_or(Holders::EMPTY))
    }
}
