//! Planned stops of boxes, while engines keep requests waiting. What a stopping box has read gets a whole answer.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use jb_site_fakes::document::{ROUTES, Route, body_for_events};
use jb_site_fakes::engine::Engine;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::callers::Exchange;
use crate::checks::{Checks, Promise};
use crate::faults::{self, Set};
use crate::silence;
use crate::world::World;

/// Callers for each one of the plan: several times the requests that the engines begin at once.
pub const CALLERS_PER_CALLER: u64 = 6;
/// Longest wait for a response: the deadline, and time for a late answer.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time that a caller has a use for its response.
const DEADLINE: Duration = Duration::from_secs(10);
/// Header lines of a request: its deadline.
pub const HEADERS: &str = "X-Junctionbend-Deadline-Ms: 10000\r\n";
/// Requests that an engine begins at once.
const PLACES: usize = 2;
/// Pauses between the events of streams, in milliseconds.
const PACES_MS: [u64; 4] = [200, 350, 500, 600];
/// Pauses between the events of streams at engines with room, in milliseconds.
const SHORT_PACES_MS: [u64; 7] = [60, 90, 120, 140, 160, 210, 300];
/// Most events of a stream there.
const MAX_EVENTS: f64 = 40.0;
/// Part of the deadline at which an engine breaks off, for the way of its response back to the caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Time that each request takes in addition.
const WORK: Duration = Duration::from_millis(200);
/// Time from SIGTERM to SIGKILL, as in the settings of the boxes.
const GRACE: Duration = Duration::from_secs(8);
/// Time after the grace period in which connections still count as ended by the stop.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Time after SIGTERM until which callers may send requests that the end of the grace period may cut while an engine
/// works on them.
const ADMISSION: Duration = Duration::from_secs(3);
/// Part of the grace period after which that is allowed.
const LATE_SHARE: f64 = 5.0 / 6.0;
/// Time without an unplanned fault before a request that counts.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after the last byte of a request within which its connection may be closed if no engine has got it.
const CROSSING: Duration = Duration::from_millis(200);
/// Pause between the stops of two boxes that are stopped together, in milliseconds.
const PAIR_PAUSE_MS: std::ops::Range<u64> = 0..1500;

/// A process that was told to stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    process: (usize, u32),
    at: Instant,
}

impl Stop {
    /// Returns the process that was told to stop.
    pub fn process(&self) -> (usize, u32) {
        self.process
    }
}

/// Returns routes whose requests may wait for long.
pub fn routes() -> Vec<Route> {
    let timeout_ms = u64::try_from(DEADLINE.as_millis()).unwrap_or(u64::MAX);
    ROUTES.map(|route| Route { timeout_ms, ..route }).to_vec()
}

/// Makes an engine pause within streams. In the set of stops it begins few requests at once, so that they wait for seconds.
pub fn prepare(engine: &Engine, set: Set) {
    if set == Set::Stops {
        engine.begin_at_most(PLACES);
        engine.brittle.work.set(WORK);
        engine.paces.replace(PACES_MS.map(Duration::from_millis).to_vec());
        return;
    }
    engine
        .paces
        .replace(SHORT_PACES_MS.map(Duration::from_millis).to_vec());
    engine.obeys_deadlines.set(true);
    if set == Set::Silence {
        silence::prepare(engine);
    }
}

/// Draws the number of events of a stream at engines with room: most are short, and some last for seconds.
pub fn draw_events(random: &mut ChaCha8Rng) -> u64 {
    MAX_EVENTS.powf(random.random::<f64>()).round() as u64
}

/// Returns the body of a request for a stream with this number of events.
pub fn body(set: Set, events: u64) -> String {
    if set == Set::Stops {
        "hello".to_owned()
    } else {
        body_for_events(events)
    }
}

/// Returns whether a request has used its whole time.
pub fn has_reached_deadline(one: &Exchange) -> bool {
    one.ended - one.request.sent >= DEADLINE - DEADLINE_MARGIN
}

/// Stops a box as the platform does, and starts it again: SIGTERM, and SIGKILL after the grace period.
pub async fn stop(world: &World, at: usize) {
    let target = &world.boxes[at];
    let process = target.starts();
    let is_stopping = world
        .stops
        .borrow()
        .iter()
        .any(|stop| stop.process == (at, process));
    if is_stopping || !target.is_running() {
        return;
    }
    world.stops.borrow_mut().push(Stop {
        process: (at, process),
        at: Instant::now(),
    });
    target.signal(Signal::TERM);
    tokio::select! {
        () = faults::replace(world, at, process) => {}
        () = sleep(GRACE) => {
            target.signal(Signal::KILL);
            faults::replace(world, at, process).await;
        }
    }
}

/// Stops two boxes shortly after each other.
pub async fn stop_two(world: &World, at: usize, random: &mut ChaCha8Rng) {
    let pause = Duration::from_millis(random.random_range(PAIR_PAUSE_MS));
    let second = async {
        sleep(pause).await;
        stop(world, (at + 1) % world.boxes.len()).await;
    };
    tokio::join!(stop(world, at), second);
}

/// Checks that each request which a stopping box has read got a whole answer.
pub fn check(world: &World, checks: &mut Checks) {
    let passed_on: BTreeSet<String> = world
        .engines
        .iter()
        .flat_map(|engine| engine.arrivals.borrow().clone())
        .map(|arrival| arrival.id)
        .collect();
    let exchanges = world.exchanges.borrow();
    for stop in world.stops.borrow().iter() {
        let during = stop.at..stop.at + GRACE + AFTER_GRACE;
        let ended = exchanges
            .iter()
            .filter(|one| one.request.process() == stop.process && during.contains(&one.ended));
        for one in ended {
            let sent = one.request.sent;
            if world.had_fault_since(one.request.at, sent - CONTACT, one.ended) {
                continue;
            }
            let was_passed_on = passed_on.contains(&one.request.id);
            checks.check(Promise::Stop, is_excused(stop, one, was_passed_on), || {
                describe(world, stop, one, was_passed_on)
            });
        }
    }
}

/// Returns whether a request that ended during a stop has a whole answer, or none is owed.
fn is_excused(stop: &Stop, one: &Exchange, was_passed_on: bool) -> bool {
    let took = one.ended - one.request.sent;
    let was_begun = one.status.is_some();
    // The engine works on a response that has begun.
    let is_late_work = was_begun
        && one.ended >= stop.at + GRACE.mul_f64(LATE_SHARE)
        && one.request.sent <= stop.at + ADMISSION;
    let crossed_the_close = !was_passed_on && took <= CROSSING;
    one.complete || has_reached_deadline(one) || is_late_work || crossed_the_close
}

fn describe(world: &World, stop: &Stop, one: &Exchange, was_passed_on: bool) -> String {
    let since = |moment: Instant| world.seconds(moment) - world.seconds(stop.at);
    format!(
        "{} {} at box {} ended {:+.2} s after SIGTERM without a whole answer (status {:?}); sent {:+.2} s, passed on: {was_passed_on}",
        one.request.id,
        one.request.path,
        one.request.at,
        since(one.ended),
        one.status,
        since(one.request.sent),
    )
}
