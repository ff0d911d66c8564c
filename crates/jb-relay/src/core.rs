//! State shared by the tasks of a box, which all run on one thread.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use jb_clock::Clock;
use jb_policy::Moment;
use jb_policy::hall_reachability::HallReachability;
use jb_policy::outage::{self, Span};
use jb_policy::placement::CostModel;
use jb_policy::prefill_rate::PrefillRate;
use jb_policy::response_time::ResponseTime;
use jb_policy::retry_budget::{Budget, FixedPart};
use jb_policy::software::{Departures, Versions};
use jb_policy::weights::History;
use jb_protocol::id;
use slog::Logger;
use tokio::sync::Notify;

use crate::activity::Activity;
use crate::cache_store::CacheStores;
use crate::callers::Callers;
use crate::configuration::Configuration;
use crate::crash_check::LostAttempts;
use crate::detour::Helpers;
use crate::header_names::HeaderNames;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::open_request::OpenRequests;
use crate::peers::{
    ChangeLog, Directory, Loads, OriginRecords, Outbox, PendingPull, PendingWeights, Permit, Quotas,
    RateLimits, Reachability, Refusals, Reservations, RoundTrips, SoftwareRecords, Source, StreamOrigins,
    Transfers,
};
use crate::port::{Change, Engines, Era, Revision, Store};
use crate::quarantine::Quarantine;
use crate::restore::Restore;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::unknown_signals::UnknownSignals;
use crate::uplink::Uplinks;
use crate::upstream::{Instance, Registry};

/// Reference to the shared state.
pub type Shared = Rc<Core>;

/// Where updates of the store's state come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOrigin {
    /// The store itself.
    Store,
    /// Another box.
    Box(Source),
}

/// State shared by the tasks of a box.
pub struct Core {
    /// Settings of the box.
    pub settings: Settings,
    /// Names of the platform's headers.
    pub header_names: HeaderNames,
    /// Cost parameters of upstream selection.
    pub cost_model: CostModel,
    /// Store of the platform.
    pub store: Rc<dyn Store>,
    /// Control calls to engines.
    pub engines: Rc<dyn Engines>,
    /// Log.
    pub logger: Logger,
    /// Counters.
    pub metrics: Metrics,
    /// Progress of a graceful shutdown.
    pub stop: Stop,
    /// Requests that are open.
    pub open_requests: OpenRequests,
    /// When this box last ran, and how late its tasks are.
    pub activity: Activity,
    /// Active configuration; `None` before the first one is received.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// When this box begins to load the store's content: at its start, or after it has waited for boxes that start with it.
    pub load_starts_at: Cell<Moment>,
    /// Time as of which the state is known to match the store: when the call was sent that confirmed it.
    pub verified_at: Cell<Option<Moment>>,
    /// Like `verified_at`, without updates that other boxes passed on while this box couldn't reach the store.
    pub verified_directly_at: Cell<Option<Moment>>,
    /// Span in which the store is known to have answered this box or others, except for outages too short for
    /// an entry to expire.
    pub store_uptime: Cell<Option<Span>>,
    /// Last restore of the store from a backup since this box started.
    pub last_restore: Cell<Option<Restore>>,
    /// Era of the store in which all lost items are known to have been written again.
    pub settled_era: Cell<Option<Era>>,
    /// Where the last update came from; `None` while this box's own calls to the store fail.
    pub update_origin: Cell<Option<UpdateOrigin>>,
    /// Known upstreams.
    pub upstreams: RefCell<Registry>,
    /// Software versions that have left their services recently.
    pub departed_software: RefCell<Departures>,
    /// Shared KV cache stores.
    pub cache_stores: RefCell<CacheStores>,
    /// Released versions of each model's weights.
    pub weights: RefCell<BTreeMap<String, History>>,
    /// Local copy of all items of the store.
    pub mirror: RefCell<Mirror>,
    /// Items that the boxes themselves write to the store, by key.
    pub box_items: RefCell<BTreeMap<String, Change>>,
    /// Port for messages between boxes and for transfers.
    pub peer_port: OnceCell<u16>,
    /// When this box's address was last written to the store.
    pub address_written: Cell<Option<Moment>>,
    /// Whether addresses of boxes have changed since the list was last updated.
    pub addresses_changed: Cell<bool>,
    /// Boxes that may be alive.
    pub directory: RefCell<Directory>,
    /// Round-trip times to other boxes.
    pub round_trips: RoundTrips,
    /// Reservations that this box requests from the boxes that track the engines' loads.
    pub reservations: Reservations,
    /// Which data halls this box can connect to.
    pub hall_reachability: RefCell<HallReachability>,
    /// Which services' upstreams this box reaches.
    pub uplinks: Uplinks,
    /// Notified when a connection to an upstream could not be opened.
    pub connect_failed: Notify,
    /// Boxes that serve requests of this one while it reaches no upstream.
    pub helpers: Helpers,
    /// Which boxes can reach each other.
    pub box_reachability: RefCell<Reachability>,
    /// Messages of other boxes that this one has rejected.
    pub refusals: Refusals,
    /// Quotas of customers.
    pub quotas: Quotas,
    /// Rate limits of upstreams.
    pub rate_limits: RateLimits,
    /// Software versions that began streams.
    pub stream_origins: StreamOrigins,
    /// Origins of streams that this box writes to the store.
    pub origin_records: OriginRecords,
    /// Software versions that the store has records of.
    pub software_records: SoftwareRecords,
    /// Upstream signals that this version doesn't support.
    pub unknown_signals: UnknownSignals,
    /// Requests that crash engines.
    pub quarantine: Quarantine,
    /// Attempts that may have been lost in crashes.
    pub lost_attempts: LostAttempts,
    /// Status of the other boxes.
    pub peer_loads: RefCell<Loads>,
    /// Weight loads that wait to be published in one message.
    pub pending_weights: RefCell<PendingWeights>,
    /// State changes to broadcast without delay.
    pub outbox: RefCell<Outbox>,
    /// Latest changes of the store, from which other boxes are served.
    pub change_log: RefCell<ChangeLog>,
    /// Updates that this box has requested from another box.
    pub pending_pull: PendingPull,
    /// Transfers to other boxes.
    pub transfers: Transfers,
    /// Retry budget of each service.
    pub retry_budgets: RefCell<HashMap<id::Service, Budget>>,
    /// This box's part of the fixed retries of each service.
    pub fixed_retries: RefCell<FixedPart>,
    /// Measured prefill rate of each service's engines.
    pub prefill_rates: RefCell<HashMap<id::Service, PrefillRate>>,
    /// Time that the responses of each route take.
    pub response_times: RefCell<HashMap<id::Route, ResponseTime>>,
    /// Memory and connections that callers use.
    pub callers: Callers,
    /// The clock.
    pub clock: Clock,
}

