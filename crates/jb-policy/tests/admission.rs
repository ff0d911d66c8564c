//! Admission: which prompts are sent, queued or rejected; and the measured prefill rate.

use std::time::Duration;

use jb_policy::admission::{Decision, Estimate, Request, decide};
use jb_policy::prefill_rate::PrefillRate;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request with a target of 600 ms beside urgent ones with a target of 400 ms.
fn request(waited: u64) -> Request {
    Request {
        waited: ms(waited),
        ttft_target: ms(600),
        urgent_ttft_target: ms(400),
    }
}

fn decided(waited: u64, ttft: u64, has_queue: bool) -> Decision {
    let ttft = ms(ttft);
    decide(&request(waited), &Estimate { ttft, has_queue })
}

#[test]
fn prompt_of_any_length_is_sent_to_an_engine_without_a_queue() {
    assert_eq!(decided(0, 1900, false), Decision::Send);
}

#[test]
fn prompt_that_would_delay_urgent_ones_is_queued() {
    assert_eq!(decided(0, 250, true), Decision::Send);
    assert_eq!(decided(0, 270, true), Decision::Queue);
}

#[test]
fn late_prompt_is_sent_only_to_an_engine_with_a_short_queue() {
    assert_eq!(decided(550, 100, true), Decision::Send);
    assert_eq!(decided(550, 110, true), Decision::Reject(ms(0)));
}

/// Guards against late prompts that wait until their caller is about to give up and then delay prompts that could
/// still meet their targets.
#[test]
fn prompt_that_misses_its_target_is_rejected_at_once_with_a_retry_time() {
    assert_eq!(decided(200, 400, true), Decision::Queue);
    assert_eq!(decided(200, 401, true), Decision::Reject(ms(141)));
    assert_eq!(decided(1500, 500, true), Decision::Reject(ms(240)));
    assert_eq!(decided(0, 2500, true), Decision::Reject(ms(2240)));
}

#[test]
fn prefill_rate_follows_measured_first_tokens() {
    let mut rate = PrefillRate::default();
    for _ in 0..200 {
        rate.record(100, ms(900));
        rate.record(6000, ms(220));
    }
    assert!((rate.tokens_per_ms() - 30.0).abs() < 1.0, "{rate:?}");
}
