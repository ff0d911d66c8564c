//! Prefill rate of the engines of a service, estimated from measured times to first token.

use std::time::Duration;

/// Prompt tokens per millisecond before anything is measured.
const INITIAL_TOKENS_PER_MS: f64 = 50.0;
/// Weight of this initial value, in tokens.
const INITIAL_SAMPLE_TOKENS: f64 = 4000.0;
/// Factor on the weight of older samples for each new one.
const DECAY: f64 = 0.98;
/// Part of the time to first token that doesn't depend on the prompt: the network and one step of the engine.
const FIXED_LATENCY: Duration = Duration::from_millis(20);
/// Fewest prompt tokens of a sample; smaller prompts are ignored.
const MIN_SAMPLE_TOKENS: u64 = 500;

/// Average prefill rate of one service's engines, with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    tokens: f64,
    millis: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens: INITIAL_SAMPLE_TOKENS,
            millis: INITIAL_SAMPLE_TOKENS / INITIAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillRate {
    /// Records a first token: the tokens that had to be prefilled before it and the time since the send.
    pub fn record(&mut self, tokens: u64, took: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        self.tokens = self.tokens * DECAY + tokens as f64;
        self.millis = self.millis * DECAY + took.saturating_sub(FIXED_LATENCY).as_secs_f64() * 1000.0;
    }

    /// Returns the prompt tokens that an engine prefills in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens / self.millis.max(1.0)
    }
}
