//! Leader of a data hall: the one box that orders the hall's engines to load models.
//!
//! The leader holds the platform's lease. It gives no order near the end of the lease, whose duration counts from
//! before the request for it, and each order carries the lease's fencing token. For engines that don't check
//! fencing tokens, a new leader first waits until every order of its predecessor must have arrived. Engines'
//! reports are compared with the configuration tree in every round, so a stray order is undone. Requests are
//! routed only by what engines report, never by what was ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::engine::Order;
use jb_protocol::id;
use jb_protocol::platform::Lease;

use crate::Moment;
use crate::rendezvous;

/// Requested duration of the lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Longest time from planning an order to its arrival at the engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which an order without effect is repeated.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Returns the name of a hall's lease.
pub fn lease_name(hall: &str) -> String {
    format!("steward/{hall}")
}

/// Returns the preference of a box as leader. Only the live box with the highest value requests the lease, so the
/// platform gets the calls of one box of a hall.
pub fn preference(hall: &str, name: &str) -> u64 {
    rendezvous::weight(
        rendezvous::name_hash(&lease_name(hall)),
        rendezvous::name_hash(name),
    )
}

/// Desired state of an engine by the configuration tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    /// Engine.
    pub upstream: id::Upstream,
    /// Model.
    pub model: String,
    /// Version of the weights.
    pub weights: id::Weights,
    /// Whether the engine rejects orders with an old fencing token.
    pub checks_fence: bool,
}

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loaded {
    /// Model.
    pub model: String,
    /// Version of the weights.
    pub weights: id::Weights,
}

/// An order to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine.
    pub upstream: id::Upstream,
    /// Order.
    pub order: Order,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    fence: id::Fence,
    since: Moment,
    until: Moment,
}

/// Leadership of this box.
#[derive(Clone, Debug, Default)]
pub struct Leader {
    term: Option<Term>,
    ordered_at: BTreeMap<id::Upstream, Moment>,
}

impl Leader {
    /// Records a lease that was requested at `requested_at` and returns whether this begins a new term.
    pub fn record_grant(&mut self, lease: &Lease, requested_at: Moment) -> bool {
        let until = requested_at + Duration::from_millis(lease.ttl_ms);
        let same = self.term.filter(|term| term.fence == lease.fence);
        let since = same.map_or(requested_at, |term| term.since);
        self.term = Some(Term {
            fence: lease.fence,
            since,
            until,
        });
        if same.is_none() {
            self.ordered_at.clear();
        }
        same.is_none()
    }

    /// Ends the term and returns whether the box was leader.
    pub fn step_down(&mut self) -> bool {
        self.term.take().is_some()
    }

    /// Returns whether an order that is planned now arrives within the lease.
    pub fn can_order(&self, now: Moment) -> bool {
        self.term.is_some_and(|term| now + ORDER_TIMEOUT < term.until)
    }

    /// Plans the order for an engine whose reported state differs from the desired one.
    pub fn plan(&mut self, desired: &Desired, loaded: &Loaded, now: Moment) -> Option<PlannedOrder> {
        let term = self.term.filter(|term| now + ORDER_TIMEOUT < term.until)?;
        if loaded.model == desired.model && loaded.weights == desired.weights {
            self.ordered_at.remove(&desired.upstream);
            return None;
        }
        // An order of the previous leader may still be in flight.
        if !desired.checks_fence && now < term.since + LEASE_DURATION + ORDER_TIMEOUT {
            return None;
        }
        let before = self.ordered_at.get(&desired.upstream);
        if before.is_some_and(|at| now < *at + ORDER_RETRY_INTERVAL) {
            return None;
        }
        self.ordered_at.insert(desired.upstream.clone(), now);
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
