//! Responses that make no progress, although bytes of them may arrive without end.

use std::time::Duration;

use jb_policy::Moment;

use crate::admission::AdmittedRequest;
use crate::core::Core;

/// Time since the last progress of a response.
pub struct Stall {
    /// When the response last made progress, or was found to have no other upstream that could take over.
    since: Moment,
    /// When it is given up if nothing of it could be delivered.
    pub give_up_at: Moment,
}

impl Stall {
    /// Begins with the head of a response. Half of the remaining time is left for a retry by the caller.
    pub fn new(core: &Core, request: &AdmittedRequest) -> Self {
        let now = core.now();
        let left = request.deadline.saturating_sub(now);
        Self {
            since: now,
            give_up_at: now + request.route.response_stall_timeout().max(left / 2),
        }
    }

    /// Notes progress, or a check after which the response is waited for.
    pub fn restart(&mut self, now: Moment) {
        self.since = now;
    }

    /// Returns the time left until the response counts as stalled.
    pub fn left(&self, timeout: Duration, now: Moment) -> Duration {
        (self.since + timeout).saturating_sub(now)
    }
}
