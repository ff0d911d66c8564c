//! Releases of weights, and restores of the store.

use serde::{Deserialize, Serialize};

/// Asks when weights were released.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct QueryReleases {
    /// Moment of the query, by the asker's clock in milliseconds; the answer repeats it.
    pub asked_ms: u64,
}

/// Releases that a box knows.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Releases {
    /// Moment of the query, by the asker's clock in milliseconds.
    pub asked_ms: u64,
    /// Releases.
    pub releases: Vec<Release>,
}

/// Release of one version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Release {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Upper bound of the time since its release, in milliseconds.
    pub age_ms: u64,
}
