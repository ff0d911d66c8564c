//! Counts how many boxes reach each other, so that a box knows the share of the fleet for which it decides.
//!
//! In a large fleet the relay node of each hall counts the boxes that send it their status, and sends the count to the
//! other relay nodes and to its own boxes. An isolated box counts only itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::id;
use tokio::net::UdpSocket;

use super::message::{Message, ReachableCount};
use super::reservation;
use super::socket::send;
use crate::core::Core;
use crate::saturating_cast::saturating_cast;

/// Age of a status above which its box isn't counted: a little over three intervals.
const MAX_MEMBER_AGE: Duration = Duration::from_millis(700);
/// The same for counts of relay nodes, and for boxes of a small fleet, which send less often.
const MAX_COUNT_AGE: Duration = Duration::from_millis(1500);
/// Age of a count up to which a box passes it on to one that doesn't receive counts of the relay node. It is short, as
/// the receiver uses it for [`MAX_COUNT_AGE`] from its arrival.
const MAX_FORWARDED_AGE: Duration = Duration::from_millis(300);
/// Time after its start in which a box assumes that all listed boxes are reachable, while it has received no count:
/// boxes that start together are up after 0.2 to 2 s.
const STARTUP_PERIOD: Duration = Duration::from_millis(4000);
/// Time after its start before which a relay node sends no counts: until then, the boxes of a fleet that starts
/// together haven't all sent it their status.
const FIRST_COUNT_AT: Duration = Duration::from_millis(2000);
/// Number of status intervals between two counts.
const STATUSES_PER_COUNT: u32 = 3;

/// Latest counts of the relay nodes.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Boxes of each other data hall by the last count of its relay node, with the time of its arrival.
    halls: BTreeMap<id::Hall, (Moment, u32)>,
    /// Last count of the local relay node, with the time of its arrival.
    relay_node: Option<(Moment, FleetSize)>,
    statuses: u32,
}

/// Number of boxes that reach each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Boxes in the local data hall.
    pub hall: u32,
    /// Boxes in all data halls.
    pub all: u32,
}

impl Reachability {
    /// Returns whether the count of this relay node is due; must be called once per status interval.
    pub fn is_due(&mut self, now: Moment) -> bool {
        self.statuses += 1;
        now >= FIRST_COUNT_AT && self.statuses.is_multiple_of(STATUSES_PER_COUNT)
    }

    /// Returns the number of boxes that reach each other in a large fleet; `listed` are the boxes in the directory.
    pub fn fleet_size(&self, listed: FleetSize, now: Moment) -> FleetSize {
        match self.relay_node {
            Some((at, fleet)) if now < at + MAX_COUNT_AGE => fleet,
            None if now < STARTUP_PERIOD => listed,
            _ => FleetSize { hall: 1, all: 1 },
        }
    }

    /// Records the count of the local relay node.
    pub fn record(&mut self, fleet: FleetSize, now: Moment) {
        self.relay_node = Some((now, fleet));
    }

    /// Returns the count of the local relay node if it is so recent that it may be passed on.
    fn forwardable(&self, now: Moment) -> Option<FleetSize> {
        let (_, fleet) = self.relay_node.filter(|(at, _)| now < *at + MAX_FORWARDED_AGE)?;
        Some(fleet)
    }

    /// Adds the counts of the other relay nodes to the boxes of the local hall.
    fn sum(&self, hall: u32, now: Moment) -> FleetSize {
        let fresh = self.halls.values().filter(|(at, _)| now < *at + MAX_COUNT_AGE);
        let others: u32 = fresh.map(|(_, boxes)| boxes).sum();
        FleetSize {
            hall,
            all: hall + others,
        }
    }
}

/// Sends the count of this relay node to the boxes of its hall and to the other relay nodes.
pub(super) async fn broadcast(core: &Core, socket: &UdpSocket) {
    let now = core.now();
    if !core.box_reachability.borrow_mut().is_due(now) {
        return;
    }
    let members = core
        .peer_loads
        .borrow()
        .members(now.saturating_sub(MAX_MEMBER_AGE));
    let hall = saturating_cast(members.len() + 1);
    let fleet = core.box_reachability.borrow().sum(hall, now);
    core.box_reachability.borrow_mut().record(fleet, now);
    let count = message(core, fleet);
    let relay_nodes = core
        .directory
        .borrow()
        .other_relay_nodes(&core.settings.hall, now);
    for id in members.iter().chain(&relay_nodes) {
        let address = core.directory.borrow().address(id);
        if let Some(address) = address {
            send(core, socket, address, &count).await;
        }
    }
}

/// Passes the count of the relay node on to a box that asks this one instead, because it got no reply from the relay node.
pub(super) async fn forward(core: &Core, socket: &UdpSocket, to: SocketAddr) {
    let count = core.box_reachability.borrow().forwardable(core.now());
    if let Some(fleet) = count {
        send(core, socket, to, &message(core, fleet)).await;
    }
}

fn message(core: &Core, fleet: FleetSize) -> Message {
    Message::ReachableCount(ReachableCount {
        from: core.settings.id.clone(),
        hall: fleet.hall,
        all: fleet.all,
    })
}

/// Receives the count of a relay node.
pub(super) fn receive(core: &Core, from: SocketAddr, count: &ReachableCount) {
    if !reservation::is_from_listed_box(core, from) {
        return;
    }
    let now = core.now();
    let directory = core.directory.borrow();
    let Some(hall) = directory.hall(&count.from) else {
        return;
    };
    let mut reachability = core.box_reachability.borrow_mut();
    if *hall == core.settings.hall {
        let fleet = FleetSize {
            hall: count.hall,
            all: count.all,
        };
        reachability.record(fleet, now);
    } else {
        reachability.halls.insert(hall.clone(), (now, count.hall));
    }
}

/// Returns the number of listed boxes that reach each other.
pub(super) fn fleet_size(core: &Core) -> FleetSize {
    let now = core.now();
    let directory = core.directory.borrow();
    let own_hall = &core.settings.hall;
    let listed = FleetSize {
        hall: saturating_cast(directory.boxes_in(own_hall)),
        all: saturating_cast(directory.boxes()),
    };
    if !directory.is_small() {
        return core.box_reachability.borrow().fleet_size(listed, now);
    }
    if now < STARTUP_PERIOD {
        return listed;
    }
    let senders = core
        .peer_loads
        .borrow()
        .senders(now.saturating_sub(MAX_COUNT_AGE));
    let near = senders.iter().filter(|id| directory.hall(id) == Some(own_hall));
    FleetSize {
        hall: saturating_cast(near.count() + 1),
        all: saturating_cast(senders.len() + 1),
    }
}

/// Returns whether there are other data halls, and the boxes of the local one reach no box of them.
pub fn is_hall_isolated(core: &Core) -> bool {
    let fleet = fleet_size(core);
    let directory = core.directory.borrow();
    fleet.all <= fleet.hall && directory.boxes() > directory.boxes_in(&core.settings.hall)
}
