//! Moments by the clock that goes on while the machine is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{DynamicClockId, clock_gettime_dynamic};

/// Gives moments. Clones give the same ones.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The kernel's clock at the start; `None` where it has none that counts suspensions.
    started: Option<Duration>,
    steady: Instant,
    /// Milliseconds of suspensions that tests have brought about.
    skipped: Arc<AtomicU64>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: boot_time(),
            steady: Instant::now(),
            skipped: Arc::default(),
        }
    }

    /// The present moment, as the time since the start; it never goes back.
    pub fn now(&self) -> Duration {
        let skipped = Duration::from_millis(self.skipped.load(Ordering::Relaxed));
        let since_start = self.started.and_then(|at| Some(boot_time()?.saturating_sub(at)));
        since_start.unwrap_or_else(|| self.steady.elapsed()) + skipped
    }

    /// Time since the start in which the machine was suspended.
    pub fn suspended(&self) -> Duration {
        self.now().saturating_sub(self.steady.elapsed())
    }

    /// Whether the kernel's clock counts suspensions; without it ages are too low after one.
    pub fn counts_suspensions(&self) -> bool {
        self.started.is_some()
    }

    /// Lets so much time pass at once, which no timer counts, as a suspension does; for tests.
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
