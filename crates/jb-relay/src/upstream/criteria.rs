//! What a request asks of the choice, and where its prompt's parts come from.

use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::hall_reachability::Avoided;
use jb_policy::placement::Demand;
use jb_policy::weights::History;

use super::Instance;

/// What a request asks of the choice.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Service.
    pub service: &'a str,
    /// Model that it names.
    pub model: Option<&'a str>,
    /// Versions of the model's weights that were named.
    pub weights: History,
    /// Time after which weights get nothing any more.
    pub weights_time: Duration,
    /// Own data hall.
    pub own_hall: &'a str,
    /// Its prompt and size.
    pub demand: Demand<'a>,
    /// Upstreams that were tried.
    pub excluded: &'a [Instance],
    /// Whether upstreams count that may be gone, as their entries are missing.
    pub last_resort: bool,
    /// Data halls whose upstreams don't count.
    pub avoided_halls: Avoided,
}

/// Where parts of a prompt are brought from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheSource {
    /// Address.
    pub address: SocketAddr,
    /// Tokens that it has beyond the target's own.
    pub extra_tokens: u64,
}
