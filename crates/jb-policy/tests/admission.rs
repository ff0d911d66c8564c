//! Which prompts are sent at once, which wait in the box, and how fast engines read.

use std::time::Duration;

use jb_policy::admission::{Decision, Estimate, Request, decide};
use jb_policy::prefill_rate::PrefillRate;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request without haste of its own beside ones that want a first token in 400 ms.
fn request(waited: u64) -> Request {
    Request {
        waited: ms(waited),
        ttft_target: ms(600),
        urgent_ttft_target: ms(400),
    }
}

fn judged(waited: u64, first: u64, queued: bool) -> Decision {
    let first = ms(first);
    decide(
        &request(waited),
        &Estimate {
            ttft: first,
            has_queue: queued,
        },
    )
}

#[test]
fn prompt_goes_to_an_engine_where_nothing_waits_however_long_it_is() {
    assert_eq!(judged(0, 1900, false), Decision::Send);
}

#[test]
fn prompt_that_would_make_urgent_ones_late_waits() {
    assert_eq!(judged(0, 250, true), Decision::Send);
    assert_eq!(judged(0, 270, true), Decision::Queue);
}

#[test]
fn late_prompt_goes_only_where_little_is_read_before_it() {
    assert_eq!(judged(550, 100, true), Decision::Send);
    assert_eq!(judged(550, 110, true), Decision::Reject(ms(0)));
}

/// It waited until its caller was about to leave, and took from those that could be in time then.
#[test]
fn prompt_that_cannot_be_in_time_any_more_is_refused_at_once_with_the_time_to_come_back() {
    assert_eq!(judged(200, 400, true), Decision::Queue);
    assert_eq!(judged(200, 401, true), Decision::Reject(ms(141)));
    assert_eq!(judged(1500, 500, true), Decision::Reject(ms(240)));
    assert_eq!(judged(0, 2500, true), Decision::Reject(ms(2240)));
}

#[test]
fn reading_speed_follows_first_tokens() {
    let mut pace = PrefillRate::default();
    for _ in 0..200 {
        pace.record(100, ms(900));
        pace.record(6000, ms(220));
    }
    assert!((pace.tokens_per_ms() - 30.0).abs() < 1.0, "{pace:?}");
}
