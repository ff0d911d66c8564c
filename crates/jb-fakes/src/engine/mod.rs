//! A model engine: prefix cache with eviction, chunked prefill by priority,
//! streamed tokens, and faults.

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
    /// Model that is loaded.
    pub model: String,
    /// Version of the weights that is loaded.
    pub weights: id::Weights,
    /// Tokens that the cache holds.
    pub cache_tokens: u32,
    /// Speed of the engine.
    pub speed: Speed,
    /// Milliseconds between two snapshots of the load report.
    pub report_lag_ms: u64,
    /// Whether orders with an old fencing token are refused.
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
