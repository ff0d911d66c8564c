//! What boxes answer to operators.

use jb_protocol::id;
use jb_tree::Tree;
use serde::{Deserialize, Serialize};

/// The tree in force at a box.
#[derive(Debug, Serialize, Deserialize)]
pub struct TreeInForce {
    /// Revision.
    pub revision: id::Revision,
    /// Ids of the newest edits, the newest last.
    pub edits: Vec<id::Edit>,
    /// The tree.
    pub tree: Tree,
}

/// An accepted edit.
#[derive(Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that holds it.
    pub revision: id::Revision,
    /// Whether an earlier try had been accepted.
    pub already: bool,
}

/// One box.
#[derive(Debug, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Name.
    pub id: id::Box,
    /// Data hall.
    pub hall: id::Hall,
    /// Revision in force.
    pub revision: id::Revision,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Address for operators.
    pub admin_address: String,
}

/// One service in the hall of the box asked.
#[derive(Debug, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service.
    pub service: id::Service,
    /// Upstreams that can take work.
    pub usable: u32,
    /// Upstreams that leave.
    pub leaving: Vec<id::Upstream>,
    /// Milliseconds of work waiting at the least busy one.
    pub wait_ms: u32,
}

/// What a box knows.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The box asked.
    pub me: BoxStatus,
    /// Other boxes taken for alive.
    pub boxes: Vec<BoxStatus>,
    /// Services in its hall.
    pub services: Vec<ServiceStatus>,
    /// Requests open at the box asked.
    pub open: usize,
}

/// One upstream as it was weighed.
#[derive(Debug, Serialize, Deserialize)]
pub struct Candidate {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Estimated waiting time in milliseconds.
    pub wait_ms: f64,
    /// Tokens believed to be cached.
    pub cached_tokens: u32,
    /// Whether that belief comes from placement alone.
    pub presumed: bool,
    /// Weighed cost in milliseconds.
    pub cost_ms: f64,
}

/// Where a request would go.
#[derive(Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Service.
    pub service: id::Service,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that name the prompt's family.
    pub family_tokens: u32,
    /// Point of the family in a migration.
    pub point: u32,
    /// Hall where the tree wants it.
    pub hall: id::Hall,
    /// Upstreams as weighed, the best first.
    pub candidates: Vec<Candidate>,
}
