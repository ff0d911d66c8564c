//! Messages between boxes.

use bytes::Bytes;
use jb_policy::account::Place;
use jb_protocol::id;
use serde::{Deserialize, Serialize};

use super::account::Ending;
use crate::port::{Change, Revision};

/// Longest datagram, in bytes: one packet.
pub(super) const LONGEST: usize = 1400;

/// One datagram. New kinds come last: boxes of the version before refuse them and read the others.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// Loads, prompts and weights.
    Told(Told),
    /// A box asks for what has changed in the store.
    Ask(Ask),
    /// What has changed.
    News(News),
    /// Long prompts that a box has just sent.
    Sent(Sent),
    /// Incarnations of upstreams whose addresses others have now.
    Replaced(Replaced),
    /// A box that has just started asks when weights were named.
    AskNamings(AskNamings),
    /// When they were.
    Namings(Namings),
    /// A box asks the account of an engine for a place.
    Question(Question),
    /// What the account says.
    Advice(Advice),
    /// The first token of a prompt has come, or its place is given back.
    Returned(Returned),
    /// Boxes that a lead hears.
    Heard(Count),
    /// A request asks the account of its customer.
    Claim(Claim),
    /// What the account says.
    Grant(Grant),
}

/// Boxes that a lead of a data hall hears, itself with them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Count {
    /// Lead.
    pub from: id::Box,
    /// Boxes of its data hall.
    pub hall: u32,
    /// Boxes of all data halls.
    pub all: u32,
}

/// A request that counts in its customer's limit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Claim {
    /// Number that the answer repeats.
    pub nonce: u64,
    /// Short name of the customer.
    pub customer: u32,
    /// What it counts for.
    pub tokens: u64,
    /// Whether it is of the most urgent kind.
    pub urgent: bool,
    /// Whether the first keeper gave no answer, so that others may ask another one.
    pub again: bool,
    /// What ran at this box without being asked for; less than none is given back.
    pub unasked: i64,
    /// What the account had left as this box last heard, if that is not long ago.
    pub left: Option<i64>,
}

/// What the account of a customer says.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Grant {
    /// Number of the claim.
    pub nonce: u64,
    /// Short name of the customer.
    pub customer: u32,
    /// Time after which the request would be let in; `None` when it is.
    pub after_ms: Option<u32>,
    /// What the account has left.
    pub left: i64,
}

/// What a box tells of itself, or a lead of many.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Told {
    /// Box.
    pub from: id::Box,
    /// Whether the receiver is to tell the sum of the others in return.
    pub wants_sum: bool,
    /// Loads, only of upstreams that have some.
    pub loads: Vec<ToldLoad>,
    /// What engines do with their weights.
    pub weights: Vec<ToldWeights>,
    /// Prompts that were sent to engines since the last telling.
    pub uses: Vec<ToldUse>,
    /// How the store answers the box, if it reads the store itself.
    pub store: Option<ToldStore>,
}

/// Span of time in which the store answered a box without a failure.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ToldStore {
    /// Begin of the span before the telling, in milliseconds.
    pub from_ms: u64,
    /// End of the span before the telling, in milliseconds.
    pub until_ms: u64,
}

/// Load that boxes put on an upstream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ToldLoad {
    /// Lower half of the hash of the upstream's id.
    pub upstream: u32,
    /// Requests under way.
    pub running: u32,
    /// Those of them that cannot go on elsewhere.
    pub fixed: u32,
    /// Prompt tokens that wait.
    pub waiting: u64,
}

/// An engine begins to load weights, or has them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ToldWeights {
    /// Lower half of the hash of the engine's id.
    pub upstream: u32,
    /// Model.
    pub model: String,
    /// Version that it has now; 0 while it loads.
    pub version: u64,
}

/// A prompt that was sent to an engine, or is kept by a store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ToldUse {
    /// Hash of the engine's id, or of a store's address.
    pub place: u64,
    /// Version of the weights, for a store; 0 for an engine.
    pub version: u64,
    /// Shared parts with their tokens.
    pub shared: Vec<(u64, u32)>,
    /// Tokens of its own, read and made.
    pub own: u32,
}

