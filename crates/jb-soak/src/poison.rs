//! Callers whose request ends each engine that begins to run it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::request;
use jb_site_fakes::document::MODEL_HEADERS;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::{Asking, ask_once};
use crate::checks::{Checks, Promise};
use crate::world::World;

/// Body of the request.
pub const DEADLY: &str = "deadly";
/// Callers that send it.
pub const CALLERS: u64 = 2;
/// Pause between two tries of one caller.
const PAUSE: Duration = Duration::from_millis(400);
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time without a fault after which a box is bound to what others know.
const CONTACT: Duration = Duration::from_secs(3);
/// Engines after whose end the request is known.
const KNOWN: usize = 3;
/// Sends that are allowed after that.
const MORE: usize = 3;
/// Time after which an engine that has ended is back.
const DOWN: Duration = Duration::from_millis(1500);
const LOOK: Duration = Duration::from_millis(50);

/// One try.
#[derive(Debug)]
pub struct Try {
    id: String,
    sent: Instant,
    /// Whether its box had had no fault for a while.
    in_touch: bool,
}

/// Sends it until the world stops.
pub async fn send(world: Rc<World>, number: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(world.seed ^ (number << 48));
    let mut count = 0;
    while !world.stopped.get() {
        sleep(PAUSE).await;
        let at = random.random_range(0..world.boxes.len());
        count += 1;
        let asking = Asking {
            id: format!("d{number}-{count}"),
            path: "/resume/a",
            key: "key-ann",
            at,
            starts: world.boxes[at].starts(),
            sent: Instant::now(),
        };
        let in_touch = world.is_calm(at, CONTACT);
        let bytes = request("POST", asking.path, &asking.id, MODEL_HEADERS, DEADLY);
        let got = match world.boxes[at].address() {
            Some(address) => ask_once(address, &bytes, PATIENCE).await,
            None => None,
        };
        world.tries.borrow_mut().push(Try {
            id: asking.id.clone(),
            sent: asking.sent,
            in_touch,
        });
        world.asked.borrow_mut().push(asking.end(got.as_ref()));
    }
}

/// Starts engines that have ended again, and writes their entries.
pub async fn revive(world: Rc<World>) {
    while !world.stopped.get() {
        sleep(LOOK).await;
        for (number, engine) in world.engines.iter().enumerate() {
            let last = engine.crash_times.borrow().last().copied();
            let due = last.is_some_and(|at| at.elapsed() > DOWN);
            if engine.has_ended() && due {
                engine.relaunch().await;
                world.write_entry(number);
            }
        }
    }
}

/// Checks that the request reached few engines once three had ended.
pub fn check(world: &World, checks: &mut Checks) {
    let mut deaths: Vec<Instant> = Vec::new();
    for engine in &world.engines {
        deaths.extend(engine.crash_times.borrow().iter());
    }
    deaths.sort_unstable();
    world.log(&format!("{} engines ended under one request", deaths.len()));
    let Some(third) = deaths.get(KNOWN - 1).copied() else {
        return;
    };
    let ran: Vec<String> = world.engines.iter().flat_map(|engine| engine.ran()).collect();
    let tries = world.tries.borrow();
    let bound: Vec<&Try> = tries
        .iter()
        .filter(|one| one.in_touch && one.sent > third + CONTACT)
        .collect();
    let arrived = |one: &&Try| ran.iter().filter(|id| **id == one.id).count();
    let more: usize = bound.iter().map(arrived).sum();
    for _ in &bound {
        checks.check(Promise::Poison, more <= MORE, || {
            format!("{more} more sends; {} engines ended in all", deaths.len())
        });
    }
}
