//! The state of a run: fake store and engines, boxes, and the requests that were sent.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::request;
use jb_site_fakes::cut::Paths;
use jb_site_fakes::document::{self, ROUTES};
use jb_site_fakes::engine::Engine;
use jb_site_fakes::store::Store;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::boxes::Box;
use crate::callers::{self, Exchange};
use crate::changes::{self, Releases};
use crate::checks::Checks;
use crate::crowd;
use crate::cuts;
use crate::faults::Set;
use crate::limits::Limit;
use crate::poison::{self, PoisonAttempt};
use crate::retries;
use crate::run::Plan;
use crate::stops::{self, Stop};
use crate::versions::{self, Fleet};

/// Number of events in a complete stream.
pub const EVENTS: u64 = 6;
/// Time after the start of an engine's drain within which boxes may still send to it. It includes
/// the longest fault, since a box that is cut off from the store is not bound.
const DRAIN_BOUND: Duration = Duration::from_millis(9000);
/// Maximum wait for the response of a box that serves.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);

/// A period in which a box has a fault.
#[derive(Clone, Debug)]
struct FaultPeriod {
    time: Range<Instant>,
    /// Whether the fault affects all boxes, as a fault of the store does.
    each: bool,
}

/// The state of a run.
pub struct World {
    /// Seed of all random draws.
    pub seed: u64,
    /// Set of faults to draw from.
    pub set: Set,
    /// Fake store.
    pub store: Rc<Store>,
    /// Fake engines.
    pub engines: Vec<Rc<Engine>>,
    /// Boxes under test.
    pub boxes: Vec<Box>,
    /// Paths from each box to the engines, where cuts are among the faults.
    pub paths: Vec<Paths>,
    /// Cuts between boxes and engines.
    pub cuts: RefCell<Vec<cuts::Period>>,
    /// Requests that were sent, with their outcomes.
    pub exchanges: RefCell<Vec<Exchange>>,
    /// Attempts of the request that crashes engines.
    pub poison_attempts: RefCell<Vec<PoisonAttempt>>,
    /// Box that gets most new connections.
    pub crowded: Cell<Option<usize>>,
    /// Times in which a box got most new connections.
    pub crowds: RefCell<Vec<crowd::Period>>,
    /// Results of the checks so far.
    pub checks: RefCell<Checks>,
    /// Set when callers must stop.
    pub stopped: Cell<bool>,
    /// Current version of the configuration.
    pub version: Cell<u64>,
    /// Version of the weights in the entry of each engine.
    written_weights: Vec<Cell<u64>>,
    /// Newest version of the weights.
    pub weights: Cell<u64>,
    /// When a key was revoked; `None` before that.
    pub revoked: Cell<Option<Instant>>,
    /// Engines that drain by their entries, by index: the deadline of the drain, and the number of
    /// requests that had run by then.
    pub draining: RefCell<BTreeMap<usize, (Instant, usize)>>,
    /// Engines of `draining` whose entry was deleted.
    deleted: RefCell<BTreeSet<usize>>,
    /// Engines that announce their drain in their responses.
    announcing: RefCell<BTreeSet<usize>>,
    /// Number of callers.
    pub callers: usize,
    /// Planned stops of boxes.
    pub stops: RefCell<Vec<Stop>>,
    /// Rate limits that engines announced.
    pub limits: RefCell<Vec<Limit>>,
    /// Engines in service, and the streams of callers, where software versions are among the faults.
    pub fleet: Fleet,
    /// Configurations that followed each other.
    pub releases: Releases,
    /// Fault periods of each box.
    fault_periods: RefCell<Vec<Vec<FaultPeriod>>>,
    began: Instant,
    verbose: bool,
}

/// Returns a configuration with one route of each kind.
pub fn config(set: Set, version: u64, keys: &[&str]) -> Value {
    match set {
        set if set.plans_stops() => document::config(version, &stops::routes(), keys),
        _ => document::config(version, &ROUTES, keys),
    }
}

