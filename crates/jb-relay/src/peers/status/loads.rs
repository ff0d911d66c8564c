//! Statuses of the other boxes, with the sums of their loads.
//!
//! The sums are updated by the difference between two statuses, so the cost of a status grows with the upstreams that
//! it names, not with all known upstreams.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::outage::Span;
use jb_protocol::id;

use crate::peers::message::{CacheUse, UpstreamLoad};

/// Age from which on a status isn't used.
const MAX_STATUS_AGE: Duration = Duration::from_millis(1500);

/// Short name of an upstream: the lower half of the hash of its id.
type Name = u32;

/// Statuses of the other boxes, and the prompts for the next status of this box.
#[derive(Debug, Default)]
pub struct Loads {
    received: BTreeMap<id::Box, ReceivedStatus>,
    all: Sums,
    members: Sums,
    /// Prompts of this box since its last status.
    pub(super) queued_uses: Vec<CacheUse>,
    /// When the last status of the local relay node arrived.
    pub(super) relay_node_seen: Moment,
}

/// Status of another box, or the sum that a relay node has sent.
#[derive(Clone, Debug)]
pub struct ReceivedStatus {
    /// When it was received.
    pub at: Moment,
    /// Whether the sender uses this box as its relay node.
    pub is_member: bool,
    /// Loads of the sender, or the sums of the boxes behind it.
    pub loads: Vec<UpstreamLoad>,
    /// Time span in which the store has answered the sender or others.
    pub store_span: Option<Span>,
}

/// Sums of the loads of several boxes, by upstream.
#[derive(Clone, Debug, Default)]
struct Sums(HashMap<Name, UpstreamLoad>);

impl Sums {
    fn add(&mut self, load: &UpstreamLoad) {
        let sum = self.0.entry(load.upstream).or_insert(UpstreamLoad {
            upstream: load.upstream,
            ..UpstreamLoad::default()
        });
        sum.running = sum.running.saturating_add(load.running);
        sum.fixed = sum.fixed.saturating_add(load.fixed);
        sum.waiting = sum.waiting.saturating_add(load.waiting);
    }

    fn subtract(&mut self, load: &UpstreamLoad) {
        let Some(sum) = self.0.get_mut(&load.upstream) else {
            return;
        };
        sum.running = sum.running.saturating_sub(load.running);
        sum.fixed = sum.fixed.saturating_sub(load.fixed);
        sum.waiting = sum.waiting.saturating_sub(load.waiting);
        if sum.is_empty() {
            self.0.remove(&load.upstream);
        }
    }

    /// Adds loads and returns all sums.
    fn with(mut self, loads: &[UpstreamLoad]) -> Vec<UpstreamLoad> {
        loads.iter().for_each(|load| self.add(load));
        self.0.into_values().collect()
    }
}

/// Adds a load of a status to the sums that include the status.
fn add(all: &mut Sums, members: &mut Sums, status: &ReceivedStatus, load: &UpstreamLoad) {
    all.add(load);
    if status.is_member {
        members.add(load);
    }
}

impl Loads {
    /// Replaces the status of a box, and drops outdated ones. Returns the upstreams whose sums may have changed.
    pub fn put(&mut self, from: &id::Box, status: ReceivedStatus) -> Vec<Name> {
        let mut touched = self.drop_outdated(status.at);
        touched.extend(self.remove(from));
        for load in &status.loads {
            add(&mut self.all, &mut self.members, &status, load);
            touched.push(load.upstream);
        }
        self.received.insert(from.clone(), status);
        touched
    }

    /// Adds a prompt to the status of a box until its next one. Returns false if there is no status of that box.
    pub(super) fn add(&mut self, from: &str, upstream: Name, tokens: u64) -> bool {
        let Some(received) = self.received.get_mut(from) else {
            return false;
        };
        let prompt = UpstreamLoad {
            upstream,
            running: 1,
            fixed: 0,
            waiting: tokens,
        };
        received.loads.push(prompt);
        add(&mut self.all, &mut self.members, received, &prompt);
        true
    }

    fn remove(&mut self, from: &str) -> Vec<Name> {
        let Some(status) = self.received.remove(from) else {
            return Vec::new();
        };
        for load in &status.loads {
            self.all.subtract(load);
            if status.is_member {
                self.members.subtract(load);
            }
        }
        status.loads.iter().map(|load| load.upstream).collect()
    }

    fn drop_outdated(&mut self, now: Moment) -> Vec<Name> {
        let is_outdated = |received: &ReceivedStatus| now >= received.at + MAX_STATUS_AGE;
        let outdated = self.received.iter().filter(|(_, received)| is_outdated(received));
        let outdated: Vec<id::Box> = outdated.map(|(id, _)| id.clone()).collect();
        outdated.iter().flat_map(|id| self.remove(id)).collect()
    }

    /// Returns the sum of the other boxes' loads on an upstream.
    pub fn others(&self, upstream: Name) -> UpstreamLoad {
        self.all.0.get(&upstream).copied().unwrap_or_default()
    }

    /// Returns the sums of `own` and the loads of all other boxes except `id`.
    pub fn sum_without(&self, id: &str, own: Vec<UpstreamLoad>) -> Vec<UpstreamLoad> {
        let mut sums = self.all.clone();
        let excluded = self.received.get(id).map(|received| received.loads.as_slice());
        for load in excluded.unwrap_or_default() {
            sums.subtract(load);
        }
        sums.with(&own)
    }

    /// Returns the sums of `own` and the loads of the boxes that use this one as their relay node.
    pub fn sum_of_members(&self, own: Vec<UpstreamLoad>) -> Vec<UpstreamLoad> {
        self.members.clone().with(&own)
    }

    /// Returns the time spans in which the store has answered, as reported by the reachable boxes.
    pub fn store_spans(&self, now: Moment) -> Vec<Span> {
        let received = self
            .received
            .values()
            .filter(|received| now < received.at + MAX_STATUS_AGE);
        received.filter_map(|received| received.store_span).collect()
    }

    /// Returns when the last status of the local relay node arrived.
    pub(in crate::peers) fn relay_node_seen(&self) -> Moment {
        self.relay_node_seen
    }

    /// Returns the boxes that have sent their status to this one as their relay node since a point in time.
    pub(in crate::peers) fn members(&self, since: Moment) -> Vec<id::Box> {
        let received = self
            .received
            .iter()
            .filter(|(_, received)| received.is_member && received.at >= since);
        received.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a recent status of a box has arrived.
    pub(in crate::peers) fn has_recent_status(&self, id: &str, now: Moment) -> bool {
        let received = self.received.get(id);
        received.is_some_and(|received| now < received.at + MAX_STATUS_AGE)
    }

    /// Returns the boxes that have sent a status since a point in time.
    pub(in crate::peers) fn senders(&self, since: Moment) -> Vec<id::Box> {
        let received = self.received.iter().filter(|(_, received)| received.at >= since);
        received.map(|(id, _)| id.clone()).collect()
    }
}
