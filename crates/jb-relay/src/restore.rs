//! A restore of the store from a backup, as seen by a box.
//!
//! What the boxes wrote since the backup is lost; the operator and the upstreams write their items again.

use std::time::Duration;

use jb_policy::Moment;

use crate::port::Era;

/// Time within which the operator and the upstreams have written their lost items again; the platform guarantees
/// about two seconds.
pub const REWRITE_TIME: Duration = Duration::from_millis(2300);

/// A restore of the store from a backup.
#[derive(Clone, Copy, Debug)]
pub struct Restore {
    /// Era that began with the restore.
    pub era: Era,
    /// When this box noticed it.
    pub noticed_at: Moment,
    /// When the box's state before the restore was last verified.
    pub verified_at: Option<Moment>,
}

impl Restore {
    /// Returns when all lost items have been written again.
    pub fn settles_at(&self) -> Moment {
        self.noticed_at + REWRITE_TIME
    }
}
