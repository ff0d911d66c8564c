//! When versions of a model's weights were named, and which engines are past their time.

use std::time::Duration;

use crate::Moment;

/// Version of a model's weights; it only rises.
pub type Version = u64;

/// One version that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Naming {
    version: Version,
    /// When it was named, at the earliest; `None` when before the box's start.
    at: Option<Moment>,
}

/// Whether an engine's weights are past their time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// They are not.
    No,
    /// They are.
    Yes,
    /// The version after them was named before the box's start.
    Unknown,
}

/// Versions that were named, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct History(Vec<Naming>);

/// Versions that are remembered; older ones are past their time anyway.
const MOST: usize = 64;

impl History {
    /// Notes a version; `true` when it is newer than all before.
    pub fn note(&mut self, version: Version, at: Option<Moment>) -> bool {
        if version <= self.newest() {
            return false;
        }
        self.0.push(Naming { version, at });
        if self.0.len() > MOST {
            self.0.remove(0);
        }
        true
    }

    /// Newest version; 0 for none.
    pub fn newest(&self) -> Version {
        self.0.last().map_or(0, |naming| naming.version)
    }

    /// Whether weights are past their time: it runs from the first version after them.
    pub fn overdue(&self, has: Version, now: Moment, time: Duration) -> Overdue {
        match self.0.iter().find(|naming| naming.version > has) {
            None => Overdue::No,
            Some(Naming { at: None, .. }) => Overdue::Unknown,
            Some(Naming { at: Some(at), .. }) if now >= *at + time => Overdue::Yes,
            Some(_) => Overdue::No,
        }
    }
}
