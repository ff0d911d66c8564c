//! One box's share of a retry budget that all boxes spend together.
//!
//! The budget needs no coordination: the retries that each box earns by its own requests add up to those of the
//! fleet, and the fixed part is divided by the number of boxes that may be alive, reachable or not.
//!
//! A process doesn't know what earlier processes of its box have spent in the current window. Earned retries are tokens
//! of a bucket that is empty when the process starts and holds the earnings of [`HELD_SHARE`] of a window. A window
//! therefore spends at most what was earned in it and in that time before it, however often processes start: a restart
//! only loses tokens. A restarted box has no fixed part until one window has passed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Share of the fixed retries that is spent; the rest covers clock differences and requests in flight.
const FIXED_SHARE: f64 = 0.8;
/// Share of the operators' ratio that a request earns. Together with the earnings held from before a window, 0.93 of the
/// ratio is spent in it at most.
const EARNED_SHARE: f64 = 0.62;
/// Part of a window after which earned retries expire. Requests in flight at an upstream fail together when it
/// crashes, and need the earnings of some seconds at once.
const HELD_SHARE: f64 = 0.5;

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

impl Config {
    fn earned_by_request(&self) -> f64 {
        EARNED_SHARE * self.ratio
    }
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
    /// Earned retries that are left.
    pub earned: f64,
    /// Fixed retries that are left.
    pub fixed: f64,
    /// Retries spent since the last report.
    pub spent: usize,
}

/// Retry budget of one service at one box.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Requests whose earnings have not expired.
    requests: VecDeque<Moment>,
    /// Earned retries that are left, less than one after a denial without a fixed part.
    earned: f64,
    /// Fixed retries spent in the last window. A retry may take part of its cost from here.
    fixed_spent: VecDeque<(Moment, f64)>,
    /// Retries spent since the last report.
    spent: usize,
    reported_at: Option<Moment>,
}

impl Budget {
    /// Records a new request, which earns retries.
    pub fn record_request(&mut self, now: Moment, config: &Config) {
        self.requests.push_back(now);
        self.earned += config.earned_by_request();
        self.expire(now, config);
    }

    /// Spends one retry if the budget allows it, and returns whether it did.
    pub fn try_spend(&mut self, now: Moment, config: &Config, fixed: FixedPart) -> bool {
        self.expire(now, config);
        if self.earned + self.fixed_left(now, config, fixed) < 1.0 {
            return false;
        }
        let earned = self.earned.min(1.0);
        self.earned -= earned;
        if earned < 1.0 {
            self.fixed_spent.push_back((now, 1.0 - earned));
        }
        self.spent += 1;
        true
    }

    /// Returns the balance after a denied retry, once in each window; `None` otherwise.
    pub fn report_denial(&mut self, now: Moment, config: &Config, fixed: FixedPart) -> Option<Balance> {
        if self.reported_at.is_some_and(|at| now < at + config.window) {
            return None;
        }
        self.reported_at = Some(now);
        Some(Balance {
            earned: self.earned,
            fixed: self.fixed_left(now, config, fixed),
            spent: std::mem::take(&mut self.spent),
        })
    }

    fn fixed_left(&self, now: Moment, config: &Config, fixed: FixedPart) -> f64 {
        let spent: f64 = self.fixed_spent.iter().map(|(_, retries)| retries).sum();
        FIXED_SHARE * fixed.retries(config, now) - spent
    }

    /// Drops earnings that have expired, and fixed retries that count no longer.
    fn expire(&mut self, now: Moment, config: &Config) {
        let held = config.window.mul_f64(HELD_SHARE);
        while self.requests.front().is_some_and(|at| *at + held < now) {
            self.requests.pop_front();
        }
        let most = config.earned_by_request() * self.requests.len() as f64;
        self.earned = self.earned.min(most);
        while self
            .fixed_spent
            .front()
            .is_some_and(|(at, _)| *at + config.window < now)
        {
            self.fixed_spent.pop_front();
        }
    }
}
