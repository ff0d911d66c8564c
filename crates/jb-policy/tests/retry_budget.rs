//! Retries of a whole fleet in each window, over the processes that its boxes run one after the other.

#![allow(clippy::expect_used)]

use std::ops::Range;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::retry_budget::{Budget, Config, FixedPart};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Start of the requests.
const BEGIN: Duration = Duration::from_secs(100);
/// Start of the failures, once budgets are full.
const FAILURE: Duration = Duration::from_secs(120);
const END: Duration = Duration::from_secs(160);
/// Time in which more callers come.
const SURGE: Range<Duration> = Duration::from_secs(117)..Duration::from_secs(122);
/// Interval at which windows are compared with the limit.
const STEP: Duration = Duration::from_millis(100);
/// Retries that a failing request asks for at the most.
const MAX_RETRIES: usize = 3;

/// A fleet, its load and the limit of its retries.
#[derive(Clone, Copy, Debug)]
struct Load {
    boxes: usize,
    /// Requests per second, for all boxes.
    rate: f64,
    /// Retries in one window beyond those that requests earn.
    extra: f64,
    /// Share of the attempts that fail once failures have begun.
    failures: f64,
    /// Factor of the rate in [`SURGE`].
    surge: f64,
}

const MANY_SMALL_BOXES: Load = Load {
    boxes: 90,
    rate: 737.0,
    extra: 220.0,
    failures: 1.0,
    surge: 1.0,
};

const FEW_BOXES: Load = Load {
    boxes: 8,
    rate: 77.0,
    extra: 56.0,
    failures: 1.0,
    surge: 1.0,
};

/// One box of the fleet, and when its processes end.
struct Box {
    ends: Vec<Moment>,
    /// Times in which the process knows no other box.
    alone: Vec<Range<Moment>>,
    fixed: FixedPart,
    budget: Budget,
}

impl Box {
    fn new(ends: Vec<Moment>) -> Self {
        Self {
            ends,
            alone: Vec::new(),
            fixed: FixedPart::new(Moment::ZERO),
            budget: Budget::default(),
        }
    }

    /// Replaces the process if it has ended by `now`.
    fn restart(&mut self, now: Moment) {
        while let Some(at) = self.ends.first().copied().filter(|at| *at <= now) {
            self.ends.remove(0);
            self.fixed = FixedPart::new(at);
            self.budget = Budget::default();
        }
    }

    fn record_request(&mut self, now: Moment, load: &Load) {
        let is_alone = self.alone.iter().any(|time| time.contains(&now));
        let listed = if is_alone { 1 } else { load.boxes };
        self.fixed.observe(listed, now, CONFIG.window);
        self.budget.record_request(now, &CONFIG);
    }

    fn try_spend(&mut self, now: Moment, load: &Load) -> bool {
        let fixed = self.fixed.retries(load.extra, now, CONFIG.window);
        self.budget.try_spend(now, &CONFIG, fixed)
    }
}

const CONFIG: Config = Config {
    ratio: 0.2,
    window: Duration::from_secs(10),
};

/// When the requests of a fleet arrived, and its retries.
#[derive(Default)]
struct Record {
    requests: Vec<Moment>,
    retries: Vec<Moment>,
}

impl Record {
    /// Returns the highest number of retries in a window, as a share of what is allowed there.
    fn worst_window(&self, load: &Load) -> f64 {
        let window = CONFIG.window;
        let mut worst: f64 = 0.0;
        let mut from = BEGIN + window;
        while from + window <= END {
            let requests =
                [from, from - window, from - window / 2].map(|at| count(&self.requests, at, window));
            let most = requests.into_iter().max().unwrap_or_default();
            let allowed = CONFIG.ratio * most as f64 + load.extra;
            worst = worst.max(count(&self.retries, from, window) as f64 / allowed);
            from += STEP;
        }
        worst
    }
}

fn count(moments: &[Moment], from: Moment, window: Duration) -> usize {
    let before = |end: Moment| moments.partition_point(|at| *at < end);
    before(from + window) - before(from)
}

/// Draws the arrivals of requests, each with the box that receives it.
fn arrivals(load: &Load, until: Moment, random: &mut ChaCha8Rng) -> Vec<(Moment, usize)> {
    let mut arrivals = Vec::new();
    let mut now = BEGIN;
    while now < until {
        let surge = if SURGE.contains(&now) { load.surge } else { 1.0 };
        let mean = 1.0 / (load.rate * surge);
        now += Duration::from_secs_f64(-random.random_range(f64::EPSILON..1.0).ln() * mean);
        arrivals.push((now, random.random_range(0..load.boxes)));
    }
    arrivals
}

/// Plays requests that fail and are retried as often as the budgets allow; `ends` draws when the processes of a box end.
fn play(load: &Load, random: &mut ChaCha8Rng, ends: impl Fn(&mut ChaCha8Rng) -> Vec<Moment>) -> Record {
    let boxes = (0..load.boxes).map(|_| Box::new(ends(random))).collect();
    play_boxes(load, boxes, random)
}

fn play_boxes(load: &Load, mut boxes: Vec<Box>, random: &mut ChaCha8Rng) -> Record {
    let mut record = Record::default();
    for (now, at) in arrivals(load, END, random) {
        let receiver = &mut boxes[at];
        receiver.restart(now);
        receiver.record_request(now, load);
        record.requests.push(now);
        for _ in 0..MAX_RETRIES {
            let fails = now >= FAILURE && random.random_bool(load.failures);
            if !fails || !receiver.try_spend(now, load) {
                break;
            }
            record.retries.push(now);
        }
    }
    record
}

