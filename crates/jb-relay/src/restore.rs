//! A restore of the store from a copy, as a box has noticed it.
//!
//! What the boxes wrote since the copy is lost; the operator and the upstreams write theirs again.

use std::time::Duration;

use jb_policy::Moment;

use crate::port::Era;

/// Time in which the operator and the upstreams write again what the store has lost, by the platform's contract
/// about two seconds.
pub const REWRITE_TIME: Duration = Duration::from_millis(2300);

/// A restore of the store.
#[derive(Clone, Copy, Debug)]
pub struct Restore {
    /// Era that it began.
    pub era: Era,
    /// When this box noticed it.
    pub noticed_at: Moment,
    /// When what the box knew before was last proven.
    pub verified_at: Option<Moment>,
}

impl Restore {
    /// When everything has been written again.
    pub fn settles_at(&self) -> Moment {
        self.noticed_at + REWRITE_TIME
    }
}
