//! The lease of the duty, and the word to the next box that has it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::load::{Absent, Counts};
use super::record::{self, Orders, Past, Record};
use crate::core::Shared;
use crate::port::{Change, Era, Lease, Revision, StoreError, Write};
use crate::upstream::{Id, Instance};

/// Item that stands while a box has the duty.
const HOLDER: &str = "junctionbend/steward/holder";
/// Time of the lease.
const LEASE: Duration = Duration::from_millis(1800);
/// Pause between renewals.
const RENEW: Duration = Duration::from_millis(450);
/// Part of the lease at its end in which no order is given: an order's way and a late timer.
const MARGIN: Duration = Duration::from_millis(600);
/// Pause between two looks at what is to do.
pub(super) const LOOK: Duration = Duration::from_millis(150);
/// Pause by which a less preferred box asks for the lease later.
const RANK_PAUSE: Duration = Duration::from_millis(250);
/// Boxes before this one that are waited for at the most.
const MOST_BEFORE: usize = 8;
/// Added to the pause between orders of two boxes, for the steady clocks of both.
const GAP_SLACK: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct Term {
    lease: Lease,
    fence: Revision,
    /// Until when orders may be given.
    until: Moment,
    renewed: Moment,
    /// Revision of the items for the next box.
    last: Revision,
    /// Whether they name this box, as they must before an order.
    named: bool,
}

/// The duty at one box.
pub struct Steward {
    pub(super) core: Shared,
    pub(super) socket: Rc<UdpSocket>,
    term: Cell<Option<Term>>,
    pub(super) record: RefCell<Record>,
    pub(super) loading: RefCell<BTreeSet<Instance>>,
    pub(super) absent: RefCell<Absent>,
    pub(super) counts: RefCell<Counts>,
    pub(super) places: Semaphore,
    pub(super) granted: Cell<usize>,
    vacant_since: Cell<Option<Moment>>,
}

impl Steward {
    /// The duty, not held.
    pub fn new(core: Shared, socket: Rc<UdpSocket>) -> Rc<Self> {
        let own = core.settings.id.clone();
        Rc::new(Self {
            core,
            socket,
            term: Cell::new(None),
            record: RefCell::new(Record::new(own, Past::Known(Orders::new()), Moment::ZERO)),
            loading: RefCell::default(),
            absent: RefCell::default(),
            counts: RefCell::default(),
            places: Semaphore::new(0),
            granted: Cell::new(0),
            vacant_since: Cell::new(None),
        })
    }

