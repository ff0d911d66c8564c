//! Times of a graceful shutdown: until when requests are admitted, and when the last of them are answered.
//!
//! A box doesn't know exactly when it was told to stop. What has to happen before it is killed counts from the earliest time
//! at which the signal may have been sent. What may go on until then counts from the latest, when the signal was noticed.

use std::time::Duration;

use crate::Moment;

/// Time from when the signal was sent after which a request that is cut off at the end of the grace period counts as a
/// failure of the box.
const MAX_ADMISSION_PERIOD: Duration = Duration::from_secs(3);
/// Longest time for which a box may not notice a signal without counting as having stood still.
pub const MAX_UNNOTICED: Duration = Duration::from_millis(120);
/// Time from the signal in which new requests are admitted, however late it was noticed.
const ADMISSION_PERIOD: Duration = Duration::from_millis(2850);
const _: () =
    assert!(ADMISSION_PERIOD.as_millis() + MAX_UNNOTICED.as_millis() < MAX_ADMISSION_PERIOD.as_millis());
/// Time before the kill in which requests without a response are answered, and the answers reach their callers.
const ANSWER_RESERVE: Duration = Duration::from_millis(500);
/// Time before the kill in which the responses are logged that it may cut off.
const LOG_RESERVE: Duration = Duration::from_millis(300);
/// Longest delay of the box's tasks that both reserves grow by.
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
    log_by: Moment,
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
        let time_left = grace.saturating_sub(signal.delay.min(MAX_DELAY));
        Self {
            signalled_at,
            answer_by: signalled_at + time_left.saturating_sub(ANSWER_RESERVE),
            log_by: signalled_at + time_left.saturating_sub(LOG_RESERVE),
            exit_by: signal.noticed_at + grace,
        }
    }

    /// Returns the earliest time at which the box may have been told to stop.
    pub fn signalled_at(&self) -> Moment {
        self.signalled_at
    }

    /// Returns when the requests that have no response yet are answered.
    pub fn answer_by(&self) -> Moment {
        self.answer_by
    }

    /// Returns when the responses are logged that are still incomplete, as the box may be killed soon.
    pub fn log_by(&self) -> Moment {
        self.log_by
    }

    /// Returns when the box exits, whatever is open. By then it should have been killed: a response that has begun can only
    /// gain from each moment before that.
    pub fn exit_by(&self) -> Moment {
        self.exit_by
    }

    /// Returns whether new requests are admitted.
    pub fn admits(&self, now: Moment) -> bool {
        now <= self.signalled_at + ADMISSION_PERIOD
    }

    /// Returns whether an attempt that starts now and takes `time` ends before requests without a response are answered.
    pub fn fits(&self, now: Moment, time: Duration) -> bool {
        now + time <= self.answer_by
    }
}
