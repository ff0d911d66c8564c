//! One box's share of a retry budget that all boxes spend together.
//!
//! Nothing is asked of other boxes: what each earns by its own requests adds
//! up to what all have earned, and the fixed part is divided by the number of
//! boxes that may be alive, seen or not.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Share of the operators' bound that is spent; the rest covers clocks and arrivals under way.
const CAUTION: f64 = 0.8;

/// Config of a service's budget.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Sends beyond the first that each request brings.
    pub ratio: f64,
    /// Sends beyond the first in one window besides, for all boxes together.
    pub extra: f64,
    /// Window.
    pub window: Duration,
}

/// Budget of one service at one box.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Budget {
    /// Notes a new request.
    pub fn record_request(&mut self, now: Moment, window: Duration) {
        self.requests.push_back(now);
        forget(&mut self.requests, now, window);
    }

    /// Takes one send beyond the first; `false` when the budget is spent.
    pub fn try_spend(&mut self, now: Moment, config: &Config, boxes: usize) -> bool {
        forget(&mut self.requests, now, config.window);
        forget(&mut self.repeats, now, config.window);
        let earned = config.ratio * self.requests.len() as f64;
        let fixed = config.extra / boxes.max(1) as f64;
        let allowed = CAUTION * (earned + fixed);
        let open = ((self.repeats.len() + 1) as f64) <= allowed;
        if open {
            self.repeats.push_back(now);
        }
        open
    }
}

fn forget(moments: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while moments.front().is_some_and(|at| *at + window < now) {
        moments.pop_front();
    }
}
