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

/// Time after which a box that has told nothing is not counted: three tellings and some.
const HEARD: Duration = Duration::from_millis(700);
/// The same for counts of leads, and for boxes of a small fleet, which tell less often.
const COUNTED: Duration = Duration::from_millis(1500);
/// Time after the start of a box in which it takes all boxes to be there: nothing was told yet.
const STARTING: Duration = Duration::from_millis(2000);
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
    /// Whether it is time to tell the counts.
    fn is_due(&mut self) -> bool {
        self.tellings += 1;
        self.tellings.is_multiple_of(TELLINGS)
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
    if !core.census.borrow_mut().is_due() {
        return;
    }
    let now = core.now();
    let members = core.loads.borrow().members(now.saturating_sub(HEARD));
    let hall = u32::try_from(members.len()).unwrap_or(u32::MAX).saturating_add(1);
    let fleet = core.census.borrow().sum(hall, now);
    core.census.borrow_mut().lead = Some((now, fleet));
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
    let Some(hall) = core.book.borrow().hall(&count.from) else {
        return;
    };
    let mut census = core.census.borrow_mut();
    if hall == core.settings.hall {
        let fleet = Fleet {
            hall: count.hall,
            all: count.all,
        };
        census.lead = Some((now, fleet));
    } else {
        census.halls.insert(hall, (now, count.hall));
    }
}

/// Boxes that hear each other, of those that may be alive.
pub(super) fn fleet(core: &Core) -> Fleet {
    let now = core.now();
    let book = core.book.borrow();
    let listed = u32::try_from(book.boxes()).unwrap_or(u32::MAX);
    let alone = Fleet { hall: 1, all: 1 };
    if book.is_small() {
        let heard = core.loads.borrow().heard(now.saturating_sub(COUNTED));
        let all = u32::try_from(heard.len()).unwrap_or(u32::MAX).saturating_add(1);
        let near = heard
            .iter()
            .filter(|id| book.hall(id).as_deref() == Some(&core.settings.hall));
        let hall = u32::try_from(near.count()).unwrap_or(u32::MAX).saturating_add(1);
        return if now < STARTING {
            Fleet { hall, all: listed }
        } else {
            Fleet { hall, all }
        };
    }
    let counted = core.census.borrow().lead;
    match counted {
        Some((at, fleet)) if now < at + COUNTED => fleet,
        _ if now < STARTING => Fleet { all: listed, ..alone },
        _ => alone,
    }
}
