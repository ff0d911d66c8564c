//! How late the tasks of the box run: its machine may be frozen or overloaded.

use std::cell::Cell;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::shutdown::MAX_UNNOTICED;
use tokio::time::sleep;

use crate::core::Shared;

/// Interval at which the box notes that it runs, shorter than [`MAX_UNNOTICED`] so that timers which fire slightly late are no
/// standstill.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a delay is remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// When the box last ran, and how late its tasks were lately.
#[derive(Debug, Default)]
pub struct Activity {
    last: Cell<Moment>,
    before_last: Cell<Moment>,
    worst: Cell<Delay>,
}

/// How late a task ran.
#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    time: Duration,
    at: Moment,
}

impl Activity {
    /// Notes that the box runs.
    pub fn note(&self, now: Moment) {
        let last = self.last.replace(now);
        self.before_last.set(last);
        let late = now.saturating_sub(last + INTERVAL);
        if late >= self.worst_delay(now) {
            self.worst.set(Delay { time: late, at: now });
        }
    }

    /// Returns the earliest time at which an event can have happened that the box notices now: if it has just stood still,
    /// when it last ran before. It may have noted that it runs again before it notices the event.
    pub fn earliest_event(&self, now: Moment) -> Moment {
        let (last, before_last) = (self.last.get(), self.before_last.get());
        let has_gap = |from: Moment, until: Moment| until > from + MAX_UNNOTICED;
        if has_gap(last, now) {
            last
        } else if has_gap(before_last, last) {
            before_last
        } else {
            now
        }
    }

    /// Returns how late tasks were lately, at worst.
    pub fn worst_delay(&self, now: Moment) -> Duration {
        let worst = self.worst.get();
        if now > worst.at + MEMORY {
            Duration::ZERO
        } else {
            worst.time
        }
    }
}

/// Notes that the box runs, until the task is dropped.
pub async fn watch(core: Shared) {
    loop {
        core.activity.note(core.now());
        sleep(INTERVAL).await;
    }
}