    /// Looks after the duty until the box has stopped.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let stopping = self.core.stop.is_stopping();
            match self.term.get() {
                Some(term) if stopping && self.loading.borrow().is_empty() => self.release(term).await,
                Some(term) => self.hold(term).await,
                None if stopping => self.core.stop.set_duty(false),
                None => self.try_take().await,
            }
            if !stopping {
                self.start_loads().await;
            }
        }
    }

    async fn release(&self, term: Term) {
        self.core.metrics.store_calls.inc();
        if let Err(why) = self.core.store.end(term.lease).await {
            emit!(self.core.logger, info, event::STEWARD_LOST, "why" => %why);
        }
        self.lose("the box stops");
    }

    async fn hold(&self, term: Term) {
        let now = self.core.now();
        if term.lease.era != self.core.era() {
            self.lose("the store was restored");
            return;
        }
        if now >= term.until + MARGIN {
            self.lose("the lease ran out");
            return;
        }
        if now >= term.renewed + RENEW {
            self.renew(term, now).await;
        }
        let quiet = self.loading.borrow().is_empty() && self.record.borrow().is_quiet(now, self.gap());
        if quiet && term.named {
            self.write_record(None).await;
        }
    }

    async fn renew(&self, term: Term, now: Moment) {
        self.core.metrics.store_calls.inc();
        match self.core.store.renew(term.lease).await {
            Ok(()) => self.term.set(Some(Term {
                until: now + LEASE - MARGIN,
                renewed: now,
                ..term
            })),
            Err(StoreError::NoLease) => self.lose("the store has no such lease"),
            // Tried again with the next look; the term ends by itself.
            Err(_) => self.term.set(Some(Term {
                renewed: now - RENEW / 2,
                ..term
            })),
        }
    }

    /// Has the store name this box and the engines that it is about to order; whether it does.
    /// Those that come later are named with them.
    pub(super) async fn announce(&self, next: &[Instance], later: &[Instance]) -> bool {
        let Some(term) = self.term.get() else { return false };
        if term.named && self.record.borrow().covers(next) {
            return true;
        }
        let engines = self.to_name(later);
        let orders = self.record.borrow().due(&engines, self.core.now(), self.gap());
        self.write_record(Some(orders)).await
    }

    /// Ids of the engines that load, and of others.
    fn to_name(&self, others: &[Instance]) -> BTreeSet<Id> {
        let loading = self.loading.borrow();
        loading
            .iter()
            .chain(others)
            .map(|instance| instance.id.clone())
            .collect()
    }

    /// Writes the record for the next box; `None` when that need not wait for anything.
    async fn write_record(&self, orders: Option<Past>) -> bool {
        let Some(term) = self.term.get() else { return false };
        let era = term.lease.era;
        let own = &self.core.settings.id;
        let named = orders.is_some();
        let value = orders.as_ref().map(|orders| record::encode(own, orders));
        let write = Write {
            key: record::key(era),
            value: value.unwrap_or_else(record::nothing),
            expected: Some(term.last).max(self.own_record(era)),
            lease: None,
        };
        self.core.metrics.store_calls.inc();
        match self.core.store.write(era, &[write]).await {
            Ok(last) => {
                let written = orders.unwrap_or(Past::Known(Orders::new()));
                self.record.borrow_mut().write(&written);
                // The lease may have been renewed meanwhile.
                self.term
                    .set(self.term.get().map(|term| Term { last, named, ..term }));
                true
            }
            // The write may have been done: what follows is written over the revision that the
            // store then shows, as long as that still names this box.
            Err(StoreError::Lost(_) | StoreError::Conflict) if named => false,
            Err(why) => {
                emit!(self.core.logger, info, event::STEWARD_LOST, "why" => %why);
                self.lose("the record for the next box could not be written");
                false
            }
        }
    }

    /// Revision of the record in the store if it names this box.
    fn own_record(&self, era: Era) -> Option<Revision> {
        let items = self.core.own.borrow();
        let last = items.get(&record::key(era));
        let own = self.core.settings.id.as_bytes();
        let mine = last.filter(|item| item.value.as_deref().is_some_and(|v| record::holder(v) == own));
        mine.map(|item| item.revision)
    }

    /// Pause that orders of two boxes to one engine must keep.
    fn gap(&self) -> Duration {
        self.core.settings.bounds.order_gap + GAP_SLACK
    }

    fn lose(&self, why: &str) {
        self.term.set(None);
        self.counts.take();
        self.core.stop.set_duty(false);
        emit!(self.core.logger, warn, event::STEWARD_LOST, "why" => why);
    }

    /// Takes the duty when nobody has it, the most preferred box first.
    async fn try_take(&self) {
        let core = &self.core;
        let holder = core.own.borrow().get(HOLDER).cloned();
        let held = holder.as_ref().is_some_and(|item| item.value.is_some());
        // Without the own address in the list, the others' are missing too.
        let listed = core.book.borrow().address(&core.settings.id).is_some();
        if held || !listed || core.age().is_none_or(|age| age > 2 * crate::follow::PERIOD) {
            self.vacant_since.set(None);
            return;
        }
        let now = core.now();
        let since = self.vacant_since.get().unwrap_or(now);
        self.vacant_since.set(Some(since));
        let before = core.book.borrow().before(&core.settings.id, HOLDER, now);
        if now < since + RANK_PAUSE * u32::try_from(before.min(MOST_BEFORE)).unwrap_or_default() {
            return;
        }
        if let Err(why) = self.take().await {
            let expected = revision(core.own.borrow().get(&record::key(core.era())));
            emit!(core.logger, info, event::STEWARD_NOT_TAKEN, "why" => %why, "expected" => ?expected);
            self.vacant_since.set(None);
            sleep(crate::follow::PERIOD).await;
        }
    }

    async fn take(&self) -> Result<(), StoreError> {
        let core = &self.core;
        let asked = core.now();
        core.metrics.store_calls.inc();
        let lease = core.store.lease(LEASE).await?;
        let era = core.era();
        if lease.era != era {
            return Err(StoreError::Restored);
        }
        let last = core.own.borrow().get(&record::key(era)).cloned();
        let before = record::decode(last.as_ref().and_then(|item| item.value.as_deref()));
        let own = &core.settings.id;
        let holder = Write {
            key: HOLDER.to_owned(),
            value: Bytes::from(own.clone()),
            expected: None,
            lease: Some(lease),
        };
        let last = Write {
            key: record::key(era),
            // The orders of the box before stand on until their pause is over.
            value: record::encode(own, &before),
            expected: revision(last.as_ref()),
            lease: None,
        };
        core.metrics.store_calls.inc();
        let fence = core.store.write(era, &[holder, last]).await?;
        let now = core.now();
        // The box before gives no order in the last part of its lease. It has run out, unless the store was
        // restored: then the box may have renewed it right before.
        let pause = self.gap().saturating_sub(MARGIN);
        let (wait, waits_for) = match &before {
            Past::Known(orders) => (pause, Some(orders.len())),
            Past::Unknown => (pause + LEASE, None),
        };
        *self.record.borrow_mut() = Record::new(core.settings.id.clone(), before, now + wait);
        self.term.set(Some(Term {
            lease,
            fence,
            until: asked + LEASE - MARGIN,
            renewed: asked,
            last: fence,
            named: true,
        }));
        core.stop.set_duty(true);
        self.vacant_since.set(None);
        emit!(core.logger, info, event::STEWARD_TAKEN, "fence" => fence.fence(), "waits_ms" => wait.as_millis() as u64,
            "waits_for" => waits_for);
        Ok(())
    }

    /// Whether the lease holds long enough for an order.
    pub(super) fn holds(&self) -> bool {
        self.term.get().is_some_and(|term| self.core.now() < term.until)
    }

    /// Fencing token, when an engine may be ordered now.
    pub(super) fn may_order(&self, id: &str) -> Option<id::Fence> {
        let now = self.core.now();
        let term = self.term.get().filter(|term| term.named && now < term.until)?;
        self.record.borrow().allows(id, now).then_some(term.fence.fence())
    }
}

/// Revision under which an item is written over; `None` when it does not stand.
fn revision(item: Option<&Change>) -> Option<Revision> {
    item.filter(|item| item.value.is_some()).map(|item| item.revision)
}
