//! One run of the soak.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::store::Behavior;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers;
use crate::changes;
use crate::checks::{Checks, Promise};
use crate::crowd;
use crate::cuts;
use crate::faults::{self, Set};
use crate::lag;
use crate::limits;
use crate::poison;
use crate::restores;
use crate::retries;
use crate::signals;
use crate::silence;
use crate::stops;
use crate::versions;
use crate::world::World;
use jb_site_fakes::proxy::Link;

/// Time after a key's revocation within which boxes may still accept it.
const REVOCATION_BOUND: Duration = Duration::from_millis(5000);
/// Maximum time until all boxes serve again after the last fault.
const RECOVERY: Duration = Duration::from_secs(40);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Callers for each one of the plan where brittle engines are among the faults: more than the engines have slots.
const CALLERS_PER_CALLER: u64 = 5;

/// Size and length of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of callers.
    pub callers: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Share of a core that each box gets.
    pub share: f64,
    /// Set of faults to draw from.
    pub set: Set,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            boxes: 3,
            engines: 4,
            callers: 8,
            duration: Duration::from_secs(10),
            share: 1.0,
            set: Set::All,
        }
    }
}

/// Plays one run and returns the results of its checks; `loud` prints the timeline.
pub async fn play(plan: Plan, program: &Path, folder: &Path, verbose: bool) -> Checks {
    let world = World::new(&plan, program, folder, verbose).await;
    for one in &world.boxes {
        one.start();
    }
    recover(&world).await;
    let callers = match plan.set {
        Set::Cuts => CALLERS_PER_CALLER * plan.callers,
        Set::Versions => versions::CALLERS_PER_CALLER * plan.callers,
        set if set.plans_stops() => stops::CALLERS_PER_CALLER * plan.callers,
        _ => plan.callers,
    };
    let callers: Vec<_> = (0..callers)
        .map(|n| spawn_local(callers::run(Rc::clone(&world), n + 1)))
        .collect();
    if matches!(plan.set, Set::Poison | Set::Segments) {
        for number in 0..poison::CALLERS {
            spawn_local(poison::send(Rc::clone(&world), number + 1));
        }
        spawn_local(poison::restart_crashed(Rc::clone(&world)));
    }
    if plan.share < 1.0 {
        for at in 0..plan.boxes {
            spawn_local(lag::run_for_share(Rc::clone(&world), at, plan.share));
        }
    }
    if plan.set == Set::Versions {
        spawn_local(versions::sample(Rc::clone(&world)));
    }
    if plan.set == Set::Changes {
        spawn_local(changes::publish(Rc::clone(&world)));
        for number in 0..changes::PROBERS {
            spawn_local(changes::probe(Rc::clone(&world), number + 1));
        }
    }
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let end = Instant::now() + plan.duration;
    let mut faults = Vec::new();
    while Instant::now() < end {
        faults.push(spawn_local(faults::inject(
            Rc::clone(&world),
            ChaCha8Rng::from_rng(&mut random),
        )));
        // Faults start without waiting for earlier ones, so that they overlap.
        let rare = match plan.set {
            Set::Poison => 4,
            // Boxes earn retries between two faults.
            Set::Retries => 3,
            // Some boxes stay.
            Set::Stops | Set::Lag | Set::Silence => 3,
            Set::Cuts | Set::Segments | Set::Changes => 2,
            _ => 1,
        };
        let pause = rare * Duration::from_millis(random.random_range(50..1200));
        let next = Instant::now() + pause;
        while Instant::now() < next {
            world.track_draining();
            if plan.set == Set::Cuts {
                world.write_loaded_weights();
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    for fault in faults {
        fault.await.expect("a fault");
    }
    world.store.behavior.set(Behavior::Healthy);
    world.boxes.iter().for_each(|one| one.link(Link::Well));
    // Under more load than the engines bear, a box that serves isn't told from one that doesn't.
    world.stopped.set(plan.set.plans_stops());
    let recovered = recover(&world).await;
    world.stopped.set(true);
    for caller in callers {
        caller.await.expect("a caller");
    }
    world.track_draining();
    let mut checks = world.checks.take();
    checks.check(Promise::Recovery, recovered, || {
        "not all boxes serve after the last fault".to_owned()
    });
    check_records(&world, &mut checks);
    poison::check(&world, &mut checks);
    crowd::check(&world, &mut checks);
    signals::check(&world, &mut checks);
    limits::check(&world, &mut checks);
    cuts::check(&world, &mut checks);
    versions::check(&world, &mut checks);
    changes::check(&world, &mut checks);
    restores::check(&world, &mut checks);
    retries::check(&world, &mut checks);
    stops::check(&world, &mut checks);
    silence::check(&world, &mut checks);
    checks
}

/// Waits until every box serves and the engines have the newest weights; returns `false` on time-out.
async fn recover(world: &World) -> bool {
    let until = Instant::now() + RECOVERY;
    // Each faulty response of an engine is used up by one request, so polling gets past them.
    while Instant::now() < until {
        world.track_draining();
        if world.serves().await && world.weights_reached() {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Checks the promises that need the records of the whole run.
fn check_records(world: &World, checks: &mut Checks) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for engine in &world.engines {
        for id in engine.ran() {
            *runs.entry(id).or_default() += 1;
        }
    }
    for exchange in world.exchanges.borrow().iter() {
        let ran = runs.get(&exchange.request.id).copied().unwrap_or(0);
        let once = exchange.request.path.starts_with("/once") || exchange.request.path.starts_with("/stream");
        if once {
            checks.check(Promise::Once, ran <= 1, || {
                format!("{} ran {ran} times", exchange.request.id)
            });
        }
        if matches!(exchange.status, Some(503 | 429 | 408 | 421)) {
            let what = || {
                format!(
                    "{} was rejected with {:?} but ran {ran} times",
                    exchange.request.id, exchange.status
                )
            };
            checks.check(Promise::NotRun, ran == 0, what);
        }
        let dead = world.revoked.get().is_some_and(|at| {
            exchange.request.key == "key-cut" && exchange.request.sent > at + REVOCATION_BOUND
        });
        if dead {
            checks.check(Promise::Revoked, ran == 0, || {
                format!("{} ran with a revoked key", exchange.request.id)
            });
        }
    }
    for (engine, (until, before)) in world.draining.borrow().iter() {
        let after = world.engines[*engine].runs.borrow().len();
        if Instant::now() > *until {
            checks.check(Promise::Leaving, after == *before, || {
                format!(
                    "engine {engine} ran {} more requests after its drain bound",
                    after - before
                )
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
