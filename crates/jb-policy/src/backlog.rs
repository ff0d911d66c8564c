//! Estimated waiting time at one engine.
//!
//! Reports lag. So the estimate starts from the newest report and adds what
//! this box has sent since the report was taken.

use std::collections::VecDeque;
use std::time::Duration;

use jb_protocol::engine::Load;
use jb_protocol::priority::{CLASSES, Priority};

use crate::Moment;

/// How long own sends are remembered for correcting late reports.
const MEMORY: Duration = Duration::from_secs(5);
/// Most own sends remembered.
const MAX_TRACKED_SENDS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Send {
    at: Moment,
    class: Priority,
    cost: Duration,
}

/// Work waiting at one engine, by priority class.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When the work of each class and of those before it will be done.
    busy_until: [Moment; CLASSES],
    reported_at: Moment,
    sends: VecDeque<Send>,
}

impl Backlog {
    /// Waiting time of a request of a class that is sent now.
    pub fn wait(&self, class: Priority, now: Moment) -> Duration {
        self.busy_until[class.index()].saturating_sub(now)
    }

    /// Counts a request that this box sends now.
    pub fn record_send(&mut self, class: Priority, cost: Duration, now: Moment) {
        let send = Send { at: now, class, cost };
        self.add(&send);
        self.sends.push_back(send);
        self.forget(now);
    }

    /// Takes a report that was true at `taken_at`; older ones are ignored.
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

    /// Forgets everything, as for an engine that came back empty.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// A request delays its own class and every class behind it.
    fn add(&mut self, send: &Send) {
        for until in &mut self.busy_until[send.class.index()..] {
            *until = (*until).max(send.at) + send.cost;
        }
    }

    fn forget(&mut self, now: Moment) {
        let oldest = now.saturating_sub(MEMORY);
        while self.sends.len() > MAX_TRACKED_SENDS || self.sends.front().is_some_and(|s| s.at < oldest) {
            self.sends.pop_front();
        }
    }
}
