//! Leaving failing upstreams out, and letting them return with care.

use std::time::Duration;

use crate::Moment;

/// Failures in a row after which an upstream is left out.
const FAILURES: u32 = 2;
/// First time of being left out; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time of being left out.
const LONGEST_PAUSE: Duration = Duration::from_secs(15);
/// Doublings after which the pause grows no further.
const DOUBLINGS: u32 = 5;

/// What a report of success or failure changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The upstream is left out from now on.
    Ejected,
    /// The upstream is in full use again.
    Returned,
}

/// Record of one upstream's failures.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    paused_until: Moment,
    trial: bool,
}

impl Health {
    /// Whether the upstream may get a request now.
    ///
    /// After its pause it gets one request at a time until one succeeds.
    pub fn is_available(&self, now: Moment) -> bool {
        self.failures < FAILURES || (now >= self.paused_until && !self.trial)
    }

    /// Notes that a request is sent.
    pub fn note_sent(&mut self) {
        if self.failures >= FAILURES {
            self.trial = true;
        }
    }

    /// Notes that a request ended well.
    pub fn note_success(&mut self) -> Change {
        let was_out = self.failures >= FAILURES;
        *self = Self::default();
        if was_out { Change::Returned } else { Change::None }
    }

    /// Notes that a request ended without telling anything about the upstream.
    pub fn note_inconclusive(&mut self) {
        self.trial = false;
    }

    /// Notes that a request failed through the upstream's fault.
    pub fn note_failure(&mut self, now: Moment) -> Change {
        self.trial = false;
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES {
            return Change::None;
        }
        let doublings = (self.failures - FAILURES).min(DOUBLINGS);
        let pause = FIRST_PAUSE * 2_u32.pow(doublings);
        self.paused_until = now + pause.min(LONGEST_PAUSE);
        if self.failures == FAILURES {
            Change::Ejected
        } else {
            Change::None
        }
    }
}
