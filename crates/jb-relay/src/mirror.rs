//! What the store holds, as far as this box has read it.

use std::collections::{BTreeMap, BTreeSet};

use crate::port::{Change, Revision};

/// Items of the store, by key.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Change>,
    bytes: usize,
}

impl Mirror {
    /// Applies a change, unless a later one of the same item is known.
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

    /// Returns the removal of each item that isn't among `all`, which is everything that the store holds.
    pub fn missing(&self, all: &[Change], revision: Revision) -> Vec<Change> {
        let there: BTreeSet<&str> = all.iter().map(|change| change.key.as_str()).collect();
        let missing = self.items.keys().filter(|key| !there.contains(key.as_str()));
        let removal = |key: &String| Change {
            key: key.clone(),
            value: None,
            revision,
        };
        missing.map(removal).collect()
    }

    /// Items, in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &Change> {
        self.items.values()
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn length(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len)
}
