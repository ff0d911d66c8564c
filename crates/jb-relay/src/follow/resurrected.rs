//! Entries of deregistered upstreams that reappear when the store is restored from a backup.
//!
//! Their upstreams have ended, or are finishing requests without accepting new ones. An upstream that is alive after
//! all writes its entry again, or its entry outlasts the time in which the entry of an ended upstream expires.

use std::collections::BTreeMap;

use jb_policy::Moment;

use crate::core::Core;
use crate::port::Change;

/// Heartbeat intervals after a restore for which such an entry isn't used: entries expire after three without one.
const HELD_BACK_HEARTBEATS: u32 = 4;

/// Entries that are held back after a restore.
#[derive(Debug, Default)]
pub(super) struct Resurrected {
    entries: BTreeMap<String, Change>,
    until: Moment,
}

impl Resurrected {
    /// Holds back the entries of upstreams that this box knows to be deregistered. `all` is the whole content of the
    /// restored store.
    pub(super) fn note_restore(&mut self, core: &Core, all: &[Change]) {
        let upstreams = core.upstreams.borrow();
        let has_gone = |change: &&Change| {
            let id = core.store.upstream_id(change);
            id.is_some_and(|id| upstreams.is_deregistered(id))
        };
        let gone = all
            .iter()
            .filter(|change| change.value.is_some())
            .filter(has_gone);
        self.entries = gone.map(|change| (change.key.clone(), change.clone())).collect();
        self.until = core.now() + core.settings.bounds.heartbeat_interval * HELD_BACK_HEARTBEATS;
    }

    /// Returns whether a change is held back. A newer one of the same upstream is not, and releases the held one.
    pub(super) fn holds(&mut self, change: &Change) -> bool {
        let held = self.entries.get(&change.key).map(|held| held.revision);
        if held.is_some_and(|held| held < change.revision) {
            self.entries.remove(&change.key);
        }
        held == Some(change.revision)
    }

    /// Removes and returns the entries held back if the time has passed.
    pub(super) fn take_due(&mut self, now: Moment) -> Vec<Change> {
        if now < self.until {
            return Vec::new();
        }
        std::mem::take(&mut self.entries).into_values().collect()
    }
}
