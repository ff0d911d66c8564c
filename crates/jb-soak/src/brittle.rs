//! Engines that end when they have to reject too many requests.

use std::rc::Rc;
use std::time::Duration;

use jb_site_fakes::engine::Engine;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use crate::checks::Promise;
use crate::world::World;

/// Time after the first signal from which the engines let fewer requests wait.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which they then stay brittle.
const BRITTLE_TIME: Duration = Duration::from_secs(4);
/// Time until an engine that has ended starts again.
const RESTART_TIME: Duration = Duration::from_millis(1500);
/// Slots of an engine by its entry.
const SLOTS: usize = 8;
/// Time that a request takes at a brittle engine.
const WORK: Duration = Duration::from_millis(60);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Makes all engines brittle for a while.
pub async fn play(world: &Rc<World>, random: &mut ChaCha8Rng) {
    let engines = &world.engines;
    if engines.iter().any(|engine| engine.brittle.limit.get().is_some()) {
        return;
    }
    let limit = random.random_range(2..8);
    let falls = || {
        engines
            .iter()
            .map(|engine| engine.brittle.falls.get())
            .sum::<usize>()
    };
    let before = falls();
    set(engines, Some(limit), usize::MAX);
    restart_fallen(world, CONTACT).await;
    set(engines, Some(limit), SLOTS + random.random_range(0..3));
    restart_fallen(world, BRITTLE_TIME).await;
    set(engines, None, 0);
    let fallen = falls() - before;
    // Rejections of a fallen engine may still be on their way; it is back before the end of the run.
    let allowed = 2 + engines.len() / 10;
    world
        .checks
        .borrow_mut()
        .check(Promise::Brittle, fallen <= allowed, || {
            format!("brittle engines ended {fallen} times with a limit of {limit} rejections")
        });
}

fn set(engines: &[Rc<Engine>], limit: Option<usize>, places: usize) {
    for engine in engines {
        engine.brittle.limit.set(limit);
        engine.brittle.places.set(places);
        engine
            .brittle
            .work
            .set(if limit.is_some() { WORK } else { Duration::ZERO });
    }
}

/// Waits, and starts the engines again that have ended.
async fn restart_fallen(world: &World, time: Duration) {
    let engines = &world.engines;
    let until = Instant::now() + time;
    let mut ended = vec![None; engines.len()];
    while Instant::now() < until || engines.iter().any(|engine| engine.has_ended()) {
        for (at, (engine, ended)) in engines.iter().zip(&mut ended).enumerate() {
            if engine.has_ended() {
                let since = *ended.get_or_insert(Instant::now());
                if Instant::now() > since + RESTART_TIME {
                    engine.relaunch().await;
                    // The entry names the start time.
                    world.write_entry(at);
                    *ended = None;
                }
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}
