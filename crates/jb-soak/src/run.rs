//! One run of the soak.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::request;
use jb_site_fakes::document::{self, ROUTES};
use jb_site_fakes::engine::Engine;
use jb_site_fakes::store::{Mood, Store};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::boxes::Box;
use crate::callers::{self, Asked};
use crate::checks::{Checks, Promise};
use crate::faults::{self, Set};
use crate::poison::{self, Try};
use crate::proxy::Link;
use crate::words;

/// Events of a whole stream.
pub const EVENTS: u64 = 6;
/// Time after a key was taken away in which it may still open something.
const REVOKE: Duration = Duration::from_millis(5000);
/// Time after an engine said that it leaves in which boxes in touch still send to it; with
/// the longest fault on top, since a box that is out of touch is not bound.
const LEAVE: Duration = Duration::from_millis(9000);
/// Longest wait for everything to be well again after the last fault.
const RECOVERY: Duration = Duration::from_secs(40);
/// Longest wait for the answer of a box that serves.
const SERVES: Duration = Duration::from_secs(4);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Size and length of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Boxes.
    pub boxes: usize,
    /// Engines.
    pub engines: usize,
    /// Callers.
    pub callers: u64,
    /// Time in which faults happen.
    pub lasts: Duration,
    /// Faults that are drawn from.
    pub set: Set,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            boxes: 3,
            engines: 4,
            callers: 8,
            lasts: Duration::from_secs(10),
            set: Set::All,
        }
    }
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
    revoked: Cell<Option<Instant>>,
    left: RefCell<BTreeMap<usize, (Instant, usize)>>,
    /// Engines that say in their answers that they leave.
    saying: RefCell<BTreeSet<usize>>,
    /// Callers.
    pub callers: usize,
    /// Until when each box has a fault.
    disturbed: RefCell<Vec<Instant>>,
    began: Instant,
    loud: bool,
}

/// A configuration with a route of each kind.
pub fn config(version: u64, keys: &[&str]) -> Value {
    document::config(version, &ROUTES, keys)
}

