//! Whether the platform's store was away while a box heard nothing of it, or only this box was cut off.
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
pub fn harmless(heartbeat: Duration) -> Duration {
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

    /// The span in which the store answered, with one more moment at which it did. A silence that
    /// costs no entry does not end it: the store closes its connections when it forgets its history.
    pub fn extend(span: Option<Self>, at: Moment, harmless: Duration) -> Self {
        let new = Self { from: at, until: at };
        let Some(span) = span else { return new };
        if at > span.until + harmless {
            return new;
        }
        Self {
            until: span.until.max(at),
            ..span
        }
    }
}

/// What is known of the store in a time of which a box saw nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// It answered other boxes all the while.
    Answered,
    /// It answered no box for longer than costs no entry.
    Away,
    /// No other box is heard that could tell.
    Unknown,
}

/// Judges what other boxes tell: for each that is heard, the span in which the store answered it.
pub fn judge(blind: Span, told: &[Option<Span>], harmless: Duration) -> Store {
    if told.is_empty() {
        return Store::Unknown;
    }
    let mut spans: Vec<Span> = told.iter().copied().flatten().collect();
    spans.sort_unstable_by_key(|span| span.from);
    // Up to where the store is known to have answered somebody.
    let mut reached = blind.from;
    for span in spans {
        if span.from > reached + harmless {
            break;
        }
        reached = reached.max(span.until);
    }
    if reached + harmless >= blind.until {
        Store::Answered
    } else {
        Store::Away
    }
}
