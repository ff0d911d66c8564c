//! The state of a run: fake store and engines, boxes, and the requests that were sent.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::request;
use jb_site_fakes::document::{self, ROUTES};
use jb_site_fakes::engine::Engine;
use jb_site_fakes::store::Store;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::boxes::Box;
use crate::callers::{self, Asked};
use crate::checks::Checks;
use crate::faults::Set;
use crate::limits::Limit;
use crate::poison::{self, Try};
use crate::run::Plan;

/// Number of events in a complete stream.
pub const EVENTS: u64 = 6;
/// Time after the start of an engine's drain within which boxes may still send to it. It includes
/// the longest fault, since a box that is cut off from the store is not bound.
const DRAIN_BOUND: Duration = Duration::from_millis(9000);
/// Maximum wait for the response of a box that serves.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);

/// A period in which a box has a fault.
#[derive(Clone, Debug)]
struct Disturbance {
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
    /// Requests that were sent, with their outcomes.
    pub asked: RefCell<Vec<Asked>>,
    /// Attempts of the request that crashes engines.
    pub tries: RefCell<Vec<Try>>,
    /// Results of the checks so far.
    pub checks: RefCell<Checks>,
    /// Set when callers must stop.
    pub stopped: Cell<bool>,
    /// Current version of the configuration.
    pub version: Cell<u64>,
    /// Newest version of the weights.
    pub weights: Cell<u64>,
    /// When a key was revoked; `None` before that.
    pub revoked: Cell<Option<Instant>>,
    /// Engines that drain by their entries, by index: the deadline of the drain, and the number of
    /// requests that had run by then.
    pub left: RefCell<BTreeMap<usize, (Instant, usize)>>,
    /// Engines of `left` whose entry was deleted.
    vanished: RefCell<BTreeSet<usize>>,
    /// Engines that announce their drain in their responses.
    saying: RefCell<BTreeSet<usize>>,
    /// Number of callers.
    pub callers: usize,
    /// Rate limits that engines announced.
    pub limits: RefCell<Vec<Limit>>,
    /// Fault periods of each box.
    disturbed: RefCell<Vec<Vec<Disturbance>>>,
    began: Instant,
    loud: bool,
}

/// Returns a configuration with one route of each kind.
pub fn config(version: u64, keys: &[&str]) -> Value {
    document::config(version, &ROUTES, keys)
}

