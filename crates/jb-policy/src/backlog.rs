//! Estimated queueing time at one engine.
//!
//! Reports lag, so the estimate is the newest report plus the requests that this box has sent since the report
//! was made.

use std::collections::VecDeque;
use std::time::Duration;

use jb_protocol::engine::Load;
use jb_protocol::priority::{CLASSES, Priority};

use crate::Moment;

/// Time for which sends of this box are kept to correct late reports.
const SEND_RETENTION: Duration = Duration::from_secs(5);
/// Most sends of this box that are kept.
const MAX_TRACKED_SENDS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Send {
    at: Moment,
    class: Priority,
    cost: Duration,
}

/// Work queued at one engine, by priority class.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When the work of each class and of all more urgent classes will be done.
    busy_until: [Moment; CLASSES],
    reported_at: Moment,
    sends: VecDeque<Send>,
}

impl Backlog {
    /// Returns the queueing time of a request of a class that is sent now.
    pub fn wait(&self, class: Priority, now: Moment) -> Duration {
        self.busy_until[class.index()].saturating_sub(now)
    }

    /// Records a request that this box sends now; `cost` is the time that the engine spends on it.
    pub fn record_send(&mut self, class: Priority, cost: Duration, now: Moment) {
        let send = Send { at: now, class, cost };
        self.add(&send);
        self.sends.push_back(send);
        self.prune(now);
    }

    /// Applies a report that was made at `taken_at`; reports older than the last one are ignored.
    pub fn apply_report(&mut self, load: &Load, taken_at: Moment) {
        if taken_at < self.reported_at {
            return;
        }
        self.reported_at = taken_at;
        let mut waiting = Duration::ZERO;
        for (until, ms) in self.busy_until.iter_mut().zip(load.waiting_ms) {
            waiting += Duration::from_millis(ms.into());
            *until = taken_at + waiting;
        }
        let since: Vec<Send> = self.sends.iter().filter(|s| s.at > taken_at).copied().collect();
        for send in &since {
            self.add(send);
        }
    }

    /// Clears the backlog of an engine that has restarted with an empty queue.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds a request, which delays its own class and all less urgent ones.
    fn add(&mut self, send: &Send) {
        for until in &mut self.busy_until[send.class.index()..] {
            *until = (*until).max(send.at) + send.cost;
        }
    }

    fn prune(&mut self, now: Moment) {
        let oldest = now.saturating_sub(SEND_RETENTION);
        while self.sends.len() > MAX_TRACKED_SENDS || self.sends.front().is_some_and(|s| s.at < oldest) {
            self.sends.pop_front();
        }
    }
}
