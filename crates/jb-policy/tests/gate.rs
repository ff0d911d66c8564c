//! Which prompts are sent at once, which wait in the box, and how fast engines read.

use std::time::Duration;

use jb_policy::gate::{Estimate, Request, Verdict, judge};
use jb_policy::pace::Pace;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request without haste of its own beside ones that want a first token in 400 ms.
fn request(waited: u64) -> Request {
    Request {
        waited: ms(waited),
        target: ms(600),
        urgent: ms(400),
        patience: ms(2400),
    }
}

fn judged(waited: u64, first: u64, queued: bool) -> Verdict {
    let first = ms(first);
    judge(&request(waited), &Estimate { first, queued })
}

#[test]
fn prompt_goes_to_an_engine_where_nothing_waits_however_long_it_is() {
    assert_eq!(judged(0, 1900, false), Verdict::Send);
}

#[test]
fn prompt_that_would_make_urgent_ones_late_waits() {
    assert_eq!(judged(0, 310, true), Verdict::Send);
    assert_eq!(judged(0, 330, true), Verdict::Wait);
}

#[test]
fn prompt_that_is_late_waits_for_those_that_are_not() {
    assert_eq!(judged(500, 200, true), Verdict::Wait);
    assert_eq!(judged(500, 120, true), Verdict::Send);
}

#[test]
fn prompt_is_sent_before_its_caller_leaves() {
    assert_eq!(judged(1500, 500, true), Verdict::Send);
}

#[test]
fn prompt_that_comes_too_late_for_its_caller_is_refused_with_the_time_to_come_back() {
    assert_eq!(judged(0, 2500, true), Verdict::Refuse(ms(2180)));
}

#[test]
fn reading_speed_follows_first_tokens() {
    let mut pace = Pace::default();
    for _ in 0..200 {
        pace.note(100, ms(900));
        pace.note(6000, ms(220));
    }
    assert!((pace.tokens_per_ms() - 30.0).abs() < 1.0, "{pace:?}");
}
