//! Model engine stand-in: prefix cache with eviction, chunked prefill by
//! priority, streamed tokens and fault injection.

mod batch;
mod cache;
mod server;
mod state;

pub use batch::Speed;
pub use cache::{Cache, hashes};
pub use server::run;

use jb_protocol::id;

/// Parameters of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Loaded model.
    pub model: String,
    /// Loaded version of the weights.
    pub weights: id::Weights,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Speed of prefill and decode.
    pub speed: Speed,
    /// Interval between two snapshots of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fence: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: "quill".to_owned(),
            weights: "w1".to_owned(),
            cache_tokens: 24_000,
            speed: Speed::default(),
            report_lag_ms: 300,
            checks_fence: true,
        }
    }
}
