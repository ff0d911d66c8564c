//! Tests of monotonic time and of suspensions.

use std::time::Duration;

use jb_clock::Clock;

#[test]
fn clock_is_monotonic_and_includes_suspensions() {
    let clock = Clock::start();
    let before = clock.now();
    assert!(clock.now() >= before);
    let other = clock.clone();
    clock.skip(Duration::from_secs(5));
    assert!(other.now() >= before + Duration::from_secs(5));
    assert!(other.suspended() >= Duration::from_millis(4999));
}

#[test]
fn kernel_clock_includes_suspensions() {
    assert!(Clock::start().counts_suspensions());
}
