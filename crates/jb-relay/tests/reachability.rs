//! For how much of a large fleet a box may speak.

use std::time::Duration;

use jb_relay::peers::{FleetSize, Reachability};

const LISTED: FleetSize = FleetSize { hall: 25, all: 90 };
const ALONE: FleetSize = FleetSize { hall: 1, all: 1 };

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Boxes that had just started took themselves to be alone in their hall, and customers' accounts
/// that they kept for it let in next to nothing.
#[test]
fn all_listed_boxes_are_taken_to_be_there_while_nothing_was_told() {
    let reachability = Reachability::default();
    assert_eq!(reachability.fleet_size(LISTED, ms(100)), LISTED);
    assert_eq!(reachability.fleet_size(LISTED, ms(3999)), LISTED);
    assert_eq!(reachability.fleet_size(LISTED, ms(4000)), ALONE);
}

#[test]
fn count_of_the_relay_node_holds_until_it_is_old_and_then_the_box_is_alone() {
    let mut reachability = Reachability::default();
    let most = FleetSize { hall: 25, all: 68 };
    reachability.record(most, ms(300));
    assert_eq!(reachability.fleet_size(LISTED, ms(1799)), most);
    // Also right after the start: it had heard its relay node.
    assert_eq!(reachability.fleet_size(LISTED, ms(1800)), ALONE);
}

/// A relay node that had just started counted the few boxes that had told it something by then, and the
/// limits of all customers were cut to their share.
#[test]
fn relay_node_sends_no_counts_until_boxes_have_had_the_time_to_tell_it() {
    let mut reachability = Reachability::default();
    let due = (0..40)
        .map(|telling| ms(200 * telling))
        .find(|at| reachability.is_due(*at));
    assert!(
        due.is_some_and(|at| (ms(2000)..ms(2600)).contains(&at)),
        "{due:?}"
    );
}
