//! Status of a box: its loads, cache uses and loaded weights.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

/// Status of a box, or of several boxes as summed up by their relay node.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Status {
    /// Box that sends the status.
    pub from: id::Box,
    /// Whether the receiver is to reply with the sum of the other boxes' loads.
    pub wants_sum: bool,
    /// Loads of the upstreams that have any.
    pub loads: Vec<UpstreamLoad>,
    /// Engines that are loading weights or have loaded them.
    pub weights: Vec<LoadedWeights>,
    /// Prompts that were sent to engines since the last status.
    pub uses: Vec<CacheUse>,
    /// Time span in which the store has answered this box or others.
    pub store: Option<StoreSpan>,
}

/// Time span in which the store answered, not counting outages too short for any entry to expire.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct StoreSpan {
    /// Start of the span, in milliseconds before the message was sent.
    pub from_ms: u64,
    /// End of the span, in milliseconds before the message was sent.
    pub until_ms: u64,
}

/// Load that boxes place on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Short name of the upstream: the lower half of the hash of its id.
    pub upstream: u32,
    /// Requests in flight.
    pub running: u32,
    /// Requests in flight that cannot be resumed at another upstream.
    pub fixed: u32,
    /// Prompt tokens that are queued.
    pub waiting: u64,
}

impl UpstreamLoad {
    /// Returns whether all numbers are 0.
    pub fn is_empty(&self) -> bool {
        self.running == 0 && self.fixed == 0 && self.waiting == 0
    }
}

/// Weights that an engine is loading or has loaded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// Short name of the engine: the lower half of the hash of its id.
    pub upstream: u32,
    /// Name of the model.
    pub model: String,
    /// Version that the engine has; 0 while it is loading.
    pub version: u64,
}

/// A prompt that was sent to an engine or a cache store, and is now in its cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct CacheUse {
    /// Hash of the engine's id, or of the cache store's address.
    pub target: u64,
    /// Version of the weights for a cache store; 0 for an engine.
    pub version: u64,
    /// Shared segments of the prompt with their tokens.
    pub shared: Vec<(u64, u32)>,
    /// Tokens of the prompt that are not shared, and generated tokens.
    pub unshared: u32,
}

/// Long prompts that a box has sent since its last status.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct LongPrompts {
    /// Box that sent the prompts.
    pub from: id::Box,
    /// For each prompt, the short name of the upstream and the tokens that it must prefill.
    pub prompts: Vec<(u32, u32)>,
}

/// Instances that have signalled in responses that they are draining.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Draining {
    /// Short names of the instances: the lower halves of the hashes of their ids.
    pub upstreams: Vec<u32>,
}

/// Incarnations of upstreams whose addresses are now used by others.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Replaced {
    /// Short names of the incarnations: the lower halves of the hashes of their ids.
    pub upstreams: Vec<u32>,
}
