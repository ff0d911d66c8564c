//! What the account of an engine knows of the prompts that all boxes have there.

use std::time::Duration;

use jb_policy::reservation::{Load, Reservations};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn load_is_what_was_taken_and_not_given_back() {
    let mut account = Reservations::default();
    account.reserve(1, 3000, ms(4000));
    account.reserve(2, 500, ms(4000));
    assert_eq!(
        account.load(),
        Load {
            running: 2,
            queued_tokens: 3500
        }
    );
    account.record_first_token(1);
    assert_eq!(
        account.load(),
        Load {
            running: 2,
            queued_tokens: 500
        }
    );
    assert!(account.release(1));
    assert_eq!(
        account.load(),
        Load {
            running: 1,
            queued_tokens: 500
        }
    );
}

/// A box that dies gives nothing back: its places count until their requests must have ended.
#[test]
fn place_of_a_box_that_died_is_free_once_its_request_must_have_ended() {
    let mut account = Reservations::default();
    account.reserve(1, 3000, ms(4000));
    assert_eq!(account.expire(ms(3999)), 0);
    assert_eq!(account.load().running, 1);
    assert_eq!(account.expire(ms(4000)), 1);
    assert_eq!(account.load(), Load::default());
}

/// Two boxes may keep an account for a moment: what was taken at the other one is not counted
/// down here.
#[test]
fn place_that_another_box_gave_is_not_counted_down() {
    let mut account = Reservations::default();
    account.reserve(1, 3000, ms(4000));
    account.record_first_token(9);
    assert!(!account.release(9));
    assert!(account.release(1));
    assert!(!account.release(1), "a place that comes back twice counts once");
}

#[test]
fn parts_go_to_a_store_once_and_again_after_a_while() {
    let mut account = Reservations::default();
    assert!(account.schedule_store_send(7, true, ms(0)));
    assert!(!account.is_stored(7, ms(100)), "it is not read yet");
    assert!(account.is_stored(7, ms(600)));
    assert!(!account.schedule_store_send(7, true, ms(19_999)));
    assert!(account.schedule_store_send(7, true, ms(20_000)));
    assert!(
        account.schedule_store_send(8, true, ms(20_000)),
        "each family for itself"
    );
}

#[test]
fn parts_wait_a_little_for_a_prompt_that_brings_little_of_its_own() {
    let mut account = Reservations::default();
    assert!(!account.schedule_store_send(7, false, ms(0)));
    assert!(account.schedule_store_send(7, true, ms(100)));
    assert!(!account.schedule_store_send(8, false, ms(0)));
    assert!(!account.schedule_store_send(8, false, ms(399)));
    assert!(account.schedule_store_send(8, false, ms(400)));
}
