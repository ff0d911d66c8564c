//! How fast engines of a service read prompts, learned from the times of first tokens.

use std::time::Duration;

/// Prompt tokens read in a millisecond, taken until first tokens tell better.
const START: f64 = 50.0;
/// Tokens that this first guess counts for.
const START_TOKENS: f64 = 4000.0;
/// Weight that older first tokens keep with each new one; half of it is gone after 34.
const KEEP: f64 = 0.98;
/// Time of a first token that reading does not explain: the ways and one step of the engine.
/// From a fit over 18,800 first tokens: 20 to 40 ms.
const APART: Duration = Duration::from_millis(20);
/// Fewest tokens whose time tells something.
const LEAST: u64 = 500;

/// Reading speed of one service's engines.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    tokens: f64,
    millis: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            tokens: START_TOKENS,
            millis: START_TOKENS / START,
        }
    }
}

impl Pace {
    /// Notes a first token: tokens that were to be read up to it, and the time since the send.
    pub fn note(&mut self, tokens: u64, took: Duration) {
        if tokens < LEAST {
            return;
        }
        self.tokens = self.tokens * KEEP + tokens as f64;
        self.millis = self.millis * KEEP + took.saturating_sub(APART).as_secs_f64() * 1000.0;
    }

    /// Prompt tokens read in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens / self.millis.max(1.0)
    }
}
