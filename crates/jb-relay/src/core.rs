//! What the duties of a box share. All of them run on one thread.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use jb_clock::Clock;
use jb_policy::Moment;
use jb_policy::hall_reachability::HallReachability;
use jb_policy::outage::{self, Span};
use jb_policy::pace::Pace;
use jb_policy::placement::CostModel;
use jb_policy::share::{Bound, Budget};
use jb_policy::weights::History;
use jb_protocol::id;
use slog::Logger;

use crate::cache_store::CacheStores;
use crate::configuration::Configuration;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::names::Names;
use crate::peers::{
    ChangeLog, Directory, Loads, Outbox, PendingPull, PendingWeights, Permit, Quotas, RateLimits,
    Reachability, Reservations, RoundTrips, Source, Transfers,
};
use crate::port::{Change, Engines, Era, Revision, Store};
use crate::quarantine::Quarantine;
use crate::restore::Restore;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::unknown_signals::UnknownSignals;
use crate::upstream::{Instance, Registry};

/// Reference to the shared state.
pub type Shared = Rc<Core>;

/// Where news of the store come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The store itself.
    Store,
    /// Another box.
    Box(Source),
}

/// State that the duties share.
pub struct Core {
    /// Settings of the box.
    pub settings: Settings,
    /// Header names of the platform.
    pub names: Names,
    /// Weights of the choice.
    pub tuning: CostModel,
    /// Store of the platform.
    pub store: Rc<dyn Store>,
    /// Control calls to engines.
    pub engines: Rc<dyn Engines>,
    /// Log.
    pub logger: Logger,
    /// Counters.
    pub metrics: Metrics,
    /// Planned stop.
    pub stop: Stop,
    /// Configuration in force; `None` before the first.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// When the call was sent whose answer proves what is in force.
    pub proven: Cell<Option<Moment>>,
    /// The same without updates of other boxes while the own path to the store was cut.
    pub proven_directly: Cell<Option<Moment>>,
    /// Span in which the store is known to have answered this box or others, but for silences that
    /// cost no entry.
    pub store_seen: Cell<Option<Span>>,
    /// The last restore of the store since the box's start.
    pub restored: Cell<Option<Restore>>,
    /// Era of the store in which everything is known to have been written again.
    pub settled: Cell<Option<Era>>,
    /// Where the last news of the store came from; `None` while the own calls fail.
    pub news_from: Cell<Option<Origin>>,
    /// Upstreams.
    pub upstreams: RefCell<Registry>,
    /// Shared stores of KV cache.
    pub cache_stores: RefCell<CacheStores>,
    /// Versions of each model's weights that were named.
    pub weights: RefCell<BTreeMap<String, History>>,
    /// Everything that the store holds.
    pub mirror: RefCell<Mirror>,
    /// Items that the boxes keep in the store.
    pub own: RefCell<BTreeMap<String, Change>>,
    /// Port for messages between boxes and for transfers.
    pub peer_port: OnceCell<u16>,
    /// When the own address was last written to the store.
    pub address_written: Cell<Option<Moment>>,
    /// Whether addresses of boxes have changed since the list was last updated.
    pub addresses_changed: Cell<bool>,
    /// Boxes that may be alive.
    pub book: RefCell<Directory>,
    /// Time of the way to other boxes.
    pub round_trips: RoundTrips,
    /// Places that this box asks other boxes for.
    pub accounts: Reservations,
    /// Data halls that this box can't connect to.
    pub reach: RefCell<HallReachability>,
    /// Boxes that reach each other.
    pub reachability: RefCell<Reachability>,
    /// Customers' limits.
    pub quotas: Quotas,
    /// Rate limits of upstreams.
    pub rate_limits: RateLimits,
    /// Signals of upstreams that this version doesn't know.
    pub unknown_signals: UnknownSignals,
    /// Requests that end engines.
    pub quarantine: Quarantine,
    /// Status of the other boxes.
    pub loads: RefCell<Loads>,
    /// Loads of weights that are about to be published.
    pub gathered: RefCell<PendingWeights>,
    /// What is to be broadcast at once.
    pub notices: RefCell<Outbox>,
    /// Latest changes of the store, for other boxes.
    pub log: RefCell<ChangeLog>,
    /// News that another box is asked for.
    pub relayed: PendingPull,
    /// Transfers to other boxes.
    pub transfers: Transfers,
    /// Retry budget of each service.
    pub budgets: RefCell<HashMap<id::Service, Budget>>,
    /// Reading speed of each service's engines.
    pub paces: RefCell<HashMap<id::Service, Pace>>,
    /// Bytes of request bodies held.
    pub held: Cell<usize>,
    /// The clock.
    pub clock: Clock,
}

/// What a box is made of.
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Header names.
    pub names: Names,
    /// Store.
    pub store: Rc<dyn Store>,
    /// Control calls to engines.
    pub engines: Rc<dyn Engines>,
    /// Log.
    pub logger: Logger,
}

