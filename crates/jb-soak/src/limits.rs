//! Engines that announce a rate limit for all boxes together.

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

/// Time after the first response with a limit from which on it is checked.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which a limit lasts beyond that.
const CHECKED: Duration = Duration::from_secs(5);
/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a box has passed on a limit from which on its requests count.
const PASSED_ON: Duration = Duration::from_millis(500);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// A limit that an engine announced.
#[derive(Clone, Debug)]
pub struct Limit {
    engine: usize,
    rate: f64,
    from: Instant,
    until: Instant,
}

impl Limit {
    /// Requests that the engine may receive in any window.
    fn allowed(&self) -> usize {
        (1.5 * self.rate * WINDOW.as_secs_f64() + 5.0) as usize
    }
}

/// Engine that announces a limit in a response.
pub fn limited_engine(got: &Response) -> Option<String> {
    got.answer.headers.get("server-limit")?;
    signals::engine_of(got)
}

/// Lets an engine announce a limit for a while.
pub async fn announce(world: &World, engine: usize, random: &mut ChaCha8Rng) {
    let rate = [0.0, 0.5, 1.5, 4.0, 12.0][random.random_range(0..5)];
    if world.engines[engine].limit.borrow().is_some() {
        return;
    }
    let from = Instant::now();
    world.engines[engine].limit.replace(Some(rate.to_string()));
    // It ends sooner where the engine starts again.
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

/// Process of a box.
type Process = (usize, u32);

/// When each process passed on a limit for the first time.
fn passed_on(limit: &Limit, engine: &Engine, asked: &[Asked]) -> BTreeMap<Process, Instant> {
    let mut passed_on: BTreeMap<Process, Instant> = BTreeMap::new();
    let limited = |one: &&Asked| one.ended >= limit.from && one.limited.as_ref() == Some(&engine.id);
    for one in asked.iter().filter(limited) {
        let first = passed_on.entry(one.asking.process()).or_insert(one.ended);
        *first = one.ended.min(*first);
    }
    passed_on
}

/// Largest number of requests in a window that ends at `checked` or later.
fn most_in_a_window(arrivals: &[Instant], checked: Instant) -> usize {
    let within = |end: &Instant| {
        let before = |at: &&Instant| **at <= *end && **at + WINDOW > *end;
        arrivals.iter().filter(before).count()
    };
    let ends = arrivals.iter().filter(|at| **at >= checked);
    ends.map(within).max().unwrap_or(0)
}

/// Checks what the engines received against what they had announced.
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
