//! A term of the leader: its lease, and its record of orders for the next leader.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::load::{Absent, Counts};
use super::record::{self, Orders, Past, Record};
use crate::core::Shared;
use crate::port::{Era, Lease, Revision, StoreError, Write};
use crate::upstream::{Id, Instance};

/// Key of the item that names the leader for as long as its lease runs.
pub(super) const HOLDER: &str = "junctionbend/steward/holder";
/// Time to live of the lease.
pub(super) const LEASE: Duration = Duration::from_millis(1800);
/// Interval at which the lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);
/// Last part of the lease, in which no order is given: an order's way and a late timer.
pub(super) const MARGIN: Duration = Duration::from_millis(600);
/// Interval at which the leader looks for work.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(150);
/// Added to the pause between orders of two boxes, for the steady clocks of both.
const GAP_SLACK: Duration = Duration::from_millis(200);

/// A term of this box.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    pub(super) lease: Lease,
    /// Revision at which it began, for the fencing token.
    pub(super) fence: Revision,
    /// Until when orders may be given.
    pub(super) until: Moment,
    /// When the lease was last renewed.
    pub(super) renewed: Moment,
    /// Revision of the record.
    pub(super) last: Revision,
    /// Whether the record names this box, as it must before an order.
    pub(super) named: bool,
}

/// The leader's task at one box, whether the box is the leader or not.
pub struct Leader {
    pub(super) core: Shared,
    pub(super) socket: Rc<UdpSocket>,
    pub(super) term: Cell<Option<Term>>,
    pub(super) record: RefCell<Record>,
    pub(super) loading: RefCell<BTreeSet<Instance>>,
    pub(super) absent: RefCell<Absent>,
    pub(super) counts: RefCell<Counts>,
    pub(super) places: Semaphore,
    pub(super) granted: Cell<usize>,
    /// Since when there is no leader.
    pub(super) vacant_since: Cell<Option<Moment>>,
}

impl Leader {
    /// The task of a box that isn't the leader.
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

    /// Runs until the box has stopped.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(LOOK_INTERVAL).await;
            let stopping = self.core.stop.is_stopping();
            match self.term.get() {
                Some(term) if stopping && self.loading.borrow().is_empty() => self.release(term).await,
                Some(term) => self.hold(term).await,
                None if stopping => self.core.stop.set_leading(false),
                None => self.try_elect().await,
            }
            if !stopping {
                self.start_loads().await;
            }
        }
    }

    async fn release(&self, term: Term) {
        self.core.metrics.store_calls.inc();
        if let Err(why) = self.core.store.revoke_lease(term.lease).await {
            emit!(self.core.logger, info, event::LEADER_LOST, "why" => %why);
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
        if now >= term.renewed + RENEWAL_INTERVAL {
            self.renew(term, now).await;
            self.settle(term).await;
        }
        let quiet = self.loading.borrow().is_empty() && self.record.borrow().is_quiet(now, self.gap());
        if quiet && term.named {
            self.write_record(None).await;
        }
    }

    async fn renew(&self, term: Term, now: Moment) {
        self.core.metrics.store_calls.inc();
        match self.core.store.renew_lease(term.lease).await {
            Ok(()) => self.term.set(Some(Term {
                until: now + LEASE - MARGIN,
                renewed: now,
                ..term
            })),
            Err(StoreError::NoLease) => self.lose("the store has no such lease"),
            // Tried again with the next look; the term ends by itself.
            Err(_) => self.term.set(Some(Term {
                renewed: now - RENEWAL_INTERVAL / 2,
                ..term
            })),
        }
    }

    /// Writes the engines that this box is about to order into the record, with those that come later; returns
    /// whether the record names them.
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

    /// Writes the record for the next leader; `None` when that need not wait for anything.
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
                emit!(self.core.logger, info, event::LEADER_LOST, "why" => %why);
                self.lose("the record for the next box could not be written");
                false
            }
        }
    }

    /// Revision of the record in the store if it names this box.
    fn own_record(&self, era: Era) -> Option<Revision> {
        let items = self.core.box_items.borrow();
        let last = items.get(&record::key(era));
        let own = self.core.settings.id.as_bytes();
        let mine = last.filter(|item| item.value.as_deref().is_some_and(|v| record::holder(v) == own));
        mine.map(|item| item.revision)
    }

    /// Pause that orders of two boxes to one engine must keep.
    pub(super) fn gap(&self) -> Duration {
        self.core.settings.bounds.min_order_interval + GAP_SLACK
    }

    fn lose(&self, why: &str) {
        self.term.set(None);
        self.counts.take();
        self.core.stop.set_leading(false);
        emit!(self.core.logger, warn, event::LEADER_LOST, "why" => why);
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
