//! One box's share of a retry budget that all boxes spend together.
//!
//! The budget needs no coordination: the retries that each box earns by its own requests add up to those of the
//! fleet, and the fixed part is divided by the number of boxes that may be alive, reachable or not.
//!
//! A process doesn't know what earlier processes of its box have spent in the current window. Earned retries are tokens
//! of a bucket that is empty when the process starts and holds the earnings of [`HELD_SHARE`] of a window. A window
//! therefore spends at most what was earned in it and in that time before it, however often processes start: a restart
//! only loses tokens. A process has no fixed part until it has lived for a window, whether its box is new or not.

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
    /// Length of the window.
    pub window: Duration,
}

impl Config {
    fn earned_by_request(&self) -> f64 {
        EARNED_SHARE * self.ratio
    }
}

/// Part of a box in the fixed retries, which all boxes of the fleet divide.
///
/// A process may not know the other boxes for some time after its start, and all boxes may lose sight of each other when
/// the store that lists them is restored. So the largest number of boxes within a window counts.
#[derive(Clone, Debug)]
pub struct FixedPart {
    /// Start of the process; `None` if no earlier one can have spent retries.
    started_at: Option<Moment>,
    /// Start of the current period of one window.
    period_from: Moment,
    /// Largest number of boxes in the current period and in the one before.
    boxes: usize,
    boxes_before: usize,
}

impl FixedPart {
    /// Creates the part of a process that starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            started_at: Some(now),
            period_from: now,
            boxes: 1,
            boxes_before: 1,
        }
    }

    /// Creates the part of a process that knows that no retries have been spent before it started.
    pub fn unspent() -> Self {
        Self {
            started_at: None,
            ..Self::new(Moment::ZERO)
        }
    }

    /// Records the number of listed boxes.
    pub fn observe(&mut self, boxes: usize, now: Moment, window: Duration) {
        if now >= self.period_from + window {
            self.period_from = now;
            self.boxes_before = self.boxes;
            self.boxes = boxes;
        }
        self.boxes = self.boxes.max(boxes);
    }

    /// Returns the number of boxes that divide the fixed retries, at least 1.
    pub fn boxes(&self) -> usize {
        self.boxes.max(self.boxes_before)
    }

    /// Returns the box's part of `extra` retries in each window.
    pub fn retries(&self, extra: f64, now: Moment, window: Duration) -> f64 {
        // An earlier process of the box may have spent its part.
        if self.started_at.is_some_and(|at| now < at + window) {
            return 0.0;
        }
        extra / self.boxes() as f64
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
    /// Earned retries that are left.
    earned: f64,
    /// Fixed retries spent in the last window. They pay what an earned retry lacks to a whole one.
    fixed_spent: VecDeque<(Moment, f64)>,
    /// Retries spent since the last report.
    spent: usize,
    /// When a denial was reported last.
    reported_at: Option<Moment>,
}

impl Budget {
    /// Records a new request, which earns retries.
    pub fn record_request(&mut self, now: Moment, config: &Config) {
        self.requests.push_back(now);
        self.earned += config.earned_by_request();
        self.expire(now, config);
    }

    /// Spends one retry if the budget allows it, and returns whether it did. `fixed` retries are allowed in each window
    /// besides those earned.
    pub fn try_spend(&mut self, now: Moment, config: &Config, fixed: f64) -> bool {
        self.expire(now, config);
        if self.earned + self.fixed_left(fixed) < 1.0 {
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
    pub fn report_denial(&mut self, now: Moment, config: &Config, fixed: f64) -> Option<Balance> {
        if self.reported_at.is_some_and(|at| now < at + config.window) {
            return None;
        }
        self.reported_at = Some(now);
        Some(Balance {
            earned: self.earned,
            fixed: self.fixed_left(fixed),
            spent: std::mem::take(&mut self.spent),
        })
    }

    fn fixed_left(&self, fixed: f64) -> f64 {
        let spent: f64 = self.fixed_spent.iter().map(|(_, retries)| retries).sum();
        (FIXED_SHARE * fixed - spent).max(0.0)
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
