//! When each box asks for a lease that nobody holds.
//!
//! The most preferred boxes ask one after the other. Later ones follow closely, as it would take too long to
//! pass over many of them one by one, but never all at once.

use std::time::Duration;

/// Boxes that give each other time to be elected.
const PREFERRED: usize = 8;
/// Pause between two of them: a call to the store and an update of the others.
const PREFERRED_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two later ones.
const LATER_PAUSE: Duration = Duration::from_millis(25);

/// Returns for how long a box waits before which so many others are preferred.
pub fn delay(rank: usize) -> Duration {
    let steps = |ranks: usize| u32::try_from(ranks).unwrap_or(u32::MAX);
    let preferred = PREFERRED_PAUSE * steps(rank.min(PREFERRED));
    preferred + LATER_PAUSE.saturating_mul(steps(rank.saturating_sub(PREFERRED)))
}
