//! Engines that send nothing for a moment and go on, while engines reject most streams that others have begun.

use std::collections::BTreeSet;
use std::time::Duration;

use jb_site_fakes::engine::Engine;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::checks::{Checks, Promise};
use crate::faults::Set;
use crate::stops;
use crate::world::World;

/// Length of a standstill, in milliseconds: longer and shorter than boxes wait for an event.
const STANDSTILL_MS: std::ops::Range<u64> = 700..2000;
/// Engines that stand still at once.
const SILENT_ENGINES: usize = 2;
/// Of the streams that go on at another engine, one in so many is accepted there.
const ACCEPTED_ONE_IN: usize = 5;

/// Makes an engine reject most streams that another one has begun.
pub fn prepare(engine: &Engine) {
    engine.accepts_resumed_one_in.set(ACCEPTED_ONE_IN);
}

/// Makes engines stand still for a moment.
pub fn stand_still(world: &World, engine: usize, random: &mut ChaCha8Rng) {
    for next in 0..SILENT_ENGINES {
        let duration = Duration::from_millis(random.random_range(STANDSTILL_MS));
        world.engines[(engine + next) % world.engines.len()].stand_still(duration);
    }
}

/// Checks that each stream which has begun is whole: all engines go on with theirs.
pub fn check(world: &World, checks: &mut Checks) {
    if world.set != Set::Silence {
        return;
    }
    let stopped: BTreeSet<(usize, u32)> = world.stops.borrow().iter().map(|stop| stop.process()).collect();
    for one in world.exchanges.borrow().iter() {
        // Those of a box that is stopped are checked with its stop.
        let counts = one.status == Some(200) && !stopped.contains(&one.request.process());
        if !counts || stops::has_reached_deadline(one) {
            continue;
        }
        checks.check(Promise::Begun, one.complete, || {
            format!("{} {} broke after its begin", one.request.id, one.request.path)
        });
    }
}
