//! Tree by which the boxes of a data hall forward the store's content to each other, and the delays after
//! which a box calls the store itself.
//!
//! If all boxes called the store as soon as their relay node's copy is outdated, each box would call it at
//! the end of an outage, and read everything again after the store has dropped its history. So boxes wait
//! longer the lower their level is.

use std::time::Duration;

/// Number of boxes to which a box forwards updates.
const FAN_OUT: usize = 8;
/// Age of its copy above which a box sends no updates. What a relay node knows is between one and two of its polling
/// intervals old, and a box that pulls from it at the same rate would always meet a limit of two slightly too late.
pub const MAX_RELAYED_AGE: Duration = Duration::from_millis(1800);
/// Time left for a call to the store: one or two documents of half a megabyte over a link of 10 Mbit/s.
const CALL_TIME: Duration = Duration::from_millis(600);
/// Age of its copy at which a box of the first level calls the store. Its relay node regularly renews the copy a little
/// earlier, and the boxes below it need time to get what it reads.
const FIRST_CALL_AGE: Duration = Duration::from_millis(1600);
/// Fraction of the time between [`FIRST_CALL_AGE`] and the latest call that each level below the first waits.
const WAIT_FRACTION: f64 = 0.5;
/// Largest fraction. The rest lets a box that has waited longest report itself as ready until its call returns.
const MAX_WAIT_FRACTION: f64 = 0.65;
/// Interval at which a box of the second level below the root retries a failing store; each further level
/// adds the same amount.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of relay nodes that a box of the second or a lower level queries at the same time.
const MAX_RELAY_QUERIES: usize = 2;

/// Returns the positions of a box's ancestors, the nearest first; positions are those in the order of the
/// data hall.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    let parent = |&at: &usize| at.checked_sub(1).map(|before| before / FAN_OUT);
    std::iter::successors(parent(&position), parent)
}

/// Level of a box in the tree; 0 is the root, which reads the store for the other boxes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(usize);

impl Level {
    /// Returns the level of the box at a position in the order of its data hall.
    pub fn at(position: usize) -> Self {
        Self(ancestors(position).count())
    }

    /// Returns the age of its copy up to which a box waits for updates from other boxes before it calls the store itself;
    /// `bound` is the age that no copy may reach while the store can be called.
    pub fn max_wait(self, bound: Duration) -> Duration {
        let levels = f64::from(u32::try_from(self.0.saturating_sub(1)).unwrap_or(u32::MAX));
        let room = bound.saturating_sub(FIRST_CALL_AGE + CALL_TIME);
        FIRST_CALL_AGE + room.mul_f64((WAIT_FRACTION * levels).min(MAX_WAIT_FRACTION))
    }

    /// Returns the interval at which a box without updates retries a failing store, in addition to the
    /// backoff after each failure.
    pub fn retry_interval(self) -> Duration {
        let levels = u32::try_from(self.0.saturating_sub(1)).unwrap_or(u32::MAX);
        RETRY_INTERVAL.saturating_mul(levels)
    }

    /// Returns the number of relay nodes that a box queries at the same time while its calls to the store
    /// fail.
    pub fn max_asked(self) -> usize {
        if self.0 > 1 { MAX_RELAY_QUERIES } else { usize::MAX }
    }
}

/// Returns the time for which a box whose copy has this age waits for what the store's history no longer has, before it
/// reads the whole store; `bound` is as for [`Level::max_wait`].
///
/// A copy that is older than the bound has probably missed an outage of the store together with those of other boxes, which
/// would all read the store at the same time.
pub fn catch_up_time(age: Duration, bound: Duration) -> Duration {
    if age < bound {
        bound.saturating_sub(age + CALL_TIME)
    } else {
        bound / 2
    }
}

/// Returns the number of groups into which the recipients of a message are split: it balances the messages of
/// the sender, which sends to the head of each group, and those of the heads.
pub fn group_count(recipients: usize) -> usize {
    recipients.isqrt()
}

/// Splits recipients evenly among the heads of groups; returns an empty list if there are no heads.
pub fn split<H: Copy, R: Copy>(heads: &[H], rest: &[R]) -> Vec<(H, Vec<R>)> {
    let members = |at: usize| rest.iter().skip(at).step_by(heads.len()).copied().collect();
    heads
        .iter()
        .enumerate()
        .map(|(at, head)| (*head, members(at)))
        .collect()
}
