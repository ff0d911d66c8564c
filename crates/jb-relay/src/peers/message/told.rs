//! What boxes tell of loads, prompts and weights.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

/// What a box tells of itself, or a lead of many.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Told {
    /// Box.
    pub from: id::Box,
    /// Whether the receiver is to tell the sum of the others in return.
    pub wants_sum: bool,
    /// Loads, only of upstreams that have some.
    pub loads: Vec<ToldLoad>,
    /// What engines do with their weights.
    pub weights: Vec<ToldWeights>,
    /// Prompts that were sent to engines since the last telling.
    pub uses: Vec<ToldUse>,
    /// How the store has answered the box or others, as far as it knows.
    pub store: Option<ToldStore>,
}

/// Span of time in which the store answered, but for silences that cost no entry.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ToldStore {
    /// Begin of the span before the telling, in milliseconds.
    pub from_ms: u64,
    /// End of the span before the telling, in milliseconds.
    pub until_ms: u64,
}

/// Load that boxes put on an upstream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ToldLoad {
    /// Lower half of the hash of the upstream's id.
    pub upstream: u32,
    /// Requests under way.
    pub running: u32,
    /// Those of them that cannot go on elsewhere.
    pub fixed: u32,
    /// Prompt tokens that wait.
    pub waiting: u64,
}

/// An engine begins to load weights, or has them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ToldWeights {
    /// Lower half of the hash of the engine's id.
    pub upstream: u32,
    /// Model.
    pub model: String,
    /// Version that it has now; 0 while it loads.
    pub version: u64,
}

/// A prompt that was sent to an engine, or is kept by a store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ToldUse {
    /// Hash of the engine's id, or of a store's address.
    pub place: u64,
    /// Version of the weights, for a store; 0 for an engine.
    pub version: u64,
    /// Shared parts with their tokens.
    pub shared: Vec<(u64, u32)>,
    /// Tokens of its own, read and made.
    pub own: u32,
}

/// Long prompts that a box has sent since its last telling of loads.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Sent {
    /// Box.
    pub from: id::Box,
    /// Upstream of each prompt with the tokens that it has to read.
    pub prompts: Vec<(u32, u32)>,
}

/// Lives of upstreams that have said in answers that they leave.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Leaving {
    /// Lower halves of the hashes of their names.
    pub upstreams: Vec<u32>,
}

/// Incarnations of upstreams that are no longer at their addresses.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Replaced {
    /// Lower halves of the hashes of their ids.
    pub upstreams: Vec<u32>,
}
