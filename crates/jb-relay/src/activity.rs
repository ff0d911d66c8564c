//! How late the tasks of the box run: its machine may be frozen or overloaded.

use std::cell::Cell;
use std::time::Duration;

use jb_policy::Moment;
use tokio::time::sleep;

use crate::core::{Core, Shared};

/// Interval at which the box notes that it runs.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a delay is remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// When the box last ran, and how late its tasks were lately.
#[derive(Debug, Default)]
pub struct Activity {
    last: Cell<Moment>,
    worst: Cell<Delay>,
}

/// How late a task ran.
#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    time: Duration,
    at: Moment,
}

impl Activity {
    /// Notes that the box runs, `expected` after it last did.
    pub fn note(&self, now: Moment, expected: Duration) {
        let late = now
            .saturating_sub(self.last.replace(now))
            .saturating_sub(expected);
        let worst = self.worst.get();
        if late >= worst.time || now > worst.at + MEMORY {
            self.worst.set(Delay { time: late, at: now });
        }
    }

    /// Returns the last moment at which the box is known to have run.
    pub fn last(&self) -> Moment {
        self.last.get()
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
    core.activity.last.set(core.now());
    loop {
        sleep(INTERVAL).await;
        note(&core);
    }
}

fn note(core: &Core) {
    core.activity.note(core.now(), INTERVAL);
}
