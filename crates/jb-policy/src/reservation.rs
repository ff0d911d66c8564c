//! The account of one engine: the prompts that all boxes have there, at one box that keeps it.
//!
//! In a fleet of hundreds a box sees one request in hundreds, and what it knows of the others is
//! older than most requests last. So a box asks the account of an engine before it sends a
//! prompt there. An account that is lost costs speed, never a request: the next box begins an
//! empty one.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::prefix_cache::SegmentId;

/// Id of a place that a box has taken; drawn by the box.
pub type ReservationId = u64;

/// Interval at which a prefix group is sent to a store: stores evict and restart without notice.
const STORE_INTERVAL: Duration = Duration::from_secs(20);
/// Time for which a prefix group waits for a small prompt to be sent with.
const SMALL_PROMPT_WAIT: Duration = Duration::from_millis(400);
/// Time that an engine needs to read a prompt and to send its segments to a store.
const STORE_DELAY: Duration = Duration::from_millis(500);

/// One prompt at the engine.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    /// Tokens that wait for its first token.
    queued_tokens: u64,
    /// When its request must have ended.
    until: Moment,
}

/// Share of a prompt's target latency for which the engine of its prefix group may have prompts queued
/// before others are asked.
const MAX_QUEUE_SHARE: f64 = 0.12;

/// Returns the prompt tokens that may be queued at the engine of a prefix group.
pub fn max_queued_tokens(tokens_per_ms: f64, target: Duration) -> u64 {
    (tokens_per_ms * target.as_secs_f64() * 1000.0 * MAX_QUEUE_SHARE) as u64
}

/// What is under way at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens that wait for their first token.
    pub queued_tokens: u64,
}

impl Load {
    /// Whether an engine with so many places has room for a prompt that at most `ahead` tokens
    /// may wait before.
    pub fn has_capacity(&self, slots: u32, max_queued_tokens: u64) -> bool {
        self.running < slots && self.queued_tokens <= max_queued_tokens
    }
}

/// The account of one engine.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    places: HashMap<ReservationId, Reservation>,
    /// When each family's parts were last to be sent to a store.
    sent: HashMap<SegmentId, Moment>,
    /// Since when families wait for a small prompt to send their parts with.
    due: HashMap<SegmentId, Moment>,
}

impl Reservations {
    /// Drops places whose time is over: their boxes died, or the message of their end was lost. Returns
    /// how many there were.
    pub fn expire(&mut self, now: Moment) -> usize {
        let before = self.places.len();
        self.places.retain(|_, taken| now < taken.until);
        before - self.places.len()
    }

    /// What is under way.
    pub fn load(&self) -> Load {
        Load {
            running: u32::try_from(self.places.len()).unwrap_or(u32::MAX),
            queued_tokens: self.places.values().map(|taken| taken.queued_tokens).sum(),
        }
    }

    /// Takes a place for a prompt with so many tokens to read.
    pub fn reserve(&mut self, place: ReservationId, queued_tokens: u64, until: Moment) {
        self.places.insert(place, Reservation { queued_tokens, until });
    }

    /// The first token has come.
    pub fn record_first_token(&mut self, place: ReservationId) {
        if let Some(taken) = self.places.get_mut(&place) {
            taken.queued_tokens = 0;
        }
    }

    /// Gives a place back; whether it was taken.
    pub fn release(&mut self, place: ReservationId) -> bool {
        self.places.remove(&place).is_some()
    }

    /// Whether a prompt's parts are to be sent to a store with this request: `small` ones go
    /// first, as their own part goes there too and pushes out parts that others could use.
    pub fn schedule_store_send(&mut self, family: SegmentId, small: bool, now: Moment) -> bool {
        let last = self.sent.get(&family);
        if last.is_some_and(|at| now < *at + STORE_INTERVAL) {
            return false;
        }
        if !small {
            self.due.retain(|_, since| now < *since + STORE_INTERVAL);
            let since = *self.due.entry(family).or_insert(now);
            if now < since + SMALL_PROMPT_WAIT {
                return false;
            }
        }
        self.due.remove(&family);
        self.sent.retain(|_, at| now < *at + STORE_INTERVAL);
        self.sent.insert(family, now);
        true
    }

    /// Whether a store is believed to have a family's parts.
    pub fn is_stored(&self, family: SegmentId, now: Moment) -> bool {
        self.sent.get(&family).is_some_and(|at| now >= *at + STORE_DELAY)
    }
}
