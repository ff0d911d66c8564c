//! Cache pressure: the tokens recently inserted into an engine's prefix cache.

use std::time::Duration;

use crate::Moment;

/// Time after which an insertion counts for 1/e.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Recently inserted tokens, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    tokens: f64,
    updated_at: Moment,
}

impl Pressure {
    /// Adds tokens inserted now.
    pub fn add(&mut self, tokens: u32, now: Moment) {
        self.tokens = self.tokens(now) + f64::from(tokens);
        self.updated_at = now;
    }

    /// Returns the recently inserted tokens, weighted by their age.
    pub fn tokens(&self, now: Moment) -> f64 {
        let idle = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens * (-idle / DECAY_TIME.as_secs_f64()).exp()
    }
}
