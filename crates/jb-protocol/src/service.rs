//! Kinds of service and the routing policies that a service can be given.

use serde::{Deserialize, Serialize};

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines that cache prompt prefixes.
    #[default]
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// How an upstream is chosen for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Baseline: one after the other.
    RoundRobin,
    /// Baseline: the least work waiting, whatever is cached.
    LeastLoaded,
    /// Baseline: consistent hashing of the prompt's family.
    PrefixHash,
    /// Waiting work and missing prefix weighed against each other.
    #[default]
    Junctionbend,
}

impl Policy {
    /// Every policy, baselines first.
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::PrefixHash,
        Self::Junctionbend,
    ];

    /// Name as in the tree and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::PrefixHash => "prefix_hash",
            Self::Junctionbend => "junctionbend",
        }
    }
}
