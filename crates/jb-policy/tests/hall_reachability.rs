//! Avoidance of partitioned data halls, in a fleet with too many engines to detect a partition for each of
//! them.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::hall_reachability::{Avoided, HallReachability};

const OWN_HALL: &str = "hall-a";
const OTHERS: [&str; 5] = ["hall-b", "hall-c", "hall-d", "hall-e", "hall-f"];
const NOW: Moment = Duration::from_secs(100);

/// Guards against a refusal after four consecutive connection timeouts while engines of the local hall are
/// free, as the engines of a prompt are spread over all halls.
#[test]
fn request_of_a_partitioned_hall_stays_there_after_timeouts_of_two_other_halls() {
    let mut reachability = HallReachability::default();
    reachability.note_answer(OTHERS[4], NOW - Duration::from_millis(1));
    let mut timed_out = 0;
    while OTHERS
        .iter()
        .any(|hall| !reachability.avoided(NOW, false).includes(hall, OWN_HALL))
    {
        reachability.note_timeout(OTHERS[timed_out], 1, NOW);
        timed_out += 1;
    }
    assert_eq!(timed_out, 2);
    assert!(!reachability.avoided(NOW, false).includes(OWN_HALL, OWN_HALL));
}

#[test]
fn one_timeout_is_enough_where_the_relay_node_reaches_no_other_hall() {
    let mut reachability = HallReachability::default();
    assert_eq!(reachability.avoided(NOW, true), Avoided::None);
    reachability.note_timeout(OTHERS[0], 1, NOW);
    assert_eq!(reachability.avoided(NOW, true), Avoided::Others);
}

#[test]
fn hall_with_timeouts_of_two_engines_is_avoided_and_the_others_are_not() {
    let mut reachability = HallReachability::default();
    for engine in [1, 2] {
        reachability.note_timeout(OTHERS[0], engine, NOW);
    }
    let avoided = reachability.avoided(NOW, false);
    assert!(avoided.includes(OTHERS[0], OWN_HALL));
    assert!(OTHERS[1..].iter().all(|hall| !avoided.includes(hall, OWN_HALL)));
}

/// Connections to an engine whose machine is down time out as well.
#[test]
fn timeouts_of_one_engine_do_not_count_for_its_hall() {
    let mut reachability = HallReachability::default();
    for _ in 0..3 {
        reachability.note_timeout(OTHERS[0], 1, NOW);
    }
    assert_eq!(reachability.avoided(NOW, false), Avoided::None);
}

#[test]
fn own_hall_is_not_partitioned_while_another_one_answers() {
    let mut reachability = HallReachability::default();
    for hall in &OTHERS[..3] {
        reachability.note_timeout(hall, 1, NOW);
    }
    reachability.note_answer(OTHERS[4], NOW);
    assert_eq!(reachability.avoided(NOW, false), Avoided::None);
}

#[test]
fn unreachable_hall_is_tried_again_at_growing_intervals_until_it_answers() {
    const INSTANT: Duration = Duration::from_millis(1);
    let mut reachability = HallReachability::default();
    let mut now = NOW;
    reachability.note_timeout(OTHERS[0], 1, now);
    for seconds in [1, 2, 4, 4] {
        reachability.note_timeout(OTHERS[0], 2, now);
        now += Duration::from_secs(seconds) - INSTANT;
        assert_ne!(reachability.avoided(now, false), Avoided::None);
        // A connection that was opened before the hall was avoided times out.
        reachability.note_timeout(OTHERS[0], 3, now);
        now += INSTANT;
        assert_eq!(reachability.avoided(now, false), Avoided::None);
    }
    reachability.note_answer(OTHERS[0], now);
    reachability.note_timeout(OTHERS[0], 1, now);
    assert_eq!(reachability.avoided(now, false), Avoided::None);
}
