//! What boxes tell each other of the store.

use std::time::Duration;

use jb_relay::follow::POLL_INTERVAL;
use jb_relay::peers::is_fresh;

/// Half of the questions to a relay node met it just before its next answer came, at two pauses of
/// age, and sent the asker to the store, which kept the two in step.
#[test]
fn relay_node_tells_what_it_knows_at_every_moment_between_two_of_its_calls() {
    const WAY: Duration = Duration::from_millis(100);
    assert!(is_fresh(Duration::ZERO));
    assert!(is_fresh(POLL_INTERVAL));
    assert!(is_fresh(2 * POLL_INTERVAL + WAY));
    assert!(
        !is_fresh(3 * POLL_INTERVAL),
        "a relay node without answers sends nothing"
    );
}
