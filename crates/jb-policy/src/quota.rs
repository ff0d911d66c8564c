//! A customer's limit, enforced for the whole fleet by the account at one box.
//!
//! The account is a token bucket. Every request asks it before it is sent, so the fleet's use is known
//! exactly while one account answers for all. In a partition there is more than one account, and each fills
//! only by the share of the fleet that it answers for: the shares of all sides add up to one.
//!
//! What the limit allows in a window, its burst included, comes in evenly, and the capacity is a part of the
//! tolerated excess: so a customer whose rate is a little over the limit all the time isn't rejected, and no
//! window around a partition or a restart holds more than the others.

use std::time::Duration;

use crate::Moment;

/// Share of the tolerated overrun that an account holds when it is full. The rest covers boxes that
/// have not noticed a partition yet.
const ROOM_SHARE: f64 = 0.5;
/// Share of it that only the customer's most urgent requests use.
const URGENT_SHARE: f64 = 0.1;
/// Share of it that a new account holds when the level of the one before isn't known: after a restart of all
/// boxes the limit may just have been used up.
const BEGIN_SHARE: f64 = 0.3;

/// A customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once, on top.
    pub burst: f64,
}

/// What operators tolerate beyond a limit in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub overrun_ratio: f64,
    /// Tokens on top.
    pub slack: f64,
}

impl Tolerance {
    /// Tokens that may run beyond a limit in one window.
    pub fn overrun(&self, limit: &Limit) -> f64 {
        self.overrun_ratio * self.allowed(limit) + self.slack
    }

    /// Tokens that a limit itself allows in one window.
    fn allowed(&self, limit: &Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

/// What an account goes by at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// The customer's limit.
    pub limit: Limit,
    /// What is tolerated beyond it.
    pub tolerance: Tolerance,
    /// Share of the fleet that the account answers for, 0 to 1.
    pub share: f64,
}

impl Parameters {
    /// Most tokens that an account holds.
    fn room(&self) -> f64 {
        self.overrun(ROOM_SHARE)
    }

    /// A part of what is tolerated beyond the limit.
    fn overrun(&self, part: f64) -> f64 {
        self.share * part * self.tolerance.overrun(&self.limit)
    }

    /// Tokens a second that come in.
    fn rate(&self) -> f64 {
        let window = self.tolerance.window.as_secs_f64();
        if window > 0.0 {
            self.share * self.tolerance.allowed(&self.limit) / window
        } else {
            self.share * self.limit.rate
        }
    }
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Tokens that it counts for.
    pub tokens: u64,
    /// Whether it is of the customer's most urgent kind.
    pub urgent: bool,
}

/// The account of one customer.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    at: Moment,
}

impl Bucket {
    /// An account that goes on from what another one had left, as its boxes remember it.
    pub fn new(parameters: &Parameters, left: Option<f64>, now: Moment) -> Self {
        let left = left.map(|left| parameters.share * left);
        Self {
            level: left
                .unwrap_or(parameters.overrun(BEGIN_SHARE))
                .min(parameters.room()),
            at: now,
        }
    }

    /// Tokens that are left; less than none where more has run than was asked for.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Lets a request in.
    ///
    /// # Errors
    /// The time after which it would be let in if nothing else came.
    pub fn take(&mut self, parameters: &Parameters, charge: Charge, now: Moment) -> Result<(), Duration> {
        self.fill(parameters, now);
        let reserved = if charge.urgent {
            0.0
        } else {
            parameters.overrun(URGENT_SHARE)
        };
        let tokens = charge.tokens as f64;
        // What is longer than the whole room is let in once the room is full.
        let needed = (reserved + tokens).min(parameters.room());
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        let millis = 1000.0 * (needed - self.level) / parameters.rate().max(f64::MIN_POSITIVE);
        // Whole milliseconds, as in `Retry-After`; the cast saturates.
        Err(Duration::from_millis(millis.ceil() as u64))
    }

    /// Counts tokens that ran without being asked for; less than none are given back.
    pub fn settle(&mut self, parameters: &Parameters, tokens: f64) {
        self.level = (self.level - tokens).min(parameters.room());
    }

    fn fill(&mut self, parameters: &Parameters, now: Moment) {
        let room = parameters.room();
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        // What is above a smaller share's room belongs to those who speak for the rest.
        self.level = (self.level + passed * parameters.rate()).min(room);
    }
}
