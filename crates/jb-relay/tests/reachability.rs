//! Number of boxes that a box assumes to be reachable.

use std::time::Duration;

use jb_relay::peers::{FleetSize, Reachability};

const LISTED: FleetSize = FleetSize { hall: 25, all: 90 };
const ALONE: FleetSize = FleetSize { hall: 1, all: 1 };

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against boxes that assume after their start that they are alone in their hall: the customer accounts that
/// they owned then admitted almost nothing.
#[test]
fn all_listed_boxes_count_as_reachable_after_start() {
    let reachability = Reachability::default();
    assert_eq!(reachability.fleet_size(LISTED, ms(100)), LISTED);
    assert_eq!(reachability.fleet_size(LISTED, ms(3999)), LISTED);
    assert_eq!(reachability.fleet_size(LISTED, ms(4000)), ALONE);
}

#[test]
fn count_of_the_relay_node_is_used_until_it_expires() {
    let mut reachability = Reachability::default();
    let most = FleetSize { hall: 25, all: 68 };
    reachability.record(most, ms(300));
    assert_eq!(reachability.fleet_size(LISTED, ms(1799)), most);
    // Also within the time after the start, because the relay node had sent a count.
    assert_eq!(reachability.fleet_size(LISTED, ms(1800)), ALONE);
}

/// Guards against counts from a relay node that has just started and has received messages of only a few boxes: all
/// customers' limits were reduced to the share of these.
#[test]
fn relay_node_sends_no_counts_until_boxes_have_had_time_to_report() {
    let mut reachability = Reachability::default();
    let due = (0..40)
        .map(|report| ms(200 * report))
        .find(|at| reachability.is_due(*at));
    assert!(
        due.is_some_and(|at| (ms(2000)..ms(2600)).contains(&at)),
        "{due:?}"
    );
}
