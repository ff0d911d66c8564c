//! Messages spoken with operators, JSON over HTTP.

use serde::{Deserialize, Serialize};

use crate::id;

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that holds it.
    pub revision: id::Revision,
    /// Whether an earlier try had been accepted.
    pub already: bool,
}

/// One box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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

/// A request to explain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Customer.
    pub customer: id::Customer,
    /// Route.
    pub route: id::Route,
    /// Levels of the prompt, the outermost first.
    pub levels: Vec<String>,
}
