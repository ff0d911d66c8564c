//! Consistency up to which a box relays the content of the store to others.

use std::time::Duration;

use jb_relay::follow::POLL_INTERVAL;
use jb_relay::peers::is_fresh;

/// Guards against an age limit below two poll intervals: half of the requests reached the relay node just before its
/// next response from the store and were rejected. The requesting box then read the store itself, at the same rate.
#[test]
fn relay_node_sends_updates_at_any_time_between_two_of_its_calls() {
    const LATENCY: Duration = Duration::from_millis(100);
    assert!(is_fresh(Duration::ZERO));
    assert!(is_fresh(POLL_INTERVAL));
    assert!(is_fresh(2 * POLL_INTERVAL + LATENCY));
    assert!(
        !is_fresh(3 * POLL_INTERVAL),
        "a relay node without responses from the store sends nothing"
    );
}
