//! How many boxes request a lease before they can know that another box has been elected.
//!
//! Guards against simultaneous requests: with the eight most preferred boxes down, all of 978 others requested the
//! lease at the same moment.

use std::time::Duration;

use jb_policy::election::delay;

/// Time after which all boxes know of an election: two calls of a relay node and a query to it.
const KNOWN_AFTER: Duration = Duration::from_millis(1750);

#[test]
fn delay_is_zero_for_the_first_box_and_grows_with_the_rank() {
    assert_eq!(delay(0), Duration::ZERO);
    assert!((1..2000).all(|rank| delay(rank) > delay(rank - 1)));
}

#[test]
fn few_boxes_request_the_lease_before_they_know_of_an_election() {
    for boxes in [1000, 2000] {
        for down in [0, 1, 8, 100] {
            let known = delay(down) + KNOWN_AFTER;
            let requests = (down..boxes).filter(|rank| delay(*rank) < known).count();
            assert!(requests <= 72, "{requests} of {boxes} boxes with {down} down");
        }
    }
}

#[test]
fn preferred_boxes_leave_time_for_an_election() {
    assert!((1..=8).all(|rank| delay(rank) - delay(rank - 1) >= Duration::from_millis(200)));
}
