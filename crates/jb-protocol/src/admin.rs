//! Messages of the admin API: JSON over HTTP.

use serde::{Deserialize, Serialize};

use crate::id;

/// Response to an accepted edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// First revision that contains the edit.
    pub revision: id::Revision,
    /// Whether the edit had already been accepted by an earlier request with the same id.
    pub already: bool,
}

/// Status of one box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Name.
    pub id: id::Box,
    /// Data hall where the box runs.
    pub hall: id::Hall,
    /// Revision of the settings tree that the box uses.
    pub revision: id::Revision,
    /// Whether the box is stopping and accepts no new requests.
    pub leaving: bool,
    /// Address of the admin API.
    pub admin_address: String,
}

/// Status of one service in the hall of the queried box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: id::Service,
    /// Number of upstreams that accept new requests.
    pub usable: u32,
    /// Upstreams that are draining.
    pub leaving: Vec<id::Upstream>,
    /// Queued work at the least loaded upstream, in milliseconds.
    pub wait_ms: u32,
}

/// Status of the queried box and what it knows about others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Queried box.
    pub me: BoxStatus,
    /// Other boxes considered alive.
    pub boxes: Vec<BoxStatus>,
    /// Services in the hall of the queried box.
    pub services: Vec<ServiceStatus>,
    /// Number of requests in progress at the queried box.
    pub open: usize,
}

/// An upstream with its estimated cost for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Id of the upstream.
    pub upstream: id::Upstream,
    /// Estimated queueing time, in milliseconds.
    pub wait_ms: f64,
    /// Estimated number of prompt tokens in the upstream's cache.
    pub cached_tokens: u32,
    /// Whether that estimate comes from the placement alone and not from known cache contents.
    pub presumed: bool,
    /// Weighted total cost, in milliseconds.
    pub cost_ms: f64,
}

/// Reasons for sending no requests to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// The settings tree marks it as draining.
    LeavesByTree,
    /// The box list marks it as draining.
    LeavesByList,
    /// Its load report marks it as draining.
    LeavesByReport,
    /// One of its responses marked it as draining.
    LeavesByAnswer,
    /// It asked for backoff.
    Backoff,
    /// Its rate limit is exhausted.
    Limited,
    /// It has loaded other weights or another model.
    OtherWeights,
    /// Recent requests to it have failed.
    Fails,
}

impl Obstacle {
    /// Returns a short description for operators.
    pub fn text(self) -> &'static str {
        match self {
            Self::LeavesByTree => "draining (settings tree)",
            Self::LeavesByList => "draining (box list)",
            Self::LeavesByReport => "draining (load report)",
            Self::LeavesByAnswer => "draining (own response)",
            Self::Backoff => "asked for backoff",
            Self::Limited => "rate limit exhausted",
            Self::OtherWeights => "other model or weights loaded",
            Self::Fails => "requests failed",
        }
    }
}

/// An upstream that currently receives no requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOut {
    /// Id of the upstream.
    pub upstream: id::Upstream,
    /// Reason.
    pub obstacle: Obstacle,
    /// Milliseconds until it is tried again, if known.
    pub for_ms: Option<u64>,
}

/// Ranking of a service's upstreams for a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Weighing {
    /// Eligible upstreams, lowest cost first.
    pub candidates: Vec<Candidate>,
    /// Upstreams that currently receive no requests.
    #[serde(default)]
    pub left_out: Vec<LeftOut>,
}

/// Explanation of where a request would be routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Service to which the route leads.
    pub service: id::Service,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the prefix that identifies the prompt's family, in tokens.
    pub family_tokens: u32,
    /// Split point of the family in a migration, from 0 to 99; the family moves when the share exceeds it.
    pub point: u32,
    /// Hall that the settings tree assigns to the request.
    pub hall: id::Hall,
    /// Ranking of the service's upstreams.
    #[serde(flatten)]
    pub weighing: Weighing,
}

/// A request whose routing is to be explained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Customer who would send it.
    pub customer: id::Customer,
    /// Route that it would use.
    pub route: id::Route,
    /// Parts of the prompt, outermost first.
    pub levels: Vec<String>,
}