/// Platform-specific components that a box is built from.
pub struct Components {
    /// Settings.
    pub settings: Settings,
    /// Header names.
    pub header_names: HeaderNames,
    /// Store.
    pub store: Rc<dyn Store>,
    /// Control calls to engines.
    pub engines: Rc<dyn Engines>,
    /// Log.
    pub logger: Logger,
}

impl Core {
    /// Creates the state of a box that has just started.
    pub fn new(components: Components) -> Shared {
        let callers = Callers::new(&components.settings.capacity);
        Rc::new(Self {
            stop: Stop::new(components.settings.bounds.stop_grace),
            settings: components.settings,
            header_names: components.header_names,
            cost_model: CostModel::default(),
            store: components.store,
            engines: components.engines,
            logger: components.logger,
            metrics: Metrics::default(),
            open_requests: OpenRequests::default(),
            activity: Activity::default(),
            configuration: RefCell::default(),
            load_starts_at: Cell::default(),
            verified_at: Cell::default(),
            verified_directly_at: Cell::default(),
            store_uptime: Cell::default(),
            last_restore: Cell::default(),
            settled_era: Cell::default(),
            update_origin: Cell::default(),
            upstreams: RefCell::default(),
            departed_software: RefCell::default(),
            cache_stores: RefCell::default(),
            weights: RefCell::default(),
            mirror: RefCell::default(),
            box_items: RefCell::default(),
            peer_port: OnceCell::new(),
            address_written: Cell::default(),
            addresses_changed: Cell::default(),
            directory: RefCell::default(),
            round_trips: RoundTrips::default(),
            reservations: Reservations::default(),
            hall_reachability: RefCell::default(),
            uplinks: Uplinks::default(),
            connect_failed: Notify::new(),
            helpers: Helpers::default(),
            box_reachability: RefCell::default(),
            refusals: Refusals::default(),
            quotas: Quotas::default(),
            rate_limits: RateLimits::default(),
            stream_origins: StreamOrigins::default(),
            origin_records: OriginRecords::default(),
            software_records: SoftwareRecords::default(),
            unknown_signals: UnknownSignals::default(),
            quarantine: Quarantine::default(),
            lost_attempts: LostAttempts::default(),
            peer_loads: RefCell::default(),
            pending_weights: RefCell::default(),
            outbox: RefCell::default(),
            change_log: RefCell::default(),
            pending_pull: PendingPull::default(),
            transfers: Transfers::default(),
            retry_budgets: RefCell::default(),
            fixed_retries: RefCell::new(FixedPart::new(Moment::ZERO)),
            prefill_rates: RefCell::default(),
            response_times: RefCell::default(),
            callers,
            clock: Clock::start(),
        })
    }

