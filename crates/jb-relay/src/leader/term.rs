//! A leader's term: its lease, and the record of its orders for the next leader.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::load::{OrderCounts, Unresponsive};
use super::record::{self, OrderRecord, Orders, PriorOrders};
use crate::core::Shared;
use crate::port::{Era, Lease, Revision, StoreError, Write};
use crate::upstream::{Id, Instance};

/// Key of the item that holds the leader's id while its lease is valid.
pub(super) const HOLDER_KEY: &str = "junctionbend/steward/holder";
/// Time to live of the leader's lease.
pub(super) const LEASE_TTL: Duration = Duration::from_millis(1800);
/// Interval at which the lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);
/// Margin before the end of the lease in which no order is given, for an order's latency and a late timer.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(600);
/// Interval at which the leader checks its term and the engines.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Added to the minimum interval between orders of two boxes, for drift between their monotonic clocks.
const INTERVAL_SLACK: Duration = Duration::from_millis(200);

/// A term of this box as the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    pub(super) lease: Lease,
    /// Revision at which the term began, from which the fencing token is derived.
    pub(super) fence: Revision,
    /// Time until which orders can be given.
    pub(super) orders_until: Moment,
    /// Time of the last renewal of the lease.
    pub(super) renewed: Moment,
    /// Revision of the record of orders.
    pub(super) record_revision: Revision,
    /// Whether the record names this box, which is required before an order.
    pub(super) is_announced: bool,
}

/// The leader task, which runs on every box whether it is the leader or not.
pub struct Leader {
    pub(super) core: Shared,
    pub(super) socket: Rc<UdpSocket>,
    pub(super) term: Cell<Option<Term>>,
    pub(super) record: RefCell<OrderRecord>,
    pub(super) loading: RefCell<BTreeSet<Instance>>,
    pub(super) unresponsive: RefCell<Unresponsive>,
    pub(super) order_counts: RefCell<OrderCounts>,
    pub(super) load_slots: Semaphore,
    pub(super) granted_slots: Cell<usize>,
    /// Time since which there has been no leader.
    pub(super) vacant_since: Cell<Option<Moment>>,
}

impl Leader {
    /// Creates the task of a box that is not the leader.
    pub fn new(core: Shared, socket: Rc<UdpSocket>) -> Rc<Self> {
        let own = core.settings.id.clone();
        Rc::new(Self {
            core,
            socket,
            term: Cell::new(None),
            record: RefCell::new(OrderRecord::new(
                own,
                PriorOrders::Known(Orders::new()),
                Moment::ZERO,
            )),
            loading: RefCell::default(),
            unresponsive: RefCell::default(),
            order_counts: RefCell::default(),
            load_slots: Semaphore::new(0),
            granted_slots: Cell::new(0),
            vacant_since: Cell::new(None),
        })
    }

