//! Evidence on poison requests.

use serde::{Deserialize, Serialize};

use crate::quarantine::Trial;

/// Evidence on several features of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Suspects {
    /// Rows, one or two for each feature.
    pub rows: Vec<Suspect>,
}

/// Evidence on one feature of requests. It is also stored as JSON, as a quarantine record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Suspect {
    /// Fingerprint of the feature. Stored records name this field `content`.
    #[serde(rename = "content")]
    pub fingerprint: u128,
    /// Time since the evidence, in milliseconds; since the last crash if there are several.
    pub age_ms: u64,
    /// Short names of the engines that crashed while they ran a request with it. Stored records name this field `ended`.
    #[serde(rename = "ended")]
    pub crashed: Vec<u32>,
    /// Those of them where it was the only suspect. Stored records name this field `apart`.
    #[serde(rename = "apart")]
    pub isolated: Vec<u32>,
    /// Short names of the engines that survived such a request. Stored records name this field `well`.
    #[serde(rename = "well")]
    pub completed: Vec<u32>,
    /// A trial run that the sender has begun or ended.
    pub trial: Option<Trial>,
}
