//! Identity of a prompt's prefixes.
//!
//! A prompt is cut into blocks, and each block's hash covers all blocks
//! before it. The first hash is seeded with the customer, the model and the
//! weights version, so another customer's entry, or one of older weights,
//! has another name and cannot be found by mistake.

use jb_protocol::token::{self, BYTES_PER_BLOCK, TOKENS_PER_BLOCK};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Blocks between two prefixes inside a level.
const BLOCKS_PER_MARK: usize = 8;
/// Level whose end names the root: the house style.
const ROOT_LEVEL: usize = 0;
/// Level whose end names the family: the tenant's template.
const FAMILY_LEVEL: usize = 1;
/// Tokens that name root and family of a prompt without levels.
const FAMILY_TOKENS: u32 = 512;

/// Hash of a prefix.
pub type Hash = u64;

/// A prefix at which cached state is remembered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the prefix.
    pub hash: Hash,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// What separates the prefixes of different owners.
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
    /// Seed of the first block's hash.
    pub fn seed(&self) -> Hash {
        let mut text = Vec::new();
        for part in [self.customer, self.model, self.weights] {
            text.extend_from_slice(&(part.len() as u64).to_le_bytes());
            text.extend_from_slice(part.as_bytes());
        }
        xxh3_64(&text)
    }

    /// The seed as the salt of the engines' caches.
    pub fn salt(&self) -> String {
        format!("{:016x}", self.seed())
    }
}

/// The prefixes of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// Marks, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// The outermost shared prefix; it decides where a prompt goes of which
    /// nothing is known to be cached anywhere.
    pub root: Prefix,
    /// The prefix that moves as a whole in a migration, and that decides
    /// between engines that cost about the same.
    pub family: Prefix,
}

impl Chain {
    /// Hashes a prompt given as its nested levels, the outermost first.
    pub fn new(scope: &Scope<'_>, levels: &[String]) -> Self {
        let seed = scope.seed();
        let text: String = levels.concat();
        let hashes = hash_blocks(seed, text.as_bytes());
        let ends = level_ends(levels);
        let prefixes = place_marks(&hashes, &ends);
        let root = end_of(ROOT_LEVEL, seed, &prefixes, &ends);
        let family = end_of(FAMILY_LEVEL, seed, &prefixes, &ends);
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

/// Number of whole blocks before the end of each level but the last, which
/// belongs to one request alone.
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

fn place_marks(hashes: &[Hash], ends: &[usize]) -> Vec<Prefix> {
    let wanted = |blocks: usize| {
        blocks.is_multiple_of(BLOCKS_PER_MARK) || blocks == hashes.len() || ends.contains(&blocks)
    };
    (1..=hashes.len())
        .filter(|blocks| wanted(*blocks))
        .map(|blocks| mark(hashes[blocks - 1], blocks))
        .collect()
}

fn mark(hash: Hash, blocks: usize) -> Prefix {
    Prefix {
        hash,
        tokens: u32::try_from(blocks)
            .unwrap_or(u32::MAX)
            .saturating_mul(TOKENS_PER_BLOCK),
    }
}

/// The last mark before the end of a level, or of the last shared level.
fn end_of(level: usize, seed: Hash, prefixes: &[Prefix], ends: &[usize]) -> Prefix {
    let tokens = match ends.get(level).or(ends.last()) {
        Some(blocks) if *blocks > 0 => mark(0, *blocks).tokens,
        _ => FAMILY_TOKENS,
    };
    let end = prefixes.iter().rev().find(|m| m.tokens <= tokens);
    end.or(prefixes.first()).copied().unwrap_or(Prefix {
        hash: seed,
        tokens: 0,
    })
}
