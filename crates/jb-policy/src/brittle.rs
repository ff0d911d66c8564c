//! Services whose upstreams crash when they have to reject too many requests.
//!
//! While a service is brittle, a request is sent to an upstream only if a slot and memory are known to be free for it,
//! so that nothing waits there, as an upstream may shorten its queue.

use std::time::Duration;

use crate::Moment;

/// Time after the last signal until which a service counts as brittle if no response shows that it has ended.
const SIGNAL_LIFETIME: Duration = Duration::from_secs(15);
/// Time for which an upstream without room is not asked again by the same box.
pub const FULL_PAUSE: Duration = Duration::from_millis(25);
/// Time for which a box sends nothing to a brittle upstream that has rejected a request: the rejections of one second
/// count.
pub const REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// `Retry-After` of requests for which no brittle upstream has room.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Whether a service is brittle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Brittleness {
    last_signal: Option<Moment>,
}

impl Brittleness {
    /// Notes that an upstream of the service has signalled that it is brittle; returns whether that is new.
    pub fn note_signal(&mut self, now: Moment) -> bool {
        let is_new = !self.is_active(now);
        self.last_signal = Some(now);
        is_new
    }

    /// Notes a response without the signal to a request that was sent at `sent`. One that was sent before the last
    /// signal arrived shows nothing, as responses on different connections overtake each other.
    pub fn note_absence(&mut self, sent: Moment) {
        if self.last_signal < Some(sent) {
            self.last_signal = None;
        }
    }

    /// Returns whether the service is brittle.
    pub fn is_active(&self, now: Moment) -> bool {
        self.last_signal.is_some_and(|at| now < at + SIGNAL_LIFETIME)
    }
}

/// Returns the requests that a box may have at an upstream while it can't ask the box that counts them all.
pub fn own_share(slots: u32, boxes: usize) -> u32 {
    let boxes = u32::try_from(boxes.max(1)).unwrap_or(u32::MAX);
    (slots / boxes).max(1)
}
