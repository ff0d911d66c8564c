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

/// Why an upstream gets no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// It drains by the tree.
    LeavesByTree,
    /// It drains by the box list.
    LeavesByList,
    /// It drains by its report.
    LeavesByReport,
    /// It drains by a response of its own.
    LeavesByAnswer,
    /// It has asked for backoff.
    Backoff,
    /// Its rate limit is used up.
    Limited,
    /// It has other weights, or another model.
    OtherWeights,
    /// Requests have failed there.
    Fails,
}

impl Obstacle {
    /// The obstacle in words.
    pub fn text(self) -> &'static str {
        match self {
            Self::LeavesByTree => "leaves, by the tree",
            Self::LeavesByList => "leaves, by the box list",
            Self::LeavesByReport => "leaves, by its report",
            Self::LeavesByAnswer => "leaves, by its answers",
            Self::Backoff => "has asked for backoff",
            Self::Limited => "has used up its rate limit",
            Self::OtherWeights => "has other weights",
            Self::Fails => "fails",
        }
    }
}

/// An upstream that gets no request now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOut {
    /// Upstream.
    pub upstream: id::Upstream,
    /// Why.
    pub obstacle: Obstacle,
    /// Milliseconds until it is asked again, where that is known.
    pub for_ms: Option<u64>,
}

/// How the upstreams of a service weigh for a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Weighing {
    /// Upstreams as weighed, the best first.
    pub candidates: Vec<Candidate>,
    /// Those that get nothing now.
    #[serde(default)]
    pub left_out: Vec<LeftOut>,
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
    /// Upstreams.
    #[serde(flatten)]
    pub weighing: Weighing,
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
