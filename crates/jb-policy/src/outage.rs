//! Whether the platform's store was down while a box had no connection to it, or only this box was
//! partitioned.
//!
//! Entries of upstreams may lapse in an outage of the store and come back after it. They never do so
//! because one box is cut off: an entry that is missing after a cut is gone. So it takes evidence that
//! the store was away to go on with an upstream whose entry is missing; what is not known counts
//! against it, as a request that reaches an engine after its time breaks a promise, while an engine
//! that is taken off too early is back within seconds.

use std::time::Duration;

use crate::Moment;

/// Heartbeats of upstreams for which the store may be silent without an entry lapsing: an entry goes
/// after three, the last one before the silence may be one old, and a quarter is left for the way.
const HARMLESS: f64 = 1.75;

/// Silence of the store in which no entry lapses, by the pause between two heartbeats of an upstream.
pub fn tolerated_silence(heartbeat: Duration) -> Duration {
    heartbeat.mul_f64(HARMLESS)
}

/// Span of time by the clock of this box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Begin.
    pub from: Moment,
    /// End.
    pub until: Moment,
}

impl Span {
    /// Length.
    pub fn length(&self) -> Duration {
        self.until.saturating_sub(self.from)
    }

    /// The span of one moment.
    pub fn at(moment: Moment) -> Self {
        Self {
            from: moment,
            until: moment,
        }
    }

    /// The span in which the store answered, with one more in which it did: their union where no
    /// more than a silence that costs no entry lies between, and the later one otherwise. The store
    /// closes its connections when it forgets its history; and a box that was cut off learns from the
    /// others that the store was there all the while.
    pub fn join(known: Option<Self>, other: Self, harmless: Duration) -> Self {
        let Some(known) = known else { return other };
        let meet = other.from <= known.until + harmless && known.from <= other.until + harmless;
        if meet {
            return Self {
                from: known.from.min(other.from),
                until: known.until.max(other.until),
            };
        }
        if other.until > known.until { other } else { known }
    }
}

/// What is known of the store in a time of which a box saw nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It answered some box all the while.
    Available,
    /// It answered no box for longer than costs no entry, and answers again.
    Unavailable,
    /// No box that has reached it lately is reachable.
    Unknown,
}

/// Judges by the span in which the store has answered this box or others, up to this box's latest answer, and by
/// the spans of the boxes that are reachable now. A box that is itself partitioned shows nothing about the
/// store.
pub fn classify(partition: Span, seen: Span, others: &[Span], harmless: Duration) -> Availability {
    if seen.from <= partition.from + harmless {
        return Availability::Available;
    }
    let sees_it = |span: &Span| span.until + harmless >= partition.until;
    if others.iter().any(sees_it) {
        Availability::Unavailable
    } else {
        Availability::Unknown
    }
}
