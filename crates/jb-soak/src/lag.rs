//! Planned stops of boxes that get processor time late: a share of each period, or none for a moment before the signal.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::stops;
use crate::world::World;

/// Period in which a box with a share of a core runs once.
const PERIOD: Duration = Duration::from_millis(100);
/// Length of a standstill some seconds before a stop, in milliseconds.
const EARLIER_STANDSTILL_MS: std::ops::Range<u64> = 200..800;
/// Time from there to the next standstill, in milliseconds.
const BETWEEN_MS: std::ops::Range<u64> = 500..4000;
/// Length of the standstill at whose end the signal is sent, in milliseconds.
const LAST_STANDSTILL_MS: std::ops::Range<u64> = 0..700;

/// Lets a box run for this share of each period, until the run ends.
pub async fn run_for_share(world: Rc<World>, at: usize, share: f64) {
    let target = &world.boxes[at];
    sleep(PERIOD.mul_f64(at as f64 / world.boxes.len() as f64)).await;
    while !world.stopped.get() {
        target.run_for(PERIOD.mul_f64(share)).await;
        sleep(PERIOD.mul_f64(1.0 - share)).await;
    }
    target.go_on();
}

/// Stops a box that has stood still some seconds before, and does so until the signal is sent.
pub async fn stop(world: &World, at: usize, random: &mut ChaCha8Rng) {
    let mut draw = |range| Duration::from_millis(random.random_range(range));
    let (earlier, between, last) = (
        draw(EARLIER_STANDSTILL_MS),
        draw(BETWEEN_MS),
        draw(LAST_STANDSTILL_MS),
    );
    let target = &world.boxes[at];
    target.stand_still();
    sleep(earlier).await;
    target.go_on();
    sleep(between).await;
    target.stand_still();
    sleep(last).await;
    tokio::join!(stops::stop(world, at), async { target.go_on() });
}
