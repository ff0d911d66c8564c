//! Rate limits that upstreams signal, and permits for single requests.

use serde::{Deserialize, Serialize};

/// Rate limit of an instance, as a box has observed it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Observation {
    /// Requests per second; `None` for no limit.
    pub rate: Option<f64>,
    /// Age of the observation when it was sent, in milliseconds.
    pub age_ms: u32,
}

/// Announces that instances have become limited, or unlimited.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Limits {
    /// Short name and limit of each instance.
    pub instances: Vec<(u32, Observation)>,
}

/// Asks the owner of a limit for a permit to send one request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Acquire {
    /// Number that the reply repeats.
    pub nonce: u64,
    /// Short name of the instance.
    pub instance: u32,
    /// The limit as the asking box knows it.
    pub observation: Observation,
    /// Whether the owner for the whole fleet did not answer.
    pub is_fallback: bool,
}

/// Answers [`Acquire`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Permit {
    /// Number of the query.
    pub nonce: u64,
    /// Time after which to ask again, in milliseconds; `None` when the request may be sent.
    pub retry_after_ms: Option<u32>,
    /// The limit as the owner knows it.
    pub observation: Option<Observation>,
}