/// Guards against processes that spend what their requests earn, although the processes before them have spent as much
/// in the same window.
#[test]
fn one_restart_of_all_boxes_while_all_upstreams_fail_stays_within_the_limit() {
    for load in [MANY_SMALL_BOXES, FEW_BOXES] {
        for after_ms in [500, 1500, 3000, 6000] {
            let mut random = ChaCha8Rng::seed_from_u64(after_ms);
            let end = FAILURE + Duration::from_millis(after_ms);
            let worst = play(&load, &mut random, |_| vec![end]).worst_window(&load);
            assert!(
                worst <= 1.0,
                "{worst:.2} of the limit, restart after {after_ms} ms, {load:?}"
            );
        }
    }
}

/// Guards against the same with series of restarts that overlap from box to box.
#[test]
fn retries_of_any_series_of_processes_stay_within_the_limit() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let load = Load {
            failures: random.random_range(0.2..=1.0),
            rate: random.random_range(40.0..900.0),
            surge: random.random_range(1.0..3.0),
            ..if seed % 2 == 0 {
                MANY_SMALL_BOXES
            } else {
                FEW_BOXES
            }
        };
        // Mean life of a process, and the share of the boxes that restart at all.
        let life = Duration::from_millis(random.random_range(500..15_000));
        let share = random.random_range(0.3..=1.0);
        let worst = play(&load, &mut random, |random| series(life, share, random)).worst_window(&load);
        assert!(
            worst <= 1.0,
            "{worst:.2} of the limit, seed {seed}, processes of {life:?} on {share:.2} of the boxes, {load:?}"
        );
    }
}

/// Draws when the processes of one box end.
fn series(life: Duration, share: f64, random: &mut ChaCha8Rng) -> Vec<Moment> {
    if !random.random_bool(share) {
        return Vec::new();
    }
    let mut ends = Vec::new();
    let mut at = FAILURE - Duration::from_secs(2);
    while at < END {
        at += life.mul_f64(random.random_range(0.2..1.8));
        ends.push(at);
    }
    ends
}

/// Guards against budgets that are too small for requests that fail together, although nothing failed before.
#[test]
fn requests_in_flight_at_a_tenth_of_the_upstreams_are_retried_after_a_calm_time() {
    // Upstreams that crash, and requests in flight at each.
    for (load, crashed, in_flight) in [(MANY_SMALL_BOXES, 9, 20), (FEW_BOXES, 1, 30)] {
        let load = Load {
            failures: 0.0,
            ..load
        };
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let (mut lost, mut retried) = (0, 0);
        for _ in 0..20 {
            let mut boxes = calm_boxes(&load, &mut random);
            for _ in 0..crashed * in_flight {
                let at = random.random_range(0..load.boxes);
                lost += 1;
                retried += u32::from(boxes[at].try_spend(FAILURE, &load));
            }
        }
        assert!(20 * retried >= 19 * lost, "{retried} of {lost} retried, {load:?}");
    }
}

/// Returns boxes that have served requests until [`FAILURE`] without a restart.
fn calm_boxes(load: &Load, random: &mut ChaCha8Rng) -> Vec<Box> {
    let mut boxes: Vec<Box> = (0..load.boxes).map(|_| Box::new(Vec::new())).collect();
    for (now, at) in arrivals(load, FAILURE, random) {
        boxes[at].record_request(now, load);
    }
    boxes
}

/// Guards against processes that take the fixed retries of the whole fleet while they know no other box: new boxes, and
/// all boxes after the store has lost their registrations.
#[test]
fn boxes_that_know_no_other_box_stay_within_the_limit() {
    let quiet = Load {
        rate: 20.0,
        ..FEW_BOXES
    };
    for is_replaced in [false, true] {
        let mut random = ChaCha8Rng::seed_from_u64(3);
        let boxes = (0..quiet.boxes).map(|number| {
            let joins = FAILURE + Duration::from_millis(300 * number as u64);
            let is_replaced = is_replaced && number % 2 == 0;
            Box {
                alone: vec![joins..joins + Duration::from_secs(2)],
                ..Box::new(if is_replaced { vec![joins] } else { Vec::new() })
            }
        });
        let worst = play_boxes(&quiet, boxes.collect(), &mut random).worst_window(&quiet);
        assert!(worst <= 1.0, "{worst:.2} of the limit, new boxes: {is_replaced}");
    }
}

/// Guards against earned retries that are denied because the fixed part has become smaller than what was spent of it.
#[test]
fn smaller_fixed_part_leaves_what_requests_have_earned() {
    let mut budget = Budget::default();
    let fixed = 10.0;
    let spent = (0..100)
        .filter(|_| budget.try_spend(BEGIN, &CONFIG, fixed))
        .count();
    assert_eq!(spent, 8);
    // Nine requests earn one retry.
    for _ in 0..9 {
        budget.record_request(BEGIN, &CONFIG);
    }
    assert!(budget.try_spend(BEGIN, &CONFIG, fixed / 4.0));
    assert!(!budget.try_spend(BEGIN, &CONFIG, fixed / 4.0));
}
