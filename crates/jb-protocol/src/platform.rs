//! Messages exchanged with the platform: JSON over HTTP.

use serde::{Deserialize, Serialize};

use crate::id;

/// State of an entry of the box list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// Draining: accepts no new requests.
    Leaving,
}

/// An entry of the box list: either a box that accepts callers' requests or an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the box or of the upstream.
    pub id: String,
    /// Data hall.
    pub hall: id::Hall,
    /// Address of the box's peer port, or of the upstream.
    pub address: String,
    /// Whether this is a box that accepts callers' requests; false for an upstream.
    pub entry: bool,
    /// Current state.
    pub state: State,
}

/// A lease as the platform granted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the holder.
    pub holder: String,
    /// Fencing token, which increases whenever the lease gets another holder.
    pub fence: id::Fence,
    /// Milliseconds until the lease expires.
    pub ttl_ms: u64,
}

/// A request for a lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Name of the requested holder.
    pub holder: String,
    /// Requested duration, in milliseconds.
    pub ttl_ms: u64,
}