impl World {
    /// Starts the fake store and engines and creates the boxes, which are not started yet.
    pub async fn new(plan: &Plan, program: &Path, folder: &Path, verbose: bool) -> Rc<Self> {
        let store = Store::start().await;
        store.put_config(&config(plan.set, 1, &["key-ann", "key-cut"]));
        let mut engines = Vec::new();
        let count = match plan.set {
            Set::Versions => plan.engines * versions::ENGINES_PER_ENGINE,
            _ => plan.engines,
        };
        for number in 0..count {
            let engine = Engine::start(&format!("engine-{number}")).await;
            engine.events.set(EVENTS);
            if plan.set != Set::First {
                engine.restart();
            }
            if plan.set == Set::Poison {
                engine.crash_body.replace(Some(poison::CRASH_BODY.to_owned()));
            }
            if plan.set.plans_stops() {
                stops::prepare(&engine, plan.set);
            }
            if plan.set == Set::Segments {
                poison::crash_under_segment(&engine);
            }
            if plan.set != Set::Versions {
                store.put_engine(&engine, false);
            }
            engines.push(engine);
        }
        let fleet = match plan.set {
            Set::Versions => Fleet::start(plan, &store, &engines),
            _ => Fleet::default(),
        };
        let mut boxes = Vec::new();
        let mut paths = Vec::new();
        for number in 0..plan.boxes {
            let (mut hall, mut address) = (number % 2, store.address);
            if plan.set == Set::Cuts {
                let own = Paths::open(&engines).await;
                address = store.address_for(&own).await;
                paths.push(own);
                // Boxes of one hall share what one of them reads from the store, with its addresses of engines.
                hall = number;
            }
            if plan.set == Set::Changes {
                hall = 0;
            }
            let bounds = match plan.set {
                Set::Changes => changes::bounds(),
                other => retries::bounds(other),
            };
            boxes.push(Box::new(number, program, folder, hall, address, bounds).await);
        }
        Rc::new(Self {
            seed: plan.seed,
            set: plan.set,
            store,
            written_weights: engines
                .iter()
                .map(|engine| Cell::new(engine.version.get()))
                .collect(),
            engines,
            boxes,
            paths,
            cuts: RefCell::default(),
            exchanges: RefCell::default(),
            poison_attempts: RefCell::default(),
            crowded: Cell::default(),
            crowds: RefCell::default(),
            stops: RefCell::default(),
            limits: RefCell::default(),
            fleet,
            releases: Releases::default(),
            fault_periods: RefCell::new(vec![Vec::new(); plan.boxes]),
            checks: RefCell::default(),
            stopped: Cell::default(),
            version: Cell::new(1),
            weights: Cell::new(1),
            revoked: Cell::default(),
            draining: RefCell::default(),
            deleted: RefCell::default(),
            announcing: RefCell::default(),
            callers: plan.callers as usize,
            began: Instant::now(),
            verbose,
        })
    }

    /// Prints a line of the timeline if the run is loud.
    pub fn log(&self, what: &str) {
        if self.verbose {
            println!("  {:6.2} {what}", self.began.elapsed().as_secs_f64());
        }
    }

    /// Returns a moment in seconds since the start of the run.
    pub fn seconds(&self, moment: Instant) -> f64 {
        (moment - self.began).as_secs_f64()
    }

