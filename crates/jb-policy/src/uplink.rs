//! Whether a box reaches any upstream of a service.
//!
//! A single failed request can be due to its upstream or to a link of the box. So a failure only starts a
//! check, in which the box opens connections to several upstreams: one that succeeds shows that the link works, and if
//! all fail the link is down until one succeeds. Right after a sign that the link works, the check waits for another
//! sign first, as most failures are those of one upstream.
//!
//! A refused connection may be due to the link or to an upstream that is gone, whose entry is still there. So a check in which
//! connections are refused goes on with other upstreams, while a few that get no answer at all show that the link is down.

use std::time::Duration;

use crate::Moment;

/// Age up to which an opened connection shows that the link works.
const MAX_CONNECT_AGE: Duration = Duration::from_millis(250);
/// Age up to which data from an upstream shows that a stalled request is the fault of its own upstream.
const MAX_DATA_AGE: Duration = Duration::from_millis(300);

/// Upstreams without any answer at which a check ends. One lost packet or one crashed machine must not look like a partition.
const MIN_SILENT: usize = 3;
/// Upstreams in the first batch of a check. Each batch has twice as many as the one before.
const FIRST_BATCH: usize = MIN_SILENT;
/// Largest batch of a check.
pub const MAX_BATCH: usize = 48;
/// Upstreams after which a check ends, whatever they answered.
const MAX_PROBED: usize = 192;

/// What failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened. Open ones may still work.
    Connect,
    /// A request on an open connection stalled, or its connection broke.
    Request,
}

/// Change of the link's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// No upstream can be reached any more.
    Lost,
    /// An upstream can be reached again.
    Restored,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Up,
    /// A failure that no later connection or data explains yet.
    Suspected { failure: Failure, at: Moment },
    /// The first check after a failure is under way.
    Checking { failed_at: Moment },
    /// All connections of a check failed.
    Down { failed_at: Moment },
}

/// The link of a box to the upstreams of a service.
#[derive(Clone, Debug, Default)]
pub struct Uplink {
    state: State,
    last_connect: Option<Moment>,
    last_data: Option<Moment>,
}

impl Uplink {
    /// Returns whether no upstream can be reached.
    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down { .. })
    }

    /// Returns whether the first check after a failure is under way.
    pub fn is_checking(&self) -> bool {
        matches!(self.state, State::Checking { .. })
    }

    /// Returns whether data has arrived on open connections since no new ones can be opened, which is since the failure
    /// that led to the check.
    pub fn has_live_connections(&self) -> bool {
        match self.state {
            State::Down { failed_at } => self.last_data > Some(failed_at),
            State::Up | State::Suspected { .. } | State::Checking { .. } => true,
        }
    }

    /// Notes that data from an upstream has arrived.
    pub fn note_data(&mut self, now: Moment) {
        self.last_data = Some(now);
    }

    /// Notes that a connection to an upstream was opened.
    pub fn note_connected(&mut self, now: Moment) -> Change {
        let was_down = self.is_down();
        self.state = State::Up;
        self.last_connect = Some(now);
        if was_down { Change::Restored } else { Change::None }
    }

    /// Notes a failure. Returns the delay until [`Self::confirm`] decides on a check; `None` if an earlier failure
    /// has the same effect.
    pub fn note_failure(&mut self, failure: Failure, now: Moment) -> Option<Duration> {
        if self.state != State::Up {
            return None;
        }
        self.state = State::Suspected { failure, at: now };
        let left = |at: Option<Moment>, age| at.map_or(Duration::ZERO, |at| (at + age).saturating_sub(now));
        let connect = left(self.last_connect, MAX_CONNECT_AGE);
        Some(match failure {
            Failure::Connect => connect,
            Failure::Request => connect.max(left(self.last_data, MAX_DATA_AGE)),
        })
    }

    /// Returns whether the link has to be checked, as neither a connection nor data explains the failure.
    pub fn confirm(&mut self) -> bool {
        let State::Suspected { failure, at } = self.state else {
            return false;
        };
        let has_data = failure == Failure::Request && self.last_data > Some(at);
        let is_explained = has_data || self.last_connect > Some(at);
        self.state = if is_explained {
            State::Up
        } else {
            State::Checking { failed_at: at }
        };
        !is_explained
    }

    /// Notes that a check found no upstream to connect to, which shows nothing.
    pub fn cancel_check(&mut self) {
        self.state = State::Up;
    }

    /// Notes that all connections of a check failed.
    pub fn note_unreachable(&mut self, now: Moment) -> Change {
        let failed_at = match self.state {
            State::Down { .. } => return Change::None,
            State::Checking { failed_at } | State::Suspected { at: failed_at, .. } => failed_at,
            State::Up => now,
        };
        self.state = State::Down { failed_at };
        Change::Lost
    }
}

/// Result of a connection that a check opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The upstream has accepted it.
    Accepted,
    /// It was refused at once: by the upstream's machine, or on the way.
    Refused,
    /// There was no answer, or the connection broke.
    Silent,
}

/// Progress of a check through the upstreams of a service, as long as none accepts a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sweep {
    batches: u32,
    probed: usize,
    silent: usize,
}

impl Sweep {
    /// Returns the number of upstreams to probe next.
    pub fn next_batch(&self) -> usize {
        let batch = FIRST_BATCH.saturating_mul(1 << self.batches.min(MAX_BATCH.ilog2()));
        batch.min(MAX_BATCH)
    }

    /// Notes the results of a batch, none of which was accepted.
    pub fn note_batch(&mut self, results: &[Probe]) {
        self.batches += 1;
        self.probed += results.len();
        self.silent += results.iter().filter(|probe| **probe == Probe::Silent).count();
    }

    /// Returns whether the results show that no upstream can be reached, although others were not probed.
    pub fn is_conclusive(&self) -> bool {
        self.silent >= MIN_SILENT || self.probed >= MAX_PROBED
    }

    /// Returns the number of upstreams that were probed.
    pub fn probed(&self) -> usize {
        self.probed
    }
}
