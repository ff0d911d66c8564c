//! Criteria by which upstreams are selected for a request, and the source of a KV cache transfer.

use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::hall_reachability::Avoided;
use jb_policy::placement::Demand;
use jb_policy::weights::History;

use super::Instance;

/// Criteria by which upstreams are selected for a request.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Service that the request is routed to.
    pub service: &'a str,
    /// Requested model; `None` if the request names none.
    pub model: Option<&'a str>,
    /// Released versions of the model's weights.
    pub weights: History,
    /// Time after a release for which engines with older weights still receive requests.
    pub old_weights_grace: Duration,
    /// Data hall of this box.
    pub own_hall: &'a str,
    /// Prompt and size of the request.
    pub demand: Demand<'a>,
    /// Software version that the upstream must have, because it began the stream; `None` if any will do.
    pub software: Option<&'a str>,
    /// Instances that were already tried.
    pub excluded: &'a [Instance],
    /// Whether to include upstreams whose entries are missing and which may have ended.
    pub last_resort: bool,
    /// Whether to exclude upstreams without an idle connection, because no new ones can be opened.
    pub needs_connection: bool,
    /// Data halls whose upstreams are excluded.
    pub avoided_halls: Avoided,
}

/// Engine from which cached segments of a prompt are transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheSource {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Cached tokens of the prompt beyond those that the target has.
    pub extra_tokens: u64,
}