    /// Returns the keys that are valid.
    pub fn keys(&self) -> Vec<&'static str> {
        if self.revoked.get().is_some() {
            vec!["key-ann"]
        } else {
            vec!["key-ann", "key-cut"]
        }
    }

    /// Returns the box that the store names as the leader.
    pub fn leader(&self) -> Option<&Box> {
        let name = self.store.value("junctionbend/steward/holder")?;
        self.boxes.iter().find(|one| one.name == name)
    }

    /// Releases newer weights.
    pub fn release_weights(&self) {
        self.weights.set(self.weights.get() + 1);
        self.store.put_weights(self.weights.get());
    }

    /// Revokes the key `key-cut`, once.
    pub fn revoke(&self) {
        if self.revoked.get().is_none() {
            self.revoked.set(Some(Instant::now()));
            self.version.set(self.version.get() + 3);
            self.store
                .put_config(&config(self.set, self.version.get(), &["key-ann"]));
        }
    }

    /// Returns whether an engine drains, by its entry or its responses.
    fn is_draining(&self, engine: usize) -> bool {
        self.draining.borrow().contains_key(&engine) || self.announcing.borrow().contains(&engine)
    }

    /// Returns whether an engine may start to drain; at least half of the engines must stay.
    fn may_drain(&self, engine: usize) -> bool {
        let draining = (0..self.engines.len()).filter(|engine| self.is_draining(*engine));
        draining.count() < self.engines.len() / 2 && !self.is_draining(engine)
    }

    /// Drains an engine through its entry, if enough others stay.
    pub fn drain(&self, engine: usize) {
        if self.may_drain(engine) {
            self.write_drain(engine);
        }
    }

    /// Writes the entry of an engine that drains.
    pub fn write_drain(&self, engine: usize) {
        self.store.put_engine(&self.engines[engine], true);
        let until = Instant::now() + DRAIN_BOUND;
        self.draining.borrow_mut().insert(engine, (until, 0));
    }

    /// Deletes an engine's entry while the engine keeps serving, if enough others stay.
    pub fn delete_entry(&self, engine: usize) {
        if self.may_drain(engine) {
            self.store.remove(&format!("servers/{}", self.engines[engine].id));
            self.deleted.borrow_mut().insert(engine);
            let until = Instant::now() + DRAIN_BOUND;
            self.draining.borrow_mut().insert(engine, (until, 0));
        }
    }

    /// Makes an engine announce its drain in its responses, if enough others stay.
    pub fn announce_drain(&self, engine: usize) {
        if self.may_drain(engine) {
            self.engines[engine].leaving.set(true);
            self.announcing.borrow_mut().insert(engine);
        }
    }

    /// Returns the number of process starts of all boxes.
    pub fn starts(&self) -> u32 {
        self.boxes.iter().map(Box::starts).sum()
    }

    /// Records a fault period for one box, or for all when `each` is set.
    pub fn record_fault(&self, at: usize, each: bool, duration: Duration) {
        let from = Instant::now();
        let until = from + duration;
        for (number, fault_periods) in self.fault_periods.borrow_mut().iter_mut().enumerate() {
            if each || number == at {
                fault_periods.push(FaultPeriod {
                    time: from..until,
                    each,
                });
            }
        }
    }

    /// Records a fault period of one box that ends now.
    pub fn record_fault_since(&self, at: usize, from: Instant) {
        self.fault_periods.borrow_mut()[at].push(FaultPeriod {
            time: from..Instant::now(),
            each: false,
        });
    }

    /// Returns whether a box has had no fault for longer than `time`.
    pub fn is_fault_free(&self, at: usize, time: Duration) -> bool {
        let fault_periods = &self.fault_periods.borrow()[at];
        fault_periods
            .iter()
            .all(|period| Instant::now() > period.time.end + time)
    }

    /// Returns whether a box had a fault at `moment`.
    pub fn had_fault(&self, at: usize, moment: Instant) -> bool {
        self.fault_periods.borrow()[at]
            .iter()
            .any(|period| period.time.contains(&moment))
    }

    /// Returns whether a box had a fault between two moments.
    pub fn had_fault_since(&self, at: usize, from: Instant, until: Instant) -> bool {
        let fault_periods = &self.fault_periods.borrow()[at];
        let mut periods = fault_periods.iter().map(|period| &period.time);
        periods.any(|time| time.start <= until && from < time.end)
    }

    /// Returns whether a box had a fault of its own at `moment` or up to `before` earlier.
    pub fn had_own_fault(&self, name: &str, moment: Instant, before: Duration) -> bool {
        let Some(at) = self.boxes.iter().position(|one| one.name == name) else {
            return false;
        };
        let fault_periods = &self.fault_periods.borrow()[at];
        let mut own = fault_periods.iter().filter(|period| !period.each);
        own.any(|FaultPeriod { time, .. }| time.start <= moment && moment < time.end + before)
    }

    /// Restarts an engine unless it drains.
    pub fn restart(&self, engine: usize) {
        if !self.is_draining(engine) {
            self.engines[engine].restart();
        }
    }

    /// Writes an engine's correct entry unless the engine drains.
    pub fn write_entry(&self, engine: usize) {
        if !self.is_draining(engine) {
            self.store.put_engine(&self.engines[engine], false);
        }
    }

    /// Rewrites the configuration, the weights and all engine entries.
    pub fn rewrite_entries(&self) {
        self.store
            .put_config(&config(self.set, self.version.get(), &self.keys()));
        if self.weights.get() > 1 {
            self.store.put_weights(self.weights.get());
        }
        for (at, engine) in self.engines.iter().enumerate() {
            if self.deleted.borrow().contains(&at) {
                self.store.remove(&format!("servers/{}", engine.id));
            } else {
                self.store
                    .put_engine(engine, self.draining.borrow().contains_key(&at));
            }
        }
    }

    /// Overwrites an engine's entry with an invalid one unless the engine drains.
    pub fn corrupt_entry(&self, engine: usize, random: &mut ChaCha8Rng) {
        if self.is_draining(engine) {
            return;
        }
        let key = format!("servers/{}", self.engines[engine].id);
        let mut entry = self.engines[engine].entry("models", "ready");
        match random.random_range(0..5) {
            0 => entry["state"] = "asleep".into(),
            1 => entry["born"] = "today".into(),
            2 => entry["cold_remaining_ms"] = 1e300.into(),
            3 => entry["address"] = Value::Null,
            _ => {
                self.store.put_text(&key, "\u{1}no entry");
                return;
            }
        }
        self.store.put(&key, &entry);
    }

    /// Writes the entries of engines that have loaded other weights, as engines do.
    pub fn write_loaded_weights(&self) {
        for (at, written) in self.written_weights.iter().enumerate() {
            let loaded = self.engines[at].version.get();
            if written.replace(loaded) != loaded {
                self.write_entry(at);
            }
        }
    }

    /// Updates the number of requests that each draining engine has run, until its deadline.
    pub fn track_draining(&self) {
        for (engine, (until, runs)) in self.draining.borrow_mut().iter_mut() {
            if Instant::now() < *until {
                *runs = self.engines[*engine].runs.borrow().len();
            }
        }
    }

    /// Returns whether every box serves a request; starts those whose process has exited.
    pub async fn serves(&self) -> bool {
        for (number, one) in self.boxes.iter().enumerate() {
            if !one.is_running() {
                one.start();
            }
            let Some(address) = one.address() else {
                return false;
            };
            let id = format!("last-{number}-{}", self.began.elapsed().as_millis());
            let bytes = request("POST", "/safe/a", &id, "", "hello");
            let got = callers::ask_once(address, &bytes, PROBE_TIMEOUT).await;
            if got.is_none_or(|got| got.status() != 200) {
                return false;
            }
        }
        true
    }

    /// Returns whether all engines that do not drain have the newest weights.
    pub fn weights_reached(&self) -> bool {
        let all = self.engines.iter().enumerate();
        let stay = all.filter(|(at, _)| !self.is_draining(*at));
        stay.map(|(_, engine)| engine.version.get())
            .all(|version| version == self.weights.get())
    }
}
