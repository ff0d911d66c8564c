//! One box's share of a retry budget that all boxes spend together.
//!
//! The budget needs no coordination: the retries that each box earns by its own requests add up to those of the
//! fleet, and the fixed part is divided by the number of boxes that may be alive, reachable or not. A box forgets what
//! it has spent when it restarts, so a restarted box has no fixed part until one window has passed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Share of the operators' limit that is spent; the rest covers clock differences and requests in flight.
const SPENT_SHARE: f64 = 0.8;

/// Limit of a service's retries.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries that each request earns.
    pub ratio: f64,
    /// Additional retries in one window, for all boxes together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the fixed retries that one box may spend.
#[derive(Clone, Copy, Debug)]
pub struct FixedPart {
    /// Number of boxes that divide the fixed retries, at least 1.
    pub boxes: usize,
    /// Start of this process if the box may have spent its part in an earlier one; `None` otherwise.
    pub restarted_at: Option<Moment>,
}

impl FixedPart {
    /// Returns the part of a box that has had no earlier process.
    pub fn of_new_box(boxes: usize) -> Self {
        Self {
            boxes,
            restarted_at: None,
        }
    }

    fn retries(self, config: &Config, now: Moment) -> f64 {
        let is_spent = |at: Moment| now < at + config.window;
        if self.restarted_at.is_some_and(is_spent) {
            return 0.0;
        }
        config.extra / self.boxes.max(1) as f64
    }
}

/// What a budget consisted of when it denied a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Retries that requests have earned.
    pub earned: f64,
    /// Fixed retries of this box in one window.
    pub fixed: f64,
    /// Retries spent in the last window.
    pub spent: usize,
}

/// Retry budget of one service at one box.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
    reported_at: Option<Moment>,
}

impl Budget {
    /// Records a new request, which earns retries.
    pub fn record_request(&mut self, now: Moment, window: Duration) {
        self.requests.push_back(now);
        prune(&mut self.requests, now, window);
    }

    /// Spends one retry if the budget allows it, and returns whether it did.
    pub fn try_spend(&mut self, now: Moment, config: &Config, fixed: FixedPart) -> bool {
        prune(&mut self.requests, now, config.window);
        prune(&mut self.retries, now, config.window);
        let earned = config.ratio * self.requests.len() as f64;
        let allowed = SPENT_SHARE * (earned + fixed.retries(config, now));
        let granted = ((self.retries.len() + 1) as f64) <= allowed;
        if granted {
            self.retries.push_back(now);
        }
        granted
    }

    /// Returns the balance after a denied retry, once in each window; `None` otherwise.
    pub fn report_denial(&mut self, now: Moment, config: &Config, fixed: FixedPart) -> Option<Balance> {
        if self.reported_at.is_some_and(|at| now < at + config.window) {
            return None;
        }
        self.reported_at = Some(now);
        Some(Balance {
            earned: SPENT_SHARE * config.ratio * self.requests.len() as f64,
            fixed: SPENT_SHARE * fixed.retries(config, now),
            spent: self.retries.len(),
        })
    }
}

fn prune(moments: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while moments.front().is_some_and(|at| *at + window < now) {
        moments.pop_front();
    }
}
