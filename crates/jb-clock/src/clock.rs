//! Clock based on the kernel's boot time, which advances while the machine is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{DynamicClockId, clock_gettime_dynamic};

/// A monotonic clock; clones share its origin and return the same times.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Boot time at the start; `None` when the kernel has no clock that includes suspensions.
    started: Option<Duration>,
    steady: Instant,
    /// Milliseconds of suspension simulated by tests.
    skipped: Arc<AtomicU64>,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self {
            started: boot_time(),
            steady: Instant::now(),
            skipped: Arc::default(),
        }
    }

    /// Returns the time since the start, including suspensions; it never decreases.
    pub fn now(&self) -> Duration {
        let skipped = Duration::from_millis(self.skipped.load(Ordering::Relaxed));
        let since_start = self.started.and_then(|at| Some(boot_time()?.saturating_sub(at)));
        since_start.unwrap_or_else(|| self.steady.elapsed()) + skipped
    }

    /// Returns the total time since the start in which the machine was suspended.
    pub fn suspended(&self) -> Duration {
        self.now().saturating_sub(self.steady.elapsed())
    }

    /// Returns whether the kernel's clock includes suspensions. If not, ages are underestimated after one.
    pub fn counts_suspensions(&self) -> bool {
        self.started.is_some()
    }

    /// Advances the clock but no timers, to simulate a suspension in tests.
    pub fn skip(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.skipped.fetch_add(millis, Ordering::Relaxed);
    }
}

fn boot_time() -> Option<Duration> {
    let time = clock_gettime_dynamic(DynamicClockId::Boottime).ok()?;
    let (seconds, nanos) = (
        u64::try_from(time.tv_sec).ok()?,
        u32::try_from(time.tv_nsec).ok()?,
    );
    Some(Duration::new(seconds, nanos))
}
