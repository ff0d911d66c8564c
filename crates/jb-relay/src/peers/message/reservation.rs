//! Reservations of capacity at engines.

use jb_policy::reservation::ReservationId;
use serde::{Deserialize, Serialize};

use crate::peers::reservation::Outcome;

/// Condition under which a reservation is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// Makes none: the box only asks for the engine's state.
    Inspect,
    /// Makes one if the engine has a free slot and at most this many prompt tokens are queued there.
    QueueLimit(u32),
    /// Always makes one: the box has already compared the engines.
    Always,
    /// Makes one if a slot and memory are free, counting requests without a reservation too.
    Room,
}

/// Asks the owner of an engine for a reservation.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Reserve {
    /// Id of the reservation.
    pub id: ReservationId,
    /// Short name of the engine: the lower half of the hash of its id.
    pub engine: u32,
    /// Shared segments of the prompt with their tokens.
    pub shared: Vec<(u64, u32)>,
    /// Tokens of the prompt that are not shared, and tokens to generate.
    pub unshared: u32,
    /// Condition under which the reservation is made.
    pub admission: Admission,
    /// Time until the deadline of the request, in milliseconds.
    pub deadline_ms: u32,
}

/// Answers [`Reserve`] with the state of the engine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ReserveReply {
    /// Id of the reservation.
    pub id: ReservationId,
    /// Short name of the engine: the lower half of the hash of its id.
    pub engine: u32,
    /// Whether the engine may be sent requests.
    pub is_open: bool,
    /// Version of the engine's weights; 0 if it has no model.
    pub weights: u64,
    /// Whether the reservation was made.
    pub is_reserved: bool,
    /// Requests that were in flight there before.
    pub running: u32,
    /// Prompt tokens that were queued there before.
    pub queued_tokens: u32,
    /// Tokens of the prompt that are in the engine's cache.
    pub cached_tokens: u32,
    /// Whether the engine is to send the prompt's segments to a cache store.
    pub send_to_store: bool,
    /// Whether a cache store has them.
    pub is_stored: bool,
}

/// Reports progress or the end of a request with a reservation.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ReservationUpdate {
    /// Id of the reservation.
    pub id: ReservationId,
    /// Short name of the engine: the lower half of the hash of its id.
    pub engine: u32,
    /// How the request ended; `None` when its first token has arrived.
    pub outcome: Option<Outcome>,
}
