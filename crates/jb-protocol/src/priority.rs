//! The priority classes of requests.

use serde::{Deserialize, Serialize};

/// Number of priority classes.
pub const CLASSES: usize = 3;

/// Priority class of a request; the first served comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the answer, such as a rider at a counter.
    Urgent,
    /// The usual class.
    #[default]
    Normal,
    /// Work that may wait, such as a night's reminders.
    Bulk,
}

impl Priority {
    /// All classes, first served first.
    pub const ALL: [Self; CLASSES] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Place of the class in [`Priority::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Class at a place of [`Priority::ALL`]; past its end, the last class.
    pub fn from_index(index: usize) -> Self {
        Self::ALL.get(index).copied().unwrap_or(Self::Bulk)
    }

    /// The class below this one; the last class stays.
    pub fn lower(self) -> Self {
        Self::from_index(self.index() + 1)
    }

    /// Reads the name that callers and the tree use.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "urgent" => Some(Self::Urgent),
            "normal" => Some(Self::Normal),
            "bulk" => Some(Self::Bulk),
            _ => None,
        }
    }
}