    /// Takes part in elections and leads while elected, until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(POLL_INTERVAL).await;
            let stopping = self.core.stop.is_stopping();
            // A leader that reaches no engine gives way to a box that may reach some.
            let partitioned = self.core.uplinks.all_down();
            match self.term.get() {
                Some(term) if (stopping || partitioned) && self.loading.borrow().is_empty() => {
                    let why = if stopping {
                        "box is stopping"
                    } else {
                        "box reaches no engine"
                    };
                    self.release(term, why).await;
                }
                Some(term) => self.maintain(term).await,
                None if stopping => self.core.stop.set_leading(false),
                None if partitioned => self.vacant_since.set(None),
                None => self.try_elect().await,
            }
            if !stopping && !partitioned {
                self.start_loads().await;
            }
        }
    }

    async fn release(&self, term: Term, why: &str) {
        self.core.metrics.store_calls.inc();
        if let Err(why) = self.core.store.revoke_lease(term.lease).await {
            emit!(self.core.logger, info, event::LEADER_LOST, "why" => %why);
        }
        self.end_term(why);
    }

    async fn maintain(&self, term: Term) {
        let now = self.core.now();
        if term.lease.era != self.core.era() {
            self.end_term("store was restored");
            return;
        }
        if now >= term.orders_until + LEASE_MARGIN {
            self.end_term("lease expired");
            return;
        }
        if now >= term.renewed + RENEWAL_INTERVAL {
            self.renew(term, now).await;
            self.settle(term).await;
        }
        let is_idle = self.loading.borrow().is_empty()
            && self
                .record
                .borrow()
                .has_no_pending(now, self.min_order_interval());
        if is_idle && term.is_announced {
            self.write_record(None).await;
        }
    }

    async fn renew(&self, term: Term, now: Moment) {
        self.core.metrics.store_calls.inc();
        match self.core.store.renew_lease(term.lease).await {
            Ok(()) => self.term.set(Some(Term {
                orders_until: now + LEASE_TTL - LEASE_MARGIN,
                renewed: now,
                ..term
            })),
            Err(StoreError::NoLease) => self.end_term("lease is unknown to the store"),
            // Tried again at a later poll; the term expires by itself otherwise.
            Err(_) => self.term.set(Some(Term {
                renewed: now - RENEWAL_INTERVAL / 2,
                ..term
            })),
        }
    }

    /// Adds the engines that this box is about to order, and those that follow, to the record; returns whether the
    /// record contains them.
    pub(super) async fn announce(&self, next: &[Instance], later: &[Instance]) -> bool {
        let Some(term) = self.term.get() else { return false };
        if term.is_announced && self.record.borrow().covers(next) {
            return true;
        }
        let engines = self.ids_to_announce(later);
        let orders = self
            .record
            .borrow()
            .pending(&engines, self.core.now(), self.min_order_interval());
        self.write_record(Some(orders)).await
    }

    /// Returns the ids of the engines that are loading, and of `others`.
    fn ids_to_announce(&self, others: &[Instance]) -> BTreeSet<Id> {
        let loading = self.loading.borrow();
        loading
            .iter()
            .chain(others)
            .map(|instance| instance.id.clone())
            .collect()
    }

    /// Writes the record for the next leader; `None` if the next leader doesn't have to wait for any order.
    async fn write_record(&self, orders: Option<PriorOrders>) -> bool {
        let Some(term) = self.term.get() else { return false };
        let era = term.lease.era;
        let own = &self.core.settings.id;
        let is_announced = orders.is_some();
        let value = orders.as_ref().map(|orders| record::encode(own, orders));
        let write = Write {
            key: record::key(era),
            value: value.unwrap_or_else(record::empty),
            expected: Some(term.record_revision).max(self.own_record_revision(era)),
            lease: None,
        };
        self.core.metrics.store_calls.inc();
        match self.core.store.write(era, &[write]).await {
            Ok(record_revision) => {
                let written = orders.unwrap_or(PriorOrders::Known(Orders::new()));
                self.record.borrow_mut().note_written(&written);
                // The lease may have been renewed in the meantime.
                self.term.set(self.term.get().map(|term| Term {
                    record_revision,
                    is_announced,
                    ..term
                }));
                true
            }
            // The write may have been applied. The next one expects the revision that the store then shows, as
            // long as the record still names this box.
            Err(StoreError::Lost(_) | StoreError::Conflict) if is_announced => false,
            Err(why) => {
                emit!(self.core.logger, info, event::LEADER_LOST, "why" => %why);
                self.end_term("could not write the record of orders");
                false
            }
        }
    }

    /// Returns the revision of the record in the store if it names this box.
    fn own_record_revision(&self, era: Era) -> Option<Revision> {
        let items = self.core.box_items.borrow();
        let last = items.get(&record::key(era));
        let own = self.core.settings.id.as_bytes();
        let mine = last.filter(|item| item.value.as_deref().is_some_and(|v| record::holder(v) == own));
        mine.map(|item| item.revision)
    }

    /// Returns the minimum interval between orders of two boxes to the same engine.
    pub(super) fn min_order_interval(&self) -> Duration {
        self.core.settings.bounds.min_order_interval + INTERVAL_SLACK
    }

    fn end_term(&self, why: &str) {
        self.term.set(None);
        self.order_counts.take();
        self.core.stop.set_leading(false);
        emit!(self.core.logger, warn, event::LEADER_LOST, "why" => why);
    }

    /// Returns whether the lease is valid for long enough to give an order.
    pub(super) fn can_order(&self) -> bool {
        self.term
            .get()
            .is_some_and(|term| self.core.now() < term.orders_until)
    }

    /// Returns the fencing token if an engine can be ordered now.
    pub(super) fn fencing_token(&self, id: &str) -> Option<id::Fence> {
        let now = self.core.now();
        let term = self
            .term
            .get()
            .filter(|term| term.is_announced && now < term.orders_until)?;
        self.record.borrow().allows(id, now).then_some(term.fence.fence())
    }
}
