//! Engines that announce a rate limit, which bounds all boxes together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::Response;
use jb_site_fakes::engine::Engine;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::{Asked, Asking};
use crate::checks::{Checks, Promise};
use crate::signals;
use crate::world::World;

/// Delay after the first response with a limit before the limit is checked.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which a limit is checked after [`CONTACT`].
const CHECKED: Duration = Duration::from_secs(5);
/// Length of the window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Delay after a box has forwarded a limit before its requests count.
const PASSED_ON: Duration = Duration::from_millis(500);
/// Interval between polls.
const LOOK: Duration = Duration::from_millis(50);

/// A rate limit that an engine announced.
#[derive(Clone, Debug)]
pub struct Limit {
    engine: usize,
    rate: f64,
    from: Instant,
    until: Instant,
}

impl Limit {
    /// Returns the number of requests that the engine may receive in any window.
    fn allowed(&self) -> usize {
        (1.5 * self.rate * WINDOW.as_secs_f64() + 5.0) as usize
    }
}

/// Returns the engine that announces a rate limit in a response.
pub fn limited_engine(got: &Response) -> Option<String> {
    got.answer.headers.get("server-limit")?;
    signals::engine_of(got)
}

/// Makes an engine announce a rate limit for a while.
pub async fn announce(world: &World, engine: usize, random: &mut ChaCha8Rng) {
    let rate = [0.0, 0.5, 1.5, 4.0, 12.0][random.random_range(0..5)];
    if world.engines[engine].limit.borrow().is_some() {
        return;
    }
    let from = Instant::now();
    world.engines[engine].limit.replace(Some(rate.to_string()));
    // A restart of the engine clears the limit earlier.
    while from.elapsed() < CONTACT + CHECKED && world.engines[engine].limit.borrow().is_some() {
        sleep(LOOK).await;
    }
    world.engines[engine].limit.take();
    world.limits.borrow_mut().push(Limit {
        engine,
        rate,
        from,
        until: Instant::now(),
    });
}

/// A process of a box: index of the box and number of its start.
type Process = (usize, u32);

/// Returns when each process first forwarded a response with the limit.
fn passed_on(limit: &Limit, engine: &Engine, asked: &[Asked]) -> BTreeMap<Process, Instant> {
    let mut passed_on: BTreeMap<Process, Instant> = BTreeMap::new();
    let limited = |one: &&Asked| one.ended >= limit.from && one.limited.as_ref() == Some(&engine.id);
    for one in asked.iter().filter(limited) {
        let first = passed_on.entry(one.asking.process()).or_insert(one.ended);
        *first = one.ended.min(*first);
    }
    passed_on
}

/// Returns the largest number of requests in a window that ends at `checked` or later.
fn most_in_a_window(arrivals: &[Instant], checked: Instant) -> usize {
    let within = |end: &Instant| {
        let before = |at: &&Instant| **at <= *end && **at + WINDOW > *end;
        arrivals.iter().filter(before).count()
    };
    let ends = arrivals.iter().filter(|at| **at >= checked);
    ends.map(within).max().unwrap_or(0)
}

/// Checks the requests that engines received against the limits that they had announced.
pub fn check(world: &World, checks: &mut Checks) {
    let asked = world.asked.borrow();
    let asking: BTreeMap<&str, &Asking> = asked
        .iter()
        .map(|one| (one.asking.id.as_str(), &one.asking))
        .collect();
    for limit in world.limits.borrow().iter() {
        let engine = &world.engines[limit.engine];
        let passed_on = passed_on(limit, engine, &asked);
        let Some(first) = passed_on.values().min() else {
            continue;
        };
        let is_bound = |asking: &Asking, at: Instant| {
            let bound_from = passed_on.get(&asking.process()).map(|first| *first + PASSED_ON);
            bound_from.is_some_and(|from| from <= at) && !world.was_disturbed(asking.at, at)
        };
        let arrivals = engine.arrivals.borrow();
        let counted: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| (limit.from..limit.until).contains(&arrival.at))
            .filter(|arrival| {
                let asking = asking.get(arrival.id.as_str());
                asking.is_some_and(|asking| is_bound(asking, arrival.at))
            })
            .map(|arrival| arrival.at)
            .collect();
        let most = most_in_a_window(&counted, *first + CONTACT);
        checks.check(Promise::Limit, most <= limit.allowed(), || {
            format!(
                "{} received {most} requests in {WINDOW:?} with a limit of {} a second",
                engine.id, limit.rate
            )
        });
    }
}
