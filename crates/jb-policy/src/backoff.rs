//! Backoff that an upstream requests from one box, and the gradual recovery afterwards.

use std::time::Duration;

use crate::Moment;
use crate::signal::Signals;

/// Longest accepted backoff: an upstream that requests a longer one has terminated, or the value is
/// erroneous.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3600);
/// Fraction of the concurrency at the start of a backoff that is allowed at its end.
const RECOVERY_FRACTION: f64 = 0.75;
/// Interval at which the concurrency limit rises by one request after a backoff.
pub const RECOVERY_INTERVAL: Duration = Duration::from_secs(4);

/// Backoff of one box towards one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// End of the backoff, with pauses that the box imposed itself.
    until: Moment,
    /// End of the backoff that the upstream has requested.
    requested_until: Moment,
    /// Concurrency limit at the end of the backoff.
    limit: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            until: Moment::ZERO,
            requested_until: Moment::ZERO,
            limit: u32::MAX,
        }
    }
}

impl Backoff {
    /// Applies the signals of a response and returns the end of the backoff if they prolong it; `running`
    /// counts the box's open requests at the instance, including the answered one.
    pub fn observe(&mut self, signals: Signals, running: u32, now: Moment) -> Option<Moment> {
        let requested = signals.retry_after?.min(MAX_BACKOFF);
        let reduced = (f64::from(running.min(self.concurrency(now))) * RECOVERY_FRACTION) as u32;
        // Of rejections that arrive together, the first one observes the highest concurrency.
        if now >= self.requested_until {
            self.limit = reduced.max(1);
        }
        let prolonged = now + requested > self.requested_until;
        self.requested_until = self.requested_until.max(now + requested);
        self.pause(requested, now);
        prolonged.then_some(self.requested_until)
    }

    /// Pauses requests for a duration that the upstream has not requested.
    ///
    /// Nothing shortens a backoff: a successful response may belong to an earlier request, and a response
    /// that requests a shorter backoff may have been overtaken by a later one.
    pub fn pause(&mut self, time: Duration, now: Moment) {
        self.until = self.until.max(now + time);
    }

    /// Returns whether a box with `running` open requests at the instance must not send another one.
    pub fn blocks(&self, running: u32, now: Moment) -> bool {
        self.is_active(now) || running >= self.concurrency(now)
    }

    /// Returns whether the backoff has not ended yet.
    pub fn is_active(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns the end of the backoff, which may be in the past.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Returns the number of requests that the box may have open at the instance.
    fn concurrency(&self, now: Moment) -> u32 {
        let recovered = now.saturating_sub(self.requested_until).as_millis() / RECOVERY_INTERVAL.as_millis();
        self.limit
            .saturating_add(u32::try_from(recovered).unwrap_or(u32::MAX))
    }
}
