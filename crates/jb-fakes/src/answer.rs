//! The text that a stand-in engine generates.
//!
//! It follows from the prompt alone, so a caller can tell whether it got the
//! whole answer to its own request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Token `index` of the answer to a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    format!("{:04x} ", hash & 0xffff)
}

/// The whole answer of `count` tokens.
pub fn whole(prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}
