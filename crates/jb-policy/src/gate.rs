//! Which requests an engine gets at once, which wait in the box, and which are refused.
//!
//! An engine reads prompts in the order in which they come, and what it reads stops its running
//! streams: when more is sent than it reads, all first tokens are late, the small and urgent ones
//! too, and places are held for longer. So a prompt is sent only while it, and urgent ones after
//! it, can still be in time. One that may be in time later waits in the box. One that cannot be in
//! time any more is refused at once with the time after which there is room.
//!
//! Late requests that waited until their last call, to be sent at their highest cost and least
//! worth, kept an overload up until its cause was over: in the model of `tests/overload.rs` 77 in
//! 100 requests in time while a quarter of the engines is dark, 92 with late ones refused. Played
//! with 90 boxes on two days of such load, one play each, worth 0.38 to 0.59 and 0.37 to 0.49.

use std::time::Duration;

/// Share of a wanted time up to which an engine is filled: estimates spread by some 50 to 120 ms
/// around the first token, and what is read for one request makes places free later for all.
/// In the model 0.5 and 0.65 are alike, 0.8 and 0.3 are worse by 0.01 of credit.
const TRUSTED: f64 = 0.65;
/// Share of the same limit up to which an engine may be filled by requests that are late;
/// chosen so that one of the others still fits in behind them, not swept.
const LATE: f64 = 0.4;

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time since it came.
    pub waited: Duration,
    /// Time in which its first token is wanted, or its caller leaves.
    pub target: Duration,
    /// The least time wanted by a request that is as urgent or more, of the same service.
    pub urgent: Duration,
}

/// What the best engine would do with it.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Time until its first token.
    pub first: Duration,
    /// Whether other prompts wait there.
    pub queued: bool,
}

/// What is to be done with it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Send,
    /// It waits in the box.
    Wait,
    /// It can't be in time; the time after which there is room.
    Refuse(Duration),
}

/// Judges a request that nothing has been done for.
pub fn judge(request: &Request, estimate: &Estimate) -> Verdict {
    let Estimate { first, queued } = *estimate;
    if !queued {
        return Verdict::Send;
    }
    let limit = request.urgent.min(request.target).mul_f64(TRUSTED);
    let late = request.waited + first > request.target;
    if late && first > limit.mul_f64(LATE) {
        return Verdict::Refuse(first.saturating_sub(limit));
    }
    if first > limit {
        return Verdict::Wait;
    }
    Verdict::Send
}
