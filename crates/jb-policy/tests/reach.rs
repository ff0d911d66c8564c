//! A data hall that is cut off, in a fleet with too many engines to learn it of each.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::reach::{Avoided, Reach};

const OWN: &str = "hall-a";
const OTHERS: [&str; 5] = ["hall-b", "hall-c", "hall-d", "hall-e", "hall-f"];
const NOW: Moment = Duration::from_secs(100);

/// A prompt has its engine in any hall; four sends were left without a word, one after the other, and the caller was
/// refused, with engines free in its own hall.
#[test]
fn request_of_a_hall_that_is_cut_off_stays_there_after_two_silent_halls() {
    let mut reach = Reach::default();
    reach.note_reached(OTHERS[4], NOW - Duration::from_millis(1));
    let mut silent = 0;
    while OTHERS
        .iter()
        .any(|hall| !reach.avoided(NOW, false).includes(hall, OWN))
    {
        reach.note_silent(OTHERS[silent], 1, NOW);
        silent += 1;
    }
    assert_eq!(silent, 2);
    assert!(!reach.avoided(NOW, false).includes(OWN, OWN));
}

#[test]
fn one_silence_is_enough_where_relay_nodes_have_found_the_hall_cut_off() {
    let mut reach = Reach::default();
    assert_eq!(reach.avoided(NOW, true), Avoided::None);
    reach.note_silent(OTHERS[0], 1, NOW);
    assert_eq!(reach.avoided(NOW, true), Avoided::Others);
}

#[test]
fn hall_with_two_silent_engines_is_avoided_and_the_others_are_not() {
    let mut reach = Reach::default();
    for engine in [1, 2] {
        reach.note_silent(OTHERS[0], engine, NOW);
    }
    let avoided = reach.avoided(NOW, false);
    assert!(avoided.includes(OTHERS[0], OWN));
    assert!(OTHERS[1..].iter().all(|hall| !avoided.includes(hall, OWN)));
}

/// An engine without power is as silent as one behind a cut.
#[test]
fn one_silent_engine_says_nothing_of_its_hall() {
    let mut reach = Reach::default();
    for _ in 0..3 {
        reach.note_silent(OTHERS[0], 1, NOW);
    }
    assert_eq!(reach.avoided(NOW, false), Avoided::None);
}

#[test]
fn silent_engines_of_several_halls_say_nothing_of_the_own_one_while_another_answers() {
    let mut reach = Reach::default();
    for hall in &OTHERS[..3] {
        reach.note_silent(hall, 1, NOW);
    }
    reach.note_reached(OTHERS[4], NOW);
    assert_eq!(reach.avoided(NOW, false), Avoided::None);
}

#[test]
fn silent_hall_is_tried_again_at_growing_intervals_until_it_answers() {
    const MOMENT: Duration = Duration::from_millis(1);
    let mut reach = Reach::default();
    let mut now = NOW;
    reach.note_silent(OTHERS[0], 1, now);
    for seconds in [1, 2, 4, 4] {
        reach.note_silent(OTHERS[0], 2, now);
        now += Duration::from_secs(seconds) - MOMENT;
        assert_ne!(reach.avoided(now, false), Avoided::None);
        // A connection that was begun before tells nothing new.
        reach.note_silent(OTHERS[0], 3, now);
        now += MOMENT;
        assert_eq!(reach.avoided(now, false), Avoided::None);
    }
    reach.note_reached(OTHERS[0], now);
    reach.note_silent(OTHERS[0], 1, now);
    assert_eq!(reach.avoided(now, false), Avoided::None);
}