    /// Returns the time since the start, including time in which the machine was suspended.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the age of the state; `None` before the first update.
    pub fn state_age(&self) -> Option<Duration> {
        self.verified_at.get().map(|at| self.now().saturating_sub(at))
    }

    /// Returns whether this box may get an answer from the store: its last call didn't fail, or the relay node of its data
    /// hall reaches the store.
    pub fn may_reach_store(&self) -> bool {
        let origin = self.update_origin.get();
        !matches!(origin, None | Some(UpdateOrigin::Box(Source::AnyRelayNode)))
    }

    /// Returns whether the state is older than a configuration may take to be in force, so that an upstream of another
    /// version may have joined unnoticed.
    pub fn is_outdated(&self) -> bool {
        let max_age = self.settings.bounds.max_config_delay;
        self.state_age().is_some_and(|age| age > max_age)
    }

    /// Returns the age of the state without updates that other boxes passed on; `None` before the first one.
    pub fn direct_state_age(&self) -> Option<Duration> {
        self.verified_directly_at
            .get()
            .map(|at| self.now().saturating_sub(at))
    }

    /// Returns the longest outage of the store in which no entry of an upstream expires.
    pub fn tolerated_outage(&self) -> Duration {
        outage::tolerated_silence(self.settings.bounds.heartbeat_interval)
    }

    /// Records a span in which the store answered this box or another one.
    pub fn note_store_seen(&self, span: Span) {
        let known = Span::join(self.store_uptime.get(), span, self.tolerated_outage());
        self.store_uptime.set(Some(known));
    }

    /// Returns whether an instance still accepts a request: its signals may have changed since it was selected
    /// and the permit was acquired.
    pub fn accepts_requests(&self, instance: &Instance, permit: Permit) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.instance(instance).is_some_and(|upstream| {
            let permitted = permit == Permit::Granted || upstream.rate_limit.rate().is_none();
            permitted && upstream.is_in_rotation() && !upstream.is_backing_off(self.now())
        })
    }

    /// Returns the software versions that a service's upstreams have had recently: those registered, those that this box
    /// saw leave, and those recorded in the store.
    pub fn software_versions(&self, service: &str) -> Versions {
        let upstreams = self.upstreams.borrow();
        let departed = self.departed_software.borrow();
        let recorded = self.software_records.versions(service);
        let registered = upstreams.software_versions(service);
        let known = registered.chain(departed.recent(service, self.now()));
        Versions::of(known.chain(&recorded))
    }

    /// Returns whether the box has received the store's state, however old it may be.
    pub fn has_store_state(&self) -> bool {
        self.change_log.borrow().revision() != Revision::default()
    }

    /// Returns whether a full read of the store takes several calls.
    pub fn is_store_paged(&self) -> bool {
        self.mirror.borrow().len() > self.store.max_page_items()
    }

    /// Returns the era of the store as of the last update.
    pub fn era(&self) -> Era {
        self.change_log.borrow().revision().era
    }

    /// Returns the last restore of the store while the items lost in it may not have been written again.
    pub fn recent_restore(&self) -> Option<Restore> {
        let now = self.now();
        let restore = self
            .last_restore
            .get()
            .filter(|restore| now < restore.settles_at());
        restore.filter(|restore| !self.is_settled(restore.era))
    }

    /// Records that the store has been restored.
    pub fn note_restore(&self, era: Era) {
        self.last_restore.set(Some(Restore {
            era,
            noticed_at: self.now(),
            verified_at: self.keys_verified_at(),
        }));
        self.origin_records.write_again(self.now());
    }

    /// Records the first answer of the store. A store with an era above 0 may have been restored right before
    /// this box started, so it counts as a restore unless the whole system starts for the first time.
    pub fn note_first_answer(&self, era: Era) {
        let may_be_restored = era > 0 && !self.settings.is_first_start;
        if may_be_restored {
            self.last_restore.set(Some(Restore {
                era,
                noticed_at: self.now(),
                verified_at: None,
            }));
        }
    }

    /// Returns whether all lost items have been written again since the restore that began an era.
    pub fn is_settled(&self, era: Era) -> bool {
        self.settled_era.get() >= Some(era)
    }

    /// Returns the age of the state as far as it proves that keys are valid; `None` if nothing proves it.
    pub fn key_age(&self) -> Option<Duration> {
        self.keys_verified_at().map(|at| self.now().saturating_sub(at))
    }

    /// Returns when keys were last verified. State read from a restored store before all lost items were
    /// written again doesn't prove that a key is valid: the key's revocation may be among the lost items.
    fn keys_verified_at(&self) -> Option<Moment> {
        let verified_at = self.verified_at.get();
        match self.last_restore.get() {
            Some(restore) if !self.is_settled(restore.era) && verified_at < Some(restore.settles_at()) => {
                restore.verified_at
            }
            _ => verified_at,
        }
    }

    /// Returns the active configuration; `None` before the first one is received.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }
}
