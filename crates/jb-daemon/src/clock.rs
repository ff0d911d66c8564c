//! The time of day, for what outlives a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Seconds since 1970 by the box's wall clock.
pub fn wall_s() -> u64 {
    since_1970().as_secs()
}

/// Nanoseconds since 1970, for ids that differ from start to start.
pub fn wall_ns() -> u64 {
    u64::try_from(since_1970().as_nanos()).unwrap_or(u64::MAX)
}

fn since_1970() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
