//! When weights were named.

use serde::{Deserialize, Serialize};

/// A question when weights were named.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct AskNamings {
    /// When the box asks, by its own clock in milliseconds; the answer repeats it.
    pub asked_ms: u64,
}

/// When weights were named, as another box knows.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Namings {
    /// Moment of the question, by the asker's clock in milliseconds.
    pub asked_ms: u64,
    /// Namings.
    pub namings: Vec<ToldNaming>,
}

/// Naming of one version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ToldNaming {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Time since it was named, at the most, in milliseconds.
    pub age_ms: u64,
}
