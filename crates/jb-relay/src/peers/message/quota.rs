//! Charges to customers' quotas, and the counts of reachable boxes that scale the quotas.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

/// Number of boxes that the relay node of a data hall reaches, itself included.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ReachableCount {
    /// Relay node.
    pub from: id::Box,
    /// Boxes of its data hall.
    pub hall: u32,
    /// Boxes of all data halls.
    pub all: u32,
}

/// Charges one request to its customer's quota.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct Charge {
    /// Number that the reply repeats.
    pub nonce: u64,
    /// Short name of the customer.
    pub customer: u32,
    /// Tokens that the request counts for.
    pub tokens: u64,
    /// Whether the request is of the most urgent priority.
    pub is_urgent: bool,
    /// Whether the owner for the whole fleet did not answer, so that the boxes of other halls may be using
    /// another owner.
    pub is_fallback: bool,
    /// Tokens that ran at this box without being charged; a negative number is refunded.
    pub uncharged: i64,
    /// Tokens that the quota had left by the last reply, unless that reply is outdated.
    pub remaining: Option<i64>,
}

/// Answers a [`Charge`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct ChargeReply {
    /// Number of the charge.
    pub nonce: u64,
    /// Short name of the customer.
    pub customer: u32,
    /// Time after which the request would be admitted, in milliseconds; `None` when it is admitted.
    pub retry_after_ms: Option<u32>,
    /// Tokens that the quota has left.
    pub remaining: i64,
}
