//! Log of the latest changes of the store, which other boxes pull.
//!
//! All changes are of one era. After a restore of the store the log starts over with all items of the store, so a box
//! that knows an earlier era can receive everything from it.

use std::collections::VecDeque;

use crate::port::{Change, Revision};

/// Number of changes that the log keeps at least.
const MIN_CHANGES: usize = 512;
/// Size of the changes that the log keeps at least, in bytes.
const MIN_BYTES: usize = 512 * 1024;
/// Upper bound of the encoded size of a change without its key and value, in bytes.
pub(super) const MAX_OVERHEAD_BYTES: usize = 48;

/// The latest changes of the store that a box has seen.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Change>,
    bytes: usize,
    /// Number of items in the store, and their size in bytes.
    store_size: (usize, usize),
    /// Revision after which the log has all changes, except for gaps.
    start: Revision,
    /// Revision of the last update; the default before the first.
    revision: Revision,
    /// Gaps in the log, the oldest first.
    gaps: Vec<Gap>,
}

/// Range of revisions, both ends excluded, whose changes the store no longer had. A box whose knowledge is of a
/// revision in between may know items that were added and removed there, which this box has never received.
#[derive(Clone, Copy, Debug)]
struct Gap {
    after: Revision,
    before: Revision,
}

impl ChangeLog {
    /// Appends the difference to a snapshot of the store: `all` has all items, and removals of items that existed
    /// before. The first snapshot only sets the revision.
    ///
    /// The log isn't restarted within an era, because boxes that the store rejects continue from it: otherwise they
    /// receive no changes after the snapshot until they reach the store themselves, which takes 5 s or more.
    pub fn append_snapshot(&mut self, mut all: Vec<Change>, revision: Revision) {
        let known = self.revision;
        if known == Revision::default() {
            self.start = revision;
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
        // Changes newer than the snapshot are part of the next update.
        all.retain(|change| change.revision > known && change.revision <= revision);
        all.sort_by_key(|change| change.revision);
        self.append(&all, revision);
    }

    /// Starts a later era with all items of the store.
    fn restart(&mut self, mut all: Vec<Change>, revision: Revision) {
        let start = Revision::start_of(revision.era);
        *self = Self {
            start,
            revision: start,
            store_size: self.store_size,
            // Removals between these revisions aren't known.
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

    /// Appends the changes of an update, and drops the oldest ones beyond the limits.
    pub fn append(&mut self, changes: &[Change], revision: Revision) {
        for change in changes {
            self.bytes += max_encoded_size(change);
            let at = self.position_after(change.revision);
            self.changes.insert(at, change.clone());
        }
        self.revision = self.revision.max(revision);
        let (items, bytes) = self.store_size;
        while self.changes.len() > items.max(MIN_CHANGES) || self.bytes > bytes.max(MIN_BYTES) {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= max_encoded_size(&oldest);
            self.start = self.start.max(oldest.revision);
        }
        let start = self.start;
        self.gaps.retain(|gap| gap.before > start);
    }

    /// Sets the number of items in the store and their size in bytes. A log with more changes than that is longer than
    /// a snapshot.
    pub fn set_store_size(&mut self, items: usize, bytes: usize) {
        self.store_size = (items, bytes);
    }

    /// Returns an upper bound of the encoded size of the changes after a revision, in bytes.
    pub(super) fn encoded_size_since(&self, revision: Revision) -> usize {
        self.since(revision)
            .map_or(0, |changes| changes.map(max_encoded_size).sum())
    }

    /// Returns the revision of the last update; the default before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all changes after a revision, in a stable order, or all items for a revision of an earlier era;
    /// `None` if the log lacks some of them.
    pub fn since(&self, revision: Revision) -> Option<impl Iterator<Item = &Change>> {
        let in_gap = |gap: &Gap| gap.after < revision && revision < gap.before;
        let revision = revision.max(Revision::start_of(self.revision.era));
        let is_later_era = revision.era > self.revision.era;
        if is_later_era || revision < self.start || self.gaps.iter().any(in_gap) {
            return None;
        }
        Some(self.changes.range(self.position_after(revision)..))
    }

    /// Returns the number of changes up to a revision. The changes are sorted by revision.
    fn position_after(&self, revision: Revision) -> usize {
        self.changes.partition_point(|change| change.revision <= revision)
    }
}

/// Returns an upper bound of the encoded size of a change, in bytes.
pub(super) fn max_encoded_size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len) + MAX_OVERHEAD_BYTES
}
