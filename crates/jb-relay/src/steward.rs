//! The duty to bring engines to the newest weights.
//!
//! One box has it, by a lease in the platform's store. The fencing token of
//! its orders is the revision at which it took the lease. Engines may not
//! check tokens; so a box that takes over from another one first waits until
//! orders of the two cannot follow each other too closely.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::weights::History;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::core::Shared;
use crate::peers;
use crate::port::{Lease, Order, Revision, StoreError, Taken, Write};
use crate::upstream::Id;

/// Item that stands while a box has the duty.
const HOLDER: &str = "junctionbend/steward/holder";
/// Item that names the last box that had the duty.
const LAST: &str = "junctionbend/steward/last";
/// Value of that item when the last order is too long ago for the next box to wait.
const NOBODY: &str = "";
/// Time of the lease.
const LEASE: Duration = Duration::from_millis(1800);
/// Pause between renewals.
const RENEW: Duration = Duration::from_millis(450);
/// Part of the lease at its end in which no order is given: an order's way and a late timer.
const MARGIN: Duration = Duration::from_millis(600);
/// Pause between two looks at what is to do.
const LOOK: Duration = Duration::from_millis(150);
/// Pause by which a less preferred box asks for the lease later.
const RANK_PAUSE: Duration = Duration::from_millis(250);
/// Pause before an engine that refused an order, or gave no report, is tried again.
const REFUSED_PAUSE: Duration = Duration::from_millis(600);
/// Boxes before this one that are waited for at the most.
const MOST_BEFORE: usize = 8;
/// Share of a service's engines that load at once.
const AT_ONCE: f64 = 0.2;
/// Engines that load at once at least.
const AT_ONCE_LEAST: usize = 2;
/// Engines that are emptied meanwhile, to load next.
const EMPTYING: usize = 1;
/// Longest wait for requests that cannot go on elsewhere to end. They are cut then: letting
/// them all end took an engine away for 3 to 6 s on days of high load, 1.3 s serves most.
const EMPTY_TIME: Duration = Duration::from_millis(1300);
/// Time in which all boxes hear that an engine gets nothing more, and tell what they have there.
const HEARD_TIME: Duration = Duration::from_millis(220);
/// Pause between two looks at an engine that is being emptied.
const LOOK_EMPTY: Duration = Duration::from_millis(30);
/// Pause between two reports of an engine that loads.
const LOOK_BUSY: Duration = Duration::from_millis(120);
/// Time that a load takes at least.
const LOAD_LEAST: Duration = Duration::from_millis(600);
/// Time after which an engine that does not get done makes room for others.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Added to the pause between orders of two boxes, for the steady clocks of both.
const GAP_SLACK: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct Term {
    lease: Lease,
    fence: Revision,
    /// Until when orders may be given.
    until: Moment,
    /// From when orders may be given.
    from: Moment,
    renewed: Moment,
    /// Revision of the item that names the last box with the duty.
    last: Revision,
    /// Whether that item names this box, as it must before an order.
    named: bool,
}

/// The duty at one box.
pub struct Steward {
    core: Shared,
    socket: Rc<UdpSocket>,
    term: Cell<Option<Term>>,
    loading: RefCell<BTreeSet<Id>>,
    places: Semaphore,
    granted: Cell<usize>,
    vacant_since: Cell<Option<Moment>>,
    ordered: Cell<Moment>,
}

