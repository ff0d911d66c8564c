//! Messages spoken with model engines, JSON over HTTP.
//!
//! A call is a POST to [`PATH_RUN`]; its answer is a stream of server-sent
//! events, one [`Frame`] each.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::priority::{CLASSES, Priority};

/// Path of a call.
pub const PATH_RUN: &str = "/engine/run";
/// Path of the load report.
pub const PATH_REPORT: &str = "/engine/report";
/// Path of an order.
pub const PATH_ORDER: &str = "/engine/order";

/// One call to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// Attempt id, to be echoed in every frame.
    pub attempt: id::Attempt,
    /// Model that must be loaded.
    pub model: String,
    /// Version of the weights that must be loaded.
    pub weights: id::Weights,
    /// Seed of the block hashes; it separates customers and weights.
    pub salt: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Priority class.
    pub priority: Priority,
    /// First index wanted, when a stream is resumed.
    #[serde(default)]
    pub resume_at: u32,
    /// Trace context; it goes into the header.
    #[serde(skip)]
    pub traceparent: Option<String>,
}

/// One event of an engine's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Frame {
    /// The prompt has been processed; tokens follow.
    Start {
        /// Echo of the attempt id.
        attempt: id::Attempt,
        /// Incarnation that runs the call.
        incarnation: id::Incarnation,
        /// Version of the weights that run the call.
        weights: id::Weights,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the prompt that were found in the cache.
        cached_tokens: u32,
        /// Work waiting at this moment.
        load: Load,
    },
    /// One generated token.
    Token {
        /// Echo of the attempt id.
        attempt: id::Attempt,
        /// Place in the answer, from 0.
        index: u32,
        /// The text.
        text: String,
    },
    /// The explicit end of the answer.
    End {
        /// Echo of the attempt id.
        attempt: id::Attempt,
        /// Number of tokens in the whole answer.
        count: u32,
        /// Why the answer ends, such as `stop`.
        finish_reason: String,
    },
}

impl Frame {
    /// The attempt id that the frame echoes.
    pub fn attempt(&self) -> &str {
        match self {
            Self::Start { attempt, .. } | Self::Token { attempt, .. } | Self::End { attempt, .. } => attempt,
        }
    }
}

/// Work waiting at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Milliseconds of waiting prefill per priority class.
    pub waiting_ms: [u32; CLASSES],
    /// Calls that are generating.
    pub running: u32,
}

/// An engine's report about itself; it may lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Present incarnation.
    pub incarnation: id::Incarnation,
    /// Model that is loaded.
    pub model: String,
    /// Version of the weights that is loaded.
    pub weights: id::Weights,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// Milliseconds since the load was taken.
    pub age_ms: u32,
    /// The load at that time.
    pub load: Load,
    /// Number of the last order taken, 0 for none.
    #[serde(default)]
    pub fence: id::Fence,
}

/// Body of an explicit refusal: the engine has not run the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Always true; a body without it proves nothing.
    pub not_run: bool,
    /// Why, in words.
    pub reason: String,
}

/// The state that an order asks an engine to take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the leader that gives the order.
    pub fence: id::Fence,
    /// Model to load.
    pub model: String,
    /// Version of the weights to load.
    pub weights: id::Weights,
    /// Milliseconds after which the order is void.
    pub expires_ms: u64,
}
