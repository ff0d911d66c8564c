//! Status of a box: its loads, prompts and weights.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

/// Status of a box, or of many as their relay node sums it up.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Status {
    /// Box.
    pub from: id::Box,
    /// Whether the receiver is to answer with the sum of the others.
    pub wants_sum: bool,
    /// Loads, only of upstreams that have some.
    pub loads: Vec<UpstreamLoad>,
    /// Engines that load weights or have loaded them.
    pub weights: Vec<LoadedWeights>,
    /// Prompts that were sent to engines since the last status.
    pub uses: Vec<CacheUse>,
    /// Span in which the store has answered the box or others.
    pub store: Option<StoreSpan>,
}

/// Span of time in which the store answered, but for silences that cost no entry.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct StoreSpan {
    /// Begin of the span before the message was sent, in milliseconds.
    pub from_ms: u64,
    /// End of the span before the message was sent, in milliseconds.
    pub until_ms: u64,
}

/// Load that boxes put on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Lower half of the hash of the upstream's id.
    pub upstream: u32,
    /// Requests under way.
    pub running: u32,
    /// Those of them that cannot go on elsewhere.
    pub fixed: u32,
    /// Prompt tokens that wait.
    pub waiting: u64,
}

impl UpstreamLoad {
    /// Returns whether it is no load at all.
    pub fn is_empty(&self) -> bool {
        self.running == 0 && self.fixed == 0 && self.waiting == 0
    }
}

/// An engine begins to load weights, or has them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// Lower half of the hash of the engine's id.
    pub upstream: u32,
    /// Model.
    pub model: String,
    /// Version that it has now; 0 while it loads.
    pub version: u64,
}

/// A prompt that was sent to an engine or a store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct CacheUse {
    /// Hash of the engine's id, or of a store's address.
    pub place: u64,
    /// Version of the weights, for a store; 0 for an engine.
    pub version: u64,
    /// Shared segments with their tokens.
    pub shared: Vec<(u64, u32)>,
    /// Tokens of its own, read and made.
    pub own: u32,
}

/// Long prompts that a box has sent since its last status.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct LongPrompts {
    /// Box.
    pub from: id::Box,
    /// Upstream of each prompt with the tokens that it has to read.
    pub prompts: Vec<(u32, u32)>,
}

/// Instances that have signalled in responses that they drain.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Draining {
    /// Lower halves of the hashes of their names.
    pub upstreams: Vec<u32>,
}

/// Incarnations of upstreams that are no longer at their addresses.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Replaced {
    /// Lower halves of the hashes of their ids.
    pub upstreams: Vec<u32>,
}
