//! Requests for changes of the store, and their replies.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::port::{Change, Revision};

/// Requests the changes of the store after a revision.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Pull {
    /// Number that the reply repeats.
    pub nonce: u64,
    /// Revision that the requester has.
    pub after: Revision,
    /// Bytes that it already has of the next value, if that is sent in chunks.
    pub offset: u32,
}

/// Requests the changes that did not fit into the previous datagram.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct PullMore {
    /// The request for all of them.
    pub pull: Pull,
    /// Number of them that the requester already has.
    pub skip: u32,
}

/// Answers [`Pull`] and [`PullMore`].
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct PullReply {
    /// Number of the request.
    pub nonce: u64,
    /// Age of the sender's knowledge of the store, in milliseconds.
    pub age_ms: u64,
    /// The changes, or why they are not sent.
    pub body: PullBody,
}

/// Content of a [`PullReply`].
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) enum PullBody {
    /// The changes after the requested revision, the oldest first.
    Changes {
        /// Changes that fit into the datagram.
        changes: Vec<StoreChange>,
        /// Revision that the store has after them.
        revision: Revision,
        /// Whether no more changes follow.
        is_complete: bool,
    },
    /// The sender's knowledge is too old; the requester must read the store itself.
    ReadStore,
    /// Part of the next change, whose value is too long for one datagram.
    Chunk(Chunk),
    /// The changes are too long, or not in the log; the requester must fetch them over a connection.
    UseTransfer,
}

/// Part of a change's value.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Chunk {
    /// The change without its value.
    pub change: StoreChange,
    /// Length of the whole value, in bytes.
    pub total: u32,
    /// Position of this chunk in the value, in bytes.
    pub offset: u32,
    /// Content of the chunk.
    pub bytes: Vec<u8>,
}

/// A change of one item of the store.
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
    /// Returns a change whose value is sent in chunks.
    pub fn without_value(change: &Change) -> Self {
        Self {
            value: None,
            ..Self::from(change)
        }
    }

    /// Adds the value that was received in chunks.
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
