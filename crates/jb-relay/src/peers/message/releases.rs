//! Releases of model weights.

use serde::{Deserialize, Serialize};

/// Asks when versions of weights were released.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct QueryReleases {
    /// Time of the query by the sender's clock, in milliseconds; the reply repeats it.
    pub requested_at_ms: u64,
}

/// Answers [`QueryReleases`].
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Releases {
    /// Time of the query by the clock of the box that sent it, in milliseconds.
    pub requested_at_ms: u64,
    /// Releases that the sender knows.
    pub releases: Vec<Release>,
}

/// Release of one version of a model's weights.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Release {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Upper bound of the time since the release, in milliseconds.
    pub age_ms: u64,
}