impl World {
    /// Starts the fake store and engines and creates the boxes, which are not started yet.
    pub async fn new(plan: &Plan, program: &Path, folder: &Path, loud: bool) -> Rc<Self> {
        let store = Store::start().await;
        store.put_config(&config(1, &["key-ann", "key-cut"]));
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            let engine = Engine::start(&format!("engine-{number}")).await;
            engine.events.set(EVENTS);
            if plan.set != Set::First {
                engine.restart();
            }
            if plan.set == Set::Poison {
                engine.crash_body.replace(Some(poison::DEADLY.to_owned()));
            }
            store.put_engine(&engine, false);
            engines.push(engine);
        }
        let mut boxes = Vec::new();
        for number in 0..plan.boxes {
            boxes.push(Box::new(number, program, folder, store.address).await);
        }
        Rc::new(Self {
            seed: plan.seed,
            set: plan.set,
            store,
            engines,
            boxes,
            asked: RefCell::default(),
            tries: RefCell::default(),
            limits: RefCell::default(),
            disturbed: RefCell::new(vec![Vec::new(); plan.boxes]),
            checks: RefCell::default(),
            stopped: Cell::default(),
            version: Cell::new(1),
            weights: Cell::new(1),
            revoked: Cell::default(),
            left: RefCell::default(),
            vanished: RefCell::default(),
            saying: RefCell::default(),
            callers: plan.callers as usize,
            began: Instant::now(),
            loud,
        })
    }

    /// Prints a line of the timeline if the run is loud.
    pub fn log(&self, what: &str) {
        if self.loud {
            println!("  {:6.2} {what}", self.began.elapsed().as_secs_f64());
        }
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
            self.store.put_config(&config(self.version.get(), &["key-ann"]));
        }
    }

    /// Returns whether an engine drains, by its entry or its responses.
    fn leaves(&self, engine: usize) -> bool {
        self.left.borrow().contains_key(&engine) || self.saying.borrow().contains(&engine)
    }

    /// Returns whether an engine may start to drain; at least half of the engines must stay.
    fn may_leave(&self, engine: usize) -> bool {
        let leaving = (0..self.engines.len()).filter(|engine| self.leaves(*engine));
        leaving.count() < self.engines.len() / 2 && !self.leaves(engine)
    }

    /// Drains an engine through its entry, if enough others stay.
    pub fn leave(&self, engine: usize) {
        if self.may_leave(engine) {
            self.store.put_engine(&self.engines[engine], true);
            let until = Instant::now() + DRAIN_BOUND;
            self.left.borrow_mut().insert(engine, (until, 0));
        }
    }

    /// Deletes an engine's entry while the engine keeps serving, if enough others stay.
    pub fn vanish(&self, engine: usize) {
        if self.may_leave(engine) {
            self.store.remove(&format!("servers/{}", self.engines[engine].id));
            self.vanished.borrow_mut().insert(engine);
            let until = Instant::now() + DRAIN_BOUND;
            self.left.borrow_mut().insert(engine, (until, 0));
        }
    }

    /// Makes an engine announce its drain in its responses, if enough others stay.
    pub fn say(&self, engine: usize) {
        if self.may_leave(engine) {
            self.engines[engine].leaving.set(true);
            self.saying.borrow_mut().insert(engine);
        }
    }

    /// Returns the number of process starts of all boxes.
    pub fn starts(&self) -> u32 {
        self.boxes.iter().map(Box::starts).sum()
    }

    /// Records a fault period for one box, or for all when `each` is set.
    pub fn disturb(&self, at: usize, each: bool, lasts: Duration) {
        let from = Instant::now();
        let until = from + lasts;
        for (number, disturbed) in self.disturbed.borrow_mut().iter_mut().enumerate() {
            if each || number == at {
                disturbed.push(Disturbance {
                    time: from..until,
                    each,
                });
            }
        }
    }

    /// Returns whether a box has had no fault for longer than `time`.
    pub fn is_calm(&self, at: usize, time: Duration) -> bool {
        let disturbed = &self.disturbed.borrow()[at];
        disturbed
            .iter()
            .all(|disturbance| Instant::now() > disturbance.time.end + time)
    }

    /// Returns whether a box had a fault at `moment`.
    pub fn was_disturbed(&self, at: usize, moment: Instant) -> bool {
        self.disturbed.borrow()[at]
            .iter()
            .any(|disturbance| disturbance.time.contains(&moment))
    }

    /// Returns whether a box had a fault of its own at `moment` or up to `before` earlier.
    pub fn was_halted(&self, name: &str, moment: Instant, before: Duration) -> bool {
        let Some(at) = self.boxes.iter().position(|one| one.name == name) else {
            return false;
        };
        let disturbed = &self.disturbed.borrow()[at];
        let mut own = disturbed.iter().filter(|disturbance| !disturbance.each);
        own.any(|Disturbance { time, .. }| time.start <= moment && moment < time.end + before)
    }

    /// Restarts an engine unless it drains.
    pub fn restart(&self, engine: usize) {
        if !self.leaves(engine) {
            self.engines[engine].restart();
        }
    }

    /// Writes an engine's correct entry unless the engine drains.
    pub fn write_entry(&self, engine: usize) {
        if !self.leaves(engine) {
            self.store.put_engine(&self.engines[engine], false);
        }
    }

    /// Rewrites the configuration, the weights and all engine entries.
    pub fn write_again(&self) {
        self.store.put_config(&config(self.version.get(), &self.keys()));
        if self.weights.get() > 1 {
            self.store.put_weights(self.weights.get());
        }
        for (at, engine) in self.engines.iter().enumerate() {
            if self.vanished.borrow().contains(&at) {
                self.store.remove(&format!("servers/{}", engine.id));
            } else {
                self.store
                    .put_engine(engine, self.left.borrow().contains_key(&at));
            }
        }
    }

    /// Overwrites an engine's entry with an invalid one unless the engine drains.
    pub fn scribble(&self, engine: usize, random: &mut ChaCha8Rng) {
        if self.leaves(engine) {
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

    /// Updates the number of requests that each draining engine has run, until its deadline.
    pub fn watch_leaving(&self) {
        for (engine, (until, runs)) in self.left.borrow_mut().iter_mut() {
            if Instant::now() < *until {
                *runs = self.engines[*engine].runs.borrow().len();
            }
        }
    }

    /// Returns whether every box serves a request; starts those whose process has exited.
    pub async fn serves(&self) -> bool {
        for (number, one) in self.boxes.iter().enumerate() {
            if !one.runs() {
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
        let stay = all.filter(|(at, _)| !self.leaves(*at));
        stay.map(|(_, engine)| engine.version.get())
            .all(|version| version == self.weights.get())
    }
}
