//! Reservations at an engine: its load, expired reservations, and when segments are sent to a store.

use std::time::Duration;

use jb_policy::reservation::{Load, Reservations};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn load_is_the_sum_of_unreleased_reservations() {
    let mut reservations = Reservations::default();
    reservations.reserve(1, 3000, 3000, ms(4000));
    reservations.reserve(2, 500, 500, ms(4000));
    assert_eq!(
        reservations.load(),
        Load {
            running: 2,
            queued_tokens: 3500,
            tokens: 3500,
        }
    );
    reservations.record_first_token(1);
    assert_eq!(
        reservations.load(),
        Load {
            running: 2,
            queued_tokens: 500,
            tokens: 3500,
        }
    );
    assert!(reservations.release(1));
    assert_eq!(
        reservations.load(),
        Load {
            running: 1,
            queued_tokens: 500,
            tokens: 500,
        }
    );
}

/// Guards against slots that stay reserved for ever after their box has died without releasing them.
#[test]
fn reservation_of_a_dead_box_expires_at_the_deadline_of_its_request() {
    let mut reservations = Reservations::default();
    reservations.reserve(1, 3000, 3000, ms(4000));
    assert_eq!(reservations.expire(ms(3999)), 0);
    assert_eq!(reservations.load().running, 1);
    assert_eq!(reservations.expire(ms(4000)), 1);
    assert_eq!(reservations.load(), Load::default());
}

/// Two boxes may own a table for a moment: a release of a reservation at the other one must not lower the load here.
#[test]
fn release_of_an_unknown_reservation_changes_nothing() {
    let mut reservations = Reservations::default();
    reservations.reserve(1, 3000, 3000, ms(4000));
    reservations.record_first_token(9);
    assert!(!reservations.release(9));
    assert!(reservations.release(1));
    assert!(
        !reservations.release(1),
        "a reservation that is released twice counts once"
    );
}

#[test]
fn segments_are_sent_to_a_store_once_per_interval() {
    let mut reservations = Reservations::default();
    assert!(reservations.schedule_store_send(7, true, ms(0)));
    assert!(!reservations.is_stored(7, ms(100)), "it is not prefilled yet");
    assert!(reservations.is_stored(7, ms(600)));
    assert!(!reservations.schedule_store_send(7, true, ms(19_999)));
    assert!(reservations.schedule_store_send(7, true, ms(20_000)));
    assert!(
        reservations.schedule_store_send(8, true, ms(20_000)),
        "each prefix group has its own interval"
    );
}

#[test]
fn segments_wait_a_limited_time_for_a_small_prompt() {
    let mut reservations = Reservations::default();
    assert!(!reservations.schedule_store_send(7, false, ms(0)));
    assert!(reservations.schedule_store_send(7, true, ms(100)));
    assert!(!reservations.schedule_store_send(8, false, ms(0)));
    assert!(!reservations.schedule_store_send(8, false, ms(399)));
    assert!(reservations.schedule_store_send(8, false, ms(400)));
}

/// Guards against requests that an engine has a slot but no memory for.
#[test]
fn room_needs_a_slot_and_memory_but_a_single_request_always_fits() {
    let mut reservations = Reservations::default();
    assert!(reservations.load().has_room(2, 9000, 8000));
    reservations.reserve(1, 5000, 5000, ms(4000));
    // Prefill frees no memory.
    reservations.record_first_token(1);
    assert!(!reservations.load().has_room(2, 4000, 8000));
    assert!(reservations.load().has_room(2, 3000, 8000));
    assert!(reservations.load().has_room(2, 4000, 0));
    assert!(!reservations.load().has_room(1, 1, 8000));
}
