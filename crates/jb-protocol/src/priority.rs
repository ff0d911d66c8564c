//! Priority classes of requests.

use serde::{Deserialize, Serialize};

/// Number of priority classes.
pub const CLASSES: usize = 3;

/// Priority class of a request, highest priority first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Interactive requests: a person is waiting for the response.
    Urgent,
    /// Default class.
    #[default]
    Normal,
    /// Batch requests that may be delayed.
    Bulk,
}

impl Priority {
    /// All classes, highest priority first.
    pub const ALL: [Self; CLASSES] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Returns the index of the class in [`Priority::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the class at an index of [`Priority::ALL`], or the lowest class when the index is out of range.
    pub fn from_index(index: usize) -> Self {
        Self::ALL.get(index).copied().unwrap_or(Self::Bulk)
    }

    /// Returns the next lower class, or the lowest class for itself.
    pub fn lower(self) -> Self {
        Self::from_index(self.index() + 1)
    }

    /// Parses the name used in headers and the settings tree.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "urgent" => Some(Self::Urgent),
            "normal" => Some(Self::Normal),
            "bulk" => Some(Self::Bulk),
            _ => None,
        }
    }
}
