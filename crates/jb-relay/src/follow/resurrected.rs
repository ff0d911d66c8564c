//! Entries of upstreams that had gone, back with a restore of the store from a copy.
//!
//! Their upstreams have ended, or serve on for a while without new requests. An upstream that is alive after all
//! writes its entry anew, or its entry outlasts the time in which that of an ended one goes again.

use std::collections::BTreeMap;

use jb_policy::Moment;

use crate::core::Core;
use crate::port::Change;

/// Heartbeats after a restore for which such an entry isn't used: it goes after three without one.
const HELD_BACK_HEARTBEATS: u32 = 4;

/// Entries that aren't used yet.
#[derive(Debug, Default)]
pub(super) struct Resurrected {
    entries: BTreeMap<String, Change>,
    until: Moment,
}

impl Resurrected {
    /// Holds back the entries of upstreams that this box knows to have gone; called with everything that the
    /// store holds after a restore.
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

    /// Returns whether a change is one that is held back; a newer one of the same upstream replaces it.
    pub(super) fn holds(&mut self, change: &Change) -> bool {
        let held = self.entries.get(&change.key).map(|held| held.revision);
        if held.is_some_and(|held| held < change.revision) {
            self.entries.remove(&change.key);
        }
        held == Some(change.revision)
    }

    /// Returns the entries that have outlasted the time.
    pub(super) fn take_due(&mut self, now: Moment) -> Vec<Change> {
        if now < self.until {
            return Vec::new();
        }
        std::mem::take(&mut self.entries).into_values().collect()
    }
}
