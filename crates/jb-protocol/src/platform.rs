//! Messages spoken with the platform, JSON over HTTP.

use serde::{Deserialize, Serialize};

use crate::id;

/// State of one entry of the box list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to leave; it takes no new work.
    Leaving,
}

/// One entry of the box list: an entry box or an upstream's box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Box id, or upstream id.
    pub id: String,
    /// Data hall.
    pub hall: id::Hall,
    /// Address of the peer port, for entry boxes; else of the upstream.
    pub address: String,
    /// Whether this is an entry box of junctionbend.
    pub entry: bool,
    /// State.
    pub state: State,
}

/// A lease as the platform granted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: String,
    /// Fencing token; it grows whenever the lease changes hands.
    pub fence: id::Fence,
    /// Milliseconds until it lapses.
    pub ttl_ms: u64,
}

/// A request for a lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Who asks.
    pub holder: String,
    /// Milliseconds for which to hold it.
    pub ttl_ms: u64,
}