/// A question for news of the store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Ask {
    /// Number that the answer repeats.
    pub nonce: u64,
    /// Revision that the asker has.
    pub after: Revision,
    /// Bytes that it has of the next value, where that comes in pieces.
    pub from: u32,
    /// Whether it takes long values, too, as it cannot read the store itself.
    pub long: bool,
}

/// Long prompts that a box has sent since its last telling of loads.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Sent {
    /// Box.
    pub from: id::Box,
    /// Upstream of each prompt with the tokens that it has to read.
    pub prompts: Vec<(u32, u32)>,
}

/// Incarnations of upstreams that are no longer at their addresses.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Replaced {
    /// Lower halves of the hashes of their ids.
    pub upstreams: Vec<u32>,
}

/// Where a box takes a place at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Room {
    /// Nowhere: it only looks.
    None,
    /// Where at most so many prompt tokens wait, and a place is free.
    Ahead(u32),
    /// Wherever it asks: it has compared.
    Any,
}

/// A question to the account of an engine.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Question {
    /// Id of the place.
    pub place: Place,
    /// Lower half of the hash of the engine's id.
    pub engine: u32,
    /// Shared parts of the prompt with their tokens.
    pub shared: Vec<(u64, u32)>,
    /// Tokens of its own, read and made.
    pub own: u32,
    /// Where a place is to be taken.
    pub room: Room,
    /// Time until its request must have ended.
    pub left_ms: u32,
}

/// What the account of an engine says.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Advice {
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
    pub keep: bool,
    /// Whether a store has them.
    pub stored: bool,
}

/// What became of a place.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Returned {
    /// Id of the place.
    pub place: Place,
    /// Lower half of the hash of the engine's id.
    pub engine: u32,
    /// How the request ended; none when its first token has come.
    pub ending: Option<Ending>,
}

/// A question when weights were named.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct AskNamings {
    /// When the box asks, by its own clock in milliseconds; the answer repeats it.
    pub asked_ms: u64,
}

/// When weights were named, as another box knows.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Namings {
    /// Moment of the question, by the asker's clock in milliseconds.
    pub asked_ms: u64,
    /// Namings.
    pub namings: Vec<ToldNaming>,
}

/// Naming of one version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ToldNaming {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Time since it was named, at the most, in milliseconds.
    pub age_ms: u64,
}

/// News of the store from another box.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct News {
    /// Number of the question.
    pub nonce: u64,
    /// Age of what the other box knows, in milliseconds.
    pub age_ms: u64,
    /// What can be told.
    pub answer: Answer,
}

/// Answer to a question for news.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Answer {
    /// The changes since then, the older first; `whole` when there are no more.
    Changes {
        /// Changes.
        changes: Vec<ToldChange>,
        /// Revision after them.
        revision: Revision,
        /// Whether these are all.
        whole: bool,
    },
    /// The asker must read the store itself.
    ReadYourself,
    /// A piece of the next change, whose value is too long for one datagram.
    Piece(Piece),
}

/// Piece of a change's value.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Piece {
    /// The change without its value.
    pub change: ToldChange,
    /// Bytes of the whole value.
    pub total: u32,
    /// Bytes before this piece.
    pub from: u32,
    /// The piece.
    pub bytes: Vec<u8>,
}

/// A change of one item.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ToldChange {
    key: String,
    value: Option<Vec<u8>>,
    pub revision: Revision,
    created: Revision,
}

impl From<&Change> for ToldChange {
    fn from(change: &Change) -> Self {
        Self {
            key: change.key.clone(),
            value: change.value.as_ref().map(|value| value.to_vec()),
            revision: change.revision,
            created: change.created,
        }
    }
}

impl ToldChange {
    /// A change whose value is told apart.
    pub fn without_value(change: &Change) -> Self {
        Self {
            value: None,
            ..Self::from(change)
        }
    }

    /// The change with the value that was told apart.
    pub fn with_value(self, value: Vec<u8>) -> Change {
        Change::from(Self {
            value: Some(value),
            ..self
        })
    }
}

impl From<ToldChange> for Change {
    fn from(told: ToldChange) -> Self {
        Self {
            key: told.key,
            value: told.value.map(Bytes::from),
            revision: told.revision,
            created: told.created,
        }
    }
}
