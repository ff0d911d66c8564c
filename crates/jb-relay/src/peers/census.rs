//! How many boxes hear each other, so that a box knows how much of the fleet it can speak for.
//!
//! In a large fleet the leads of data halls count the boxes that tell them their loads, and tell
//! each other and their own boxes. A box that is cut off alone hears nobody and counts itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::id;
use tokio::net::UdpSocket;

use super::account;
use super::message::{Count, Message};
use super::socket::send;
use crate::core::Core;
use crate::narrow::narrow;

/// Time after which a box that has told nothing is not counted: three tellings and some.
const HEARD: Duration = Duration::from_millis(700);
/// The same for counts of leads, and for boxes of a small fleet, which tell less often.
const COUNTED: Duration = Duration::from_millis(1500);
/// Time after the start of a box in which it takes all listed boxes to be there while nothing was
/// told yet. Boxes that start together are up after 0.2 to 2 s; taken to be alone, accounts of
/// customers let in next to nothing in the first second after a restart of 90 boxes.
const STARTING: Duration = Duration::from_millis(4000);
/// Time after its start from which on a lead tells counts: in a fleet that starts together the
/// boxes have not told it anything yet, and a count of a few of them would cut limits to as little.
const COUNTS_FROM: Duration = Duration::from_millis(2000);
/// Tellings of loads for one telling of counts.
const TELLINGS: u32 = 3;

/// What leads have counted.
#[derive(Debug, Default)]
pub struct Census {
    /// Boxes of each other data hall, as its lead said last.
    halls: BTreeMap<id::Hall, (Moment, u32)>,
    /// Boxes of the own data hall and of all, as the own lead said.
    lead: Option<(Moment, Fleet)>,
    tellings: u32,
}

/// Boxes that hear each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// In the own data hall.
    pub hall: u32,
    /// In all data halls.
    pub all: u32,
}

impl Census {
    /// Whether it is time for a lead to tell its counts, asked at each telling of loads.
    pub fn is_due(&mut self, now: Moment) -> bool {
        self.tellings += 1;
        now >= COUNTS_FROM && self.tellings.is_multiple_of(TELLINGS)
    }

    /// Boxes that hear each other in a large fleet; `listed` are those that may be alive.
    pub fn fleet(&self, listed: Fleet, now: Moment) -> Fleet {
        match self.lead {
            Some((at, fleet)) if now < at + COUNTED => fleet,
            None if now < STARTING => listed,
            _ => Fleet { hall: 1, all: 1 },
        }
    }

    /// Takes what the own lead counts.
    pub fn note(&mut self, fleet: Fleet, now: Moment) {
        self.lead = Some((now, fleet));
    }

    /// Counts the fleet from the boxes of the own hall and what other leads said.
    fn sum(&self, hall: u32, now: Moment) -> Fleet {
        let fresh = self.halls.values().filter(|(at, _)| now < *at + COUNTED);
        let others: u32 = fresh.map(|(_, boxes)| boxes).sum();
        Fleet {
            hall,
            all: hall + others,
        }
    }
}

/// Tells the boxes of the own data hall and the other leads what this lead counts.
pub(super) async fn tell(core: &Core, socket: &UdpSocket) {
    let now = core.now();
    if !core.census.borrow_mut().is_due(now) {
        return;
    }
    let members = core.loads.borrow().members(now.saturating_sub(HEARD));
    let hall = narrow(members.len() + 1);
    let fleet = core.census.borrow().sum(hall, now);
    core.census.borrow_mut().note(fleet, now);
    let count = Message::Heard(Count {
        from: core.settings.id.clone(),
        hall: fleet.hall,
        all: fleet.all,
    });
    let leads = core.book.borrow().other_leads(&core.settings.hall, now);
    for id in members.iter().chain(&leads) {
        let address = core.book.borrow().address(id);
        if let Some(address) = address {
            send(core, socket, address, &count).await;
        }
    }
}

/// Takes the count of a lead.
pub(super) fn take(core: &Core, from: SocketAddr, count: &Count) {
    if !account::is_known(core, from) {
        return;
    }
    let now = core.now();
    let book = core.book.borrow();
    let Some(hall) = book.hall(&count.from) else {
        return;
    };
    let mut census = core.census.borrow_mut();
    if *hall == core.settings.hall {
        let fleet = Fleet {
            hall: count.hall,
            all: count.all,
        };
        census.note(fleet, now);
    } else {
        census.halls.insert(hall.clone(), (now, count.hall));
    }
}

/// Boxes that hear each other, of those that may be alive.
pub(super) fn fleet(core: &Core) -> Fleet {
    let now = core.now();
    let book = core.book.borrow();
    let own_hall = &core.settings.hall;
    let listed = Fleet {
        hall: narrow(book.boxes_in(own_hall)),
        all: narrow(book.boxes()),
    };
    if !book.is_small() {
        return core.census.borrow().fleet(listed, now);
    }
    if now < STARTING {
        return listed;
    }
    let heard = core.loads.borrow().heard(now.saturating_sub(COUNTED));
    let near = heard.iter().filter(|id| book.hall(id) == Some(own_hall));
    Fleet {
        hall: narrow(near.count() + 1),
        all: narrow(heard.len() + 1),
    }
}
