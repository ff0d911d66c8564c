//! Text that the engine stand-in generates.
//!
//! It depends only on the prompt, so a caller can check that it received the
//! complete response to its own request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns token `index` of the response to a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the complete response of `count` tokens.
pub fn whole(prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}
