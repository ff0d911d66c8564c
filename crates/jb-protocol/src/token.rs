//! Token estimates and the size of cache blocks.

/// Assumed bytes of text per token, where no tokenizer is available.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens per cache block.
pub const TOKENS_PER_BLOCK: u32 = 16;
/// Bytes of text per cache block.
pub const BYTES_PER_BLOCK: usize = BYTES_PER_TOKEN * TOKENS_PER_BLOCK as usize;

/// Estimates the number of tokens in a text of `bytes` bytes, rounded up.
pub fn count(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
