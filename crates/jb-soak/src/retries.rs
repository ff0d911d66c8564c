//! Engines that fail all requests, while boxes restart. The retries of all boxes, in all their processes, have a limit.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use jb_site_fakes::document::Bounds;
use jb_site_fakes::engine::Action;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::boxes::Box;
use crate::checks::{Checks, Promise};
use crate::faults::{self, Set};
use crate::world::World;

/// Window that has several lives of a box within a short run.
const WINDOW: Duration = Duration::from_secs(3);
/// Few fixed retries, so that those that requests earn decide.
const EXTRA: u32 = 12;
/// Requests that an engine fails in one fault, more than it receives meanwhile.
const FAILURES: usize = 20_000;

/// Share of these faults in which all boxes are killed.
const KILLED_SHARE: f64 = 0.7;
/// Time from the first failures to the kill, in milliseconds: enough to spend what was earned before.
const KILL_DELAY_MS: std::ops::Range<u64> = 200..1200;

/// Returns the bounds in the settings of a run's boxes.
pub fn bounds(set: Set) -> Bounds {
    match set {
        Set::Retries => Bounds {
            retry_window: WINDOW,
            retry_extra: EXTRA,
            ..Bounds::default()
        },
        _ => Bounds::default(),
    }
}

/// Makes all engines answer errors for a while, and mostly kills all boxes shortly after they have begun to.
pub async fn fail(world: &World, duration: Duration, random: &mut ChaCha8Rng) {
    for engine in &world.engines {
        engine.enqueue(&vec![Action::Fail(500); FAILURES]);
    }
    let end = Instant::now() + duration;
    if random.random_bool(KILLED_SHARE) {
        sleep(Duration::from_millis(random.random_range(KILL_DELAY_MS))).await;
        kill_all(world).await;
    }
    sleep(end.saturating_duration_since(Instant::now())).await;
    for engine in &world.engines {
        engine.actions.borrow_mut().clear();
    }
}

/// Kills all boxes at the same moment, and starts them again.
pub async fn kill_all(world: &World) {
    let processes: Vec<u32> = world.boxes.iter().map(Box::starts).collect();
    for one in &world.boxes {
        one.signal(Signal::KILL);
    }
    for (at, process) in processes.into_iter().enumerate() {
        faults::replace(world, at, process).await;
    }
}

/// Checks the arrivals beyond the first of each request, in each window that begins with one of them.
pub fn check(world: &World, checks: &mut Checks) {
    let Bounds {
        retry_window: window,
        retry_extra,
        retry_ratio,
        ..
    } = bounds(world.set);
    let mut requests: Vec<Instant> = world
        .exchanges
        .borrow()
        .iter()
        .map(|one| one.request.sent)
        .collect();
    requests.sort();
    let retries = retries(world);
    for from in &retries {
        let count = |moments: &[Instant], from: Instant| {
            let before = |end: Instant| moments.partition_point(|at| *at < end);
            before(from + window) - before(from)
        };
        // Requests count that were sent in the window, in the one before, or half a window earlier.
        let earlier = [Duration::ZERO, window / 2, window].map(|time| count(&requests, *from - time));
        let most = earlier.into_iter().max().unwrap_or_default();
        let allowed = retry_ratio * most as f64 + f64::from(retry_extra);
        let found = count(&retries, *from);
        checks.check(Promise::Retries, found as f64 <= allowed, || {
            format!(
                "{found} retries in {window:?} from {:.2} s, for {most} requests; allowed {allowed:.0}",
                world.seconds(*from)
            )
        });
    }
}

/// Returns the arrivals beyond the first of each request at any engine, in order.
fn retries(world: &World) -> Vec<Instant> {
    let mut arrivals: Vec<_> = world
        .engines
        .iter()
        .flat_map(|engine| engine.arrivals.borrow().clone())
        .collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = BTreeSet::new();
    let is_repeated = arrivals
        .into_iter()
        .filter(|arrival| !seen.insert(arrival.id.clone()));
    is_repeated.map(|arrival| arrival.at).collect()
}
