//! Wall clock, for values that outlive the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in seconds since the Unix epoch.
pub fn wall_s() -> u64 {
    since_epoch().as_secs()
}

/// Returns the wall-clock time in nanoseconds since the Unix epoch, for ids that must differ between starts.
pub fn wall_ns() -> u64 {
    u64::try_from(since_epoch().as_nanos()).unwrap_or(u64::MAX)
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
