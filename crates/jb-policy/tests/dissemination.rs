//! Load on the store from a fleet of a thousand boxes or more when it is unavailable or drops its history.

use std::collections::BTreeSet;
use std::time::Duration;

use jb_policy::dissemination::{self, Level};

/// Sizes of a fleet in six data halls.
const FLEETS: [usize; 2] = [1000, 2000];
const HALLS: usize = 6;
/// Age beyond which a copy of the store's content must not be used.
const BOUND: Duration = Duration::from_secs(5);
/// Age of its copy from which a relay node doesn't respond.
const OUTDATED: Duration = Duration::from_millis(1800);

/// Age of its copy within which a box regularly gets a newer one: two calls of its relay node and a question.
const RENEWED: Duration = Duration::from_millis(1500);

fn levels(boxes: usize) -> impl Iterator<Item = Level> {
    (0..HALLS).flat_map(move |_| (0..boxes / HALLS).map(Level::at))
}

/// Guards against all boxes calling the store and reading everything as soon as their relay nodes' copies are
/// outdated.
#[test]
fn few_boxes_call_the_store_when_relay_nodes_are_outdated() {
    for boxes in FLEETS {
        let immediate = levels(boxes)
            .filter(|level| level.max_wait(BOUND) <= OUTDATED)
            .count();
        assert_eq!(immediate, HALLS * (1 + 8), "{boxes} boxes");
    }
}

/// Guards against waits that leave a box no time to call the store before its copy is older than allowed.
#[test]
fn every_box_calls_the_store_in_time_whatever_the_bound() {
    for bound in [2, 3, 4, 5].map(Duration::from_secs) {
        for level in levels(FLEETS[1]) {
            let wait = level.max_wait(bound);
            assert!(wait > RENEWED, "{level:?} of {bound:?}: {wait:?}");
            assert!(wait <= bound.mul_f64(0.9), "{level:?} of {bound:?}: {wait:?}");
        }
    }
}

/// Guards against a box waiting for other boxes, after the store has lost its history, until its copy is too old.
#[test]
fn catching_up_leaves_time_to_read_the_store() {
    for bound in [2, 3, 4, 5].map(Duration::from_secs) {
        for level in levels(FLEETS[1]) {
            let age = level.max_wait(bound);
            let read_at = age + dissemination::catch_up_time(age, bound);
            assert!(
                read_at <= bound.mul_f64(0.9),
                "{level:?} of {bound:?}: {read_at:?}"
            );
        }
    }
}

/// Guards against all boxes of a hall reading the whole store at the end of an outage.
#[test]
fn boxes_wait_for_each_other_after_an_outage() {
    let waits = dissemination::catch_up_time(Duration::from_secs(60), BOUND);
    assert!(waits >= Duration::from_secs(2), "{waits:?}");
}

/// A box reports itself as not ready after 0.7 of the bound.
#[test]
fn every_box_calls_the_store_while_it_is_ready() {
    for level in levels(FLEETS[1]) {
        assert!(level.max_wait(BOUND) < BOUND.mul_f64(0.7), "{level:?}");
    }
}

/// Guards against each box calling the store every 0.4 s in an outage, which used up the store's rate limit
/// at its return.
#[test]
fn calls_in_a_long_outage_stay_below_one_per_box_in_two_seconds() {
    const OUTAGE: Duration = Duration::from_secs(60);
    const AFTER_FAILURE: Duration = Duration::from_millis(400);
    for boxes in FLEETS {
        let calls = |level: Level| {
            let pause = level.retry_interval().max(AFTER_FAILURE);
            OUTAGE.as_secs_f64() / pause.as_secs_f64()
        };
        let all: f64 = levels(boxes).map(calls).sum();
        let per_second = all / OUTAGE.as_secs_f64();
        assert!(
            per_second < boxes as f64 / 2.0,
            "{boxes} boxes: {per_second} calls per second"
        );
    }
}

/// Guards against a relay node serving queries of all boxes of all data halls several times per second.
#[test]
fn most_boxes_query_two_relay_nodes_at_a_time() {
    for boxes in FLEETS {
        let query_all = levels(boxes).filter(|level| level.max_asked() > 2).count();
        assert_eq!(query_all, HALLS * (1 + 8), "{boxes} boxes");
    }
}

/// Guards against a box sending a datagram to every other box to report a crash or new weights.
#[test]
fn broadcast_needs_at_most_twice_the_square_root_of_the_hall_from_any_box() {
    for boxes in FLEETS {
        let others: Vec<usize> = (1..boxes / HALLS).collect();
        let (heads, rest) = others.split_at(dissemination::group_count(others.len()));
        let groups = dissemination::split(heads, rest);
        let most = 2 * others.len().isqrt();
        assert!(groups.len() <= most, "{boxes} boxes: {} groups", groups.len());
        let mut reached = BTreeSet::new();
        for (head, members) in groups {
            assert!(members.len() <= most, "{boxes} boxes: {} members", members.len());
            reached.insert(head);
            reached.extend(members);
        }
        assert!(reached.into_iter().eq(others));
    }
}
