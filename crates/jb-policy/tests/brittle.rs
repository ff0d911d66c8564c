//! Services whose upstreams crash when they have to reject too many requests.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::brittle::{Brittleness, own_share};

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

#[test]
fn service_is_brittle_until_a_later_request_is_answered_without_the_signal() {
    let mut brittleness = Brittleness::default();
    assert!(!brittleness.is_active(at(0)));
    assert!(brittleness.note_signal(at(1000)));
    assert!(!brittleness.note_signal(at(1100)));
    brittleness.note_absence(at(1050));
    assert!(brittleness.is_active(at(1200)));
    brittleness.note_absence(at(1150));
    assert!(!brittleness.is_active(at(1200)));
}

/// Guards against a service that stays brittle for a box that no longer sends it anything.
#[test]
fn signal_expires() {
    let mut brittleness = Brittleness::default();
    brittleness.note_signal(at(1000));
    assert!(brittleness.is_active(at(10_000)));
    assert!(!brittleness.is_active(at(20_000)));
}

#[test]
fn shares_of_boxes_that_cannot_ask_add_up_to_the_slots_if_there_are_enough() {
    assert_eq!(own_share(64, 8), 8);
    assert_eq!(own_share(6, 8), 1);
    assert_eq!(own_share(6, 0), 6);
}
