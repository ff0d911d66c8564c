//! Choice of the upstream for a request, for one service in one data hall.

mod pool;

use std::time::Duration;

use jb_protocol::error::Kind;
use jb_protocol::id;
use jb_protocol::priority::Priority;

pub use self::pool::Pool;
use crate::Moment;
use crate::prefix::Chain;

/// Properties of a request that decide its upstream.
#[derive(Clone, Debug)]
pub struct Query {
    /// Prefix chain of the prompt.
    pub chain: Chain,
    /// Priority class.
    pub class: Priority,
    /// Time within which the first token must arrive.
    pub deadline: Duration,
    /// Upstreams that have already failed this request.
    pub tried: Vec<id::Upstream>,
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the upstream.
    pub upstream: id::Upstream,
    /// Its last known incarnation.
    pub incarnation: Option<id::Incarnation>,
    /// Tokens of the prompt expected to be cached there.
    pub cached_tokens: u32,
    /// Estimated time to first token.
    pub estimated_ttft: Duration,
    /// Permit to send the request.
    pub permit: Permit,
}

/// Permit to send one request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// When it was issued.
    pub issued_at: Moment,
    /// Whether it counts against a rate limit of the upstream.
    pub is_limited: bool,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Kind of error.
    pub kind: Kind,
    /// Time after which to retry.
    pub retry_after: Duration,
}
