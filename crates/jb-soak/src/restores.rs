//! The store comes back from a copy, and what the operator and the engines wrote is written again.

use std::time::{Duration, Instant};

use jb_site_fakes::store::Behavior;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::checks::{Checks, Promise};
use crate::proxy::Link;
use crate::world::World;

/// Age of the copy, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 50..4000;
/// Time for which the store is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 0..3000;
/// Time until everything is written again, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 0..1500;
/// Time from a release of weights until the store is away, in which the leader begins to order engines.
const RELEASE_LEAD: Duration = Duration::from_millis(900);
/// Time for which the leader of before doesn't reach the restored store.
const ISOLATION: Duration = Duration::from_secs(6);
/// Pause that orders of two boxes to one engine must keep.
const ORDER_GAP: Duration = Duration::from_millis(3000);
/// Time after a box was halted in which an order of it may still arrive.
const THAW_SLACK: Duration = Duration::from_millis(500);

/// Restores the store from a copy, in the middle of a release of weights and right before another one: orders
/// of the leaders before and after it come as close together as the boxes let them.
pub async fn restore(world: &World, random: &mut ChaCha8Rng) {
    let mut pause = |range| Duration::from_millis(random.random_range(range));
    let (age, away, rewrite) = (pause(COPY_AGE_MS), pause(AWAY_MS), pause(REWRITE_MS));
    let isolates_leader = random.random_bool(0.5);
    let copy = world.store.backup();
    sleep(age).await;
    world.release_weights();
    sleep(RELEASE_LEAD).await;
    let leader = world.leader().filter(|_| isolates_leader);
    if let Some(leader) = leader {
        leader.link(Link::Silent);
    }
    world.log(&format!("store away for {away:?}, then a copy {age:?} old"));
    world.store.behavior.set(Behavior::Reset);
    sleep(away).await;
    world.store.restore(&copy);
    world.store.behavior.set(Behavior::Healthy);
    sleep(rewrite).await;
    world.log("everything is written again");
    world.write_again();
    world.release_weights();
    if let Some(leader) = leader {
        sleep(ISOLATION).await;
        leader.link(Link::Well);
    }
}

/// Checks that orders of two boxes to one engine keep the pause.
pub fn check(world: &World, checks: &mut Checks) {
    for engine in &world.engines {
        let orders = engine.orders.borrow();
        let times = engine.order_times.borrow();
        let given = orders.iter().zip(times.iter().copied());
        let given: Vec<(&str, Instant)> = given
            .map(|(order, at)| (order["holder"].as_str().unwrap_or_default(), at))
            .collect();
        for pair in given.windows(2) {
            let [(first, before), (second, at)] = *pair else {
                continue;
            };
            let halted =
                world.was_halted(first, before, THAW_SLACK) || world.was_halted(second, at, THAW_SLACK);
            if first != second && !halted {
                let pause = at.duration_since(before);
                checks.check(Promise::Turns, pause >= ORDER_GAP, || {
                    format!(
                        "{}: an order of {second} {pause:?} after one of {first}",
                        engine.id
                    )
                });
            }
        }
    }
}
