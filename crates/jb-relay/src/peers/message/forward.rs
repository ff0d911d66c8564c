//! Messages that the receiver forwards to other boxes.

use serde::{Deserialize, Serialize};

/// A message that the receiver applies and forwards.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Forward {
    /// Boxes to forward it to.
    pub to: Recipients,
    /// The encoded message.
    pub message: Vec<u8>,
}

/// Boxes that are to receive a message, besides its receiver.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) enum Recipients {
    /// All boxes.
    Fleet,
    /// All boxes of the receiver's data hall.
    Hall,
    /// The boxes with these short names: the lower halves of the hashes of their ids.
    Boxes(Vec<u32>),
}
