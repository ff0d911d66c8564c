//! Questions to accounts of engines, and their answers.

use jb_policy::account::Place;
use serde::{Deserialize, Serialize};

use crate::peers::reservation::Outcome;

/// Where a box takes a place at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// Nowhere: it only looks.
    Inspect,
    /// Where at most so many prompt tokens wait, and a place is free.
    QueueLimit(u32),
    /// Wherever it asks: it has compared.
    Always,
}

/// A question to the account of an engine.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Reserve {
    /// Id of the place.
    pub place: Place,
    /// Lower half of the hash of the engine's id.
    pub engine: u32,
    /// Shared parts of the prompt with their tokens.
    pub shared: Vec<(u64, u32)>,
    /// Tokens of its own, read and made.
    pub own: u32,
    /// Where a place is to be taken.
    pub room: Admission,
    /// Time until its request must have ended.
    pub left_ms: u32,
}

/// PullBody of an engine's account.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ReserveReply {
    /// Id of the place.
    pub place: Place,
    /// Lower half of the hash of the engine's id.
    pub engine: u32,
    /// Whether the engine may get requests.
    pub open: bool,
    /// Version of the engine's weights; 0 where it has no model.
    pub weights: u64,
    /// Whether the place is taken.
    pub taken: bool,
    /// Requests under way there before.
    pub running: u32,
    /// Prompt tokens that wait there before it.
    pub waiting: u32,
    /// Tokens of the prompt that the engine keeps.
    pub found: u32,
    /// Whether the engine is to send the prompt's parts to a store.
    pub send_to_store: bool,
    /// Whether a store has them.
    pub stored: bool,
}

/// What became of a place.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ReservationUpdate {
    /// Id of the place.
    pub place: Place,
    /// Lower half of the hash of the engine's id.
    pub engine: u32,
    /// How the request ended; none when its first token has come.
    pub ending: Option<Outcome>,
}
