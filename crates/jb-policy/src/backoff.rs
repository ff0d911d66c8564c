//! Backoff that an upstream asks one box for, and the recovery afterwards.

use std::time::Duration;

use crate::Moment;
use crate::signal::Signals;

/// Longest backoff that is accepted: an upstream that wants nothing for longer has ended, or the value
/// makes no sense.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3600);
/// Share of the concurrency at the begin of a backoff that is allowed at its end.
const RECOVERY_SHARE: f64 = 0.75;
/// Interval at which the concurrency limit recovers by one request.
pub const RECOVERY_INTERVAL: Duration = Duration::from_secs(4);

/// Backoff of one instance at one box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    until: Moment,
    /// The same without pauses that the upstream didn't ask for.
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
    /// Applies the signals of a response while `running` requests of the box are open there, the
    /// answered one included; returns the end of the backoff if they prolong it.
    pub fn observe(&mut self, signals: Signals, running: u32, now: Moment) -> Option<Moment> {
        let requested = signals.retry_after?.min(MAX_BACKOFF);
        let reduced = (f64::from(running.min(self.concurrency(now))) * RECOVERY_SHARE) as u32;
        // Of rejections that come together, the first one shows the highest concurrency.
        if now >= self.requested_until {
            self.limit = reduced.max(1);
        }
        let prolonged = now + requested > self.requested_until;
        self.requested_until = self.requested_until.max(now + requested);
        self.pause(requested, now);
        prolonged.then_some(self.requested_until)
    }

    /// Sends nothing for a time.
    ///
    /// Nothing shortens a backoff: a response to an earlier request may succeed, and one that asks for
    /// less may have been overtaken.
    pub fn pause(&mut self, time: Duration, now: Moment) {
        self.until = self.until.max(now + time);
    }

    /// Returns whether a box with `running` open requests there may send no other one.
    pub fn blocks(&self, running: u32, now: Moment) -> bool {
        self.is_active(now) || running >= self.concurrency(now)
    }

    /// Returns whether the backoff isn't over.
    pub fn is_active(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns the end of the backoff, which may have passed.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Requests that the box may have open there.
    fn concurrency(&self, now: Moment) -> u32 {
        let recovered = now.saturating_sub(self.requested_until).as_millis() / RECOVERY_INTERVAL.as_millis();
        self.limit
            .saturating_add(u32::try_from(recovered).unwrap_or(u32::MAX))
    }
}
