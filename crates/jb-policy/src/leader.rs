//! The leader of a hall: the one box that gives its engines orders.
//!
//! The platform's lease names it. It gives no order near the end of its
//! lease, measured from before it asked; each order carries the lease's
//! fencing token. For engines that do not check tokens, a new leader first
//! waits until every order of the one before must have arrived, and what an
//! engine reports is compared with the tree again and again, so that a stray
//! order is undone. Nothing is routed by what was ordered, only by what an
//! engine reports.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::engine::Order;
use jb_protocol::id;
use jb_protocol::platform::Lease;

use crate::Moment;
use crate::rendezvous;

/// Time for which the lease is asked.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Longest time from the decision on an order to its arrival.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an order that shows no effect is given again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Name of a hall's lease.
pub fn lease_name(hall: &str) -> String {
    format!("steward/{hall}")
}

/// How much a box is preferred as leader; only the most preferred live box
/// asks for the lease, so the platform gets one call for a hall.
pub fn preference(hall: &str, name: &str) -> u64 {
    rendezvous::weight(
        rendezvous::name_hash(&lease_name(hall)),
        rendezvous::name_hash(name),
    )
}

/// What an engine is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    /// Engine.
    pub upstream: id::Upstream,
    /// Model.
    pub model: String,
    /// Version of the weights.
    pub weights: id::Weights,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
}

/// What an engine reports to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loaded {
    /// Model.
    pub model: String,
    /// Version of the weights.
    pub weights: id::Weights,
}

/// An order to be given now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine.
    pub upstream: id::Upstream,
    /// The order.
    pub order: Order,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    fence: id::Fence,
    since: Moment,
    until: Moment,
}

/// What a box knows of its own leadership.
#[derive(Clone, Debug, Default)]
pub struct Leader {
    term: Option<Term>,
    ordered: BTreeMap<id::Upstream, Moment>,
}

impl Leader {
    /// Takes a lease that was asked for at `asked_at`; `true` when the box
    /// was not leader before.
    pub fn record_grant(&mut self, lease: &Lease, asked_at: Moment) -> bool {
        let until = asked_at + Duration::from_millis(lease.ttl_ms);
        let same = self.term.filter(|term| term.fence == lease.fence);
        let since = same.map_or(asked_at, |term| term.since);
        self.term = Some(Term {
            fence: lease.fence,
            since,
            until,
        });
        if same.is_none() {
            self.ordered.clear();
        }
        same.is_none()
    }

    /// Notes that the box is not leader; `true` when it was.
    pub fn step_down(&mut self) -> bool {
        self.term.take().is_some()
    }

    /// Whether an order that is decided on now arrives within the lease.
    pub fn can_order(&self, now: Moment) -> bool {
        self.term.is_some_and(|term| now + ORDER_TIMEOUT < term.until)
    }

    /// The order for an engine that reports something other than is desired.
    pub fn plan(&mut self, desired: &Desired, loaded: &Loaded, now: Moment) -> Option<PlannedOrder> {
        let term = self.term.filter(|term| now + ORDER_TIMEOUT < term.until)?;
        if loaded.model == desired.model && loaded.weights == desired.weights {
            self.ordered.remove(&desired.upstream);
            return None;
        }
        // An order of the leader before may still be on its way.
        if !desired.checks_fence && now < term.since + LEASE_DURATION + ORDER_TIMEOUT {
            return None;
        }
        let before = self.ordered.get(&desired.upstream);
        if before.is_some_and(|at| now < *at + ORDER_RETRY_INTERVAL) {
            return None;
        }
        self.ordered.insert(desired.upstream.clone(), now);
        let left = term.until.saturating_sub(now).min(ORDER_TIMEOUT);
        Some(PlannedOrder {
            upstream: desired.upstream.clone(),
            order: Order {
                fence: term.fence,
                model: desired.model.clone(),
                weights: desired.weights.clone(),
                expires_ms: u64::try_from(left.as_millis()).unwrap_or(0),
            },
        })
    }
}
