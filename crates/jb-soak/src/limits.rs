//! Engines that announce a rate limit, which bounds all boxes together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::Response;
use jb_site_fakes::engine::Engine;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::{Exchange, Request};
use crate::checks::{Checks, Promise};
use crate::signals;
use crate::world::World;

/// Delay after the first response with a limit before the limit is checked.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which a limit is checked after [`CONTACT`].
const CHECK_DURATION: Duration = Duration::from_secs(5);
/// Length of the window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Delay after a box has forwarded a limit before its requests count.
const FORWARD_SLACK: Duration = Duration::from_millis(500);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    while from.elapsed() < CONTACT + CHECK_DURATION && world.engines[engine].limit.borrow().is_some() {
        sleep(POLL_INTERVAL).await;
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
fn forwarded(limit: &Limit, engine: &Engine, exchanges: &[Exchange]) -> BTreeMap<Process, Instant> {
    let mut forwarded: BTreeMap<Process, Instant> = BTreeMap::new();
    let limited = |one: &&Exchange| one.ended >= limit.from && one.limited.as_ref() == Some(&engine.id);
    for one in exchanges.iter().filter(limited) {
        let first = forwarded.entry(one.request.process()).or_insert(one.ended);
        *first = one.ended.min(*first);
    }
    forwarded
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
    let exchanges = world.exchanges.borrow();
    let requests: BTreeMap<&str, &Request> = exchanges
        .iter()
        .map(|one| (one.request.id.as_str(), &one.request))
        .collect();
    for limit in world.limits.borrow().iter() {
        let engine = &world.engines[limit.engine];
        let forwarded = forwarded(limit, engine, &exchanges);
        let Some(first) = forwarded.values().min() else {
            continue;
        };
        let is_bound = |request: &Request, at: Instant| {
            let bound_from = forwarded
                .get(&request.process())
                .map(|first| *first + FORWARD_SLACK);
            bound_from.is_some_and(|from| from <= at) && !world.had_fault(request.at, at)
        };
        let arrivals = engine.arrivals.borrow();
        let counted: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| (limit.from..limit.until).contains(&arrival.at))
            .filter(|arrival| {
                let request = requests.get(arrival.id.as_str());
                request.is_some_and(|request| is_bound(request, arrival.at))
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
