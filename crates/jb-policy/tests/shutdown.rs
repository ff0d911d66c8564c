//! Requests at a box that shuts down: which it still begins, and when it answers them.

use std::time::Duration;

use jb_policy::response_time::ResponseTime;
use jb_policy::shutdown::{MAX_UNNOTICED, Schedule, Signal};

const GRACE: Duration = Duration::from_secs(8);
const SIGNALLED_AT: Duration = Duration::from_secs(100);
/// A signal that a box notices at once.
const SIGNAL: Signal = Signal {
    noticed_at: SIGNALLED_AT,
    earliest_at: SIGNALLED_AT,
    delay: Duration::ZERO,
};

fn after_signal(ms: u64) -> Duration {
    SIGNALLED_AT + Duration::from_millis(ms)
}

#[test]
fn requests_without_a_response_are_answered_well_before_the_kill() {
    let schedule = Schedule::new(SIGNAL, GRACE);
    assert_eq!(schedule.answer_by(), after_signal(7500));
    assert!(schedule.answer_by() < schedule.log_by());
    assert!(schedule.log_by() < SIGNALLED_AT + GRACE);
}

/// Guards against a box that leaves before it is killed, and cuts off responses that have begun.
#[test]
fn box_does_not_exit_before_it_is_killed_however_late_its_tasks_run() {
    for idle_ms in [0, 120, 350, 1000] {
        for delay_ms in [0, 100, 500, 4000] {
            let idle = Duration::from_millis(idle_ms);
            let signal = Signal {
                noticed_at: SIGNALLED_AT + idle,
                earliest_at: SIGNALLED_AT,
                delay: Duration::from_millis(delay_ms),
            };
            // The signal may have been sent at any time until it was noticed.
            let latest_kill = signal.noticed_at + GRACE;
            assert!(
                Schedule::new(signal, GRACE).exit_by() >= latest_kill,
                "{signal:?}"
            );
        }
    }
}

/// Guards against requests that are admitted so late that the platform counts their cut as a failure of the box.
#[test]
fn requests_are_admitted_until_three_seconds_after_the_signal() {
    let schedule = Schedule::new(SIGNAL, GRACE);
    assert!(schedule.admits(after_signal(2800)));
    assert!(!schedule.admits(after_signal(3000)));
}

/// Guards against requests that are admitted more than three seconds after the signal was sent, by a box that noticed it late but
/// hasn't stood still.
#[test]
fn signal_that_is_noticed_late_admits_nothing_after_three_seconds() {
    let noticed_at = SIGNALLED_AT + MAX_UNNOTICED;
    let signal = Signal {
        noticed_at,
        earliest_at: noticed_at,
        delay: Duration::ZERO,
    };
    assert!(!Schedule::new(signal, GRACE).admits(after_signal(3000)));
}

/// Guards against attempts that the end of the grace period is sure to cut.
#[test]
fn attempt_fits_only_if_it_ends_before_open_requests_are_answered() {
    let schedule = Schedule::new(SIGNAL, GRACE);
    let time = Duration::from_millis(3600);
    assert!(schedule.fits(after_signal(2000), time));
    assert!(!schedule.fits(after_signal(6000), time));
    assert!(schedule.fits(after_signal(6000), Duration::ZERO));
    assert!(!schedule.fits(after_signal(7900), Duration::ZERO));
}

#[test]
fn grace_period_that_is_shorter_than_its_reserves_has_no_time_left() {
    let schedule = Schedule::new(SIGNAL, Duration::from_millis(100));
    assert_eq!(schedule.answer_by(), SIGNALLED_AT);
    assert!(!schedule.fits(after_signal(1), Duration::ZERO));
}

/// Guards against a box that was frozen as it was told to stop, and counts the grace period from when it goes on.
#[test]
fn times_count_from_when_the_box_last_ran_before_the_signal() {
    let frozen = Duration::from_secs(1);
    let signal = Signal {
        noticed_at: SIGNALLED_AT + frozen,
        ..SIGNAL
    };
    let schedule = Schedule::new(signal, GRACE);
    let noticed_at_once = Schedule::new(SIGNAL, GRACE);
    assert_eq!(schedule.signalled_at(), noticed_at_once.signalled_at());
    assert_eq!(schedule.answer_by(), noticed_at_once.answer_by());
    assert_eq!(schedule.log_by(), noticed_at_once.log_by());
    assert!(!schedule.admits(signal.noticed_at + Duration::from_millis(2000)));
}

/// Guards against a box that ends all requests at once since it didn't run for longer than its grace period: the signal
/// may have come at the end of that time.
#[test]
fn box_that_did_not_run_for_long_still_has_half_of_its_grace_period() {
    let signal = Signal {
        earliest_at: Duration::ZERO,
        ..SIGNAL
    };
    let schedule = Schedule::new(signal, GRACE);
    assert!(schedule.fits(SIGNALLED_AT, Duration::from_secs(3)));
}

/// Guards against a box with little processor time that is killed while it answers its last requests.
#[test]
fn reserves_grow_by_the_delay_of_the_tasks() {
    let delay = Duration::from_millis(300);
    let slow = Schedule::new(Signal { delay, ..SIGNAL }, GRACE);
    let quick = Schedule::new(SIGNAL, GRACE);
    assert_eq!(slow.answer_by() + delay, quick.answer_by());
    assert_eq!(slow.log_by() + delay, quick.log_by());
    let stuck = Schedule::new(
        Signal {
            delay: GRACE,
            ..SIGNAL
        },
        GRACE,
    );
    assert!(stuck.log_by() > SIGNALLED_AT + GRACE.mul_f64(5.0 / 6.0));
}

/// Most responses of a route whose times vary end within the estimate.
#[test]
fn estimate_covers_most_responses_of_a_route() {
    let mut time = ResponseTime::default();
    assert_eq!(time.upper(), Duration::ZERO);
    let samples = (0..200_u64).map(|number| Duration::from_millis(1000 + number * 389 % 1000));
    let mut covered = 0;
    for sample in samples.clone() {
        covered += usize::from(sample <= time.upper());
        time.record(sample);
    }
    assert!(covered * 10 >= samples.count() * 9, "{covered} of 200");
    assert!(time.upper() < Duration::from_secs(3), "{:?}", time.upper());
}
