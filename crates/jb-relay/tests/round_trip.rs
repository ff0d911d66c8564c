//! Time-outs for requests between boxes.
//!
//! Guards against time-outs below the round-trip time: with 40 ms between two regions, each request to the owner of an
//! engine's reservations timed out after 25 ms. Owners counted as unresponsive, reservations moved from box to box,
//! and shared prompts were prefilled again.

use std::time::Duration;

use jb_relay::peers::RoundTrips;

const RESPONSE_TIME: Duration = Duration::from_millis(25);

/// Returns the time-out after many round trips of the same length.
fn settled_timeout(round_trip: Duration) -> Duration {
    let round_trips = RoundTrips::default();
    for _ in 0..50 {
        round_trips.record("far", round_trip);
    }
    round_trips.timeout("far", RESPONSE_TIME)
}

#[test]
fn timeout_exceeds_the_round_trip_to_another_region() {
    assert!(settled_timeout(Duration::from_millis(40)) > Duration::from_millis(40 + 20));
}

#[test]
fn first_timeout_covers_a_round_trip_to_another_region() {
    assert!(RoundTrips::default().timeout("far", RESPONSE_TIME) > Duration::from_millis(60));
}

#[test]
fn timeout_for_a_nearby_box_stays_short() {
    assert!(settled_timeout(Duration::from_millis(1)) < Duration::from_millis(27));
}

#[test]
fn timeout_for_a_slow_box_is_bounded() {
    assert!(settled_timeout(Duration::from_secs(5)) <= RESPONSE_TIME + Duration::from_millis(150));
}

#[test]
fn timeout_follows_a_round_trip_that_gets_shorter() {
    let round_trips = RoundTrips::default();
    round_trips.record("far", Duration::from_millis(120));
    for _ in 0..40 {
        round_trips.record("far", Duration::from_millis(2));
    }
    assert!(round_trips.timeout("far", RESPONSE_TIME) < Duration::from_millis(30));
}
