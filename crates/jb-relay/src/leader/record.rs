//! What the next leader must know of the orders of the one before, as it stands in the store.
//!
//! Orders of two boxes to one engine must keep a pause. An order may be carried out late and
//! its answer lost, so the leader writes the engines that it is about to order
//! before the first order; its successor keeps the pause for these and for no others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_protocol::id;

use crate::port::Era;
use crate::upstream::{Id, Instance};

/// Key of the item that names the last leader of an era of the store, and the engines that it may have ordered
/// lately. Each era has its own, so a box that hasn't noticed a restore can't write over it.
pub(super) fn key(era: Era) -> String {
    format!("junctionbend/steward/last/{era}")
}

/// Engines that may have been ordered lately, with the box that may have ordered each.
pub(super) type Orders = BTreeMap<Id, id::Box>;

/// Orders of earlier terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Past {
    /// These and no others.
    Known(Orders),
    /// Any engine may have been ordered, and may still be until a lease of now has run out.
    Unknown,
}

/// A record as it stands in the store: a line for the leader, then one for each
/// engine with the box that may have ordered it. No line follows where any may have been ordered.
pub(super) fn encode(holder: &str, past: &Past) -> Bytes {
    let Past::Known(orders) = past else {
        return Bytes::from(holder.to_owned());
    };
    let lines: Vec<String> = orders.iter().map(|(id, by)| format!("{id} {by}")).collect();
    Bytes::from(format!("{holder}\n{}", lines.join("\n")))
}

/// Record of a box that has not ordered anything lately.
pub(super) fn nothing() -> Bytes {
    Bytes::new()
}

/// Box of a record; empty when the next one need not wait.
pub(super) fn holder(value: &[u8]) -> &[u8] {
    value.split(|byte| *byte == b'\n').next().unwrap_or_default()
}

/// Orders of a record. They are unknown where there is none: the store has been restored, or the record is of
/// another version of the program.
pub(super) fn decode(value: Option<&[u8]>) -> Past {
    let text = value.and_then(|value| std::str::from_utf8(value).ok());
    let Some(text) = text else { return Past::Unknown };
    let Some((_, lines)) = text.split_once('\n') else {
        return if text.is_empty() {
            Past::Known(Orders::new())
        } else {
            Past::Unknown
        };
    };
    let order = |line: &str| {
        line.split_once(' ')
            .map(|(id, by)| (id.to_owned(), by.to_owned()))
    };
    lines
        .lines()
        .map(order)
        .collect::<Option<Orders>>()
        .map_or(Past::Unknown, Past::Known)
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
    before: Past,
    /// Until when engines among them that other boxes may have ordered get no order.
    barred_until: Moment,
}

impl Record {
    /// A box's record at the begin of a term; orders of terms before are over by the pause
    /// at the given moment.
    pub(super) fn new(own: id::Box, before: Past, barred_until: Moment) -> Self {
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
        let by_other = match &self.before {
            Past::Known(orders) => orders.get(id).is_some_and(|by| *by != self.own),
            Past::Unknown => true,
        };
        now < self.barred_until && by_other
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
    pub(super) fn due(&self, next: &BTreeSet<Id>, now: Moment, pause: Duration) -> Past {
        let mut due = match &self.before {
            _ if now >= self.barred_until => Orders::new(),
            Past::Known(orders) => orders.clone(),
            Past::Unknown => return Past::Unknown,
        };
        let given = self.given.iter().filter(|(_, at)| now < **at + pause);
        let own = given.map(|(id, _)| id).chain(next);
        due.extend(own.map(|id| (id.clone(), self.own.clone())));
        Past::Known(due)
    }

    /// Notes what was written.
    pub(super) fn write(&mut self, written: &Past) {
        self.announced = match written {
            Past::Known(orders) => {
                let own = orders.iter().filter(|(_, by)| **by == self.own);
                own.map(|(id, _)| id.clone()).collect()
            }
            Past::Unknown => BTreeSet::new(),
        };
    }

    /// Notes an order.
    pub(super) fn order(&mut self, id: &Id, now: Moment) {
        self.given.insert(id.clone(), now);
    }

    /// Whether all orders are over by the pause.
    pub(super) fn is_quiet(&self, now: Moment, pause: Duration) -> bool {
        self.due(&BTreeSet::new(), now, pause) == Past::Known(Orders::new())
    }
}
