//! Record of the leader's orders in the store, for the next leader.
//!
//! Orders of two boxes to the same engine must be separated by a minimum interval. An order may be executed late and
//! its response lost, so the leader records the engines that it is about to order before the first order. Its
//! successor observes the interval for these engines only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_protocol::id;

use crate::port::Era;
use crate::upstream::{Id, Instance};

/// Returns the key of the item with the last leader of a store era and the engines that it may have ordered
/// recently. Each era has its own item, so a box that hasn't noticed a restore can't overwrite it.
pub(super) fn key(era: Era) -> String {
    format!("junctionbend/steward/last/{era}")
}

/// Engines that may have been ordered recently, with the box that may have ordered each.
pub(super) type Orders = BTreeMap<Id, id::Box>;

/// Orders of earlier terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PriorOrders {
    /// Only these engines may have been ordered.
    Known(Orders),
    /// Any engine may have been ordered, and may still be until a lease renewed just now has expired.
    Unknown,
}

/// Encodes a record for the store: a line with the leader, then one for each engine with the box that may have
/// ordered it. Only the first line is written if any engine may have been ordered.
pub(super) fn encode(holder: &str, past: &PriorOrders) -> Bytes {
    let PriorOrders::Known(orders) = past else {
        return Bytes::from(holder.to_owned());
    };
    let lines: Vec<String> = orders.iter().map(|(id, by)| format!("{id} {by}")).collect();
    Bytes::from(format!("{holder}\n{}", lines.join("\n")))
}

/// Returns the encoded record of a leader that has given no recent orders.
pub(super) fn empty() -> Bytes {
    Bytes::new()
}

/// Returns the leader of an encoded record; empty if the next leader doesn't have to wait.
pub(super) fn holder(value: &[u8]) -> &[u8] {
    value.split(|byte| *byte == b'\n').next().unwrap_or_default()
}

/// Decodes the orders of a record. They are unknown if there is no record, as after a restore of the store, or if
/// it was written by another version of the program.
pub(super) fn decode(value: Option<&[u8]>) -> PriorOrders {
    let text = value.and_then(|value| std::str::from_utf8(value).ok());
    let Some(text) = text else {
        return PriorOrders::Unknown;
    };
    let Some((_, lines)) = text.split_once('\n') else {
        return if text.is_empty() {
            PriorOrders::Known(Orders::new())
        } else {
            PriorOrders::Unknown
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
        .map_or(PriorOrders::Unknown, PriorOrders::Known)
}

/// Orders of one term, and earlier orders whose minimum interval has not passed.
#[derive(Debug)]
pub(super) struct OrderRecord {
    own: id::Box,
    /// Engines recorded in the store under this box.
    announced: BTreeSet<Id>,
    /// Time of this box's last order to each engine.
    given: BTreeMap<Id, Moment>,
    /// Orders of earlier terms.
    before: PriorOrders,
    /// Time until which engines in `before` that other boxes may have ordered receive no order.
    barred_until: Moment,
}

impl OrderRecord {
    /// Creates the record at the start of a term. The minimum interval after orders of earlier terms ends at
    /// `barred_until`.
    pub(super) fn new(own: id::Box, before: PriorOrders, barred_until: Moment) -> Self {
        Self {
            own,
            announced: BTreeSet::new(),
            given: BTreeMap::new(),
            before,
            barred_until,
        }
    }

    /// Returns whether the minimum interval after another box's order to an engine has not passed.
    pub(super) fn is_barred(&self, id: &str, now: Moment) -> bool {
        let by_other = match &self.before {
            PriorOrders::Known(orders) => orders.get(id).is_some_and(|by| *by != self.own),
            PriorOrders::Unknown => true,
        };
        now < self.barred_until && by_other
    }

    /// Returns whether an engine can be ordered now.
    pub(super) fn allows(&self, id: &str, now: Moment) -> bool {
        self.announced.contains(id) && !self.is_barred(id, now)
    }

    /// Returns whether all engines are already recorded.
    pub(super) fn covers(&self, engines: &[Instance]) -> bool {
        engines.iter().all(|engine| self.announced.contains(&engine.id))
    }

    /// Returns the orders to write: `next` under this box, and all engines whose last order is more recent than
    /// `interval`.
    pub(super) fn pending(&self, next: &BTreeSet<Id>, now: Moment, interval: Duration) -> PriorOrders {
        let mut pending = match &self.before {
            _ if now >= self.barred_until => Orders::new(),
            PriorOrders::Known(orders) => orders.clone(),
            PriorOrders::Unknown => return PriorOrders::Unknown,
        };
        let given = self.given.iter().filter(|(_, at)| now < **at + interval);
        let own = given.map(|(id, _)| id).chain(next);
        pending.extend(own.map(|id| (id.clone(), self.own.clone())));
        PriorOrders::Known(pending)
    }

    /// Applies a record that was written to the store.
    pub(super) fn note_written(&mut self, written: &PriorOrders) {
        self.announced = match written {
            PriorOrders::Known(orders) => {
                let own = orders.iter().filter(|(_, by)| **by == self.own);
                own.map(|(id, _)| id.clone()).collect()
            }
            PriorOrders::Unknown => BTreeSet::new(),
        };
    }

    /// Records that an order is given.
    pub(super) fn note_order(&mut self, id: &Id, now: Moment) {
        self.given.insert(id.clone(), now);
    }

    /// Returns whether all orders are older than `interval`.
    pub(super) fn has_no_pending(&self, now: Moment, interval: Duration) -> bool {
        self.pending(&BTreeSet::new(), now, interval) == PriorOrders::Known(Orders::new())
    }
}
