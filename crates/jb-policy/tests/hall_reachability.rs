//! A partitioned data hall, in a fleet with too many engines to learn it for each.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::hall_reachability::{Avoided, HallReachability};

const OWN_HALL: &str = "hall-a";
const OTHERS: [&str; 5] = ["hall-b", "hall-c", "hall-d", "hall-e", "hall-f"];
const NOW: Moment = Duration::from_secs(100);

/// Prompts have their engines in all halls: four attempts timed out one after the other, and the caller was refused
/// with engines free in its own hall.
#[test]
fn request_of_a_partitioned_hall_stays_there_after_timeouts_of_two_halls() {
    let mut reach = HallReachability::default();
    reach.note_answer(OTHERS[4], NOW - Duration::from_millis(1));
    let mut silent = 0;
    while OTHERS
        .iter()
        .any(|hall| !reach.avoided(NOW, false).includes(hall, OWN_HALL))
    {
        reach.note_timeout(OTHERS[silent], 1, NOW);
        silent += 1;
    }
    assert_eq!(silent, 2);
    assert!(!reach.avoided(NOW, false).includes(OWN_HALL, OWN_HALL));
}

#[test]
fn one_timeout_is_enough_where_the_relay_node_reaches_no_other_hall() {
    let mut reach = HallReachability::default();
    assert_eq!(reach.avoided(NOW, true), Avoided::None);
    reach.note_timeout(OTHERS[0], 1, NOW);
    assert_eq!(reach.avoided(NOW, true), Avoided::Others);
}

#[test]
fn hall_with_timeouts_of_two_engines_is_avoided_and_the_others_are_not() {
    let mut reach = HallReachability::default();
    for engine in [1, 2] {
        reach.note_timeout(OTHERS[0], engine, NOW);
    }
    let avoided = reach.avoided(NOW, false);
    assert!(avoided.includes(OTHERS[0], OWN_HALL));
    assert!(OTHERS[1..].iter().all(|hall| !avoided.includes(hall, OWN_HALL)));
}

/// Connections to an engine without power time out as well.
#[test]
fn timeouts_of_one_engine_do_not_count_for_its_hall() {
    let mut reach = HallReachability::default();
    for _ in 0..3 {
        reach.note_timeout(OTHERS[0], 1, NOW);
    }
    assert_eq!(reach.avoided(NOW, false), Avoided::None);
}

#[test]
fn own_hall_is_not_partitioned_while_another_one_answers() {
    let mut reach = HallReachability::default();
    for hall in &OTHERS[..3] {
        reach.note_timeout(hall, 1, NOW);
    }
    reach.note_answer(OTHERS[4], NOW);
    assert_eq!(reach.avoided(NOW, false), Avoided::None);
}

#[test]
fn unreachable_hall_is_tried_again_at_growing_intervals_until_it_answers() {
    const MOMENT: Duration = Duration::from_millis(1);
    let mut reach = HallReachability::default();
    let mut now = NOW;
    reach.note_timeout(OTHERS[0], 1, now);
    for seconds in [1, 2, 4, 4] {
        reach.note_timeout(OTHERS[0], 2, now);
        now += Duration::from_secs(seconds) - MOMENT;
        assert_ne!(reach.avoided(now, false), Avoided::None);
        // The timeout of a connection that was opened before.
        reach.note_timeout(OTHERS[0], 3, now);
        now += MOMENT;
        assert_eq!(reach.avoided(now, false), Avoided::None);
    }
    reach.note_answer(OTHERS[0], now);
    reach.note_timeout(OTHERS[0], 1, now);
    assert_eq!(reach.avoided(now, false), Avoided::None);
}
