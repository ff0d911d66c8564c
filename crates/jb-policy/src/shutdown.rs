//! Times of a graceful shutdown: until when requests are admitted, and when the last of them are answered.

use std::time::Duration;

use crate::Moment;

/// Time from the signal in which new requests are admitted. Later ones could be cut off at the end of the grace period,
/// which the platform counts as a failure of the box.
const ADMISSION_PERIOD: Duration = Duration::from_millis(2900);
/// Part of the grace period that is reserved for the process to exit.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// Time before the exit in which requests that are still open are answered, and the answers reach their callers.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// Times of one shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    signalled_at: Moment,
    answer_by: Moment,
    exit_by: Moment,
}

impl Schedule {
    /// Creates the schedule of a box that is killed `grace` after it was told to stop.
    pub fn new(signalled_at: Moment, grace: Duration) -> Self {
        let time_to_exit = grace.saturating_sub(EXIT_RESERVE);
        Self {
            signalled_at,
            answer_by: signalled_at + time_to_exit.saturating_sub(ANSWER_RESERVE),
            exit_by: signalled_at + time_to_exit,
        }
    }

    /// Returns when the box was told to stop.
    pub fn signalled_at(&self) -> Moment {
        self.signalled_at
    }

    /// Returns when the requests that are still open are answered.
    pub fn answer_by(&self) -> Moment {
        self.answer_by
    }

    /// Returns when the box exits, whatever is open.
    pub fn exit_by(&self) -> Moment {
        self.exit_by
    }

    /// Returns whether new requests are admitted.
    pub fn admits(&self, now: Moment) -> bool {
        now <= self.signalled_at + ADMISSION_PERIOD
    }

    /// Returns whether an attempt that starts now and takes `time` ends before open requests are answered.
    pub fn fits(&self, now: Moment, time: Duration) -> bool {
        now + time <= self.answer_by
    }
}
