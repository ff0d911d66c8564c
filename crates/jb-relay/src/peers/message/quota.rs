//! Charges to accounts of customers, their answers, and the counts of boxes that accounts go by.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

/// Boxes that the relay node of a data hall reaches, itself included.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ReachableCount {
    /// Relay node.
    pub from: id::Box,
    /// Boxes of its data hall.
    pub hall: u32,
    /// Boxes of all data halls.
    pub all: u32,
}

/// A request that counts in its customer's limit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Charge {
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
    /// What ran at this box without being charged; less than none is given back.
    pub uncharged: i64,
    /// What the account had left by the last answer, unless that is outdated.
    pub left: Option<i64>,
}

/// PullBody of a customer's account.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ChargeReply {
    /// Number of the charge.
    pub nonce: u64,
    /// Short name of the customer.
    pub customer: u32,
    /// Time after which the request would be let in; `None` when it is.
    pub after_ms: Option<u32>,
    /// What the account has left.
    pub left: i64,
}
