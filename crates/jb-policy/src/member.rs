//! Membership protocol between boxes.
//!
//! At each tick a box probes a constant number of others, in rotation, and sends each a constant number of
//! updates, so its cost doesn't grow with the number of boxes. Membership is a hint only: a box that is
//! wrongly considered dead loses traffic, but no guarantee depends on it.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::id;

use crate::Moment;

/// Number of boxes that are probed at each tick.
pub const PROBES_PER_TICK: usize = 1;
/// Number of other boxes whose state is sent with each probe.
pub const UPDATES_PER_PROBE: usize = 2;
/// Consecutive failed probes after which a box is considered dead.
const FAILURE_THRESHOLD: u32 = 2;
/// Time since its last heartbeat after which a dead box is removed.
const DEAD_RETENTION: Duration = Duration::from_secs(120);

/// State of a box as others see it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub id: id::Box,
    /// Data hall.
    pub hall: id::Hall,
    /// Address of its peer port.
    pub peer_address: String,
    /// Address of its admin port.
    pub admin_address: String,
    /// Heartbeat counter, which only the box itself increments; after a restart it continues at a far higher
    /// value.
    pub heartbeat: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Revision of the configuration tree that is in force there.
    pub revision: id::Revision,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    last_seen: Moment,
    failures: u32,
}

/// Membership as peer by one box.
#[derive(Clone, Debug)]
pub struct Members {
    local: Member,
    others: BTreeMap<id::Box, Peer>,
    cursor: usize,
}

/// Change of a box's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// A box that was unknown or considered dead is alive.
    Found,
    /// A box is considered dead from now on.
    Lost,
}

impl Members {
    /// Creates a membership that contains only the box itself.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            others: BTreeMap::new(),
            cursor: 0,
        }
    }

    /// Returns the state of the box itself, as others see it.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Increments the own heartbeat and sets the state that is sent with it.
    pub fn advance_heartbeat(&mut self, revision: id::Revision, stopping: bool) {
        self.local.heartbeat += 1;
        self.local.revision = revision;
        self.local.stopping = stopping;
    }

    /// Merges the state of a box; one without a newer heartbeat is ignored.
    pub fn merge(&mut self, member: Member, now: Moment) -> Change {
        if member.id == self.local.id || member.id.is_empty() {
            return Change::None;
        }
        match self.others.get_mut(&member.id) {
            Some(peer) if peer.member.heartbeat >= member.heartbeat => Change::None,
            Some(peer) => {
                let was_dead = peer.failures >= FAILURE_THRESHOLD;
                peer.member = member;
                peer.last_seen = now;
                peer.failures = 0;
                if was_dead { Change::Found } else { Change::None }
            }
            None => {
                let peer = Peer {
                    member: member.clone(),
                    last_seen: now,
                    failures: 0,
                };
                self.others.insert(member.id, peer);
                Change::Found
            }
        }
    }

    /// Notes that a box did not respond to a probe.
    pub fn note_failure(&mut self, id: &str) -> Change {
        let Some(peer) = self.others.get_mut(id) else {
            return Change::None;
        };
        peer.failures = peer.failures.saturating_add(1);
        if peer.failures == FAILURE_THRESHOLD {
            Change::Lost
        } else {
            Change::None
        }
    }

    /// Returns the boxes to probe at this tick; dead ones are included, so that their return is detected.
    pub fn next_probes(&mut self, now: Moment) -> Vec<Member> {
        self.others.retain(|_, peer| {
            peer.failures < FAILURE_THRESHOLD || now.saturating_sub(peer.last_seen) < DEAD_RETENTION
        });
        self.next(PROBES_PER_TICK, |_| true)
    }

    /// Returns the states of other live boxes to send with a probe.
    pub fn next_updates(&mut self) -> Vec<Member> {
        self.next(UPDATES_PER_PROBE, |peer| peer.failures < FAILURE_THRESHOLD)
    }

    /// Returns the other boxes that are considered alive.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.others
            .values()
            .filter(|peer| peer.failures < FAILURE_THRESHOLD)
            .map(|peer| &peer.member)
    }

    /// Returns the number of boxes of a hall that are alive and not stopping, including the box itself.
    pub fn serving_in(&self, hall: &str) -> u32 {
        let others = self.alive().filter(|m| m.hall == hall && !m.stopping).count();
        let own = usize::from(self.local.hall == hall && !self.local.stopping);
        u32::try_from(others + own).unwrap_or(u32::MAX)
    }

    fn next(&mut self, count: usize, wanted: impl Fn(&Peer) -> bool) -> Vec<Member> {
        let all: Vec<&Peer> = self.others.values().filter(|peer| wanted(peer)).collect();
        let count = count.min(all.len());
        let picked = (0..count)
            .map(|offset| all[(self.cursor + offset) % all.len()].member.clone())
            .collect();
        self.cursor = self.cursor.wrapping_add(count.max(1));
        picked
    }
}
