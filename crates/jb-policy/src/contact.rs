//! Whether an upstream has ever accepted a connection.
//!
//! An entry in the store doesn't show that its upstream exists: entries outlive crashed upstreams while the store is away, and
//! after a restart of the box it has no connection that would show it. So an upstream whose first connection fails receives no
//! requests until a connection is accepted, which a task of its own checks. Failures of an upstream that has accepted one
//! count against its health instead.

use std::time::Duration;

use crate::Moment;

/// Pause before a failed first connection is repeated; doubles each time. An upstream may register before it listens.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: the time that a restarted upstream may take to listen at its address.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Contact of a box with one instance of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Contact {
    /// No connection was tried yet.
    #[default]
    Untried,
    /// A connection was accepted at some time.
    Confirmed,
    /// All connections so far have failed.
    Failed {
        /// When the next one is due.
        retry_at: Moment,
        /// Pause before it.
        pause: Duration,
    },
}

impl Contact {
    /// Returns whether a connection was accepted at some time.
    pub fn is_confirmed(self) -> bool {
        self == Self::Confirmed
    }

    /// Returns whether all connections so far have failed.
    pub fn has_failed(self) -> bool {
        matches!(self, Self::Failed { .. })
    }

    /// Returns when a connection is due that shows whether the upstream exists; `None` if that is known.
    pub fn due_at(self) -> Option<Moment> {
        match self {
            Self::Untried => Some(Moment::ZERO),
            Self::Confirmed => None,
            Self::Failed { retry_at, .. } => Some(retry_at),
        }
    }

    /// Notes that a connection was accepted.
    pub fn note_connected(&mut self) {
        *self = Self::Confirmed;
    }

    /// Notes that a connection failed.
    pub fn note_failure(&mut self, now: Moment) {
        let pause = match *self {
            Self::Confirmed => return,
            Self::Untried => FIRST_PAUSE,
            Self::Failed { pause, .. } => (2 * pause).min(MAX_PAUSE),
        };
        *self = Self::Failed {
            retry_at: now + pause,
            pause,
        };
    }

    /// Forgets failures, which were those of the box's own links.
    pub fn reset(&mut self) {
        if self.has_failed() {
            *self = Self::Untried;
        }
    }
}
