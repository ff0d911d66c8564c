//! Staggered delays before boxes request a lease that nobody holds.
//!
//! The most preferred boxes request it one after the other, with time for an election in between. The others
//! follow at short intervals: full pauses would take too long where many boxes are down, and simultaneous
//! requests would overload the store.

use std::time::Duration;

/// Boxes between which there is time for an election.
const PREFERRED_BOXES: usize = 8;
/// Pause between two preferred boxes: a call to the store and an update of the other boxes.
const PREFERRED_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two boxes of lower rank.
const LATER_PAUSE: Duration = Duration::from_millis(25);

/// Returns how long a box waits before it requests the lease, given the number of boxes preferred to it.
pub fn delay(rank: usize) -> Duration {
    let steps = |ranks: usize| u32::try_from(ranks).unwrap_or(u32::MAX);
    let preferred = PREFERRED_PAUSE * steps(rank.min(PREFERRED_BOXES));
    preferred + LATER_PAUSE.saturating_mul(steps(rank.saturating_sub(PREFERRED_BOXES)))
}
