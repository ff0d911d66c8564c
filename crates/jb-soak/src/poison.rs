//! Callers whose request crashes each engine that starts to run it.

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

/// Body of the request that crashes engines.
pub const DEADLY: &str = "deadly";
/// Number of callers that send the request.
pub const CALLERS: u64 = 2;
/// Pause between two attempts of one caller.
const PAUSE: Duration = Duration::from_millis(400);
/// Maximum wait for a response.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time without a fault after which a box is expected to act on what other boxes know.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of engine crashes after which the request is known to be dangerous.
const KNOWN: usize = 3;
/// Number of sends that are allowed after that.
const MORE: usize = 3;
/// Time after which a crashed engine is restarted.
const DOWN: Duration = Duration::from_millis(1500);
const LOOK: Duration = Duration::from_millis(50);

/// One attempt to send the request.
#[derive(Debug)]
pub struct Try {
    id: String,
    sent: Instant,
    /// Whether its box had been free of faults for [`CONTACT`].
    in_touch: bool,
}

/// Sends the request until the run stops.
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

/// Restarts crashed engines and writes their entries.
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

/// Checks that the request reached few engines once three had crashed.
pub fn check(world: &World, checks: &mut Checks) {
    let mut deaths: Vec<Instant> = Vec::new();
    for engine in &world.engines {
        deaths.extend(engine.crash_times.borrow().iter());
    }
    deaths.sort_unstable();
    world.log(&format!("{} engines crashed under one request", deaths.len()));
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
            format!("{more} more sends; {} engines crashed in total", deaths.len())
        });
    }
}
