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
/// Longest delay of the box's tasks that both reserves grow by. Responses that have begun may run on into the last sixth of
/// the grace period.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Largest part of the grace period by which the signal may have been sent before it was noticed.
const MAX_UNNOTICED_SHARE: f64 = 0.5;

/// What a box knows of the signal that tells it to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Signal {
    /// When the box noticed it.
    pub noticed_at: Moment,
    /// When it may have been sent at the earliest: when the box last ran before, if it has stood still.
    pub earliest_at: Moment,
    /// How late the tasks of the box have run lately.
    pub delay: Duration,
}

/// Times of one shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    signalled_at: Moment,
    answer_by: Moment,
    exit_by: Moment,
}

impl Schedule {
    /// Creates the schedule of a box that is killed `grace` after the signal was sent, which may be long before it was
    /// noticed if the box didn't run.
    pub fn new(signal: Signal, grace: Duration) -> Self {
        let longest = grace.mul_f64(MAX_UNNOTICED_SHARE);
        let signalled_at = signal
            .earliest_at
            .max(signal.noticed_at.saturating_sub(longest))
            .min(signal.noticed_at);
        let time_to_exit = grace.saturating_sub(EXIT_RESERVE + signal.delay.min(MAX_DELAY));
        Self {
            signalled_at,
            answer_by: signalled_at + time_to_exit.saturating_sub(ANSWER_RESERVE),
            exit_by: signalled_at + time_to_exit,
        }
    }

    /// Returns the earliest time at which the box may have been told to stop.
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
