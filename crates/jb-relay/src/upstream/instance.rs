//! One instance of an upstream, from its start to its end.
//!
//! An upstream may start again under its id, without any state. What holds for one instance is in its
//! [`super::Upstream`] and goes with it: cached segments, account, failures, weights, backoff, rate limit,
//! idle connections, load, and whether it drains. The pause after an order belongs to the id, as an order
//! to one instance may be carried out by the next.
//!
//! Boxes name an instance to each other by the hash of [`Instance::name`], so that messages about an
//! earlier one change nothing.

use std::fmt;

use jb_policy::rendezvous;

use crate::port::StartTime;

/// Id that an upstream keeps when it starts again.
pub type Id = String;

/// One instance of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// Id.
    pub id: Id,
    /// When it started; `None` on a platform whose upstreams have a new id after each start.
    pub started_at: Option<StartTime>,
}

impl Instance {
    /// Returns the hash by which boxes name it, and which ranks upstreams for the choice.
    pub fn name_hash(&self) -> u64 {
        let id = rendezvous::name_hash(&self.id);
        self.started_at
            .map_or(id, |started_at| rendezvous::weight(id, started_at))
    }

    /// Returns whether a start time belongs to this instance; true where either is unknown.
    pub fn matches_start_time(&self, started_at: Option<StartTime>) -> bool {
        self.started_at.is_none() || started_at.is_none() || self.started_at == started_at
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}