impl World {
    async fn new(plan: &Plan, program: &Path, folder: &Path, loud: bool) -> Rc<Self> {
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
                engine.deadly.replace(Some(poison::DEADLY.to_owned()));
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
            disturbed: RefCell::new(vec![Instant::now(); plan.boxes]),
            checks: RefCell::default(),
            stopped: Cell::default(),
            version: Cell::new(1),
            weights: Cell::new(1),
            revoked: Cell::default(),
            left: RefCell::default(),
            saying: RefCell::default(),
            callers: plan.callers as usize,
            began: Instant::now(),
            loud,
        })
    }

    /// Prints a line of the timeline.
    pub fn tell(&self, what: &str) {
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
        let until = Instant::now() + lasts;
        for (number, disturbed) in self.disturbed.borrow_mut().iter_mut().enumerate() {
            if each || number == at {
                *disturbed = until.max(*disturbed);
            }
        }
    }

    /// Whether a box has had no fault for so long.
    pub fn is_calm(&self, at: usize, time: Duration) -> bool {
        Instant::now() > self.disturbed.borrow()[at] + time
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
    fn watch_leaving(&self) {
        for (engine, (until, runs)) in self.left.borrow_mut().iter_mut() {
            if Instant::now() < *until {
                *runs = self.engines[*engine].runs.borrow().len();
            }
        }
    }

    /// Whether every box serves.
    async fn serves(&self) -> bool {
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

    fn weights_reached(&self) -> bool {
        let all = self.engines.iter().enumerate();
        let stay = all.filter(|(at, _)| !self.leaves(*at));
        stay.map(|(_, engine)| engine.version.get())
            .all(|version| version == self.weights.get())
    }
}

/// Plays one run; its checks tell how it went.
pub async fn play(plan: Plan, program: &Path, folder: &Path, loud: bool) -> Checks {
    let world = World::new(&plan, program, folder, loud).await;
    for one in &world.boxes {
        one.start();
    }
    recover(&world).await;
    let callers: Vec<_> = (0..plan.callers)
        .map(|n| spawn_local(callers::run(Rc::clone(&world), n + 1)))
        .collect();
    if plan.set == Set::Poison {
        for number in 0..poison::CALLERS {
            spawn_local(poison::send(Rc::clone(&world), number + 1));
        }
        spawn_local(poison::revive(Rc::clone(&world)));
    }
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let end = Instant::now() + plan.lasts;
    let mut faults = Vec::new();
    while Instant::now() < end {
        faults.push(spawn_local(faults::happen(
            Rc::clone(&world),
            ChaCha8Rng::from_rng(&mut random),
        )));
        // Faults come in series and overlap.
        let rare = if plan.set == Set::Poison { 4 } else { 1 };
        let pause = rare * Duration::from_millis(random.random_range(50..1200));
        let next = Instant::now() + pause;
        while Instant::now() < next {
            world.watch_leaving();
            sleep(LOOK).await;
        }
    }
    for fault in faults {
        fault.await.expect("a fault");
    }
    world.store.mood.set(Mood::Well);
    world.boxes.iter().for_each(|one| one.link(Link::Well));
    let recovered = recover(&world).await;
    world.stopped.set(true);
    for caller in callers {
        caller.await.expect("a caller");
    }
    world.watch_leaving();
    let mut checks = world.checks.take();
    checks.check(Promise::Recovery, recovered, || {
        "not all boxes serve after the last fault".to_owned()
    });
    at_the_end(&world, &mut checks);
    poison::check(&world, &mut checks);
    words::check(&world, &mut checks);
    checks
}

/// Waits until every box serves and the engines have the newest weights.
async fn recover(world: &World) -> bool {
    let until = Instant::now() + RECOVERY;
    // A spoiled engine spoils only what it was told to.
    while Instant::now() < until {
        world.watch_leaving();
        if world.serves().await && world.weights_reached() {
            return true;
        }
        sleep(LOOK).await;
    }
    false
}

/// Checks what only the whole run tells.
fn at_the_end(world: &World, checks: &mut Checks) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for engine in &world.engines {
        for id in engine.ran() {
            *runs.entry(id).or_default() += 1;
        }
    }
    for asked in world.asked.borrow().iter() {
        let ran = runs.get(&asked.id).copied().unwrap_or(0);
        let once = asked.path.starts_with("/once") || asked.path.starts_with("/stream");
        if once {
            checks.check(Promise::Once, ran <= 1, || {
                format!("{} ran {ran} times", asked.id)
            });
        }
        if matches!(asked.status, Some(503 | 429 | 408 | 421)) {
            let what = || {
                format!(
                    "{} was refused with {:?} and ran {ran} times",
                    asked.id, asked.status
                )
            };
            checks.check(Promise::NotRun, ran == 0, what);
        }
        let dead = world
            .revoked
            .get()
            .is_some_and(|at| asked.key == "key-cut" && asked.sent > at + REVOKE);
        if dead {
            checks.check(Promise::Revoked, ran == 0, || {
                format!("{} ran with a key that was gone", asked.id)
            });
        }
    }
    for (engine, (until, before)) in world.left.borrow().iter() {
        let after = world.engines[*engine].runs.borrow().len();
        if Instant::now() > *until {
            checks.check(Promise::Leaving, after == *before, || {
                format!("engine {engine} ran {} more", after - before)
            });
        }
    }
    for engine in &world.engines {
        let orders = engine.orders.borrow();
        for pair in orders.windows(2) {
            let rises = pair[0]["fence"].as_u64() <= pair[1]["fence"].as_u64();
            checks.check(Promise::Fence, rises, || {
                format!("{}: {} before {}", engine.id, pair[0], pair[1])
            });
        }
    }
    checks.check(Promise::Weights, world.weights_reached(), || {
        "an engine has older weights".to_owned()
    });
}
