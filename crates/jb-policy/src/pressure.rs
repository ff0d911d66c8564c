//! How fast an engine's cache fills: tokens put in of late.

use std::time::Duration;

use crate::Moment;

/// Time in which past insertions fade to 1/e.
const FADE: Duration = Duration::from_secs(5);

/// Tokens put into a cache of late, older ones counting for less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    tokens: f64,
    at: Moment,
}

impl Pressure {
    /// Counts tokens put in now.
    pub fn add(&mut self, tokens: u32, now: Moment) {
        self.tokens = self.tokens(now) + f64::from(tokens);
        self.at = now;
    }

    /// Tokens put in of late.
    pub fn tokens(&self, now: Moment) -> f64 {
        let idle = now.saturating_sub(self.at).as_secs_f64();
        self.tokens * (-idle / FADE.as_secs_f64()).exp()
    }
}
