//! Ejection of failing upstreams, and their gradual return.

use std::time::Duration;

use crate::Moment;

/// Consecutive failures after which an upstream is ejected.
const FAILURE_THRESHOLD: u32 = 2;
/// Duration of the first ejection; it doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(15);
/// Doublings after which the ejection grows no further.
const MAX_DOUBLINGS: u32 = 5;

/// Change of an upstream's state by the result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The upstream is ejected.
    Ejected,
    /// The upstream receives requests without restriction again.
    Returned,
}

/// Failures and ejection of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejected_until: Moment,
    is_probing: bool,
}

impl Health {
    /// Returns whether the upstream may receive a request.
    ///
    /// After an ejection it receives one request at a time until one succeeds.
    pub fn is_available(&self, now: Moment) -> bool {
        self.failures < FAILURE_THRESHOLD || (now >= self.ejected_until && !self.is_probing)
    }

    /// Notes that a request was sent.
    pub fn note_sent(&mut self) {
        if self.failures >= FAILURE_THRESHOLD {
            self.is_probing = true;
        }
    }

    /// Notes that a request succeeded.
    pub fn note_success(&mut self) -> Change {
        let was_ejected = self.failures >= FAILURE_THRESHOLD;
        *self = Self::default();
        if was_ejected {
            Change::Returned
        } else {
            Change::None
        }
    }

    /// Notes that a request ended without showing whether the upstream works, for example cancelled by its
    /// caller.
    pub fn note_inconclusive(&mut self) {
        self.is_probing = false;
    }

    /// Notes that a request failed because of the upstream.
    pub fn note_failure(&mut self, now: Moment) -> Change {
        self.is_probing = false;
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURE_THRESHOLD {
            return Change::None;
        }
        let doublings = (self.failures - FAILURE_THRESHOLD).min(MAX_DOUBLINGS);
        let ejection = FIRST_EJECTION * 2_u32.pow(doublings);
        self.ejected_until = now + ejection.min(MAX_EJECTION);
        if self.failures == FAILURE_THRESHOLD {
            Change::Ejected
        } else {
            Change::None
        }
    }
}
