//! Admission: which requests are sent at once, which wait in the box, and which are rejected.
//!
//! An engine reads prompts in the order in which they arrive, and its running streams stop meanwhile: when
//! it receives more than it reads, all first tokens are late. So a prompt is sent only while it, and urgent
//! ones after it, can still be in time. One that may be in time later waits in the box. One that can't be
//! in time any more is rejected at once with the time after which there is room; waiting for its deadline
//! would keep up the overload.

use std::time::Duration;

/// Share of the target latency up to which an engine is filled, as estimates of the first token are inexact.
const FILL_SHARE: f64 = 0.65;
/// Share of the same limit up to which late requests may fill an engine, so that another one still fits in.
const LATE_FILL_SHARE: f64 = 0.4;

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time since it came.
    pub waited: Duration,
    /// Time in which its first token is wanted, or its caller gives up.
    pub ttft_target: Duration,
    /// The least time wanted by a request that is as urgent or more, of the same service.
    pub urgent_ttft_target: Duration,
}

/// What the best engine would do with it.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Time until its first token.
    pub ttft: Duration,
    /// Whether other prompts wait there.
    pub has_queue: bool,
}

/// What is to be done with it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// It waits in the box.
    Queue,
    /// It can't be in time; the time after which there is room.
    Reject(Duration),
}

/// Judges a request that nothing has been done for.
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
