//! Moments in which the platform hands most new connections to one box.

use std::time::{Duration, Instant};

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::Exchange;
use crate::checks::{Checks, Promise};
use crate::world::World;

/// Time from which on requests are checked, and length of the time before that they are compared with.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of a crowd, in milliseconds.
const CROWD_MS: std::ops::Range<u64> = 4000..9000;
/// Share of the new connections that the box gets.
const SHARE: f64 = 0.9;
/// Share of the connections that callers close after each request meanwhile.
const CLOSED_SHARE: f64 = 0.5;
/// Number of requests from which on shares are compared.
const MIN_REQUESTS: usize = 20;

/// A time in which one box got most new connections.
#[derive(Clone, Debug)]
pub struct Period {
    at: usize,
    from: Instant,
    until: Instant,
}

/// Hands most new connections to one box for a while.
pub async fn gather(world: &World, at: usize, random: &mut ChaCha8Rng) {
    if world.crowded.get().is_some() {
        return;
    }
    let from = Instant::now();
    world.crowded.set(Some(at));
    sleep(Duration::from_millis(random.random_range(CROWD_MS))).await;
    world.crowded.set(None);
    let until = Instant::now();
    world.crowds.borrow_mut().push(Period { at, from, until });
}

/// Returns the box that a new connection is handed to. If the crowded one is not running, the next one is.
pub fn choose(world: &World, random: &mut ChaCha8Rng) -> usize {
    let count = world.boxes.len();
    let any = random.random_range(0..count);
    let Some(crowded) = world.crowded.get().filter(|_| random.random_bool(SHARE)) else {
        return any;
    };
    let mut next = (0..count).map(|step| (crowded + step) % count);
    next.find(|at| world.boxes[*at].is_running()).unwrap_or(any)
}

/// Returns whether a caller closes its connection after a request.
pub fn closes(world: &World, random: &mut ChaCha8Rng) -> bool {
    world.crowded.get().is_some() && random.random_bool(CLOSED_SHARE)
}

/// Checks that a box with most new connections served the requests that it read about as well as all boxes did before.
pub fn check(world: &World, checks: &mut Checks) {
    let exchanges = world.exchanges.borrow();
    let is_undisturbed = |one: &&Exchange| {
        let sent = one.request.sent;
        !world.had_fault_since(one.request.at, sent - CONTACT, one.ended)
    };
    for Period { at, from, until } in world.crowds.borrow().iter() {
        let of = |time: std::ops::Range<Instant>, at: Option<usize>| {
            let sent = exchanges.iter().filter(|one| time.contains(&one.request.sent));
            let read = sent.filter(|one| at.is_none_or(|at| one.request.at == at));
            let counted: Vec<&Exchange> = read.filter(is_undisturbed).collect();
            let served = counted.iter().filter(|one| one.status == Some(200)).count();
            (served, counted.len())
        };
        let before = of(*from - CONTACT..*from, None);
        let then = of(*from + CONTACT..*until, Some(*at));
        if before.1 < MIN_REQUESTS || then.1 < MIN_REQUESTS {
            continue;
        }
        // Three quarters of the share before.
        let holds = 4 * then.0 * before.1 >= 3 * before.0 * then.1;
        checks.check(Promise::Crowd, holds, || {
            format!(
                "box {at} served {} of {} with most connections, all boxes {} of {} before",
                then.0, then.1, before.0, before.1
            )
        });
    }
}
