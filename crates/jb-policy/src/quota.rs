//! A customer's limit, kept for the whole fleet by the account of one box.
//!
//! The account is a bucket of tokens that fills at the customer's rate. Every request asks it
//! before it is sent, so the fleet's use is known exactly while one account answers for all. Where
//! boxes cannot hear each other there is more than one account, and each fills only by the share of
//! the fleet that it can vouch for: the shares of all sides add up to one, whoever hears whom.

use std::time::Duration;

use crate::Moment;

/// Share of the tolerated overrun that an account's room has beyond the customer's burst: boxes
/// see requests in another order than their callers sent them, and refusing below the limit is
/// worth lost.
const ROOM_SHARE: f64 = 0.25;
/// Share of the tolerated overrun that an account has at its begin when nobody can tell what the
/// one before it had left. After a restart of all boxes the burst may just have been spent.
const BEGIN_SHARE: f64 = 0.25;

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
    pub over: f64,
    /// Tokens on top.
    pub slack: f64,
}

impl Tolerance {
    /// Tokens that may run beyond a limit in one window.
    pub fn overrun(&self, limit: &Limit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        self.over * allowed + self.slack
    }
}

/// What an account goes by at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The customer's limit.
    pub limit: Limit,
    /// What is tolerated beyond it.
    pub tolerance: Tolerance,
    /// Share of the fleet that the account answers for, 0 to 1.
    pub share: f64,
}

impl Terms {
    /// Most tokens that an account holds.
    fn room(&self) -> f64 {
        self.share * (self.limit.burst + self.reserve())
    }

    /// Tokens of the room that only the customer's urgent requests use.
    fn reserve(&self) -> f64 {
        ROOM_SHARE * self.tolerance.overrun(&self.limit)
    }

    fn rate(&self) -> f64 {
        self.share * self.limit.rate
    }
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Tokens that it counts for.
    pub tokens: u64,
    /// Whether it is of the customer's most urgent kind.
    pub urgent: bool,
}

/// The account of one customer.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    level: f64,
    at: Moment,
}

impl Account {
    /// An account that goes on from what another one had left, as its boxes remember it.
    pub fn new(terms: &Terms, left: Option<f64>, now: Moment) -> Self {
        let begin = BEGIN_SHARE * terms.tolerance.overrun(&terms.limit);
        Self {
            level: (terms.share * left.unwrap_or(begin)).min(terms.room()),
            at: now,
        }
    }

    /// An account that nothing has been taken from.
    pub fn full(terms: &Terms, now: Moment) -> Self {
        Self {
            level: terms.room(),
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
    pub fn take(&mut self, terms: &Terms, claim: Claim, now: Moment) -> Result<(), Duration> {
        self.fill(terms, now);
        let kept = if claim.urgent {
            0.0
        } else {
            terms.share * terms.reserve()
        };
        let tokens = claim.tokens as f64;
        // What is longer than the whole room is let in once the room is full.
        let needed = (kept + tokens).min(terms.room());
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        let millis = 1000.0 * (needed - self.level) / terms.rate().max(f64::MIN_POSITIVE);
        // Whole milliseconds, as callers are told; the cast ends at the greatest number.
        Err(Duration::from_millis(millis.ceil() as u64))
    }

    /// Counts tokens that ran without being asked for; less than none are given back.
    pub fn settle(&mut self, terms: &Terms, tokens: f64) {
        self.level = (self.level - tokens).min(terms.room());
    }

    fn fill(&mut self, terms: &Terms, now: Moment) {
        let room = terms.room();
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        // What is above a smaller share's room belongs to those who speak for the rest.
        self.level = (self.level + passed * terms.rate()).min(room);
    }
}
