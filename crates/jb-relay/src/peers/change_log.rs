//! The latest changes of the store, for boxes that ask.
//!
//! All of them are of one era. After a restore the log begins anew with all that the store holds, so a box that
//! knows an earlier era can receive everything from it.

use std::collections::VecDeque;

use crate::port::{Change, Revision};

/// Changes that a box keeps for others at least.
const MIN_CHANGES: usize = 512;
/// Bytes of changes that it keeps for others at least.
const MIN_BYTES: usize = 512 * 1024;
/// Bytes of a change's numbers in a message, at the most.
pub(super) const NUMBERS: usize = 48;

/// The latest changes of the store that a box has seen.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Change>,
    bytes: usize,
    /// Items that the store holds, and their bytes.
    store: (usize, usize),
    /// Revision after which all changes are here.
    from: Revision,
    /// Revision of the last update; the default before the first.
    revision: Revision,
    /// Where history was gone, the older first.
    gaps: Vec<Gap>,
}

/// Revisions between which history was gone, both excluded. Who knows the store as it was in between
/// may know items that came and went there, which this box has never received.
#[derive(Clone, Copy, Debug)]
struct Gap {
    after: Revision,
    before: Revision,
}

impl ChangeLog {
    /// Adds all that the store holds, with the removal of what it held before; the first time there
    /// is nothing to add it to.
    ///
    /// Boxes that the store turns away go on from here: while a reading of everything began the log
    /// anew, they received nothing after it until they reached the store themselves, 5 s and more.
    pub fn append_snapshot(&mut self, mut all: Vec<Change>, revision: Revision) {
        let known = self.revision;
        if known == Revision::default() {
            self.from = revision;
            self.revision = revision;
            return;
        }
        if known.era < revision.era {
            self.restart(all, revision);
            return;
        }
        if revision.number > known.number + 1 {
            self.gaps.push(Gap {
                after: known,
                before: revision,
            });
        }
        // What is newer than the read comes again with the next update.
        all.retain(|change| change.revision > known && change.revision <= revision);
        all.sort_by_key(|change| change.revision);
        self.append(&all, revision);
    }

    /// Begins a later era with all that the store holds.
    fn restart(&mut self, mut all: Vec<Change>, revision: Revision) {
        let start = Revision::start_of(revision.era);
        *self = Self {
            from: start,
            revision: start,
            store: self.store,
            // Removals in between aren't known.
            gaps: vec![Gap {
                after: start,
                before: revision,
            }],
            ..Self::default()
        };
        all.retain(|change| change.value.is_some() && change.revision <= revision);
        all.sort_by_key(|change| change.revision);
        self.append(&all, revision);
    }

    /// Adds an update.
    pub fn append(&mut self, changes: &[Change], revision: Revision) {
        for change in changes {
            self.bytes += size(change);
            let at = self.position_after(change.revision);
            self.changes.insert(at, change.clone());
        }
        self.revision = self.revision.max(revision);
        let (items, bytes) = self.store;
        while self.changes.len() > items.max(MIN_CHANGES) || self.bytes > bytes.max(MIN_BYTES) {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= size(&oldest);
            self.from = self.from.max(oldest.revision);
        }
        let from = self.from;
        self.gaps.retain(|gap| gap.before > from);
    }

    /// Notes how much the store holds. Beyond as many changes everything is shorter than the changes.
    pub fn set_store_size(&mut self, items: usize, bytes: usize) {
        self.store = (items, bytes);
    }

    /// Bytes of the changes after a revision in messages, at the most.
    pub(super) fn encoded_size_since(&self, revision: Revision) -> usize {
        self.since(revision).map_or(0, |changes| changes.map(size).sum())
    }

    /// Revision of the last update.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All changes after a revision, in an order that stays, or everything for a revision of an earlier era;
    /// `None` when some are not here.
    pub fn since(&self, revision: Revision) -> Option<impl Iterator<Item = &Change>> {
        let in_gap = |gap: &Gap| gap.after < revision && revision < gap.before;
        let revision = revision.max(Revision::start_of(self.revision.era));
        let is_later_era = revision.era > self.revision.era;
        if is_later_era || revision < self.from || self.gaps.iter().any(in_gap) {
            return None;
        }
        Some(self.changes.range(self.position_after(revision)..))
    }

    /// Number of changes up to a revision. They are in the order of their revisions.
    fn position_after(&self, revision: Revision) -> usize {
        self.changes.partition_point(|change| change.revision <= revision)
    }
}

/// Bytes of a change in a message, at the most.
pub(super) fn size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len) + NUMBERS
}
