//! The box's clock: moments since the process started.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use jb_policy::Moment;

/// Gives moments to the decisions.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The present moment; it never goes back.
    pub fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Seconds since 1970 by the box's wall clock.
    pub fn wall_s(&self) -> u64 {
        since_1970().as_secs()
    }
}

/// Nanoseconds since 1970, for ids that differ from start to start.
pub fn wall_ns() -> u64 {
    u64::try_from(since_1970().as_nanos()).unwrap_or(u64::MAX)
}

fn since_1970() -> std::time::Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
