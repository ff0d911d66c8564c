//! Engines that announce a rate limit for all boxes together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::Got;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::Asking;
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
pub fn limited_engine(got: &Got) -> Option<String> {
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

/// Checks what the engines received against what they had announced.
pub fn check(world: &World, checks: &mut Checks) {
    let asked = world.asked.borrow();
    let asking: BTreeMap<&str, &Asking> = asked
        .iter()
        .map(|one| (one.asking.id.as_str(), &one.asking))
        .collect();
    for limit in world.limits.borrow().iter() {
        let engine = &world.engines[limit.engine];
        let mut bound_from: BTreeMap<Process, Instant> = BTreeMap::new();
        for one in asked.iter().filter(|one| one.ended >= limit.from) {
            if one.limited.as_ref() == Some(&engine.id) {
                let first = bound_from.entry(one.asking.process()).or_insert(one.ended);
                *first = one.ended.min(*first);
            }
        }
        let Some(first) = bound_from.values().min() else {
            continue;
        };
        let arrivals = engine.arrivals.borrow();
        let counted: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| (limit.from..limit.until).contains(&arrival.at))
            .filter(|arrival| {
                let by = asking.get(arrival.id.as_str());
                by.is_some_and(|asking| {
                    let bound_from = bound_from.get(&asking.process());
                    let bound = bound_from.is_some_and(|bound_from| *bound_from + PASSED_ON <= arrival.at);
                    bound && !world.was_disturbed(asking.at, arrival.at)
                })
            })
            .map(|arrival| arrival.at)
            .collect();
        let ends = counted.iter().filter(|at| **at >= *first + CONTACT);
        let within = |end: &Instant| {
            counted
                .iter()
                .filter(|at| **at <= *end && **at + WINDOW > *end)
                .count()
        };
        let most = ends.map(within).max().unwrap_or(0);
        checks.check(Promise::Limit, most <= limit.allowed(), || {
            format!(
                "{} received {most} requests in {WINDOW:?} with a limit of {} a second",
                engine.id, limit.rate
            )
        });
    }
}
