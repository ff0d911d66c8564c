//! Kinds of services and their load-balancing policies.

use serde::{Deserialize, Serialize};

/// Kind of upstreams that a service has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Inference engines with a prefix cache.
    #[default]
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Load-balancing policy of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Baseline: round robin.
    RoundRobin,
    /// Baseline: least queued work, regardless of cache contents.
    LeastLoaded,
    /// Baseline: consistent hashing of the prompt's prefix family.
    PrefixHash,
    /// Lowest weighted cost of queued work and uncached prompt tokens.
    #[default]
    Junctionbend,
}

impl Policy {
    /// All policies, baselines first.
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::PrefixHash,
        Self::Junctionbend,
    ];

    /// Returns the name used in the settings tree and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::PrefixHash => "prefix_hash",
            Self::Junctionbend => "junctionbend",
        }
    }
}