impl Steward {
    /// The duty, not held.
    pub fn new(core: Shared, socket: Rc<UdpSocket>) -> Rc<Self> {
        Rc::new(Self {
            core,
            socket,
            term: Cell::new(None),
            loading: RefCell::default(),
            places: Semaphore::new(0),
            granted: Cell::new(0),
            vacant_since: Cell::new(None),
            ordered: Cell::default(),
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
        if now >= term.until + MARGIN {
            self.lose("the lease ran out");
            return;
        }
        if now >= term.renewed + RENEW {
            self.renew(term, now).await;
        }
        let quiet = self.loading.borrow().is_empty() && now > self.ordered.get() + self.gap();
        if quiet && term.named {
            self.name_last(NOBODY).await;
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

    /// Writes who had the duty last, for the box that has it next.
    async fn name_last(&self, name: &str) {
        let Some(term) = self.term.get() else { return };
        let value = Bytes::from(name.to_owned());
        let write = Write {
            key: LAST.to_owned(),
            value,
            expected: term.last,
            lease: 0,
        };
        self.core.metrics.store_calls.inc();
        match self.core.store.write(&[write]).await {
            Ok(last) => {
                // The lease may have been renewed meanwhile.
                let named = name != NOBODY;
                self.term
                    .set(self.term.get().map(|term| Term { last, named, ..term }));
            }
            // Whether it was written is open, so the item's revision is, too: the duty is given up.
            Err(why) => {
                emit!(self.core.logger, info, event::STEWARD_LOST, "why" => %why);
                self.lose("the last holder could not be written");
            }
        }
    }

    /// Pause that orders of two boxes to one engine must keep.
    fn gap(&self) -> Duration {
        self.core.settings.bounds.order_gap + GAP_SLACK
    }

    fn lose(&self, why: &str) {
        self.term.set(None);
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
            emit!(core.logger, info, event::STEWARD_NOT_TAKEN, "why" => %why);
            self.vacant_since.set(None);
            sleep(crate::follow::PERIOD).await;
        }
    }

    async fn take(&self) -> Result<(), StoreError> {
        let core = &self.core;
        let asked = core.now();
        core.metrics.store_calls.inc();
        let lease = core.store.lease(LEASE).await?;
        let last = core.own.borrow().get(LAST).cloned();
        let value = Bytes::from(core.settings.id.clone());
        let before = last.as_ref().and_then(|item| item.value.clone());
        let holder = Write {
            key: HOLDER.to_owned(),
            value: value.clone(),
            expected: 0,
            lease,
        };
        let expected = if before.is_some() {
            last.map_or(0, |item| item.revision)
        } else {
            0
        };
        let last = Write {
            key: LAST.to_owned(),
            value: value.clone(),
            expected,
            lease: 0,
        };
        core.metrics.store_calls.inc();
        let fence = core.store.write(&[holder, last]).await?;
        let now = core.now();
        let other = before
            .as_ref()
            .is_some_and(|before| *before != value && !before.is_empty());
        // The box before gave no order in the last part of its lease, which has run out.
        let wait = if other {
            self.gap().saturating_sub(MARGIN)
        } else {
            Duration::ZERO
        };
        self.term.set(Some(Term {
            lease,
            fence,
            until: asked + LEASE - MARGIN,
            from: now + wait,
            renewed: asked,
            last: fence,
            named: true,
        }));
        self.ordered.set(now);
        core.stop.set_duty(true);
        self.vacant_since.set(None);
        emit!(core.logger, info, event::STEWARD_TAKEN, "fence" => fence, "waits_ms" => wait.as_millis() as u64,
            "before" => before.map(|before| String::from_utf8_lossy(&before).into_owned()));
        Ok(())
    }

    /// Fencing token, when an order may be given now.
    fn may_order(&self) -> Option<Revision> {
        let now = self.core.now();
        self.term
            .get()
            .filter(|term| term.named && term.from <= now && now < term.until)
            .map(|term| term.fence)
    }

    /// Begins to load engines that have older weights, a few at a time.
    async fn start_loads(self: &Rc<Self>) {
        let now = self.core.now();
        if self
            .term
            .get()
            .is_none_or(|term| now < term.from || now >= term.until)
        {
            return;
        }
        let weights = self.core.weights.borrow().clone();
        for (model, history) in weights {
            let next = self.next_engines(&model, history.newest());
            if !next.is_empty() && self.term.get().is_some_and(|term| !term.named) {
                self.name_last(&self.core.settings.id).await;
            }
            for id in next {
                self.loading.borrow_mut().insert(id.clone());
                tokio::task::spawn_local(Rc::clone(self).load_in_time(id, model.clone()));
            }
        }
    }

    async fn load_in_time(self: Rc<Self>, id: Id, model: String) {
        if tokio::time::timeout(LOAD_TIME, self.load(&id, &model))
            .await
            .is_err()
        {
            emit!(self.core.logger, warn, event::ORDER_FAILED, "upstream" => &id, "why" => "not done in time");
        }
        self.loading.borrow_mut().remove(&id);
    }

    /// Engines to load next: those with the oldest weights, then those with the least to do.
    fn next_engines(&self, model: &str, version: u64) -> Vec<Id> {
        let upstreams = self.core.upstreams.borrow();
        let loading = self.loading.borrow();
        let with_model = upstreams.iter().filter(|(_, u)| u.weights(model).is_some());
        let (mut all, mut behind) = (0, Vec::new());
        for (id, upstream) in with_model {
            all += 1;
            let old = upstream.weights(model).is_some_and(|has| has < version) && !upstream.refused;
            if old && !upstream.entry.leaving && upstream.lapsed.is_none() && !loading.contains(id) {
                let unsound = !upstream.health.is_open(self.core.now());
                let running = upstream.running + upstream.others.running;
                behind.push((unsound, upstream.weights(model), running, id.clone()));
            }
        }
        let most = ((f64::from(all) * AT_ONCE) as usize).max(AT_ONCE_LEAST);
        behind.sort();
        if most > self.granted.get() {
            self.places.add_permits(most - self.granted.get());
            self.granted.set(most);
        }
        let room = (most + EMPTYING).saturating_sub(loading.len());
        behind.into_iter().take(room).map(|(_, _, _, id)| id).collect()
    }

    /// Brings one engine to the newest weights.
    async fn load(&self, id: &Id, model: &str) {
        let core = &self.core;
        let began = core.now();
        self.empty(id, model).await;
        let _place = self.place().await;
        let mut last_told = began;
        loop {
            if core.now() > last_told + peers::LOADING / 2 {
                last_told = core.now();
                peers::tell_weights(core, &self.socket, id, model, None).await;
            }
            let Some(address) = core.upstreams.borrow().get(id).map(|u| u.entry.address) else {
                return;
            };
            let report = match core.engines.report(address).await {
                Ok(report) => report,
                Err(why) => {
                    emit!(core.logger, info, event::ORDER_FAILED, "upstream" => id, "why" => %why);
                    sleep(REFUSED_PAUSE).await;
                    return;
                }
            };
            let version = core.weights.borrow().get(model).map_or(0, History::newest);
            let has = report
                .models
                .iter()
                .find(|loaded| loaded.model == model)
                .map_or(0, |l| l.version);
            if has >= version && !report.busy {
                emit!(core.logger, info, event::WEIGHTS_LOADED, "upstream" => id, "version" => has,
                    "ms" => core.now().saturating_sub(began).as_millis() as u64);
                peers::tell_weights(core, &self.socket, id, model, Some(has)).await;
                return;
            }
            if report.busy {
                sleep(LOOK_BUSY).await;
            } else if !self.order(id, address, model, version, report.orders).await {
                return;
            }
        }
    }

    /// Has the boxes send nothing more there, and waits until what cannot go on elsewhere has ended.
    async fn empty(&self, id: &Id, model: &str) {
        let core = &self.core;
        peers::tell_weights(core, &self.socket, id, model, None).await;
        let until = core.now() + EMPTY_TIME;
        sleep(HEARD_TIME).await;
        while core.now() < until && self.fixed(id) > 0 {
            sleep(LOOK_EMPTY).await;
        }
    }

    /// Requests at an engine that cannot go on elsewhere.
    fn fixed(&self, id: &Id) -> u32 {
        let upstreams = self.core.upstreams.borrow();
        upstreams
            .get(id)
            .map_or(0, |upstream| upstream.fixed + upstream.others.fixed)
    }

    /// A place among the engines that load at the same time.
    async fn place(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        // The semaphore is never closed.
        self.places.acquire().await.ok()
    }

    /// Gives one order; whether to go on with the engine.
    async fn order(&self, id: &Id, address: SocketAddr, model: &str, version: u64, orders: u64) -> bool {
        let core = &self.core;
        let Some(fence) = self.may_order() else {
            return false;
        };
        let holder = core.settings.id.clone();
        let order = Order {
            model: model.to_owned(),
            version,
            holder,
            fence,
            orders,
        };
        self.ordered.set(core.now());
        let taken = core.engines.order(address, id, &order).await;
        emit!(core.logger, info, event::ORDER_GIVEN, "upstream" => id, "version" => version,
            "fence" => fence, "fixed" => self.fixed(id), "answer" => ?taken);
        match taken {
            Ok(Taken::Started) => sleep(LOAD_LEAST).await,
            Ok(Taken::Refused(status)) => {
                if let Some(upstream) = core.upstreams.borrow_mut().get_mut(id) {
                    // Another incarnation has the address.
                    upstream.refused |= status == 421;
                }
                sleep(REFUSED_PAUSE).await;
                return false;
            }
            Ok(Taken::Holds | Taken::Conflict) | Err(_) => sleep(LOOK).await,
        }
        true
    }
}
