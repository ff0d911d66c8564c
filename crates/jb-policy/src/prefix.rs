//! Hashes of a prompt's prefixes.
//!
//! A prompt is divided into blocks, and the hash of each block covers all blocks before it. The first hash is
//! seeded with the customer, the model and the weights version, so cached state of another customer or other
//! weights has another hash and can't be matched by mistake.

use jb_protocol::token::{self, BYTES_PER_BLOCK, TOKENS_PER_BLOCK};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of blocks between two indexed prefixes inside a level.
const BLOCKS_PER_PREFIX: usize = 8;
/// Level at whose end the root prefix ends: the house style.
const ROOT_LEVEL: usize = 0;
/// Level at whose end the family prefix ends: the tenant's template.
const FAMILY_LEVEL: usize = 1;
/// Length in tokens of the root and family prefixes of a prompt without levels.
const FAMILY_TOKENS: u32 = 512;

/// Hash of a prefix.
pub type Hash = u64;

/// A prefix for which cached state is indexed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the prefix.
    pub hash: Hash,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Scope within which equal prefixes share cached state.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Customer.
    pub customer: &'a str,
    /// Model.
    pub model: &'a str,
    /// Version of the weights.
    pub weights: &'a str,
}

impl Scope<'_> {
    /// Returns the seed of the first block's hash.
    pub fn seed(&self) -> Hash {
        let mut text = Vec::new();
        for part in [self.customer, self.model, self.weights] {
            text.extend_from_slice(&(part.len() as u64).to_le_bytes());
            text.extend_from_slice(part.as_bytes());
        }
        xxh3_64(&text)
    }

    /// Returns the seed in the form of the cache salt that engines accept.
    pub fn salt(&self) -> String {
        format!("{:016x}", self.seed())
    }
}

/// Indexed prefixes of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// Prefixes, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// Outermost shared prefix; it determines the engine of a prompt that isn't known to be cached anywhere.
    pub root: Prefix,
    /// Prefix that is migrated as a whole, and that determines the engine among those with similar costs.
    pub family: Prefix,
}

impl Chain {
    /// Hashes a prompt that is given as nested levels, the outermost first.
    pub fn new(scope: &Scope<'_>, levels: &[String]) -> Self {
        let seed = scope.seed();
        let text: String = levels.concat();
        let hashes = hash_blocks(seed, text.as_bytes());
        let ends = level_ends(levels);
        let prefixes = select_prefixes(&hashes, &ends);
        let root = prefix_at_level(ROOT_LEVEL, seed, &prefixes, &ends);
        let family = prefix_at_level(FAMILY_LEVEL, seed, &prefixes, &ends);
        Self {
            prefixes,
            tokens: token::count(text.len()),
            root,
            family,
        }
    }
}

fn hash_blocks(seed: Hash, text: &[u8]) -> Vec<Hash> {
    text.chunks_exact(BYTES_PER_BLOCK)
        .scan(seed, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

/// Returns the number of whole blocks before the end of each level except the last, which is not shared
/// between requests.
fn level_ends(levels: &[String]) -> Vec<usize> {
    let shared = levels.len().saturating_sub(1);
    levels[..shared]
        .iter()
        .scan(0, |bytes, level| {
            *bytes += level.len();
            Some(*bytes / BYTES_PER_BLOCK)
        })
        .collect()
}

fn select_prefixes(hashes: &[Hash], ends: &[usize]) -> Vec<Prefix> {
    let is_indexed = |blocks: usize| {
        blocks.is_multiple_of(BLOCKS_PER_PREFIX) || blocks == hashes.len() || ends.contains(&blocks)
    };
    (1..=hashes.len())
        .filter(|blocks| is_indexed(*blocks))
        .map(|blocks| prefix(hashes[blocks - 1], blocks))
        .collect()
}

fn prefix(hash: Hash, blocks: usize) -> Prefix {
    Prefix {
        hash,
        tokens: u32::try_from(blocks)
            .unwrap_or(u32::MAX)
            .saturating_mul(TOKENS_PER_BLOCK),
    }
}

/// Returns the longest prefix that ends within a level, or within the last shared level if there are fewer.
fn prefix_at_level(level: usize, seed: Hash, prefixes: &[Prefix], ends: &[usize]) -> Prefix {
    let tokens = match ends.get(level).or(ends.last()) {
        Some(blocks) if *blocks > 0 => prefix(0, *blocks).tokens,
        _ => FAMILY_TOKENS,
    };
    let end = prefixes.iter().rev().find(|prefix| prefix.tokens <= tokens);
    end.or(prefixes.first()).copied().unwrap_or(Prefix {
        hash: seed,
        tokens: 0,
    })
}
