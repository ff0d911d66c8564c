//! Software versions that began streams.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

/// Announces which software versions began streams.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct StreamOrigin {
    /// One row for each stream.
    pub rows: Vec<OriginRow>,
}

/// Origin of one stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::peers) struct OriginRow {
    /// Hash of the request id.
    pub request: u64,
    /// Version that began the stream.
    pub version: id::SoftwareVersion,
}

/// Asks an owner which software version began a stream.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct QueryStreamOrigin {
    /// Number that the reply repeats.
    pub nonce: u64,
    /// Hash of the request id.
    pub request: u64,
    /// Service of the request.
    pub service: id::Service,
}

/// Answers [`QueryStreamOrigin`].
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) struct StreamOriginReply {
    /// Number of the query.
    pub nonce: u64,
    /// Version that began the stream; `None` if the sender doesn't know it.
    pub version: Option<id::SoftwareVersion>,
    /// Whether the sender knows upstreams of several versions in the service.
    pub has_several_versions: bool,
}
