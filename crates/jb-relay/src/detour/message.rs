//! Messages of a detour.

use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::id;
use serde::{Deserialize, Serialize};

use crate::admission::AdmittedRequest;
use crate::configuration::{Route, RouteKind};
use crate::core::Core;

/// Time of the deadline that is reserved for the way between the boxes.
const RETURN_LATENCY: Duration = Duration::from_millis(5);

/// What the box that admitted a request has decided about it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Box that admitted the request.
    pub from: id::Box,
    /// Service that the request is sent to.
    pub service: id::Service,
    /// Customer that sent it; `None` on public routes.
    pub customer: Option<id::Customer>,
    /// Salt under which engines cache its prompt, without the weights version.
    pub cache_salt: String,
    /// Priority at an engine, 0 to 9; 0 is the most urgent.
    pub urgency: u8,
    /// Time since its head was received.
    pub waited: Duration,
    /// Time until it must be answered.
    pub left: Duration,
    /// Upstreams that may still execute it.
    pub max_attempts: u32,
    route: RouteFacts,
}

/// Part of a route that decides how its requests are handled.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RouteFacts {
    name: id::Route,
    kind: RouteKind,
    timeout: Duration,
    target_latency: Duration,
    max_event_gap: Duration,
    priority: u8,
    resumable: bool,
}

impl Envelope {
    /// Wraps a request that `runs` upstreams may have executed.
    pub fn new(core: &Core, request: &AdmittedRequest, runs: u32) -> Self {
        let now = core.now();
        let Route {
            name,
            kind,
            timeout,
            target_latency,
            max_event_gap,
            priority,
            max_attempts,
            resumable,
            ..
        } = request.route.clone();
        Self {
            from: core.settings.id.clone(),
            service: request.service.clone(),
            customer: request.customer.clone(),
            cache_salt: request.cache_salt.clone(),
            urgency: request.urgency,
            waited: now.saturating_sub(request.arrived_at),
            left: request.deadline.saturating_sub(now + RETURN_LATENCY),
            max_attempts: max_attempts.saturating_sub(runs).max(1),
            route: RouteFacts {
                name,
                kind,
                timeout,
                target_latency,
                max_event_gap,
                priority,
                resumable,
            },
        }
    }

    /// Returns the moment at which the request was received, on the clock of the box that received the envelope at
    /// `now`.
    pub fn arrived_at(&self, now: Moment) -> Moment {
        now.saturating_sub(self.waited)
    }

    /// Returns the route, without what only selects it.
    pub fn route(&self) -> Route {
        let facts = self.route.clone();
        Route {
            name: facts.name,
            host: String::new(),
            path_prefix: String::new(),
            kind: facts.kind,
            timeout: facts.timeout,
            target_latency: facts.target_latency,
            max_event_gap: facts.max_event_gap,
            priority: facts.priority,
            services: Vec::new(),
            max_attempts: self.max_attempts,
            public: false,
            resumable: facts.resumable,
        }
    }
}

/// Reply of a helper to an envelope, before it is sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It serves the request.
    Accepted,
    /// It reaches no upstream either.
    Partitioned,
    /// It serves as many requests of other boxes as it can.
    Busy,
    /// It is starting, has been stopping for long, or its state is too old.
    NotReady,
    /// It is stopping, and serves the request if no other box does.
    AcceptedAsLastResort,
}

/// Header that tells a helper which software version began the stream that it resumes.
pub const SOFTWARE_HEADER: &str = "Junctionbend-Software";
/// Header in which a helper reports that no upstream's response is delivered.
pub(super) const FAILURE_HEADER: &str = "Junctionbend-Failure";

/// Why a helper delivers no upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No upstream has executed the request.
    NotRun,
    /// An upstream may have executed it.
    MayHaveRun,
    /// The deadline passed.
    Late,
}

impl Failure {
    /// Returns the value of the header.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Late => "late",
        }
    }

    /// Parses the value of the header. A value of a later version promises nothing.
    pub(super) fn parse(value: &str) -> Self {
        match value {
            "not-run" => Self::NotRun,
            "late" => Self::Late,
            _ => Self::MayHaveRun,
        }
    }
}
