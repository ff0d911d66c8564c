//! Messages that are handed on.

use serde::{Deserialize, Serialize};

/// A message that the receiver applies, and hands on to others.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Forward {
    /// For whom it is.
    pub to: Recipients,
    /// The message in its encoding.
    pub message: Vec<u8>,
}

/// For whom a message is, besides its receiver.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) enum Recipients {
    /// All boxes.
    Fleet,
    /// All boxes of the receiver's data hall.
    Hall,
    /// Some boxes, by the lower halves of the hashes of their ids.
    Boxes(Vec<u32>),
}
