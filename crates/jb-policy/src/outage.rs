//! Distinguishes an outage of the platform's store from a partition of this box.
//!
//! During an outage of the store, registrations of upstreams may expire and return after it. A partition of
//! one box doesn't make registrations expire, so an upstream that is missing after a partition has
//! deregistered. A box therefore keeps an upstream whose registration is missing only with evidence that the
//! store was unavailable; where that is unknown it removes the upstream. The error costs differ: a request
//! that reaches an engine after its deregistration breaks a guarantee, while an engine that is removed too
//! early is back within seconds.

use std::time::Duration;

use crate::Moment;

/// Silence of the store, in heartbeat intervals of upstreams, in which no registration expires: a
/// registration expires after three intervals, its last heartbeat may be one interval old when the silence
/// starts, and a quarter is reserved for the network delay.
const TOLERATED_HEARTBEATS: f64 = 1.75;

/// Returns the longest silence of the store in which no registration expires, by the heartbeat interval of
/// upstreams.
pub fn tolerated_silence(heartbeat: Duration) -> Duration {
    heartbeat.mul_f64(TOLERATED_HEARTBEATS)
}

/// Time span on the clock of this box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Start.
    pub from: Moment,
    /// End.
    pub until: Moment,
}

impl Span {
    /// Returns the length of the span.
    pub fn length(&self) -> Duration {
        self.until.saturating_sub(self.from)
    }

    /// Returns a span of zero length.
    pub fn at(moment: Moment) -> Self {
        Self {
            from: moment,
            until: moment,
        }
    }

    /// Joins two spans in which the store responded: their union if no more than the tolerated silence lies
    /// between them, and the later one otherwise.
    ///
    /// Short gaps occur without an outage, since the store closes its connections when it drops its history,
    /// and a box that was partitioned learns from other boxes that the store was available throughout.
    pub fn join(known: Option<Self>, other: Self, tolerated: Duration) -> Self {
        let Some(known) = known else { return other };
        let overlap = other.from <= known.until + tolerated && known.from <= other.until + tolerated;
        if overlap {
            return Self {
                from: known.from.min(other.from),
                until: known.until.max(other.until),
            };
        }
        if other.until > known.until { other } else { known }
    }
}

/// Availability of the store during a partition of this box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It responded to other boxes throughout.
    Available,
    /// It responded to no box for longer than the tolerated silence, and responds again.
    Unavailable,
    /// No reachable box has recently received a response from it.
    Unknown,
}

/// Returns the availability of the store during `partition`.
///
/// `seen` is the joined span in which the store responded to this box or others, up to this box's latest
/// response; `others` are the spans of the boxes that are reachable now. A box that is partitioned itself
/// proves nothing about the store.
pub fn classify(partition: Span, seen: Span, others: &[Span], tolerated: Duration) -> Availability {
    if seen.from <= partition.from + tolerated {
        return Availability::Available;
    }
    let reaches_store = |span: &Span| span.until + tolerated >= partition.until;
    if others.iter().any(reaches_store) {
        Availability::Unavailable
    } else {
        Availability::Unknown
    }
}
