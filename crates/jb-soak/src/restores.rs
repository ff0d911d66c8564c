//! Restores the store from a backup and rewrites what the operator and the engines had written.

use std::time::{Duration, Instant};

use jb_site_fakes::store::Behavior;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::checks::{Checks, Promise};
use crate::world::World;
use jb_site_fakes::proxy::Link;

/// Age of the backup, in milliseconds.
const BACKUP_AGE_MS: std::ops::Range<u64> = 50..4000;
/// Time for which the store is unavailable, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 0..3000;
/// Time from the restore until everything is rewritten, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 0..1500;
/// Time from a release of weights until the store is unavailable, in which the leader starts to send
/// commands to engines.
const RELEASE_LEAD: Duration = Duration::from_millis(900);
/// Time for which the previous leader cannot reach the restored store.
const ISOLATION: Duration = Duration::from_secs(6);
/// Minimum pause between commands of two boxes to one engine.
const COMMAND_GAP: Duration = Duration::from_millis(3000);
/// Time after a fault of a box within which a command of it may still arrive.
const FAULT_SLACK: Duration = Duration::from_millis(500);

/// Restores the store from a backup, in the middle of a release of weights and right before another
/// one, so that commands of the leaders before and after it come as close together as the boxes allow.
pub async fn restore(world: &World, random: &mut ChaCha8Rng) {
    let mut pause = |range| Duration::from_millis(random.random_range(range));
    let (age, outage, rewrite) = (pause(BACKUP_AGE_MS), pause(OUTAGE_MS), pause(REWRITE_MS));
    let isolates_leader = random.random_bool(0.5);
    let copy = world.store.backup();
    sleep(age).await;
    world.release_weights();
    sleep(RELEASE_LEAD).await;
    let leader = world.leader().filter(|_| isolates_leader);
    if let Some(leader) = leader {
        leader.link(Link::Silent);
    }
    world.log(&format!(
        "store unavailable for {outage:?}, then restored from a backup {age:?} old"
    ));
    world.store.behavior.set(Behavior::Reset);
    sleep(outage).await;
    world.store.restore(&copy);
    world.store.behavior.set(Behavior::Healthy);
    sleep(rewrite).await;
    world.log("all entries are rewritten");
    world.rewrite_entries();
    world.release_weights();
    if let Some(leader) = leader {
        sleep(ISOLATION).await;
        leader.link(Link::Well);
    }
}

/// Checks that commands of two boxes to one engine keep the minimum pause.
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
            let halted = world.had_own_fault(first, before, FAULT_SLACK)
                || world.had_own_fault(second, at, FAULT_SLACK);
            if first != second && !halted {
                let pause = at.duration_since(before);
                checks.check(Promise::Turns, pause >= COMMAND_GAP, || {
                    format!(
                        "{}: a command of {second} {pause:?} after one of {first}",
                        engine.id
                    )
                });
            }
        }
    }
}
