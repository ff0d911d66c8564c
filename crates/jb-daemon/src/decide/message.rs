//! Messages to the thread that decides.

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

/// Asks whether a customer's limits admit a request.
pub struct Admission {
    /// Customer.
    pub customer: id::Customer,
    /// Tokens of prompt and answer.
    pub tokens: u32,
    /// Where to answer.
    pub reply: oneshot::Sender<Result<Admitted, Exceeded>>,
}

/// Asks for an upstream.
pub struct Choosing {
    /// Service.
    pub service: id::Service,
    /// The request.
    pub ask: Query,
    /// Whether this is a retry, to be taken from the budget.
    pub retry: bool,
    /// Where to answer.
    pub reply: oneshot::Sender<Result<Choice, Rejection>>,
}

/// Asks how the upstreams weigh, for operators.
pub struct Explanation {
    /// Service.
    pub service: id::Service,
    /// The request.
    pub ask: Query,
    /// Where to answer.
    pub reply: oneshot::Sender<Weighing>,
}

/// Tells how an answer started.
pub struct Started {
    /// Service.
    pub service: id::Service,
    /// Upstream.
    pub upstream: id::Upstream,
    /// The request.
    pub ask: Arc<Query>,
    /// The start.
    pub start: Start,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Well.
    Succeeded,
    /// Through the upstream's fault.
    Failed,
    /// For another reason, which shows nothing about the upstream.
    Abandoned,
    /// The upstream denied it, for having other weights or for leaving.
    Denied,
}

/// Tells that something counted has ended.
pub enum Ending {
    /// An attempt.
    Attempt {
        /// Service.
        service: id::Service,
        /// Upstream.
        upstream: id::Upstream,
        /// How it ended.
        outcome: Outcome,
    },
    /// An admitted request.
    Request {
        /// Customer.
        customer: id::Customer,
        /// Tokens to give back, for a request that did not run.
        refund: u32,
    },
}

/// Any message to the thread that decides.
pub enum Message {
    /// See [`Admission`].
    Admit(Admission),
    /// See [`Choosing`].
    Choose(Choosing),
    /// See [`Explanation`].
    Explain(Explanation),
    /// See [`Started`].
    Started(Started),
    /// See [`Ending`].
    Ended(Ending),
    /// A newer tree is in force.
    Configure(Arc<View>),
    /// A report of an engine.
    Report {
        /// Service.
        service: id::Service,
        /// Upstream.
        upstream: id::Upstream,
        /// The report.
        report: Report,
    },
    /// Signals of an upstream's response.
    Signals {
        /// Service.
        service: id::Service,
        /// Upstream.
        upstream: id::Upstream,
        /// Signals.
        signals: Signals,
        /// Permit of the request that it answers.
        permit: Permit,
    },
    /// Upstreams that the box list shows as leaving.
    Leaving(Vec<id::Upstream>),
    /// Boxes that share the hall's callers.
    Boxes(u32),
    /// Asks for the own hall's state of every service.
    Summarize(oneshot::Sender<Vec<ServiceSummary>>),
}

/// State of one service in the own hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSummary {
    /// Service.
    pub service: id::Service,
    /// Its state.
    pub summary: Summary,
    /// Upstreams that can take work.
    pub usable: u32,
    /// Upstreams that leave.
    pub leaving: Vec<id::Upstream>,
}
