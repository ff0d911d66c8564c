//! Index of prompt prefixes to the engines that have them cached.
//!
//! It is updated by the cached-token count in each response, so it costs no extra messages. Two generations
//! bound its memory: when the young one is full it becomes the old one, and entries of the previous old one
//! that were not used since are dropped. An engine's epoch rises with each incarnation, which invalidates all
//! entries of earlier incarnations without a search.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use crate::prefix::{Chain, Hash};

/// Maximum number of engines that are kept for one prefix.
const MAX_HOLDERS: usize = 8;

/// EngineIndex of an engine within its service.
pub type EngineIndex = u32;
/// Number of an engine's incarnations that this box has observed.
pub type Epoch = u32;
/// Number of blocks that were inserted into an engine's cache; wraps around.
pub type Fill = u32;

/// An engine that has a prefix cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineIndex,
    /// Epoch of the engine when the entry was made.
    pub epoch: Epoch,
    /// Fill of the engine's cache when the entry was made.
    pub fill: Fill,
}

/// Longest prefix of a prompt that is known to be cached at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Match {
    /// The engine.
    pub engine: EngineIndex,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Hasher that returns the key unchanged, as the keys are hashes already.
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

/// Holders of one prefix in an array of fixed size, the newest last.
#[derive(Clone, Copy, Debug)]
struct Holders {
    count: u8,
    list: [Holder; MAX_HOLDERS],
}

impl Holders {
    const EMPTY: Self = Self {
        count: 0,
        list: [Holder {
            engine: 0,
            epoch: 0,
            fill: 0,
        }; MAX_HOLDERS],
    };

    fn as_slice(&self) -> &[Holder] {
        &self.list[..usize::from(self.count)]
    }

    fn remove(&mut self, engine: EngineIndex) {
        let Some(at) = self.as_slice().iter().position(|holder| holder.engine == engine) else {
            return;
        };
        self.list.copy_within(at + 1..usize::from(self.count), at);
        self.count -= 1;
    }

    fn insert(&mut self, holder: Holder) {
        self.remove(holder.engine);
        if usize::from(self.count) == MAX_HOLDERS {
            self.list.copy_within(1.., 0);
            self.count -= 1;
        }
        self.list[usize::from(self.count)] = holder;
        self.count += 1;
    }
}

type Generation = HashMap<Hash, Holders, BuildHasherDefault<IdentityHasher>>;

/// Prefix index of one service's engines in one hall.
#[derive(Default)]
pub struct PrefixIndex {
    young: Generation,
    old: Generation,
    capacity: usize,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` prefixes in each generation.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            ..Self::default()
        }
    }

    /// Returns the number of prefixes in both generations.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the longest cached prefix of a prompt at each engine that has any; `is_valid` selects the
    /// entries that are still valid.
    pub fn lookup(&self, chain: &Chain, is_valid: impl Fn(&Holder) -> bool) -> Vec<Match> {
        let mut found: Vec<Match> = Vec::with_capacity(MAX_HOLDERS);
        for prefix in chain.prefixes.iter().rev() {
            let Some(holders) = self.get(prefix.hash) else {
                continue;
            };
            for holder in holders.as_slice() {
                let seen = found.iter().any(|known| known.engine == holder.engine);
                if !seen && is_valid(holder) {
                    found.push(Match {
                        engine: holder.engine,
                        tokens: prefix.tokens,
                    });
                }
            }
        }
        found
    }

    /// Inserts that an engine has the first `tokens` tokens of a prompt cached.
    pub fn insert(&mut self, chain: &Chain, holder: Holder, tokens: u32) {
        for prefix in chain.prefixes.iter().take_while(|prefix| prefix.tokens <= tokens) {
            self.entry(prefix.hash).insert(holder);
        }
    }

    /// Removes an engine's entries for prefixes of a prompt that are longer than `tokens`.
    pub fn remove_beyond(&mut self, chain: &Chain, engine: EngineIndex, tokens: u32) {
        for prefix in chain.prefixes.iter().filter(|prefix| prefix.tokens > tokens) {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(holders) = generation.get_mut(&prefix.hash) {
                    holders.remove(engine);
                }
            }
        }
    }

    fn get(&self, hash: Hash) -> Option<&Holders> {
        self.young.get(&hash).or_else(|| self.old.get(&hash))
    }

    /// Returns the holders of a prefix in the young generation; an entry in the old one is moved there.
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
