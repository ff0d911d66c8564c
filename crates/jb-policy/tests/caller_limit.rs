//! What callers may take of a box.

use std::time::Duration;

use jb_policy::caller_limit::{MemoryLimit, Progress, max_connections};

const MB: usize = 1 << 20;

#[test]
fn memory_of_callers_leaves_room_for_the_state_of_the_box() {
    let small_state = MemoryLimit::new(110 * MB, 9 * MB);
    assert_eq!(small_state.total, 110 * MB * 3 / 4);
    // Eighteen bodies of four megabytes.
    assert!(small_state.large >= 18 * 4 * MB, "{}", small_state.large / MB);
    let large_state = MemoryLimit::new(88 * MB, 34 * MB);
    assert_eq!(large_state.total / MB, 39);
}

/// A reading of the state that counted what callers made the box hold left nothing for callers, for good.
#[test]
fn callers_always_get_some_memory() {
    assert_eq!(MemoryLimit::new(48 * MB, 58 * MB).total, 12 * MB);
}

#[test]
fn each_connection_of_a_caller_leaves_a_descriptor_for_its_request() {
    for descriptors in [400, 1024, 4100, 8192] {
        let callers = max_connections(descriptors);
        assert!(
            callers > 0 && 2 * callers < descriptors - 200,
            "{descriptors}: {callers}"
        );
    }
    assert_eq!(max_connections(4100), 1755);
}

#[test]
fn body_gives_way_only_without_progress() {
    let progress = |elapsed, stalled, bytes| Progress {
        elapsed: Duration::from_millis(elapsed),
        stalled: Duration::from_millis(stalled),
        bytes,
    };
    // Four megabytes in three seconds.
    assert!(!progress(2900, 20, 4 * MB - 1000).gives_way());
    assert!(!progress(1900, 499, 10).gives_way());
    assert!(progress(1900, 500, 4 * MB - 1).gives_way());
    // A byte now and then.
    assert!(progress(2000, 10, 1000).gives_way());
}