impl Core {
    /// Puts the parts of a box together.
    pub fn new(parts: Parts) -> Shared {
        Rc::new(Self {
            settings: parts.settings,
            names: parts.names,
            tuning: CostModel::default(),
            store: parts.store,
            engines: parts.engines,
            logger: parts.logger,
            metrics: Metrics::default(),
            stop: Stop::default(),
            configuration: RefCell::default(),
            proven: Cell::default(),
            proven_directly: Cell::default(),
            store_seen: Cell::default(),
            restored: Cell::default(),
            settled: Cell::default(),
            news_from: Cell::default(),
            upstreams: RefCell::default(),
            cache_stores: RefCell::default(),
            weights: RefCell::default(),
            mirror: RefCell::default(),
            own: RefCell::default(),
            peer_port: OnceCell::new(),
            address_written: Cell::default(),
            addresses_changed: Cell::default(),
            book: RefCell::default(),
            round_trips: RoundTrips::default(),
            accounts: Reservations::default(),
            reach: RefCell::default(),
            reachability: RefCell::default(),
            quotas: Quotas::default(),
            rate_limits: RateLimits::default(),
            unknown_signals: UnknownSignals::default(),
            quarantine: Quarantine::default(),
            loads: RefCell::default(),
            gathered: RefCell::default(),
            notices: RefCell::default(),
            log: RefCell::default(),
            relayed: PendingPull::default(),
            transfers: Transfers::default(),
            budgets: RefCell::default(),
            paces: RefCell::default(),
            held: Cell::default(),
            clock: Clock::start(),
        })
    }

    /// Time since the start, with that in which the machine was suspended.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Age of what the box knows; `None` when it knows nothing.
    pub fn age(&self) -> Option<Duration> {
        self.proven.get().map(|at| self.now().saturating_sub(at))
    }

    /// Time for which the own path to the store has shown nothing; `None` when it never has.
    pub fn path_age(&self) -> Option<Duration> {
        self.proven_directly.get().map(|at| self.now().saturating_sub(at))
    }

    /// Silence of the store in which no entry of an upstream lapses.
    pub fn harmless_silence(&self) -> Duration {
        outage::tolerated_silence(self.settings.bounds.heartbeat_interval)
    }

    /// Takes a span in which the store answered this box or another one.
    pub fn note_store_seen(&self, span: Span) {
        let known = Span::join(self.store_seen.get(), span, self.harmless_silence());
        self.store_seen.set(Some(known));
    }

    /// Returns whether an instance still accepts a request that was placed there: its signals may have changed
    /// since it was chosen and the permit was acquired.
    pub fn takes_requests(&self, instance: &Instance, permit: Permit) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.instance(instance).is_some_and(|upstream| {
            let permitted = permit == Permit::Granted || upstream.rate_limit.rate().is_none();
            permitted && upstream.is_in_rotation() && !upstream.is_backing_off(self.now())
        })
    }

    /// Whether the box knows what the store holds, however old that may be.
    pub fn knows_store(&self) -> bool {
        self.log.borrow().revision() != Revision::default()
    }

    /// Returns whether it takes several calls to read all that the store holds.
    pub fn is_store_paged(&self) -> bool {
        self.mirror.borrow().len() > self.store.page_items()
    }

    /// Era of the store by the last update.
    pub fn era(&self) -> Era {
        self.log.borrow().revision().era
    }

    /// The last restore of the store, while what it has lost may not be written again.
    pub fn recent_restore(&self) -> Option<Restore> {
        let now = self.now();
        let restore = self.restored.get().filter(|restore| now < restore.ends());
        restore.filter(|restore| !self.is_settled(restore.era))
    }

    /// Notes that the store has been restored.
    pub fn note_restore(&self, era: Era) {
        self.restored.set(Some(Restore {
            era,
            noticed: self.now(),
            proven: self.keys_proven(),
        }));
    }

    /// Notes the first answer of the store, which may have been restored right before.
    pub fn note_first_answer(&self, era: Era) {
        let may_be_restored = era > 0 && !self.settings.is_first_start;
        if may_be_restored {
            self.restored.set(Some(Restore {
                era,
                noticed: self.now(),
                proven: None,
            }));
        }
    }

    /// Returns whether everything has been written again since the restore that began an era.
    pub fn is_settled(&self, era: Era) -> bool {
        self.settled.get() >= Some(era)
    }

    /// Age of what the box knows of keys; `None` when it knows nothing.
    pub fn key_age(&self) -> Option<Duration> {
        self.keys_proven().map(|at| self.now().saturating_sub(at))
    }

    /// When what the box knows of keys was last proven. What a restored store showed before everything was
    /// written again doesn't prove that a key still holds: it may lack the revocation.
    fn keys_proven(&self) -> Option<Moment> {
        let proven = self.proven.get();
        match self.restored.get() {
            Some(restore) if !self.is_settled(restore.era) && proven < Some(restore.ends()) => restore.proven,
            _ => proven,
        }
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Counts a new request of a service.
    pub fn earn(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.request(self.now(), self.settings.bounds.retry_window);
    }

    /// Takes one send beyond the first from a service's budget.
    pub fn spend(&self, service: &str) -> bool {
        let bounds = &self.settings.bounds;
        let bound = Bound {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_burst,
            window: bounds.retry_window,
        };
        let boxes = self.book.borrow().boxes();
        let mut budgets = self.budgets.borrow_mut();
        let spent = budgets
            .entry(service.to_owned())
            .or_default()
            .spend(self.now(), &bound, boxes);
        self.metrics.retries.inc_by(u64::from(spent));
        spent
    }
}
