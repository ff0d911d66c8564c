//! Messages to the decision thread.

use std::sync::Arc;

use jb_policy::customer_limit::{Admitted, Exceeded};
use jb_policy::hall::Summary;
use jb_policy::route::{Choice, Permit, Query, Rejection};
use jb_policy::signal::Signals;
use jb_policy::stream::Start;
use jb_protocol::admin::Weighing;
use jb_protocol::engine::Report;
use jb_protocol::id;
use jb_tree::view::View;
use tokio::sync::oneshot;

/// A check of a request against the limits of its customer.
pub struct Admission {
    /// Customer that sent the request.
    pub customer: id::Customer,
    /// Prompt tokens plus the most tokens that may be generated.
    pub tokens: u32,
    /// Channel for the result.
    pub reply: oneshot::Sender<Result<Admitted, Exceeded>>,
}

/// Selects an upstream for an attempt.
pub struct Selection {
    /// Service for which an upstream is selected.
    pub service: id::Service,
    /// Placement query of the request.
    pub query: Query,
    /// Whether this is a retry, which is charged to the retry budget.
    pub retry: bool,
    /// Channel for the result.
    pub reply: oneshot::Sender<Result<Choice, Rejection>>,
}

/// Requests the placement scores of the upstreams, for operators.
pub struct Explanation {
    /// Service that the message concerns.
    pub service: id::Service,
    /// Placement query of the request.
    pub query: Query,
    /// Channel for the result.
    pub reply: oneshot::Sender<Weighing>,
}

/// Reports the start of a response stream.
pub struct Started {
    /// Service that the message concerns.
    pub service: id::Service,
    /// Upstream that the message concerns.
    pub upstream: id::Upstream,
    /// Placement query of the request.
    pub query: Arc<Query>,
    /// Start frame of the stream.
    pub start: Start,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Succeeded,
    /// The upstream failed; this counts against its health.
    Failed,
    /// The attempt ended for another reason, which says nothing about the upstream's health.
    Abandoned,
    /// The upstream declined the attempt because it has other weights or is draining.
    Denied,
}

/// The end of an attempt or request that is counted as in flight.
pub enum Ending {
    /// An attempt at an upstream.
    Attempt {
        /// Service that the message concerns.
        service: id::Service,
        /// Upstream that the message concerns.
        upstream: id::Upstream,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// A request that was admitted.
    Request {
        /// Customer that sent the request.
        customer: id::Customer,
        /// Tokens to credit to the customer because the request did not run.
        refund: u32,
    },
}

/// Any message to the decision thread.
pub enum Message {
    /// See [`Admission`].
    Admit(Admission),
    /// See [`Selection`].
    Choose(Selection),
    /// See [`Explanation`].
    Explain(Explanation),
    /// See [`Started`].
    Started(Started),
    /// See [`Ending`].
    Ended(Ending),
    /// Applies a new revision of the configuration tree.
    Configure(Arc<View>),
    /// A load report from an engine.
    Report {
        /// Service that the message concerns.
        service: id::Service,
        /// Upstream that the message concerns.
        upstream: id::Upstream,
        /// Load and state as the engine reported them.
        report: Report,
    },
    /// Signals in the headers of an upstream's response.
    Signals {
        /// Service that the message concerns.
        service: id::Service,
        /// Upstream that the message concerns.
        upstream: id::Upstream,
        /// Parsed signal headers.
        signals: Signals,
        /// Permit under which the request was sent.
        permit: Permit,
    },
    /// Replaces the set of upstreams that the box list shows as draining.
    Draining(Vec<id::Upstream>),
    /// Number of boxes among which the hall's callers are spread.
    Boxes(u32),
    /// Requests the state of every service in the local hall.
    Summarize(oneshot::Sender<Vec<ServiceSummary>>),
}

/// State of one service in the local hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSummary {
    /// Service that the summary describes.
    pub service: id::Service,
    /// Summary that is exchanged between halls.
    pub summary: Summary,
    /// Number of upstreams that can accept requests.
    pub usable: u32,
    /// Upstreams that are draining.
    pub draining: Vec<id::Upstream>,
}
