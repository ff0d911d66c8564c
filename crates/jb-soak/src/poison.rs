//! Callers whose request crashes each engine that starts to run it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::request;
use jb_site_fakes::document::MODEL_HEADERS;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::{Request, ask_once};
use crate::checks::{Checks, Promise};
use crate::world::World;

/// Body of the request that crashes engines.
pub const CRASH_BODY: &str = "deadly";
/// Number of callers that send the request.
pub const CALLERS: u64 = 2;
/// Pause between two attempts of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a fault after which a box is expected to act on what other boxes know.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of engine crashes after which the request is known to be dangerous.
const KNOWN_AFTER_CRASHES: usize = 3;
/// Number of sends that are allowed after that.
const MAX_SENDS_ONCE_KNOWN: usize = 3;
/// Time after which a crashed engine is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One attempt to send the request.
#[derive(Debug)]
pub struct PoisonAttempt {
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
        sleep(REQUEST_INTERVAL).await;
        let at = random.random_range(0..world.boxes.len());
        count += 1;
        let sent_request = Request {
            id: format!("d{number}-{count}"),
            path: "/resume/a",
            key: "key-ann",
            at,
            starts: world.boxes[at].starts(),
            sent: Instant::now(),
        };
        let in_touch = world.is_fault_free(at, CONTACT);
        let bytes = request(
            "POST",
            sent_request.path,
            &sent_request.id,
            MODEL_HEADERS,
            CRASH_BODY,
        );
        let got = match world.boxes[at].address() {
            Some(address) => ask_once(address, &bytes, RESPONSE_TIMEOUT).await,
            None => None,
        };
        world.poison_attempts.borrow_mut().push(PoisonAttempt {
            id: sent_request.id.clone(),
            sent: sent_request.sent,
            in_touch,
        });
        world.exchanges.borrow_mut().push(sent_request.end(got.as_ref()));
    }
}

/// Restarts crashed engines and writes their entries.
pub async fn restart_crashed(world: Rc<World>) {
    while !world.stopped.get() {
        sleep(POLL_INTERVAL).await;
        for (number, engine) in world.engines.iter().enumerate() {
            let last = engine.crash_times.borrow().last().copied();
            let due = last.is_some_and(|at| at.elapsed() > RESTART_DELAY);
            if engine.has_ended() && due {
                engine.relaunch().await;
                world.write_entry(number);
            }
        }
    }
}

/// Checks that the request reached few engines once three had crashed.
pub fn check(world: &World, checks: &mut Checks) {
    let mut crashes: Vec<Instant> = Vec::new();
    for engine in &world.engines {
        crashes.extend(engine.crash_times.borrow().iter());
    }
    crashes.sort_unstable();
    world.log(&format!("{} engines crashed under one request", crashes.len()));
    let Some(third) = crashes.get(KNOWN_AFTER_CRASHES - 1).copied() else {
        return;
    };
    let ran: Vec<String> = world.engines.iter().flat_map(|engine| engine.ran()).collect();
    let poison_attempts = world.poison_attempts.borrow();
    let bound: Vec<&PoisonAttempt> = poison_attempts
        .iter()
        .filter(|one| one.in_touch && one.sent > third + CONTACT)
        .collect();
    let arrived = |one: &&PoisonAttempt| ran.iter().filter(|id| **id == one.id).count();
    let more: usize = bound.iter().map(arrived).sum();
    for _ in &bound {
        checks.check(Promise::Poison, more <= MAX_SENDS_ONCE_KNOWN, || {
            format!("{more} more sends; {} engines crashed in total", crashes.len())
        });
    }
}
