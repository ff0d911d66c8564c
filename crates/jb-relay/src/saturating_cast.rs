//! Numbers as datagrams carry them.

/// Converts a number to 32 bits; larger ones become the largest.
pub fn saturating_cast(number: impl TryInto<u32>) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}
