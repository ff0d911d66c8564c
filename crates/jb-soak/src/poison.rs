//! Callers whose request crashes each engine that starts to run it, or whose requests, no two alike, do so by a segment
//! that their prompts share.

use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::request;
use jb_site_fakes::document::MODEL_HEADERS;
use jb_site_fakes::engine::{CrashPoint, Engine};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::{Exchange, Request, ask_once};
use crate::checks::{Checks, Promise};
use crate::faults::Set;
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
/// Number of engine crashes after which a request is known to be dangerous.
const REQUEST_KNOWN_AFTER: usize = 3;
/// The same for a segment.
const SEGMENT_KNOWN_AFTER: usize = 5;
/// Segment that crashes engines. All other segments of its prompts are those of sound ones.
const CRASH_SEGMENT: &str = "dead";
/// How far a response gets whose prompt has it, in turn.
const CRASH_POINTS: [CrashPoint; 3] = [CrashPoint::Head, CrashPoint::Nothing, CrashPoint::WithinEvent];
/// Number of sound requests from which on their share is checked.
const MIN_SOUND: usize = 20;
/// Number of sends that are allowed after that.
const MAX_SENDS_ONCE_KNOWN: usize = 3;
/// Time after which a crashed engine is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Makes an engine crash under the segment.
pub fn crash_under_segment(engine: &Engine) {
    engine.crash_segments.replace(vec![CRASH_SEGMENT.to_owned()]);
    engine.crash_points.replace(CRASH_POINTS.to_vec());
}

/// Returns a request that crashes engines.
fn message(set: Set, path: &str, id: &str) -> String {
    if set != Set::Segments {
        return request("POST", path, id, MODEL_HEADERS, CRASH_BODY);
    }
    let own = id.replace(['d', '-'], "");
    let headers = MODEL_HEADERS.replace("c3:40", &format!("{CRASH_SEGMENT}:300,{own}:40"));
    request("POST", path, id, &headers, &format!("body of {id}"))
}

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
        let bytes = message(world.set, sent_request.path, &sent_request.id);
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

/// Checks that at least half of the sound requests were served since a time, as all of them share the customer and the
/// first segment with those that crash engines.
fn check_sound(world: &World, from: Instant, checks: &mut Checks) {
    let exchanges = world.exchanges.borrow();
    let is_counted = |one: &&Exchange| {
        let sent = one.request.sent;
        let is_sound = !one.request.id.starts_with('d') && one.request.path.starts_with("/resume");
        is_sound && sent > from && !world.had_fault_since(one.request.at, sent - CONTACT, one.ended)
    };
    let sound: Vec<&Exchange> = exchanges.iter().filter(is_counted).collect();
    let served = sound.iter().filter(|one| one.status == Some(200)).count();
    if sound.len() >= MIN_SOUND {
        checks.check(Promise::Sound, 2 * served >= sound.len(), || {
            format!("{served} of {} sound requests were served", sound.len())
        });
    }
}

/// Checks that the requests reached few engines once some had crashed.
pub fn check(world: &World, checks: &mut Checks) {
    let mut crashes: Vec<Instant> = Vec::new();
    for engine in &world.engines {
        crashes.extend(engine.crash_times.borrow().iter());
    }
    crashes.sort_unstable();
    world.log(&format!("{} crashes of engines", crashes.len()));
    let known_after = match world.set {
        Set::Segments => SEGMENT_KNOWN_AFTER,
        _ => REQUEST_KNOWN_AFTER,
    };
    let Some(known) = crashes.get(known_after - 1).copied() else {
        return;
    };
    if world.set == Set::Segments {
        check_sound(world, known + 2 * CONTACT, checks);
    }
    let ran: Vec<String> = world.engines.iter().flat_map(|engine| engine.ran()).collect();
    let poison_attempts = world.poison_attempts.borrow();
    let bound: Vec<&PoisonAttempt> = poison_attempts
        .iter()
        .filter(|one| one.in_touch && one.sent > known + CONTACT)
        .collect();
    let arrived = |one: &&PoisonAttempt| ran.iter().filter(|id| **id == one.id).count();
    let more: usize = bound.iter().map(arrived).sum();
    for _ in &bound {
        checks.check(Promise::Poison, more <= MAX_SENDS_ONCE_KNOWN, || {
            format!("{more} more sends; {} engines crashed in total", crashes.len())
        });
    }
}
