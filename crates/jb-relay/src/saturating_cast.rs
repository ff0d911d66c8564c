//! Saturating conversion of numbers for datagrams.

/// Converts a number to 32 bits; numbers that don't fit become [`u32::MAX`].
pub fn saturating_cast(number: impl TryInto<u32>) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}
