//! Evidence on poison requests.

use serde::{Deserialize, Serialize};

use crate::quarantine::Trial;

/// Evidence on some requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Suspects {
    /// Requests.
    pub rows: Vec<Suspect>,
}

/// Evidence on one request, also as it stands in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Suspect {
    /// Hash of the request.
    pub content: u128,
    /// Time since the last evidence, in milliseconds.
    pub age_ms: u64,
    /// Short names of the engines that ended while they ran it.
    pub ended: Vec<u32>,
    /// Those of them where it was the only suspect; records in the store keep this name.
    #[serde(rename = "apart")]
    pub isolated: Vec<u32>,
    /// Engines that completed it.
    pub well: Vec<u32>,
    /// A trial that the sender has begun or ended.
    pub trial: Option<Trial>,
}
