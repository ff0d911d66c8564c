//! What the next box must know of the orders of the one before, as it stands in the store.
//!
//! Orders of two boxes to one engine must keep a pause. An order may be carried out late and
//! its answer lost, so the box that has the duty writes the engines that it is about to order
//! before the first order; its successor keeps the pause for these and for no others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_protocol::id;

use crate::upstream::{Id, Instance};

/// Item that names the last box that had the duty, and the engines that may have been
/// ordered lately.
pub(super) const LAST: &str = "junctionbend/steward/last";
/// Value of that item when the last order is too long ago for the next box to wait.
pub(super) const NOBODY: &str = "";

/// Engines that may have been ordered lately, with the box that may have ordered each.
pub(super) type Orders = BTreeMap<Id, id::Box>;

/// A record as it stands in the store: a line for the box that has the duty, then one for each
/// engine with the box that may have ordered it.
pub(super) fn encode(holder: &str, orders: &Orders) -> Bytes {
    let lines: Vec<String> = orders.iter().map(|(id, by)| format!("{id} {by}")).collect();
    Bytes::from(format!("{holder}\n{}", lines.join("\n")))
}

/// Box of a record; empty when the next one need not wait.
pub(super) fn holder(value: &[u8]) -> &[u8] {
    value.split(|byte| *byte == b'\n').next().unwrap_or_default()
}

/// Orders of a record; `None` for a record that names a box and no orders, as earlier versions
/// of the program wrote it, or that cannot be read.
pub(super) fn decode(value: &[u8]) -> Option<Orders> {
    let text = std::str::from_utf8(value).ok()?;
    let Some((_, lines)) = text.split_once('\n') else {
        return text.is_empty().then(Orders::new);
    };
    let order = |line: &str| {
        line.split_once(' ')
            .map(|(id, by)| (id.to_owned(), by.to_owned()))
    };
    lines.lines().map(order).collect()
}

/// Orders of one term, and those before it that still bind.
#[derive(Debug)]
pub(super) struct Record {
    own: id::Box,
    /// Engines that stand in the store for this box.
    announced: BTreeSet<Id>,
    /// When each engine last got an order of this box.
    given: BTreeMap<Id, Moment>,
    /// Orders of the terms before.
    before: Orders,
    /// Until when engines among them that other boxes may have ordered get no order.
    barred_until: Moment,
}

impl Record {
    /// A box's record at the begin of a term; orders of terms before are over by the pause
    /// at the given moment.
    pub(super) fn new(own: id::Box, before: Orders, barred_until: Moment) -> Self {
        Self {
            own,
            announced: BTreeSet::new(),
            given: BTreeMap::new(),
            before,
            barred_until,
        }
    }

    /// Whether an order of another box to an engine is not over by the pause.
    pub(super) fn is_barred(&self, id: &str, now: Moment) -> bool {
        now < self.barred_until && self.before.get(id).is_some_and(|by| *by != self.own)
    }

    /// Whether an engine may be ordered now.
    pub(super) fn allows(&self, id: &str, now: Moment) -> bool {
        self.announced.contains(id) && !self.is_barred(id, now)
    }

    /// Whether all engines are written already.
    pub(super) fn covers(&self, engines: &[Instance]) -> bool {
        engines.iter().all(|engine| self.announced.contains(&engine.id))
    }

    /// What is to be written: `next` for this box, and all whose last order is not over by
    /// the pause.
    pub(super) fn due(&self, next: &BTreeSet<Id>, now: Moment, pause: Duration) -> Orders {
        let bound = self.before.iter().filter(|_| now < self.barred_until);
        let mut due: Orders = bound.map(|(id, by)| (id.clone(), by.clone())).collect();
        let given = self.given.iter().filter(|(_, at)| now < **at + pause);
        let own = given.map(|(id, _)| id).chain(next);
        due.extend(own.map(|id| (id.clone(), self.own.clone())));
        due
    }

    /// Notes what was written.
    pub(super) fn write(&mut self, orders: &Orders) {
        let own = orders.iter().filter(|(_, by)| **by == self.own);
        self.announced = own.map(|(id, _)| id.clone()).collect();
    }

    /// Notes an order.
    pub(super) fn order(&mut self, id: &Id, now: Moment) {
        self.given.insert(id.clone(), now);
    }

    /// Whether all orders are over by the pause.
    pub(super) fn is_quiet(&self, now: Moment, pause: Duration) -> bool {
        self.due(&BTreeSet::new(), now, pause).is_empty()
    }
}
