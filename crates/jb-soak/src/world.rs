//! Everything that a run is about: stand-ins, boxes, and what was asked.

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

/// Events of a whole stream.
pub const EVENTS: u64 = 6;
/// Time after an engine said that it leaves in which boxes in touch still send to it; with
/// the longest fault on top, since a box that is out of touch is not bound.
const LEAVE: Duration = Duration::from_millis(9000);
/// Longest wait for the answer of a box that serves.
const SERVES: Duration = Duration::from_secs(4);

/// A fault of a box.
#[derive(Clone, Debug)]
struct Disturbance {
    time: Range<Instant>,
    /// Whether it strikes all boxes, as one of the store does.
    each: bool,
}

/// Everything that a run is about.
pub struct World {
    /// Seed.
    pub seed: u64,
    /// Faults that are drawn from.
    pub set: Set,
    /// Store.
    pub store: Rc<Store>,
    /// Engines.
    pub engines: Vec<Rc<Engine>>,
    /// Boxes.
    pub boxes: Vec<Box>,
    /// What was asked.
    pub asked: RefCell<Vec<Asked>>,
    /// Tries of the request that ends engines.
    pub tries: RefCell<Vec<Try>>,
    /// Checks.
    pub checks: RefCell<Checks>,
    /// Whether callers are to stop.
    pub stopped: Cell<bool>,
    /// Version of the configuration.
    pub version: Cell<u64>,
    /// Newest version of the weights.
    pub weights: Cell<u64>,
    /// When a key was taken away.
    pub revoked: Cell<Option<Instant>>,
    /// Engines that leave by their entries: when their time is over, and how much they had run then.
    pub left: RefCell<BTreeMap<usize, (Instant, usize)>>,
    /// Those of them that have no entry.
    vanished: RefCell<BTreeSet<usize>>,
    /// Engines that say in their answers that they leave.
    saying: RefCell<BTreeSet<usize>>,
    /// Callers.
    pub callers: usize,
    /// Rate limits that engines announced.
    pub limits: RefCell<Vec<Limit>>,
    /// Faults of each box.
    disturbed: RefCell<Vec<Vec<Disturbance>>>,
    began: Instant,
    loud: bool,
}

/// A configuration with a route of each kind.
pub fn config(version: u64, keys: &[&str]) -> Value {
    document::config(version, &ROUTES, keys)
}

impl World {
    /// Starts the stand-ins.
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

    /// Prints a line of the timeline.
    pub fn log(&self, what: &str) {
        if self.loud {
            println!("  {:6.2} {what}", self.began.elapsed().as_secs_f64());
        }
    }

    /// Keys that open something.
    pub fn keys(&self) -> Vec<&'static str> {
        if self.revoked.get().is_some() {
            vec!["key-ann"]
        } else {
            vec!["key-ann", "key-cut"]
        }
    }

    /// Box that the store names as the leader.
    pub fn leader(&self) -> Option<&Box> {
        let name = self.store.value("junctionbend/steward/holder")?;
        self.boxes.iter().find(|one| one.name == name)
    }

    /// Releases newer weights.
    pub fn release_weights(&self) {
        self.weights.set(self.weights.get() + 1);
        self.store.put_weights(self.weights.get());
    }

    /// Takes a key away.
    pub fn revoke(&self) {
        if self.revoked.get().is_none() {
            self.revoked.set(Some(Instant::now()));
            self.version.set(self.version.get() + 3);
            self.store.put_config(&config(self.version.get(), &["key-ann"]));
        }
    }

    /// Whether an engine leaves, by whatever word.
    fn leaves(&self, engine: usize) -> bool {
        self.left.borrow().contains_key(&engine) || self.saying.borrow().contains(&engine)
    }

    /// Whether one more engine may leave; at least half of them stay.
    fn may_leave(&self, engine: usize) -> bool {
        let leaving = (0..self.engines.len()).filter(|engine| self.leaves(*engine));
        leaving.count() < self.engines.len() / 2 && !self.leaves(engine)
    }

    /// Lets an engine leave.
    pub fn leave(&self, engine: usize) {
        if self.may_leave(engine) {
            self.store.put_engine(&self.engines[engine], true);
            let until = Instant::now() + LEAVE;
            self.left.borrow_mut().insert(engine, (until, 0));
        }
    }

    /// Takes an engine's entry away, though it serves on.
    pub fn vanish(&self, engine: usize) {
        if self.may_leave(engine) {
            self.store.remove(&format!("servers/{}", self.engines[engine].id));
            self.vanished.borrow_mut().insert(engine);
            let until = Instant::now() + LEAVE;
            self.left.borrow_mut().insert(engine, (until, 0));
        }
    }

    /// Lets an engine say in its answers that it leaves.
    pub fn say(&self, engine: usize) {
        if self.may_leave(engine) {
            self.engines[engine].leaving.set(true);
            self.saying.borrow_mut().insert(engine);
        }
    }

    /// How often boxes were started.
    pub fn starts(&self) -> u32 {
        self.boxes.iter().map(Box::starts).sum()
    }

    /// Notes that a box, or each one, has a fault for a while.
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

    /// Whether a box has had no fault for so long.
    pub fn is_calm(&self, at: usize, time: Duration) -> bool {
        let disturbed = &self.disturbed.borrow()[at];
        disturbed
            .iter()
            .all(|disturbance| Instant::now() > disturbance.time.end + time)
    }

    /// Whether a box had a fault at a moment.
    pub fn was_disturbed(&self, at: usize, moment: Instant) -> bool {
        self.disturbed.borrow()[at]
            .iter()
            .any(|disturbance| disturbance.time.contains(&moment))
    }

    /// Whether a box had a fault of its own at a moment, or right before.
    pub fn was_halted(&self, name: &str, moment: Instant, before: Duration) -> bool {
        let Some(at) = self.boxes.iter().position(|one| one.name == name) else {
            return false;
        };
        let disturbed = &self.disturbed.borrow()[at];
        let mut own = disturbed.iter().filter(|disturbance| !disturbance.each);
        own.any(|Disturbance { time, .. }| time.start <= moment && moment < time.end + before)
    }

    /// Starts an engine again, unless it is to leave.
    pub fn restart(&self, engine: usize) {
        if !self.leaves(engine) {
            self.engines[engine].restart();
        }
    }

    /// Writes an engine's entry as it should be, unless it leaves.
    pub fn write_entry(&self, engine: usize) {
        if !self.leaves(engine) {
            self.store.put_engine(&self.engines[engine], false);
        }
    }

    /// Writes everything of the operator and the engines again.
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

    /// Writes an entry that cannot be read in place of an engine's, unless it leaves.
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

    /// Notes how much each leaving engine had run when its time was over.
    pub fn watch_leaving(&self) {
        for (engine, (until, runs)) in self.left.borrow_mut().iter_mut() {
            if Instant::now() < *until {
                *runs = self.engines[*engine].runs.borrow().len();
            }
        }
    }

    /// Whether every box serves.
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
            let got = callers::ask_once(address, &bytes, SERVES).await;
            if got.is_none_or(|got| got.status() != 200) {
                return false;
            }
        }
        true
    }

    /// Whether all engines that stay have the newest weights.
    pub fn weights_reached(&self) -> bool {
        let all = self.engines.iter().enumerate();
        let stay = all.filter(|(at, _)| !self.leaves(*at));
        stay.map(|(_, engine)| engine.version.get())
            .all(|version| version == self.weights.get())
    }
}
