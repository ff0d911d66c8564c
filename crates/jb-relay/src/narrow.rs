//! Numbers as datagrams carry them.

/// A number in 32 bits; the greatest one stands for all that are greater.
pub fn narrow(number: impl TryInto<u32>) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}
