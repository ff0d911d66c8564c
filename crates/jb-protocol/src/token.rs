//! How text is counted in tokens and cut into cache blocks.

/// Bytes of text counted as one token where no tokenizer is at hand.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one cache block.
pub const TOKENS_PER_BLOCK: u32 = 16;
/// Bytes of text in one cache block.
pub const BYTES_PER_BLOCK: usize = BYTES_PER_TOKEN * TOKENS_PER_BLOCK as usize;

/// Counts the tokens of a text of `bytes` bytes, rounded up.
pub fn count(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
