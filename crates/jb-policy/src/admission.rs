//! Admission control: which requests are sent at once, which are queued in the box, and which are rejected.
//!
//! An engine prefills prompts in order of arrival and generates no tokens meanwhile, so when it receives more
//! prompt tokens than it can prefill, all first tokens are late. A prompt is sent only while it, and urgent
//! prompts behind it, can still meet their targets. A prompt that may meet its target later is queued in the
//! box. A prompt that has missed its target is rejected at once with a time to retry after; keeping it until
//! its deadline would prolong the overload.

use std::time::Duration;

/// Share of the target up to which an engine's queue is filled; the rest covers errors of the estimated time
/// to first token.
const FILL_SHARE: f64 = 0.65;
/// Share of that limit up to which late requests fill a queue, so that another request can still meet its target.
const LATE_FILL_SHARE: f64 = 0.4;

/// A request to admit.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time since its arrival.
    pub waited: Duration,
    /// Target for the time from its arrival to its first token, or until its caller gives up if that is less.
    pub ttft_target: Duration,
    /// Shortest target of the routes of the same service that are at least as urgent.
    pub urgent_ttft_target: Duration,
}

/// Estimate for the request at the best engine.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Time to first token if it is sent now.
    pub ttft: Duration,
    /// Whether prompts are queued at the engine.
    pub has_queue: bool,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the engine.
    Send,
    /// Keep it queued in the box.
    Queue,
    /// Reject it, as it misses its target; retry after this time.
    Reject(Duration),
}

/// Decides on a request of which no attempt has been sent.
pub fn decide(request: &Request, estimate: &Estimate) -> Decision {
    let Estimate { ttft, has_queue } = *estimate;
    if !has_queue {
        return Decision::Send;
    }
    let limit = request
        .urgent_ttft_target
        .min(request.ttft_target)
        .mul_f64(FILL_SHARE);
    let late = request.waited + ttft > request.ttft_target;
    if late && ttft > limit.mul_f64(LATE_FILL_SHARE) {
        return Decision::Reject(ttft.saturating_sub(limit));
    }
    if ttft > limit {
        return Decision::Queue;
    }
    Decision::Send
}
