//! The clock of a box.

use std::time::Duration;

use jb_clock::Clock;

#[test]
fn clock_never_goes_back_and_counts_what_no_timer_counts() {
    let clock = Clock::start();
    let before = clock.now();
    assert!(clock.now() >= before);
    let other = clock.clone();
    clock.skip(Duration::from_secs(5));
    assert!(other.now() >= before + Duration::from_secs(5));
    assert!(other.suspended() >= Duration::from_millis(4999));
}

#[test]
fn kernel_of_the_platform_counts_suspensions() {
    assert!(Clock::start().counts_suspensions());
}
