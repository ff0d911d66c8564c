//! A store that is away, or forgets its history, under a fleet of a thousand boxes and more.

use std::collections::BTreeSet;
use std::time::Duration;

use jb_policy::dissemination::{self, Level};

/// Sizes of a fleet in six data halls.
const FLEETS: [usize; 2] = [1000, 2000];
const HALLS: usize = 6;
/// Age beyond which knowledge opens nothing.
const BOUND: Duration = Duration::from_secs(5);
/// Age at which a relay node doesn't answer any more.
const OUTDATED: Duration = Duration::from_millis(1800);

fn levels(boxes: usize) -> impl Iterator<Item = Level> {
    (0..HALLS).flat_map(move |_| (0..boxes / HALLS).map(Level::at))
}

/// All boxes called the store, and read all of it, as soon as their relay nodes knew nothing recent.
#[test]
fn few_boxes_turn_to_the_store_when_relay_nodes_fall_behind() {
    for boxes in FLEETS {
        let at_once = levels(boxes)
            .filter(|level| level.max_wait(BOUND) <= OUTDATED)
            .count();
        assert_eq!(at_once, HALLS * (1 + 8), "{boxes} boxes");
    }
}

/// A box takes itself for not ready after 0.7 of the bound.
#[test]
fn every_box_turns_to_the_store_while_it_is_ready() {
    for level in levels(FLEETS[1]) {
        assert!(level.max_wait(BOUND) < BOUND.mul_f64(0.7), "{level:?}");
    }
}

/// Each box called the store every 0.4 s of an outage, which spent the store's rate when it was back.
#[test]
fn calls_in_a_long_outage_stay_below_one_a_box_in_two_seconds() {
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
            "{boxes} boxes: {per_second} a second"
        );
    }
}

/// A relay node answered questions of all boxes of all data halls, several times a second.
#[test]
fn most_boxes_ask_two_relay_nodes_at_a_time() {
    for boxes in FLEETS {
        let asks_all = levels(boxes).filter(|level| level.max_asked() > 2).count();
        assert_eq!(asks_all, HALLS * (1 + 8), "{boxes} boxes");
    }
}

/// A box that reported a crash or new weights sent as many datagrams as there are boxes.
#[test]
fn message_to_all_boxes_costs_none_of_them_more_than_twice_the_root_of_its_hall() {
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
