//! Questions for news of the store, and their answers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::port::{Change, Revision};

/// A question for news of the store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Pull {
    /// Number that the answer repeats.
    pub nonce: u64,
    /// Revision that the asker has.
    pub after: Revision,
    /// Bytes that it has of the next value, where that comes in pieces.
    pub from: u32,
}

/// A question for the rest of news that did not fit into one datagram.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct PullMore {
    /// The question for all of them.
    pub ask: Pull,
    /// Changes that the asker has of them already.
    pub skip: u32,
}

/// PullReply of the store from another box.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct PullReply {
    /// Number of the question.
    pub nonce: u64,
    /// Age of what the other box knows, in milliseconds.
    pub age_ms: u64,
    /// PullBody.
    pub answer: PullBody,
}

/// PullBody to a question for news.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) enum PullBody {
    /// The changes since then, the older first; `whole` when there are no more.
    Changes {
        /// Changes.
        changes: Vec<StoreChange>,
        /// Revision after them.
        revision: Revision,
        /// Whether these are all.
        whole: bool,
    },
    /// The asker must read the store itself.
    ReadStore,
    /// A chunk of the next change, whose value is too long for one datagram.
    Chunk(Chunk),
    /// The asker must have them transferred over a connection.
    UseTransfer,
}

/// Chunk of a change's value.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Chunk {
    /// The change without its value.
    pub change: StoreChange,
    /// Bytes of the whole value.
    pub total: u32,
    /// Bytes before this chunk.
    pub from: u32,
    /// The chunk.
    pub bytes: Vec<u8>,
}

/// A change of one item.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct StoreChange {
    key: String,
    value: Option<Vec<u8>>,
    pub revision: Revision,
}

impl From<&Change> for StoreChange {
    fn from(change: &Change) -> Self {
        Self {
            key: change.key.clone(),
            value: change.value.as_ref().map(|value| value.to_vec()),
            revision: change.revision,
        }
    }
}

impl StoreChange {
    /// A change whose value is sent separately.
    pub fn without_value(change: &Change) -> Self {
        Self {
            value: None,
            ..Self::from(change)
        }
    }

    /// The change with the value that was sent separately.
    pub fn with_value(self, value: Vec<u8>) -> Change {
        Change::from(Self {
            value: Some(value),
            ..self
        })
    }
}

impl From<StoreChange> for Change {
    fn from(change: StoreChange) -> Self {
        Self {
            key: change.key,
            value: change.value.map(Bytes::from),
            revision: change.revision,
        }
    }
}
