//! How many boxes ask for a lease before they can know that another one has it.
//!
//! Failure: with the eight most preferred boxes away, each of 978 others asked at the same moment.

use std::time::Duration;

use jb_policy::election::delay;

/// Time after which all boxes know of an election: two calls of a relay node and a question to it.
const KNOWN_AFTER: Duration = Duration::from_millis(1750);

#[test]
fn first_box_asks_at_once_and_each_later_one_later() {
    assert_eq!(delay(0), Duration::ZERO);
    assert!((1..2000).all(|rank| delay(rank) > delay(rank - 1)));
}

#[test]
fn few_boxes_ask_before_they_know_that_another_is_elected() {
    for boxes in [1000, 2000] {
        for away in [0, 1, 8, 100] {
            let known = delay(away) + KNOWN_AFTER;
            let ask = (away..boxes).filter(|rank| delay(*rank) < known).count();
            assert!(ask <= 72, "{ask} of {boxes} boxes with {away} away");
        }
    }
}

#[test]
fn preferred_boxes_leave_time_for_an_election() {
    assert!((1..=8).all(|rank| delay(rank) - delay(rank - 1) >= Duration::from_millis(200)));
}
