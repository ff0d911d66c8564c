//! Token rate limit of a customer for the whole fleet, enforced by a token bucket on one box.
//!
//! Every request takes its tokens from the bucket before it is sent, so the limit is exact while one bucket serves
//! all boxes. In a partition each side has a bucket, which is refilled at the share of the rate that its side has
//! of the fleet: the shares of all sides add up to 1.
//!
//! The bucket is refilled at a constant rate that includes the burst of the limit, and its capacity is a part of
//! the tolerated overrun. So a customer that is always slightly over its limit isn't rejected, and no window
//! around a partition or a restart allows more than any other.

use std::time::Duration;

use crate::Moment;

/// Capacity of a bucket as a share of the tolerated overrun. The rest covers boxes that have not noticed a
/// partition yet.
const CAPACITY_SHARE: f64 = 0.5;
/// Share of the tolerated overrun that is reserved for the customer's most urgent requests.
const URGENT_RESERVE_SHARE: f64 = 0.1;
/// Initial level of a bucket, as a share of the tolerated overrun, where the level of its predecessor isn't known:
/// after a restart of all boxes the limit may just have been used up. All boxes may restart each second, as long as a
/// restart takes half a second.
const INITIAL_SHARE: f64 = 0.2;

/// Rate limit of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens of a burst, in addition to the rate.
    pub burst: f64,
}

/// Excess over a limit that operators tolerate in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Tolerated excess as a share of what the limit allows in a window.
    pub overrun_ratio: f64,
    /// Tolerated tokens in addition.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the tolerated excess over a limit in one window, in tokens.
    pub fn overrun(&self, limit: &Limit) -> f64 {
        self.overrun_ratio * self.allowed(limit) + self.slack
    }

    /// Returns the tokens that a limit itself allows in one window.
    fn allowed(&self, limit: &Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

/// Present parameters of a bucket.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Limit of the customer.
    pub limit: Limit,
    /// Tolerated excess over the limit.
    pub tolerance: Tolerance,
    /// Share of the fleet that the bucket serves, 0 to 1.
    pub share: f64,
}

impl Parameters {
    /// Returns the capacity of the bucket in tokens.
    fn capacity(&self) -> f64 {
        self.overrun(CAPACITY_SHARE)
    }

    /// Returns a part of the tolerated overrun, in tokens.
    fn overrun(&self, part: f64) -> f64 {
        self.share * part * self.tolerance.overrun(&self.limit)
    }

    /// Returns the refill rate in tokens per second.
    fn rate(&self) -> f64 {
        let window = self.tolerance.window.as_secs_f64();
        if window > 0.0 {
            self.share * self.tolerance.allowed(&self.limit) / window
        } else {
            self.share * self.limit.rate
        }
    }
}

/// Tokens that a request takes from a bucket.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Tokens of the request.
    pub tokens: u64,
    /// Whether it is among the customer's most urgent requests.
    pub urgent: bool,
}

/// Token bucket of one customer.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    refilled_at: Moment,
}

impl Bucket {
    /// Creates a bucket that continues from the level of its predecessor, `left`, if a box still knows it.
    pub fn new(parameters: &Parameters, left: Option<f64>, now: Moment) -> Self {
        let left = left.map(|left| parameters.share * left);
        Self {
            level: left
                .unwrap_or(parameters.overrun(INITIAL_SHARE))
                .min(parameters.capacity()),
            refilled_at: now,
        }
    }

    /// Returns the tokens left; negative if more has run than was taken.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes the tokens of a request.
    ///
    /// # Errors
    /// The time after which the request would be admitted if no other request arrived.
    pub fn take(&mut self, parameters: &Parameters, charge: Charge, now: Moment) -> Result<(), Duration> {
        self.refill(parameters, now);
        let reserved = if charge.urgent {
            0.0
        } else {
            parameters.overrun(URGENT_RESERVE_SHARE)
        };
        let tokens = charge.tokens as f64;
        // A request larger than the capacity is admitted once the bucket is full.
        let needed = (reserved + tokens).min(parameters.capacity());
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        let millis = 1000.0 * (needed - self.level) / parameters.rate().max(f64::MIN_POSITIVE);
        // Whole milliseconds, as in `Retry-After`; the cast saturates.
        Err(Duration::from_millis(millis.ceil() as u64))
    }

    /// Takes tokens that have already run, regardless of the level; a negative number refunds tokens.
    pub fn settle(&mut self, parameters: &Parameters, tokens: f64) {
        self.level = (self.level - tokens).min(parameters.capacity());
    }

    fn refill(&mut self, parameters: &Parameters, now: Moment) {
        let capacity = parameters.capacity();
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        // When the share shrinks, the level above the new capacity belongs to the buckets that serve the rest.
        self.level = (self.level + elapsed * parameters.rate()).min(capacity);
    }
}
