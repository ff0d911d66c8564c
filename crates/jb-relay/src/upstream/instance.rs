//! Identity of one run of an upstream, from its start to its end.
//!
//! An upstream can restart under the same id and loses all state when it does. State of a single instance is
//! in [`super::Upstream`] and is dropped with it: cached segments, reservations, failures, weights, backoff, rate
//! limit, idle connections, load, and whether it drains. The pause after a load order is kept per id instead,
//! because an order sent to one instance may be executed by the next.
//!
//! Boxes refer to an instance by [`Instance::name_hash`], so messages about an earlier instance have no effect.

use std::fmt;

use jb_policy::rendezvous;

use crate::port::StartTime;

/// Id of an upstream, the same after a restart.
pub type Id = String;

/// One run of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// Id of the upstream.
    pub id: Id,
    /// Start time; `None` on platforms that assign a new id at each start.
    pub started_at: Option<StartTime>,
}

impl Instance {
    /// Returns the hash that identifies the instance in messages between boxes and in rendezvous ranking.
    pub fn name_hash(&self) -> u64 {
        let id = rendezvous::name_hash(&self.id);
        self.started_at
            .map_or(id, |started_at| rendezvous::weight(id, started_at))
    }

    /// Returns whether a start time is that of this instance; true if either is unknown.
    pub fn matches_start_time(&self, started_at: Option<StartTime>) -> bool {
        self.started_at.is_none() || started_at.is_none() || self.started_at == started_at
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}
