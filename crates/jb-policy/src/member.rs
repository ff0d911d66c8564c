//! Soft membership between boxes.
//!
//! Each tick a box probes a constant number of others, in turn, and sends
//! each a constant number of updates. So the cost of a box does not
//! grow with their number. Being taken for dead only turns traffic away; no
//! promise rests on it.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::id;

use crate::Moment;

/// Boxes probed at each tick.
pub const PROBES_PER_TICK: usize = 1;
/// Heartbeats in each probe.
pub const UPDATES_PER_PROBE: usize = 2;
/// Failed probes in a row after which a box is taken for dead.
const FAILURES: u32 = 2;
/// Time after which a dead box is forgotten.
const FORGET: Duration = Duration::from_secs(120);

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
    /// Heartbeat; the box raises it, and a restart raises it far.
    pub heartbeat: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Revision of the tree that it has in force.
    pub revision: id::Revision,
}

#[derive(Clone, Debug)]
struct Seen {
    member: Member,
    last_seen: Moment,
    failures: u32,
}

/// The boxes as one box sees them.
#[derive(Clone, Debug)]
pub struct Members {
    local: Member,
    others: BTreeMap<id::Box, Seen>,
    turn: usize,
}

/// What hearing of a box changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// A box is alive that was unknown or taken for dead.
    Found,
    /// A box is taken for dead from now on.
    Lost,
}

impl Members {
    /// A view that knows only the box itself.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            others: BTreeMap::new(),
            turn: 0,
        }
    }

    /// The box itself as others see it.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Raises the own heartbeat and sets the state that is sent with it.
    pub fn advance_heartbeat(&mut self, revision: id::Revision, stopping: bool) {
        self.local.heartbeat += 1;
        self.local.revision = revision;
        self.local.stopping = stopping;
    }

    /// Merges the state of a box. Only a newer heartbeat counts.
    pub fn merge(&mut self, member: Member, now: Moment) -> Change {
        if member.id == self.local.id || member.id.is_empty() {
            return Change::None;
        }
        match self.others.get_mut(&member.id) {
            Some(seen) if seen.member.heartbeat >= member.heartbeat => Change::None,
            Some(seen) => {
                let was_dead = seen.failures >= FAILURES;
                seen.member = member;
                seen.last_seen = now;
                seen.failures = 0;
                if was_dead { Change::Found } else { Change::None }
            }
            None => {
                let seen = Seen {
                    member: member.clone(),
                    last_seen: now,
                    failures: 0,
                };
                self.others.insert(member.id, seen);
                Change::Found
            }
        }
    }

    /// Notes that a box did not answer.
    pub fn note_failure(&mut self, id: &str) -> Change {
        let Some(seen) = self.others.get_mut(id) else {
            return Change::None;
        };
        seen.failures = seen.failures.saturating_add(1);
        if seen.failures == FAILURES {
            Change::Lost
        } else {
            Change::None
        }
    }

    /// Boxes to probe at this tick; dead ones too, so that they are found again.
    pub fn next_probes(&mut self, now: Moment) -> Vec<Member> {
        self.others
            .retain(|_, s| s.failures < FAILURES || now.saturating_sub(s.last_seen) < FORGET);
        self.next(PROBES_PER_TICK, |_| true)
    }

    /// Returns the updates for a probe.
    pub fn next_updates(&mut self) -> Vec<Member> {
        self.next(UPDATES_PER_PROBE, |s| s.failures < FAILURES)
    }

    /// Boxes taken for alive, the box itself not among them.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.others
            .values()
            .filter(|s| s.failures < FAILURES)
            .map(|s| &s.member)
    }

    /// Boxes alive and not stopping in a hall, the box itself counted.
    pub fn serving_in(&self, hall: &str) -> u32 {
        let others = self.alive().filter(|m| m.hall == hall && !m.stopping).count();
        let me = usize::from(self.local.hall == hall && !self.local.stopping);
        u32::try_from(others + me).unwrap_or(u32::MAX)
    }

    fn next(&mut self, count: usize, wanted: impl Fn(&Seen) -> bool) -> Vec<Member> {
        let all: Vec<&Seen> = self.others.values().filter(|s| wanted(s)).collect();
        let count = count.min(all.len());
        let picked = (0..count)
            .map(|k| all[(self.turn + k) % all.len()].member.clone())
            .collect();
        self.turn = self.turn.wrapping_add(count.max(1));
        picked
    }
}
