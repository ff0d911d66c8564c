//! Messages exchanged with inference engines: JSON over HTTP.
//!
//! A call is a POST to [`PATH_RUN`]. The response is a stream of server-sent
//! events, each of which carries one [`Frame`].

use serde::{Deserialize, Serialize};

use crate::id;
use crate::priority::{CLASSES, Priority};

/// HTTP path for calls.
pub const PATH_RUN: &str = "/engine/run";
/// HTTP path of the load report.
pub const PATH_REPORT: &str = "/engine/report";
/// HTTP path for orders to load a model.
pub const PATH_ORDER: &str = "/engine/order";

/// A generation request to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// Attempt id, which the engine echoes in every frame.
    pub attempt: id::Attempt,
    /// Model that must be loaded.
    pub model: String,
    /// Version of the weights that must be loaded.
    pub weights: id::Weights,
    /// Seed of the cache block hashes; it keeps the cache entries of different customers and weights apart.
    pub salt: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority class.
    pub priority: Priority,
    /// Index of the first token to send, when a stream is resumed; otherwise 0.
    #[serde(default)]
    pub resume_at: u32,
    /// W3C trace context, sent as a header instead of in the body.
    #[serde(skip)]
    pub traceparent: Option<String>,
}

/// One event of an engine's response stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Frame {
    /// The prompt has been processed; tokens follow.
    Start {
        /// Echo of the attempt id.
        attempt: id::Attempt,
        /// Incarnation of the engine that runs the call.
        incarnation: id::Incarnation,
        /// Version of the weights that the engine uses.
        weights: id::Weights,
        /// Length of the prompt, in tokens.
        prompt_tokens: u32,
        /// Number of prompt tokens found in the prefix cache.
        cached_tokens: u32,
        /// Load of the engine when the frame was sent.
        load: Load,
    },
    /// One generated token.
    Token {
        /// Echo of the attempt id.
        attempt: id::Attempt,
        /// Position in the response, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Explicit end of the response.
    End {
        /// Echo of the attempt id.
        attempt: id::Attempt,
        /// Number of tokens in the whole response.
        count: u32,
        /// Reason for the end of the response, such as `stop`.
        finish_reason: String,
    },
}

impl Frame {
    /// Returns the attempt id that the frame echoes.
    pub fn attempt(&self) -> &str {
        match self {
            Self::Start { attempt, .. } | Self::Token { attempt, .. } | Self::End { attempt, .. } => attempt,
        }
    }
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Queued prefill work per priority class, in milliseconds.
    pub waiting_ms: [u32; CLASSES],
    /// Number of calls that are generating tokens.
    pub running: u32,
}

/// An engine's load report, which may lag behind its actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Current incarnation.
    pub incarnation: id::Incarnation,
    /// Loaded model.
    pub model: String,
    /// Version of the loaded weights.
    pub weights: id::Weights,
    /// Whether the engine is draining and accepts no new calls.
    pub leaving: bool,
    /// Milliseconds since the load was measured.
    pub age_ms: u32,
    /// Load at the time of the measurement.
    pub load: Load,
    /// Fencing token of the last accepted order; 0 when there was none.
    #[serde(default)]
    pub fence: id::Fence,
}

/// Body of an explicit rejection, which states that the engine has not run the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Always true; a body without it does not prove that the call has not run.
    pub not_run: bool,
    /// Human-readable reason.
    pub reason: String,
}

/// An order to an engine to load a model and weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the leader that sends the order.
    pub fence: id::Fence,
    /// Model to load.
    pub model: String,
    /// Version of the weights to load.
    pub weights: id::Weights,
    /// Milliseconds after which the order expires.
    pub expires_ms: u64,
}
