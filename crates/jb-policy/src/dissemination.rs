//! The tree by which the boxes of a data hall hand on what the store holds, and when one of them turns to the store
//! itself.
//!
//! If all boxes called the store as soon as the knowledge of their relay node is outdated, an outage would end with a
//! call of each box at once, and a forgotten history with as many reads of everything. So the boxes of each level wait
//! longer than those above them.

use std::time::Duration;

/// Boxes that a box hands everything on to.
const FAN_OUT: usize = 8;
/// Share of the longest age of usable knowledge that each level waits for.
const WAIT_SHARE: f64 = 0.25;
/// Largest share: a box without updates must call the store before its knowledge is too old to be used.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Interval at which a box of the second level calls the store again after a failure; each further level
/// adds as much.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Relay nodes that a box of the second level or a lower one asks at a time.
const MAX_ASKED: usize = 2;

/// Returns the positions of a box's ancestors, the nearest first, by its position in the order of its data hall.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    let parent = |&at: &usize| at.checked_sub(1).map(|before| before / FAN_OUT);
    std::iter::successors(parent(&position), parent)
}

/// Level of a box in the tree; 0 is the root, which reads the store for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(usize);

impl Level {
    /// Level of the box at a position in the order of its data hall.
    pub fn at(position: usize) -> Self {
        Self(ancestors(position).count())
    }

    /// Returns the age of its knowledge up to which a box waits for a live relay node whose knowledge is outdated;
    /// `bound` is the age beyond which knowledge can't be used.
    pub fn max_wait(self, bound: Duration) -> Duration {
        let level = f64::from(u32::try_from(self.0).unwrap_or(u32::MAX));
        bound.mul_f64((WAIT_SHARE * level).min(MAX_WAIT_SHARE))
    }

    /// Returns the interval at which a box without updates calls a failing store again, besides the pause after each
    /// failure.
    pub fn retry_interval(self) -> Duration {
        let levels = u32::try_from(self.0.saturating_sub(1)).unwrap_or(u32::MAX);
        RETRY_INTERVAL.saturating_mul(levels)
    }

    /// Returns the number of relay nodes that a box asks at a time while its calls to the store fail.
    pub fn max_asked(self) -> usize {
        if self.0 > 1 { MAX_ASKED } else { usize::MAX }
    }
}

/// Returns the number of groups into which the recipients of a message are split, so that neither the sender, which
/// sends to the head of each group, nor a head sends much.
pub fn group_count(recipients: usize) -> usize {
    recipients.isqrt()
}

/// Splits recipients evenly among the heads of groups; returns nothing where there are no heads.
pub fn split<H: Copy, R: Copy>(heads: &[H], rest: &[R]) -> Vec<(H, Vec<R>)> {
    let share = |at: usize| rest.iter().skip(at).step_by(heads.len()).copied().collect();
    heads
        .iter()
        .enumerate()
        .map(|(at, head)| (*head, share(at)))
        .collect()
}
