//! Local copy of the store's items.

use std::collections::{BTreeMap, BTreeSet};

use crate::port::{Change, Revision};

/// Local copy of the store's items, by key.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Change>,
    bytes: usize,
}

impl Mirror {
    /// Applies a change unless a later one of the same item has been applied.
    pub fn apply(&mut self, change: &Change) {
        let known = self.items.get(&change.key).map(|known| known.revision);
        if known > Some(change.revision) {
            return;
        }
        self.bytes += length(change);
        let before = if change.value.is_some() {
            self.items.insert(change.key.clone(), change.clone())
        } else {
            self.bytes -= length(change);
            self.items.remove(&change.key)
        };
        self.bytes -= before.as_ref().map_or(0, length);
    }

    /// Returns a deletion for each local item that isn't among `all`, the complete items of the store.
    pub fn deletions(&self, all: &[Change], revision: Revision) -> Vec<Change> {
        let there: BTreeSet<&str> = all.iter().map(|change| change.key.as_str()).collect();
        let missing = self.items.keys().filter(|key| !there.contains(key.as_str()));
        let deletion = |key: &String| Change {
            key: key.clone(),
            value: None,
            revision,
        };
        missing.map(deletion).collect()
    }

    /// Returns the items in key order.
    pub fn items(&self) -> impl Iterator<Item = &Change> {
        self.items.values()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the total size of all keys and values, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn length(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len)
}
